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

// TestOraclesDetectDisabledMechanisms guards against oracles that miss violations: if one mechanism of the nodes is
// disabled, a cell with a fixed seed must report a violation.
func TestOraclesDetectDisabledMechanisms(t *testing.T) {
	without := func(opts ...node.Option) []node.Option { return opts }
	none := func(*system) {}
	cutDomain := func(s *system) { s.Platform.CutDomains.Add("d2") }
	for _, c := range []struct {
		name    string
		opts    []node.Option
		first   string        // name of the first fault of the cells to run, empty to run without faults
		prepare func(*system) // begins a condition that lasts until all faults end
		want    string
	}{
		{"revision decreases", without(node.WithConfig(config.WithoutRevisionFloor())), "platform late effects", none, "went back from revision"},
		{"drain not gossiped", without(node.WithDomain(domain.WithoutGossip())), "", cutDomain, "whose domain was drained"},
		{"leaving markers ignored", without(node.WithRoute(route.WithoutLeavingMarkers())), "", none, "which left"},
		{"overload", without(node.WithRoute(route.WithBaselines(string(permit.NoPermit)))), "", none, "more than it can handle"},
		{"crash counts not gossiped", without(node.WithQuarantine(quarantine.WithoutGossip())), "", none, "one request's content crashed"},
		{"key runs twice", without(node.WithClaim(claim.WithReclaim())), "node killed", none, "took effect 2 times"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			expectViolation(t, c.want, c.first, c.prepare, c.opts)
		})
	}
}

// expectViolation runs cells in a fixed order until an oracle reports the violation.
func expectViolation(t *testing.T, want, first string, prepare func(*system), opts []node.Option) {
	const maxCells = 40
	tried := 0
	for _, c := range allCells() {
		if first != "" && (c.second >= 0 || faults[c.fault].name != first) {
			continue
		}
		if tried++; tried > maxCells {
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

// TestOracleDetectsDivergence guards against an oracle that misses nodes with different state after healing.
func TestOracleDetectsDivergence(t *testing.T) {
	s := newSystem(1)
	s.runScenario()
	for _, cmd := range s.oracle.commands {
		if len(cmd.results) == 1 && cmd.to == "d0-n0" {
			switch v := cmd.results[0].Value.(type) {
			case node.Configuration:
				v.Revision--
				cmd.results[0].Value = v
			case node.Report:
				v.Domains = nil
				cmd.results[0].Value = v
			}
		}
	}
	found := strings.Join(s.check(), "\n")
	for _, want := range []string{"nodes differ in their revision", "was accepted", "nodes differ in the domain records"} {
		if !strings.Contains(found, want) {
			t.Errorf("not detected: %s\n%s", want, found)
		}
	}
}

// mutant changes the actions of a node, to simulate faults that no option causes.
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

// mutantSeeds limits the runs in which a mutant must be detected.
const mutantSeeds = 8

// runMutant runs the scenario with mutants and returns the first violation that contains a text, or an empty string.
func runMutant(seed uint64, bend func(event.Action) []event.Action, want string) string {
	s := newSystemBuiltBy(seed, func(self event.Self) simulation.Stepper { return mutant{node.New(self), bend} })
	for _, server := range s.backends.Servers {
		if server.VM.Pool == "loans" {
			server.LostAnswerRate = 0.1
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

// TestOraclesDetectMutatedActions guards against oracles that miss wrong actions of a node.
func TestOraclesDetectMutatedActions(t *testing.T) {
	finalReply := func(a event.Action) (event.Reply, bool) {
		r, ok := a.(event.Reply)
		return r, ok && r.End
	}
	for _, c := range []struct {
		name, want string
		bend       func(event.Action) []event.Action
	}{
		{"answer twice", "reply after the end of the answer", func(a event.Action) []event.Action {
			if _, ok := finalReply(a); ok {
				return []event.Action{a, a}
			}
			return []event.Action{a}
		}},
		{"answer lost", "no answer by its deadline", func(a event.Action) []event.Action {
			if r, ok := finalReply(a); ok && r.Problem == nil {
				return nil
			}
			return []event.Action{a}
		}},
		{"output lost", "answer", func(a event.Action) []event.Action {
			if r, ok := a.(event.Reply); ok && !r.End {
				return nil
			}
			return []event.Action{a}
		}},
		{"wrong request", "that it never received", func(a event.Action) []event.Action {
			if r, ok := finalReply(a); ok {
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
		{"unknown reported as refused", "refused as not run", func(a event.Action) []event.Action {
			if r, ok := finalReply(a); ok && r.Problem != nil && r.Problem.Kind == event.ProblemUnknown {
				r.Problem = &event.Problem{Kind: event.ProblemRefused}
				return []event.Action{r}
			}
			return []event.Action{a}
		}},
		{"stop without exit", "got Stop but did not exit", func(a event.Action) []event.Action {
			if _, ok := a.(event.Exit); ok {
				return nil
			}
			return []event.Action{a}
		}},
		{"stop interrupts requests", "interrupted by the graceful stop", func(a event.Action) []event.Action {
			if r, ok := a.(event.Readiness); ok && !r.Ready {
				return []event.Action{a, event.Exit{}}
			}
			return []event.Action{a}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			// The seed decides, for instance, whether a request is open when a node gets Stop.
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

// TestOracleDetectsDelayedAnswer guards against an oracle that misses an answer sent late after the node gave up the
// request.
func TestOracleDetectsDelayedAnswer(t *testing.T) {
	s := newSystem(1)
	req := s.callers.Send("d0-n0", event.RequestArrived{Workspace: "north", Pipeline: "answer", Body: []byte("x")})
	refused := event.Problem{Kind: event.ProblemRefused}
	s.OnExternal(s.World, "d0-n0", event.Log{Kind: "answer", Request: req.Arrival.Request, Choice: "refused"})
	s.Run(time.Millisecond)
	s.OnExternal(s.World, id.Node("d0-n0"), event.Reply{Request: req.Arrival.Request, End: true, Problem: &refused})
	if v := strings.Join(s.callers.Violations, "\n"); !strings.Contains(v, "after it was given up") {
		t.Errorf("not detected: %q", v)
	}
}
