package placesim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/balance"
	"bluebellflow/core/cost"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/ratelimit"
	"bluebellflow/core/selfreport"
	"bluebellflow/core/timerqueue"
)

const (
	pool = id.Pool("models")
	// warmUp is the time from the start that results leave out, because the cost models have few measurements then.
	warmUp = 10 * time.Second
	// shareInterval is the time between two exchanges of work between the nodes.
	shareInterval   = 250 * time.Millisecond
	meanOwnTokens   = 500
	longOwnTokens   = 6000
	longPromptShare = 0.08
	deadline        = 10 * time.Second
	failureDomains  = 3
	// earlierExcess is the number of requests above its mean that a node sends to a server under the policy Earlier before it uses
	// the next one.
	earlierExcess = 6
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Policy is the way in which nodes choose servers.
type Policy uint8

const (
	// ByCost is the choice of package balance.
	ByCost Policy = iota
	// Earlier is the choice by the number of requests: the first server in the order of the shared part at which this node has few
	// requests, or without a shared part the one with the lowest cost by the number of requests.
	Earlier
)

// Setup describes a simulation.
type Setup struct {
	Policy                Policy
	Nodes, Servers, Slots int
	Rate                  float64 // requests per second
	Span                  time.Duration
	Parts                 int     // shared prompt parts
	PartTokens            int     // mean tokens of a shared part
	Skew                  float64 // 1 if all shared parts are used equally often, higher for more uneven use
	Popular               float64 // share of the requests with a shared part that are forced to have the first one
	Shared                float64 // share of the requests that have a shared part
	HintError             float64 // largest factor by which estimates of the callers are too high or too low
	Slow                  float64 // factor by which the first server is slower than the others
	Alone                 bool    // the nodes do not exchange their work
	Objective             time.Duration
	Report                func(server int, l selfreport.Load) selfreport.Report // what a server reports
}

// Truthful is the report of a server that states its load.
func Truthful(_ int, l selfreport.Load) selfreport.Report {
	return selfreport.Report{Load: l, LoadKnown: true}
}

// Simulation is a simulation and its results.
type Simulation struct {
	Setup
	First  []time.Duration // times from the arrival to the first event, sorted
	Reread int             // tokens of shared parts that were read again

	now      time.Time
	rng      *rand.Rand
	timers   timerqueue.Heap[func()]
	nodes    []*balance.Balancer
	servers  []*fleet.Server
	models   []*server
	inflight [][]int // by node and server
	read     id.Set[uint64]
}

// Pool returns all servers.
func (s *Simulation) Pool(id.Pool) []*fleet.Server { return s.servers }

// Usable reports that every server is usable.
func (s *Simulation) Usable(*fleet.Server) (bool, string) { return true, "" }

// Run runs a simulation to its end.
func Run(setup Setup) *Simulation {
	s := &Simulation{Setup: setup, now: epoch, rng: rand.New(rand.NewPCG(3, 3)), read: id.NewSet[uint64]()}
	for i := range s.Servers {
		s.servers = append(s.servers, &fleet.Server{ID: id.Server(fmt.Sprint("s", i)), Entry: fleet.Entry{Pool: pool, Slots: s.Slots, Domain: domain(i)}})
		s.models = append(s.models, &server{at: i, slow: 1})
	}
	s.models[0].slow = max(1, s.Slow)
	for i := range s.Nodes {
		self := event.Self{Node: id.Node(fmt.Sprint("n", i)), FailureDomain: domain(i), Rand: rand.New(rand.NewPCG(uint64(i), 1))}
		node := balance.New(self, s, ratelimit.NewColdLimiter(self.Node, 0), selfreport.New(self))
		node.SetNodes(s.Nodes)
		s.nodes, s.inflight = append(s.nodes, node), append(s.inflight, make([]int, s.Servers))
	}
	s.every(func() time.Duration { return time.Duration(s.rng.ExpFloat64() / s.Rate * float64(time.Second)) }, s.arrive)
	if !s.Alone {
		s.every(func() time.Duration { return shareInterval }, s.shareWork)
	}
	for s.timers.Len() > 0 {
		s.now = s.timers.Next()
		s.timers.Pop()()
	}
	slices.Sort(s.First)
	return s
}

func domain(i int) id.FailureDomain { return id.FailureDomain(fmt.Sprint("d", i%failureDomains)) }

func (s *Simulation) after(d time.Duration, f func()) { s.timers.Set(s.now.Add(d), f) }

// every calls a function repeatedly until the end of the span, after the pauses that pause returns.
func (s *Simulation) every(pause func() time.Duration, f func()) {
	s.after(pause(), func() {
		if s.now.Sub(epoch) < s.Span {
			f()
			s.every(pause, f)
		}
	})
}

// shareWork passes to each node the work of the others.
func (s *Simulation) shareWork() {
	sum := map[id.Server]cost.Work{}
	for _, n := range s.nodes {
		for name, w := range n.Model().Work(s.now) {
			t := sum[name]
			sum[name] = cost.Work{Requests: t.Requests + w.Requests, Read: t.Read + w.Read, Write: t.Write + w.Write}
		}
	}
	for _, n := range s.nodes {
		own := n.Model().Work(s.now)
		for _, server := range s.servers {
			t, o := sum[server.ID], own[server.ID]
			n.Model().SetRemote(s.now, server, cost.Work{Requests: t.Requests - o.Requests, Read: t.Read - o.Read, Write: t.Write - o.Write})
		}
	}
}

// arrive sends a request from a random node.
func (s *Simulation) arrive() {
	index := s.rng.IntN(s.Nodes)
	r := &run{
		index: index, node: s.nodes[index], arrived: s.now, tokens: 20 << s.rng.IntN(5),
		unread: 100 + int(s.rng.ExpFloat64()*meanOwnTokens),
	}
	if s.rng.Float64() < longPromptShare {
		r.unread += longOwnTokens
	}
	size := &cost.Request{Prompt: r.unread, Output: 600, Stream: true, Objective: s.Objective, Deadline: deadline}
	size.Hint = int(float64(r.tokens) * math.Pow(max(1, s.HintError), 2*s.rng.Float64()-1))
	if s.rng.Float64() < s.Shared {
		size.Shared = []cost.Part{s.drawPart()}
		size.Prompt += size.Shared[0].Tokens
	}
	r.parts, r.query = size.Shared, balance.Query{Pool: pool, Request: size, StuckAfter: 3 * s.Objective}
	m := s.models[s.choose(r)]
	r.node.Start(s.now, s.servers[m.at], r.query)
	s.inflight[index][m.at]++
	m.served++
	m.waiting = append(m.waiting, r)
	s.step(m)
}

// drawPart returns a random shared part.
func (s *Simulation) drawPart() cost.Part {
	n := int(float64(s.Parts) * math.Pow(s.rng.Float64(), max(1, s.Skew)))
	if s.rng.Float64() < s.Popular {
		n = 0
	}
	return cost.Part{ID: xxhash.Sum64String(fmt.Sprint("part", n)), Tokens: s.PartTokens/2 + n*7919%s.PartTokens}
}

// choose returns the server for a request.
func (s *Simulation) choose(r *run) int {
	part := r.query.Request.Home()
	if s.Policy == Earlier {
		r.query.Request = nil
	}
	if s.Policy == ByCost || part == 0 {
		chosen, _ := r.node.Pick(s.now, r.query)
		return slices.Index(s.servers, chosen)
	}
	own := s.inflight[r.index]
	limit := earlierExcess
	for _, n := range own {
		limit += n / s.Servers
	}
	order := s.order(part)
	for _, i := range order {
		if own[i] < limit {
			return i
		}
	}
	return order[0]
}

// order returns the servers in the order of a shared part.
func (s *Simulation) order(part uint64) []int {
	order, ranks := make([]int, s.Servers), make([]uint64, s.Servers)
	for i, server := range s.servers {
		order[i], ranks[i] = i, cost.Mix(part, xxhash.Sum64String(string(server.ID)))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(ranks[a], ranks[b]) })
	return order
}

// P99 returns the time to the first event that one of a hundred requests exceeds.
func (s *Simulation) P99() time.Duration { return s.First[len(s.First)*99/100] }

// Late returns the share of the requests whose first event missed the objective.
func (s *Simulation) Late() float64 {
	i, _ := slices.BinarySearch(s.First, s.Objective)
	return float64(len(s.First)-i) / float64(len(s.First))
}

// Share returns the requests of a server as a multiple of the mean.
func (s *Simulation) Share(at int) float64 {
	sum := 0
	for _, m := range s.models {
		sum += m.served
	}
	return float64(s.models[at].served*s.Servers) / float64(sum)
}

// Busiest returns the largest share of a server.
func (s *Simulation) Busiest() float64 {
	most := 0.0
	for i := range s.models {
		most = max(most, s.Share(i))
	}
	return most
}

// String formats the results.
func (s *Simulation) String() string {
	return fmt.Sprintf("p99=%s late=%.4f busiest=%.2f first=%.2f reread=%dk", s.P99().Round(time.Millisecond), s.Late(), s.Busiest(), s.Share(0), s.Reread/1000)
}
