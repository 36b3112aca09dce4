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
	outcome struct {
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
	case outcome:
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

// harness holds a world of claims and its oracles.
type harness struct {
	world          *simulation.World
	requests       map[id.Request]claim.Request
	fingerprints   map[string]id.Set[id.Fingerprint]
	decided        map[id.Request]claim.Verdict
	runs           map[string]run
	answeredAbsent id.Set[id.Request]
	issuedKeys     []string
	verdictCounts  map[claim.Verdict]int
	violations     []string
}

func newHarness(seed uint64, nodes int, opts ...claim.Option) *harness {
	c := &harness{
		world: simulation.New(seed), requests: map[id.Request]claim.Request{}, fingerprints: map[string]id.Set[id.Fingerprint]{},
		decided: map[id.Request]claim.Verdict{}, runs: map[string]run{}, answeredAbsent: id.NewSet[id.Request](),
		verdictCounts: map[claim.Verdict]int{},
	}
	opts = append([]claim.Option{claim.WithShards(2), claim.WithMaxResultSize(8)}, opts...)
	c.world.Watch = func(_ *simulation.World, from id.Node, a event.Action) {
		if d, ok := a.(claim.Decided); ok {
			c.checkDecision(from, d)
		}
	}
	for i := range nodes {
		self := event.Self{Node: id.Node(fmt.Sprintf("n%d", i)), FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%3))}
		c.world.Add(self, func(s event.Self) simulation.Stepper { return stepper{claim.New(s, opts...)} })
	}
	c.publishViews(0)
	c.world.Run(10 * time.Millisecond)
	return c
}

// publishViews tells every node after a while which nodes run.
func (c *harness) publishViews(after time.Duration) {
	c.world.At(after, func() {
		v := &member.View{}
		for _, n := range c.world.Names() {
			if c.world.Up(n) {
				v.Nodes = append(v.Nodes, member.Node{ID: n, Incarnation: c.world.Self(n).Incarnation})
			}
		}
		for _, n := range c.world.Names() {
			c.world.Inject(n, member.ViewChanged{View: v}, 0)
		}
	})
}

func (c *harness) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *harness) send(node id.Node, key string, print id.Fingerprint, left time.Duration) id.Request {
	r := claim.Request{
		ID: id.Request(fmt.Sprintf("r%d", len(c.requests))), Workspace: "w", Key: key, Fingerprint: print,
		Deadline: c.world.Now.Add(left),
	}
	c.requests[r.ID] = r
	if c.fingerprints[key] == nil {
		c.fingerprints[key] = id.NewSet[id.Fingerprint]()
	}
	c.fingerprints[key].Add(print)
	c.world.Inject(node, ask{Request: r}, 0)
	return r.ID
}

// checkDecision is the oracle: a few lines for each guarantee.
func (c *harness) checkDecision(node id.Node, d claim.Decided) {
	r := c.requests[d.Request]
	before, ran := c.runs[r.Key]
	if _, twice := c.decided[d.Request]; twice {
		c.fail("%s was decided twice", d.Request)
	}
	c.decided[d.Request] = d.Verdict
	c.verdictCounts[d.Verdict]++
	switch d.Verdict {
	case claim.Granted:
		if !c.world.Now.Before(r.Deadline) || c.answeredAbsent.Has(d.Request) {
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
		c.answeredAbsent.Add(d.Request)
		if ran {
			c.fail("%s is called absent, but %s ran", d.Request, before.by)
		}
	case claim.Mismatch:
		if len(c.fingerprints[r.Key]) < 2 {
			c.fail("%s is called a mismatch", d.Request)
		}
	}
}

// dispatch stands for the service and for the request package of the node.
func (c *harness) dispatch(node id.Node, r claim.Request) {
	took := time.Duration(c.world.Rand.Int64N(int64(400 * time.Millisecond)))
	state := []claim.State{claim.Done, claim.Done, claim.Done, claim.Failed, claim.Unknown, claim.NotDispatched}[c.world.Rand.IntN(6)]
	done := run{by: r.ID, state: state, result: []byte(r.ID)}
	if c.world.Rand.IntN(4) == 0 {
		done.result = append(done.result, " more than fits"...)
	}
	if state != claim.NotDispatched {
		if before, ran := c.runs[r.Key]; ran {
			c.fail("key %s ran for %s and for %s", r.Key, before.by, r.ID)
		}
		c.runs[r.Key] = done
	}
	c.world.Inject(node, outcome{request: r.ID, state: state, result: done.result}, took)
}

// actions are the callers and the faults.
func (c *harness) actions() map[string]func(*rapid.T) {
	node := func(t *rapid.T) id.Node { return rapid.SampledFrom(c.world.Names()).Draw(t, "node") }
	p := c.world.Platform
	rate := func(t *rapid.T) float64 { return rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "rate") }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			c.world.Run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			if len(c.violations) > 0 {
				t.Fatal(c.violations[0])
			}
		},
		"send": func(t *rapid.T) {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "key")
			if len(c.issuedKeys) > 0 && rapid.Bool().Draw(t, "once") {
				key = rapid.SampledFrom(c.issuedKeys).Draw(t, "issued")
			}
			for range rapid.IntRange(1, 2).Draw(t, "times") {
				print := id.Fingerprint(1 + rapid.IntRange(0, 9).Draw(t, "print")/9)
				c.send(node(t), key, print, time.Duration(rapid.IntRange(20, 8000).Draw(t, "left"))*time.Millisecond)
			}
		},
		"issue": func(t *rapid.T) {
			if n := node(t); c.world.Up(n) {
				c.issuedKeys = append(c.issuedKeys, c.world.Stepper(n).(stepper).IssueKeys(c.world.Now, 2)...)
			}
		},
		"kill": func(t *rapid.T) {
			c.world.Kill(node(t))
			c.publishViews(time.Duration(rapid.IntRange(0, 2000).Draw(t, "noticed")) * time.Millisecond)
		},
		"start": func(t *rapid.T) {
			if n := node(t); !c.world.Up(n) {
				c.world.Start(n)
				c.publishViews(0)
			}
		},
		"freeze": func(t *rapid.T) {
			c.world.Freeze(node(t), time.Duration(rapid.IntRange(10, 12000).Draw(t, "ms"))*time.Millisecond)
		},
		"cut":       func(t *rapid.T) { c.world.Cut(node(t), node(t)) },
		"cutDomain": func(t *rapid.T) { c.world.CutDomain(c.world.Self(node(t)).FailureDomain) },
		"heal":      func(*rapid.T) { c.world.Heal() },
		"network": func(t *rapid.T) {
			c.world.Network.Loss, c.world.Network.Repeat = rate(t), rate(t)
			c.world.Network.MaxDelay = rapid.SampledFrom([]time.Duration{1e6, 3e8, 2e9}).Draw(t, "delay")
		},
		"better": func(*rapid.T) { c.clearFaults() },
		"again": func(t *rapid.T) {
			for range 3 {
				c.send(node(t), "a", 1, 8*time.Second)
				c.world.Run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			}
		},
		"platform": func(t *rapid.T) {
			p.Down = rapid.Bool().Draw(t, "down")
			p.LoseAnswer, p.LoseCall, p.LateEffect = rate(t), rate(t), rate(t)
			p.Latency = rapid.SampledFrom([]time.Duration{2e6, 2e8, 3e9}).Draw(t, "latency")
			clear(p.Cut)
			if rapid.Bool().Draw(t, "cut") {
				p.Cut.Add(c.world.Self(node(t)).FailureDomain)
			}
		},
	}
}

// clearFaults ends all faults except dead nodes.
func (c *harness) clearFaults() {
	p := c.world.Platform
	p.Down, p.LoseAnswer, p.LoseCall, p.LateEffect, p.Latency = false, 0, 0, 0, 2*time.Millisecond
	clear(p.Cut)
	c.world.Network = simulation.Network{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond}
	c.world.Heal()
	c.publishViews(0)
}

// drain ends all faults and checks that everything comes to an end.
func (c *harness) drain() {
	c.clearFaults()
	for _, n := range c.world.Names() {
		if !c.world.Up(n) {
			c.world.Start(n)
		}
	}
	c.publishViews(0)
	c.world.Run(45 * time.Second)
	for _, n := range c.world.Names() {
		s := c.world.Stepper(n).(stepper)
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
		c := newHarness(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "nodes"), claim.WithMaxObjectSize(full))
		t.Repeat(c.actions())
		c.drain()
		if len(c.violations) > 0 {
			t.Fatal(c.violations[0])
		}
		for v, n := range c.verdictCounts {
			total[v] += n
		}
	})
	t.Logf("verdicts: %v", total)
}

// runScenario runs a fixed mix of resends and faults and returns what the oracles found.
func runScenario(seed uint64, disturb func(*harness, int), opts ...claim.Option) []string {
	c := newHarness(seed, 4, opts...)
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range 60 {
		disturb(c, i)
		c.send(c.world.Names()[rng.IntN(4)], fmt.Sprintf("k%d", rng.IntN(8)), 1, 4*time.Second)
		c.world.Run(300 * time.Millisecond)
	}
	return c.violations
}

// TestMechanisms guards against oracles that would not notice when a mechanism is missing.
func TestMechanisms(t *testing.T) {
	lossy := func(c *harness, _ int) { c.world.Platform.LoseCall, c.world.Network.Repeat = 0.4, 0.3 }
	outage := func(c *harness, i int) { c.world.Platform.Down = i%20 > 9 }
	deaths := func(c *harness, i int) {
		n := c.world.Names()[i%4]
		c.world.Kill(n)
		c.world.Start(n)
		c.publishViews(0)
	}
	issued := func(c *harness, i int) {
		if i == 0 {
			c.issuedKeys = c.world.Stepper("n0").(stepper).IssueKeys(c.world.Now, 60)
		}
		c.send(c.world.Names()[i%4], c.issuedKeys[i/2], 1, 4*time.Second)
	}
	late := func(c *harness, _ int) {
		c.world.Network = simulation.Network{MinDelay: time.Millisecond, MaxDelay: 3 * time.Second, Repeat: 0.5}
	}
	for _, m := range []struct {
		name    string
		disturb func(*harness, int)
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
				g.Expect(runScenario(seed, m.disturb)).To(BeEmpty(), "seed %d", seed)
				broken = append(broken, runScenario(seed, m.disturb, m.without)...)
			}
			g.Expect(broken).NotTo(BeEmpty())
			t.Logf("%d violations without it, such as: %s", len(broken), slices.Min(broken))
		})
	}
}
