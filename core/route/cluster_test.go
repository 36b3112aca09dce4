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
	// attemptWanted makes a node place and dispatch an attempt.
	attemptWanted struct{ event.In }
	// attemptEnded reports the outcome of an attempt to the node that sent it.
	attemptEnded struct {
		event.In
		attempt id.Attempt
		outcome route.Outcome
	}
)

// testNode runs packages member and route.
type testNode struct {
	*member.Members
	router      *route.Router
	lastAttempt id.Attempt
}

func (n *testNode) Next() time.Time {
	a, b := n.Members.Next(), n.router.Next()
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (n *testNode) Step(now time.Time, ev event.Event) []event.Action {
	out := append(n.Members.Step(now, ev), n.router.Step(now, ev)...)
	switch ev := ev.(type) {
	case attemptWanted:
		choice, actions := n.router.Place(now, n.lastAttempt+1, route.Query{Pool: "gen"})
		out = append(out, actions...)
		if choice.Decision == route.Chosen {
			n.lastAttempt++
			out = append(out, event.Dispatch{Attempt: n.lastAttempt, Server: choice.Server.ID})
		}
	case attemptEnded:
		out = append(out, n.router.End(now, ev.attempt, ev.outcome)...)
	}
	return out
}

// backend simulates one backend server.
type backend struct {
	name         id.Server
	starts       int
	completed    int
	inFlight     map[*attempt]bool
	leavingStart id.Start
	reportedTo   id.Node   // the only node whose load reports say that the server is leaving
	lastReceived time.Time // when the last attempt arrived
	addedMs      int       // added service time in milliseconds
}

type attempt struct {
	exempt bool   // not counted by checkLoad
	reset  func() // reports a broken connection to the node
}

func (b *backend) start() id.Start { return id.Start(fmt.Sprintf("%s-%d", b.name, b.starts)) }

// testCluster is a simulated cluster whose backend servers check their load.
type testCluster struct {
	*simulation.World
	vms          []event.VM
	backends     []*backend
	violation    error
	sentToClosed id.Set[id.Node] // nodes that sent to a closed domain
	domainClosed bool
}

func newCluster(seed uint64, opts ...route.Option) *testCluster {
	c := &testCluster{World: simulation.New(seed), sentToClosed: id.NewSet[id.Node]()}
	domain := func(i int) id.FailureDomain { return id.FailureDomain(fmt.Sprintf("domain-%d", i%2)) }
	for i := range 5 {
		c.vms = append(c.vms, event.VM{Name: fmt.Sprintf("entry-%d", i), Kind: "entry", Addr: addr, FailureDomain: domain(i)})
	}
	for i := range 3 {
		b := &backend{name: id.Server(fmt.Sprintf("s%d", i)), inFlight: map[*attempt]bool{}}
		c.backends = append(c.backends, b)
		c.vms = append(c.vms, event.VM{Name: string(b.name), Kind: "backend", Addr: addr, FailureDomain: domain(i), Pool: "gen"})
	}
	c.OnExternal = c.handleDispatch
	for _, vm := range c.vms[:5] {
		c.Add(event.Self{Node: id.Node(vm.Name), FailureDomain: vm.FailureDomain, Addr: vm.Addr}, func(self event.Self) simulation.Stepper {
			return &testNode{Members: member.New(self, member.WithSeeds(c.vms...)), router: route.New(self, opts...)}
		})
	}
	c.injectInput()
	return c
}

func (c *testCluster) node(n id.Node) *testNode { return c.Stepper(n).(*testNode) }

// injectInput gives every node the VM list, pool limits, load reports and attempts, again every 300 ms.
func (c *testCluster) injectInput() {
	for _, n := range c.Nodes() {
		if !c.Up(n) {
			continue
		}
		c.Inject(n, pools, 0)
		c.Inject(n, route.DomainState{Domain: "domain-1", Open: !c.domainClosed}, 0)
		c.Inject(n, event.VMList{List: c.vms}, 0)
		for _, b := range c.backends {
			c.Inject(n, event.LoadReport{
				Server: b.name, Start: b.start(), At: c.Now, Running: len(b.inFlight), Limit: limits.Warm,
				Leaving: b.leavingStart == b.start() && b.reportedTo == n,
			}, 100*time.Millisecond)
		}
		for i := range 10 {
			c.Inject(n, attemptWanted{}, time.Duration(i)*30*time.Millisecond)
		}
	}
	c.AfterFunc(300*time.Millisecond, c.injectInput)
}

func (c *testCluster) handleDispatch(_ *simulation.World, from id.Node, a event.Action) {
	d, ok := a.(event.Dispatch)
	if !ok {
		return
	}
	for _, b := range c.backends {
		if b.name == d.Server {
			c.runAttempt(b, from, d.Attempt)
		}
	}
}

func (c *testCluster) runAttempt(b *backend, from id.Node, attemptID id.Attempt) {
	known, _ := c.node(from).Server(b.name)
	a := &attempt{exempt: known.Start != b.start()}
	b.inFlight[a] = true
	b.lastReceived = c.Now
	b.checkLoad(c)
	incarnation, start := c.Self(from).Incarnation, b.start()
	took := time.Duration(10+c.Rand.IntN(150)+b.addedMs) * time.Millisecond
	finish := func(o route.Outcome) {
		if c.Up(from) && c.Self(from).Incarnation == incarnation {
			c.Inject(from, attemptEnded{attempt: attemptID, outcome: o}, time.Millisecond)
		}
	}
	a.reset = func() { finish(route.Outcome{Kind: route.ConnFailed}) }
	c.AfterFunc(took, func() {
		if !b.inFlight[a] {
			return
		}
		delete(b.inFlight, a)
		b.completed++
		finish(route.Outcome{Kind: route.Completed, Took: took, Start: start})
	})
}

// checkLoad records a violation if a cold server has more attempts in flight than it can handle. An attempt does not count
// if the node that sent it had not handled any report, answer or message of the server's current start at the dispatch.
func (b *backend) checkLoad(c *testCluster) {
	allowed, warm := permit.Allowance(limits, b.completed)
	load := 0
	for a := range b.inFlight {
		if !a.exempt {
			load++
		}
	}
	if !warm && load > allowed && c.violation == nil {
		c.violation = fmt.Errorf("%s: %d in flight on %s, %d completed, can handle %d", c.Now.Sub(simulation.Epoch), load, b.name, b.completed, allowed)
	}
}

func (b *backend) restart() {
	b.starts++
	b.completed = 0
	for a := range b.inFlight {
		a.reset()
	}
	clear(b.inFlight)
}

// checkLeaving lets one node learn that a server is leaving, and returns an error if any node still sends to it 3 s later.
func (c *testCluster) checkLeaving(b *backend, from id.Node) error {
	b.leavingStart, b.reportedTo = b.start(), from
	c.Run(3*time.Second + 500*time.Millisecond) // the load report itself takes up to 400 ms
	deadline := c.Now
	c.Run(time.Second)
	if b.lastReceived.After(deadline) && b.leavingStart == b.start() {
		return fmt.Errorf("%s received an attempt %s after the leaving marker", b.name, b.lastReceived.Sub(deadline)+3*time.Second)
	}
	return nil
}
