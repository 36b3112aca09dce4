package canary_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bluebellflow/core/canary"
	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/simulation"
	"bluebellflow/core/wire"
)

func TestMain(m *testing.M) {
	simulation.FixSeed(1)
	os.Exit(m.Run())
}

type sample struct {
	event.In
	canary.Sample
}

type stepper struct{ *canary.Rollouts }

func (s stepper) Step(now time.Time, ev event.Event) []event.Action {
	if ev, ok := ev.(sample); ok {
		s.Observe(now, ev.Sample)
		return nil
	}
	return s.Rollouts.Step(now, ev)
}

// harness is a fleet with one rollout and its oracles.
type harness struct {
	world      *simulation.World
	bad        bool
	rate       int // requests each 100 ms
	stopped    map[id.Incarnation]bool
	shares     map[id.Node]int
	shareAtCut map[id.Node]int // share when the platform became unreachable
	lastFence  map[id.Server]uint64
	orders     int
	answers    []event.CommandResult
	violations []string
}

func newHarness(seed uint64, nodes int, by time.Duration, opts ...canary.Option) *harness {
	c := &harness{
		world: simulation.New(seed), rate: 6, stopped: map[id.Incarnation]bool{}, shares: map[id.Node]int{},
		shareAtCut: map[id.Node]int{}, lastFence: map[id.Server]uint64{},
	}
	c.world.OnExternal = func(_ *simulation.World, from id.Node, a event.Action) {
		switch a := a.(type) {
		case event.CommandResult:
			c.answers = append(c.answers, a)
		case event.Order:
			c.orders++
			if a.Fence < c.lastFence[a.Server] {
				c.fail("%s was ordered with fence %d after %d", a.Server, a.Fence, c.lastFence[a.Server])
			}
			c.lastFence[a.Server] = a.Fence
			code := event.CodeUnavailable // the order is sent again
			if c.world.Rand.IntN(10) == 0 {
				code = event.CodeOK
			}
			c.world.Inject(from, event.OrderResult{Order: a, Code: code}, time.Millisecond)
		}
	}
	for i := range nodes {
		self := event.Self{Node: id.Node(fmt.Sprintf("n%d", i)), FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%3))}
		c.world.Add(self, func(s event.Self) simulation.Stepper { return stepper{canary.New(s, opts...)} })
	}
	c.updateViews()
	c.traffic()
	c.world.Inject("n0", canary.Begin{Command: event.Command{Number: 1}, Name: "m", Pool: "p", From: "v1", To: "v2", Deadline: c.world.Now.Add(by)}, 100*time.Millisecond)
	return c
}

func (c *harness) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *harness) updateViews() {
	for _, n := range c.world.Nodes() {
		v := &member.View{}
		for _, o := range c.world.Nodes() {
			if c.world.Up(o) && c.world.Reaches(o, n) {
				v.Nodes = append(v.Nodes, member.Node{ID: o, Incarnation: c.world.Self(o).Incarnation})
			}
		}
		c.world.Inject(n, member.ViewChanged{View: v}, time.Millisecond)
		for i, version := range []id.Version{"v1", "v2"} {
			s := member.Server{ID: id.Server(version), Pool: "p", Version: version, Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)), Start: "s"}
			c.world.Inject(n, member.ServerChanged{Server: s}, time.Millisecond)
		}
	}
}

// traffic sends requests through all nodes and their results back, for ever.
func (c *harness) traffic() {
	for range c.rate {
		n := c.world.Nodes()[c.world.Rand.IntN(len(c.world.Nodes()))]
		if !c.world.Up(n) {
			continue
		}
		v := c.world.Stepper(n).(stepper).Choose(c.world.Now, "p", id.Fingerprint(c.world.Rand.Uint64()), "x")
		s := canary.Sample{
			Pool: "p", Version: v, Sample: evidence.Sample{
				Route: "x", Load: 1, Failed: c.bad && v == "v2" && c.world.Rand.IntN(2) == 0,
				Took: time.Duration(80+c.world.Rand.IntN(40)) * time.Millisecond,
			},
		}
		c.world.Inject(n, sample{Sample: s}, s.Took)
	}
	for _, n := range c.world.Nodes() {
		for _, v := range []id.Version{"v1", "v2"} {
			if c.world.Rand.IntN(10) > 0 {
				continue
			}
			c.world.Inject(n, event.LoadReport{Server: id.Server(v), Version: v, At: c.world.Now}, 0)
		}
		c.checkNode(n)
	}
	c.world.AfterFunc(100*time.Millisecond, c.traffic)
}

// checkNode is the oracle for one node: a stop is for good, and a share never rises without the platform.
func (c *harness) checkNode(n id.Node) {
	if !c.world.Up(n) {
		delete(c.shares, n)
		return
	}
	inc := c.world.Self(n).Incarnation
	for _, s := range c.world.Stepper(n).(stepper).Status() {
		if c.stopped[inc] && s.Applied > 0 {
			c.fail("%s gives a stopped version %d", n, s.Applied)
		}
		c.stopped[inc] = c.stopped[inc] || s.Stopped || s.State == canary.RolledBack
		if at, cut := c.shareAtCut[n]; cut && s.Applied > at {
			c.fail("%s raised the share from %d to %d while it was cut off", n, at, s.Applied)
		}
		c.shares[n] = s.Applied
	}
}

// checkHistory is the oracle for the object: one way through the states, exactly one outcome.
func (c *harness) checkHistory() canary.Record {
	var last canary.Record
	outcomes := 0
	for _, o := range c.world.Platform.History["moves/m"] {
		var r canary.Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			c.fail("unreadable: %s", err)
		}
		if r.Fence < last.Fence || (last.State == canary.Stopping && r.State == canary.Running) {
			c.fail("%+v follows %+v", r, last)
		}
		if r.State == canary.Done || r.State == canary.RolledBack {
			outcomes++
		}
		last = r
	}
	if outcomes > 1 {
		c.fail("%d outcomes", outcomes)
	}
	return last
}

// cutPlatform makes the platform unreachable for everybody, or for nobody.
func (c *harness) cutPlatform(down bool) {
	c.world.Platform.Down = down
	clear(c.shareAtCut)
	if down {
		c.world.AfterFunc(3*time.Second, func() { // answers that were under way have arrived by then
			if c.world.Platform.Down {
				for n, share := range c.shares {
					c.shareAtCut[n] = share
				}
			}
		})
	}
}

func (c *harness) clearFaults() {
	c.world.Heal()
	c.world.Network = simulation.Network{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond}
	p := c.world.Platform
	p.LoseAnswer, p.LoseCall, p.LateEffect, p.WatchGap, p.Latency = 0, 0, 0, 0, 2*time.Millisecond
	c.cutPlatform(false)
	c.updateViews()
}

func (c *harness) actions() map[string]func(*rapid.T) {
	node := func(t *rapid.T) id.Node { return rapid.SampledFrom(c.world.Nodes()).Draw(t, "node") }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			c.world.Run(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			c.checkHistory()
			if len(c.violations) > 0 {
				t.Fatal(c.violations[0])
			}
		},
		"bad": func(t *rapid.T) { c.bad = rapid.IntRange(0, 3).Draw(t, "bad") == 0 },
		"kill": func(t *rapid.T) {
			n := node(t)
			c.world.Kill(n)
			delete(c.shareAtCut, n)
			c.updateViews()
		},
		"start": func(t *rapid.T) {
			if n := node(t); !c.world.Up(n) {
				c.world.Start(n)
				c.updateViews()
			}
		},
		"freeze": func(t *rapid.T) {
			c.world.Freeze(node(t), time.Duration(rapid.IntRange(10, 30000).Draw(t, "ms"))*time.Millisecond)
		},
		"cut": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "whole") {
				c.world.PartitionDomain(c.world.Self(node(t)).FailureDomain)
			}
			c.world.Cut(node(t), node(t))
			if rapid.Bool().Draw(t, "noticed") {
				c.updateViews()
			}
		},
		"heal": func(*rapid.T) { c.clearFaults() },
		"platform": func(t *rapid.T) {
			rate := rapid.SampledFrom([]float64{0, 0.2, 0.5})
			p := c.world.Platform
			p.LoseAnswer, p.LoseCall, p.LateEffect = rate.Draw(t, "answers"), rate.Draw(t, "calls"), rate.Draw(t, "late")
			p.WatchGap = rate.Draw(t, "gap")
			p.Latency = rapid.SampledFrom([]time.Duration{2e6, 5e8}).Draw(t, "latency")
			c.world.Network.Loss, c.world.Network.Repeat = rate.Draw(t, "loss"), rate.Draw(t, "repeat")
			c.cutPlatform(rapid.Bool().Draw(t, "down"))
		},
	}
}

// TestFaults guards against a second outcome, old orders, and traffic for a stopped version, under drawn faults.
func TestFaults(t *testing.T) {
	outcomes := map[canary.State]int{}
	rapid.Check(t, func(t *rapid.T) {
		c := newHarness(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "nodes"), 2*time.Minute)
		c.world.Run(time.Second)
		t.Repeat(c.actions())
		for _, n := range c.world.Nodes() {
			if !c.world.Up(n) {
				c.world.Start(n)
			}
		}
		c.clearFaults()
		c.world.Run(4 * time.Minute)
		last := c.checkHistory()
		if last.Name != "" && last.State != canary.Done && last.State != canary.RolledBack {
			c.fail("no outcome: %+v", last)
		}
		if len(c.violations) > 0 {
			t.Fatal(c.violations[0])
		}
		outcomes[last.State]++
	})
	t.Logf("outcomes: %v", outcomes)
}

// TestMechanisms guards against oracles that would not notice when a mechanism is missing.
func TestMechanisms(t *testing.T) {
	storm := func(seed uint64, lose float64, latency time.Duration, opts ...canary.Option) []string {
		c := newHarness(seed, 4, 2*time.Minute, opts...)
		for i := range 40 {
			c.bad = i > 15
			names := c.world.Nodes()
			switch i % 3 {
			case 0:
				c.world.Freeze(names[c.world.Rand.IntN(4)], time.Duration(2+c.world.Rand.IntN(8))*time.Second)
			case 1:
				c.world.PartitionDomain("d0")
				c.updateViews()
			case 2:
				c.world.Heal()
				c.updateViews()
				n := names[c.world.Rand.IntN(4)]
				c.world.Kill(n)
				c.world.Start(n)
				c.updateViews()
			}
			c.world.Platform.Latency, c.world.Platform.LoseAnswer = latency, lose
			c.world.Run(4 * time.Second)
		}
		c.checkHistory()
		return c.violations
	}
	g := NewWithT(t)
	for _, m := range []struct {
		name    string
		lose    float64
		latency time.Duration
		without canary.Option
	}{
		{"lease", 0, 1500 * time.Millisecond, canary.WithoutLeaseWait()},
		{"permanent stop", 0, 800 * time.Millisecond, canary.WithRevocableStops()},
		{"conditional outcome", 0.3, 800 * time.Millisecond, canary.WithUnconditionalOutcome()},
	} {
		var broken []string
		// Two controllers at once are rare, so that the search goes on until one is found.
		for seed := uint64(0); seed < 20 || (len(broken) == 0 && seed < 300); seed++ {
			if seed < 20 {
				g.Expect(storm(seed, m.lose, m.latency)).To(BeEmpty(), "seed %d", seed)
			}
			broken = append(broken, storm(seed, m.lose, m.latency, m.without)...)
		}
		g.Expect(broken).NotTo(BeEmpty(), m.name)
		t.Logf("%d violations without %s, such as: %s", len(broken), m.name, broken[0])
	}
}

func TestCanary(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "move")
}

var _ = Describe("a rollout", func() {
	It("completes before its time when the version is good", func() { // guards against rollouts that come late
		c := newHarness(1, 5, 3*time.Minute)
		c.world.Run(3 * time.Minute)
		Expect(c.checkHistory().State).To(Equal(canary.Done))
		Expect(c.orders).To(BeNumerically(">=", 1))
		Expect(c.answers).To(HaveLen(1))
		Expect(c.world.Stepper("n3").(stepper).Choose(c.world.Now, "p", 7, "x")).To(Equal(id.Version("v2")))
		Expect(c.violations).To(BeEmpty())
	})
	It("is rolled back everywhere, with the platform down", func() { // guards against nodes that need the platform to stop
		c := newHarness(1, 5, 5*time.Minute)
		c.world.Run(90 * time.Second)
		c.bad = true
		c.cutPlatform(true)
		c.world.Run(20 * time.Second)
		for _, n := range c.world.Nodes() {
			Expect(c.shares[n]).To(BeZero())
		}
		c.cutPlatform(false)
		c.world.Run(20 * time.Second)
		Expect(c.checkHistory().State).To(Equal(canary.RolledBack))
		Expect(c.violations).To(BeEmpty())
	})
	It("is known to a node that starts while the platform is down", func() { // guards against work for a version that was taken back
		c := newHarness(1, 5, 5*time.Minute)
		c.world.Run(90 * time.Second)
		c.bad = true
		c.cutPlatform(true)
		c.world.Run(20 * time.Second)
		c.world.Kill("n1")
		c.world.Start("n1")
		c.updateViews()
		c.world.Run(5 * time.Second)
		fresh := c.world.Stepper("n1").(stepper)
		Expect(fresh.Loaded()).To(BeTrue())
		Expect(fresh.Choose(c.world.Now, "p", 7, "x")).To(Equal(id.Version("v1")))
		c.cutPlatform(false)
		c.world.Run(20 * time.Second)
		Expect(c.checkHistory().State).To(Equal(canary.RolledBack))
		Expect(c.violations).To(BeEmpty())
	})
	It("stays at a small share without evidence", func() { // guards against a version that nobody has tried
		c := newHarness(1, 3, 3*time.Minute)
		c.rate = 0
		c.world.Run(4 * time.Minute)
		Expect(c.checkHistory().State).To(Equal(canary.RolledBack))
		for _, o := range c.world.Platform.History["moves/m"] {
			var r canary.Record
			Expect(json.Unmarshal(o.Value, &r)).To(Succeed())
			Expect(r.Share).To(BeNumerically("<=", 50))
		}
	})
	It("keeps its operation in flight when an older read is answered", func() { // guards against a crash found by cmd/e2e
		self := event.Self{Node: "n", Incarnation: id.NewIncarnation(rand.New(rand.NewPCG(1, 1))), Rand: rand.New(rand.NewPCG(1, 2))}
		m := canary.New(self)
		now := simulation.Epoch
		last := map[event.Op]event.PlatformCall{}
		step := func(ev event.Event) {
			now = now.Add(time.Second)
			for _, a := range m.Step(now, ev) {
				if c, ok := a.(event.PlatformCall); ok {
					last[c.Op] = c
				}
			}
		}
		step(member.ViewChanged{View: &member.View{Nodes: []member.Node{{ID: "n", Incarnation: self.Incarnation}}}})
		step(event.PlatformResult{Call: last[event.OpList], Code: event.CodeOK})
		step(canary.Begin{Name: "m", Pool: "p", From: "v1", To: "v2", Deadline: now.Add(time.Hour)})
		begun := last[event.OpPut]
		step(event.ObjectChanged{})
		step(event.PlatformResult{Call: last[event.OpList], Code: event.CodeOK, Objects: []event.Object{{Name: "moves/m", Version: 1}}})
		read := last[event.OpGet]
		step(event.PlatformResult{Call: begun, Code: event.CodeOK})
		step(event.Tick{})
		lease := last[event.OpPut]
		Expect(lease.Version).To(Equal(uint64(1)))
		step(event.PlatformResult{Call: read, Code: event.CodeUnknown})
		for range 5 {
			step(event.Tick{})
		}
		step(event.PlatformResult{Call: lease, Code: event.CodeOK})
		Expect(m.Status()).To(HaveLen(1))
		Expect(m.Status()[0].Holder).To(Equal(id.Node("n")))
	})
	It("refuses a second one for its name and its pool", func() { // guards against two controllers for one pool
		c := newHarness(1, 3, 3*time.Minute)
		c.world.Run(time.Second)
		for _, name := range []string{"m", "other"} {
			c.world.Inject("n1", canary.Begin{Name: name, Pool: "p", From: "v1", To: "v3", Deadline: c.world.Now.Add(time.Hour)}, 0)
		}
		c.world.Run(time.Second)
		Expect(c.answers).To(HaveLen(3))
		Expect(c.answers[1].Fault).NotTo(BeNil())
		Expect(c.answers[2].Fault).NotTo(BeNil())
	})
	It("carries its messages over the wire", func() { // guards against a field without a tag
		codec := wire.New(map[uint32]event.Body{1: canary.Gossip{}})
		inc := id.NewIncarnation(rand.New(rand.NewPCG(1, 1)))
		body := canary.Gossip{Rollouts: []canary.RolloutProgress{{
			Name: "m", Version: 3, Applied: 50, Stopped: true, Reason: "r",
			Cells: []evidence.Cell{{Route: "x", Slot: -1, Count: []uint64{1, 2, 3, 4, 5, 6, 7, 8}}},
		}}}
		raw, err := codec.Encode(wire.Envelope{From: "n", Incarnation: inc}, body)
		Expect(err).NotTo(HaveOccurred())
		got, err := codec.Decode(raw)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Body).To(Equal(body))
	})
})

// BenchmarkChoose measures the choice of a version while a rollout runs.
func BenchmarkChoose(b *testing.B) {
	c := newHarness(1, 3, time.Minute)
	c.world.Run(time.Second)
	s := c.world.Stepper("n0").(stepper)
	b.ReportAllocs()
	for i := range b.N {
		s.Choose(c.world.Now, "p", id.Fingerprint(i), "x")
	}
}

// BenchmarkObserve measures the count of one result.
func BenchmarkObserve(b *testing.B) {
	c := newHarness(1, 3, time.Minute)
	c.world.Run(time.Second)
	s := c.world.Stepper("n0").(stepper)
	b.ReportAllocs()
	for i := range b.N {
		s.Observe(c.world.Now, canary.Sample{Pool: "p", Version: "v1", Sample: evidence.Sample{Route: "x", Took: time.Duration(i%64) * time.Millisecond}})
	}
}
