package route_test

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/permit"
	"bluebellflow/core/route"
	"bluebellflow/core/simulation"
)

// TestMain fixes the seed, so that each run checks the same histories unless -rapid.seed asks for others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260101")
	_ = flag.Set("rapid.checks", "40") // a history spans minutes of virtual time
	m.Run()
}

var (
	limits = permit.Limits{Cold: 2, Warm: 8}
	addr   = netip.MustParseAddrPort("10.0.0.1:7400")
	pools  = route.PoolLimits{Cold: map[id.Pool]int{"gen": limits.Cold}, Warm: map[id.Pool]int{"gen": limits.Warm}}
)

type (
	attemptWanted struct{ event.In }
	attemptEnded  struct {
		event.In
		attempt id.Attempt
		outcome route.Outcome
	}
)

// testNode is a node with membership and routing.
type testNode struct {
	*member.Members
	router      *route.Router
	lastAttempt id.Attempt
}

func (u *testNode) Next() time.Time {
	a, b := u.Members.Next(), u.router.Next()
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (u *testNode) Step(now time.Time, ev event.Event) []event.Action {
	out := append(u.Members.Step(now, ev), u.router.Step(now, ev)...)
	switch ev := ev.(type) {
	case attemptWanted:
		c, actions := u.router.Place(now, u.lastAttempt+1, route.Query{Pool: "gen"})
		out = append(out, actions...)
		if c.Decision == route.Chosen {
			u.lastAttempt++
			out = append(out, event.Dispatch{Attempt: u.lastAttempt, Server: c.Server.ID})
		}
	case attemptEnded:
		out = append(out, u.router.End(now, ev.attempt, ev.outcome)...)
	}
	return out
}

// backend is a stand-in for one backend server.
type backend struct {
	name         id.Server
	starts       int
	completed    int
	inflight     map[*attempt]bool
	leavingStart id.Start
	reportedTo   id.Node // the only node whose load reports say that the server leaves
	lastReceived time.Time
	addedMs      int // added service time in milliseconds
}

type attempt struct {
	exempt bool
	reset  func()
}

func (b *backend) start() id.Start { return id.Start(fmt.Sprintf("%s-%d", b.name, b.starts)) }

// testCluster is a world with backend servers that check their load.
type testCluster struct {
	*simulation.World
	vms          []event.VM
	backends     []*backend
	violation    error
	sentToClosed id.Set[id.Node] // nodes that sent to a closed domain
	domainClosed bool
}

func newCluster(seed uint64, opts ...route.Option) *testCluster {
	r := &testCluster{World: simulation.New(seed), sentToClosed: id.NewSet[id.Node]()}
	domain := func(i int) id.FailureDomain { return id.FailureDomain(fmt.Sprintf("domain-%d", i%2)) }
	for i := range 5 {
		r.vms = append(r.vms, event.VM{Name: fmt.Sprintf("entry-%d", i), Kind: "entry", Addr: addr, FailureDomain: domain(i)})
	}
	for i := range 3 {
		b := &backend{name: id.Server(fmt.Sprintf("s%d", i)), inflight: map[*attempt]bool{}}
		r.backends = append(r.backends, b)
		r.vms = append(r.vms, event.VM{Name: string(b.name), Kind: "backend", Addr: addr, FailureDomain: domain(i), Pool: "gen"})
	}
	r.Outside = r.handleDispatch
	for _, vm := range r.vms[:5] {
		r.Add(event.Self{Node: id.Node(vm.Name), FailureDomain: vm.FailureDomain, Addr: vm.Addr}, func(self event.Self) simulation.Stepper {
			return &testNode{Members: member.New(self, member.WithSeeds(r.vms...)), router: route.New(self, opts...)}
		})
	}
	r.injectInput()
	return r
}

func (r *testCluster) node(n id.Node) *testNode { return r.Stepper(n).(*testNode) }

// injectInput gives every node the VM list, pool limits, load reports and work, again and again.
func (r *testCluster) injectInput() {
	for _, n := range r.Names() {
		if !r.Up(n) {
			continue
		}
		r.Inject(n, pools, 0)
		r.Inject(n, route.DomainState{Domain: "domain-1", Open: !r.domainClosed}, 0)
		r.Inject(n, event.VMList{List: r.vms}, 0)
		for _, b := range r.backends {
			r.Inject(n, event.LoadReport{
				Server: b.name, Start: b.start(), At: r.Now, Running: len(b.inflight), Limit: limits.Warm,
				Leaving: b.leavingStart == b.start() && b.reportedTo == n,
			}, 100*time.Millisecond)
		}
		for i := range 10 {
			r.Inject(n, attemptWanted{}, time.Duration(i)*30*time.Millisecond)
		}
	}
	r.At(300*time.Millisecond, r.injectInput)
}

func (r *testCluster) handleDispatch(_ *simulation.World, from id.Node, a event.Action) {
	d, ok := a.(event.Dispatch)
	if !ok {
		return
	}
	for _, b := range r.backends {
		if b.name == d.Server {
			r.runAttempt(b, from, d.Attempt)
		}
	}
}

func (r *testCluster) runAttempt(b *backend, from id.Node, number id.Attempt) {
	known, _ := r.node(from).Server(b.name)
	at := &attempt{exempt: known.Start != b.start()}
	b.inflight[at] = true
	b.lastReceived = r.Now
	b.checkLoad(r)
	life, start := r.Self(from).Incarnation, b.start()
	took := time.Duration(10+r.Rand.IntN(150)+b.addedMs) * time.Millisecond
	finish := func(o route.Outcome) {
		if r.Up(from) && r.Self(from).Incarnation == life {
			r.Inject(from, attemptEnded{attempt: number, outcome: o}, time.Millisecond)
		}
	}
	at.reset = func() { finish(route.Outcome{Kind: route.ConnFailed}) }
	r.At(took, func() {
		if !b.inflight[at] {
			return
		}
		delete(b.inflight, at)
		b.completed++
		finish(route.Outcome{Kind: route.Completed, Took: took, Start: start})
	})
}

// checkLoad is the oracle for cold servers. The grace that applies: an attempt does not count if the node that sent it had
// not handled any report, answer or message of the server's present start at the dispatch.
func (b *backend) checkLoad(r *testCluster) {
	can, warm := permit.Allowance(limits, b.completed)
	load := 0
	for a := range b.inflight {
		if !a.exempt {
			load++
		}
	}
	if !warm && load > can && r.violation == nil {
		r.violation = fmt.Errorf("%s: %d in flight on %s, %d completed, can handle %d", r.Now.Sub(simulation.Epoch), load, b.name, b.completed, can)
	}
}

func (b *backend) restart() {
	b.starts++
	b.completed = 0
	for a := range b.inflight {
		a.reset()
	}
	clear(b.inflight)
}

// checkLeaving lets one node learn that a server leaves, and returns a fault if any node sends to it 3 s later.
func (r *testCluster) checkLeaving(b *backend, from id.Node) error {
	b.leavingStart, b.reportedTo = b.start(), from
	r.Run(3*time.Second + 500*time.Millisecond) // the load report itself takes up to 400 ms
	known := r.Now
	r.Run(time.Second)
	if b.lastReceived.After(known) && b.leavingStart == b.start() {
		return fmt.Errorf("%s got work %s after the marker", b.name, b.lastReceived.Sub(known)+3*time.Second)
	}
	return nil
}
