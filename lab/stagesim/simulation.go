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

// failoverDelay is the time from the end of a leader until the nodes submit their requests to the next one.
const failoverDelay = 700 * time.Millisecond

// epoch is the start time of every simulation.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Stage is a stage of a route.
type Stage struct {
	Pool       id.Pool
	After      []int   // indexes of the stages whose results it reads
	Bytes      int     // announced size of the result of a piece
	Pieces     float64 // mean number of pieces in a request that has this stage
	Share      float64 // share of the requests that have this stage; 0 means all
	WorkFactor float64 // time of a piece as a multiple of the pool's PieceTime; 0 means 1
}

// Route describes the requests of one kind.
type Route struct {
	Name      string
	Rate      float64       // requests per second
	Objective time.Duration // time by which a request should be answered
	Deadline  time.Duration
	Priority  int
	Value     int           // size of a request in tokens
	Worth     float64       // weight of a request in WeightedAttainment; 0 means Value
	ModelTime time.Duration // from the end of the stages to the answer
	Stages    []Stage
}

// Pool is a set of stage servers.
type Pool struct {
	catalog.Pool
	Servers []int // number of servers in each failure domain
}

// Setup describes a deployment and its load.
type Setup struct {
	Domains []id.FailureDomain
	Pools   []Pool
	Routes  []Route
	Nodes   int // number of nodes, each of which schedules a share of the requests; 0 means 1
	Options []batch.Option
	Retries Retries
	// SamePriority means that all callers have one priority, which overrides that of their routes.
	SamePriority bool
}

// Outcomes counts requests by outcome. OnTime requests were answered within their objective, Late ones after it but before
// their deadline, and Failed ones were not answered before their deadline. Refusals counts attempts.
type Outcomes struct {
	Arrived, OnTime, Late, Failed, Refusals int
}

// Add returns the sum of two counts.
func (o Outcomes) Add(other Outcomes) Outcomes {
	return Outcomes{o.Arrived + other.Arrived, o.OnTime + other.OnTime, o.Late + other.Late, o.Failed + other.Failed, o.Refusals + other.Refusals}
}

// Attainment returns the share of the ended requests that met their objective.
func (o Outcomes) Attainment() float64 { return float64(o.OnTime) / float64(o.OnTime+o.Late+o.Failed) }

// AnsweredShare returns the share of the ended requests that were answered before their deadline.
func (o Outcomes) AnsweredShare() float64 {
	return float64(o.OnTime+o.Late) / float64(o.OnTime+o.Late+o.Failed)
}

// Simulation holds the state and the counters of a run.
type Simulation struct {
	Setup
	Now              time.Time
	Outcomes         map[string]*Outcomes // by route
	BusyTime         time.Duration        // total time that servers executed calls
	Calls            int                  // calls that servers executed
	UsableChecks     int                  // number of calls of Usable by schedulers
	Pieces           int                  // pieces that servers executed
	FetchedBytes     int64                // bytes of results read as inputs of other stages
	CrossDomainBytes int64                // part of FetchedBytes that crossed failure domains
	OutOfMemory      int                  // pieces that failed because their result did not fit into memory

	requestRand  *rand.Rand // separate from serverRand, so that all policies get the same requests
	serverRand   *rand.Rand
	timers       timerqueue.Heap[func()]
	rateFactors  map[string]float64 // by route, 1 outside bursts
	servers      map[id.Server]*server
	byPool       map[id.Pool][]*fleet.Server
	nodes        []*node
	catalog      *catalog.Catalog
	leader       int // index of the node that gets all requests; -1 if each node gets its share
	requests     map[id.Request]*request
	lastTicket   int       // number of requests so far
	countedSince time.Time // requests that arrived earlier are not counted
}

// outcomesOf returns the outcomes in which a request is counted; those of a request from before countedSince are discarded.
func (sim *Simulation) outcomesOf(q *request) *Outcomes {
	if q.arrived.Before(sim.countedSince) {
		return &Outcomes{}
	}
	return sim.Outcomes[q.route.Name]
}

// node is a node with its scheduler.
type node struct {
	sim       *Simulation
	name      id.Node
	scheduler *batch.Scheduler
	wakeAt    time.Time // time of the pending tick, zero if there is none
	killed    bool      // its process has ended: it handles no event and its messages are lost
}

// request is a request that has not ended.
type request struct {
	route    *Route
	arrived  time.Time // first attempt
	attempts int       // submitted so far
	submit   batch.Submit

	stagesDone bool
}

// New returns a simulation at its start.
func New(seed uint64, s Setup) *Simulation {
	sim := &Simulation{
		Setup: s, Now: epoch, Outcomes: map[string]*Outcomes{}, serverRand: rand.New(rand.NewPCG(seed, seed)), requestRand: rand.New(rand.NewPCG(seed, seed+1)),
		rateFactors: map[string]float64{}, servers: map[id.Server]*server{}, byPool: map[id.Pool][]*fleet.Server{},
		requests: map[id.Request]*request{}, leader: -1,
	}
	c := catalog.Config{Version: 1}
	for i := range s.Pools {
		c.Pools = append(c.Pools, s.Pools[i].Pool)
		sim.addServers(&s.Pools[i])
	}
	cat, err := catalog.New(c)
	if err != nil {
		panic(err) // setups are part of the program
	}
	sim.catalog = cat
	for i := range max(1, s.Nodes) {
		sim.nodes = append(sim.nodes, sim.newNode(id.Node(fmt.Sprintf("n%d", i))))
	}
	for i := range s.Routes {
		sim.Outcomes[s.Routes[i].Name] = &Outcomes{}
		sim.rateFactors[s.Routes[i].Name] = 1
		sim.scheduleArrival(&s.Routes[i])
	}
	return sim
}

// newNode returns a node without any jobs.
func (sim *Simulation) newNode(name id.Node) *node {
	n := &node{sim: sim, name: name}
	n.scheduler = batch.New(event.Self{Node: name, Rand: sim.serverRand}, sim, sim.Options...)
	n.scheduler.SetCatalog(sim.catalog)
	return n
}

func (sim *Simulation) addServers(p *Pool) {
	for i, count := range p.Servers {
		for j := range count {
			name := fmt.Sprintf("%s-%d-%d", p.Name, i, j)
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(len(sim.byPool)), byte(i), byte(j)}), 80)
			s := newServer(sim, &p.Pool, name, sim.Domains[i], addr)
			sim.servers[s.ID] = s
			sim.byPool[p.Name] = append(sim.byPool[p.Name], s.Server)
		}
	}
}

// Pool returns the servers of a pool.
func (sim *Simulation) Pool(name id.Pool) []*fleet.Server { return sim.byPool[name] }

// Usable reports every server as usable and counts the call.
func (sim *Simulation) Usable(*fleet.Server) (bool, string) {
	sim.UsableChecks++
	return true, ""
}

func (sim *Simulation) after(d time.Duration, fn func()) { sim.timers.Set(sim.Now.Add(d), fn) }

// At calls fn at the given time after the start.
func (sim *Simulation) At(d time.Duration, fn func()) { sim.timers.Set(epoch.Add(d), fn) }

// Run runs the simulation until the given time after the start.
func (sim *Simulation) Run(until time.Duration) {
	end := epoch.Add(until)
	for sim.timers.Len() > 0 && !sim.timers.Next().After(end) {
		sim.Now = sim.timers.Next()
		sim.timers.Pop()()
	}
	sim.Now = end
}

// weight returns the weight of a request in WeightedAttainment.
func (r *Route) weight() float64 {
	if r.Worth > 0 {
		return r.Worth
	}
	return float64(r.Value)
}

// WeightedAttainment returns the share of the ended requests that met their objective, weighted by their worth.
func (sim *Simulation) WeightedAttainment() float64 {
	met, ended := 0.0, 0.0
	for i := range sim.Routes {
		outcomes, weight := sim.Outcomes[sim.Routes[i].Name], sim.Routes[i].weight()
		met += weight * float64(outcomes.OnTime)
		ended += weight * float64(outcomes.OnTime+outcomes.Late+outcomes.Failed)
	}
	return met / ended
}

// ResetOutcomes clears the outcomes; only requests that arrive from now on are counted.
func (sim *Simulation) ResetOutcomes() {
	sim.countedSince = sim.Now
	for _, o := range sim.Outcomes {
		*o = Outcomes{}
	}
}

// Total returns the sum of the outcomes of all routes.
func (sim *Simulation) Total() Outcomes {
	var sum Outcomes
	for _, o := range sim.Outcomes {
		sum = sum.Add(*o)
	}
	return sum
}

// Burst multiplies the rate of a route by factor between two times after the start.
func (sim *Simulation) Burst(route string, factor float64, from, to time.Duration) {
	sim.At(from, func() { sim.rateFactors[route] = factor })
	sim.At(to, func() { sim.rateFactors[route] = 1 })
}

// Crash stops the first count servers of a pool at the given time after the start, for the length of the outage.
func (sim *Simulation) Crash(pool id.Pool, count int, at, outage time.Duration, silent bool) {
	sim.At(at, func() {
		for _, s := range sim.byPool[pool][:count] {
			sim.servers[s.ID].crash(outage, silent)
		}
	})
}

// SlowDown multiplies the call times of the first count servers of a pool by factor, at the given time after the start and for
// the given length.
func (sim *Simulation) SlowDown(pool id.Pool, count int, factor float64, at, length time.Duration) {
	for _, s := range sim.byPool[pool][:count] {
		sim.At(at, func() { sim.servers[s.ID].slowdown = factor })
		sim.At(at+length, func() { sim.servers[s.ID].slowdown = 1 })
	}
}

// scheduleArrival schedules the next request of a route.
func (sim *Simulation) scheduleArrival(r *Route) {
	interval := sim.requestRand.ExpFloat64() / (r.Rate * sim.rateFactors[r.Name])
	sim.after(time.Duration(interval*float64(time.Second)), func() {
		sim.arrive(r)
		sim.scheduleArrival(r)
	})
}

// nextName returns the name of a new attempt, whose ticket is lastTicket.
func (sim *Simulation) nextName(r *Route) id.Request {
	sim.lastTicket++
	return id.Request(fmt.Sprintf("%s-%d", r.Name, sim.lastTicket))
}

// arrive submits a request to one of the nodes.
func (sim *Simulation) arrive(r *Route) {
	name := sim.nextName(r)
	q := &request{route: r, arrived: sim.Now}
	hasPieces := false
	for _, s := range r.Stages {
		stage := batch.Stage{Pool: s.Pool, Bytes: uint64(s.Bytes)}
		for _, index := range s.After {
			stage.After = append(stage.After, uint32(index))
		}
		if s.Share == 0 || sim.requestRand.Float64() < s.Share {
			stage.Pieces = uint32(max(1, math.Round(s.Pieces*(0.5+sim.requestRand.Float64()))))
		}
		hasPieces = hasPieces || stage.Pieces > 0
		q.submit.Stages = append(q.submit.Stages, stage)
	}
	sim.Outcomes[r.Name].Arrived++
	sim.requests[name] = q
	n := sim.nodes[sim.requestRand.IntN(len(sim.nodes))]
	if sim.leader >= 0 {
		n = sim.nodes[sim.leader]
	}
	if !hasPieces {
		sim.runModel(n, name, uint64(sim.lastTicket), nil)
		return
	}
	q.submit.Ticket, q.submit.Request, q.submit.Route, q.submit.Key = uint64(sim.lastTicket), name, r.Name, "k"
	q.submit.Rest, q.submit.Value = int64(r.ModelTime), uint64(r.Value)
	q.submit.RoutePriority = uint32(r.Priority)
	if !sim.SamePriority {
		q.submit.Priority = uint32(r.Priority)
	}
	q.submit.Prefer = sim.Domains[sim.requestRand.IntN(len(sim.Domains))]
	sim.submit(n, q)
}

// KillLeader restarts leader i, which loses its state, and makes node next the leader. The requests whose stages are not done
// are submitted again, after failoverDelay.
func (sim *Simulation) KillLeader(i, next int) {
	sim.nodes[i].killed = true
	sim.nodes[i] = sim.newNode(sim.nodes[i].name)
	sim.SetLeader(next, true)
	for _, name := range slices.Sorted(maps.Keys(sim.requests)) {
		if q := sim.requests[name]; q.submit.Ticket != 0 && !q.stagesDone {
			q.submit.PreAccepted, q.submit.Made = false, nil
			sim.after(failoverDelay, func() { sim.submit(sim.nodes[sim.leader], q) })
		}
	}
}

// submit submits the stages of a request to a node.
func (sim *Simulation) submit(n *node, q *request) {
	age := sim.Now.Sub(q.arrived)
	q.attempts++
	q.submit.Left, q.submit.Aim = int64(q.route.Deadline-age), int64(q.route.Objective-age)
	n.step(event.Receive{From: n.name, Body: q.submit})
}

// SetLeader makes a node the leader, which gets all new requests. Without handover the other nodes keep the jobs they have.
func (sim *Simulation) SetLeader(i int, handover bool) {
	sim.leader = i
	if !handover {
		return
	}
	for _, n := range sim.nodes {
		n.step(leader.Changed{Leader: sim.nodes[i].name})
	}
}

// runModel simulates the model, which reads the results and begins its answer after ModelTime.
func (sim *Simulation) runModel(n *node, name id.Request, ticket uint64, results []batch.Result) {
	q := sim.requests[name]
	q.stagesDone = true
	sim.after(q.route.ModelTime, func() {
		outcomes := sim.outcomesOf(q)
		switch took := sim.Now.Sub(q.arrived); {
		case took <= q.route.Objective:
			outcomes.OnTime++
		case took <= q.route.Deadline:
			outcomes.Late++
		default:
			outcomes.Failed++
		}
		delete(sim.requests, name)
		if len(results) > 0 {
			n.step(event.Receive{From: n.name, Body: batch.Release{Ticket: ticket, Read: true}})
		}
	})
}

// resultSize returns the actual size of a piece's result, within 10% of the announced one.
func (sim *Simulation) resultSize(item batch.Item) int64 {
	q := sim.requests[item.Request]
	if q == nil {
		return 0
	}
	const spread = 0.1
	return int64(float64(q.submit.Stages[item.Stage].Bytes) * (1 - spread + 2*spread*sim.serverRand.Float64()))
}

// pieceTime returns the time that a piece adds to its call.
func (sim *Simulation) pieceTime(item batch.Item, p *catalog.Pool) time.Duration {
	factor := 1.0
	if q := sim.requests[item.Request]; q != nil && q.route.Stages[item.Stage].WorkFactor > 0 {
		factor = q.route.Stages[item.Stage].WorkFactor
	}
	return time.Duration(factor * float64(p.Pieces.PieceTime))
}

// fetchInputs reads the inputs of a piece and reports whether all of them are still available.
func (sim *Simulation) fetchInputs(to *server, handles []string) bool {
	for _, h := range handles {
		serverID, _, _ := strings.Cut(h, "/")
		from := sim.servers[id.Server(serverID)]
		r := from.results[h]
		if r == nil || from.down {
			return false
		}
		sim.FetchedBytes += r.bytes
		if from.Domain != to.Domain {
			sim.CrossDomainBytes += r.bytes
		}
	}
	return true
}

// step passes an event to the scheduler of a node, executes the resulting actions and sets the next tick.
func (n *node) step(ev event.Event) {
	if n.killed {
		return
	}
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

// execute simulates an action of the scheduler.
func (n *node) execute(a event.Action) {
	sim := n.sim
	switch a := a.(type) {
	case batch.StartCall:
		pending := true
		done := func(r batch.CallEnded) {
			if pending {
				pending = false
				n.step(r)
			}
		}
		sim.after(a.Timeout, func() { done(batch.CallEnded{Call: a.Call, Fail: event.FailTimeout, Detail: "timeout"}) })
		sim.after(networkDelay, func() { sim.servers[a.Server.ID].arrive(&call{start: a, done: done}) })
	case batch.FreeResults:
		sim.after(networkDelay, func() {
			for _, h := range a.Handles {
				sim.servers[a.Server.ID].free(h)
			}
		})
	case event.Send:
		n.receive(a.Body)
	}
}

// receive handles a message from a scheduler to the node that submitted the job. In this simulation both are the same node.
func (n *node) receive(body event.Body) {
	sim := n.sim
	switch b := body.(type) {
	case batch.Done:
		if name, ok := sim.requestByTicket(b.Ticket); ok {
			sim.runModel(n, name, b.Ticket, b.Results)
		}
	case batch.Moved:
		if name, ok := sim.requestByTicket(b.Ticket); ok {
			q := sim.requests[name]
			q.submit.PreAccepted, q.submit.Class, q.submit.Made = b.Accepted, b.Class, b.Made
			sim.after(networkDelay, func() { sim.submit(sim.nodes[sim.leader], q) })
		}
	case batch.Failed:
		if name, ok := sim.requestByTicket(b.Ticket); ok {
			sim.refused(n, name, time.Duration(b.After))
		}
	}
}

// requestByTicket returns the name of the request that has the ticket, if it has not ended.
func (sim *Simulation) requestByTicket(ticket uint64) (id.Request, bool) {
	for i := range sim.Routes {
		name := id.Request(fmt.Sprintf("%s-%d", sim.Routes[i].Name, ticket))
		if _, ok := sim.requests[name]; ok {
			return name, true
		}
	}
	return "", false
}
