package canary

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
)

const (
	owner            = "move"
	prefix           = "moves/"
	fullShare        = 1000 // share in thousandths
	maxUnprovenShare = 50   // largest share without complete evidence
)

var steps = [...]int{10, 20, 50, 100, 250, 500, fullShare}

// Rollouts controls the rollouts of a fleet together with its counterparts on the other nodes.
type Rollouts struct {
	config
	self          event.Self
	view          *member.View
	rollouts      map[string]*rollout
	current       map[id.Pool]*rollout
	servers       map[id.Server]member.Server
	versions      map[id.Pool]*poolVersions
	reports       map[id.Server]event.LoadReport
	pendingBegins map[uint64]Begin // commands that wait, by platform operation
	calls         map[uint64]string
	seq           uint64
	started       bool
	loaded        bool
	unread        id.Set[string] // rollouts that were listed and not read yet
	listSeq       uint64         // sequence number of the list in flight, 0 for none
	nextList      time.Time
	nextTick      time.Time
	nextGossip    time.Time
}

// rollout is a move as this node knows it.
type rollout struct {
	Record
	salt         uint64
	version      uint64
	versionSince time.Time // when this node learned of the version
	stepSince    time.Time // when this node learned of the state and the share
	stopped      bool
	reason       string
	evidence     *evidence.Evidence
	peers        map[id.Node]peerShare
	callSeq      uint64 // number of the operation that busy waits for
	busy         bool
	sentAt       time.Time // when the operation in flight was sent
	pendingWrite *Record   // what the operation in flight writes
	retryAt      time.Time
	stale        bool // must be read again
	leaseUntil   time.Time
	ordersAt     time.Time // no command to a server before this time
	ordered      map[id.Server]order
	fullSince    time.Time // since when every node has had the whole share
	endedAt      time.Time
}

type peerShare struct {
	applied int
	at      time.Time
}

type order struct {
	start id.Start
	fence uint64
	at    time.Time
	ok    bool
}

// New returns the rollouts of one process.
func New(self event.Self, opts ...Option) *Rollouts {
	m := &Rollouts{
		config: defaults(), self: self, rollouts: map[string]*rollout{}, current: map[id.Pool]*rollout{},
		servers: map[id.Server]member.Server{}, versions: map[id.Pool]*poolVersions{}, reports: map[id.Server]event.LoadReport{},
		pendingBegins: map[uint64]Begin{}, calls: map[uint64]string{}, unread: id.NewSet[string](),
	}
	for _, o := range opts {
		o(&m.config)
	}
	return m
}

// Loaded reports whether the rollouts were read. Before that Choose knows nothing, and the node must not be ready.
func (m *Rollouts) Loaded() bool { return m.loaded && len(m.unread) == 0 }

// Choose returns the version that serves a request, or "" for any. All nodes with the same share agree on it.
func (m *Rollouts) Choose(now time.Time, pool id.Pool, print id.Fingerprint, _ id.Pipeline) id.Version {
	r := m.current[pool]
	if r == nil {
		return m.defaultVersion(now, pool)
	}
	if print.Bucket(r.salt, fullShare) < uint64(r.applied()) {
		return r.To
	}
	return r.From
}

// Fallback returns the version that serves the further attempts of a request while a rollout runs, or "" without one.
func (m *Rollouts) Fallback(pool id.Pool) id.Version {
	r := m.current[pool]
	if r == nil || r.State != Running || r.Share >= fullShare {
		return ""
	}
	return r.From
}

// applied is this node's own share of the new version.
func (r *rollout) applied() int {
	switch {
	case r.stopped || r.State == Stopping || r.State == RolledBack:
		return 0
	case r.State == Done:
		return fullShare
	}
	return r.Share
}

// Observe counts the result of an attempt.
func (m *Rollouts) Observe(now time.Time, s Sample) {
	r := m.current[s.Pool]
	if r == nil || r.State != Running || r.stopped || (s.Version != r.From && s.Version != r.To) {
		return
	}
	r.evidence.Observe(now, m.self.Incarnation, s.Sample, s.Version == r.To)
}

// Status returns what this node knows of all rollouts.
func (m *Rollouts) Status() []Status {
	var out []Status
	for _, name := range slices.Sorted(maps.Keys(m.rollouts)) {
		r := m.rollouts[name]
		out = append(out, Status{
			Record: r.Record, Applied: r.applied(), Stopped: r.stopped,
			Complete: r.evidence.Complete(evidence.EnoughResults), Score: r.evidence.LastScore(),
		})
	}
	return out
}

// Step handles an event and the timers that are due.
func (m *Rollouts) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	if !m.started {
		m.started = true
		out = append(out, m.call(event.PlatformCall{Op: event.OpWatch, Name: prefix}, ""), m.list())
	}
	switch ev := ev.(type) {
	case member.ViewChanged:
		m.view = ev.View
	case member.ServerChanged:
		m.addServer(now, ev.Server)
	case member.ServerRemoved:
		m.removeServer(ev.Server)
		delete(m.reports, ev.Server)
	case event.LoadReport:
		if _, ok := m.servers[ev.Server]; ok {
			m.reports[ev.Server] = ev
		}
	case event.Receive:
		switch b := ev.Body.(type) {
		case Gossip:
			out = append(out, m.handleGossip(now, ev, b)...)
		case RolloutsRequest:
			out = append(out, m.replyRollouts(ev.From)...)
		case RolloutsReply:
			m.handleReply(now, b)
		}
	case event.ObjectChanged:
		out = append(out, m.handleObjectChanged(now, ev)...)
	case event.PlatformResult:
		if ev.Call.Owner == owner {
			out = append(out, m.handlePlatformResult(now, ev)...)
		}
	case event.OrderResult:
		if ev.Order.Owner == owner {
			m.handleOrderResult(now, ev)
		}
	case Begin:
		out = append(out, m.begin(now, ev)...)
	}
	return append(out, m.timers(now)...)
}

// Next returns the time of the next timer.
func (m *Rollouts) Next() time.Time {
	next := m.nextList
	if m.active() && (next.IsZero() || m.nextTick.Before(next)) {
		next = m.nextTick
	}
	return next
}

func (m *Rollouts) active() bool {
	for _, r := range m.rollouts {
		if r.inProgress() || r.stale || !r.endedAt.IsZero() {
			return true
		}
	}
	return false
}

func (m *Rollouts) timers(now time.Time) []event.Action {
	var out []event.Action
	if !m.nextList.IsZero() && !now.Before(m.nextList) {
		out = append(out, m.list())
	}
	for _, v := range m.versions {
		m.updateDefault(now, v)
	}
	if now.Before(m.nextTick) {
		return out
	}
	m.nextTick = now.Add(m.tickInterval)
	for _, name := range slices.Sorted(maps.Keys(m.rollouts)) {
		out = append(out, m.advance(now, m.rollouts[name])...)
	}
	if !now.Before(m.nextGossip) {
		m.nextGossip = now.Add(m.gossipInterval)
		out = append(out, m.gossip(now)...)
	}
	return out
}

// advance looks after one rollout.
func (m *Rollouts) advance(now time.Time, r *rollout) []event.Action {
	var out []event.Action
	if r.State == Running && !r.stopped {
		if score, route := r.evidence.Evaluate(now); score >= evidence.BadScore {
			where := "over all routes"
			if route != "" {
				where = "on route " + string(route)
			}
			out = m.stop(now, r, fmt.Sprintf("version %s is worse than %s %s", r.To, r.From, where))
		}
	}
	if !r.endedAt.IsZero() && now.Sub(r.endedAt) > m.retention {
		r.endedAt = time.Time{}
		r.evidence = evidence.New(now) // nobody asks for it any more
	}
	if r.busy || now.Before(r.retryAt) {
		return out
	}
	if r.stale {
		return append(out, m.get(now, r))
	}
	if !r.inProgress() {
		return out
	}
	if r.stopped && r.State == Running {
		next := r.Record
		next.State, next.Share, next.Reason = Stopping, 0, r.reason
		return append(out, m.put(now, r, next))
	}
	return append(out, m.control(now, r)...)
}

// stop ends the new version's traffic from this node for good and tells everybody.
func (m *Rollouts) stop(now time.Time, r *rollout, reason string) []event.Action {
	if r.stopped {
		return nil
	}
	r.stopped, r.reason = true, reason
	m.nextTick, m.nextGossip = now, now.Add(m.gossipInterval)
	out := []event.Action{event.Log{Kind: "move", Choice: "stop " + r.Name, Reason: reason}}
	return append(out, m.gossip(now)...)
}

// gossip sends what this node knows to the others.
func (m *Rollouts) gossip(now time.Time) []event.Action {
	var b Gossip
	for _, name := range slices.Sorted(maps.Keys(m.rollouts)) {
		r := m.rollouts[name]
		if (!r.inProgress() && r.endedAt.IsZero()) || len(b.Rollouts) == maxRollouts {
			continue
		}
		b.Rollouts = append(b.Rollouts, RolloutProgress{
			Name: name, Version: r.version, Applied: int64(r.applied()),
			Stopped: r.stopped || r.State == Stopping || r.State == RolledBack, Reason: r.reason,
			Cells: r.evidence.Cells(now, m.self.Incarnation),
		})
	}
	if len(b.Rollouts) == 0 || m.view == nil {
		return nil
	}
	// In a large fleet the nodes that hear from this one are drawn anew each time.
	at := 0
	if len(m.view.Nodes) > m.fanout {
		at = m.self.Rand.IntN(len(m.view.Nodes))
	}
	var out []event.Action
	for i := range min(len(m.view.Nodes), m.fanout) {
		if n := m.view.Nodes[(at+i)%len(m.view.Nodes)]; n.ID != m.self.Node {
			out = append(out, event.Send{To: n.ID, Body: b})
		}
	}
	return out
}

func (m *Rollouts) handleGossip(now time.Time, ev event.Receive, b Gossip) []event.Action {
	var out []event.Action
	for _, k := range b.Rollouts {
		r := m.rollouts[k.Name]
		if r == nil {
			// The object tells what the rollout is about; until then this node serves nothing of it.
			if m.nextList.IsZero() && m.listSeq == 0 {
				m.nextList = now
			}
			continue
		}
		r.peers[ev.From] = peerShare{applied: int(k.Applied), at: now}
		r.evidence.Merge(now, ev.Incarnation, k.Cells)
		if k.Stopped && r.State != Done {
			out = append(out, m.stop(now, r, k.Reason)...)
		}
		if k.Version > r.version && !r.busy {
			r.stale = true
		}
	}
	return out
}

// adopt takes in a record that was read from or written to the platform.
func (m *Rollouts) adopt(now time.Time, rec Record, version uint64) *rollout {
	r := m.rollouts[rec.Name]
	if r == nil {
		r = &rollout{
			salt: xxhash.Sum64String(rec.Name), evidence: evidence.New(now),
			peers: map[id.Node]peerShare{}, ordered: map[id.Server]order{},
		}
		m.rollouts[rec.Name] = r
	}
	m.unread.Delete(rec.Name)
	if version <= r.version {
		return r
	}
	if r.Share != rec.Share || r.State != rec.State || r.version == 0 {
		r.stepSince, r.fullSince = now, time.Time{}
	}
	if rec.Incarnation != r.Incarnation {
		r.leaseUntil = time.Time{}
	}
	if m.revocableStops {
		r.stopped = false
	}
	r.Record, r.version, r.versionSince = rec, version, now
	if r.State == Stopping || r.State == RolledBack {
		r.stopped, r.reason = true, rec.Reason
	}
	if !r.inProgress() && r.endedAt.IsZero() {
		r.endedAt = now
	}
	if c := m.current[rec.Pool]; c == nil || cmp.Or(c.Began.Compare(rec.Began), cmp.Compare(c.Name, rec.Name)) < 0 {
		m.current[rec.Pool] = r
	}
	m.nextTick = now
	return r
}
