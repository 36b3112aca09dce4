package node

import (
	"fmt"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// seenWait is how long a read waits for the revision that the operator has seen; a configuration is in
	// force everywhere within that time unless something is cut.
	seenWait = 2 * time.Second
	// maxHeld bounds the reads that wait at the same time.
	maxHeld = 64
)

// heldCommand is a read that waits for a revision.
type heldCommand struct {
	ev     event.Event
	number uint64
	seen   id.Revision
	until  time.Time
}

// seen returns the revision that a read must not fall behind.
func seen(ev event.Event) (number uint64, revision id.Revision) {
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

// hold keeps a read back until this node has the revision that the operator has seen, so that operators who
// talk to several nodes never read an older configuration than before.
func (n *Node) hold(now time.Time, ev event.Event) ([]event.Action, bool) {
	number, revision := seen(ev)
	if revision <= n.config.Revision() {
		return nil, false
	}
	if len(n.held) >= maxHeld {
		return []event.Action{n.behind(number, revision)}, true
	}
	n.held = append(n.held, heldCommand{ev: ev, number: number, seen: revision, until: now.Add(seenWait)})
	return nil, true
}

// release answers the reads whose revision has come, and those that have waited long enough.
func (n *Node) release(now time.Time) []event.Action {
	var out []event.Action
	waiting := n.held
	n.held = nil
	for _, h := range waiting {
		switch {
		case h.seen <= n.config.Revision():
			out = append(out, n.own(now, h.ev)...)
		case !h.until.After(now):
			out = append(out, n.behind(h.number, h.seen))
		default:
			n.held = append(n.held, h)
		}
	}
	return out
}

func (n *Node) behind(number uint64, revision id.Revision) event.Action {
	return event.CommandResult{Number: number, Fault: &event.Problem{
		Kind: event.ProblemRefused, RetryAfter: seenWait,
		Detail: fmt.Sprintf("this node has revision %d, revision %d has not arrived", n.config.Revision(), revision),
	}}
}
