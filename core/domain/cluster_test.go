package domain_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"bluebellflow/core/domain"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/simulation"
)

const (
	// drainBound is the time within which a drain must be known on every reachable node.
	drainBound   = 3 * time.Second
	viewLag      = 1500 * time.Millisecond // between the start or end of a node and the views that show it
	nodes        = 7
	domains      = 3
	timeout      = 10 * time.Second
	shortTimeout = 1200 * time.Millisecond
	maxSteps     = 25
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260103", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// stepper adds the version of the records to messages, as a complete node does.
type stepper struct{ *domain.Domains }

func (s stepper) Versions() (id.Revision, uint64) { return 0, s.Version() }

func (s stepper) record(d id.FailureDomain) domain.Record {
	for _, r := range s.Records() {
		if r.Domain == d {
			return r
		}
	}
	return domain.Record{}
}

// sentCommand is a command and the process that it was sent to.
type sentCommand struct {
	node        id.Node
	incarnation id.Incarnation
	wasUp       bool
	domain      id.FailureDomain
	by          string
	drain       bool
}

// testCluster is a simulation of a few nodes, with the oracles that check them.
type testCluster struct {
	world          *simulation.World
	commands       map[uint64]sentCommand
	answers        map[uint64]event.CommandResult
	winners        map[string]string // operator that won, by domain and epoch
	lastEpoch      map[string]uint64 // last epoch seen, by process and domain
	disturbedUntil map[id.Node]time.Time
	cutDomains     map[id.FailureDomain]bool
	cutUntil       map[id.FailureDomain]time.Time
	checkedDrains  int // number of checks that a drain is known on a reachable node
	violation      string
}

func newCluster(seed uint64, opts ...domain.Option) *testCluster {
	if seed%2 == 1 {
		opts = append(opts, domain.WithTimeout(shortTimeout))
	}
	c := &testCluster{
		world: simulation.New(seed), commands: map[uint64]sentCommand{}, answers: map[uint64]event.CommandResult{}, winners: map[string]string{},
		lastEpoch: map[string]uint64{}, disturbedUntil: map[id.Node]time.Time{},
		cutDomains: map[id.FailureDomain]bool{}, cutUntil: map[id.FailureDomain]time.Time{},
	}
	c.world.OnExternal = func(_ *simulation.World, _ id.Node, a event.Action) {
		if a, ok := a.(event.CommandResult); ok {
			c.handleAnswer(a)
		}
	}
	c.world.OnInternal = func(w *simulation.World, from id.Node, a event.Action) {
		if a, ok := a.(domain.Changed); ok {
			c.handleChanged(w, from, a)
		}
	}
	for i := range nodes {
		self := event.Self{Node: id.Node(fmt.Sprintf("n%d", i)), FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%domains))}
		c.world.Add(self, func(self event.Self) simulation.Stepper { return stepper{domain.New(self, opts...)} })
	}
	c.updateViews(0)
	return c
}

func (c *testCluster) reportViolation(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("%s: ", c.world.Now.Sub(simulation.Epoch)) + fmt.Sprintf(format, args...)
	}
}

func (c *testCluster) handleChanged(w *simulation.World, from id.Node, a domain.Changed) {
	key := string(w.Self(from).Incarnation) + string(a.Domain)
	epoch := w.Stepper(from).(stepper).record(a.Domain).Epoch
	if epoch < c.lastEpoch[key] {
		c.reportViolation("%s went back from epoch %d to %d of %s", from, c.lastEpoch[key], epoch, a.Domain)
	}
	c.lastEpoch[key] = epoch
}

func (c *testCluster) handleAnswer(a event.CommandResult) {
	if _, twice := c.answers[a.Number]; twice {
		c.reportViolation("command %d answered twice", a.Number)
	}
	c.answers[a.Number] = a
	cmd := c.commands[a.Number]
	o, ok := a.Value.(domain.Outcome)
	if !ok {
		return
	}
	if o.Won {
		key := fmt.Sprintf("%s epoch %d", o.Domain, o.Epoch)
		if other, twice := c.winners[key]; twice {
			c.reportViolation("%s and %s were both told that they won %s", other, cmd.by, key)
		}
		c.winners[key] = cmd.by
	}
	if cmd.drain {
		from := c.world.Now
		c.world.AfterFunc(drainBound, func() { c.checkDrainSeen(cmd, o, from) })
	}
}

// checkDrainSeen checks that a drain that was answered at the given time is known on every node that has been reachable
// since.
func (c *testCluster) checkDrainSeen(cmd sentCommand, o domain.Outcome, from time.Time) {
	for _, name := range c.world.Nodes() {
		d, own := c.world.Self(name).FailureDomain, c.world.Self(cmd.node).FailureDomain
		unreachable := d != own && (c.cutDomains[d] || c.cutDomains[own] || c.cutUntil[d].After(from) || c.cutUntil[own].After(from))
		if !c.world.Up(name) || !c.world.Up(cmd.node) || unreachable || c.disturbedUntil[name].After(from) || c.disturbedUntil[cmd.node].After(from) {
			continue
		}
		s := c.world.Stepper(name).(stepper)
		if s.record(cmd.domain).Epoch <= o.Epoch && s.State(c.world.Now, cmd.domain) != domain.Drained {
			c.reportViolation("%s does not see the drain of %s that was answered at %s", name, cmd.domain, from.Sub(simulation.Epoch))
		}
		c.checkedDrains++
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

// sendCommand sends a node a drain or a restore by an operator with a unique name.
func (c *testCluster) sendCommand(to id.Node, d id.FailureDomain, drain bool) uint64 {
	number := uint64(len(c.commands) + 1)
	cmd := sentCommand{to, c.world.Self(to).Incarnation, c.world.Up(to), d, fmt.Sprintf("operator%d", number), drain}
	c.commands[number] = cmd
	if drain {
		c.world.Inject(to, domain.Drain{Command: event.Command{Number: number}, Domain: d, By: cmd.by}, 0)
	} else {
		c.world.Inject(to, domain.Restore{Command: event.Command{Number: number}, Domain: d, By: cmd.by}, 0)
	}
	return number
}

// draw returns a random number below n. It is backed by rapid or by a seeded generator.
type draw func(n int) int

// run plays a random schedule of commands and faults, then heals the cluster and applies the oracles. It returns the
// first violation.
func (c *testCluster) run(d draw) string {
	c.world.Run(time.Second)
	for range 5 + d(maxSteps) {
		c.randomStep(d)
		c.world.Run(time.Duration(1+d(12)*d(12)*8) * time.Millisecond)
	}
	c.clearFaults()
	c.world.Run(timeout + drainBound)
	c.checkConvergence()
	return c.violation
}

// clearFaults ends all faults; nodes that were killed stay down.
func (c *testCluster) clearFaults() {
	c.healCuts()
	c.world.Network.Loss, c.world.Network.Repeat = 0, 0
	p := c.world.Platform
	p.Down, p.LostAnswerRate, p.LostCallRate, p.LateEffectRate, p.WatchGapRate = false, 0, 0, 0, 0
	clear(p.CutDomains)
	c.updateViews(0)
}

// healCuts ends all network partitions.
func (c *testCluster) healCuts() {
	c.world.Heal()
	for d := range c.cutDomains {
		c.cutUntil[d] = c.world.Now
	}
	clear(c.cutDomains)
}

// checkConvergence checks that all nodes have the same records and none is provisional, that every command to a live
// node was answered, and that refused commands had no effect. It is called after the cluster was healed and has settled.
func (c *testCluster) checkConvergence() {
	var first []domain.Record
	for _, name := range c.world.Nodes() {
		s := c.world.Stepper(name).(stepper)
		if !c.world.Up(name) {
			continue
		}
		if first == nil {
			first = s.Records()
		}
		if !s.Ready() || fmt.Sprint(first) != fmt.Sprint(s.Records()) {
			c.reportViolation("%s knows %v, another node %v", name, s.Records(), first)
		}
		for _, r := range s.Records() {
			if r.Provisional {
				c.reportViolation("%s still has the provisional %v", name, r)
			}
		}
	}
	var history strings.Builder
	for _, o := range c.world.Platform.History["domains"] {
		history.Write(o.Value)
	}
	for number, cmd := range c.commands {
		a, ok := c.answers[number]
		switch {
		case !ok && cmd.wasUp && c.world.Up(cmd.node) && c.world.Self(cmd.node).Incarnation == cmd.incarnation:
			c.reportViolation("command %d has no answer", number)
		case ok && a.Fault != nil && a.Fault.Kind == event.ProblemRefused && mentions(history.String(), cmd.by):
			c.reportViolation("command %d was answered %q and had an effect", number, a.Fault.Detail)
		}
	}
}

// randomStep sends random commands or applies a random fault.
func (c *testCluster) randomStep(d draw) {
	w := c.world
	node := w.Nodes()[d(len(w.Nodes()))]
	own := w.Self(node).FailureDomain
	target := id.FailureDomain(fmt.Sprintf("d%d", d(domains)))
	p := w.Platform
	switch d(17) {
	case 0, 1, 2, 3:
		c.sendCommand(node, target, true)
	case 4, 5:
		c.sendCommand(node, target, false)
	case 6:
		c.sendCommand(node, target, d(2) == 0)
		c.sendCommand(w.Nodes()[d(len(w.Nodes()))], target, d(2) == 0)
	case 7:
		if w.Up(node) {
			w.Kill(node)
		} else {
			w.Start(node)
		}
		c.disturbedUntil[node] = w.Now.Add(time.Nanosecond)
		c.updateViews(viewLag)
	case 8:
		pause := time.Duration(d(2000)) * time.Millisecond
		w.Freeze(node, pause)
		c.disturbedUntil[node] = w.Now.Add(pause)
	case 9, 10:
		w.PartitionDomain(own)
		c.cutDomains[own] = true
	case 11:
		c.healCuts()
	case 12:
		p.Down = !p.Down
	case 13:
		if p.CutDomains.Has(own) {
			p.CutDomains.Delete(own)
		} else {
			p.CutDomains.Add(own)
		}
	case 14:
		p.LostAnswerRate, p.LateEffectRate, p.LostCallRate = float64(d(4))/4, float64(d(4))/8, float64(d(3))/8
	case 15:
		p.WatchGapRate = float64(d(3)) / 2
	case 16:
		w.Network.Loss, w.Network.Repeat = float64(d(4))/8, float64(d(3))/4
	}
}
