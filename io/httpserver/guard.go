package httpserver

import (
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"bluebellflow/core/callerlimit"
	"bluebellflow/io/membudget"
)

// reportInterval is the least time between two reports of refused and closed connections.
const reportInterval = time.Second

// Limits bounds the number of connections, and what each one may do even if memory and connections are available.
type Limits struct {
	Conns int
	Stall time.Duration // how long no byte of a body may arrive
	Write time.Duration // for each 16 KiB of a response
	Lines int           // header lines of a request
}

// check returns an error for a limit that is not set, because with it no request would be served.
func (l Limits) check() error {
	for _, limit := range []struct {
		name  string
		value int64
	}{{"connections", int64(l.Conns)}, {"stall", int64(l.Stall)}, {"write", int64(l.Write)}, {"lines", int64(l.Lines)}} {
		if limit.value <= 0 {
			return fmt.Errorf("limits for callers: %s: %d is not above 0", limit.name, limit.value)
		}
	}
	return nil
}

// Guard keeps the connections of callers within a budget. Package callerlimit decides which ones are refused or closed.
type Guard struct {
	limits Limits
	budget *membudget.Budget
	vars   *expvar.Map
	report func(error)

	mu         sync.Mutex
	table      *callerlimit.Table
	conns      map[callerlimit.Conn]*guardedConn
	lastConn   callerlimit.Conn
	refused    int // connections and requests since the last report
	closed     int
	reportedAt time.Time
}

// GuardOption configures a Guard.
type GuardOption func(*Guard)

// WithVars counts what is refused and closed in the given map, under names that begin with "callers_".
func WithVars(vars *expvar.Map) GuardOption { return func(g *Guard) { g.vars = vars } }

// WithReport sets a function that is called at most once a second while connections or requests are refused or closed. It must not
// call the guard.
func WithReport(report func(error)) GuardOption { return func(g *Guard) { g.report = report } }

// NewGuard returns a guard whose connections share the budget with those of other guards.
func NewGuard(budget *membudget.Budget, limits Limits, opts ...GuardOption) *Guard {
	g := &Guard{
		limits: limits, budget: budget, vars: new(expvar.Map), report: func(error) {},
		table: callerlimit.NewTable(limits.Conns), conns: map[callerlimit.Conn]*guardedConn{},
	}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Conns returns the number of open connections.
func (g *Guard) Conns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Len()
}

// install makes a server use the guard.
func (g *Guard) install(server *http.Server) {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if !c.headerComplete(r) {
			c.reportUnanswered(connReading)
			panic(http.ErrAbortHandler)
		}
		defer c.releaseRequest()
		next.ServeHTTP(w, r)
	})
	state := server.ConnState
	server.ConnState = func(conn net.Conn, s http.ConnState) {
		if c, ok := conn.(*guardedConn); ok && s == http.StateIdle {
			c.expectHeader()
		}
		if state != nil {
			state(conn, s)
		}
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// connOf returns the connection of a request, nil if no guard watches it.
func connOf(r *http.Request) *guardedConn {
	c, _ := r.Context().Value(connKey{}).(*guardedConn)
	return c
}

// listener accepts connections that the guard admits. Its own listener wraps them.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection that is admitted. It closes those that are refused.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(conn.(*trackedConn)); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}

// admit returns the guarded connection, or nil if it is refused.
func (g *Guard) admit(conn *trackedConn) *guardedConn {
	now := time.Now()
	from, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastConn++
	c := &guardedConn{trackedConn: conn, guard: g, id: g.lastConn}
	c.inHeader.Store(true)
	if !g.makeRoom(now, from.Addr()) {
		g.countRefused(now, "callers_refused_connections")
		return nil
	}
	g.table.Open(now, c.id, from.Addr())
	g.conns[c.id] = c
	return c
}

// makeRoom closes a connection for a new one from an address if that is needed, and reports whether there is room. The caller must
// hold g.mu.
func (g *Guard) makeRoom(now time.Time, from netip.Addr) bool {
	for {
		victim, ok := g.table.Room(now, from)
		if victim == 0 {
			return ok
		}
		g.evict(now, victim)
	}
}

// take takes more bytes of the budget for a connection, which will then hold the given bytes for its request. While the budget is
// exhausted, it closes the connections that callerlimit selects. The caller must hold g.mu.
func (g *Guard) take(now time.Time, c *guardedConn, more, bytes int64) bool {
	for !g.budget.Take(more) {
		victim := g.table.MemoryVictim(now, c.id, bytes)
		if victim == 0 {
			return false
		}
		g.evict(now, victim)
	}
	return true
}

// hold reports whether a connection may hold a number of bytes for its request.
func (g *Guard) hold(c *guardedConn, bytes int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns[c.id] == nil {
		return false // evicted
	}
	now := time.Now()
	more := bytes - c.taken
	switch {
	case more <= 0:
		g.budget.Return(-more)
	case !g.take(now, c, more, bytes):
		g.countRefused(now, "callers_refused_memory")
		return false
	}
	c.taken += more
	g.table.Hold(c.id, bytes)
	return true
}

// setPhase records the phase of a connection, or reports false if the connection was evicted.
func (g *Guard) setPhase(c *guardedConn, p callerlimit.Phase) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetPhase(time.Now(), c.id, p)
	return g.conns[c.id] != nil
}

// progress records how many bytes of a body have arrived.
func (g *Guard) progress(c *guardedConn, received int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Progress(time.Now(), c.id, int64(received))
}

// remove forgets a connection and returns what it has taken. The caller must hold g.mu.
func (g *Guard) remove(c *guardedConn) {
	if g.conns[c.id] == nil {
		return
	}
	delete(g.conns, c.id)
	g.table.Close(c.id)
	g.budget.Return(c.taken)
	c.taken = 0
}

// evict closes a connection to make room. If part of a request has arrived on one that counts as new or idle, evict only records that;
// another one may be selected then. The caller must hold g.mu.
func (g *Guard) evict(now time.Time, victim callerlimit.Conn) {
	c := g.conns[victim]
	if !c.closeWaiting(ByGuard) {
		if g.table.Begin(c.requestBegan(now), victim) {
			return
		}
		c.endBy(ByGuard)
		_ = c.trackedConn.Close()
	}
	g.remove(c)
	g.vars.Add("callers_closed", 1)
	g.closed++
	g.reportRefused(now)
}

// countRefused counts a refused connection or request. The caller must hold g.mu.
func (g *Guard) countRefused(now time.Time, name string) {
	g.vars.Add(name, 1)
	g.refused++
	g.reportRefused(now)
}

// reportRefused reports what was refused and closed since the last report, at most once in reportInterval.
func (g *Guard) reportRefused(now time.Time) {
	if now.Sub(g.reportedAt) < reportInterval {
		return
	}
	g.reportedAt = now
	g.report(fmt.Errorf("callers outside the limits: %d connections closed and %d connections or requests refused, %d connections open, %d bytes left",
		g.closed, g.refused, g.table.Len(), g.budget.Left()))
	g.closed, g.refused = 0, 0
}

// errHeaderLines means that a request has more header lines than Limits allow.
var errHeaderLines = errors.New("too many header lines")

// errEvicted means that the connection was closed to make room.
var errEvicted = errors.New("connection closed to make room for others")

// errMemory means that there is no memory for the headers of a request.
var errMemory = errors.New("no memory for the headers of a request")
