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
		request id.Request
		print   id.Fingerprint
	}
	over struct {
		ask
		crashed bool
		server  id.Server
	}
)

type stepper struct{ *quarantine.Guard }

func (s stepper) Step(now time.Time, ev event.Event) []event.Action {
	switch ev := ev.(type) {
	case ask:
		return s.Ask(now, ev.request, ev.print)
	case over:
		var out []event.Action
		if ev.crashed {
			out = s.RecordCrash(now, ev.print, ev.server, "s")
		}
		return append(out, s.Finish(now, ev.request, ev.print)...)
	}
	return s.Guard.Step(now, ev)
}

type trial struct {
	w        *simulation.World
	asks     map[id.Request]ask
	decided  map[id.Request]bool
	alone    map[id.Fingerprint]time.Time // end of the last lone attempt
	crashes  map[id.Fingerprint]int       // reported crashes of lone attempts
	first    map[id.Fingerprint]time.Time
	last     map[id.Fingerprint]time.Time
	exempt   id.Set[id.Fingerprint]
	unwell   time.Time // last time at which a fault was in force
	thaw     time.Time // end of the last freeze; the node then handles what has piled up in order
	long     int       // longest attempt in ms
	total    int       // all reported crashes
	verdicts map[quarantine.Verdict]int
	faults   []string
}

func newTrial(seed uint64, nodes int, opts ...quarantine.Option) *trial {
	c := &trial{
		w: simulation.New(seed), asks: map[id.Request]ask{}, decided: map[id.Request]bool{}, alone: map[id.Fingerprint]time.Time{},
		crashes: map[id.Fingerprint]int{}, first: map[id.Fingerprint]time.Time{}, last: map[id.Fingerprint]time.Time{}, exempt: id.NewSet[id.Fingerprint](),
		long: 5000, verdicts: map[quarantine.Verdict]int{},
	}
	c.w.Watch = func(_ *simulation.World, from id.Node, a event.Action) {
		if d, ok := a.(quarantine.Decided); ok {
			c.check(from, d)
		}
	}
	for i := range nodes {
		self := event.Self{Node: id.Node(fmt.Sprintf("n%d", i)), FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%3))}
		c.w.Add(self, func(s event.Self) simulation.Stepper { return stepper{quarantine.New(s, opts...)} })
	}
	c.views()
	c.w.Run(15 * time.Second) // the nodes are no longer fresh
	return c
}

// views tells every node which nodes it can hear.
func (c *trial) views() {
	for _, n := range c.w.Names() {
		v := &member.View{}
		for _, o := range c.w.Names() {
			if c.w.Up(o) && c.w.Reaches(o, n) {
				v.Nodes = append(v.Nodes, member.Node{ID: o, Incarnation: c.w.Self(o).Incarnation})
			}
		}
		c.w.Inject(n, member.ViewChanged{View: v}, time.Millisecond)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (c *trial) fail(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *trial) send(n id.Node, print id.Fingerprint) {
	a := ask{request: id.Request(fmt.Sprint("r", len(c.asks))), print: print}
	c.asks[a.request] = a
	c.w.Inject(n, a, 0)
}

// check is the oracle and stands for a server that crashes on most of these requests.
func (c *trial) check(n id.Node, d quarantine.Decided) {
	a := c.asks[d.Request]
	if c.decided[d.Request] {
		c.fail("%s was decided twice", d.Request)
	}
	c.decided[d.Request] = true
	c.verdicts[d.Verdict]++
	if c.w.Now.Sub(c.last[a.print]) > 10*time.Minute-20*time.Second { // nodes learn of a crash a little apart
		delete(c.first, a.print)
		delete(c.crashes, a.print)
	}
	took := time.Duration(1+c.w.Rand.IntN(c.long)) * time.Millisecond
	first, known := c.first[a.print]
	switch d.Verdict {
	case quarantine.Refuse:
		if d.RetryAfter <= 0 || d.RetryAfter > 10*time.Minute {
			c.fail("%s may come back after %s", d.Request, d.RetryAfter)
		}
		return
	case quarantine.Run:
		well := later(later(first, c.unwell), c.thaw)
		if known && c.w.Now.Sub(well) > 8*time.Second {
			c.fail("%s runs on %s, which should know of the crash", d.Request, n)
		}
	case quarantine.Alone:
		if c.w.Now.Before(c.alone[a.print]) {
			c.fail("%s runs beside another lone attempt", d.Request)
		}
		if c.crashes[a.print] > 0 && !c.exempt.Has(a.print) {
			c.fail("%s runs after the second crash", d.Request)
		}
		took = min(took, d.Until.Sub(c.w.Now))
		c.alone[a.print] = c.w.Now.Add(took)
	}
	o := over{ask: a, crashed: c.w.Rand.IntN(3) > 0, server: id.Server(d.Request)}
	life := c.w.Self(n).Incarnation
	c.w.At(took, func() {
		if !c.w.Up(n) || c.w.Self(n).Incarnation != life {
			return
		}
		if o.crashed {
			c.total++
			c.last[a.print] = c.w.Now
			if d.Verdict == quarantine.Alone {
				c.crashes[a.print]++
			}
			if _, again := c.first[a.print]; !again {
				c.first[a.print] = c.w.Now
			}
		}
		c.w.Inject(n, o, 0)
	})
}

// kill ends a node. What only this node knew cannot be held against the others.
func (c *trial) kill(n id.Node) {
	for _, a := range c.asks {
		others := uint64(0)
		for _, o := range c.w.Names() {
			if o != n && c.w.Up(o) {
				others = max(others, c.w.Stepper(o).(stepper).CrashCount(c.w.Now, a.print))
			}
		}
		if others == 0 {
			delete(c.first, a.print)
		}
		if others < 2 && c.crashes[a.print] > 0 {
			c.exempt.Add(a.print)
		}
	}
	c.w.Kill(n)
}

func (c *trial) actions() map[string]func(*rapid.T) {
	node := func(t *rapid.T) id.Node { return rapid.SampledFrom(c.w.Names()).Draw(t, "node") }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			if p := c.w.Platform; p.Down || p.LoseAnswer > 0 || c.w.Network.Loss > 0 || c.w.Network.MaxDelay > time.Second {
				c.unwell = c.w.Now.Add(time.Second)
			}
			c.w.Run(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			if len(c.faults) > 0 {
				t.Fatal(c.faults[0])
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
				c.views()
			}
			c.unwell = c.w.Now
		},
		"start": func(t *rapid.T) {
			if n := node(t); !c.w.Up(n) {
				c.w.Start(n)
				c.views()
			}
			c.unwell = c.w.Now
		},
		"freeze": func(t *rapid.T) {
			d := time.Duration(rapid.IntRange(10, 15000).Draw(t, "ms")) * time.Millisecond
			c.w.Freeze(node(t), d)
			c.thaw = later(c.thaw, c.w.Now.Add(d))
		},
		"cut": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "whole") {
				c.w.CutDomain(c.w.Self(node(t)).FailureDomain)
			}
			c.w.Cut(node(t), node(t))
			if rapid.Bool().Draw(t, "noticed") {
				c.views()
			}
			c.unwell = c.w.Now.Add(time.Hour)
		},
		"heal": func(*rapid.T) {
			c.calm()
			c.unwell = c.w.Now.Add(10 * time.Second)
		},
		"suspect": func(t *rapid.T) { // a request crashes a server once, then comes back from everywhere
			print := id.Fingerprint(rapid.IntRange(5, 7).Draw(t, "print"))
			c.calm()
			c.send(node(t), print)
			c.w.Run(11 * time.Second)
			for range 4 {
				c.send(node(t), print)
				c.w.Run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			}
		},
		"faults": func(t *rapid.T) {
			rate := rapid.SampledFrom([]float64{0, 0.2, 0.6})
			c.w.Network.Loss, c.w.Network.Repeat = rate.Draw(t, "loss"), rate.Draw(t, "repeat")
			c.w.Network.MaxDelay = rapid.SampledFrom([]time.Duration{1e6, 2e8, 5e9}).Draw(t, "delay")
			p := c.w.Platform
			p.Down, p.LoseAnswer, p.LateEffect = rapid.Bool().Draw(t, "down"), rate.Draw(t, "answers"), rate.Draw(t, "late")
		},
	}
}

func (c *trial) calm() {
	c.w.Heal()
	c.w.Network = simulation.Network{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond}
	c.w.Platform.Down, c.w.Platform.LoseAnswer, c.w.Platform.LateEffect = false, 0, 0
	c.views()
}

// TestFaults guards against suspects that run side by side or a third time, under drawn faults.
func TestFaults(t *testing.T) {
	total := map[quarantine.Verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		c := newTrial(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "nodes"))
		t.Repeat(c.actions())
		for _, n := range c.w.Names() {
			if !c.w.Up(n) {
				c.w.Start(n)
			}
		}
		c.calm()
		c.unwell = c.w.Now
		c.w.Run(40 * time.Second) // longer than a freeze, a hold and the start of the gossip
		for print := range id.Fingerprint(8) {
			var know []uint64
			for _, n := range c.w.Names() {
				know = append(know, c.w.Stepper(n).(stepper).CrashCount(c.w.Now, print))
			}
			if slices.Max(know) != slices.Min(know) {
				c.fail("the nodes know %v crashes of %d", know, print)
			}
		}
		if len(c.faults) > 0 {
			t.Fatal(c.faults[0])
		}
		for v, n := range c.verdicts {
			total[v] += n
		}
	})
	t.Logf("verdicts: %v", total)
}

// refusedAt is how many crashes are tolerated when attempts do not overlap.
const refusedAt = 2

// storm sends the same request again and again while domains are cut off, or with a healthy network.
func storm(seed uint64, cut bool, opts ...quarantine.Option) *trial {
	c := newTrial(seed, 4, opts...)
	c.long = 250
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range 60 {
		print := id.Fingerprint(1)
		if cut {
			print = id.Fingerprint(1 + i%6)
			if i == 6 {
				c.w.CutDomain("d0")
				c.views()
				c.long = 5000
				c.unwell = c.w.Now.Add(time.Hour)
			}
		}
		c.send(c.w.Names()[rng.IntN(4)], print)
		c.w.Run(300 * time.Millisecond)
	}
	if !cut && c.total > refusedAt {
		c.fail("%d crashes, one after the other", c.total)
	}
	return c
}

// TestMechanisms guards against oracles that would not notice when a mechanism is missing.
func TestMechanisms(t *testing.T) {
	g := NewWithT(t)
	beside, runs := 0, 0
	for seed := range uint64(20) {
		g.Expect(storm(seed, true).faults).To(BeEmpty(), "seed %d", seed)
		g.Expect(storm(seed, false).faults).To(BeEmpty(), "seed %d", seed)
		beside += len(storm(seed, true, quarantine.WithoutPromises()).faults)
		runs += len(storm(seed, false, quarantine.WithoutGossip()).faults)
	}
	g.Expect(beside).To(BeNumerically(">", 0), "without promises")
	g.Expect(runs).To(BeNumerically(">", 0), "without gossip")
	t.Logf("violations: %d without promises, %d without gossip", beside, runs)
}

func TestCrash(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crash")
}

var _ = Describe("containment", func() {
	verdictOf := func(c *trial, n id.Node) quarantine.Decided {
		var got quarantine.Decided
		c.w.Watch = func(_ *simulation.World, _ id.Node, a event.Action) {
			if d, ok := a.(quarantine.Decided); ok {
				got = d
			}
		}
		c.send(n, 9)
		c.w.Run(5 * time.Second)
		return got
	}
	report := func(c *trial, n id.Node, count int) {
		for i := range count {
			c.w.Inject(n, over{ask: ask{print: 9}, crashed: true, server: id.Server(fmt.Sprint(n, i))}, 0)
		}
		c.w.Run(time.Second)
	}

	It("refuses everywhere after two crashes, for the rest of ten minutes", func() { // guards against a resend through another node
		c := newTrial(1, 5)
		report(c, "n0", 1)
		Expect(verdictOf(c, "n3").Verdict).To(Equal(quarantine.Alone))
		report(c, "n1", 1)
		c.w.Run(5 * time.Minute)
		d := verdictOf(c, "n2")
		Expect(d.Verdict).To(Equal(quarantine.Refuse))
		Expect(d.RetryAfter).To(BeNumerically("~", 5*time.Minute, 10*time.Second))
		c.w.Run(5 * time.Minute)
		Expect(verdictOf(c, "n2").Verdict).To(Equal(quarantine.Run))
	})

	It("lets a fresh node learn of refusals from the platform", func() { // guards against a crash loop after a mass restart
		c := newTrial(1, 3)
		report(c, "n0", 2)
		for _, n := range c.w.Names() {
			c.w.Kill(n)
			c.w.Start(n)
		}
		c.w.Run(time.Second)
		Expect(verdictOf(c, "n1").Verdict).To(Equal(quarantine.Refuse))
	})

	It("counts one end of a server once", func() { // guards against two reports of the same crash
		c := newTrial(1, 3)
		report(c, "n0", 1)
		report(c, "n0", 1)
		Expect(c.w.Stepper("n0").(stepper).CrashCount(c.w.Now, 9)).To(Equal(uint64(1)))
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
