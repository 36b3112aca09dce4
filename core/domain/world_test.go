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
	// drainBound is the bound for a drain to be seen on every reachable node.
	drainBound   = 3 * time.Second
	viewLag      = 1500 * time.Millisecond
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

// stepper stamps messages with the version of the records, as a whole node does.
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

// sentCommand is a command and the process that got it.
type sentCommand struct {
	node        id.Node
	incarnation id.Incarnation
	wasUp       bool
	domain      id.FailureDomain
	by          string
	drain       bool
}

// testCluster is a few nodes in a world, and the oracles over them.
type testCluster struct {
	w              *simulation.World
	commands       map[uint64]sentCommand
	answers        map[uint64]event.CommandResult
	winners        map[string]string // operator by domain and epoch
	lastEpoch      map[string]uint64 // by process and domain
	disturbedUntil map[id.Node]time.Time
	cutDomains     map[id.FailureDomain]bool
	cutUntil       map[id.FailureDomain]time.Time
	checkedDrains  int // drains whose bound was checked on another node
	violation      string
}

func newCluster(seed uint64, opts ...domain.Option) *testCluster {
	if seed%2 == 1 {
		opts = append(opts, domain.WithTimeout(shortTimeout))
	}
	f := &testCluster{
		w: simulation.New(seed), commands: map[uint64]sentCommand{}, answers: map[uint64]event.CommandResult{}, winners: map[string]string{},
		lastEpoch: map[string]uint64{}, disturbedUntil: map[id.Node]time.Time{},
		cutDomains: map[id.FailureDomain]bool{}, cutUntil: map[id.FailureDomain]time.Time{},
	}
	f.w.Outside = func(_ *simulation.World, _ id.Node, a event.Action) {
		if a, ok := a.(event.CommandResult); ok {
			f.handleAnswer(a)
		}
	}
	f.w.Watch = func(w *simulation.World, from id.Node, a event.Action) {
		if a, ok := a.(domain.Changed); ok {
			f.handleChanged(w, from, a)
		}
	}
	for i := range nodes {
		self := event.Self{Node: id.Node(fmt.Sprintf("n%d", i)), FailureDomain: id.FailureDomain(fmt.Sprintf("d%d", i%domains))}
		f.w.Add(self, func(self event.Self) simulation.Stepper { return stepper{domain.New(self, opts...)} })
	}
	f.updateViews(0)
	return f
}

func (f *testCluster) reportViolation(format string, args ...any) {
	if f.violation == "" {
		f.violation = fmt.Sprintf("%s: ", f.w.Now.Sub(simulation.Epoch)) + fmt.Sprintf(format, args...)
	}
}

func (f *testCluster) handleChanged(w *simulation.World, from id.Node, a domain.Changed) {
	key := string(w.Self(from).Incarnation) + string(a.Domain)
	epoch := w.Stepper(from).(stepper).record(a.Domain).Epoch
	if epoch < f.lastEpoch[key] {
		f.reportViolation("%s went back from epoch %d to %d of %s", from, f.lastEpoch[key], epoch, a.Domain)
	}
	f.lastEpoch[key] = epoch
}

func (f *testCluster) handleAnswer(a event.CommandResult) {
	if _, twice := f.answers[a.Number]; twice {
		f.reportViolation("command %d answered twice", a.Number)
	}
	f.answers[a.Number] = a
	cmd := f.commands[a.Number]
	o, ok := a.Value.(domain.Outcome)
	if !ok {
		return
	}
	if o.Won {
		key := fmt.Sprintf("%s epoch %d", o.Domain, o.Epoch)
		if other, twice := f.winners[key]; twice {
			f.reportViolation("%s and %s were both told that they won %s", other, cmd.by, key)
		}
		f.winners[key] = cmd.by
	}
	if cmd.drain {
		from := f.w.Now
		f.w.At(drainBound, func() { f.checkDrainSeen(cmd, o, from) })
	}
}

// checkDrainSeen checks that a drain that was answered some time ago is seen on every node that was reachable since.
func (f *testCluster) checkDrainSeen(cmd sentCommand, o domain.Outcome, from time.Time) {
	for _, name := range f.w.Names() {
		d, own := f.w.Self(name).FailureDomain, f.w.Self(cmd.node).FailureDomain
		separated := d != own && (f.cutDomains[d] || f.cutDomains[own] || f.cutUntil[d].After(from) || f.cutUntil[own].After(from))
		if !f.w.Up(name) || !f.w.Up(cmd.node) || separated || f.disturbedUntil[name].After(from) || f.disturbedUntil[cmd.node].After(from) {
			continue
		}
		s := f.w.Stepper(name).(stepper)
		if s.record(cmd.domain).Epoch <= o.Epoch && s.State(f.w.Now, cmd.domain) != domain.Drained {
			f.reportViolation("%s does not see the drain of %s that was answered at %s", name, cmd.domain, from.Sub(simulation.Epoch))
		}
		f.checkedDrains++
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

func (f *testCluster) sendCommand(to id.Node, d id.FailureDomain, drain bool) uint64 {
	number := uint64(len(f.commands) + 1)
	cmd := sentCommand{to, f.w.Self(to).Incarnation, f.w.Up(to), d, fmt.Sprintf("operator%d", number), drain}
	f.commands[number] = cmd
	if drain {
		f.w.Inject(to, domain.Drain{Command: event.Command{Number: number}, Domain: d, By: cmd.by}, 0)
	} else {
		f.w.Inject(to, domain.Restore{Command: event.Command{Number: number}, Domain: d, By: cmd.by}, 0)
	}
	return number
}

// draw returns a number below n; rapid and plain seeds both provide it.
type draw func(n int) int

// run runs a drawn schedule of commands and faults, then heals everything and applies the oracles.
func (f *testCluster) run(d draw) string {
	f.w.Run(time.Second)
	for range 5 + d(maxSteps) {
		f.randomStep(d)
		f.w.Run(time.Duration(1+d(12)*d(12)*8) * time.Millisecond)
	}
	f.heal()
	f.w.Run(timeout + drainBound)
	f.checkConvergence()
	return f.violation
}

func (f *testCluster) heal() {
	f.healCuts()
	f.w.Network.Loss, f.w.Network.Repeat = 0, 0
	p := f.w.Platform
	p.Down, p.LoseAnswer, p.LoseCall, p.LateEffect, p.WatchGap = false, 0, 0, 0, 0
	clear(p.Cut)
	f.updateViews(0)
}

func (f *testCluster) healCuts() {
	f.w.Heal()
	for d := range f.cutDomains {
		f.cutUntil[d] = f.w.Now
	}
	clear(f.cutDomains)
}

// checkConvergence checks, when nothing is cut and all is settled, that all nodes know what the platform knows, that every
// command has one answer, and that commands that were refused had no effect.
func (f *testCluster) checkConvergence() {
	var first []domain.Record
	for _, name := range f.w.Names() {
		s := f.w.Stepper(name).(stepper)
		if !f.w.Up(name) {
			continue
		}
		if first == nil {
			first = s.Records()
		}
		if !s.Ready() || fmt.Sprint(first) != fmt.Sprint(s.Records()) {
			f.reportViolation("%s knows %v, another node %v", name, s.Records(), first)
		}
		for _, r := range s.Records() {
			if r.Provisional {
				f.reportViolation("%s still has the provisional %v", name, r)
			}
		}
	}
	var history strings.Builder
	for _, o := range f.w.Platform.History["domains"] {
		history.Write(o.Value)
	}
	for number, cmd := range f.commands {
		a, ok := f.answers[number]
		switch {
		case !ok && cmd.wasUp && f.w.Up(cmd.node) && f.w.Self(cmd.node).Incarnation == cmd.incarnation:
			f.reportViolation("command %d has no answer", number)
		case ok && a.Fault != nil && a.Fault.Kind == event.ProblemRefused && mentions(history.String(), cmd.by):
			f.reportViolation("command %d was answered %q and had an effect", number, a.Fault.Detail)
		}
	}
}

func (f *testCluster) randomStep(d draw) {
	w := f.w
	node := w.Names()[d(len(w.Names()))]
	own := w.Self(node).FailureDomain
	target := id.FailureDomain(fmt.Sprintf("d%d", d(domains)))
	p := w.Platform
	switch d(17) {
	case 0, 1, 2, 3:
		f.sendCommand(node, target, true)
	case 4, 5:
		f.sendCommand(node, target, false)
	case 6:
		f.sendCommand(node, target, d(2) == 0)
		f.sendCommand(w.Names()[d(len(w.Names()))], target, d(2) == 0)
	case 7:
		if w.Up(node) {
			w.Kill(node)
		} else {
			w.Start(node)
		}
		f.disturbedUntil[node] = w.Now.Add(time.Nanosecond)
		f.updateViews(viewLag)
	case 8:
		pause := time.Duration(d(2000)) * time.Millisecond
		w.Freeze(node, pause)
		f.disturbedUntil[node] = w.Now.Add(pause)
	case 9, 10:
		w.CutDomain(own)
		f.cutDomains[own] = true
	case 11:
		f.healCuts()
	case 12:
		p.Down = !p.Down
	case 13:
		if p.Cut.Has(own) {
			p.Cut.Delete(own)
		} else {
			p.Cut.Add(own)
		}
	case 14:
		p.LoseAnswer, p.LateEffect, p.LoseCall = float64(d(4))/4, float64(d(4))/8, float64(d(3))/8
	case 15:
		p.WatchGap = float64(d(3)) / 2
	case 16:
		w.Network.Loss, w.Network.Repeat = float64(d(4))/8, float64(d(3))/4
	}
}
