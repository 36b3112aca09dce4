package usage

import (
	"time"

	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/retry"
)

// subject is the subject of all usage reports.
var subject = duty.Subject{Duty: duty.Usage}

// decideInterval is the time between two decisions whether a window can be closed.
const decideInterval = 100 * time.Millisecond

// Options holds the settings of usage reports. Window and Late must be the same on all nodes.
type Options struct {
	Window time.Duration // length of a window; window k begins k times this after the start of 1970
	Late   time.Duration // time after the end of a window in which its report is due
	// WallClock returns the time of the node's wall clock, which may jump. If it is nil, the times passed to Step are used.
	WallClock func(now time.Time) time.Time
}

func (o Options) wallClock(now time.Time) time.Time {
	if o.WallClock == nil {
		return now
	}
	return o.WallClock(now)
}

// Ranking is the order of the nodes.
type Ranking interface {
	Leader() id.Node
	// Successor returns the node that would lead if the leader were lost, empty if there is none.
	Successor(now time.Time) id.Node
}

// Leases holds the lease of the reports.
type Leases interface {
	Active() bool
	Loaded() bool
	Record(duty.Subject) ([]byte, bool)
	NewRecord(subject duty.Subject, record []byte) duty.WriteRecord
	Call(now time.Time, subject duty.Subject, body []byte) (duty.Call, time.Time, bool)
	// StaleSince reports whether a record may have been written and acted on that this node has not seen, and since when none was.
	StaleSince(duty.Subject) (time.Time, bool)
}

// Encoder encodes a report as the control service reads it.
type Encoder interface {
	UsageReport(window int64, counts map[id.Workspace]uint64) ([]byte, error)
}

// Usage counts the requests of this node, and reports the counts of all nodes while it leads.
type Usage struct {
	self       event.Self
	opts       Options
	ranking    Ranking
	leases     Leases
	encoder    Encoder
	oldestOpen func() time.Time
	nodes      []id.Node
	clock      clock

	own      map[int64]*tally
	pending  []pendingRequest
	seq      uint64 // of the last message with counts
	sentTo   map[id.Node]recipient
	received map[process]*nodeCounts
	sendAt   time.Time

	record    record // the last known one of the store
	requested bool   // a write of the record has been requested
	sending   map[int64]*delivery
	calls     map[uint64]int64 // windows of the calls in progress
	decideAt  time.Time

	// minorityAt is when the leader last changed, or when this node last had heard from at most half of the nodes.
	minorityAt time.Time
}

// New returns a Usage that has counted nothing. oldestOpen returns the send time of the oldest open request that may still be
// counted in a past window, zero if there is none.
func New(self event.Self, opts Options, ranking Ranking, leases Leases, encoder Encoder, oldestOpen func() time.Time) *Usage {
	return &Usage{
		self: self, opts: opts, ranking: ranking, leases: leases, encoder: encoder, oldestOpen: oldestOpen,
		clock: clock{readings: map[id.Node]reading{}}, own: map[int64]*tally{}, sentTo: map[id.Node]recipient{},
		received: map[process]*nodeCounts{}, sending: map[int64]*delivery{}, calls: map[uint64]int64{},
	}
}

// SetNodes sets all nodes whose counts are expected.
func (u *Usage) SetNodes(names []id.Node) { u.nodes = names }

// LeaderChanged sends the counts to the new leader at the next step.
func (u *Usage) LeaderChanged(now time.Time) {
	u.requested = false
	u.minorityAt, u.sendAt = now, now
}

// Now returns the true time since the start of 1970, or false if it is not known yet.
func (u *Usage) Now(now time.Time) (time.Duration, bool) { return u.clock.at(now), u.clock.synced }

// Next returns the time of the next timer.
func (u *Usage) Next() time.Time {
	if u.leases.Active() {
		return retry.Earliest(u.sendAt, u.decideAt)
	}
	return u.sendAt
}

// Step handles one event.
func (u *Usage) Step(now time.Time, ev event.Event) []event.Action {
	if u.clock.start.IsZero() {
		u.clock.start, u.clock.lastStep, u.sendAt, u.decideAt = now, now, now.Add(sendInterval), now
	}
	u.clock.detectPause(now)
	var out []event.Action
	switch ev := ev.(type) {
	case event.Receive:
		switch b := ev.Body.(type) {
		case Counts:
			out = u.handleCounts(now, ev, b)
		case Ack:
			u.handleAck(now, ev, b)
		}
	case duty.Recorded:
		if ev.Subject == subject {
			u.applyRecord(true)
			u.decideAt = now
		}
	case duty.Changed:
		if ev.Subject == subject {
			u.applyRecord(false)
		}
	case duty.CallResult:
		out = u.handleResult(now, ev)
	}
	if !now.Before(u.sendAt) {
		u.updateTime(now)
		out = append(out, u.send(now)...)
	}
	if !now.Before(u.decideAt) {
		u.decideAt = now.Add(decideInterval)
		out = append(out, u.report(now)...)
	}
	return out
}

// updateTime sets the time of the leader to the median of all clocks, and that of a node without a leader to its own.
func (u *Usage) updateTime(now time.Time) {
	u.clock.read(now, u.self.Node, time.Duration(u.opts.wallClock(now).UnixNano()))
	if u.leases.Active() || !u.clock.synced && u.clock.elapsed(now) >= leaderTimeout {
		u.clock.setMedian(now, len(u.nodes))
	}
	u.countPending()
	u.prune(now)
}
