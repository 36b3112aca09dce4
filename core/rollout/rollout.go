package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/watchcache"
)

const (
	// Kind is the kind of the orders in the store.
	Kind = "rollouts"
	// reportInterval is the time between two reports to the leader.
	reportInterval = 250 * time.Millisecond
	// decisionTTL is how long a ruling of the leader holds without another one.
	decisionTTL = 2 * time.Second
	// minFallbackShare is the share above which the new version may stand in for the old one. Before that it is not known well enough.
	minFallbackShare = 100
)

// servers tells which servers a pool has.
type servers interface {
	Pool(id.Pool) []*fleet.Server
}

// poolVersion identifies servers of one version.
type poolVersion struct {
	pool    id.Pool
	version id.Version
}

// Rollouts knows the orders of all pools, and decides on them if this node leads.
type Rollouts struct {
	self       event.Self
	decoder    Decoder
	servers    servers
	leader     id.Node
	nodes      []id.Node
	orders     map[string]*rollout
	pools      map[id.Pool]*rollout // the order in force
	inProgress map[poolVersion]int  // requests in progress of this node
	writes     map[uint64]*rollout  // status writes in progress
	seq        uint64
	nextTick   time.Time
}

// New returns rollouts without orders.
func New(self event.Self, decoder Decoder, servers servers) *Rollouts {
	return &Rollouts{
		self: self, decoder: decoder, servers: servers, orders: map[string]*rollout{}, pools: map[id.Pool]*rollout{},
		inProgress: map[poolVersion]int{}, writes: map[uint64]*rollout{},
	}
}

// SetLeader sets the node that decides.
func (r *Rollouts) SetLeader(now time.Time, name id.Node) {
	if r.leader == name {
		return
	}
	r.leader = name
	for _, o := range r.orders {
		o.control = newControl(now, o.began)
		o.results.confirmed = 0 // the new leader knows nothing
	}
}

// SetNodes sets the nodes that take part.
func (r *Rollouts) SetNodes(names []id.Node) { r.nodes = names }

// Next returns the time of the next timer.
func (r *Rollouts) Next() time.Time {
	if !r.active() {
		return time.Time{}
	}
	return r.nextTick
}

// active reports whether an order is not decided yet.
func (r *Rollouts) active() bool {
	for _, o := range r.orders {
		if !o.state.final() {
			return true
		}
	}
	return false
}

// Step handles one event.
func (r *Rollouts) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	switch ev := ev.(type) {
	case watchcache.ObjectChanged:
		if ev.Kind == Kind {
			out = r.handleObjectChanged(now, ev.Object)
		}
	case watchcache.ObjectDeleted:
		if ev.Kind == Kind {
			out = r.removeOrder(ev.Name)
		}
	case event.Receive:
		switch b := ev.Body.(type) {
		case Report:
			out = r.handleReport(now, ev, b)
		case Decisions:
			out = r.handleDecisions(now, ev.From, b)
		}
	case event.PlatformResult:
		if ev.Call.Owner == owner {
			out = r.handleWriteResult(now, ev)
		}
	}
	if r.active() && !now.Before(r.nextTick) {
		r.nextTick = now.Add(reportInterval)
		out = append(out, r.tick(now)...)
	}
	return out
}

// handleObjectChanged takes in an order or its status.
func (r *Rollouts) handleObjectChanged(now time.Time, o watchcache.Object) []event.Action {
	order, status, err := r.decoder.Rollout(o.Spec, o.Status)
	if err != nil {
		out := []event.Action{event.Log{Kind: "rollout", Stage: o.Name, Choice: "ignore", Reason: fmt.Sprintf("revision=%d %v", o.Revision, err)}}
		return append(out, r.removeOrder(o.Name)...)
	}
	if status.Target != order.Target {
		status.State = Ordered // it is about an earlier order
	}
	cur := r.orders[o.Name]
	isNew := cur == nil || cur.Target != order.Target || cur.Pool != order.Pool || (cur.state.final() && status.State == Ordered)
	if isNew {
		if cur != nil {
			r.removeOrder(o.Name)
		}
		cur = newRollout(now, o, order)
		r.orders[o.Name] = cur
		r.pools[order.Pool] = cur
	}
	cur.Order, cur.revision = order, o.Revision
	if !isNew && (cur.state.final() || cur.state == status.State) {
		return nil
	}
	cur.state = status.State
	return []event.Action{event.Log{Kind: "rollout", Stage: string(cur.Pool), Choice: cur.state.String(), Reason: fmt.Sprintf(
		"target=%s span=%s revision=%d", cur.Target, cur.Span, cur.revision)}}
}

// removeOrder forgets an order that was removed.
func (r *Rollouts) removeOrder(name string) []event.Action {
	o, ok := r.orders[name]
	if !ok {
		return nil
	}
	delete(r.orders, name)
	if r.pools[o.Pool] == o {
		delete(r.pools, o.Pool)
	}
	return []event.Action{event.Log{Kind: "rollout", Stage: string(o.Pool), Choice: "removed", Reason: "target=" + string(o.Target)}}
}

// Choose returns the versions that may serve a request of a pool. Nodes with the same share agree on it. A request that
// is tried again goes to the old version until all traffic has moved.
func (r *Rollouts) Choose(now time.Time, pool id.Pool, print id.Fingerprint, again bool) Choice {
	o := r.pools[pool]
	if o == nil {
		return Choice{}
	}
	if r.onlyTargetServers(o) {
		return Choice{}
	}
	share := o.applied(now)
	fresh := print.Bucket(o.salt, fullShare) < uint64(share)
	if again && share < fullShare {
		fresh = false
	}
	return Choice{limited: true, target: o.Target, toTarget: fresh, mayFallBack: fresh || share > minFallbackShare}
}

// onlyTargetServers reports whether nothing but the ordered version is there to serve the pool, and it was not found bad.
func (r *Rollouts) onlyTargetServers(o *rollout) bool {
	hasOld := slices.ContainsFunc(r.servers.Pool(o.Pool), func(s *fleet.Server) bool { return s.Version != o.Target })
	return !hasOld && !o.stopped && o.state != RolledBack
}

// AllowsCall reports whether a stage server of a version may get the next call of its pool. Only the leader makes calls, so
// that it can count them.
func (r *Rollouts) AllowsCall(now time.Time, pool id.Pool, v id.Version) bool {
	o := r.pools[pool]
	if o == nil || r.onlyTargetServers(o) {
		return true
	}
	share := o.applied(now)
	if v == o.Target {
		return share == fullShare || (o.calls.target+1)*fullShare <= share*(o.calls.all+1)
	}
	return share < fullShare
}

// CountCall counts a call to a stage server.
func (r *Rollouts) CountCall(pool id.Pool, v id.Version) {
	r.RequestStarted(pool, v)
	if o := r.pools[pool]; o != nil {
		o.calls.all++
		if v == o.Target {
			o.calls.target++
		}
	}
}

// RequestStarted notes that a request was sent to a server of a version.
func (r *Rollouts) RequestStarted(pool id.Pool, v id.Version) { r.inProgress[poolVersion{pool, v}]++ }

// RequestEnded notes that a request is no longer in progress there.
func (r *Rollouts) RequestEnded(pool id.Pool, v id.Version) {
	u := poolVersion{pool, v}
	if r.inProgress[u]--; r.inProgress[u] <= 0 {
		delete(r.inProgress, u)
	}
}

// Observe takes in how a request went at a server of a version.
func (r *Rollouts) Observe(now time.Time, pool id.Pool, v id.Version, s evidence.Sample) {
	if o := r.pools[pool]; o != nil && !o.state.final() {
		o.results.add(now, s, v == o.Target)
	}
}

// oldInProgress returns the requests of this node in progress at servers of other versions than the ordered one.
func (r *Rollouts) oldInProgress(o *rollout) int {
	n := 0
	for u, count := range r.inProgress {
		if u.pool == o.Pool && u.version != o.Target {
			n += count
		}
	}
	return n
}

// tick reports to the leader; as the leader, it decides first.
func (r *Rollouts) tick(now time.Time) []event.Action {
	if r.leader == "" {
		return nil
	}
	var out []event.Action
	var report Report
	for _, name := range slices.Sorted(maps.Keys(r.orders)) {
		o := r.orders[name]
		if o.state.final() {
			continue
		}
		if r.leader == r.self.Node {
			out = append(out, r.decide(now, o)...)
		}
		if len(report.Parts) == maxParts {
			break
		}
		report.Parts = append(report.Parts, OrderReport{
			Name: name, Target: o.Target, Age: o.age(now), Share: int64(o.applied(now)), Open: int64(r.oldInProgress(o)),
			Stopped: o.stopped, Reason: o.reason, First: o.results.firstUnconfirmed(), Results: o.results.unconfirmed(now),
		})
	}
	if len(report.Parts) == 0 {
		return out
	}
	return append(out, event.Send{To: r.leader, Body: report})
}

func (r *rollout) age(now time.Time) int64 { return min(maxSpan, int64(now.Sub(r.began))) }

// mergeAge takes in that another node has known the order for longer.
func (r *rollout) mergeAge(now time.Time, age int64) {
	if began := now.Add(-time.Duration(age)); began.Before(r.began) {
		r.began = began
	}
}

// handleDecisions takes in what the leader has decided.
func (r *Rollouts) handleDecisions(now time.Time, from id.Node, b Decisions) []event.Action {
	if from != r.leader {
		return nil
	}
	var out []event.Action
	for _, p := range b.Parts {
		o := r.orders[p.Name]
		if o == nil || o.Target != p.Target {
			continue
		}
		o.mergeAge(now, p.Age)
		if p.Stopped && !o.stopped {
			o.stop(p.Reason)
			out = append(out, o.log("stop", fmt.Sprintf("leader=%s %s", from, p.Reason)))
		}
		if o.share != int(p.Share) {
			out = append(out, o.log("share", fmt.Sprintf("leader=%s share=%d before=%d", from, p.Share, o.share)))
		}
		o.setShare(int(p.Share))
		o.decidedAt, o.results.confirmed = now, p.Next
	}
	return out
}

func (r *rollout) log(choice, reason string) event.Action {
	return event.Log{Kind: "rollout", Stage: string(r.Pool), Choice: choice, Reason: fmt.Sprintf("target=%s %s", r.Target, reason)}
}
