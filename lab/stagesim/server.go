package stagesim

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"bluebellflow/core/batch"
	"bluebellflow/core/catalog"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

// networkDelay is the time of a message between a node and a server.
const networkDelay = 700 * time.Microsecond

// server is a simulated stage server.
type server struct {
	*fleet.Server
	sim         *Simulation
	pool        *catalog.Pool
	rand        *rand.Rand
	slowdown    float64 // multiple of the usual time
	down        bool
	silent      bool // while down, calls are not even refused
	incarnation int  // counts its starts
	queue       []*call
	running     *call
	usedMemory  int64
	results     map[string]*result
	lastResult  int
}

// call is a call at a server.
type call struct {
	start batch.StartCall
	done  func(batch.CallEnded)
}

// result is the outcome of a piece that a server keeps.
type result struct {
	server *server
	bytes  int64
}

func newServer(w *Simulation, pool *catalog.Pool, name string, domain id.FailureDomain, addr netip.AddrPort) *server {
	return &server{
		Server: &fleet.Server{ID: id.Server(name), Entry: fleet.Entry{Pool: pool.Name, Addr: addr, Domain: domain, Slots: pool.Pieces.MaxCalls}},
		sim:    w, pool: pool, rand: w.serverRand, slowdown: 1, results: map[string]*result{},
	}
}

// arrive takes in a call.
func (s *server) arrive(v *call) {
	switch {
	case s.down && s.silent:
	case s.down:
		s.sim.after(networkDelay, func() { v.done(batch.CallEnded{Call: v.start.Call, Fail: event.FailUnsent, Detail: "refused"}) })
	case s.running == nil:
		s.execute(v)
	case len(s.queue) >= s.pool.Pieces.MaxQueuedCalls:
		s.sim.after(networkDelay, func() { v.done(batch.CallEnded{Call: v.start.Call, Fail: event.FailRejected, Detail: "full"}) })
	default:
		s.queue = append(s.queue, v)
	}
}

// execute starts to work on a call: pieces without input or room fail at once, the others take their time together.
func (s *server) execute(v *call) {
	s.running = v
	outcomes := make([]batch.Outcome, len(v.start.Items))
	took, made := time.Duration(0), []*result{}
	for i, it := range v.start.Items {
		size := s.sim.resultSize(it)
		switch {
		case !s.sim.fetchInputs(s, it.Inputs):
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
			made = append(made, r)
			took += s.sim.pieceTime(it, s.pool)
		}
	}
	if len(made) > 0 {
		took = time.Duration(s.slowdown * float64(took+s.pool.Pieces.CallTime))
		s.sim.BusyTime += took
		s.sim.Calls++
		s.sim.Pieces += len(made)
	}
	epoch := s.incarnation
	s.sim.after(took+networkDelay, func() {
		if s.incarnation != epoch {
			return
		}
		s.sim.after(networkDelay, func() { v.done(batch.CallEnded{Call: v.start.Call, Outcomes: outcomes}) })
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

// crash ends the server's process for a while.
func (s *server) crash(span time.Duration, dark bool) {
	s.incarnation++
	s.down, s.silent = true, dark
	s.usedMemory = 0
	clear(s.results)
	for _, v := range append(s.queue, s.running) {
		if v != nil && !dark {
			s.sim.after(networkDelay, func() { v.done(batch.CallEnded{Call: v.start.Call, Fail: event.FailBroken, Detail: "reset"}) })
		}
	}
	s.queue, s.running = nil, nil
	s.sim.after(span, func() { s.down = false })
}
