package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/quarantine"
	"bluebellflow/core/simulation"
	"bluebellflow/core/wire"
)

func TestMain(m *testing.M) {
	simulation.FixSeed(1)
	os.Exit(m.Run())
}

type (
	ask struct {
		event.In
		request     id.Request
		fingerprint id.Fingerprint
	}
	attemptEnded struct {
		ask
		crashed bool
		server  id.Server
	}
)

type stepper struct{ *quarantine.Guard }

func (s stepper) Step(now time.Time, ev event.Event) []event.Action {
	switch ev := ev.(type) {
	case ask:
		return s.Ask(now, ev.request, ev.fingerprint)
	case attemptEnded:
		var out []event.Action
		if ev.crashed {
			out = s.RecordCrash(now, ev.fingerprint, ev.server, "s")
		}
		return append(out, s.Finish(now, ev.request, ev.fingerprint)...)
	}
	return s.Guard.Step(now, ev)
}

// harness runs simulated nodes and checks each of their decisions against the crashes that took place.
type harness struct {
	world         *simulation.World
	requests      map[id.Request]ask
	decided       map[id.Request]bool
	aloneUntil    map[id.Fingerprint]time.Time // end of the last attempt that ran alone
	aloneCrashes  map[id.Fingerprint]int       // reported crashes of attempts that ran alone
	firstCrash    map[id.Fingerprint]time.Time
	lastCrash     map[id.Fingerprint]time.Time
	exempt        id.Set[id.Fingerprint] // those with crashes that only a killed node knew of
	faultUntil    time.Time              // end of the last fault
	frozenUntil   time.Time              // end of the last freeze; the node then handles the queued events in order
	maxAttemptMs  int
	totalCrashes  int // all reported crashes
	verdictCounts map[quarantine.Verdict]int
	violations    []string
}

func newHarness(seed uint64, nodes int, opts ...quarantine.Option) *harness {
	h := &harness{
		world: simulation.New(seed), requests: map[id.Request]ask{}, decided: map[id.Request]bool{}, aloneUntil: map[id.Fingerprint]time.Time{},
		aloneCrashes: map[id.Fingerprint]int{}, firstCrash: map[id.Fingerprint]time.Time{}, lastCrash: map[id.Fingerprint]time.Time{}, exempt: id.NewSet[id.Fingerprint](),
		maxAttemptMs: 5000, verdictCounts: map[quarantine.Verdict]int{},
	}
	h.world.OnInternal = func(_ *simulation.World, from id.Node, a event.Action) {
		if d, ok := a.(quarantine.Decided); ok {
			h.checkDecision(from, d)
		}
	}
	for i := range nodes {
		self := event.Self{Node: id.Node(fmt.Sprintf("n%d", i)), FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%3))}
		h.world.Add(self, func(s event.Self) simulation.Stepper { return stepper{quarantine.New(s, opts...)} })
	}
	h.updateViews()
	h.world.Run(15 * time.Second) // past the time in which new nodes make no promises
	return h
}

// updateViews sends every node the list of nodes that reach it.
func (h *harness) updateViews() {
	for _, n := range h.world.Nodes() {
		v := &member.View{}
		for _, o := range h.world.Nodes() {
			if h.world.Up(o) && h.world.Reaches(o, n) {
				v.Nodes = append(v.Nodes, member.Node{ID: o, Incarnation: h.world.Self(o).Incarnation})
			}
		}
		h.world.Inject(n, member.ViewChanged{View: v}, time.Millisecond)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (h *harness) reportViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *harness) send(n id.Node, fp id.Fingerprint) {
	a := ask{request: id.Request(fmt.Sprint("r", len(h.requests))), fingerprint: fp}
	h.requests[a.request] = a
	h.world.Inject(n, a, 0)
}

// checkDecision checks a decision against the guarantees of the package, and simulates a server that crashes on two thirds
// of the requests that run.
func (h *harness) checkDecision(n id.Node, d quarantine.Decided) {
	a := h.requests[d.Request]
	if h.decided[d.Request] {
		h.reportViolation("%s was decided twice", d.Request)
	}
	h.decided[d.Request] = true
	h.verdictCounts[d.Verdict]++
	if h.world.Now.Sub(h.lastCrash[a.fingerprint]) > 10*time.Minute-20*time.Second { // nodes learn of a crash at slightly different times
		delete(h.firstCrash, a.fingerprint)
		delete(h.aloneCrashes, a.fingerprint)
	}
	took := time.Duration(1+h.world.Rand.IntN(h.maxAttemptMs)) * time.Millisecond
	first, known := h.firstCrash[a.fingerprint]
	switch d.Verdict {
	case quarantine.Refuse:
		if d.RetryAfter <= 0 || d.RetryAfter > 10*time.Minute {
			h.reportViolation("%s was refused with a retry after %s", d.Request, d.RetryAfter)
		}
		return
	case quarantine.Run:
		well := latest(latest(first, h.faultUntil), h.frozenUntil)
		if known && h.world.Now.Sub(well) > 8*time.Second {
			h.reportViolation("%s runs on %s, which ought to know of the crash", d.Request, n)
		}
	case quarantine.Alone:
		if h.world.Now.Before(h.aloneUntil[a.fingerprint]) {
			h.reportViolation("%s runs while another attempt runs alone", d.Request)
		}
		if h.aloneCrashes[a.fingerprint] > 0 && !h.exempt.Has(a.fingerprint) {
			h.reportViolation("%s runs after the second crash", d.Request)
		}
		took = min(took, d.Until.Sub(h.world.Now))
		h.aloneUntil[a.fingerprint] = h.world.Now.Add(took)
	}
	o := attemptEnded{ask: a, crashed: h.world.Rand.IntN(3) > 0, server: id.Server(d.Request)}
	incarnation := h.world.Self(n).Incarnation
	h.world.AfterFunc(took, func() {
		if !h.world.Up(n) || h.world.Self(n).Incarnation != incarnation {
			return
		}
		if o.crashed {
			h.totalCrashes++
			h.lastCrash[a.fingerprint] = h.world.Now
			if d.Verdict == quarantine.Alone {
				h.aloneCrashes[a.fingerprint]++
			}
			if _, known := h.firstCrash[a.fingerprint]; !known {
				h.firstCrash[a.fingerprint] = h.world.Now
			}
		}
		h.world.Inject(n, o, 0)
	})
}

// kill terminates a node. The checks no longer count crashes that only this node knew of.
func (h *harness) kill(n id.Node) {
	for _, a := range h.requests {
		others := uint64(0)
		for _, o := range h.world.Nodes() {
			if o != n && h.world.Up(o) {
				others = max(others, h.world.Stepper(o).(stepper).CrashCount(h.world.Now, a.fingerprint))
			}
		}
		if others == 0 {
			delete(h.firstCrash, a.fingerprint)
		}
		if others < 2 && h.aloneCrashes[a.fingerprint] > 0 {
			h.exempt.Add(a.fingerprint)
		}
	}
	h.world.Kill(n)
}

func (h *harness) actions() map[string]func(*rapid.T) {
	node := func(t *rapid.T) id.Node { return rapid.SampledFrom(h.world.Nodes()).Draw(t, "node") }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if platform := h.world.Platform; platform.Down || platform.LostAnswerRate > 0 || h.world.Network.Loss > 0 || h.world.Network.MaxDelay > time.Second {
				h.faultUntil = h.world.Now.Add(time.Second)
			}
			h.world.Run(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			if len(h.violations) > 0 {
				t.Fatal(h.violations[0])
			}
		},
		"send": func(t *rapid.T) {
			for range rapid.IntRange(1, 3).Draw(t, "times") {
				h.send(node(t), id.Fingerprint(rapid.IntRange(1, 4).Draw(t, "print")))
			}
		},
		"kill": func(t *rapid.T) {
			h.kill(node(t))
			if rapid.Bool().Draw(t, "noticed") {
				h.updateViews()
			}
			h.faultUntil = h.world.Now
		},
		"start": func(t *rapid.T) {
			if n := node(t); !h.world.Up(n) {
				h.world.Start(n)
				h.updateViews()
			}
			h.faultUntil = h.world.Now
		},
		"freeze": func(t *rapid.T) {
			d := time.Duration(rapid.IntRange(10, 15000).Draw(t, "ms")) * time.Millisecond
			h.world.Freeze(node(t), d)
			h.frozenUntil = latest(h.frozenUntil, h.world.Now.Add(d))
		},
		"cut": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "whole") {
				h.world.PartitionDomain(h.world.Self(node(t)).FailureDomain)
			}
			h.world.Cut(node(t), node(t))
			if rapid.Bool().Draw(t, "noticed") {
				h.updateViews()
			}
			h.faultUntil = h.world.Now.Add(time.Hour)
		},
		"heal": func(*rapid.T) {
			h.clearFaults()
			h.faultUntil = h.world.Now.Add(10 * time.Second)
		},
		"suspect": func(t *rapid.T) { // a request crashes a server once, then is resent through all nodes
			fp := id.Fingerprint(rapid.IntRange(5, 7).Draw(t, "print"))
			h.clearFaults()
			h.send(node(t), fp)
			h.world.Run(11 * time.Second)
			for range 4 {
				h.send(node(t), fp)
				h.world.Run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			}
		},
		"faults": func(t *rapid.T) {
			rate := rapid.SampledFrom([]float64{0, 0.2, 0.6})
			h.world.Network.Loss, h.world.Network.Repeat = rate.Draw(t, "loss"), rate.Draw(t, "repeat")
			h.world.Network.MaxDelay = rapid.SampledFrom([]time.Duration{1e6, 2e8, 5e9}).Draw(t, "delay")
			platform := h.world.Platform
			platform.Down, platform.LostAnswerRate, platform.LateEffectRate = rapid.Bool().Draw(t, "down"), rate.Draw(t, "answers"), rate.Draw(t, "late")
		},
	}
}

func (h *harness) clearFaults() {
	h.world.Heal()
	h.world.Network = simulation.Network{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond}
	h.world.Platform.Down, h.world.Platform.LostAnswerRate, h.world.Platform.LateEffectRate = false, 0, 0
	h.updateViews()
}

// TestFaults guards against suspects that run at the same time or after the second crash, under random faults.
func TestFaults(t *testing.T) {
	total := map[quarantine.Verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "nodes"))
		t.Repeat(h.actions())
		for _, n := range h.world.Nodes() {
			if !h.world.Up(n) {
				h.world.Start(n)
			}
		}
		h.clearFaults()
		h.faultUntil = h.world.Now
		h.world.Run(40 * time.Second) // longer than a freeze, a promise and the start of the gossip
		for fp := range id.Fingerprint(8) {
			var counts []uint64
			for _, n := range h.world.Nodes() {
				counts = append(counts, h.world.Stepper(n).(stepper).CrashCount(h.world.Now, fp))
			}
			if slices.Max(counts) != slices.Min(counts) {
				h.reportViolation("the nodes know of %v crashes of fingerprint %d", counts, fp)
			}
		}
		if len(h.violations) > 0 {
			t.Fatal(h.violations[0])
		}
		for v, n := range h.verdictCounts {
			total[v] += n
		}
	})
	t.Logf("verdicts: %v", total)
}

// maxCrashes is the number of crashes allowed when attempts do not overlap.
const maxCrashes = 2

// runScenario resends the same request over a healthy network, or a few requests while a failure domain is cut off.
func runScenario(seed uint64, cut bool, opts ...quarantine.Option) *harness {
	h := newHarness(seed, 4, opts...)
	h.maxAttemptMs = 250
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range 60 {
		fp := id.Fingerprint(1)
		if cut {
			fp = id.Fingerprint(1 + i%6)
			if i == 6 {
				h.world.PartitionDomain("d0")
				h.updateViews()
				h.maxAttemptMs = 5000
				h.faultUntil = h.world.Now.Add(time.Hour)
			}
		}
		h.send(h.world.Nodes()[rng.IntN(4)], fp)
		h.world.Run(300 * time.Millisecond)
	}
	if !cut && h.totalCrashes > maxCrashes {
		h.reportViolation("%d crashes in sequence", h.totalCrashes)
	}
	return h
}

// TestMechanisms guards against checks that do not notice a missing mechanism: disabling each one must cause violations.
func TestMechanisms(t *testing.T) {
	g := NewWithT(t)
	withoutPromises, withoutGossip := 0, 0
	for seed := range uint64(20) {
		g.Expect(runScenario(seed, true).violations).To(BeEmpty(), "seed %d", seed)
		g.Expect(runScenario(seed, false).violations).To(BeEmpty(), "seed %d", seed)
		withoutPromises += len(runScenario(seed, true, quarantine.WithoutPromises()).violations)
		withoutGossip += len(runScenario(seed, false, quarantine.WithoutGossip()).violations)
	}
	g.Expect(withoutPromises).To(BeNumerically(">", 0), "without promises")
	g.Expect(withoutGossip).To(BeNumerically(">", 0), "without gossip")
	t.Logf("violations: %d without promises, %d without gossip", withoutPromises, withoutGossip)
}

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crash")
}

var _ = Describe("containment", func() {
	verdictOf := func(h *harness, n id.Node) quarantine.Decided {
		var got quarantine.Decided
		h.world.OnInternal = func(_ *simulation.World, _ id.Node, a event.Action) {
			if d, ok := a.(quarantine.Decided); ok {
				got = d
			}
		}
		h.send(n, 9)
		h.world.Run(5 * time.Second)
		return got
	}
	report := func(h *harness, n id.Node, count int) {
		for i := range count {
			h.world.Inject(n, attemptEnded{ask: ask{fingerprint: 9}, crashed: true, server: id.Server(fmt.Sprint(n, i))}, 0)
		}
		h.world.Run(time.Second)
	}

	It("refuses everywhere after two crashes, for the rest of ten minutes", func() { // guards against a resend through another node
		h := newHarness(1, 5)
		report(h, "n0", 1)
		Expect(verdictOf(h, "n3").Verdict).To(Equal(quarantine.Alone))
		report(h, "n1", 1)
		h.world.Run(5 * time.Minute)
		d := verdictOf(h, "n2")
		Expect(d.Verdict).To(Equal(quarantine.Refuse))
		Expect(d.RetryAfter).To(BeNumerically("~", 5*time.Minute, 10*time.Second))
		h.world.Run(5 * time.Minute)
		Expect(verdictOf(h, "n2").Verdict).To(Equal(quarantine.Run))
	})

	It("lets a new node learn of crashes from the platform", func() { // guards against a crash loop after all nodes restart
		h := newHarness(1, 3)
		report(h, "n0", 2)
		for _, n := range h.world.Nodes() {
			h.world.Kill(n)
			h.world.Start(n)
		}
		h.world.Run(time.Second)
		Expect(verdictOf(h, "n1").Verdict).To(Equal(quarantine.Refuse))
	})

	It("counts one crash of a server once", func() { // guards against two reports of the same crash that refuse a request
		h := newHarness(1, 3)
		report(h, "n0", 1)
		report(h, "n0", 1)
		Expect(h.world.Stepper("n0").(stepper).CrashCount(h.world.Now, 9)).To(Equal(uint64(1)))
	})

	It("keeps its memory bounded", func() { // guards against a caller that crashes servers with new request bodies each time
		g := quarantine.New(event.Self{Node: "n", Incarnation: id.NewIncarnation(rand.New(rand.NewPCG(1, 1))), Rand: rand.New(rand.NewPCG(1, 1))}, quarantine.WithMaxFingerprints(10))
		live := 0
		for i := range 100 {
			g.RecordCrash(simulation.Epoch, id.Fingerprint(i), "s", id.Start(fmt.Sprint(i)))
		}
		for i := range 100 {
			live += int(g.CrashCount(simulation.Epoch, id.Fingerprint(i)))
		}
		Expect(live).To(Equal(10))
	})

	It("carries its messages over the wire", func() { // guards against a field without a protobuf tag
		inc := id.NewIncarnation(rand.New(rand.NewPCG(1, 1)))
		counts := []quarantine.Count{{Print: 1 << 63, Incarnation: inc, Total: 2, Age: 3}}
		bodies := []event.Body{
			quarantine.Counts{Counts: counts, Pull: true},
			quarantine.RunRequest{Request: "r", Print: 1, Counts: counts},
			quarantine.RunReply{Request: "r", OK: true, Wait: 5, Print: 1},
			quarantine.PromiseRequest{Print: 1, Round: 2, Counts: counts},
			quarantine.PromiseReply{Print: 1, Round: 2, OK: true},
			quarantine.Release{Print: 1, Round: 2, Request: "r", Counts: counts},
		}
		kinds := map[uint32]event.Body{}
		for i, body := range bodies {
			kinds[uint32(i)] = body
		}
		codec := wire.New(kinds)
		for _, body := range bodies {
			raw, err := codec.Encode(wire.Envelope{From: "n", Incarnation: inc}, body)
			Expect(err).NotTo(HaveOccurred())
			got, err := codec.Decode(raw)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Body).To(Equal(body))
		}
	})
})
