package callerlimit

import (
	"net/netip"
	"time"
)

const (
	// StallTime is how long a connection may make no progress before it is closed first under pressure. Callers inside the
	// limits read and send without long stops.
	StallTime = time.Second
	// minProgressBytes is what has to arrive of a request to count as progress, so that single bytes do not.
	minProgressBytes = 1 << 10
)

// Conn identifies a connection.
type Conn uint64

// Phase is what a connection is doing.
type Phase uint8

const (
	// New means that no request has arrived yet.
	New Phase = iota
	// Idle means that all requests have been answered.
	Idle
	// Reading means that the headers of a request have arrived, and the body has not.
	Reading
	// Running means that a request has arrived and may be running.
	Running
)

// Table holds the connections of callers and what they take in memory.
type Table struct {
	maxConns int
	conns    map[Conn]*entry
	addrs    map[netip.Addr]*load
}

// entry is a connection.
type entry struct {
	load     *load // of its address
	phase    Phase
	since    time.Time // of the last change of phase or progress
	held     int64     // bytes
	received int64     // bytes of the request at the last progress
}

// load is what the connections from one address take together.
type load struct {
	addr  netip.Addr
	conns int
	held  int64
}

// NewTable returns a table for at most maxConns connections.
func NewTable(maxConns int) *Table {
	return &Table{maxConns: maxConns, conns: map[Conn]*entry{}, addrs: map[netip.Addr]*load{}}
}

// Open admits a connection and reports true, or refuses it. If evict is not 0, that connection is closed for it.
func (t *Table) Open(now time.Time, c Conn, from netip.Addr) (evict Conn, ok bool) {
	if len(t.conns) >= t.maxConns {
		if evict = t.connVictim(now, from); evict == 0 {
			return 0, false
		}
		t.Close(evict)
	}
	l := t.addrs[from]
	if l == nil {
		l = &load{addr: from}
		t.addrs[from] = l
	}
	l.conns++
	t.conns[c] = &entry{load: l, since: now}
	return evict, true
}

// Close removes a connection.
func (t *Table) Close(c Conn) {
	e := t.conns[c]
	if e == nil {
		return
	}
	delete(t.conns, c)
	e.load.held -= e.held
	if e.load.conns--; e.load.conns == 0 {
		delete(t.addrs, e.load.addr)
	}
}

// Len returns the number of connections.
func (t *Table) Len() int { return len(t.conns) }

// SetPhase records the phase of a connection.
func (t *Table) SetPhase(now time.Time, c Conn, p Phase) {
	if e := t.conns[c]; e != nil {
		e.phase, e.since, e.received = p, now, 0
	}
}

// Progress records how many bytes of a request have arrived.
func (t *Table) Progress(now time.Time, c Conn, received int64) {
	if e := t.conns[c]; e != nil && received-e.received >= minProgressBytes {
		e.since, e.received = now, received
	}
}

// Hold records how many bytes a connection takes for its request.
func (t *Table) Hold(c Conn, bytes int64) {
	if e := t.conns[c]; e != nil {
		e.load.held += bytes - e.held
		e.held = bytes
	}
}

// stalled reports whether a request of the connection is overdue.
func (e *entry) stalled(now time.Time) bool {
	return (e.phase == New || e.phase == Reading) && now.Sub(e.since) >= StallTime
}

// closeOrder returns the rank in which a connection is closed for a new one, the lowest first; 0 means never.
func (e *entry) closeOrder(now time.Time) int {
	switch {
	case e.stalled(now):
		return 1
	case e.phase == New:
		return 2
	case e.phase == Idle:
		return 3
	case e.phase == Reading:
		return 4
	}
	return 0
}

// connVictim returns the connection that is closed for a new one: by rank, then of the address with the most connections,
// then the one without progress for the longest time. A request that is arriving is closed only if its address has more
// connections than that of the new one would have. It returns 0 if there is none.
func (t *Table) connVictim(now time.Time, from netip.Addr) Conn {
	own := 0
	if l := t.addrs[from]; l != nil {
		own = l.conns
	}
	var victim Conn
	var best *entry
	bestOrder := 0
	for c, e := range t.conns {
		order := e.closeOrder(now)
		if order == 0 || order == 4 && e.load.conns <= own+1 {
			continue
		}
		if best == nil || order < bestOrder || order == bestOrder && e.closedBefore(best) {
			victim, best, bestOrder = c, e, order
		}
	}
	return victim
}

func (e *entry) closedBefore(other *entry) bool {
	if e.load.conns != other.load.conns {
		return e.load.conns > other.load.conns
	}
	return e.since.Before(other.since)
}

// MemoryVictim returns the connection that is closed so that another one may hold more bytes: one whose request is overdue,
// else the one that holds the most, of the address that holds the most. It returns 0 if the connection that asks is the next
// one itself; its request has to be refused then.
func (t *Table) MemoryVictim(now time.Time, asking Conn, bytes int64) Conn {
	asker := t.conns[asking]
	if asker == nil {
		return 0
	}
	var victim Conn
	var best *entry
	for c, e := range t.conns {
		if c == asking || e.held == 0 || e.phase == Running {
			continue
		}
		if best == nil || e.givesUpBefore(best, now) {
			victim, best = c, e
		}
	}
	if best == nil || !best.stalled(now) && !best.holdsMoreThan(asker, bytes) {
		return 0
	}
	return victim
}

func (e *entry) givesUpBefore(other *entry, now time.Time) bool {
	if a, b := e.stalled(now), other.stalled(now); a != b {
		return a
	}
	if e.load.held != other.load.held {
		return e.load.held > other.load.held
	}
	return e.held > other.held
}

// holdsMoreThan compares addresses first, so that a caller with a small request goes before a crowd at one address.
func (e *entry) holdsMoreThan(asker *entry, bytes int64) bool {
	if e.load != asker.load && e.load.held != asker.load.held-asker.held+bytes {
		return e.load.held > asker.load.held-asker.held+bytes
	}
	return e.held > bytes
}
