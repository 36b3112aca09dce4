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

// stepper passes samples to Observe and other events to Step.
type stepper struct{ *canary.Rollouts }

func (s stepper) Step(now time.Time, ev event.Event) []event.Action {
	if ev, ok := ev.(sample); ok {
		s.Observe(now, ev.Sample)
		return nil
	}
	return s.Rollouts.Step(now, ev)
}

// harness is a simulated fleet with one rollout, and the invariants that it must keep.
type harness struct {
	world      *simulation.World
	bad        bool
	rate       int // requests per 100 ms
	stopped    map[id.Incarnation]bool
	shares     map[id.Node]int
	shareAtCut map[id.Node]int // share when the platform became unreachable
	lastFence  map[id.Server]uint64
	orders     int
	answers    []event.CommandResult
	violations []string
}

func newHarness(seed uint64, nodes int, by time.Duration, opts ...canary.Option) *harness {
	h := &harness{
		world: simulation.New(seed), rate: 6, stopped: map[id.Incarnation]bool{}, shares: map[id.Node]int{},
		shareAtCut: map[id.Node]int{}, lastFence: map[id.Server]uint64{},
	}
	h.world.OnExternal = func(_ *simulation.World, from id.Node, a event.Action) {
		switch a := a.(type) {
		case event.CommandResult:
			h.answers = append(h.answers, a)
		case event.Order:
			h.orders++
			if a.Fence < h.lastFence[a.Server] {
				h.fail("%s was ordered with fence %d after %d", a.Server, a.Fence, h.lastFence[a.Server])
			}
			h.lastFence[a.Server] = a.Fence
			code := event.CodeUnavailable // the order is sent again
			if h.world.Rand.IntN(10) == 0 {
				code = event.CodeOK
			}
			h.world.Inject(from, event.OrderResult{Order: a, Code: code}, time.Millisecond)
		}
	}
	for i := range nodes {
		self := event.Self{Node: id.Node(fmt.Sprintf("n%d", i)), FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%3))}
		h.world.Add(self, func(s event.Self) simulation.Stepper { return stepper{canary.New(s, opts...)} })
	}
	h.updateViews()
	h.traffic()
	h.world.Inject("n0", canary.Begin{Command: event.Command{Number: 1}, Name: "m", Pool: "p", From: "v1", To: "v2", Deadline: h.world.Now.Add(by)}, 100*time.Millisecond)
	return h
}

func (h *harness) fail(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *harness) updateViews() {
	for _, n := range h.world.Nodes() {
		v := &member.View{}
		for _, o := range h.world.Nodes() {
			if h.world.Up(o) && h.world.Reaches(o, n) {
				v.Nodes = append(v.Nodes, member.Node{ID: o, Incarnation: h.world.Self(o).Incarnation})
			}
		}
		h.world.Inject(n, member.ViewChanged{View: v}, time.Millisecond)
		for i, version := range []id.Version{"v1", "v2"} {
			s := member.Server{ID: id.Server(version), Pool: "p", Version: version, Addr: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)), Start: "s"}
			h.world.Inject(n, member.ServerChanged{Server: s}, time.Millisecond)
		}
	}
}

// traffic sends requests through random nodes, reports their results, and schedules itself again.
func (h *harness) traffic() {
	for range h.rate {
		n := h.world.Nodes()[h.world.Rand.IntN(len(h.world.Nodes()))]
		if !h.world.Up(n) {
			continue
		}
		v := h.world.Stepper(n).(stepper).Choose(h.world.Now, "p", id.Fingerprint(h.world.Rand.Uint64()), "x")
		s := canary.Sample{
			Pool: "p", Version: v, Sample: evidence.Sample{
				Route: "x", Load: 1, Failed: h.bad && v == "v2" && h.world.Rand.IntN(2) == 0,
				Took: time.Duration(80+h.world.Rand.IntN(40)) * time.Millisecond,
			},
		}
		h.world.Inject(n, sample{Sample: s}, s.Took)
	}
	for _, n := range h.world.Nodes() {
		for _, v := range []id.Version{"v1", "v2"} {
			if h.world.Rand.IntN(10) > 0 {
				continue
			}
			h.world.Inject(n, event.LoadReport{Server: id.Server(v), Version: v, At: h.world.Now}, 0)
		}
		h.checkNode(n)
	}
	h.world.AfterFunc(100*time.Millisecond, h.traffic)
}

// checkNode checks the invariants of a node: a stop is permanent, and a share never rises without the platform.
func (h *harness) checkNode(n id.Node) {
	if !h.world.Up(n) {
		delete(h.shares, n)
		return
	}
	inc := h.world.Self(n).Incarnation
	for _, s := range h.world.Stepper(n).(stepper).Status() {
		if h.stopped[inc] && s.Applied > 0 {
			h.fail("%s gives a stopped version a share of %d", n, s.Applied)
		}
		h.stopped[inc] = h.stopped[inc] || s.Stopped || s.State == canary.RolledBack
		if at, cut := h.shareAtCut[n]; cut && s.Applied > at {
			h.fail("%s raised the share from %d to %d while it was cut off", n, at, s.Applied)
		}
		h.shares[n] = s.Applied
	}
}

// checkHistory checks the invariants of the object and returns its last record: the fence never falls, a stopped rollout
// never runs again, and there is at most one outcome.
func (h *harness) checkHistory() canary.Record {
	var last canary.Record
	outcomes := 0
	for _, o := range h.world.Platform.History["moves/m"] {
		var r canary.Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			h.fail("record cannot be decoded: %s", err)
		}
		if r.Fence < last.Fence || (last.State == canary.Stopping && r.State == canary.Running) {
			h.fail("%+v follows %+v", r, last)
		}
		if r.State == canary.Done || r.State == canary.RolledBack {
			outcomes++
		}
		last = r
	}
	if outcomes > 1 {
		h.fail("%d outcomes", outcomes)
	}
	return last
}

// cutPlatform makes the platform unreachable or reachable for all nodes.
func (h *harness) cutPlatform(down bool) {
	h.world.Platform.Down = down
	clear(h.shareAtCut)
	if down {
		h.world.AfterFunc(3*time.Second, func() { // by then, answers that were in flight have arrived
			if h.world.Platform.Down {
				for n, share := range h.shares {
					h.shareAtCut[n] = share
				}
			}
		})
	}
}

// clearFaults ends all faults of the network and the platform.
func (h *harness) clearFaults() {
	h.world.Heal()
	h.world.Network = simulation.Network{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond}
	p := h.world.Platform
	p.LostAnswerRate, p.LostCallRate, p.LateEffectRate, p.WatchGapRate, p.Latency = 0, 0, 0, 0, 2*time.Millisecond
	h.cutPlatform(false)
	h.updateViews()
}

// actions returns the actions of the random test; the unnamed one runs after each of the others.
func (h *harness) actions() map[string]func(*rapid.T) {
	node := func(t *rapid.T) id.Node { return rapid.SampledFrom(h.world.Nodes()).Draw(t, "node") }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			h.world.Run(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
			h.checkHistory()
			if len(h.violations) > 0 {
				t.Fatal(h.violations[0])
			}
		},
		"bad": func(t *rapid.T) { h.bad = rapid.IntRange(0, 3).Draw(t, "bad") == 0 },
		"kill": func(t *rapid.T) {
			n := node(t)
			h.world.Kill(n)
			delete(h.shareAtCut, n)
			h.updateViews()
		},
		"start": func(t *rapid.T) {
			if n := node(t); !h.world.Up(n) {
				h.world.Start(n)
				h.updateViews()
			}
		},
		"freeze": func(t *rapid.T) {
			h.world.Freeze(node(t), time.Duration(rapid.IntRange(10, 30000).Draw(t, "ms"))*time.Millisecond)
		},
		"cut": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "whole") {
				h.world.PartitionDomain(h.world.Self(node(t)).FailureDomain)
			}
			h.world.Cut(node(t), node(t))
			if rapid.Bool().Draw(t, "noticed") {
				h.updateViews()
			}
		},
		"heal": func(*rapid.T) { h.clearFaults() },
		"platform": func(t *rapid.T) {
			rate := rapid.SampledFrom([]float64{0, 0.2, 0.5})
			p := h.world.Platform
			p.LostAnswerRate, p.LostCallRate, p.LateEffectRate = rate.Draw(t, "answers"), rate.Draw(t, "calls"), rate.Draw(t, "late")
			p.WatchGapRate = rate.Draw(t, "gap")
			p.Latency = rapid.SampledFrom([]time.Duration{2e6, 5e8}).Draw(t, "latency")
			h.world.Network.Loss, h.world.Network.Repeat = rate.Draw(t, "loss"), rate.Draw(t, "repeat")
			h.cutPlatform(rapid.Bool().Draw(t, "down"))
		},
	}
}

// TestFaults guards against a second outcome, orders of an earlier controller, and traffic for a stopped version, under
// random faults.
func TestFaults(t *testing.T) {
	outcomes := map[canary.State]int{}
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "nodes"), 2*time.Minute)
		h.world.Run(time.Second)
		t.Repeat(h.actions())
		for _, n := range h.world.Nodes() {
			if !h.world.Up(n) {
				h.world.Start(n)
			}
		}
		h.clearFaults()
		h.world.Run(4 * time.Minute)
		last := h.checkHistory()
		if last.Name != "" && last.State != canary.Done && last.State != canary.RolledBack {
			h.fail("no outcome: %+v", last)
		}
		if len(h.violations) > 0 {
			t.Fatal(h.violations[0])
		}
		outcomes[last.State]++
	})
	t.Logf("outcomes: %v", outcomes)
}

// TestMechanisms guards against invariant checks that do not detect that a mechanism is missing.
func TestMechanisms(t *testing.T) {
	violations := func(seed uint64, lose float64, latency time.Duration, opts ...canary.Option) []string {
		h := newHarness(seed, 4, 2*time.Minute, opts...)
		for i := range 40 {
			h.bad = i > 15
			names := h.world.Nodes()
			switch i % 3 {
			case 0:
				h.world.Freeze(names[h.world.Rand.IntN(4)], time.Duration(2+h.world.Rand.IntN(8))*time.Second)
			case 1:
				h.world.PartitionDomain("d0")
				h.updateViews()
			case 2:
				h.world.Heal()
				h.updateViews()
				n := names[h.world.Rand.IntN(4)]
				h.world.Kill(n)
				h.world.Start(n)
				h.updateViews()
			}
			h.world.Platform.Latency, h.world.Platform.LostAnswerRate = latency, lose
			h.world.Run(4 * time.Second)
		}
		h.checkHistory()
		return h.violations
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
		// Two controllers at once are rare, so the search goes on until a seed produces them.
		for seed := uint64(0); seed < 20 || (len(broken) == 0 && seed < 300); seed++ {
			if seed < 20 {
				g.Expect(violations(seed, m.lose, m.latency)).To(BeEmpty(), "seed %d", seed)
			}
			broken = append(broken, violations(seed, m.lose, m.latency, m.without)...)
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
	It("completes before its deadline when the version is good", func() { // guards against rollouts that miss their deadline
		h := newHarness(1, 5, 3*time.Minute)
		h.world.Run(3 * time.Minute)
		Expect(h.checkHistory().State).To(Equal(canary.Done))
		Expect(h.orders).To(BeNumerically(">=", 1))
		Expect(h.answers).To(HaveLen(1))
		Expect(h.world.Stepper("n3").(stepper).Choose(h.world.Now, "p", 7, "x")).To(Equal(id.Version("v2")))
		Expect(h.violations).To(BeEmpty())
	})
	It("is rolled back everywhere, with the platform down", func() { // guards against nodes that cannot stop a version without the platform
		h := newHarness(1, 5, 5*time.Minute)
		h.world.Run(90 * time.Second)
		h.bad = true
		h.cutPlatform(true)
		h.world.Run(20 * time.Second)
		for _, n := range h.world.Nodes() {
			Expect(h.shares[n]).To(BeZero())
		}
		h.cutPlatform(false)
		h.world.Run(20 * time.Second)
		Expect(h.checkHistory().State).To(Equal(canary.RolledBack))
		Expect(h.violations).To(BeEmpty())
	})
	It("is known to a node that starts while the platform is down", func() { // guards against requests to a version that was rolled back
		h := newHarness(1, 5, 5*time.Minute)
		h.world.Run(90 * time.Second)
		h.bad = true
		h.cutPlatform(true)
		h.world.Run(20 * time.Second)
		h.world.Kill("n1")
		h.world.Start("n1")
		h.updateViews()
		h.world.Run(5 * time.Second)
		fresh := h.world.Stepper("n1").(stepper)
		Expect(fresh.Loaded()).To(BeTrue())
		Expect(fresh.Choose(h.world.Now, "p", 7, "x")).To(Equal(id.Version("v1")))
		h.cutPlatform(false)
		h.world.Run(20 * time.Second)
		Expect(h.checkHistory().State).To(Equal(canary.RolledBack))
		Expect(h.violations).To(BeEmpty())
	})
	It("stays at a small share without evidence", func() { // guards against a large share for an untested version
		h := newHarness(1, 3, 3*time.Minute)
		h.rate = 0
		h.world.Run(4 * time.Minute)
		Expect(h.checkHistory().State).To(Equal(canary.RolledBack))
		for _, o := range h.world.Platform.History["moves/m"] {
			var r canary.Record
			Expect(json.Unmarshal(o.Value, &r)).To(Succeed())
			Expect(r.Share).To(BeNumerically("<=", 50))
		}
	})
	It("keeps its platform call in flight when an older read is answered", func() { // guards against a crash found by cmd/e2e
		self := event.Self{Node: "n", Incarnation: id.NewIncarnation(rand.New(rand.NewPCG(1, 1))), Rand: rand.New(rand.NewPCG(1, 2))}
		rs := canary.New(self)
		now := simulation.Epoch
		last := map[event.Op]event.PlatformCall{}
		step := func(ev event.Event) {
			now = now.Add(time.Second)
			for _, a := range rs.Step(now, ev) {
				if call, ok := a.(event.PlatformCall); ok {
					last[call.Op] = call
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
		Expect(rs.Status()).To(HaveLen(1))
		Expect(rs.Status()[0].Holder).To(Equal(id.Node("n")))
	})
	It("refuses a second one with its name or for its pool", func() { // guards against two rollouts of one pool
		h := newHarness(1, 3, 3*time.Minute)
		h.world.Run(time.Second)
		for _, name := range []string{"m", "other"} {
			h.world.Inject("n1", canary.Begin{Name: name, Pool: "p", From: "v1", To: "v3", Deadline: h.world.Now.Add(time.Hour)}, 0)
		}
		h.world.Run(time.Second)
		Expect(h.answers).To(HaveLen(3))
		Expect(h.answers[1].Fault).NotTo(BeNil())
		Expect(h.answers[2].Fault).NotTo(BeNil())
	})
	It("encodes and decodes its gossip", func() { // guards against a field without a protobuf tag
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

// BenchmarkChoose measures Choose while a rollout is running.
func BenchmarkChoose(b *testing.B) {
	h := newHarness(1, 3, time.Minute)
	h.world.Run(time.Second)
	s := h.world.Stepper("n0").(stepper)
	b.ReportAllocs()
	for i := range b.N {
		s.Choose(h.world.Now, "p", id.Fingerprint(i), "x")
	}
}

// BenchmarkObserve measures Observe while a rollout is running.
func BenchmarkObserve(b *testing.B) {
	h := newHarness(1, 3, time.Minute)
	h.world.Run(time.Second)
	s := h.world.Stepper("n0").(stepper)
	b.ReportAllocs()
	for i := range b.N {
		s.Observe(h.world.Now, canary.Sample{Pool: "p", Version: "v1", Sample: evidence.Sample{Route: "x", Took: time.Duration(i%64) * time.Millisecond}})
	}
}
