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
	fullShare        = 1000 // shares are in thousandths
	maxUnprovenShare = 50   // largest share without complete evidence
)

// steps are the shares of the new version in the course of a rollout.
var steps = [...]int{10, 20, 50, 100, 250, 500, fullShare}

// Rollouts controls the rollouts of a fleet together with the other nodes.
type Rollouts struct {
	config
	self          event.Self
	view          *member.View
	rollouts      map[string]*rollout
	current       map[id.Pool]*rollout // latest rollout of each pool
	servers       map[id.Server]member.Server
	versions      map[id.Pool]*poolVersions
	reports       map[id.Server]event.LoadReport
	pendingBegins map[uint64]Begin  // commands in progress, by sequence number of their platform call
	calls         map[uint64]string // rollout names of the platform calls in flight
	seq           uint64
	started       bool
	loaded        bool
	unread        id.Set[string] // rollouts that were listed but not read yet
	listSeq       uint64         // sequence number of the list call in flight, 0 for none
	nextList      time.Time
	nextTick      time.Time
	nextGossip    time.Time
}

// rollout is this node's view of a rollout.
type rollout struct {
	Record
	salt         uint64
	version      uint64    // of the object
	versionSince time.Time // when this node learned of the version
	stepSince    time.Time // when this node learned of the present state and share
	stopped      bool
	reason       string
	evidence     *evidence.Evidence
	peers        map[id.Node]peerShare
	callSeq      uint64    // sequence number of the platform call in flight
	busy         bool      // a platform call is in flight
	sentAt       time.Time // when it was sent
	pendingWrite *Record   // what it writes, nil for a read
	retryAt      time.Time
	stale        bool      // must be read again
	leaseUntil   time.Time // end of this node's own lease
	ordersAt     time.Time // no orders to servers before this time
	ordered      map[id.Server]order
	fullSince    time.Time // since when all nodes have given the new version all traffic
	endedAt      time.Time // zero while in progress, and again after the retention
}

// peerShare is the share that a peer has last reported.
type peerShare struct {
	applied int
	at      time.Time
}

// order is the last order to a server to load the new version.
type order struct {
	start id.Start
	fence uint64
	at    time.Time
	ok    bool // the server has confirmed it
}

// New returns the rollouts of one process.
func New(self event.Self, opts ...Option) *Rollouts {
	rs := &Rollouts{
		config: defaults(), self: self, rollouts: map[string]*rollout{}, current: map[id.Pool]*rollout{},
		servers: map[id.Server]member.Server{}, versions: map[id.Pool]*poolVersions{}, reports: map[id.Server]event.LoadReport{},
		pendingBegins: map[uint64]Begin{}, calls: map[uint64]string{}, unread: id.NewSet[string](),
	}
	for _, o := range opts {
		o(&rs.config)
	}
	return rs
}

// Loaded reports whether all rollouts were read. Until then Choose may return a bad version, so the node must not report
// that it is ready.
func (rs *Rollouts) Loaded() bool { return rs.loaded && len(rs.unread) == 0 }

// Choose returns the version that serves a request, or "" for any. All nodes with the same share choose the same version.
func (rs *Rollouts) Choose(now time.Time, pool id.Pool, fp id.Fingerprint, _ id.Pipeline) id.Version {
	r := rs.current[pool]
	if r == nil {
		return rs.defaultVersion(now, pool)
	}
	if fp.Bucket(r.salt, fullShare) < uint64(r.applied()) {
		return r.To
	}
	return r.From
}

// Fallback returns the version that serves the retries of a request while a rollout is running, or "" for any.
func (rs *Rollouts) Fallback(pool id.Pool) id.Version {
	r := rs.current[pool]
	if r == nil || r.State != Running || r.Share >= fullShare {
		return ""
	}
	return r.From
}

// applied returns the share that this node gives the new version.
func (r *rollout) applied() int {
	switch {
	case r.stopped || r.State == Stopping || r.State == RolledBack:
		return 0
	case r.State == Done:
		return fullShare
	}
	return r.Share
}

// Observe records the result of an attempt.
func (rs *Rollouts) Observe(now time.Time, s Sample) {
	r := rs.current[s.Pool]
	if r == nil || r.State != Running || r.stopped || (s.Version != r.From && s.Version != r.To) {
		return
	}
	r.evidence.Observe(now, rs.self.Incarnation, s.Sample, s.Version == r.To)
}

// Status returns this node's view of all rollouts.
func (rs *Rollouts) Status() []Status {
	var out []Status
	for _, name := range slices.Sorted(maps.Keys(rs.rollouts)) {
		r := rs.rollouts[name]
		out = append(out, Status{
			Record: r.Record, Applied: r.applied(), Stopped: r.stopped,
			Complete: r.evidence.Complete(evidence.EnoughResults), Score: r.evidence.LastScore(),
		})
	}
	return out
}

// Step handles an event and the timers that are due.
func (rs *Rollouts) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	if !rs.started {
		rs.started = true
		out = append(out, rs.call(event.PlatformCall{Op: event.OpWatch, Name: prefix}, ""), rs.list())
	}
	switch ev := ev.(type) {
	case member.ViewChanged:
		rs.view = ev.View
	case member.ServerChanged:
		rs.addServer(now, ev.Server)
	case member.ServerRemoved:
		rs.removeServer(ev.Server)
		delete(rs.reports, ev.Server)
	case event.LoadReport:
		if _, ok := rs.servers[ev.Server]; ok {
			rs.reports[ev.Server] = ev
		}
	case event.Receive:
		switch b := ev.Body.(type) {
		case Gossip:
			out = append(out, rs.handleGossip(now, ev, b)...)
		case RolloutsRequest:
			out = append(out, rs.replyRollouts(ev.From)...)
		case RolloutsReply:
			rs.handleReply(now, b)
		}
	case event.ObjectChanged:
		out = append(out, rs.handleObjectChanged(now, ev)...)
	case event.PlatformResult:
		if ev.Call.Owner == owner {
			out = append(out, rs.handlePlatformResult(now, ev)...)
		}
	case event.OrderResult:
		if ev.Order.Owner == owner {
			rs.handleOrderResult(now, ev)
		}
	case Begin:
		out = append(out, rs.begin(now, ev)...)
	}
	return append(out, rs.timers(now)...)
}

// Next returns the time of the next timer.
func (rs *Rollouts) Next() time.Time {
	next := rs.nextList
	if rs.active() && (next.IsZero() || rs.nextTick.Before(next)) {
		next = rs.nextTick
	}
	return next
}

func (rs *Rollouts) active() bool {
	for _, r := range rs.rollouts {
		if r.inProgress() || r.stale || !r.endedAt.IsZero() {
			return true
		}
	}
	return false
}

func (rs *Rollouts) timers(now time.Time) []event.Action {
	var out []event.Action
	if !rs.nextList.IsZero() && !now.Before(rs.nextList) {
		out = append(out, rs.list())
	}
	for _, v := range rs.versions {
		rs.updateDefault(now, v)
	}
	if now.Before(rs.nextTick) {
		return out
	}
	rs.nextTick = now.Add(rs.tickInterval)
	for _, name := range slices.Sorted(maps.Keys(rs.rollouts)) {
		out = append(out, rs.advance(now, rs.rollouts[name])...)
	}
	if !now.Before(rs.nextGossip) {
		rs.nextGossip = now.Add(rs.gossipInterval)
		out = append(out, rs.gossip(now)...)
	}
	return out
}

// advance does what is due for a rollout: it stops a bad version, reads or writes the object, and acts as controller.
func (rs *Rollouts) advance(now time.Time, r *rollout) []event.Action {
	var out []event.Action
	if r.State == Running && !r.stopped {
		if score, route := r.evidence.Evaluate(now); score >= evidence.BadScore {
			where := "over all routes"
			if route != "" {
				where = "on route " + string(route)
			}
			out = rs.stop(now, r, fmt.Sprintf("version %s is worse than %s %s", r.To, r.From, where))
		}
	}
	if !r.endedAt.IsZero() && now.Sub(r.endedAt) > rs.retention {
		r.endedAt = time.Time{}
		r.evidence = evidence.New(now) // free the memory; the status keeps the outcome
	}
	if r.busy || now.Before(r.retryAt) {
		return out
	}
	if r.stale {
		return append(out, rs.get(now, r))
	}
	if !r.inProgress() {
		return out
	}
	if r.stopped && r.State == Running {
		next := r.Record
		next.State, next.Share, next.Reason = Stopping, 0, r.reason
		return append(out, rs.put(now, r, next))
	}
	return append(out, rs.control(now, r)...)
}

// stop permanently ends this node's traffic to the new version and tells the other nodes at once.
func (rs *Rollouts) stop(now time.Time, r *rollout, reason string) []event.Action {
	if r.stopped {
		return nil
	}
	r.stopped, r.reason = true, reason
	rs.nextTick, rs.nextGossip = now, now.Add(rs.gossipInterval)
	out := []event.Action{event.Log{Kind: "move", Choice: "stop " + r.Name, Reason: reason}}
	return append(out, rs.gossip(now)...)
}

// gossip sends this node's view of the rollouts to other nodes.
func (rs *Rollouts) gossip(now time.Time) []event.Action {
	var b Gossip
	for _, name := range slices.Sorted(maps.Keys(rs.rollouts)) {
		r := rs.rollouts[name]
		if (!r.inProgress() && r.endedAt.IsZero()) || len(b.Rollouts) == maxRollouts {
			continue
		}
		b.Rollouts = append(b.Rollouts, RolloutProgress{
			Name: name, Version: r.version, Applied: int64(r.applied()),
			Stopped: r.stopped || r.State == Stopping || r.State == RolledBack, Reason: r.reason,
			Cells: r.evidence.Cells(now, rs.self.Incarnation),
		})
	}
	if len(b.Rollouts) == 0 || rs.view == nil {
		return nil
	}
	// In a large fleet each round goes to fanout nodes that follow a random one in the view.
	at := 0
	if len(rs.view.Nodes) > rs.fanout {
		at = rs.self.Rand.IntN(len(rs.view.Nodes))
	}
	var out []event.Action
	for i := range min(len(rs.view.Nodes), rs.fanout) {
		if n := rs.view.Nodes[(at+i)%len(rs.view.Nodes)]; n.ID != rs.self.Node {
			out = append(out, event.Send{To: n.ID, Body: b})
		}
	}
	return out
}

func (rs *Rollouts) handleGossip(now time.Time, ev event.Receive, b Gossip) []event.Action {
	var out []event.Action
	for _, p := range b.Rollouts {
		r := rs.rollouts[p.Name]
		if r == nil {
			// List the objects to learn the pool and the versions of this rollout. Until then it has no effect here.
			if rs.nextList.IsZero() && rs.listSeq == 0 {
				rs.nextList = now
			}
			continue
		}
		r.peers[ev.From] = peerShare{applied: int(p.Applied), at: now}
		r.evidence.Merge(now, ev.Incarnation, p.Cells)
		if p.Stopped && r.State != Done {
			out = append(out, rs.stop(now, r, p.Reason)...)
		}
		if p.Version > r.version && !r.busy {
			r.stale = true
		}
	}
	return out
}

// adopt updates a rollout with a record that was read from or written to the platform, unless the record is older.
func (rs *Rollouts) adopt(now time.Time, rec Record, version uint64) *rollout {
	r := rs.rollouts[rec.Name]
	if r == nil {
		r = &rollout{
			salt: xxhash.Sum64String(rec.Name), evidence: evidence.New(now),
			peers: map[id.Node]peerShare{}, ordered: map[id.Server]order{},
		}
		rs.rollouts[rec.Name] = r
	}
	rs.unread.Delete(rec.Name)
	if version <= r.version {
		return r
	}
	if r.Share != rec.Share || r.State != rec.State || r.version == 0 {
		r.stepSince, r.fullSince = now, time.Time{}
	}
	if rec.Incarnation != r.Incarnation {
		r.leaseUntil = time.Time{}
	}
	if rs.revocableStops {
		r.stopped = false
	}
	r.Record, r.version, r.versionSince = rec, version, now
	if r.State == Stopping || r.State == RolledBack {
		r.stopped, r.reason = true, rec.Reason
	}
	if !r.inProgress() && r.endedAt.IsZero() {
		r.endedAt = now
	}
	if c := rs.current[rec.Pool]; c == nil || cmp.Or(c.Began.Compare(rec.Began), cmp.Compare(c.Name, rec.Name)) < 0 {
		rs.current[rec.Pool] = r
	}
	rs.nextTick = now
	return r
}
