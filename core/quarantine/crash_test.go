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

type harness struct {
	world         *simulation.World
	requests      map[id.Request]ask
	decided       map[id.Request]bool
	aloneUntil    map[id.Fingerprint]time.Time // end of the last lone attempt
	aloneCrashes  map[id.Fingerprint]int       // reported crashes of lone attempts
	firstCrash    map[id.Fingerprint]time.Time
	lastCrash     map[id.Fingerprint]time.Time
	exempt        id.Set[id.Fingerprint]
	faultUntil    time.Time // last time at which a fault was in force
	frozenUntil   time.Time // end of the last freeze; the node then handles what has piled up in order
	maxAttemptMs  int       // longest attempt in ms
	totalCrashes  int       // all reported crashes
	verdictCounts map[quarantine.Verdict]int
	violations    []string
}

func newHarness(seed uint64, nodes int, opts ...quarantine.Option) *harness {
	c := &harness{
		world: simulation.New(seed), requests: map[id.Request]ask{}, decided: map[id.Request]bool{}, aloneUntil: map[id.Fingerprint]time.Time{},
		aloneCrashes: map[id.Fingerprint]int{}, firstCrash: map[id.Fingerprint]time.Time{}, lastCrash: map[id.Fingerprint]time.Time{}, exempt: id.NewSet[id.Fingerprint](),
		maxAttemptMs: 5000, verdictCounts: map[quarantine.Verdict]int{},
	}
	c.world.Watch = func(_ *simulation.World, from id.Node, a event.Action) {
		if d, ok := a.(quarantine.Decided); ok {
			c.checkDecision(from, d)
		}
	}
	for i := range nodes {
		self := event.Self{Node: id.Node(fmt.Sprintf("n%d", i)), FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%3))}
		c.world.Add(self, func(s event.Self) simulation.Stepper { return stepper{quarantine.New(s, opts...)} })
	}
	c.publishViews()
	c.world.Run(15 * time.Second) // the nodes are no longer fresh
	return c
}

// publishViews tells every node which nodes it can hear.
func (c *harness) publishViews() {
	for _, n := range c.world.Names() {
		v := &member.View{}
		for _, o := range c.world.Names() {
			if c.world.Up(o) && c.world.Reaches(o, n) {
				v.Nodes = append(v.Nodes, member.Node{ID: o, Incarnation: c.world.Self(o).Incarnation})
			}
		}
		c.world.Inject(n, member.ViewChanged{View: v}, time.Millisecond)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *harness) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *harness) send(n id.Node, print id.Fingerprint) {
	a := ask{request: id.Request(fmt.Sprint("r", len(c.requests))), fingerprint: print}
	c.requests[a.request] = a
	c.world.Inject(n, a, 0)
}

// checkDecision is the oracle and stands for a server that crashes on most of these requests.
func (c *harness) checkDecision(n id.Node, d quarantine.Decided) {
	a := c.requests[d.Request]
	if c.decided[d.Request] {
		c.fail("%s was decided twice", d.Request)
	}
	c.decided[d.Request] = true
	c.verdictCounts[d.Verdict]++
	if c.world.Now.Sub(c.lastCrash[a.fingerprint]) > 10*time.Minute-20*time.Second { // nodes learn of a crash a little apart
		delete(c.firstCrash, a.fingerprint)
		delete(c.aloneCrashes, a.fingerprint)
	}
	took := time.Duration(1+c.world.Rand.IntN(c.maxAttemptMs)) * time.Millisecond
	first, known := c.firstCrash[a.fingerprint]
	switch d.Verdict {
	case quarantine.Refuse:
		if d.RetryAfter <= 0 || d.RetryAfter > 10*time.Minute {
			c.fail("%s may come back after %s", d.Request, d.RetryAfter)
		}
		return
	case quarantine.Run:
		well := latest(latest(first, c.faultUntil), c.frozenUntil)
		if known && c.world.Now.Sub(well) > 8*time.Second {
			c.fail("%s runs on %s, which should know of the crash", d.Request, n)
		}
	case quarantine.Alone:
		if c.world.Now.Before(c.aloneUntil[a.fingerprint]) {
			c.fail("%s runs beside another lone attempt", d.Request)
		}
		if c.aloneCrashes[a.fingerprint] > 0 && !c.exempt.Has(a.fingerprint) {
			c.fail("%s runs after the second crash", d.Request)
		}
		took = min(took, d.Until.Sub(c.world.Now))
		c.aloneUntil[a.fingerprint] = c.world.Now.Add(took)
	}
	o := attemptEnded{ask: a, crashed: c.world.Rand.IntN(3) > 0, server: id.Server(d.Request)}
	life := c.world.Self(n).Incarnation
	c.world.At(took, func() {
		if !c.world.Up(n) || c.world.Self(n).Incarnation != life {
			return
		}
		if o.crashed {
			c.totalCrashes++
			c.lastCrash[a.fingerprint] = c.world.Now
			if d.Verdict == quarantine.Alone {
				c.aloneCrashes[a.fingerprint]++
			}
			if _, again := c.firstCrash[a.fingerprint]; !again {
				c.firstCrash[a.fingerprint] = c.world.Now
			}
		}
		c.world.Inject(n, o, 0)
	})
}

// kill ends a node. What only this node knew cannot be held against the others.
func (c *harness) kill(n id.Node) {
	for _, a := range c.requests {
		others := uint64(0)
		for _, o := range c.world.Names() {
			if o != n && c.world.Up(o) {
				others = max(others, c.world.Stepper(o).(stepper).CrashCount(c.world.Now, a.fingerprint))
			}
		}
		if others == 0 {
			delete(c.firstCrash, a.fingerprint)
		}
		if others < 2 && c.aloneCrashes[a.fingerprint] > 0 {
			c.exempt.Add(a.fingerprint)
		}
	}
	c.world.Kill(n)
}

func (c *harness) actions() map[string]func(*rapid.T) {
	node := func(t *rapid.T) id.Node { return rapid.SampledFrom(c.world.Names()).Draw(t, "node") }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if p := c.world.Platform; p.Down || p.LoseAnswer > 0 || c.world.Network.Loss > 0 || c.world.Network.MaxDelay > time.Second {
				c.faultUntil = c.world.Now.Add(time.Second)
			}
			c.world.Run(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			if len(c.violations) > 0 {
				t.Fatal(c.violations[0])
			}
		},
		"send": func(t *rapid.T) {
			for range rapid.IntRange(1, 3).Draw(t, "times") {
				c.send(node(t), id.Fingerprint(rapid.IntRange(1, 4).Draw(t, "print")))
			}
		},
		"kill": func(t *rapid.T) {
			c.kill(node(t))
			if rapid.Bool().Draw(t, "noticed") {
				c.publishViews()
			}
			c.faultUntil = c.world.Now
		},
		"start": func(t *rapid.T) {
			if n := node(t); !c.world.Up(n) {
				c.world.Start(n)
				c.publishViews()
			}
			c.faultUntil = c.world.Now
		},
		"freeze": func(t *rapid.T) {
			d := time.Duration(rapid.IntRange(10, 15000).Draw(t, "ms")) * time.Millisecond
			c.world.Freeze(node(t), d)
			c.frozenUntil = latest(c.frozenUntil, c.world.Now.Add(d))
		},
		"cut": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "whole") {
				c.world.CutDomain(c.world.Self(node(t)).FailureDomain)
			}
			c.world.Cut(node(t), node(t))
			if rapid.Bool().Draw(t, "noticed") {
				c.publishViews()
			}
			c.faultUntil = c.world.Now.Add(time.Hour)
		},
		"heal": func(*rapid.T) {
			c.clearFaults()
			c.faultUntil = c.world.Now.Add(10 * time.Second)
		},
		"suspect": func(t *rapid.T) { // a request crashes a server once, then comes back from everywhere
			print := id.Fingerprint(rapid.IntRange(5, 7).Draw(t, "print"))
			c.clearFaults()
			c.send(node(t), print)
			c.world.Run(11 * time.Second)
			for range 4 {
				c.send(node(t), print)
				c.world.Run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			}
		},
		"faults": func(t *rapid.T) {
			rate := rapid.SampledFrom([]float64{0, 0.2, 0.6})
			c.world.Network.Loss, c.world.Network.Repeat = rate.Draw(t, "loss"), rate.Draw(t, "repeat")
			c.world.Network.MaxDelay = rapid.SampledFrom([]time.Duration{1e6, 2e8, 5e9}).Draw(t, "delay")
			p := c.world.Platform
			p.Down, p.LoseAnswer, p.LateEffect = rapid.Bool().Draw(t, "down"), rate.Draw(t, "answers"), rate.Draw(t, "late")
		},
	}
}

func (c *harness) clearFaults() {
	c.world.Heal()
	c.world.Network = simulation.Network{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond}
	c.world.Platform.Down, c.world.Platform.LoseAnswer, c.world.Platform.LateEffect = false, 0, 0
	c.publishViews()
}

// TestFaults guards against suspects that run side by side or a third time, under drawn faults.
func TestFaults(t *testing.T) {
	total := map[quarantine.Verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		c := newHarness(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "nodes"))
		t.Repeat(c.actions())
		for _, n := range c.world.Names() {
			if !c.world.Up(n) {
				c.world.Start(n)
			}
		}
		c.clearFaults()
		c.faultUntil = c.world.Now
		c.world.Run(40 * time.Second) // longer than a freeze, a hold and the start of the gossip
		for print := range id.Fingerprint(8) {
			var know []uint64
			for _, n := range c.world.Names() {
				know = append(know, c.world.Stepper(n).(stepper).CrashCount(c.world.Now, print))
			}
			if slices.Max(know) != slices.Min(know) {
				c.fail("the nodes know %v crashes of %d", know, print)
			}
		}
		if len(c.violations) > 0 {
			t.Fatal(c.violations[0])
		}
		for v, n := range c.verdictCounts {
			total[v] += n
		}
	})
	t.Logf("verdicts: %v", total)
}

// maxCrashes is how many crashes are tolerated when attempts do not overlap.
const maxCrashes = 2

// runScenario sends the same request again and again while domains are cut off, or with a healthy network.
func runScenario(seed uint64, cut bool, opts ...quarantine.Option) *harness {
	c := newHarness(seed, 4, opts...)
	c.maxAttemptMs = 250
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range 60 {
		print := id.Fingerprint(1)
		if cut {
			print = id.Fingerprint(1 + i%6)
			if i == 6 {
				c.world.CutDomain("d0")
				c.publishViews()
				c.maxAttemptMs = 5000
				c.faultUntil = c.world.Now.Add(time.Hour)
			}
		}
		c.send(c.world.Names()[rng.IntN(4)], print)
		c.world.Run(300 * time.Millisecond)
	}
	if !cut && c.totalCrashes > maxCrashes {
		c.fail("%d crashes, one after the other", c.totalCrashes)
	}
	return c
}

// TestMechanisms guards against oracles that would not notice when a mechanism is missing.
func TestMechanisms(t *testing.T) {
	g := NewWithT(t)
	beside, runs := 0, 0
	for seed := range uint64(20) {
		g.Expect(runScenario(seed, true).violations).To(BeEmpty(), "seed %d", seed)
		g.Expect(runScenario(seed, false).violations).To(BeEmpty(), "seed %d", seed)
		beside += len(runScenario(seed, true, quarantine.WithoutPromises()).violations)
		runs += len(runScenario(seed, false, quarantine.WithoutGossip()).violations)
	}
	g.Expect(beside).To(BeNumerically(">", 0), "without promises")
	g.Expect(runs).To(BeNumerically(">", 0), "without gossip")
	t.Logf("violations: %d without promises, %d without gossip", beside, runs)
}

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crash")
}

var _ = Describe("containment", func() {
	verdictOf := func(c *harness, n id.Node) quarantine.Decided {
		var got quarantine.Decided
		c.world.Watch = func(_ *simulation.World, _ id.Node, a event.Action) {
			if d, ok := a.(quarantine.Decided); ok {
				got = d
			}
		}
		c.send(n, 9)
		c.world.Run(5 * time.Second)
		return got
	}
	report := func(c *harness, n id.Node, count int) {
		for i := range count {
			c.world.Inject(n, attemptEnded{ask: ask{fingerprint: 9}, crashed: true, server: id.Server(fmt.Sprint(n, i))}, 0)
		}
		c.world.Run(time.Second)
	}

	It("refuses everywhere after two crashes, for the rest of ten minutes", func() { // guards against a resend through another node
		c := newHarness(1, 5)
		report(c, "n0", 1)
		Expect(verdictOf(c, "n3").Verdict).To(Equal(quarantine.Alone))
		report(c, "n1", 1)
		c.world.Run(5 * time.Minute)
		d := verdictOf(c, "n2")
		Expect(d.Verdict).To(Equal(quarantine.Refuse))
		Expect(d.RetryAfter).To(BeNumerically("~", 5*time.Minute, 10*time.Second))
		c.world.Run(5 * time.Minute)
		Expect(verdictOf(c, "n2").Verdict).To(Equal(quarantine.Run))
	})

	It("lets a fresh node learn of refusals from the platform", func() { // guards against a crash loop after a mass restart
		c := newHarness(1, 3)
		report(c, "n0", 2)
		for _, n := range c.world.Names() {
			c.world.Kill(n)
			c.world.Start(n)
		}
		c.world.Run(time.Second)
		Expect(verdictOf(c, "n1").Verdict).To(Equal(quarantine.Refuse))
	})

	It("counts one end of a server once", func() { // guards against two reports of the same crash
		c := newHarness(1, 3)
		report(c, "n0", 1)
		report(c, "n0", 1)
		Expect(c.world.Stepper("n0").(stepper).CrashCount(c.world.Now, 9)).To(Equal(uint64(1)))
	})

	It("keeps its memory bounded", func() { // guards against a caller that crashes servers with ever new bodies
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

	It("carries its messages over the wire", func() { // guards against a field without a tag
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
