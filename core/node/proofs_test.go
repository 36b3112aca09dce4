package node_test

import (
	"strings"
	"testing"
	"time"

	"bluebellflow/core/claim"
	"bluebellflow/core/config"
	"bluebellflow/core/domain"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/node"
	"bluebellflow/core/permit"
	"bluebellflow/core/quarantine"
	"bluebellflow/core/route"
	"bluebellflow/core/simulation"
)

// TestOraclesDetectDisabledMechanisms guards against oracles that see nothing: nodes without one mechanism must be found out by a cell
// whose seed is fixed.
func TestOraclesDetectDisabledMechanisms(t *testing.T) {
	without := func(opts ...node.Option) []node.Option { return opts }
	none := func(*system) {}
	apart := func(s *system) { s.Platform.CutDomains.Add("d2") }
	for _, c := range []struct {
		name    string
		opts    []node.Option
		first   string        // the fault that the mechanism is for, empty for none
		prepare func(*system) // what lasts until all faults end
		want    string
	}{
		{"revision falls", without(node.WithConfig(config.WithoutRevisionFloor())), "platform late effects", none, "went back from revision"},
		{"drain not heard", without(node.WithDomain(domain.WithoutGossip())), "", apart, "whose domain was drained"},
		{"leaving ignored", without(node.WithRoute(route.WithoutLeavingMarkers())), "", none, "which left"},
		{"overload", without(node.WithRoute(route.WithBaselines(string(permit.NoPermit)))), "", none, "more than it can handle"},
		{"crash count kept", without(node.WithQuarantine(quarantine.WithoutGossip())), "", none, "one request's content crashed"},
		{"key runs twice", without(node.WithClaim(claim.WithReclaim())), "node killed", none, "took effect 2 times"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			expectViolation(t, c.want, c.first, c.prepare, c.opts)
		})
	}
}

// expectViolation plays cells in a fixed order until one violates the oracle.
func expectViolation(t *testing.T, want, first string, prepare func(*system), opts []node.Option) {
	const most = 40
	tried := 0
	for _, c := range allCells() {
		if first != "" && (c.second >= 0 || faults[c.fault].name != first) {
			continue
		}
		if tried++; tried > most {
			break
		}
		for _, v := range c.runWith(first != "", prepare, opts).check() {
			if strings.Contains(v, want) {
				t.Logf("%s: %s", c, v)
				return
			}
		}
	}
	t.Errorf("no violation %q in %d cells", want, tried-1)
}

func (c cell) runWith(faulty bool, prepare func(*system), opts []node.Option) *system {
	if faulty {
		s, _ := c.run(opts...)
		return s
	}
	s := newSystemWith(c.seed, opts...)
	prepare(s)
	s.runScenario()
	return s
}

// TestOracleDetectsDivergence guards against an oracle that does not see nodes that differ after healing.
func TestOracleDetectsDivergence(t *testing.T) {
	s := newSystem(1)
	s.runScenario()
	for _, o := range s.oracle.commands {
		if len(o.results) == 1 && o.to == "d0-n0" {
			switch v := o.results[0].Value.(type) {
			case node.Configuration:
				v.Revision--
				o.results[0].Value = v
			case node.Report:
				v.Domains = nil
				o.results[0].Value = v
			}
		}
	}
	found := strings.Join(s.check(), "\n")
	for _, want := range []string{"nodes differ in their revision", "was accepted", "nodes differ in the domain records"} {
		if !strings.Contains(found, want) {
			t.Errorf("not noticed: %s\n%s", want, found)
		}
	}
}

// mutant changes what a node does, for failures that no option brings about.
type mutant struct {
	*node.Node
	mutate func(event.Action) []event.Action
}

func (b mutant) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	for _, a := range b.Node.Step(now, ev) {
		out = append(out, b.mutate(a)...)
	}
	return out
}

// mutantSeeds bounds the runs in which a bent node must be noticed.
const mutantSeeds = 8

// runMutant plays the scenario with bent nodes and returns a violation that contains the text, empty for none.
func runMutant(seed uint64, bend func(event.Action) []event.Action, want string) string {
	s := newSystemBuiltBy(seed, func(self event.Self) simulation.Stepper { return mutant{node.New(self), bend} })
	for _, one := range s.backends.Servers {
		if one.VM.Pool == "loans" {
			one.LostResultRate = 0.1
		}
	}
	s.runScenario()
	for _, v := range s.check() {
		if strings.Contains(v, want) {
			return v
		}
	}
	return ""
}

// TestOraclesDetectMutatedActions guards against oracles that see nothing of what leaves a node.
func TestOraclesDetectMutatedActions(t *testing.T) {
	ends := func(a event.Action) (event.Reply, bool) {
		r, ok := a.(event.Reply)
		return r, ok && r.End
	}
	for _, c := range []struct {
		name, want string
		bend       func(event.Action) []event.Action
	}{
		{"answer twice", "more after the end of the answer", func(a event.Action) []event.Action {
			if _, ok := ends(a); ok {
				return []event.Action{a, a}
			}
			return []event.Action{a}
		}},
		{"answer lost", "no answer by its deadline", func(a event.Action) []event.Action {
			if r, ok := ends(a); ok && r.Problem == nil {
				return nil
			}
			return []event.Action{a}
		}},
		{"part lost", "answer", func(a event.Action) []event.Action {
			if r, ok := a.(event.Reply); ok && !r.End {
				return nil
			}
			return []event.Action{a}
		}},
		{"wrong request", "that it never got", func(a event.Action) []event.Action {
			if r, ok := ends(a); ok {
				r.Request += "x"
				return []event.Action{r}
			}
			return []event.Action{a}
		}},
		{"command answered twice", "answered command", func(a event.Action) []event.Action {
			if _, ok := a.(event.CommandResult); ok {
				return []event.Action{a, a}
			}
			return []event.Action{a}
		}},
		{"command not answered", "0 times", func(a event.Action) []event.Action {
			if _, ok := a.(event.CommandResult); ok {
				return nil
			}
			return []event.Action{a}
		}},
		{"unknown called refused", "refused as not run", func(a event.Action) []event.Action {
			if r, ok := ends(a); ok && r.Problem != nil && r.Problem.Kind == event.ProblemUnknown {
				r.Problem = &event.Problem{Kind: event.ProblemRefused}
				return []event.Action{r}
			}
			return []event.Action{a}
		}},
		{"stop without exit", "was told to stop and did not", func(a event.Action) []event.Action {
			if _, ok := a.(event.Exit); ok {
				return nil
			}
			return []event.Action{a}
		}},
		{"stop cuts requests", "cut by the graceful stop", func(a event.Action) []event.Action {
			if r, ok := a.(event.Readiness); ok && !r.Ready {
				return []event.Action{a, event.Exit{}}
			}
			return []event.Action{a}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			// Whether a request is open when a node is told to stop, for instance, depends on the seed.
			for seed := range uint64(mutantSeeds) {
				if v := runMutant(seed+1, c.bend, c.want); v != "" {
					t.Logf("seed %d: %s", seed+1, v)
					return
				}
			}
			t.Errorf("no violation %q", c.want)
		})
	}
}

// TestOracleDetectsDelayedAnswer guards against an oracle that does not see an answer held back after the request was given up.
func TestOracleDetectsDelayedAnswer(t *testing.T) {
	s := newSystem(1)
	one := s.callers.Send("d0-n0", event.RequestArrived{Workspace: "north", Pipeline: "answer", Body: []byte("x")})
	refused := event.Problem{Kind: event.ProblemRefused}
	s.OnExternal(s.World, "d0-n0", event.Log{Kind: "answer", Request: one.Arrival.Request, Choice: "refused"})
	s.Run(time.Millisecond)
	s.OnExternal(s.World, id.Node("d0-n0"), event.Reply{Request: one.Arrival.Request, End: true, Problem: &refused})
	if v := strings.Join(s.callers.Violations, "\n"); !strings.Contains(v, "after it was given up") {
		t.Errorf("not noticed: %q", v)
	}
}
