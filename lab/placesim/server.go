package placesim

import (
	"slices"
	"time"

	"bluebellflow/core/balance"
	"bluebellflow/core/cost"
	"bluebellflow/core/selfreport"
)

// Properties of the simulated servers.
const (
	stepTime       = 3 * time.Millisecond
	stepTimeBeside = 50 * time.Microsecond // for each request in a step
	readPerMilli   = 105                   // prompt tokens
	tokensPerEvent = 10
	cacheTokens    = 60_000 // of shared parts
)

// run is a request at a server.
type run struct {
	node    *balance.Balancer
	index   int // of the node
	query   balance.Query
	parts   []cost.Part
	arrived time.Time
	unread  int // prompt tokens
	tokens  int // of the response
	sent    int // of these
}

// server is a model server. In each step it reads the prompts of its new requests, and produces a token for each request.
type server struct {
	at               int
	waiting, running []*run
	cached           []cost.Part // the least recently used one first
	busy             bool
	slow             float64
	served           int
}

// use marks a shared part as the most recently used one in the cache, and reports whether it was cached before.
func (s *server) use(part cost.Part) bool {
	i := slices.IndexFunc(s.cached, func(p cost.Part) bool { return p.ID == part.ID })
	if i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
	}
	s.cached = append(s.cached, part)
	for sum := tokens(s.cached); sum > cacheTokens; sum = tokens(s.cached) {
		s.cached = s.cached[1:]
	}
	return i >= 0
}

func tokens(parts []cost.Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// load returns the report of a server's load.
func (s *server) load(slots int) selfreport.Load {
	return selfreport.Load{Running: len(s.running), Waiting: len(s.waiting), Slots: slots, Pace: int(selfreport.NormalPace * s.slow)}
}

// begin starts a request at a server. A part that is not cached there counts as read again if any server has read it before.
func (s *Simulation) begin(m *server, r *run) {
	cached := true
	for _, part := range r.parts {
		if cached = m.use(part) && cached; cached {
			continue
		}
		r.unread += part.Tokens
		if s.read.Has(part.ID) {
			s.Reread += part.Tokens
		}
		s.read.Add(part.ID)
	}
	m.running = append(m.running, r)
}

// step runs a step of a server, which reads all new prompts and produces a token for each request.
func (s *Simulation) step(m *server) {
	for len(m.waiting) > 0 && len(m.running) < s.Slots {
		s.begin(m, m.waiting[0])
		m.waiting = m.waiting[1:]
	}
	if m.busy || len(m.running) == 0 {
		return
	}
	took := stepTime + time.Duration(len(m.running))*stepTimeBeside
	batch := slices.Clone(m.running)
	for _, r := range batch {
		took += time.Duration(r.unread) * time.Millisecond / readPerMilli
		r.unread = 0
	}
	m.busy = true
	s.after(time.Duration(float64(took)*m.slow), func() {
		m.busy = false
		for _, r := range batch {
			s.addToken(m, r)
		}
		s.step(m)
	})
}

// addToken records a token of the response to a request.
func (s *Simulation) addToken(m *server, r *run) {
	r.sent++
	name := s.servers[m.at].ID
	if r.sent == tokensPerEvent {
		if s.now.Sub(epoch) > warmUp {
			s.First = append(s.First, s.now.Sub(r.arrived))
		}
		r.node.ResponseStarted(s.now, name, r.arrived, s.Report(m.at, m.load(s.Slots)))
	}
	if r.sent == r.tokens {
		m.running = slices.DeleteFunc(m.running, func(o *run) bool { return o == r })
		s.inflight[r.index][m.at]--
		r.node.End(s.now, name, r.arrived, balance.Outcome{Took: s.now.Sub(r.arrived), Events: r.tokens / tokensPerEvent})
	}
}
