package node_test

import (
	"fmt"
	"slices"
	"time"

	"bluebellflow/core/config"
	"bluebellflow/core/domain"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/node"
	"bluebellflow/core/settings"
	"bluebellflow/core/simulation"
)

const (
	propagationBound = 3 * time.Second // after a drain or a leaving sign no server gets new work
	replyTolerance   = 100 * time.Millisecond
	resumeTolerance  = 50 * time.Millisecond // a process that wakes first handles the events of its pause
)

// oracle are the oracles of what callers do not see.
type oracle struct {
	system          *system
	violations      []string
	unreadySince    map[id.Node]time.Time
	stopGenerations map[id.Node]uint64 // life of a process that was told to stop
	commands        map[uint64]*issuedCommand
	revisions       map[id.Node][2]uint64 // life and newest revision
	drained         map[id.FailureDomain]drainRecord
	pendingRestores map[id.FailureDomain]int // restores without an answer
	leavingSince    map[id.Server]time.Time
	separated       map[id.Node]time.Time // last time at which a node was cut off from others, frozen or not running
}

// issuedCommand is an operator's command.
type issuedCommand struct {
	to         id.Node
	generation uint64
	command    event.Event
	results    []event.CommandResult
}

type drainRecord struct {
	at time.Time
	by id.Node
}

func newOracle(s *system) *oracle {
	b := &oracle{
		system: s, unreadySince: map[id.Node]time.Time{}, stopGenerations: map[id.Node]uint64{}, commands: map[uint64]*issuedCommand{},
		revisions: map[id.Node][2]uint64{}, drained: map[id.FailureDomain]drainRecord{},
		pendingRestores: map[id.FailureDomain]int{}, leavingSince: map[id.Server]time.Time{}, separated: map[id.Node]time.Time{},
	}
	outside := s.OnExternal
	s.OnExternal = func(w *simulation.World, from id.Node, a event.Action) {
		b.observe(from, a)
		outside(w, from, a)
	}
	return b
}

func (b *oracle) violate(format string, args ...any) {
	b.violations = append(b.violations, fmt.Sprintf("%s ", b.system.Now.Sub(simulation.Epoch))+fmt.Sprintf(format, args...))
}

func (b *oracle) observe(from id.Node, a event.Action) {
	b.checkRevision(from)
	switch a := a.(type) {
	case event.Readiness:
		delete(b.unreadySince, from)
		if !a.Ready {
			b.unreadySince[from] = b.system.Now
		}
	case event.CommandResult:
		b.checkResult(from, a)
	case event.Dispatch:
		b.checkDispatch(from, a)
	}
}

// checkRevision: the revision of a process never falls.
func (b *oracle) checkRevision(from id.Node) {
	revision, _ := b.system.Stepper(from).(simulation.VersionReporter).Versions()
	old, life := b.revisions[from], b.system.Generation(from)
	if old[0] == life && uint64(revision) < old[1] {
		b.violate("%s went back from revision %d to %d", from, old[1], revision)
	}
	b.revisions[from] = [2]uint64{life, uint64(revision)}
}

func (b *oracle) recordCommand(to id.Node, number uint64, command event.Event) {
	b.commands[number] = &issuedCommand{to: to, generation: b.system.Generation(to), command: command}
	if r, ok := command.(domain.Restore); ok {
		b.pendingRestores[r.Domain]++
		delete(b.drained, r.Domain)
	}
}

func (b *oracle) checkResult(from id.Node, a event.CommandResult) {
	o, ok := b.commands[a.Number]
	if !ok {
		if a.Number >= 1000 {
			b.violate("%s answered command %d that nobody gave", from, a.Number)
		}
		return
	}
	o.results = append(o.results, a)
	if from != o.to || len(o.results) > 1 {
		b.violate("%s answered command %d of %s, answer %d", from, a.Number, o.to, len(o.results))
	}
	switch c := o.command.(type) {
	case domain.Restore:
		b.pendingRestores[c.Domain]--
	case domain.Drain:
		if a.Fault == nil && b.pendingRestores[c.Domain] == 0 {
			b.drained[c.Domain] = drainRecord{b.system.Now, from}
		}
	case node.IssueKeys:
		if keys, ok := a.Value.([]string); ok {
			b.system.useKeys(from, keys)
		}
	}
}

func (b *oracle) markLeaving(name id.Server) {
	b.system.backends.Servers[name].Leaving = true
	b.leavingSince[name] = b.system.Now
}

// checkDispatch: no new work goes to a drained domain or to a leaving server once the bound has passed.
func (b *oracle) checkDispatch(from id.Node, a event.Dispatch) {
	now := b.system.Now
	if at, ok := b.leavingSince[a.Server]; ok && now.Sub(at) > propagationBound && !b.justResumed(from) {
		b.violate("%s sent work to %s, which left %s ago", from, a.Server, now.Sub(at))
	}
	d := b.system.backends.Servers[a.Server].VM.FailureDomain
	if r, ok := b.drained[d]; ok && now.Sub(r.at) > propagationBound && b.reachable(from, r) {
		b.violate("%s sent work to %s, whose domain was drained %s ago", from, a.Server, now.Sub(r.at))
	}
}

// justWoke: a frozen process cannot hear anything; when it wakes, it acts on what it knew until it has handled
// the events of its pause.
func (b *oracle) justResumed(n id.Node) bool {
	return b.system.FrozenWithin(n, resumeTolerance)
}

// reachable: only nodes that could hear of a drain during the whole bound are held to it.
func (b *oracle) reachable(n id.Node, r drainRecord) bool {
	since := b.system.Now.Add(-propagationBound)
	return b.system.Connected(n, r.by, since)
}

// readAll asks every node for its configuration and the state of the system.
func (b *oracle) readAll() {
	for _, n := range b.system.Nodes() {
		b.system.command(n, func(c event.Command) event.Event { return node.ReadConfig{Command: c} })
		b.system.command(n, func(c event.Command) event.Event { return node.Status{Command: c} })
	}
}

// check closes the books.
func (b *oracle) check() []string {
	out := slices.Clone(b.violations)
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for _, n := range b.system.Nodes() {
		if life, ok := b.stopGenerations[n]; ok && b.system.Generation(n) == life && !b.system.Exited(n) && b.system.Up(n) {
			add("%s was told to stop and did not", n)
		}
	}
	for number, o := range b.commands {
		if lives := b.system.Up(o.to) && b.system.Generation(o.to) == o.generation; lives && len(o.results) != 1 {
			add("%s answered command %d (%T) %d times", o.to, number, o.command, len(o.results))
		}
	}
	slices.Sort(out)
	return append(out, b.checkConverged()...)
}

// converged: after healing all nodes have the same configuration and domain records, and every accepted change is in force.
func (b *oracle) checkConverged() []string {
	var out []string
	revisions, records := map[id.Revision][]id.Node{}, map[string][]id.Node{}
	weights := map[id.Workspace]int{}
	newest := map[id.Workspace]id.Revision{}
	highest := id.Revision(0)
	open := id.NewSet[id.Workspace]() // changes whose outcome nobody was told; they may have come later
	for _, o := range b.commands {
		a, isApply := o.command.(config.Apply)
		if !isApply {
			continue
		}
		if len(o.results) != 1 || o.results[0].Fault != nil && o.results[0].Fault.Kind == event.ProblemUnknown {
			open.Add(a.Workspace)
			continue
		}
		if done, ok := o.results[0].Value.(config.Applied); ok {
			highest = max(highest, done.Revision)
			if done.Revision > newest[a.Workspace] {
				newest[a.Workspace] = done.Revision
				weight := 0
				_, _ = fmt.Sscanf(string(a.Source), `{"weight": %d}`, &weight)
				weights[a.Workspace] = weight
			}
		}
	}
	for ws := range open {
		delete(weights, ws)
	}
	for _, o := range b.commands {
		if len(o.results) != 1 {
			continue
		}
		switch v := o.results[0].Value.(type) {
		case node.Configuration:
			revisions[v.Revision] = append(revisions[v.Revision], o.to)
			if v.Revision < highest {
				out = append(out, fmt.Sprintf("%s has revision %d, but %d was accepted", o.to, v.Revision, highest))
			}
			out = append(out, b.checkWeights(o.to, v, weights)...)
		case node.Report:
			state := fmt.Sprint(v.Domains)
			records[state] = append(records[state], o.to)
		}
	}
	if len(revisions) > 1 {
		out = append(out, fmt.Sprintf("nodes differ in their revision: %v", revisions))
	}
	if len(records) > 1 {
		out = append(out, fmt.Sprintf("nodes differ in the domain records: %v", records))
	}
	slices.Sort(out)
	return out
}

func (b *oracle) checkWeights(n id.Node, c node.Configuration, weights map[id.Workspace]int) []string {
	tree, err := settings.FromParts(c.Parts)
	if err != nil {
		return []string{fmt.Sprintf("%s: %v", n, err)}
	}
	var out []string
	for ws, want := range weights {
		if e, err := tree.Effective(ws, "answer", "d0"); err != nil || e.Weight != want {
			out = append(out, fmt.Sprintf("%s: workspace %s has weight %d, but %d was accepted, %v", n, ws, e.Weight, want, err))
		}
	}
	return out
}
