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
	// propagationBound is the time within which a committed change must reach every node.
	propagationBound = 2 * time.Second
	viewLag          = 1500 * time.Millisecond // between the start or end of a node and the views that show it
	nodes            = 7
	domains          = 3
	timeout          = 10 * time.Second
	// shortTimeout is close to the time after which the simulated platform reports an unknown outcome.
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

// stepper adds the revision to messages, as a complete node does.
type stepper struct{ *config.Config }

func (s stepper) Versions() (id.Revision, uint64) { return s.Revision(), 0 }

// recipient is the process that a command was sent to.
type recipient struct {
	node        id.Node
	incarnation id.Incarnation
	wasUp       bool
}

// testCluster is a simulation of a few nodes, with the oracles that check them.
type testCluster struct {
	world        *simulation.World
	lastNumber   uint64
	workspaces   map[uint64]string // name of the workspace that a change adds, by command number
	recipients   map[uint64]recipient
	answers      map[uint64]event.CommandResult
	lastRevision map[id.Node]id.Revision
	incarnations map[id.Node]id.Incarnation
	everInForce  id.Set[string] // workspaces that were ever in force on a node
	violation    string
}

func newCluster(seed uint64, opts ...config.Option) *testCluster {
	if seed%2 == 1 {
		// With a short timeout, changes expire while their update is in flight or its outcome is unknown.
		opts = append(opts, config.WithTimeout(shortTimeout))
	}
	c := &testCluster{
		world: simulation.New(seed), workspaces: map[uint64]string{}, answers: map[uint64]event.CommandResult{}, recipients: map[uint64]recipient{},
		lastRevision: map[id.Node]id.Revision{}, incarnations: map[id.Node]id.Incarnation{}, everInForce: id.NewSet[string](),
	}
	c.world.OnExternal = func(_ *simulation.World, _ id.Node, a event.Action) {
		if a, ok := a.(event.CommandResult); ok {
			if _, twice := c.answers[a.Number]; twice {
				c.reportViolation("command %d answered twice", a.Number)
			}
			c.answers[a.Number] = a
		}
	}
	c.world.OnInternal = func(w *simulation.World, from id.Node, a event.Action) {
		if a, ok := a.(config.Changed); ok {
			c.handleChanged(from, w.Self(from).Incarnation, a)
		}
	}
	for i := range nodes {
		self := event.Self{Node: id.Node(fmt.Sprintf("n%d", i)), FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%domains))}
		c.world.Add(self, func(self event.Self) simulation.Stepper { return stepper{config.New(self, opts...)} })
	}
	c.updateViews(0)
	return c
}

func (c *testCluster) reportViolation(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("%s: ", c.world.Now.Sub(simulation.Epoch)) + fmt.Sprintf(format, args...)
	}
}

func (c *testCluster) handleChanged(node id.Node, incarnation id.Incarnation, a config.Changed) {
	if c.incarnations[node] == incarnation && a.Revision < c.lastRevision[node] {
		c.reportViolation("%s went back from revision %d to %d", node, c.lastRevision[node], a.Revision)
	}
	c.incarnations[node], c.lastRevision[node] = incarnation, a.Revision
	for _, workspace := range c.workspaces {
		if a.Tree.HasWorkspace(id.Workspace(workspace)) {
			c.everInForce.Add(workspace)
		}
	}
}

// updateViews gives all live nodes a view of the live nodes after the given delay.
func (c *testCluster) updateViews(after time.Duration) {
	c.world.AfterFunc(after, func() {
		view := &member.View{}
		for _, name := range c.world.Nodes() {
			if c.world.Up(name) {
				view.Nodes = append(view.Nodes, member.Node{ID: name, FailureDomain: c.world.Self(name).FailureDomain})
			}
		}
		for _, n := range view.Nodes {
			c.world.Inject(n.ID, member.ViewChanged{View: view}, 0)
		}
	})
}

// apply sends a node a change that adds a workspace with a unique name.
func (c *testCluster) apply(to id.Node, a config.Apply) uint64 {
	c.lastNumber++
	a.Number = c.lastNumber
	workspace := fmt.Sprintf("c%d", c.lastNumber)
	c.workspaces[c.lastNumber] = workspace
	if a.Workspace != "" {
		a.Workspace, a.Source = id.Workspace(workspace), []byte(`{"weight":2}`)
	} else {
		a.Source = fmt.Appendf(nil, `{"root":{"limit":%d},"workspaces":{%q:{}}}`, c.lastNumber, workspace)
	}
	c.world.Inject(to, a, 0)
	c.recipients[c.lastNumber] = recipient{to, c.world.Self(to).Incarnation, c.world.Up(to)}
	return c.lastNumber
}

// checkAnswers compares the answers with what was committed and what came into force. It is called after all faults have
// ended and all commands have been answered.
func (c *testCluster) checkAnswers() {
	for number, a := range c.answers {
		workspace := c.workspaces[number]
		if v, ok := a.Value.(config.Applied); ok && !bytes.Contains(c.world.Platform.Objects["config/head"].Value, []byte(v.Change)) {
			c.reportViolation("command %d was answered as revision %d, but the platform has no such change", number, v.Revision)
		}
		if a.Fault != nil && a.Fault.Kind != event.ProblemUnknown && c.everInForce.Has(workspace) {
			c.reportViolation("command %d was answered %q and was in force", number, a.Fault.Detail)
		}
	}
}

// checkPropagation checks that every live node has at least the newest revision that was answered as committed.
func (c *testCluster) checkPropagation() {
	var newest id.Revision
	for _, a := range c.answers {
		if v, ok := a.Value.(config.Applied); ok {
			newest = max(newest, v.Revision)
		}
	}
	for _, name := range c.world.Nodes() {
		if s := c.world.Stepper(name).(stepper); c.world.Up(name) && s.Revision() < newest {
			c.reportViolation("%s is at revision %d, %d was committed", name, s.Revision(), newest)
		}
	}
}

// draw returns a random number below n. It is backed by rapid or by a seeded generator.
type draw func(n int) int

// run plays a random schedule of changes and faults, then heals the cluster and applies the oracles. It returns the
// first violation.
func (c *testCluster) run(d draw) string {
	c.world.Run(time.Second)
	for range 5 + d(maxSteps) {
		c.randomStep(d)
		c.world.Run(time.Duration(1+d(12)*d(12)*8) * time.Millisecond)
	}
	c.clearFaults()
	c.world.Run(propagationBound)
	c.checkPropagation()
	c.world.Run(timeout + 2*time.Second)
	for number, to := range c.recipients {
		if _, ok := c.answers[number]; !ok && to.wasUp && c.world.Up(to.node) && c.world.Self(to.node).Incarnation == to.incarnation {
			c.reportViolation("command %d has no answer", number)
		}
	}
	c.checkPropagation()
	c.checkAnswers()
	return c.violation
}

// clearFaults ends all faults; nodes that were killed stay down.
func (c *testCluster) clearFaults() {
	c.world.Heal()
	c.world.Network.Loss, c.world.Network.Repeat = 0, 0
	p := c.world.Platform
	p.Down, p.LostAnswerRate, p.LostCallRate, p.LateEffectRate, p.WatchGapRate = false, 0, 0, 0, 0
	clear(p.CutDomains)
	for _, name := range c.world.Nodes() {
		c.world.Freeze(name, 0)
	}
	c.updateViews(0)
}

// randomStep applies a random change or fault.
func (c *testCluster) randomStep(d draw) {
	w := c.world
	node := w.Nodes()[d(len(w.Nodes()))]
	domain := w.Self(node).FailureDomain
	p := w.Platform
	switch d(16) {
	case 0, 1, 2:
		c.apply(node, config.Apply{})
	case 3, 4, 5:
		c.apply(node, config.Apply{Workspace: "one"})
	case 6:
		c.apply(node, config.Apply{Expect: w.Stepper(node).(stepper).Revision()})
	case 7:
		if w.Up(node) {
			w.Kill(node)
		} else {
			w.Start(node)
		}
		c.updateViews(viewLag)
	case 8:
		w.Freeze(node, time.Duration(d(2000))*time.Millisecond)
	case 9:
		w.PartitionDomain(domain)
	case 10:
		w.Heal()
	case 11:
		p.Down = !p.Down
	case 12:
		if p.CutDomains.Has(domain) {
			p.CutDomains.Delete(domain)
		} else {
			p.CutDomains.Add(domain)
		}
	case 13:
		p.LostAnswerRate, p.LateEffectRate, p.LostCallRate = float64(d(4))/4, float64(d(4))/8, float64(d(3))/8
	case 14:
		p.WatchGapRate = float64(d(3)) / 2
	case 15:
		w.Network.Loss, w.Network.Repeat = float64(d(4))/8, float64(d(3))/4
	}
}
