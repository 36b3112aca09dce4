package stagesim

import (
	"fmt"
	"net/netip"
	"time"

	"bluebellflow/core/batch"
	"bluebellflow/core/catalog"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

// networkDelay is the one-way delay of a message between a node and a server.
const networkDelay = 700 * time.Microsecond

// server is a simulated stage server.
type server struct {
	*fleet.Server
	sim         *Simulation
	pool        *catalog.Pool
	slowdown    float64 // factor on the usual time of a call
	down        bool
	silent      bool // while down, the server does not answer at all instead of refusing calls
	incarnation int  // number of crashes
	queue       []*call
	running     *call
	usedMemory  int64              // bytes of the results kept
	results     map[string]*result // by handle
	lastResult  int                // number of the last result, part of its handle
}

// call is a call that has reached a server, and the function that reports its end.
type call struct {
	start batch.StartCall
	done  func(batch.CallEnded)
}

// result is the result of a piece, kept by a server.
type result struct {
	server *server
	bytes  int64
}

func newServer(sim *Simulation, pool *catalog.Pool, name string, domain id.FailureDomain, addr netip.AddrPort) *server {
	return &server{
		Server: &fleet.Server{ID: id.Server(name), Entry: fleet.Entry{Pool: pool.Name, Addr: addr, Domain: domain, Slots: pool.Pieces.MaxCalls}},
		sim:    sim, pool: pool, slowdown: 1, results: map[string]*result{},
	}
}

// arrive executes, queues or refuses a call.
func (s *server) arrive(c *call) {
	switch {
	case s.down && s.silent:
	case s.down:
		s.sim.after(networkDelay, func() { c.done(batch.CallEnded{Call: c.start.Call, Fail: event.FailUnsent, Detail: "refused"}) })
	case s.running == nil:
		s.execute(c)
	case len(s.queue) >= s.pool.Pieces.MaxQueuedCalls:
		s.sim.after(networkDelay, func() { c.done(batch.CallEnded{Call: c.start.Call, Fail: event.FailRejected, Detail: "full"}) })
	default:
		s.queue = append(s.queue, c)
	}
}

// execute starts a call. Pieces whose inputs are missing or whose result does not fit into memory fail at once; the call takes
// the sum of the times of the other pieces.
func (s *server) execute(c *call) {
	s.running = c
	outcomes := make([]batch.Outcome, len(c.start.Items))
	duration, kept := time.Duration(0), []*result{}
	for i, item := range c.start.Items {
		size := s.sim.resultSize(item)
		switch {
		case !s.sim.fetchInputs(s, item.Inputs):
			outcomes[i].Reason = batch.ReasonInputMissing
		case s.usedMemory+size > s.pool.Pieces.ResultMemory:
			outcomes[i].Reason = batch.ReasonServerFull
			s.sim.OutOfMemory++
		default:
			s.usedMemory += size
			s.lastResult++
			r := &result{server: s, bytes: size}
			outcomes[i].Handle = fmt.Sprintf("%s/%d.%d", s.ID, s.incarnation, s.lastResult)
			s.results[outcomes[i].Handle] = r
			kept = append(kept, r)
			duration += s.sim.pieceTime(item, s.pool)
		}
	}
	if len(kept) > 0 {
		duration = time.Duration(s.slowdown * float64(duration+s.pool.Pieces.CallTime))
		s.sim.BusyTime += duration
		s.sim.Calls++
		s.sim.Pieces += len(kept)
	}
	incarnation := s.incarnation
	s.sim.after(duration+networkDelay, func() {
		if s.incarnation != incarnation {
			return
		}
		s.sim.after(networkDelay, func() { c.done(batch.CallEnded{Call: c.start.Call, Outcomes: outcomes}) })
		s.sim.after(s.pool.Pieces.ResultTTL, func() { s.expire(outcomes) })
		s.running = nil
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.execute(next)
		}
	})
}

func (s *server) expire(outcomes []batch.Outcome) {
	for _, o := range outcomes {
		s.free(o.Handle)
	}
}

func (s *server) free(handle string) {
	if r, ok := s.results[handle]; ok {
		s.usedMemory -= r.bytes
		delete(s.results, handle)
	}
}

// crash stops the server's process for the given time. A silent server drops its calls without an answer.
func (s *server) crash(outage time.Duration, silent bool) {
	s.incarnation++
	s.down, s.silent = true, silent
	s.usedMemory = 0
	clear(s.results)
	for _, c := range append(s.queue, s.running) {
		if c != nil && !silent {
			s.sim.after(networkDelay, func() { c.done(batch.CallEnded{Call: c.start.Call, Fail: event.FailBroken, Detail: "reset"}) })
		}
	}
	s.queue, s.running = nil, nil
	s.sim.after(outage, func() { s.down = false })
}
