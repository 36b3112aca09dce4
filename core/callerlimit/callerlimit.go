package callerlimit

import (
	"net/netip"
	"time"
)

const (
	// StallTime is the time without progress after which a connection is the first to be closed when a limit is reached. Callers
	// inside the limits read and send without long stops.
	StallTime = time.Second
	// minProgressBytes is the least number of bytes of a request that counts as progress, so that a caller cannot keep a connection
	// by sending single bytes.
	minProgressBytes = 1 << 10
)

// Conn identifies a connection.
type Conn uint64

// Phase is the state of a connection.
type Phase uint8

const (
	// New means that no request has arrived yet.
	New Phase = iota
	// Idle means that all requests have been answered.
	Idle
	// Reading means that a request is arriving.
	Reading
	// Running means that a request has arrived and may be running.
	Running
)

// Table holds the connections of callers and the memory that each of them takes.
type Table struct {
	maxConns int
	conns    map[Conn]*entry
	addrs    map[netip.Addr]*addrUsage
}

// entry is a connection.
type entry struct {
	usage    *addrUsage // of its address
	phase    Phase
	since    time.Time // of the last change of phase or progress
	held     int64     // bytes
	received int64     // bytes of the request at the last progress
}

// addrUsage is what the connections from one address take together.
type addrUsage struct {
	addr  netip.Addr
	conns int
	held  int64
}

// NewTable returns a table for at most maxConns connections.
func NewTable(maxConns int) *Table {
	return &Table{maxConns: maxConns, conns: map[Conn]*entry{}, addrs: map[netip.Addr]*addrUsage{}}
}

// Room reports whether there is room for a connection, or for none. If evict is not 0, that connection has to be closed first.
func (t *Table) Room(now time.Time, from netip.Addr) (evict Conn, ok bool) {
	if len(t.conns) < t.maxConns {
		return 0, true
	}
	evict = t.connVictim(now, from)
	return evict, evict != 0
}

// Open adds a connection for which there is room.
func (t *Table) Open(now time.Time, c Conn, from netip.Addr) {
	l := t.addrs[from]
	if l == nil {
		l = &addrUsage{addr: from}
		t.addrs[from] = l
	}
	l.conns++
	t.conns[c] = &entry{usage: l, since: now}
}

// Close removes a connection.
func (t *Table) Close(c Conn) {
	e := t.conns[c]
	if e == nil {
		return
	}
	delete(t.conns, c)
	e.usage.held -= e.held
	if e.usage.conns--; e.usage.conns == 0 {
		delete(t.addrs, e.usage.addr)
	}
}

// Len returns the number of connections.
func (t *Table) Len() int { return len(t.conns) }

// Begin records that a request began to arrive at a time on a connection that was New or Idle. It reports false if that was known
// already.
func (t *Table) Begin(at time.Time, c Conn) bool {
	e := t.conns[c]
	if e == nil || e.phase != New && e.phase != Idle {
		return false
	}
	t.SetPhase(at, c, Reading)
	return true
}

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

// Hold records how many bytes a connection holds for its request.
func (t *Table) Hold(c Conn, bytes int64) {
	if e := t.conns[c]; e != nil {
		e.usage.held += bytes - e.held
		e.held = bytes
	}
}

// stalled reports whether the connection waits for a request that has made no progress for StallTime.
func (e *entry) stalled(now time.Time) bool {
	return (e.phase == New || e.phase == Reading) && now.Sub(e.since) >= StallTime
}

// closeRank is the rank in which a connection is closed for a new one, the lowest first.
type closeRank uint8

const (
	closeNever closeRank = iota
	closeStalled
	closeNew
	closeIdle
	closeReading
)

func (e *entry) closeRank(now time.Time) closeRank {
	switch {
	case e.stalled(now):
		return closeStalled
	case e.phase == New:
		return closeNew
	case e.phase == Idle:
		return closeIdle
	case e.phase == Reading:
		return closeReading
	}
	return closeNever
}

// connVictim returns the connection to close for a new one: the one of the lowest rank, then of the address with the most
// connections, then the one that has made no progress for the longest time. A connection whose request is arriving is closed only
// if its address has more connections than that of the new one would have. It returns 0 if there is none.
func (t *Table) connVictim(now time.Time, from netip.Addr) Conn {
	own := 0
	if l := t.addrs[from]; l != nil {
		own = l.conns
	}
	var victim Conn
	var best *entry
	bestRank := closeNever
	for c, e := range t.conns {
		rank := e.closeRank(now)
		if rank == closeNever || rank == closeReading && e.usage.conns <= own+1 {
			continue
		}
		if best == nil || rank < bestRank || rank == bestRank && e.closedBefore(best) {
			victim, best, bestRank = c, e, rank
		}
	}
	return victim
}

// closedBefore reports whether e is closed before another connection of the same rank.
func (e *entry) closedBefore(other *entry) bool {
	if e.usage.conns != other.usage.conns {
		return e.usage.conns > other.usage.conns
	}
	return e.since.Before(other.since)
}

// MemoryVictim returns the connection to close so that the asking connection may hold the given number of bytes: a stalled one if
// there is any, else one of the address that holds the most, and of these the one that holds the most. It returns 0 if the asking
// connection itself would hold the most; its request is then refused.
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
		if best == nil || e.freedBefore(best, now) {
			victim, best = c, e
		}
	}
	if best == nil || !best.stalled(now) && !best.holdsMoreThan(asker, bytes) {
		return 0
	}
	return victim
}

// freedBefore reports whether e is closed before another connection to free memory.
func (e *entry) freedBefore(other *entry, now time.Time) bool {
	if a, b := e.stalled(now), other.stalled(now); a != b {
		return a
	}
	if e.usage.held != other.usage.held {
		return e.usage.held > other.usage.held
	}
	return e.held > other.held
}

// holdsMoreThan reports whether e holds more than the asking connection would with the given number of bytes. Addresses are
// compared first, so that a small request is preferred to many connections from one address.
func (e *entry) holdsMoreThan(asker *entry, bytes int64) bool {
	if e.usage != asker.usage && e.usage.held != asker.usage.held-asker.held+bytes {
		return e.usage.held > asker.usage.held-asker.held+bytes
	}
	return e.held > bytes
}
