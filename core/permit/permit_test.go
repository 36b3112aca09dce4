package permit_test

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/permit"
	"bluebellflow/core/simulation"
	"bluebellflow/core/wire"
)

// TestMain fixes the seed, so that every run checks the same histories unless -rapid.seed is set.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260101")
	_ = flag.Set("rapid.checks", "40") // a history spans minutes of virtual time
	m.Run()
}

var (
	limits = permit.Limits{Cold: 2, Warm: 16}
	addr   = netip.MustParseAddrPort("10.0.0.1:7400")
)

// attemptWanted makes a node try to send an attempt, and attemptEnded tells it that one has ended.
type (
	attemptWanted struct{ event.In }
	attemptEnded  struct {
		event.In
		attempt         id.Attempt
		good, connReset bool
		start           id.Start
	}
)

// testNode is a node with membership and permits that sends attempts to server s1 as soon as it may.
type testNode struct {
	*member.Members
	permits     *permit.Permits
	lastAttempt id.Attempt
	cluster     *testCluster
}

func (n *testNode) Next() time.Time {
	a, b := n.Members.Next(), n.permits.Next()
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (n *testNode) Step(now time.Time, ev event.Event) []event.Action {
	out := n.step(now, ev)
	for _, a := range out {
		if s, ok := a.(event.Send); ok {
			if _, beat := s.Body.(member.Heartbeat); !beat {
				n.cluster.messages++
			}
		}
	}
	return out
}

func (n *testNode) step(now time.Time, ev event.Event) []event.Action {
	out := append(n.Members.Step(now, ev), n.permits.Step(now, ev)...)
	switch ev := ev.(type) {
	case attemptWanted:
		warm := n.permits.Warm("s1")
		if warm || n.permits.Take(now, "s1", n.lastAttempt+1) {
			n.lastAttempt++
			return append(out, event.Dispatch{Attempt: n.lastAttempt, Server: "s1", Stream: warm})
		}
		return append(out, n.permits.Request(now, "s1", 2)...)
	case attemptEnded:
		if ev.start != "" {
			out = append(out, member.ServerObserved{Server: "s1", Start: ev.start})
		}
		out = append(out, n.permits.Release(now, ev.attempt, ev.good)...)
		if ev.connReset {
			out = append(out, n.permits.MarkCold(now, "s1")...)
		}
	}
	return out
}

// testCluster simulates nodes with one backend server, s1, and tracks the attempts in flight on it.
type testCluster struct {
	*simulation.World
	vms               []event.VM
	starts            int // number of the server's current start
	completed         int // attempts completed since that start
	peak              int // most attempts in flight while the server was cold
	excess            int // most attempts in flight above what the server could handle
	sends             int
	inFlight          map[*attempt]bool
	violation         error     // first overload of the server
	slow              bool      // attempts take 7 s
	lastWithoutPermit time.Time // last dispatch without a permit
	idle              bool      // nodes send no attempts
	messages          int       // sent between nodes, without heartbeats
}

// attempt is an attempt in flight.
type attempt struct {
	exempt bool   // not counted, see check
	reset  func() // tells the node that the connection was reset
}

func (c *testCluster) start() id.Start { return id.Start(fmt.Sprintf("start-%d", c.starts)) }

func newCluster(seed uint64, nodes, domains int, opts ...permit.Option) *testCluster {
	c := &testCluster{World: simulation.New(seed), starts: 1, inFlight: map[*attempt]bool{}}
	for i := range nodes {
		c.vms = append(c.vms, event.VM{
			Name: fmt.Sprintf("entry-%d", i), Kind: "entry", Addr: addr,
			FailureDomain: id.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		})
	}
	c.vms = append(c.vms, event.VM{Name: "s1", Kind: "backend", FailureDomain: "domain-0", Addr: addr, Pool: "gen"})
	c.OnExternal = c.handleDispatch
	for _, vm := range c.vms[:nodes] {
		self := event.Self{Node: id.Node(vm.Name), FailureDomain: vm.FailureDomain, Addr: vm.Addr}
		c.Add(self, func(self event.Self) simulation.Stepper {
			p := permit.New(self, opts...)
			p.SetLimits("gen", limits)
			return &testNode{Members: member.New(self, member.WithSeeds(c.vms...)), permits: p, cluster: c}
		})
	}
	c.injectInput()
	return c
}

// injectInput gives every node the VM list, load reports and attempts to send, every 300 ms.
func (c *testCluster) injectInput() {
	for _, n := range c.Nodes() {
		if c.Up(n) {
			c.Inject(n, event.VMList{List: c.vms}, 0)
			c.Inject(n, event.LoadReport{Server: "s1", Start: c.start(), At: c.Now}, 100*time.Millisecond)
			if c.idle {
				continue
			}
			for i := range 15 {
				c.Inject(n, attemptWanted{}, time.Duration(i)*20*time.Millisecond+time.Duration(c.Rand.IntN(20))*time.Millisecond)
			}
		}
	}
	c.AfterFunc(300*time.Millisecond, c.injectInput)
}

// handleDispatch simulates the server.
func (c *testCluster) handleDispatch(_ *simulation.World, from id.Node, a event.Action) {
	d, ok := a.(event.Dispatch)
	if !ok {
		return
	}
	c.sends++
	if d.Stream {
		c.lastWithoutPermit = c.Now
	}
	known, _ := c.Stepper(from).(*testNode).Server("s1")
	sent := &attempt{exempt: known.Start != c.start()}
	c.inFlight[sent] = true
	c.checkLoad()
	took := time.Duration(10+c.Rand.IntN(200)) * time.Millisecond
	if c.slow {
		took = 7 * time.Second
	}
	incarnation := c.Self(from).Incarnation
	c.AfterFunc(took, func() {
		if !c.inFlight[sent] {
			return // the server restarted meanwhile
		}
		delete(c.inFlight, sent)
		c.completed++
		c.finish(from, incarnation, attemptEnded{attempt: d.Attempt, good: true, start: c.start()})
	})
	sent.reset = func() { c.finish(from, incarnation, attemptEnded{attempt: d.Attempt, connReset: true}) }
}

// finish tells a node about the end of an attempt, unless its process has restarted.
func (c *testCluster) finish(to id.Node, incarnation id.Incarnation, ev attemptEnded) {
	if c.Up(to) && c.Self(to).Incarnation == incarnation {
		c.Inject(to, ev, time.Millisecond)
	}
}

// checkLoad is the oracle: it records a violation if more attempts are in flight than the cold server can handle. An
// attempt does not count if its node had not yet handled any report, answer or message of the server's current start
// when it dispatched the attempt.
func (c *testCluster) checkLoad() {
	allowed, warm := permit.Allowance(limits, c.completed)
	count := 0
	for a := range c.inFlight {
		if !a.exempt {
			count++
		}
	}
	if warm {
		return
	}
	c.peak, c.excess = max(c.peak, count), max(c.excess, count-allowed)
	if count > allowed && c.violation == nil {
		c.violation = fmt.Errorf("%s: %d attempts in flight, %d completed, can handle %d", c.Now.Sub(simulation.Epoch), count, c.completed, allowed)
	}
}

// restart restarts the server, which resets all connections and makes it cold.
func (c *testCluster) restart() {
	c.starts++
	c.completed = 0
	for a := range c.inFlight {
		a.reset()
	}
	clear(c.inFlight)
}

// issuer returns the node that issues the server's permits in the view of the first running node.
func (c *testCluster) issuer() id.Node {
	for _, name := range c.Nodes() {
		if c.Up(name) {
			n, _ := c.Stepper(name).(*testNode).View().Owner("s1", member.InDomain("domain-0"))
			return n.ID
		}
	}
	return ""
}

// TestNeverOverloaded guards against nodes that together send a cold server more attempts than it can handle, and
// against a server that stays cold forever.
func TestNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), 6, 2)
		node := rapid.SampledFrom(c.Nodes())
		c.Run(time.Duration(rapid.IntRange(0, 15000).Draw(t, "begin")) * time.Millisecond)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if c.violation != nil {
					t.Fatal(c.violation)
				}
			},
			"kill": func(t *rapid.T) { c.Kill(node.Draw(t, "node")) },
			"killholder": func(*rapid.T) {
				if h := c.issuer(); h != "" {
					c.Kill(h)
				}
			},
			"start": func(t *rapid.T) {
				n := node.Draw(t, "node")
				c.Kill(n)
				c.Start(n)
			},
			"freeze": func(t *rapid.T) {
				c.Freeze(node.Draw(t, "node"), time.Duration(rapid.IntRange(100, 20000).Draw(t, "ms"))*time.Millisecond)
			},
			"cut": func(t *rapid.T) {
				a, b := node.Draw(t, "a"), node.Draw(t, "b")
				c.Cut(a, b)
				if rapid.Bool().Draw(t, "both") {
					c.Cut(b, a)
				}
			},
			"isolate": func(t *rapid.T) {
				a, in, out := node.Draw(t, "a"), rapid.Bool().Draw(t, "in"), rapid.Bool().Draw(t, "out")
				for _, b := range c.Nodes() {
					if in {
						c.Cut(b, a)
					}
					if out {
						c.Cut(a, b)
					}
				}
			},
			"domain": func(*rapid.T) { c.PartitionDomain("domain-0") },
			"heal":   func(*rapid.T) { c.Heal() },
			"network": func(t *rapid.T) {
				c.Network.Loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
				c.Network.Repeat = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "repeat")
			},
			"cold": func(*rapid.T) { c.restart() },
			"slow": func(t *rapid.T) { c.slow = rapid.Bool().Draw(t, "slow") },
			"run":  func(t *rapid.T) { c.Run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond) },
			"long": func(*rapid.T) { c.Run(13 * time.Second) },
		})
		// Once the faults have ended, the server becomes warm on every node.
		c.Heal()
		c.Network.Loss, c.Network.Repeat, c.slow = 0, 0, false
		for _, n := range c.Nodes() {
			if !c.Up(n) {
				c.Start(n)
			}
		}
		c.Run(45 * time.Second) // freezes of 20 s, failure detection and the lifetime of permits
		if c.violation != nil {
			t.Fatal(c.violation)
		}
		for _, n := range c.Nodes() {
			if !c.Stepper(n).(*testNode).permits.Warm("s1") {
				t.Fatalf("the server is still cold on %s", n)
			}
		}
	})
}

// TestTakeoverNeedsQuery shows that the oracle detects the failure: a new issuer that grants permits without a query
// overloads a server for which other permits are outstanding.
func TestTakeoverNeedsQuery(t *testing.T) {
	for without, opts := range map[bool][]permit.Option{true: {permit.WithoutQuery()}, false: nil} {
		c := newCluster(1, 6, 2, opts...)
		c.slow = true
		c.Run(10 * time.Second)
		NewWithT(t).Expect(c.inFlight).NotTo(BeEmpty())
		c.Kill(c.issuer())
		c.Run(5 * time.Second)
		NewWithT(t).Expect(c.violation != nil).To(Equal(without))
	}
}

// TestColdSignalReachesAll guards against nodes that keep sending without permits after one node has found the server cold,
// and shows that they do so if that is not announced.
func TestColdSignalReachesAll(t *testing.T) {
	for without, opts := range map[bool][]permit.Option{true: {permit.WithoutColdSignals()}, false: nil} {
		g := NewWithT(t)
		c := newCluster(1, 6, 2, opts...)
		c.Run(20 * time.Second)
		g.Expect(c.Now.Sub(c.lastWithoutPermit)).To(BeNumerically("<", time.Second), "the server is warm by now")
		c.slow = true // otherwise the server would become warm again
		c.Inject(c.Nodes()[1], attemptEnded{connReset: true}, 0)
		reported := c.Now
		c.Run(5 * time.Second)
		g.Expect(c.lastWithoutPermit.Sub(reported) > 10*time.Millisecond).To(Equal(without))
	}
}

// TestTakeoverIsFast guards against an issuer that waits although all processes have answered.
func TestTakeoverIsFast(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(1, 6, 2)
	c.Run(14 * time.Second)
	old := c.issuer()
	c.leave(old)
	c.Run(100 * time.Millisecond)
	g.Expect(c.issuer()).NotTo(Equal(old))
	c.restart()
	before := c.sends
	c.Run(time.Second)
	g.Expect(c.sends - before).To(BeNumerically(">=", 4))
	g.Expect(c.violation).NotTo(HaveOccurred())
}

// TestBaselines compares permits with the baselines: messages, time until the server is warm, and worst overload.
func TestBaselines(t *testing.T) {
	type result struct {
		peak, excess, messages int
		warmAfter              time.Duration
	}
	got := map[permit.Baseline]result{}
	for _, b := range []permit.Baseline{"", permit.StaticDivision, permit.TimedRamp, permit.NoPermit} {
		c := newCluster(1, 9, 3, permit.WithBaseline(b))
		c.Run(14 * time.Second)
		c.idle = true
		c.Run(time.Second)
		c.restart()
		c.Run(time.Second) // load reports announce the new start
		c.peak, c.excess, c.idle = 0, 0, false
		begin, res := c.Now, result{}
		c.OnInternal = func(w *simulation.World, _ id.Node, _ event.Action) {
			if c.Stepper(c.Nodes()[0]).(*testNode).permits.Warm("s1") && res.warmAfter == 0 {
				res.warmAfter = w.Now.Sub(begin)
			}
		}
		c.messages = 0
		c.Run(12 * time.Second)
		res.peak, res.excess, res.messages = c.peak, c.excess, c.messages
		got[b] = res
		t.Logf("%q: peak %d in flight while cold, %d more than it could handle, %d messages, warm after %s", b, res.peak, res.excess, res.messages, res.warmAfter)
	}
	g := NewWithT(t)
	g.Expect(got[""].excess).To(Equal(0))
	g.Expect(got[""].warmAfter).To(BeNumerically(">", 0))
	g.Expect(got[permit.StaticDivision].excess).To(BeNumerically(">", 0), "9 nodes with one attempt each")
	g.Expect(got[permit.NoPermit].excess).To(BeNumerically(">", 0))
}

// TestBodiesRoundTrip guards against fields that are lost in encoding and against invalid bodies that pass Check.
func TestBodiesRoundTrip(t *testing.T) {
	g := NewWithT(t)
	inc := id.Incarnation("00112233445566778899aabbccddeeff")
	codec := wire.New(map[uint32]event.Body{1: permit.Need{}, 2: permit.Grant{}, 3: permit.State{}, 4: permit.Query{}, 5: permit.Holding{}})
	need := permit.Need{Server: "s", Start: "a", Gen: 1, Seq: 3, Count: 2, Closed: 2, Held: []uint64{256, 513}, Done: 9}
	process := permit.Process{Node: "n", Incarnation: inc}
	for _, b := range []event.Body{
		need,
		permit.Grant{Server: "s", Seq: 1, Count: 4},
		permit.State{Server: "s", Start: "a", Gen: 2, Warm: true},
		permit.Query{Server: "s", Seq: 1 << 63},
		permit.Holding{
			Server: "s", Seq: 1, View: 1 << 63, Adult: true, Departed: []permit.Process{process},
			Lent: []permit.IssuedPermit{{To: process, Number: 256}}, States: []permit.State{{Server: "s", Start: "a"}}, Need: need,
		},
	} {
		raw, err := codec.Encode(wire.Envelope{From: "n", Incarnation: inc}, b)
		g.Expect(err).NotTo(HaveOccurred())
		got, err := codec.Decode(raw)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Body).To(Equal(b))
	}
	for _, b := range []event.Body{
		permit.Need{Server: "s", Seq: 1, Closed: 1},
		permit.Grant{Server: "s", Seq: 1, Count: 5},
		permit.State{Server: "s"},
		permit.Query{Server: "s"},
		permit.Holding{Server: "s", Need: permit.Need{}},
	} {
		g.Expect(b.Check()).To(HaveOccurred())
	}
}

// TestLapsedLease guards against an issuer that was cut off and, once it is reachable again, grants permits on outdated
// knowledge although another issuer has granted some meanwhile.
func TestLapsedLease(t *testing.T) {
	for seed := range uint64(8) {
		c := newCluster(seed, 6, 2)
		c.slow = true
		c.Run(10 * time.Second)
		old := c.issuer()
		for _, n := range c.Nodes() {
			c.Cut(old, n)
			c.Cut(n, old)
		}
		c.Run(16*time.Second + time.Duration(seed)*300*time.Millisecond)
		c.Heal()
		c.Run(8 * time.Second)
		NewWithT(t).Expect(c.violation).NotTo(HaveOccurred())
	}
}

// TestLastNodeStops guards against requests that wait in vain on a node that is leaving. It is the last node of the
// server's failure domain, so no other node can issue the permits that its open requests need.
func TestLastNodeStops(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(1, 1, 1)
	c.idle = true
	c.Run(14 * time.Second) // no permit of an earlier process can be in use any more
	c.leave(c.Nodes()[0])
	c.idle = false
	c.Run(2 * time.Second)
	g.Expect(c.sends).To(BeNumerically(">", 5))
	g.Expect(c.violation).NotTo(HaveOccurred())
}

// TestLastNodesStop guards against several nodes that leave at once and all issue permits of the same server: they
// would overload it while it is cold, or keep taking over from each other.
func TestLastNodesStop(t *testing.T) {
	for seed := range uint64(5) {
		g := NewWithT(t)
		c := newCluster(seed, 3, 1)
		c.idle = true
		c.Run(14 * time.Second)
		for _, name := range c.Nodes() {
			c.leave(name)
		}
		c.Run(time.Second)
		c.idle = false
		c.Run(3 * time.Second)
		g.Expect(c.sends).To(BeNumerically(">", 250), "nodes that keep taking over from each other reach about 210")
		g.Expect(c.violation).NotTo(HaveOccurred())
	}
}

// leave makes a node leave the cluster, as at the beginning of its stop.
func (c *testCluster) leave(name id.Node) {
	for _, a := range c.Stepper(name).(*testNode).Leave(c.Now) {
		if ev, ok := event.IsInternal(a); ok {
			c.Inject(name, ev, 0)
		}
		if s, ok := a.(event.Send); ok {
			c.Inject(s.To, event.Receive{From: name, Incarnation: c.Self(name).Incarnation, Body: s.Body}, 0)
		}
	}
}
