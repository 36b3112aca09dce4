package config_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"bluebellflow/core/config"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/simulation"
)

const (
	// propagationBound is the bound for a committed change to reach every node.
	propagationBound = 2 * time.Second
	viewLag          = 1500 * time.Millisecond
	nodes            = 7
	domains          = 3
	timeout          = 10 * time.Second
	// shortTimeout is near the time after which the platform's answers count as lost.
	shortTimeout = 1200 * time.Millisecond
	maxSteps     = 25
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260102", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// stepper stamps messages with the revision, as a whole node does.
type stepper struct{ *config.Config }

func (s stepper) Versions() (id.Revision, uint64) { return s.Revision(), 0 }

// recipient is the process that got a command.
type recipient struct {
	node        id.Node
	incarnation id.Incarnation
	wasUp       bool
}

// testCluster is a few nodes in a world, and the oracles over them.
type testCluster struct {
	w            *simulation.World
	lastNumber   uint64
	workspaces   map[uint64]string // a value that only this change sets, by command number
	recipients   map[uint64]recipient
	answers      map[uint64]event.CommandResult
	lastRevision map[id.Node]id.Revision
	incarnations map[id.Node]id.Incarnation
	everInForce  id.Set[string] // values that were ever in force on a node
	violation    string
}

func newCluster(seed uint64, opts ...config.Option) *testCluster {
	if seed%2 == 1 {
		// A short timeout makes changes end while their update is lost or in flight.
		opts = append(opts, config.WithTimeout(shortTimeout))
	}
	f := &testCluster{
		w: simulation.New(seed), workspaces: map[uint64]string{}, answers: map[uint64]event.CommandResult{}, recipients: map[uint64]recipient{},
		lastRevision: map[id.Node]id.Revision{}, incarnations: map[id.Node]id.Incarnation{}, everInForce: id.NewSet[string](),
	}
	f.w.Outside = func(_ *simulation.World, _ id.Node, a event.Action) {
		if a, ok := a.(event.CommandResult); ok {
			if _, twice := f.answers[a.Number]; twice {
				f.reportViolation("command %d answered twice", a.Number)
			}
			f.answers[a.Number] = a
		}
	}
	f.w.Watch = func(w *simulation.World, from id.Node, a event.Action) {
		if a, ok := a.(config.Changed); ok {
			f.handleChanged(from, w.Self(from).Incarnation, a)
		}
	}
	for i := range nodes {
		self := event.Self{Node: id.Node(fmt.Sprintf("n%d", i)), FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%domains))}
		f.w.Add(self, func(self event.Self) simulation.Stepper { return stepper{config.New(self, opts...)} })
	}
	f.updateViews(0)
	return f
}

func (f *testCluster) reportViolation(format string, args ...any) {
	if f.violation == "" {
		f.violation = fmt.Sprintf("%s: ", f.w.Now.Sub(simulation.Epoch)) + fmt.Sprintf(format, args...)
	}
}

func (f *testCluster) handleChanged(node id.Node, life id.Incarnation, a config.Changed) {
	if f.incarnations[node] == life && a.Revision < f.lastRevision[node] {
		f.reportViolation("%s went back from revision %d to %d", node, f.lastRevision[node], a.Revision)
	}
	f.incarnations[node], f.lastRevision[node] = life, a.Revision
	for _, value := range f.workspaces {
		if a.Tree.HasWorkspace(id.Workspace(value)) {
			f.everInForce.Add(value)
		}
	}
}

// updateViews tells all live nodes which nodes live, some time after it changed.
func (f *testCluster) updateViews(after time.Duration) {
	f.w.At(after, func() {
		view := &member.View{}
		for _, name := range f.w.Names() {
			if f.w.Up(name) {
				view.Nodes = append(view.Nodes, member.Node{ID: name, FailureDomain: f.w.Self(name).FailureDomain})
			}
		}
		for _, n := range view.Nodes {
			f.w.Inject(n.ID, member.ViewChanged{View: view}, 0)
		}
	})
}

// apply asks a node for a change that adds a workspace with a name of its own.
func (f *testCluster) apply(to id.Node, a config.Apply) uint64 {
	f.lastNumber++
	a.Number = f.lastNumber
	value := fmt.Sprintf("c%d", f.lastNumber)
	f.workspaces[f.lastNumber] = value
	if a.Workspace != "" {
		a.Workspace, a.Source = id.Workspace(value), []byte(`{"weight":2}`)
	} else {
		a.Source = fmt.Appendf(nil, `{"root":{"limit":%d},"workspaces":{%q:{}}}`, f.lastNumber, value)
	}
	f.w.Inject(to, a, 0)
	f.recipients[f.lastNumber] = recipient{to, f.w.Self(to).Incarnation, f.w.Up(to)}
	return f.lastNumber
}

// checkAnswers is called when nothing is cut any more and no command is open.
func (f *testCluster) checkAnswers() {
	for number, a := range f.answers {
		value := f.workspaces[number]
		if v, ok := a.Value.(config.Applied); ok && !bytes.Contains(f.w.Platform.Objects["config/head"].Value, []byte(v.Change)) {
			f.reportViolation("command %d was answered as revision %d, but the platform has no such change", number, v.Revision)
		}
		if a.Fault != nil && a.Fault.Kind != event.ProblemUnknown && f.everInForce.Has(value) {
			f.reportViolation("command %d was answered %q and was in force", number, a.Fault.Detail)
		}
	}
}

// checkPropagation checks that every live node is at least at the newest revision that was answered as committed.
func (f *testCluster) checkPropagation() {
	var newest id.Revision
	for _, a := range f.answers {
		if v, ok := a.Value.(config.Applied); ok {
			newest = max(newest, v.Revision)
		}
	}
	for _, name := range f.w.Names() {
		if c := f.w.Stepper(name).(stepper); f.w.Up(name) && c.Revision() < newest {
			f.reportViolation("%s is at revision %d, %d was committed", name, c.Revision(), newest)
		}
	}
}

// draw returns a number below n; rapid and plain seeds both provide it.
type draw func(n int) int

// run runs a drawn schedule of changes and faults, then heals everything and applies the oracles.
func (f *testCluster) run(d draw) string {
	f.w.Run(time.Second)
	for range 5 + d(maxSteps) {
		f.randomStep(d)
		f.w.Run(time.Duration(1+d(12)*d(12)*8) * time.Millisecond)
	}
	f.heal()
	f.w.Run(propagationBound)
	f.checkPropagation()
	f.w.Run(timeout + 2*time.Second)
	for number, of := range f.recipients {
		if _, ok := f.answers[number]; !ok && of.wasUp && f.w.Up(of.node) && f.w.Self(of.node).Incarnation == of.incarnation {
			f.reportViolation("command %d has no answer", number)
		}
	}
	f.checkPropagation()
	f.checkAnswers()
	return f.violation
}

func (f *testCluster) heal() {
	f.w.Heal()
	f.w.Network.Loss, f.w.Network.Repeat = 0, 0
	p := f.w.Platform
	p.Down, p.LoseAnswer, p.LoseCall, p.LateEffect, p.WatchGap = false, 0, 0, 0, 0
	clear(p.Cut)
	for _, name := range f.w.Names() {
		f.w.Freeze(name, 0)
	}
	f.updateViews(0)
}

func (f *testCluster) randomStep(d draw) {
	w := f.w
	node := w.Names()[d(len(w.Names()))]
	domain := w.Self(node).FailureDomain
	p := w.Platform
	switch d(16) {
	case 0, 1, 2:
		f.apply(node, config.Apply{})
	case 3, 4, 5:
		f.apply(node, config.Apply{Workspace: "one"})
	case 6:
		f.apply(node, config.Apply{Expect: w.Stepper(node).(stepper).Revision()})
	case 7:
		if w.Up(node) {
			w.Kill(node)
		} else {
			w.Start(node)
		}
		f.updateViews(viewLag)
	case 8:
		w.Freeze(node, time.Duration(d(2000))*time.Millisecond)
	case 9:
		w.CutDomain(domain)
	case 10:
		w.Heal()
	case 11:
		p.Down = !p.Down
	case 12:
		if p.Cut.Has(domain) {
			p.Cut.Delete(domain)
		} else {
			p.Cut.Add(domain)
		}
	case 13:
		p.LoseAnswer, p.LateEffect, p.LoseCall = float64(d(4))/4, float64(d(4))/8, float64(d(3))/8
	case 14:
		p.WatchGap = float64(d(3)) / 2
	case 15:
		w.Network.Loss, w.Network.Repeat = float64(d(4))/8, float64(d(3))/4
	}
}
