package claim_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bluebellflow/core/claim"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/simulation"
)

type (
	ask struct {
		event.In
		claim.Request
	}
	settle struct {
		event.In
		request id.Request
		state   claim.State
		result  []byte
	}
)

func TestMain(m *testing.M) {
	simulation.FixSeed(1)
	os.Exit(m.Run())
}

// stepper feeds the proof's own events to Claims.
type stepper struct{ *claim.Claims }

func (s stepper) Step(now time.Time, ev event.Event) []event.Action {
	switch ev := ev.(type) {
	case ask:
		return s.Ask(now, ev.Request)
	case settle:
		return s.RecordOutcome(now, ev.request, ev.state, ev.result)
	}
	return s.Claims.Step(now, ev)
}

// run is the one run of a key, as the service saw it.
type run struct {
	by     id.Request
	state  claim.State
	result []byte
}

// trial holds a world of claims and its oracles.
type trial struct {
	w        *simulation.World
	asked    map[id.Request]claim.Request
	prints   map[string]id.Set[id.Fingerprint]
	decided  map[id.Request]claim.Verdict
	runs     map[string]run
	absent   id.Set[id.Request]
	keys     []string
	verdicts map[claim.Verdict]int
	faults   []string
}

func newTrial(seed uint64, nodes int, opts ...claim.Option) *trial {
	c := &trial{
		w: simulation.New(seed), asked: map[id.Request]claim.Request{}, prints: map[string]id.Set[id.Fingerprint]{},
		decided: map[id.Request]claim.Verdict{}, runs: map[string]run{}, absent: id.NewSet[id.Request](),
		verdicts: map[claim.Verdict]int{},
	}
	opts = append([]claim.Option{claim.WithShards(2), claim.WithMaxResultSize(8)}, opts...)
	c.w.Watch = func(_ *simulation.World, from id.Node, a event.Action) {
		if d, ok := a.(claim.Decided); ok {
			c.check(from, d)
		}
	}
	for i := range nodes {
		self := event.Self{Node: id.Node(fmt.Sprintf("n%d", i)), FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%3))}
		c.w.Add(self, func(s event.Self) simulation.Stepper { return stepper{claim.New(s, opts...)} })
	}
	c.views(0)
	c.w.Run(10 * time.Millisecond)
	return c
}

// views tells every node after a while which nodes run.
func (c *trial) views(after time.Duration) {
	c.w.At(after, func() {
		v := &member.View{}
		for _, n := range c.w.Names() {
			if c.w.Up(n) {
				v.Nodes = append(v.Nodes, member.Node{ID: n, Incarnation: c.w.Self(n).Incarnation})
			}
		}
		for _, n := range c.w.Names() {
			c.w.Inject(n, member.ViewChanged{View: v}, 0)
		}
	})
}

func (c *trial) fail(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *trial) send(node id.Node, key string, print id.Fingerprint, left time.Duration) id.Request {
	r := claim.Request{
		ID: id.Request(fmt.Sprintf("r%d", len(c.asked))), Workspace: "w", Key: key, Fingerprint: print,
		Deadline: c.w.Now.Add(left),
	}
	c.asked[r.ID] = r
	if c.prints[key] == nil {
		c.prints[key] = id.NewSet[id.Fingerprint]()
	}
	c.prints[key].Add(print)
	c.w.Inject(node, ask{Request: r}, 0)
	return r.ID
}

// check is the oracle: a few lines for each guarantee.
func (c *trial) check(node id.Node, d claim.Decided) {
	r := c.asked[d.Request]
	before, ran := c.runs[r.Key]
	if _, twice := c.decided[d.Request]; twice {
		c.fail("%s was decided twice", d.Request)
	}
	c.decided[d.Request] = d.Verdict
	c.verdicts[d.Verdict]++
	switch d.Verdict {
	case claim.Granted:
		if !c.w.Now.Before(r.Deadline) || c.absent.Has(d.Request) {
			c.fail("%s was granted after its deadline or after an answer", d.Request)
		}
		c.dispatch(node, r)
	case claim.Recorded:
		if before.state != claim.Done || (!d.Omitted && !bytes.Equal(d.Result, before.result)) {
			c.fail("%s got %q for the run %+v", d.Request, d.Result, before)
		}
	case claim.RejectedBefore:
		if before.state != claim.Failed {
			c.fail("%s is called rejected, the run was %+v", d.Request, before)
		}
	case claim.Absent:
		c.absent.Add(d.Request)
		if ran {
			c.fail("%s is called absent, but %s ran", d.Request, before.by)
		}
	case claim.Mismatch:
		if len(c.prints[r.Key]) < 2 {
			c.fail("%s is called a mismatch", d.Request)
		}
	}
}

// dispatch stands for the service and for the request package of the node.
func (c *trial) dispatch(node id.Node, r claim.Request) {
	took := time.Duration(c.w.Rand.Int64N(int64(400 * time.Millisecond)))
	state := []claim.State{claim.Done, claim.Done, claim.Done, claim.Failed, claim.Unknown, claim.NotDispatched}[c.w.Rand.IntN(6)]
	done := run{by: r.ID, state: state, result: []byte(r.ID)}
	if c.w.Rand.IntN(4) == 0 {
		done.result = append(done.result, " more than fits"...)
	}
	if state != claim.NotDispatched {
		if before, ran := c.runs[r.Key]; ran {
			c.fail("key %s ran for %s and for %s", r.Key, before.by, r.ID)
		}
		c.runs[r.Key] = done
	}
	c.w.Inject(node, settle{request: r.ID, state: state, result: done.result}, took)
}

// actions are the callers and the faults.
func (c *trial) actions() map[string]func(*rapid.T) {
	node := func(t *rapid.T) id.Node { return rapid.SampledFrom(c.w.Names()).Draw(t, "node") }
	p := c.w.Platform
	rate := func(t *rapid.T) float64 { return rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "rate") }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			c.w.Run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			if len(c.faults) > 0 {
				t.Fatal(c.faults[0])
			}
		},
		"send": func(t *rapid.T) {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "key")
			if len(c.keys) > 0 && rapid.Bool().Draw(t, "once") {
				key = rapid.SampledFrom(c.keys).Draw(t, "issued")
			}
			for range rapid.IntRange(1, 2).Draw(t, "times") {
				print := id.Fingerprint(1 + rapid.IntRange(0, 9).Draw(t, "print")/9)
				c.send(node(t), key, print, time.Duration(rapid.IntRange(20, 8000).Draw(t, "left"))*time.Millisecond)
			}
		},
		"issue": func(t *rapid.T) {
			if n := node(t); c.w.Up(n) {
				c.keys = append(c.keys, c.w.Stepper(n).(stepper).IssueKeys(c.w.Now, 2)...)
			}
		},
		"kill": func(t *rapid.T) {
			c.w.Kill(node(t))
			c.views(time.Duration(rapid.IntRange(0, 2000).Draw(t, "noticed")) * time.Millisecond)
		},
		"start": func(t *rapid.T) {
			if n := node(t); !c.w.Up(n) {
				c.w.Start(n)
				c.views(0)
			}
		},
		"freeze": func(t *rapid.T) {
			c.w.Freeze(node(t), time.Duration(rapid.IntRange(10, 12000).Draw(t, "ms"))*time.Millisecond)
		},
		"cut":       func(t *rapid.T) { c.w.Cut(node(t), node(t)) },
		"cutDomain": func(t *rapid.T) { c.w.CutDomain(c.w.Self(node(t)).FailureDomain) },
		"heal":      func(*rapid.T) { c.w.Heal() },
		"network": func(t *rapid.T) {
			c.w.Network.Loss, c.w.Network.Repeat = rate(t), rate(t)
			c.w.Network.MaxDelay = rapid.SampledFrom([]time.Duration{1e6, 3e8, 2e9}).Draw(t, "delay")
		},
		"better": func(*rapid.T) { c.calmDown() },
		"again": func(t *rapid.T) {
			for range 3 {
				c.send(node(t), "a", 1, 8*time.Second)
				c.w.Run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			}
		},
		"platform": func(t *rapid.T) {
			p.Down = rapid.Bool().Draw(t, "down")
			p.LoseAnswer, p.LoseCall, p.LateEffect = rate(t), rate(t), rate(t)
			p.Latency = rapid.SampledFrom([]time.Duration{2e6, 2e8, 3e9}).Draw(t, "latency")
			clear(p.Cut)
			if rapid.Bool().Draw(t, "cut") {
				p.Cut.Add(c.w.Self(node(t)).FailureDomain)
			}
		},
	}
}

// calmDown ends all faults except dead nodes.
func (c *trial) calmDown() {
	p := c.w.Platform
	p.Down, p.LoseAnswer, p.LoseCall, p.LateEffect, p.Latency = false, 0, 0, 0, 2*time.Millisecond
	clear(p.Cut)
	c.w.Network = simulation.Network{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond}
	c.w.Heal()
	c.views(0)
}

// calm ends all faults and checks that everything comes to an end.
func (c *trial) calm() {
	c.calmDown()
	for _, n := range c.w.Names() {
		if !c.w.Up(n) {
			c.w.Start(n)
		}
	}
	c.views(0)
	c.w.Run(45 * time.Second)
	for _, n := range c.w.Names() {
		s := c.w.Stepper(n).(stepper)
		if s.OpenRequests() > 0 || s.UnrecordedOutcomes() > 0 {
			c.fail("%s still has %d open and %d unrecorded", n, s.OpenRequests(), s.UnrecordedOutcomes())
		}
	}
}

// TestFaults guards against a key that runs twice and against untrue answers, under drawn faults.
func TestFaults(t *testing.T) {
	total := map[claim.Verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		full := rapid.SampledFrom([]int{900 << 10, 300}).Draw(t, "object")
		c := newTrial(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "nodes"), claim.WithMaxObjectSize(full))
		t.Repeat(c.actions())
		c.calm()
		if len(c.faults) > 0 {
			t.Fatal(c.faults[0])
		}
		for v, n := range c.verdicts {
			total[v] += n
		}
	})
	t.Logf("verdicts: %v", total)
}

// storm runs a fixed mix of resends and faults and returns what the oracles found.
func storm(seed uint64, disturb func(*trial, int), opts ...claim.Option) []string {
	c := newTrial(seed, 4, opts...)
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range 60 {
		disturb(c, i)
		c.send(c.w.Names()[rng.IntN(4)], fmt.Sprintf("k%d", rng.IntN(8)), 1, 4*time.Second)
		c.w.Run(300 * time.Millisecond)
	}
	return c.faults
}

// TestMechanisms guards against oracles that would not notice when a mechanism is missing.
func TestMechanisms(t *testing.T) {
	lossy := func(c *trial, _ int) { c.w.Platform.LoseCall, c.w.Network.Repeat = 0.4, 0.3 }
	outage := func(c *trial, i int) { c.w.Platform.Down = i%20 > 9 }
	deaths := func(c *trial, i int) {
		n := c.w.Names()[i%4]
		c.w.Kill(n)
		c.w.Start(n)
		c.views(0)
	}
	issued := func(c *trial, i int) {
		if i == 0 {
			c.keys = c.w.Stepper("n0").(stepper).IssueKeys(c.w.Now, 60)
		}
		c.send(c.w.Names()[i%4], c.keys[i/2], 1, 4*time.Second)
	}
	late := func(c *trial, _ int) {
		c.w.Network = simulation.Network{MinDelay: time.Millisecond, MaxDelay: 3 * time.Second, Repeat: 0.5}
	}
	for _, m := range []struct {
		name    string
		disturb func(*trial, int)
		without claim.Option
	}{
		{"read-back of lost updates", lossy, claim.WithoutReadBack()},
		{"unknown during an outage", outage, claim.WithAbsentInOutage()},
		{"results recorded whole or not at all", lossy, claim.WithTruncatedResults()},
		{"claims of the dead stay claimed", deaths, claim.WithReclaim()},
		{"a one-time grant counts as a run", issued, claim.WithRepeatedGrant()},
		{"only the claimer settles", late, claim.WithoutOwnerCheck()},
	} {
		t.Run(m.name, func(t *testing.T) {
			g := NewWithT(t)
			var broken []string
			for seed := range uint64(20) {
				g.Expect(storm(seed, m.disturb)).To(BeEmpty(), "seed %d", seed)
				broken = append(broken, storm(seed, m.disturb, m.without)...)
			}
			g.Expect(broken).NotTo(BeEmpty())
			t.Logf("%d violations without it, such as: %s", len(broken), slices.Min(broken))
		})
	}
}
