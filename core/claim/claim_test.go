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

// stepper passes the events of the tests to Claims.
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

// run is the only run of a key, as the service saw it.
type run struct {
	by     id.Request
	state  claim.State
	result []byte
}

// harness runs simulated nodes and checks each of their decisions against the runs that took place.
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
	h := &harness{
		world: simulation.New(seed), requests: map[id.Request]claim.Request{}, fingerprints: map[string]id.Set[id.Fingerprint]{},
		decided: map[id.Request]claim.Verdict{}, runs: map[string]run{}, answeredAbsent: id.NewSet[id.Request](),
		verdictCounts: map[claim.Verdict]int{},
	}
	opts = append([]claim.Option{claim.WithShards(2), claim.WithMaxResultSize(8)}, opts...)
	h.world.OnInternal = func(_ *simulation.World, from id.Node, a event.Action) {
		if d, ok := a.(claim.Decided); ok {
			h.checkDecision(from, d)
		}
	}
	for i := range nodes {
		self := event.Self{Node: id.Node(fmt.Sprintf("n%d", i)), FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%3))}
		h.world.Add(self, func(s event.Self) simulation.Stepper { return stepper{claim.New(s, opts...)} })
	}
	h.updateViews(0)
	h.world.Run(10 * time.Millisecond)
	return h
}

// updateViews sends every node the list of running nodes after a delay.
func (h *harness) updateViews(after time.Duration) {
	h.world.AfterFunc(after, func() {
		v := &member.View{}
		for _, n := range h.world.Nodes() {
			if h.world.Up(n) {
				v.Nodes = append(v.Nodes, member.Node{ID: n, Incarnation: h.world.Self(n).Incarnation})
			}
		}
		for _, n := range h.world.Nodes() {
			h.world.Inject(n, member.ViewChanged{View: v}, 0)
		}
	})
}

func (h *harness) reportViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *harness) send(node id.Node, key string, fp id.Fingerprint, left time.Duration) id.Request {
	r := claim.Request{
		ID: id.Request(fmt.Sprintf("r%d", len(h.requests))), Workspace: "w", Key: key, Fingerprint: fp,
		Deadline: h.world.Now.Add(left),
	}
	h.requests[r.ID] = r
	if h.fingerprints[key] == nil {
		h.fingerprints[key] = id.NewSet[id.Fingerprint]()
	}
	h.fingerprints[key].Add(fp)
	h.world.Inject(node, ask{Request: r}, 0)
	return r.ID
}

// checkDecision checks a decision against the guarantees of the package.
func (h *harness) checkDecision(node id.Node, d claim.Decided) {
	r := h.requests[d.Request]
	before, ran := h.runs[r.Key]
	if _, duplicate := h.decided[d.Request]; duplicate {
		h.reportViolation("%s was decided twice", d.Request)
	}
	h.decided[d.Request] = d.Verdict
	h.verdictCounts[d.Verdict]++
	switch d.Verdict {
	case claim.Granted:
		if !h.world.Now.Before(r.Deadline) || h.answeredAbsent.Has(d.Request) {
			h.reportViolation("%s was granted after its deadline or after the answer absent", d.Request)
		}
		h.dispatch(node, r)
	case claim.Recorded:
		if before.state != claim.Done || (!d.Omitted && !bytes.Equal(d.Result, before.result)) {
			h.reportViolation("%s got the result %q, but the run was %+v", d.Request, d.Result, before)
		}
	case claim.RejectedBefore:
		if before.state != claim.Failed {
			h.reportViolation("%s was answered rejected before, but the run was %+v", d.Request, before)
		}
	case claim.Absent:
		h.answeredAbsent.Add(d.Request)
		if ran {
			h.reportViolation("%s was answered absent, but %s ran", d.Request, before.by)
		}
	case claim.Mismatch:
		if len(h.fingerprints[r.Key]) < 2 {
			h.reportViolation("%s was answered mismatch, but all requests under its key have the same fingerprint", d.Request)
		}
	}
}

// dispatch simulates the service, and the node's request handling that records the outcome.
func (h *harness) dispatch(node id.Node, r claim.Request) {
	took := time.Duration(h.world.Rand.Int64N(int64(400 * time.Millisecond)))
	state := []claim.State{claim.Done, claim.Done, claim.Done, claim.Failed, claim.Unknown, claim.NotDispatched}[h.world.Rand.IntN(6)]
	done := run{by: r.ID, state: state, result: []byte(r.ID)}
	if h.world.Rand.IntN(4) == 0 {
		done.result = append(done.result, " more than fits"...)
	}
	if state != claim.NotDispatched {
		if before, ran := h.runs[r.Key]; ran {
			h.reportViolation("key %s ran for %s and for %s", r.Key, before.by, r.ID)
		}
		h.runs[r.Key] = done
	}
	h.world.Inject(node, outcome{request: r.ID, state: state, result: done.result}, took)
}

// actions returns the actions of callers and the faults that rapid chooses from.
func (h *harness) actions() map[string]func(*rapid.T) {
	node := func(t *rapid.T) id.Node { return rapid.SampledFrom(h.world.Nodes()).Draw(t, "node") }
	platform := h.world.Platform
	rate := func(t *rapid.T) float64 { return rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "rate") }
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			h.world.Run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			if len(h.violations) > 0 {
				t.Fatal(h.violations[0])
			}
		},
		"send": func(t *rapid.T) {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "key")
			if len(h.issuedKeys) > 0 && rapid.Bool().Draw(t, "once") {
				key = rapid.SampledFrom(h.issuedKeys).Draw(t, "issued")
			}
			for range rapid.IntRange(1, 2).Draw(t, "times") {
				fp := id.Fingerprint(1 + rapid.IntRange(0, 9).Draw(t, "print")/9)
				h.send(node(t), key, fp, time.Duration(rapid.IntRange(20, 8000).Draw(t, "left"))*time.Millisecond)
			}
		},
		"issue": func(t *rapid.T) {
			if n := node(t); h.world.Up(n) {
				h.issuedKeys = append(h.issuedKeys, h.world.Stepper(n).(stepper).IssueKeys(h.world.Now, 2)...)
			}
		},
		"kill": func(t *rapid.T) {
			h.world.Kill(node(t))
			h.updateViews(time.Duration(rapid.IntRange(0, 2000).Draw(t, "noticed")) * time.Millisecond)
		},
		"start": func(t *rapid.T) {
			if n := node(t); !h.world.Up(n) {
				h.world.Start(n)
				h.updateViews(0)
			}
		},
		"freeze": func(t *rapid.T) {
			h.world.Freeze(node(t), time.Duration(rapid.IntRange(10, 12000).Draw(t, "ms"))*time.Millisecond)
		},
		"cut":       func(t *rapid.T) { h.world.Cut(node(t), node(t)) },
		"cutDomain": func(t *rapid.T) { h.world.PartitionDomain(h.world.Self(node(t)).FailureDomain) },
		"heal":      func(*rapid.T) { h.world.Heal() },
		"network": func(t *rapid.T) {
			h.world.Network.Loss, h.world.Network.Repeat = rate(t), rate(t)
			h.world.Network.MaxDelay = rapid.SampledFrom([]time.Duration{1e6, 3e8, 2e9}).Draw(t, "delay")
		},
		"better": func(*rapid.T) { h.clearFaults() },
		"again": func(t *rapid.T) {
			for range 3 {
				h.send(node(t), "a", 1, 8*time.Second)
				h.world.Run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			}
		},
		"platform": func(t *rapid.T) {
			platform.Down = rapid.Bool().Draw(t, "down")
			platform.LostAnswerRate, platform.LostCallRate, platform.LateEffectRate = rate(t), rate(t), rate(t)
			platform.Latency = rapid.SampledFrom([]time.Duration{2e6, 2e8, 3e9}).Draw(t, "latency")
			clear(platform.CutDomains)
			if rapid.Bool().Draw(t, "cut") {
				platform.CutDomains.Add(h.world.Self(node(t)).FailureDomain)
			}
		},
	}
}

// clearFaults ends all faults, but does not restart dead nodes.
func (h *harness) clearFaults() {
	platform := h.world.Platform
	platform.Down, platform.LostAnswerRate, platform.LostCallRate, platform.LateEffectRate, platform.Latency = false, 0, 0, 0, 2*time.Millisecond
	clear(platform.CutDomains)
	h.world.Network = simulation.Network{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond}
	h.world.Heal()
	h.updateViews(0)
}

// drain ends all faults and checks that no request stays open and no outcome stays unrecorded.
func (h *harness) drain() {
	h.clearFaults()
	for _, n := range h.world.Nodes() {
		if !h.world.Up(n) {
			h.world.Start(n)
		}
	}
	h.updateViews(0)
	h.world.Run(45 * time.Second)
	for _, n := range h.world.Nodes() {
		s := h.world.Stepper(n).(stepper)
		if s.OpenRequests() > 0 || s.UnrecordedOutcomes() > 0 {
			h.reportViolation("%s still has %d open requests and %d unrecorded outcomes", n, s.OpenRequests(), s.UnrecordedOutcomes())
		}
	}
}

// TestFaults guards against a key that runs twice and against wrong answers, under random faults.
func TestFaults(t *testing.T) {
	total := map[claim.Verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		maxSize := rapid.SampledFrom([]int{900 << 10, 300}).Draw(t, "object")
		h := newHarness(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "nodes"), claim.WithMaxObjectSize(maxSize))
		t.Repeat(h.actions())
		h.drain()
		if len(h.violations) > 0 {
			t.Fatal(h.violations[0])
		}
		for v, n := range h.verdictCounts {
			total[v] += n
		}
	})
	t.Logf("verdicts: %v", total)
}

// runScenario runs a fixed mix of resends and faults and returns the violations that the harness found.
func runScenario(seed uint64, inject func(*harness, int), opts ...claim.Option) []string {
	h := newHarness(seed, 4, opts...)
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range 60 {
		inject(h, i)
		h.send(h.world.Nodes()[rng.IntN(4)], fmt.Sprintf("k%d", rng.IntN(8)), 1, 4*time.Second)
		h.world.Run(300 * time.Millisecond)
	}
	return h.violations
}

// TestMechanisms guards against checks that do not notice a missing mechanism: disabling each one must cause violations.
func TestMechanisms(t *testing.T) {
	lossy := func(h *harness, _ int) { h.world.Platform.LostCallRate, h.world.Network.Repeat = 0.4, 0.3 }
	outage := func(h *harness, i int) { h.world.Platform.Down = i%20 > 9 }
	restarts := func(h *harness, i int) {
		n := h.world.Nodes()[i%4]
		h.world.Kill(n)
		h.world.Start(n)
		h.updateViews(0)
	}
	issued := func(h *harness, i int) {
		if i == 0 {
			h.issuedKeys = h.world.Stepper("n0").(stepper).IssueKeys(h.world.Now, 60)
		}
		h.send(h.world.Nodes()[i%4], h.issuedKeys[i/2], 1, 4*time.Second)
	}
	late := func(h *harness, _ int) {
		h.world.Network = simulation.Network{MinDelay: time.Millisecond, MaxDelay: 3 * time.Second, Repeat: 0.5}
	}
	for _, m := range []struct {
		name    string
		inject  func(*harness, int)
		without claim.Option
	}{
		{"read-back of lost updates", lossy, claim.WithoutReadBack()},
		{"unknown during an outage", outage, claim.WithAbsentInOutage()},
		{"results recorded in full or not at all", lossy, claim.WithTruncatedResults()},
		{"claims of dead claimers stay claimed", restarts, claim.WithReclaim()},
		{"a one-time grant counts as a run", issued, claim.WithRepeatedGrant()},
		{"only the claimer records an outcome", late, claim.WithoutOwnerCheck()},
	} {
		t.Run(m.name, func(t *testing.T) {
			g := NewWithT(t)
			var violations []string
			for seed := range uint64(20) {
				g.Expect(runScenario(seed, m.inject)).To(BeEmpty(), "seed %d", seed)
				violations = append(violations, runScenario(seed, m.inject, m.without)...)
			}
			g.Expect(violations).NotTo(BeEmpty())
			t.Logf("%d violations without it, such as: %s", len(violations), slices.Min(violations))
		})
	}
}
