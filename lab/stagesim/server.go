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

// hop is the time of a message between a node and a server.
const hop = 700 * time.Microsecond

// server is a simulated stage server.
type server struct {
	*fleet.Server
	world   *World
	pool    *catalog.Pool
	rng     *rand.Rand
	slow    float64 // multiple of the usual time
	down    bool
	dark    bool // while down, calls are not even refused
	epoch   int  // counts its starts
	queue   []*visit
	running *visit
	room    int64
	results map[string]*result
	next    int
}

// visit is a call at a server.
type visit struct {
	run  batch.StartCall
	done func(batch.CallEnded)
}

// result is the outcome of a piece that a server keeps.
type result struct {
	server *server
	bytes  int64
}

func newServer(w *World, pool *catalog.Pool, name string, domain id.FailureDomain, addr netip.AddrPort) *server {
	return &server{
		Server: &fleet.Server{ID: id.Server(name), Entry: fleet.Entry{Pool: pool.Name, Addr: addr, Domain: domain, Slots: pool.Pieces.MaxCalls}},
		world:  w, pool: pool, rng: w.rng, slow: 1, results: map[string]*result{},
	}
}

// arrive takes in a call.
func (s *server) arrive(v *visit) {
	switch {
	case s.down && s.dark:
	case s.down:
		s.world.after(hop, func() { v.done(batch.CallEnded{Call: v.run.Call, Fail: event.FailUnsent, Detail: "refused"}) })
	case s.running == nil:
		s.begin(v)
	case len(s.queue) >= s.pool.Pieces.MaxQueuedCalls:
		s.world.after(hop, func() { v.done(batch.CallEnded{Call: v.run.Call, Fail: event.FailRejected, Detail: "full"}) })
	default:
		s.queue = append(s.queue, v)
	}
}

// begin starts to work on a call: pieces without input or room fail at once, the others take their time together.
func (s *server) begin(v *visit) {
	s.running = v
	outcomes := make([]batch.Outcome, len(v.run.Items))
	took, made := time.Duration(0), []*result{}
	for i, it := range v.run.Items {
		size := s.world.size(it)
		switch {
		case !s.world.fetch(s, it.Inputs):
			outcomes[i].Reason = batch.ReasonInputMissing
		case s.room+size > s.pool.Pieces.ResultMemory:
			outcomes[i].Reason = batch.ReasonServerFull
			s.world.Full++
		default:
			s.room += size
			s.next++
			r := &result{server: s, bytes: size}
			outcomes[i].Handle = fmt.Sprintf("%s/%d.%d", s.ID, s.epoch, s.next)
			s.results[outcomes[i].Handle] = r
			made = append(made, r)
			took += s.world.work(it, s.pool)
		}
	}
	if len(made) > 0 {
		took = time.Duration(s.slow * float64(took+s.pool.Pieces.CallTime))
		s.world.Busy += took
		s.world.Calls++
		s.world.Pieces += len(made)
	}
	epoch := s.epoch
	s.world.after(took+hop, func() {
		if s.epoch != epoch {
			return
		}
		s.world.after(hop, func() { v.done(batch.CallEnded{Call: v.run.Call, Outcomes: outcomes}) })
		s.world.after(s.pool.Pieces.ResultTTL, func() { s.expire(outcomes) })
		s.running = nil
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.begin(next)
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
		s.room -= r.bytes
		delete(s.results, handle)
	}
}

// crash ends the server's process for a while.
func (s *server) crash(span time.Duration, dark bool) {
	s.epoch++
	s.down, s.dark = true, dark
	s.room = 0
	clear(s.results)
	for _, v := range append(s.queue, s.running) {
		if v != nil && !dark {
			s.world.after(hop, func() { v.done(batch.CallEnded{Call: v.run.Call, Fail: event.FailBroken, Detail: "reset"}) })
		}
	}
	s.queue, s.running = nil, nil
	s.world.after(span, func() { s.down = false })
}
