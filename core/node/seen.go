package node

import (
	"fmt"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// revisionTimeout is how long a read waits for the revision that the operator has seen; a configuration is in
	// force everywhere within that time unless something is cut.
	revisionTimeout = 2 * time.Second
	// maxHeldCommands bounds the reads that wait at the same time.
	maxHeldCommands = 64
)

// heldCommand is a read that waits for a revision.
type heldCommand struct {
	ev       event.Event
	number   uint64
	revision id.Revision
	deadline time.Time
}

// minRevision returns the revision that a read must not fall behind.
func minRevision(ev event.Event) (number uint64, revision id.Revision) {
	switch ev := ev.(type) {
	case Status:
		return ev.Number, ev.Seen
	case Explain:
		return ev.Number, ev.Seen
	case ReadConfig:
		return ev.Number, ev.Seen
	}
	return 0, 0
}

// holdCommand keeps a read back until this node has the revision that the operator has seen, so that operators who
// talk to several nodes never read an older configuration than before.
func (n *Node) holdCommand(now time.Time, ev event.Event) ([]event.Action, bool) {
	number, revision := minRevision(ev)
	if revision <= n.config.Revision() {
		return nil, false
	}
	if len(n.heldCommands) >= maxHeldCommands {
		return []event.Action{n.missingRevision(number, revision)}, true
	}
	n.heldCommands = append(n.heldCommands, heldCommand{ev: ev, number: number, revision: revision, deadline: now.Add(revisionTimeout)})
	return nil, true
}

// releaseCommands answers the reads whose revision has come, and those that have waited long enough.
func (n *Node) releaseCommands(now time.Time) []event.Action {
	var out []event.Action
	waiting := n.heldCommands
	n.heldCommands = nil
	for _, h := range waiting {
		switch {
		case h.revision <= n.config.Revision():
			out = append(out, n.handleOwn(now, h.ev)...)
		case !h.deadline.After(now):
			out = append(out, n.missingRevision(h.number, h.revision))
		default:
			n.heldCommands = append(n.heldCommands, h)
		}
	}
	return out
}

func (n *Node) missingRevision(number uint64, revision id.Revision) event.Action {
	return event.CommandResult{Number: number, Fault: &event.Problem{
		Kind: event.ProblemRefused, RetryAfter: revisionTimeout,
		Detail: fmt.Sprintf("this node has revision %d, revision %d has not arrived", n.config.Revision(), revision),
	}}
}
