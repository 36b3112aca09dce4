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

// TestMain fixes the seed, so that each run checks the same histories unless -rapid.seed asks for others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260101")
	_ = flag.Set("rapid.checks", "40") // a history spans minutes of virtual time
	m.Run()
}

var (
	limits = permit.Limits{Cold: 2, Warm: 16}
	addr   = netip.MustParseAddrPort("10.0.0.1:7400")
)

// try and ended drive a node: an attempt is wanted, an attempt is over.
type (
	attemptWanted struct{ event.In }
	attemptEnded  struct {
		event.In
		attempt         id.Attempt
		good, connReset bool
		start           id.Start
	}
)

// testNode is a node with membership and permits that sends whatever it may to one server.
type testNode struct {
	*member.Members
	permits     *permit.Permits
	lastAttempt id.Attempt
	cluster     *testCluster
}

func (u *testNode) Next() time.Time {
	a, b := u.Members.Next(), u.permits.Next()
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (u *testNode) Step(now time.Time, ev event.Event) []event.Action {
	out := u.step(now, ev)
	for _, a := range out {
		if s, ok := a.(event.Send); ok {
			if _, beat := s.Body.(member.Heartbeat); !beat {
				u.cluster.messages++
			}
		}
	}
	return out
}

func (u *testNode) step(now time.Time, ev event.Event) []event.Action {
	out := append(u.Members.Step(now, ev), u.permits.Step(now, ev)...)
	switch ev := ev.(type) {
	case attemptWanted:
		warm := u.permits.Warm("s1")
		if warm || u.permits.Take(now, "s1", u.lastAttempt+1) {
			u.lastAttempt++
			return append(out, event.Dispatch{Attempt: u.lastAttempt, Server: "s1", Stream: warm})
		}
		return append(out, u.permits.Request(now, "s1", 2)...)
	case attemptEnded:
		if ev.start != "" {
			out = append(out, member.ServerObserved{Server: "s1", Start: ev.start})
		}
		out = append(out, u.permits.Release(now, ev.attempt, ev.good)...)
		if ev.connReset {
			out = append(out, u.permits.MarkCold(now, "s1")...)
		}
	}
	return out
}

// testCluster is a world with one backend server that counts what is in flight on it.
type testCluster struct {
	*simulation.World
	vms               []event.VM
	starts            int
	completed         int
	peak              int // most in flight while cold
	excess            int // most above what the server could handle
	sends             int
	inflight          map[*attempt]bool
	violation         error
	slow              bool
	lastWithoutPermit time.Time // last dispatch without a permit
	idle              bool      // no work
	messages          int       // heartbeats not counted
}

type attempt struct {
	exempt bool
	reset  func() // tells the node that the connection was reset
}

func (r *testCluster) start() id.Start { return id.Start(fmt.Sprintf("start-%d", r.starts)) }

func newCluster(seed uint64, nodes, domains int, opts ...permit.Option) *testCluster {
	r := &testCluster{World: simulation.New(seed), starts: 1, inflight: map[*attempt]bool{}}
	for i := range nodes {
		r.vms = append(r.vms, event.VM{
			Name: fmt.Sprintf("entry-%d", i), Kind: "entry", Addr: addr,
			FailureDomain: id.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		})
	}
	r.vms = append(r.vms, event.VM{Name: "s1", Kind: "backend", FailureDomain: "domain-0", Addr: addr, Pool: "gen"})
	r.Outside = r.outside
	for _, vm := range r.vms[:nodes] {
		self := event.Self{Node: id.Node(vm.Name), FailureDomain: vm.FailureDomain, Addr: vm.Addr}
		r.Add(self, func(self event.Self) simulation.Stepper {
			p := permit.New(self, opts...)
			p.SetLimits("gen", limits)
			return &testNode{Members: member.New(self, member.WithSeeds(r.vms...)), permits: p, cluster: r}
		})
	}
	r.injectInput()
	return r
}

// injectInput gives every node the VM list, load reports and work, again and again.
func (r *testCluster) injectInput() {
	for _, n := range r.Names() {
		if r.Up(n) {
			r.Inject(n, event.VMList{List: r.vms}, 0)
			r.Inject(n, event.LoadReport{Server: "s1", Start: r.start(), At: r.Now}, 100*time.Millisecond)
			if r.idle {
				continue
			}
			for i := range 15 {
				r.Inject(n, attemptWanted{}, time.Duration(i)*20*time.Millisecond+time.Duration(r.Rand.IntN(20))*time.Millisecond)
			}
		}
	}
	r.At(300*time.Millisecond, r.injectInput)
}

func (r *testCluster) outside(_ *simulation.World, from id.Node, a event.Action) {
	d, ok := a.(event.Dispatch)
	if !ok {
		return
	}
	r.sends++
	if d.Stream {
		r.lastWithoutPermit = r.Now
	}
	known, _ := r.Stepper(from).(*testNode).Server("s1")
	at := &attempt{exempt: known.Start != r.start()}
	r.inflight[at] = true
	r.check()
	took := time.Duration(10+r.Rand.IntN(200)) * time.Millisecond
	if r.slow {
		took = 7 * time.Second
	}
	life := r.Self(from).Incarnation
	r.At(took, func() {
		if !r.inflight[at] {
			return // the server restarted meanwhile
		}
		delete(r.inflight, at)
		r.completed++
		r.finish(from, life, attemptEnded{attempt: d.Attempt, good: true, start: r.start()})
	})
	at.reset = func() { r.finish(from, life, attemptEnded{attempt: d.Attempt, connReset: true}) }
}

func (r *testCluster) finish(to id.Node, life id.Incarnation, ev attemptEnded) {
	if r.Up(to) && r.Self(to).Incarnation == life {
		r.Inject(to, ev, time.Millisecond)
	}
}

// check is the oracle. The grace that applies: an attempt does not count if the node that sent it had not handled any
// report, answer or message of the server's present start at the dispatch.
func (r *testCluster) check() {
	can, warm := permit.Allowance(limits, r.completed)
	load := 0
	for a := range r.inflight {
		if !a.exempt {
			load++
		}
	}
	if warm {
		return
	}
	r.peak, r.excess = max(r.peak, load), max(r.excess, load-can)
	if load > can && r.violation == nil {
		r.violation = fmt.Errorf("%s: %d attempts in flight, %d completed, can handle %d", r.Now.Sub(simulation.Epoch), load, r.completed, can)
	}
}

// restart makes the server cold without warning.
func (r *testCluster) restart() {
	r.starts++
	r.completed = 0
	for a := range r.inflight {
		a.reset()
	}
	clear(r.inflight)
}

func (r *testCluster) issuer() id.Node {
	for _, name := range r.Names() {
		if r.Up(name) {
			n, _ := r.Stepper(name).(*testNode).View().Owner("s1", member.InDomain("domain-0"))
			return n.ID
		}
	}
	return ""
}

// TestNeverOverloaded guards against nodes that together send a cold server more than it can handle, and against a
// server that stays cold for ever.
func TestNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newCluster(rapid.Uint64().Draw(t, "seed"), 6, 2)
		node := rapid.SampledFrom(r.Names())
		r.Run(time.Duration(rapid.IntRange(0, 15000).Draw(t, "begin")) * time.Millisecond)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if r.violation != nil {
					t.Fatal(r.violation)
				}
			},
			"kill": func(t *rapid.T) { r.Kill(node.Draw(t, "node")) },
			"killholder": func(*rapid.T) {
				if h := r.issuer(); h != "" {
					r.Kill(h)
				}
			},
			"start": func(t *rapid.T) {
				n := node.Draw(t, "node")
				r.Kill(n)
				r.Start(n)
			},
			"freeze": func(t *rapid.T) {
				r.Freeze(node.Draw(t, "node"), time.Duration(rapid.IntRange(100, 20000).Draw(t, "ms"))*time.Millisecond)
			},
			"cut": func(t *rapid.T) {
				a, b := node.Draw(t, "a"), node.Draw(t, "b")
				r.Cut(a, b)
				if rapid.Bool().Draw(t, "both") {
					r.Cut(b, a)
				}
			},
			"isolate": func(t *rapid.T) {
				a, in, out := node.Draw(t, "a"), rapid.Bool().Draw(t, "in"), rapid.Bool().Draw(t, "out")
				for _, b := range r.Names() {
					if in {
						r.Cut(b, a)
					}
					if out {
						r.Cut(a, b)
					}
				}
			},
			"domain": func(*rapid.T) { r.CutDomain("domain-0") },
			"heal":   func(*rapid.T) { r.Heal() },
			"network": func(t *rapid.T) {
				r.Network.Loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
				r.Network.Repeat = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "repeat")
			},
			"cold": func(*rapid.T) { r.restart() },
			"slow": func(t *rapid.T) { r.slow = rapid.Bool().Draw(t, "slow") },
			"run":  func(t *rapid.T) { r.Run(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond) },
			"long": func(*rapid.T) { r.Run(13 * time.Second) },
		})
		// Once the faults end, the server becomes warm on every node.
		r.Heal()
		r.Network.Loss, r.Network.Repeat, r.slow = 0, 0, false
		for _, n := range r.Names() {
			if !r.Up(n) {
				r.Start(n)
			}
		}
		r.Run(45 * time.Second) // freezes of 20 s, suspicion, the lifetime of permits
		if r.violation != nil {
			t.Fatal(r.violation)
		}
		for _, n := range r.Names() {
			if !r.Stepper(n).(*testNode).permits.Warm("s1") {
				t.Fatalf("the server is still cold on %s", n)
			}
		}
	})
}

// TestTakeoverNeedsQuery shows that the oracle sees the failure: a new holder that grants without asking overloads a
// server whose permits are out.
func TestTakeoverNeedsQuery(t *testing.T) {
	for without, opts := range map[bool][]permit.Option{true: {permit.WithoutQuery()}, false: nil} {
		r := newCluster(1, 6, 2, opts...)
		r.slow = true
		r.Run(10 * time.Second)
		NewWithT(t).Expect(r.inflight).NotTo(BeEmpty())
		r.Kill(r.issuer())
		r.Run(5 * time.Second)
		NewWithT(t).Expect(r.violation != nil).To(Equal(without))
	}
}

// TestSignReachesAll guards against nodes that go on sending without permits after one node saw a sign, and shows that
// they do if signs are not passed on.
func TestSignReachesAll(t *testing.T) {
	for without, opts := range map[bool][]permit.Option{true: {permit.WithoutColdSignals()}, false: nil} {
		g := NewWithT(t)
		r := newCluster(1, 6, 2, opts...)
		r.Run(20 * time.Second)
		g.Expect(r.Now.Sub(r.lastWithoutPermit)).To(BeNumerically("<", time.Second), "warm by now")
		r.slow = true // or the server becomes warm again
		r.Inject(r.Names()[1], attemptEnded{connReset: true}, 0)
		sign := r.Now
		r.Run(5 * time.Second)
		g.Expect(r.lastWithoutPermit.Sub(sign) > 10*time.Millisecond).To(Equal(without))
	}
}

// TestTakeoverIsFast guards against a holder that waits although all processes have answered.
func TestTakeoverIsFast(t *testing.T) {
	g := NewWithT(t)
	r := newCluster(1, 6, 2)
	r.Run(14 * time.Second)
	old := r.issuer()
	r.leave(old)
	r.Run(100 * time.Millisecond)
	g.Expect(r.issuer()).NotTo(Equal(old))
	r.restart()
	before := r.sends
	r.Run(time.Second)
	g.Expect(r.sends - before).To(BeNumerically(">=", 4))
	g.Expect(r.violation).NotTo(HaveOccurred())
}

// TestBaselines compares the holder with a division among nodes: messages, time to full use, worst overload.
func TestBaselines(t *testing.T) {
	type result struct {
		peak, excess, messages int
		warmAfter              time.Duration
	}
	got := map[permit.Baseline]result{}
	for _, b := range []permit.Baseline{"", permit.StaticDivision, permit.TimedRamp, permit.NoPermit} {
		r := newCluster(1, 9, 3, permit.WithBaseline(b))
		r.Run(14 * time.Second)
		r.idle = true
		r.Run(time.Second)
		r.restart()
		r.Run(time.Second) // load reports tell of the new start
		r.peak, r.excess, r.idle = 0, 0, false
		begin, res := r.Now, result{}
		r.Watch = func(w *simulation.World, _ id.Node, _ event.Action) {
			if r.Stepper(r.Names()[0]).(*testNode).permits.Warm("s1") && res.warmAfter == 0 {
				res.warmAfter = w.Now.Sub(begin)
			}
		}
		r.messages = 0
		r.Run(12 * time.Second)
		res.peak, res.excess, res.messages = r.peak, r.excess, r.messages
		got[b] = res
		t.Logf("%q: peak %d in flight while cold, %d more than it could handle, %d messages, warm after %s", b, res.peak, res.excess, res.messages, res.warmAfter)
	}
	g := NewWithT(t)
	g.Expect(got[""].excess).To(Equal(0))
	g.Expect(got[""].warmAfter).To(BeNumerically(">", 0))
	g.Expect(got[permit.StaticDivision].excess).To(BeNumerically(">", 0), "9 nodes with one each")
	g.Expect(got[permit.NoPermit].excess).To(BeNumerically(">", 0))
}

// TestBodiesRoundTrip guards against a field that the wire loses and against bodies that skip their checks.
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

// TestLapsedLease guards against a holder that was cut off, comes back, and lends on what it knew before although
// another holder has lent meanwhile.
func TestLapsedLease(t *testing.T) {
	for seed := range uint64(8) {
		r := newCluster(seed, 6, 2)
		r.slow = true
		r.Run(10 * time.Second)
		old := r.issuer()
		for _, n := range r.Names() {
			r.Cut(old, n)
			r.Cut(n, old)
		}
		r.Run(16*time.Second + time.Duration(seed)*300*time.Millisecond)
		r.Heal()
		r.Run(8 * time.Second)
		NewWithT(t).Expect(r.violation).NotTo(HaveOccurred())
	}
}

// TestLastNodeStops guards against requests that wait in vain on a node which is being stopped: it is the last one of the
// server's failure domain, so that nobody else lends it the permits that its open requests need.
func TestLastNodeStops(t *testing.T) {
	g := NewWithT(t)
	r := newCluster(1, 1, 1)
	r.idle = true
	r.Run(14 * time.Second) // no permit of an earlier process can be in use any more
	r.leave(r.Names()[0])
	r.idle = false
	r.Run(2 * time.Second)
	g.Expect(r.sends).To(BeNumerically(">", 5))
	g.Expect(r.violation).NotTo(HaveOccurred())
}

// TestLastNodesStop guards against several nodes that stop at once and each lend permits of the same server: they would
// overload it while it is cold, or take the lending from each other again and again.
func TestLastNodesStop(t *testing.T) {
	for seed := range uint64(5) {
		g := NewWithT(t)
		r := newCluster(seed, 3, 1)
		r.idle = true
		r.Run(14 * time.Second)
		for _, name := range r.Names() {
			r.leave(name)
		}
		r.Run(time.Second)
		r.idle = false
		r.Run(3 * time.Second)
		g.Expect(r.sends).To(BeNumerically(">", 250), "nodes that take the lending from each other come to about 210")
		g.Expect(r.violation).NotTo(HaveOccurred())
	}
}

// leave begins the stop of a node.
func (r *testCluster) leave(name id.Node) {
	for _, a := range r.Stepper(name).(*testNode).Leave(r.Now) {
		if ev, ok := event.IsInternal(a); ok {
			r.Inject(name, ev, 0)
		}
		if s, ok := a.(event.Send); ok {
			r.Inject(s.To, event.Receive{From: name, Incarnation: r.Self(name).Incarnation, Body: s.Body}, 0)
		}
	}
}
