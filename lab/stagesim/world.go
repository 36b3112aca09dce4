package stagesim

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bluebellflow/core/batch"
	"bluebellflow/core/catalog"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/leader"
	"bluebellflow/core/timerqueue"
)

// failoverDelay is the time until nodes go to another leader after the one that they follow has ended.
const failoverDelay = 700 * time.Millisecond

// epoch is when every world begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Stage is a stage of a route.
type Stage struct {
	Pool       id.Pool
	After      []int
	Bytes      int
	Pieces     float64 // mean number of pieces of a request that has the stage
	Share      float64 // of the requests that have it, 0 for all
	WorkFactor float64 // of a piece, as a multiple of the pool's, 0 for 1
}

// Route is a kind of requests.
type Route struct {
	Name      string
	Rate      float64 // requests a second
	Objective time.Duration
	Deadline  time.Duration
	Priority  int
	Value     int // size of a request in tokens
	ModelTime time.Duration
	Stages    []Stage
}

// Pool is a set of stage servers.
type Pool struct {
	catalog.Pool
	Servers []int // in each failure domain
}

// Setup describes a world.
type Setup struct {
	Domains []id.FailureDomain
	Pools   []Pool
	Routes  []Route
	Nodes   int // nodes that schedule, each for its share of the requests
	Options []batch.Option
}

// Outcomes is what came of a route's requests: asked for, answered within the objective, later, and not before the deadline.
type Outcomes struct {
	Arrived, OnTime, Late, Failed int
}

// Add returns the sum of two scores.
func (s Outcomes) Add(other Outcomes) Outcomes {
	return Outcomes{s.Arrived + other.Arrived, s.OnTime + other.OnTime, s.Late + other.Late, s.Failed + other.Failed}
}

// Attainment returns the share of the ended requests that met their objective.
func (s Outcomes) Attainment() float64 { return float64(s.OnTime) / float64(s.OnTime+s.Late+s.Failed) }

// AnsweredShare returns the share of the ended requests that were answered before their deadline.
func (s Outcomes) AnsweredShare() float64 {
	return float64(s.OnTime+s.Late) / float64(s.OnTime+s.Late+s.Failed)
}

// Simulation is a running simulation.
type Simulation struct {
	Setup
	Now              time.Time
	Outcomes         map[string]*Outcomes
	BusyTime         time.Duration // time that servers worked
	Calls            int
	UsableChecks     int // times that a scheduler asked whether a server may be used
	Pieces           int
	FetchedBytes     int64 // bytes of results that were read
	CrossDomainBytes int64 // of these, the bytes that crossed failure domains
	OutOfMemory      int   // pieces for whose results there was no room

	requestRand  *rand.Rand // one source for the requests and one for the servers, so that policies see the same requests
	serverRand   *rand.Rand
	timers       timerqueue.Heap[func()]
	rateFactors  map[string]float64
	servers      map[id.Server]*server
	byPool       map[id.Pool][]*fleet.Server
	nodes        []*node
	catalog      *catalog.Catalog
	leader       int // the node that gets all requests, -1 if each gets its share
	requests     map[id.Request]*request
	lastTicket   int
	countedSince time.Time // requests that arrived before do not count
}

// outcomesOf returns the scores that a request counts in.
func (w *Simulation) outcomesOf(q *request) *Outcomes {
	if q.arrived.Before(w.countedSince) {
		return &Outcomes{}
	}
	return w.Outcomes[q.route.Name]
}

// node is a node that schedules.
type node struct {
	sim       *Simulation
	name      id.Node
	scheduler *batch.Scheduler
	wakeAt    time.Time
}

// request is a caller's request.
type request struct {
	route   *Route
	arrived time.Time
	submit  batch.Submit

	stagesDone bool // its stages are done
}

// New returns a world in which nothing has happened.
func New(seed uint64, s Setup) *Simulation {
	w := &Simulation{
		Setup: s, Now: epoch, Outcomes: map[string]*Outcomes{}, serverRand: rand.New(rand.NewPCG(seed, seed)), requestRand: rand.New(rand.NewPCG(seed, seed+1)),
		rateFactors: map[string]float64{}, servers: map[id.Server]*server{}, byPool: map[id.Pool][]*fleet.Server{},
		requests: map[id.Request]*request{}, leader: -1,
	}
	c := catalog.Config{Version: 1}
	for i := range s.Pools {
		c.Pools = append(c.Pools, s.Pools[i].Pool)
		w.addServers(&s.Pools[i])
	}
	cat, err := catalog.New(c)
	if err != nil {
		panic(err) // the setup is part of the program
	}
	w.catalog = cat
	for i := range max(1, s.Nodes) {
		w.nodes = append(w.nodes, w.newNode(id.Node(fmt.Sprintf("n%d", i))))
	}
	for i := range s.Routes {
		w.Outcomes[s.Routes[i].Name] = &Outcomes{}
		w.rateFactors[s.Routes[i].Name] = 1
		w.scheduleArrival(&s.Routes[i])
	}
	return w
}

func (w *Simulation) newNode(name id.Node) *node {
	n := &node{sim: w, name: name}
	n.scheduler = batch.New(event.Self{Node: name, Rand: w.serverRand}, w, w.Options...)
	n.scheduler.SetCatalog(w.catalog)
	return n
}

func (w *Simulation) addServers(p *Pool) {
	for i, count := range p.Servers {
		for j := range count {
			name := fmt.Sprintf("%s-%d-%d", p.Name, i, j)
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(len(w.byPool)), byte(i), byte(j)}), 80)
			s := newServer(w, &p.Pool, name, w.Domains[i], addr)
			w.servers[s.ID] = s
			w.byPool[p.Name] = append(w.byPool[p.Name], s.Server)
		}
	}
}

// Pool returns the servers of a pool.
func (w *Simulation) Pool(name id.Pool) []*fleet.Server { return w.byPool[name] }

// Usable reports that every server may be used, and counts the question.
func (w *Simulation) Usable(*fleet.Server) (bool, string) {
	w.UsableChecks++
	return true, ""
}

func (w *Simulation) after(d time.Duration, do func()) { w.timers.Set(w.Now.Add(d), do) }

// At does something at a time after the beginning.
func (w *Simulation) At(d time.Duration, do func()) { w.timers.Set(epoch.Add(d), do) }

// Run plays until a time after the beginning.
func (w *Simulation) Run(until time.Duration) {
	end := epoch.Add(until)
	for w.timers.Len() > 0 && !w.timers.Next().After(end) {
		w.Now = w.timers.Next()
		w.timers.Pop()()
	}
	w.Now = end
}

// WeightedAttainment returns the value of what met its objective as a share of the value of all ended requests.
func (w *Simulation) WeightedAttainment() float64 {
	got, asked := 0.0, 0.0
	for i := range w.Routes {
		s, value := w.Outcomes[w.Routes[i].Name], float64(w.Routes[i].Value)
		got += value * float64(s.OnTime)
		asked += value * float64(s.OnTime+s.Late+s.Failed)
	}
	return got / asked
}

// ResetOutcomes begins the scores anew, with the requests that arrive from now on.
func (w *Simulation) ResetOutcomes() {
	w.countedSince = w.Now
	for _, s := range w.Outcomes {
		*s = Outcomes{}
	}
}

// Total returns the scores of all routes together.
func (w *Simulation) Total() Outcomes {
	var sum Outcomes
	for _, s := range w.Outcomes {
		sum = sum.Add(*s)
	}
	return sum
}

// Burst multiplies the rate of a route from one time after the beginning to another.
func (w *Simulation) Burst(route string, x float64, from, to time.Duration) {
	w.At(from, func() { w.rateFactors[route] = x })
	w.At(to, func() { w.rateFactors[route] = 1 })
}

// Crash ends the first servers of a pool for a while.
func (w *Simulation) Crash(pool id.Pool, count int, at, span time.Duration, dark bool) {
	w.At(at, func() {
		for _, s := range w.byPool[pool][:count] {
			w.servers[s.ID].crash(span, dark)
		}
	})
}

// SlowDown makes the first servers of a pool slower for a while.
func (w *Simulation) SlowDown(pool id.Pool, count int, x float64, at, span time.Duration) {
	for _, s := range w.byPool[pool][:count] {
		w.At(at, func() { w.servers[s.ID].slowdown = x })
		w.At(at+span, func() { w.servers[s.ID].slowdown = 1 })
	}
}

// scheduleArrival sets the time of a route's next request.
func (w *Simulation) scheduleArrival(r *Route) {
	gap := w.requestRand.ExpFloat64() / (r.Rate * w.rateFactors[r.Name])
	w.after(time.Duration(gap*float64(time.Second)), func() {
		w.arrive(r)
		w.scheduleArrival(r)
	})
}

// arrive submits a request to one of the nodes.
func (w *Simulation) arrive(r *Route) {
	w.lastTicket++
	name := id.Request(fmt.Sprintf("%s-%d", r.Name, w.lastTicket))
	q := &request{route: r, arrived: w.Now}
	some := false
	for _, s := range r.Stages {
		one := batch.Stage{Pool: s.Pool, Bytes: uint64(s.Bytes)}
		for _, before := range s.After {
			one.After = append(one.After, uint32(before))
		}
		if s.Share == 0 || w.requestRand.Float64() < s.Share {
			one.Pieces = uint32(max(1, math.Round(s.Pieces*(0.5+w.requestRand.Float64()))))
		}
		some = some || one.Pieces > 0
		q.submit.Stages = append(q.submit.Stages, one)
	}
	w.Outcomes[r.Name].Arrived++
	w.requests[name] = q
	n := w.nodes[w.requestRand.IntN(len(w.nodes))]
	if w.leader >= 0 {
		n = w.nodes[w.leader]
	}
	if !some {
		w.runModel(n, name, uint64(w.lastTicket), nil)
		return
	}
	q.submit.Ticket, q.submit.Request, q.submit.Route, q.submit.Key = uint64(w.lastTicket), name, r.Name, "k"
	q.submit.Rest, q.submit.Priority, q.submit.Value = int64(r.ModelTime), uint32(r.Priority), uint64(r.Value)
	q.submit.Prefer = w.Domains[w.requestRand.IntN(len(w.Domains))]
	w.submit(n, q)
}

// KillLeader ends the process of a node, which knows nothing when it is back; another node leads from now on.
func (w *Simulation) KillLeader(i, next int) {
	w.nodes[i] = w.newNode(w.nodes[i].name)
	w.SetLeader(next, true)
	for _, name := range slices.Sorted(maps.Keys(w.requests)) {
		if q := w.requests[name]; q.submit.Ticket != 0 && !q.stagesDone {
			q.submit.PreAccepted, q.submit.Made = false, nil
			w.after(failoverDelay, func() { w.submit(w.nodes[w.leader], q) })
		}
	}
}

// submit asks a node for the stages of a request.
func (w *Simulation) submit(n *node, q *request) {
	age := w.Now.Sub(q.arrived)
	q.submit.Left, q.submit.Aim = int64(q.route.Deadline-age), int64(q.route.Objective-age)
	n.step(event.Receive{From: n.name, Body: q.submit})
}

// SetLeader makes a node the leader. Without handover the others go on with the jobs that they have.
func (w *Simulation) SetLeader(i int, handover bool) {
	w.leader = i
	if !handover {
		return
	}
	for _, n := range w.nodes {
		n.step(leader.Changed{Leader: w.nodes[i].name})
	}
}

// runModel plays the model: it reads the results and begins its answer a little later.
func (w *Simulation) runModel(n *node, name id.Request, ticket uint64, results []batch.Result) {
	q := w.requests[name]
	q.stagesDone = true
	w.after(q.route.ModelTime, func() {
		score := w.outcomesOf(q)
		switch took := w.Now.Sub(q.arrived); {
		case took <= q.route.Objective:
			score.OnTime++
		case took <= q.route.Deadline:
			score.Late++
		default:
			score.Failed++
		}
		delete(w.requests, name)
		if len(results) > 0 {
			n.step(event.Receive{From: n.name, Body: batch.Release{Ticket: ticket, Read: true}})
		}
	})
}

// resultSize returns the true size of a piece's result, which differs from the announced one.
func (w *Simulation) resultSize(it batch.Item) int64 {
	q := w.requests[it.Request]
	if q == nil {
		return 0
	}
	const spread = 0.1
	return int64(float64(q.submit.Stages[it.Stage].Bytes) * (1 - spread + 2*spread*w.serverRand.Float64()))
}

// pieceTime returns the time of a piece.
func (w *Simulation) pieceTime(it batch.Item, p *catalog.Pool) time.Duration {
	x := 1.0
	if q := w.requests[it.Request]; q != nil && q.route.Stages[it.Stage].WorkFactor > 0 {
		x = q.route.Stages[it.Stage].WorkFactor
	}
	return time.Duration(x * float64(p.Pieces.PieceTime))
}

// fetchInputs reads the inputs of a piece and reports whether all of them are still there.
func (w *Simulation) fetchInputs(to *server, handles []string) bool {
	for _, h := range handles {
		maker, _, _ := strings.Cut(h, "/")
		from := w.servers[id.Server(maker)]
		r := from.results[h]
		if r == nil || from.down {
			return false
		}
		w.FetchedBytes += r.bytes
		if from.Domain != to.Domain {
			w.CrossDomainBytes += r.bytes
		}
	}
	return true
}

// step hands an event to a node's scheduler and carries out what it decides.
func (n *node) step(ev event.Event) {
	for _, a := range n.scheduler.Step(n.sim.Now, ev) {
		n.execute(a)
	}
	next := n.scheduler.Next()
	if next.IsZero() || next.Equal(n.wakeAt) {
		return
	}
	n.wakeAt = next
	n.sim.timers.Set(next, func() {
		if n.wakeAt.Equal(next) {
			n.wakeAt = time.Time{}
			n.step(event.Tick{})
		}
	})
}

func (n *node) execute(a event.Action) {
	w := n.sim
	switch a := a.(type) {
	case batch.StartCall:
		open := true
		done := func(r batch.CallEnded) {
			if open {
				open = false
				n.step(r)
			}
		}
		w.after(a.Timeout, func() { done(batch.CallEnded{Call: a.Call, Fail: event.FailTimeout, Detail: "timeout"}) })
		w.after(networkDelay, func() { w.servers[a.Server.ID].arrive(&call{start: a, done: done}) })
	case batch.FreeResults:
		w.after(networkDelay, func() {
			for _, h := range a.Handles {
				w.servers[a.Server.ID].free(h)
			}
		})
	case event.Send:
		n.receive(a.Body)
	}
}

// receive takes in what a scheduler says to the node that submitted a job; here they are the same.
func (n *node) receive(body event.Body) {
	w := n.sim
	switch b := body.(type) {
	case batch.Done:
		if name, ok := w.requestByTicket(b.Ticket); ok {
			w.runModel(n, name, b.Ticket, b.Results)
		}
	case batch.Moved:
		if name, ok := w.requestByTicket(b.Ticket); ok {
			q := w.requests[name]
			q.submit.PreAccepted, q.submit.Class, q.submit.Made = b.Accepted, b.Class, b.Made
			w.after(networkDelay, func() { w.submit(w.nodes[w.leader], q) })
		}
	case batch.Failed:
		if name, ok := w.requestByTicket(b.Ticket); ok {
			w.outcomesOf(w.requests[name]).Failed++
			delete(w.requests, name)
		}
	}
}

func (w *Simulation) requestByTicket(ticket uint64) (id.Request, bool) {
	for i := range w.Routes {
		name := id.Request(fmt.Sprintf("%s-%d", w.Routes[i].Name, ticket))
		if _, ok := w.requests[name]; ok {
			return name, true
		}
	}
	return "", false
}
