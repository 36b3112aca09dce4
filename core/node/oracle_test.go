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
	propagationBound = 3 * time.Second // from a drain or a leaving marker until no affected server gets new work
	replyTolerance   = 100 * time.Millisecond
	resumeTolerance  = 50 * time.Millisecond // a resumed process first handles the events that arrived during its pause
)

// oracle checks the guarantees that callers cannot observe.
type oracle struct {
	system          *system
	violations      []string
	unreadySince    map[id.Node]time.Time
	stopGenerations map[id.Node]uint64 // generation of the process that got Stop
	commands        map[uint64]*issuedCommand
	revisions       map[id.Node][2]uint64 // generation of the process and its newest revision
	drained         map[id.FailureDomain]drainRecord
	pendingRestores map[id.FailureDomain]int // restore commands without an answer
	leavingSince    map[id.Server]time.Time
}

// issuedCommand is an operator command and its results.
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
	o := &oracle{
		system: s, unreadySince: map[id.Node]time.Time{}, stopGenerations: map[id.Node]uint64{}, commands: map[uint64]*issuedCommand{},
		revisions: map[id.Node][2]uint64{}, drained: map[id.FailureDomain]drainRecord{},
		pendingRestores: map[id.FailureDomain]int{}, leavingSince: map[id.Server]time.Time{},
	}
	next := s.OnExternal
	s.OnExternal = func(w *simulation.World, from id.Node, a event.Action) {
		o.observe(from, a)
		next(w, from, a)
	}
	return o
}

func (o *oracle) reportViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf("%s ", o.system.Now.Sub(simulation.Epoch))+fmt.Sprintf(format, args...))
}

func (o *oracle) observe(from id.Node, a event.Action) {
	o.checkRevision(from)
	switch a := a.(type) {
	case event.Readiness:
		delete(o.unreadySince, from)
		if !a.Ready {
			o.unreadySince[from] = o.system.Now
		}
	case event.CommandResult:
		o.checkResult(from, a)
	case event.Dispatch:
		o.checkDispatch(from, a)
	}
}

// checkRevision reports a process whose revision decreases.
func (o *oracle) checkRevision(from id.Node) {
	revision, _ := o.system.Stepper(from).(simulation.VersionReporter).Versions()
	old, generation := o.revisions[from], o.system.Generation(from)
	if old[0] == generation && uint64(revision) < old[1] {
		o.reportViolation("%s went back from revision %d to %d", from, old[1], revision)
	}
	o.revisions[from] = [2]uint64{generation, uint64(revision)}
}

func (o *oracle) recordCommand(to id.Node, number uint64, command event.Event) {
	o.commands[number] = &issuedCommand{to: to, generation: o.system.Generation(to), command: command}
	if r, ok := command.(domain.Restore); ok {
		o.pendingRestores[r.Domain]++
		delete(o.drained, r.Domain)
	}
}

func (o *oracle) checkResult(from id.Node, a event.CommandResult) {
	cmd, ok := o.commands[a.Number]
	if !ok {
		if a.Number >= 1000 { // the numbers that system.command assigns
			o.reportViolation("%s answered command %d that was never issued", from, a.Number)
		}
		return
	}
	cmd.results = append(cmd.results, a)
	if from != cmd.to || len(cmd.results) > 1 {
		o.reportViolation("%s answered command %d, which was sent to %s (answer %d)", from, a.Number, cmd.to, len(cmd.results))
	}
	switch c := cmd.command.(type) {
	case domain.Restore:
		o.pendingRestores[c.Domain]--
	case domain.Drain:
		if a.Fault == nil && o.pendingRestores[c.Domain] == 0 {
			o.drained[c.Domain] = drainRecord{o.system.Now, from}
		}
	case node.IssueKeys:
		if keys, ok := a.Value.([]string); ok {
			o.system.useKeys(from, keys)
		}
	}
}

func (o *oracle) markLeaving(name id.Server) {
	o.system.backends.Servers[name].Leaving = true
	o.leavingSince[name] = o.system.Now
}

// checkDispatch reports work that is sent to a drained domain or a leaving server more than propagationBound after the
// drain or the leaving marker.
func (o *oracle) checkDispatch(from id.Node, a event.Dispatch) {
	now := o.system.Now
	if at, ok := o.leavingSince[a.Server]; ok && now.Sub(at) > propagationBound && !o.justResumed(from) {
		o.reportViolation("%s sent work to %s, which left %s ago", from, a.Server, now.Sub(at))
	}
	d := o.system.backends.Servers[a.Server].VM.FailureDomain
	if r, ok := o.drained[d]; ok && now.Sub(r.at) > propagationBound && o.reachable(from, r) {
		o.reportViolation("%s sent work to %s, whose domain was drained %s ago", from, a.Server, now.Sub(r.at))
	}
}

// justResumed reports whether a node's process was frozen until just now. A frozen process handles no events; a resumed
// one acts on its old state until it has handled the events that arrived during its pause.
func (o *oracle) justResumed(n id.Node) bool {
	return o.system.FrozenWithin(n, resumeTolerance)
}

// reachable reports whether a node could learn of a drain during the whole of propagationBound. A node that could not
// may still send work to the domain.
func (o *oracle) reachable(n id.Node, r drainRecord) bool {
	since := o.system.Now.Add(-propagationBound)
	return o.system.Connected(n, r.by, since)
}

// readAll requests the configuration and the state of the system from every node.
func (o *oracle) readAll() {
	for _, n := range o.system.Nodes() {
		o.system.command(n, func(c event.Command) event.Event { return node.ReadConfig{Command: c} })
		o.system.command(n, func(c event.Command) event.Event { return node.Status{Command: c} })
	}
}

// check returns all violations, including those that show only at the end of a run.
func (o *oracle) check() []string {
	out := slices.Clone(o.violations)
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	for _, n := range o.system.Nodes() {
		if generation, ok := o.stopGenerations[n]; ok && o.system.Generation(n) == generation && !o.system.Exited(n) && o.system.Up(n) {
			add("%s got Stop but did not exit", n)
		}
	}
	for number, cmd := range o.commands {
		if running := o.system.Up(cmd.to) && o.system.Generation(cmd.to) == cmd.generation; running && len(cmd.results) != 1 {
			add("%s answered command %d (%T) %d times", cmd.to, number, cmd.command, len(cmd.results))
		}
	}
	slices.Sort(out)
	return append(out, o.checkConverged()...)
}

// checkConverged reports nodes whose configuration or domain records differ after healing, and accepted changes that are
// not in force.
func (o *oracle) checkConverged() []string {
	var out []string
	revisions, records := map[id.Revision][]id.Node{}, map[string][]id.Node{}
	weights := map[id.Workspace]int{}
	newest := map[id.Workspace]id.Revision{}
	highest := id.Revision(0)
	undecided := id.NewSet[id.Workspace]() // workspaces with a change of unknown outcome, which may have taken effect later
	for _, cmd := range o.commands {
		a, isApply := cmd.command.(config.Apply)
		if !isApply {
			continue
		}
		if len(cmd.results) != 1 || cmd.results[0].Fault != nil && cmd.results[0].Fault.Kind == event.ProblemUnknown {
			undecided.Add(a.Workspace)
			continue
		}
		if done, ok := cmd.results[0].Value.(config.Applied); ok {
			highest = max(highest, done.Revision)
			if done.Revision > newest[a.Workspace] {
				newest[a.Workspace] = done.Revision
				weight := 0
				_, _ = fmt.Sscanf(string(a.Source), `{"weight": %d}`, &weight)
				weights[a.Workspace] = weight
			}
		}
	}
	for ws := range undecided {
		delete(weights, ws)
	}
	for _, cmd := range o.commands {
		if len(cmd.results) != 1 {
			continue
		}
		switch v := cmd.results[0].Value.(type) {
		case node.Configuration:
			revisions[v.Revision] = append(revisions[v.Revision], cmd.to)
			if v.Revision < highest {
				out = append(out, fmt.Sprintf("%s has revision %d, but %d was accepted", cmd.to, v.Revision, highest))
			}
			out = append(out, o.checkWeights(cmd.to, v, weights)...)
		case node.Report:
			state := fmt.Sprint(v.Domains)
			records[state] = append(records[state], cmd.to)
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

// checkWeights compares the weight of each workspace in a node's configuration with the newest accepted one.
func (o *oracle) checkWeights(n id.Node, c node.Configuration, weights map[id.Workspace]int) []string {
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
