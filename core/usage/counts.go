package usage

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// sendInterval is the time between two messages with counts.
	sendInterval = time.Second
	// settleTime is how long after the end of a window the counts of that window are sent: it covers the difference of the
	// nodes' times, and the steps that are still queued.
	settleTime = 250 * time.Millisecond
	// maxPending bounds the requests that are kept until the true time is known.
	maxPending = 10_000
)

// tally holds the requests of each workspace in a window.
type tally struct {
	requests map[id.Workspace]uint64
	changed  uint64 // number of the first message that can contain the latest change
}

// pendingRequest is a request that began before the true time was known, so that its window is not known yet.
type pendingRequest struct {
	workspace id.Workspace
	began     time.Time
}

// recipient is what is known of a node to which counts are sent.
type recipient struct {
	confirmed uint64 // number of the last message up to which it has all counts
	next      int64  // earlier windows are no longer needed there
}

// process identifies one start of a node.
type process struct {
	node        id.Node
	incarnation id.Incarnation
}

// nodeCounts is what a process has reported.
type nodeCounts struct {
	known    uint64 // number of the last message up to which all counts are known, 0 for none
	complete int64  // last window in which the process will count nothing more
	windows  map[int64]map[id.Workspace]uint64
	at       time.Time // when it last reported
}

// window returns the number of the window at a true time.
func (u *Usage) window(at time.Duration) int64 { return int64(at / u.opts.Window) }

// end returns the true time at which a window ends.
func (u *Usage) end(window int64) time.Duration { return time.Duration(window+1) * u.opts.Window }

// Count counts a request of a workspace that a server began to run at the given time, which is not in the future.
func (u *Usage) Count(workspace id.Workspace, began time.Time) {
	if workspace == "" {
		return
	}
	if !u.clock.synced && len(u.pending) < maxPending {
		u.pending = append(u.pending, pendingRequest{workspace, began})
		return
	}
	u.countIn(workspace, began)
}

// countIn counts a request in the window in which it began.
func (u *Usage) countIn(workspace id.Workspace, began time.Time) {
	w := u.window(u.clock.at(began))
	t := u.own[w]
	if t == nil {
		t = &tally{requests: map[id.Workspace]uint64{}}
		u.own[w] = t
	}
	t.requests[workspace]++
	t.changed = u.seq + 1
}

// countPending counts the requests that began before the true time was known, if it is known now.
func (u *Usage) countPending() {
	if !u.clock.synced {
		return
	}
	for _, r := range u.pending {
		u.countIn(r.workspace, r.began)
	}
	u.pending = nil
}

// complete returns the last window of which this node will count nothing more, 0 if the time is unknown.
func (u *Usage) complete(now time.Time) int64 {
	if !u.clock.synced {
		return 0
	}
	until := u.clock.at(now.Add(-settleTime))
	if oldest := u.oldestOpen(); !oldest.IsZero() {
		until = min(until, u.clock.at(oldest))
	}
	return max(0, u.window(until)-1)
}

// send sends the counts to the leader and to the next node in rank.
func (u *Usage) send(now time.Time) []event.Action {
	u.sendAt = now.Add(sendInterval)
	if u.clock.synced {
		current := u.clock.at(now)
		if left := u.end(u.window(current-settleTime)) + settleTime - current; left < sendInterval {
			u.sendAt = now.Add(max(left, time.Millisecond))
		}
	}
	u.seq++
	var out []event.Action
	var to []id.Node
	for _, name := range u.recipients(now) {
		if name == u.self.Node {
			continue
		}
		to = append(to, name)
		out = append(out, event.Send{To: name, Body: u.message(now, name)})
	}
	return append(out, CountsSent{To: to})
}

// recipients returns the leader and the next node in rank. Both may be unknown.
func (u *Usage) recipients(now time.Time) []id.Node {
	leader, next := u.ranking.Leader(), u.ranking.Successor(now)
	return slices.DeleteFunc(slices.Compact([]id.Node{leader, next}), func(n id.Node) bool { return n == "" })
}

func (u *Usage) message(now time.Time, to id.Node) Counts {
	c := Counts{
		Seq: u.seq, Sent: int64(u.clock.elapsed(now)), Clock: u.opts.wallClock(now).UnixNano(), Complete: u.complete(now),
	}
	r := u.sentTo[to]
	c.Since = r.confirmed
	for _, w := range slices.Sorted(maps.Keys(u.own)) {
		if t := u.own[w]; t.changed > r.confirmed && w >= r.next {
			c.Windows = append(c.Windows, t.encode(w))
		}
	}
	return c
}

// encode returns the counts of the workspaces whose names a message may hold. With another one it would be rejected as a whole.
func (t *tally) encode(window int64) WindowCounts {
	w := WindowCounts{Window: window}
	for _, name := range slices.Sorted(maps.Keys(t.requests)) {
		if len(name) > maxNameLength {
			continue
		}
		w.Counts = append(w.Counts, Count{Workspace: name, Requests: t.requests[name]})
	}
	return w
}

// handleCounts merges the counts of another node. Counts never decrease, so that the order of messages does not matter.
func (u *Usage) handleCounts(now time.Time, ev event.Receive, c Counts) []event.Action {
	u.clock.read(now, ev.From, time.Duration(c.Clock))
	p := process{ev.From, ev.Incarnation}
	n := u.received[p]
	if n == nil {
		n = &nodeCounts{windows: map[int64]map[id.Workspace]uint64{}}
		u.received[p] = n
	}
	n.at = now
	if c.Since <= n.known {
		n.known, n.complete = max(n.known, c.Seq), max(n.complete, c.Complete)
	}
	ack := Ack{Seq: n.known, Sent: c.Sent, Next: u.nextWindow()}
	if u.clock.synced {
		ack.Time = int64(u.clock.at(now))
	}
	out := []event.Action{event.Send{To: ev.From, Body: ack}}
	for _, w := range c.Windows {
		if n.merge(w) && w.Window < ack.Next && c.Since > 0 && u.leases.Active() {
			out = append(out, event.Log{Kind: "usage", Choice: "late counts", Reason: fmt.Sprintf("window=%d from=%s", w.Window, ev.From)})
		}
	}
	return out
}

// merge merges the counts of a window and reports whether any of them is higher than before.
func (n *nodeCounts) merge(w WindowCounts) bool {
	requests := n.windows[w.Window]
	if requests == nil {
		requests = map[id.Workspace]uint64{}
		n.windows[w.Window] = requests
	}
	added := false
	for _, c := range w.Counts {
		added = added || c.Requests > requests[c.Workspace]
		requests[c.Workspace] = max(requests[c.Workspace], c.Requests)
	}
	return added
}

// handleAck records which counts a recipient has, and sets the true time from an answer of the leader. A recipient that has
// restarted has fewer counts than before. An older answer that arrives late only causes counts to be sent again.
func (u *Usage) handleAck(now time.Time, ev event.Receive, a Ack) {
	r := u.sentTo[ev.From]
	if a.Seq < r.confirmed {
		u.sendAt = now
	}
	u.sentTo[ev.From] = recipient{confirmed: min(a.Seq, u.seq), next: max(r.next, a.Next)}
	if ev.From == u.ranking.Leader() && a.Time > 0 && !u.leases.Active() {
		u.clock.setFrom(now, time.Duration(a.Sent), time.Duration(a.Time))
		u.countPending()
	}
}

// prune forgets windows whose report can no longer be sent, and processes that have not reported since.
func (u *Usage) prune(now time.Time) {
	if !u.clock.synced {
		return
	}
	first := u.window(u.clock.at(now)-u.opts.Late) - 1
	stale := func(w int64) bool { return w < first }
	maps.DeleteFunc(u.own, func(w int64, _ *tally) bool { return stale(w) })
	for p, n := range u.received {
		maps.DeleteFunc(n.windows, func(w int64, _ map[id.Workspace]uint64) bool { return stale(w) })
		if len(n.windows) == 0 && now.Sub(n.at) > u.opts.Late {
			delete(u.received, p)
		}
	}
}
