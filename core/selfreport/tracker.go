package selfreport

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/ratelimit"
)

const (
	// shareInterval is the least time between two messages about a process.
	shareInterval = time.Second
	// newcomerSenders is how many nodes tell a newly connected one of a server. Some of them may have started lately themselves
	// and not know it.
	newcomerSenders = 3
	// stateTTL is how long a report is kept after the last response that was heard of. A server that is leaving is gone by then.
	stateTTL = time.Hour
	// maxStates bounds the processes whose reports are kept.
	maxStates = 4096
)

// never is a time that does not come.
var never = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// Process identifies the process of a server.
type Process struct {
	Server id.Server
	Start  id.Start // empty if unknown
}

func (p Process) compare(o Process) int {
	return cmp.Or(cmp.Compare(p.Server, o.Server), cmp.Compare(p.Start, o.Start))
}

func processOf(s *fleet.Server) Process { return Process{s.ID, s.Start} }

// Senders tells which nodes send requests to a server, and share what it takes.
type Senders uint8

const (
	// AllNodes means that every node sends requests.
	AllNodes Senders = iota
	// OneNode means that only this node sends requests.
	OneNode
)

// state is what a process has said of itself, to this node or another one.
type state struct {
	report      Report
	limitAt     time.Time // when the limit was last named
	beganAt     time.Time // when the limit was first named
	pausedUntil time.Time // it wants no requests from this node before
	heardAt     time.Time // when a response was last heard of
	// sharedAt is when this node last told the others, and unshared is set if something has changed since.
	sharedAt time.Time
	unshared bool
}

// Tracker keeps the reports of servers on one node.
type Tracker struct {
	self    event.Self
	nodes   []id.Node
	limiter *ratelimit.ServerLimiter
	states  map[Process]*state
}

// New returns a tracker that knows of no report.
func New(self event.Self) *Tracker {
	return &Tracker{self: self, limiter: ratelimit.NewServerLimiter(self.Node, 0), states: map[Process]*state{}}
}

// SetNodes sets the names of all nodes, which share the limits of servers.
func (t *Tracker) SetNodes(names []id.Node) {
	t.nodes = names
	t.limiter.SetNodes(names)
}

// Next returns zero, for no timer.
func (t *Tracker) Next() time.Time { return time.Time{} }

// Step handles one event. Reports of a process whose start is known stay when its server is removed, because the entry of a
// running server may be lost and written again.
func (t *Tracker) Step(now time.Time, ev event.Event) []event.Action {
	switch ev := ev.(type) {
	case fleet.ServerChanged:
		if ev.Restarted {
			delete(t.states, Process{Server: ev.Server.ID})
			t.limiter.Forget(ev.Server.ID)
		}
	case fleet.ServerRemoved:
		delete(t.states, Process{Server: ev.Server.ID})
	case event.PeerLink:
		if ev.Up {
			return t.tellNewcomer(now, ev.Peer)
		}
	case event.Receive:
		if m, ok := ev.Body.(Shared); ok {
			return t.handleShared(now, ev.From, m)
		}
	}
	return nil
}

// ReadyAt returns the earliest time at which this node may send a request to a server, and the reason if it is not now.
func (t *Tracker) ReadyAt(now time.Time, server *fleet.Server, by Senders) (time.Time, string) {
	s, known := t.states[processOf(server)]
	if !known {
		return time.Time{}, ""
	}
	if s.report.Leaving {
		return never, "it has said that it is leaving"
	}
	if s.report.Limited {
		if at := t.limitedUntil(server.ID, s, by); at.After(now) && at.After(s.pausedUntil) {
			return at, "the limit that it has named is reached"
		}
	}
	return s.pausedUntil, "it wants no requests for a while"
}

// Limit returns the requests per second that a server has said that it takes from all nodes together, and whether it has. One
// that is leaving takes none.
func (t *Tracker) Limit(server *fleet.Server) (rate float64, limited bool) {
	s, known := t.states[processOf(server)]
	if !known {
		return 0, false
	}
	return s.report.Rate, s.report.Limited && !s.report.Leaving
}

// limitedUntil returns when this node may send the next request to a server that has named a limit.
func (t *Tracker) limitedUntil(server id.Server, s *state, by Senders) time.Time {
	if by == OneNode {
		q := ratelimit.QuotaOf(s.report.Rate, 1)
		return t.limiter.ReadyAt(server, q.Requests, q.Span)
	}
	q := t.quota(s)
	rank := t.limiter.Rank(server)
	if share := t.limiter.Share(server, q); share > 0 {
		// At the begin of a limit the nodes follow one another, so that they do not send at the same time ever after.
		first := s.beganAt.Add(q.Span * time.Duration(rank) / time.Duration(min(q.Requests, max(1, len(t.nodes)))))
		return latest(first, t.limiter.ReadyAt(server, share, q.Span))
	}
	last := latest(s.heardAt, t.limiter.LastSent(server))
	return last.Add(time.Duration(rank-q.Requests+2) * q.Span)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *Tracker) quota(s *state) ratelimit.Quota {
	return ratelimit.QuotaOf(s.report.Rate, max(1, len(t.nodes)))
}

// CountRequest counts a request that is sent to a server.
func (t *Tracker) CountRequest(now time.Time, server *fleet.Server) {
	if s, known := t.states[processOf(server)]; known && s.report.Limited {
		t.limiter.Take(now, server.ID)
	}
}

// Observe records the report in the response to a request that was sent to a process at the given time. A response to a
// request from before the server named its limit does not end the limit.
func (t *Tracker) Observe(now time.Time, p Process, sent time.Time, r Report) []event.Action {
	s, known := t.states[p]
	if !known && !r.notable() {
		return nil
	}
	if !known {
		s = t.open(now, p)
	}
	if !r.Limited && sent.Before(s.limitAt) {
		r.Limited, r.Rate = s.report.Limited, s.report.Rate
	}
	s.pausedUntil = latest(s.pausedUntil, now.Add(r.Pause))
	out := t.record(now, p, s, r, "response")
	return append(out, t.share(now, p, s)...)
}

// handleShared records what another node has heard from a server.
func (t *Tracker) handleShared(now time.Time, from id.Node, m Shared) []event.Action {
	s, known := t.states[m.process()]
	if !known && !m.report().notable() {
		return nil
	}
	if !known {
		s = t.open(now, m.process())
	}
	out := t.record(now, m.process(), s, m.report(), "node "+string(from))
	s.unshared = false
	return out
}

// record replaces the report of a process and logs what has changed.
func (t *Tracker) record(now time.Time, p Process, s *state, r Report, source string) []event.Action {
	old := s.report
	r.Leaving = r.Leaving || old.Leaving
	s.report, s.heardAt = r, now
	if r.Limited {
		s.limitAt = now
	}
	if r.Limited && !old.Limited {
		s.beganAt = now
	}
	s.unshared = s.unshared || r.limit() != old.limit()
	if r.Leaving && !old.Leaving {
		s.unshared, s.sharedAt = true, time.Time{}
	}
	return logChanges(p, old, r, source)
}

// open adds the state of a process. If there are too many, the one that was not heard of for longest is dropped.
func (t *Tracker) open(now time.Time, p Process) *state {
	if len(t.states) >= maxStates {
		t.expire(now)
	}
	if len(t.states) >= maxStates {
		var oldest Process
		for other, s := range t.states {
			if o, ok := t.states[oldest]; !ok || s.heardAt.Before(o.heardAt) {
				oldest = other
			}
		}
		t.drop(oldest)
	}
	s := &state{heardAt: now}
	t.states[p] = s
	return s
}

// expire drops the processes that were not heard of for stateTTL.
func (t *Tracker) expire(now time.Time) {
	for p, s := range t.states {
		if now.Sub(s.heardAt) > stateTTL {
			t.drop(p)
		}
	}
}

func (t *Tracker) drop(p Process) {
	delete(t.states, p)
	t.limiter.Forget(p.Server)
}

// share tells the other nodes what a process has said of itself, if it is new to them. If some of them have no share of its
// limit, they are told again from time to time that the limit still holds.
func (t *Tracker) share(now time.Time, p Process, s *state) []event.Action {
	interval := shareInterval
	if !s.unshared {
		q := t.quota(s)
		if !s.report.Limited || q.Requests >= len(t.nodes) {
			return nil
		}
		interval = max(interval, q.Span/2)
	}
	if now.Sub(s.sharedAt) < interval {
		return nil
	}
	s.sharedAt, s.unshared = now, false
	var out []event.Action
	for _, name := range t.nodes {
		if name != t.self.Node {
			out = append(out, event.Send{To: name, Body: newShared(p, s.report)})
		}
	}
	return out
}

// tellNewcomer tells a node that has started or was unreachable which servers have named a limit or are leaving.
func (t *Tracker) tellNewcomer(now time.Time, peer id.Node) []event.Action {
	t.expire(now)
	var out []event.Action
	for _, p := range slices.SortedFunc(maps.Keys(t.states), Process.compare) {
		if s := t.states[p]; (s.report.Limited || s.report.Leaving) && t.limiter.Rank(p.Server) < newcomerSenders {
			out = append(out, event.Send{To: peer, Body: newShared(p, s.report)})
		}
	}
	return out
}

// logChanges returns a line for each part of a report that differs from the one before.
func logChanges(p Process, old, r Report, source string) []event.Action {
	var out []event.Action
	add := func(changed bool, choice string) {
		if changed {
			out = append(out, event.Log{Kind: "report", Stage: string(p.Server), Choice: choice, Reason: fmt.Sprintf("start=%s from=%q", p.Start, source)})
		}
	}
	add(r.limit() != old.limit(), r.limit())
	add(r.Leaving && !old.Leaving, "leaving")
	add(r.Pause > 0, "pause "+r.Pause.String())
	return out
}
