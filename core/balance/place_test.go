package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/balance"
	"bluebellflow/core/cost"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/ratelimit"
	"bluebellflow/core/selfreport"
	"bluebellflow/core/timerqueue"
)

// Properties of the simulated model servers.
const (
	slots           = 12
	stepTime        = 3 * time.Millisecond
	stepTimeBeside  = 50 * time.Microsecond
	readPerMilli    = 105 // prompt tokens
	tokensPerEvent  = 10
	telling         = 250 * time.Millisecond // between two exchanges of work among the nodes
	simulatedSpan   = 30 * time.Second
	measuredFrom    = 10 * time.Second // what was learned by then counts
	sharedTokens    = 3000
	objective       = 500 * time.Millisecond
	sharedShare     = 0.6 // of the requests
	meanOwnTokens   = 500
	longPromptShare = 0.08
)

// run is a request at a simulated server.
type run struct {
	node                  *balance.Balancer
	q                     balance.Query
	sent                  time.Time
	unread, tokens, given int
}

// modelServer reads the prompts of its requests, and gives each a token in a step.
type modelServer struct {
	at               int
	waiting, running []*run
	cached           id.Set[uint64]
	busy             bool
	slow             float64
	served           int
}

// simulation is a number of nodes that place requests at model servers.
type simulation struct {
	*harness
	rng     *rand.Rand
	timers  timerqueue.Heap[func()]
	nodes   []*balance.Balancer
	models  []*modelServer
	parts   int                                          // shared parts
	hot     float64                                      // share of the requests with shared parts that have the first of them
	hint    float64                                      // factor by which estimates of the callers are too high or too low
	alone   bool                                         // the nodes do not tell each other of their work
	report  func(int, selfreport.Load) selfreport.Report // of a server
	first   []time.Duration                              // times to the first event
	rereads int                                          // shared parts that were read again
	homes   id.Set[uint64]                               // shared parts that some server has read
}

// newSimulation returns a simulation in which the change may set another workload than the usual one.
func newSimulation(nodes, servers int, rate float64, change func(*simulation)) *simulation {
	s := &simulation{harness: newHarness(servers), rng: rand.New(rand.NewPCG(3, 3)), parts: 20 * servers, hint: 1, homes: id.NewSet[uint64]()}
	s.report = func(_ int, l selfreport.Load) selfreport.Report { return selfreport.Report{Load: l, LoadKnown: true} }
	for i, server := range s.servers.list {
		server.Slots = slots
		s.models = append(s.models, &modelServer{at: i, cached: id.NewSet[uint64](), slow: 1})
	}
	for i := range nodes {
		self := event.Self{Node: id.Node(fmt.Sprint("n", i)), FailureDomain: id.FailureDomain(fmt.Sprint("d", i%3)), Rand: rand.New(rand.NewPCG(uint64(i), 1))}
		node := balance.New(self, s.servers, ratelimit.NewColdLimiter(self.Node, 0), selfreport.New(self))
		node.SetNodes(nodes)
		s.nodes = append(s.nodes, node)
	}
	change(s)
	s.every(func() time.Duration { return time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)) }, s.arrive)
	if !s.alone {
		s.every(func() time.Duration { return telling }, s.tell)
	}
	for s.timers.Len() > 0 {
		s.now = s.timers.Next()
		s.timers.Pop()()
	}
	return s
}

func (s *simulation) after(d time.Duration, f func()) { s.timers.Set(s.now.Add(d), f) }

// every calls a function again and again.
func (s *simulation) every(pause func() time.Duration, f func()) {
	s.after(pause(), func() {
		if s.now.Sub(epoch) < simulatedSpan {
			f()
			s.every(pause, f)
		}
	})
}

// tell tells each node the work of the others.
func (s *simulation) tell() {
	sum := map[id.Server]cost.Work{}
	for _, n := range s.nodes {
		for server, w := range n.Model().Work(s.now) {
			t := sum[server]
			sum[server] = cost.Work{Requests: t.Requests + w.Requests, Read: t.Read + w.Read, Write: t.Write + w.Write}
		}
	}
	for _, n := range s.nodes {
		own := n.Model().Work(s.now)
		for _, server := range s.servers.list {
			t, o := sum[server.ID], own[server.ID]
			n.Model().SetRemote(s.now, server, cost.Work{Requests: t.Requests - o.Requests, Read: t.Read - o.Read, Write: t.Write - o.Write})
		}
	}
}

// arrive sends a request from a random node.
func (s *simulation) arrive() {
	r := &run{node: s.nodes[s.rng.IntN(len(s.nodes))], unread: 100 + int(s.rng.ExpFloat64()*meanOwnTokens), tokens: 20 << s.rng.IntN(5), sent: s.now}
	if s.rng.Float64() < longPromptShare {
		r.unread += 6000
	}
	size := &cost.Request{Prompt: r.unread, Output: 600, Hint: r.tokens, Stream: true, Objective: objective, Deadline: 10 * time.Second}
	size.Hint = int(float64(r.tokens) * math.Pow(s.hint, 2*s.rng.Float64()-1))
	if s.rng.Float64() < sharedShare {
		part := uint64(1 + s.rng.IntN(s.parts))
		if s.rng.Float64() < s.hot {
			part = 1
		}
		size.Shared, size.Prompt = []cost.Part{{ID: part, Tokens: sharedTokens}}, size.Prompt+sharedTokens
	}
	r.q = balance.Query{Pool: pool, Request: size, StuckAfter: 3 * objective}
	server, _ := r.node.Pick(s.now, r.q)
	r.node.Start(s.now, server, r.q)
	m := s.models[slices.Index(s.servers.list, server)]
	m.served++
	m.waiting = append(m.waiting, r)
	s.step(m)
}

// begin makes a server begin with a request.
func (s *simulation) begin(m *modelServer, r *run) {
	for _, part := range r.q.Request.Shared {
		if !m.cached.Has(part.ID) {
			r.unread += part.Tokens
			if s.homes.Has(part.ID) {
				s.rereads++
			}
		}
		m.cached.Add(part.ID)
		s.homes.Add(part.ID)
	}
	m.running = append(m.running, r)
}

// step lets a server do a step: it reads all new prompts and gives each request a token.
func (s *simulation) step(m *modelServer) {
	for len(m.waiting) > 0 && len(m.running) < slots {
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
			s.give(m, r)
		}
		s.step(m)
	})
}

// give gives a request a token.
func (s *simulation) give(m *modelServer, r *run) {
	r.given++
	name := s.servers.list[m.at].ID
	if r.given == tokensPerEvent {
		if s.now.Sub(epoch) > measuredFrom {
			s.first = append(s.first, s.now.Sub(r.sent))
		}
		load := selfreport.Load{Running: len(m.running), Waiting: len(m.waiting), Slots: slots, Pace: int(100 * m.slow)}
		r.node.ResponseStarted(s.now, name, r.sent, s.report(m.at, load))
	}
	if r.given == r.tokens {
		m.running = slices.DeleteFunc(m.running, func(o *run) bool { return o == r })
		r.node.End(s.now, name, r.sent, balance.Outcome{Took: s.now.Sub(r.sent), Events: r.tokens / tokensPerEvent})
	}
}

// p99 returns the time to the first event that one of a hundred requests exceeds.
func (s *simulation) p99() time.Duration {
	slices.Sort(s.first)
	return s.first[len(s.first)*99/100]
}

// share returns the requests of a server as a multiple of the mean.
func (s *simulation) share(server int) float64 {
	sum := 0
	for _, m := range s.models {
		sum += m.served
	}
	return float64(s.models[server].served*len(s.models)) / float64(sum)
}

// busiest returns the largest share of a server.
func (s *simulation) busiest() float64 {
	most := 0.0
	for i := range s.models {
		most = max(most, s.share(i))
	}
	return most
}

// TestPatterns guards against requests that wait at an overloaded server while others are idle, and against shared parts that are read
// again for nothing, in workloads that a count of requests does not tell apart.
func TestPatterns(t *testing.T) {
	const nodes, servers, rate = 60, 30, 420
	for name, c := range map[string]struct {
		change  func(*simulation)
		p99     time.Duration // all are upper bounds
		busiest float64
		first   float64 // share of the first server
		rereads int
	}{
		"mixed sizes":       {func(*simulation) {}, 300 * time.Millisecond, 1.25, 1.25, 40},
		"popular part":      {func(s *simulation) { s.hot = 0.4 }, objective, 1.8, 1.8, 250},
		"slow server":       {func(s *simulation) { s.models[0].slow = 3 }, 2 * objective, 1.25, 0.7, 150},
		"lying server":      {func(s *simulation) { s.report = lieOfFirst }, 300 * time.Millisecond, 1.25, 1.2, 40},
		"no reports":        {func(s *simulation) { s.report = noReport }, 300 * time.Millisecond, 1.25, 1.25, 40},
		"wrong by factor 4": {func(s *simulation) { s.hint = 4 }, 300 * time.Millisecond, 1.25, 1.25, 40},
		"no work of others": {func(s *simulation) { s.alone = true }, 450 * time.Millisecond, 1.25, 1.25, 40},
		"no reports, alone": {func(s *simulation) { s.alone, s.report = true, noReport }, 450 * time.Millisecond, 1.25, 1.25, 40},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSimulation(nodes, servers, rate, c.change)
			t.Logf("p99 %s, busiest %.2f, first %.2f, %d parts read again", s.p99(), s.busiest(), s.share(0), s.rereads)
			g.Expect(s.p99()).To(BeNumerically("<", c.p99))
			g.Expect(s.busiest()).To(BeNumerically("<", c.busiest))
			g.Expect(s.share(0)).To(BeNumerically("<", c.first))
			g.Expect(s.rereads).To(BeNumerically("<", c.rereads))
		})
	}
}

// lieOfFirst is the report of a server; the first one says that it is idle and fast.
func lieOfFirst(server int, l selfreport.Load) selfreport.Report {
	if server == 0 {
		l = selfreport.Load{Slots: slots, Pace: 30}
	}
	return selfreport.Report{Load: l, LoadKnown: true}
}

func noReport(int, selfreport.Load) selfreport.Report { return selfreport.Report{} }

// BenchmarkPick measures a decision among 1,000 servers, with its start and its end.
func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{90, 1000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			h := newHarness(servers)
			var queries []balance.Query
			for i := range uint64(1000) {
				queries = append(queries, prompt(i+1))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				h.now = h.now.Add(time.Millisecond)
				q := queries[i%len(queries)]
				s, _ := h.Pick(h.now, q)
				h.Start(h.now, s, q)
				h.End(h.now, s.ID, h.now, balance.Outcome{Took: time.Second, Events: 10})
			}
		})
	}
}
