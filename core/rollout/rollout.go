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
	// Kind is the kind of rollout orders in the store.
	Kind = "rollouts"
	// reportInterval is the time between two reports to the leader.
	reportInterval = 250 * time.Millisecond
	// decisionTTL is how long a decision of the leader stays valid without a newer one.
	decisionTTL = 2 * time.Second
	// minFallbackShare is the share above which requests for the old version may fall back to the new one. At lower
	// shares there is too little evidence on the new version.
	minFallbackShare = 100
	// maxRejected is how many rolled-back versions of a pool are remembered.
	maxRejected = 16
)

// servers returns the servers of a pool.
type servers interface {
	Pool(id.Pool) []*fleet.Server
}

// poolVersion identifies the servers of a version in a pool.
type poolVersion struct {
	pool    id.Pool
	version id.Version
}

// Rollouts holds the orders of all pools, and decides on them if this node is the leader.
type Rollouts struct {
	self       event.Self
	decoder    Decoder
	servers    servers
	leader     id.Node
	nodes      []id.Node
	orders     map[string]*rollout
	pools      map[id.Pool]*rollout     // latest order of each pool
	rejected   map[id.Pool][]id.Version // versions that earlier orders have rolled back; their servers may still run
	inProgress map[poolVersion]int      // this node's requests in progress
	writes     map[uint64]*rollout      // status writes in progress
	storeDown  bool
	seq        uint64
	nextTick   time.Time
}

// New returns Rollouts without orders.
func New(self event.Self, decoder Decoder, servers servers) *Rollouts {
	return &Rollouts{
		self: self, decoder: decoder, servers: servers, orders: map[string]*rollout{}, pools: map[id.Pool]*rollout{}, rejected: map[id.Pool][]id.Version{},
		inProgress: map[poolVersion]int{}, writes: map[uint64]*rollout{},
	}
}

// SetLeader sets the leader, and discards the decision state and reports that belong to the previous one.
func (r *Rollouts) SetLeader(now time.Time, name id.Node) {
	if r.leader == name {
		return
	}
	r.leader = name
	for _, o := range r.orders {
		o.control = newControl(now, o.began)
		o.results.confirmed = 0 // the new leader has no results yet
	}
}

// SetNodes sets the nodes whose reports the leader waits for.
func (r *Rollouts) SetNodes(names []id.Node) { r.nodes = names }

// Next returns the time of the next timer.
func (r *Rollouts) Next() time.Time {
	if !r.active() {
		return time.Time{}
	}
	return r.nextTick
}

// active reports whether any order is not in a final state, or is to be written or dropped after the store has been restored.
func (r *Rollouts) active() bool {
	for _, o := range r.orders {
		if !o.state.final() || o.rewrite || o.older != nil {
			return true
		}
	}
	return false
}

// Step handles one event.
func (r *Rollouts) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	switch ev := ev.(type) {
	case watchcache.EraChanged:
		r.changeEra(now)
	case watchcache.Reachability:
		if ev.Kind == Kind {
			r.handleReachability(now, ev)
		}
	case watchcache.ObjectChanged:
		if ev.Kind == Kind {
			out = r.handleObjectChanged(now, ev.Object)
		}
	case watchcache.ObjectDeleted:
		if ev.Kind == Kind {
			out = r.handleObjectDeleted(now, ev)
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
		out = append(out, r.dropLost(now)...)
		out = append(out, r.report(now)...)
	}
	return out
}

// handleObjectChanged updates an order and its status from the store.
func (r *Rollouts) handleObjectChanged(now time.Time, o watchcache.Object) []event.Action {
	order, status, err := r.decoder.Rollout(o.Spec, o.Status)
	if err == nil {
		err = checkOrder(o.Name, order.Target, 0, 0, "") // the reports on all orders are one message
	}
	if err != nil {
		out := []event.Action{event.Log{Kind: "rollout", Stage: o.Name, Choice: "ignore", Reason: fmt.Sprintf("revision=%d %v", o.Revision, err)}}
		return append(out, r.removeOrder(o.Name)...)
	}
	if status.Target != order.Target {
		status.State = Ordered // the status belongs to an earlier order
	}
	cur := r.orders[o.Name]
	same := cur != nil && cur.Target == order.Target && cur.Pool == order.Pool
	if cur != nil && cur.unconfirmed && !same {
		return r.keep(now, cur, &o)
	}
	isNew := !same || cur.state.final() && !cur.rewrite && status.State == Ordered
	if isNew {
		if cur != nil {
			r.rejectVersion(cur)
			r.removeOrder(o.Name)
		}
		r.rejected[order.Pool] = slices.DeleteFunc(r.rejected[order.Pool], func(v id.Version) bool { return v == order.Target })
		cur = newRollout(now, o, order)
		r.orders[o.Name] = cur
		r.pools[order.Pool] = cur
	}
	cur.Order, cur.revision = order, o.Revision
	cur.confirm(status.State)
	if !isNew && (cur.state.final() || cur.state == status.State) {
		return nil
	}
	cur.state = status.State
	return []event.Action{event.Log{Kind: "rollout", Stage: string(cur.Pool), Choice: cur.state.String(), Reason: fmt.Sprintf(
		"target=%s span=%s revision=%d", cur.Target, cur.Span, cur.revision)}}
}

// rejectVersion keeps the version of an order that was rolled back from getting requests under the next order.
func (r *Rollouts) rejectVersion(o *rollout) {
	if o.state != RolledBack && !o.stopped || slices.Contains(r.rejected[o.Pool], o.Target) {
		return
	}
	list := append(slices.Clone(r.rejected[o.Pool]), o.Target)
	r.rejected[o.Pool] = list[max(0, len(list)-maxRejected):]
}

// removeOrder drops an order that was removed from the store or cannot be decoded.
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

// Choose returns the versions that may serve a request of a pool. Nodes with the same share make the same choice. A
// retried request goes to the old version until all traffic goes to the new one.
func (r *Rollouts) Choose(now time.Time, pool id.Pool, fp id.Fingerprint, isRetry bool) Choice {
	o := r.pools[pool]
	if o == nil {
		return Choice{}
	}
	rejected := r.rejected[pool]
	if r.onlyTargetServers(o) {
		return Choice{rejected: rejected}
	}
	share := o.applied(now)
	toTarget := fp.Bucket(o.salt, fullShare) < uint64(share)
	if isRetry && share < fullShare {
		toTarget = false
	}
	return Choice{limited: true, target: o.Target, toTarget: toTarget, mayFallBack: toTarget || share > minFallbackShare, rejected: rejected}
}

// onlyTargetServers reports whether the pool has no servers of other versions than the ordered one, and the ordered one
// was not stopped.
func (r *Rollouts) onlyTargetServers(o *rollout) bool {
	hasOld := slices.ContainsFunc(r.servers.Pool(o.Pool), func(s *fleet.Server) bool {
		return s.Version != o.Target && !slices.Contains(r.rejected[o.Pool], s.Version)
	})
	return !hasOld && !o.stopped && o.state != RolledBack
}

// AllowsCall reports whether a stage server of a version may get the next call of its pool. Only the leader makes calls,
// so it keeps to the share by counting them.
func (r *Rollouts) AllowsCall(now time.Time, pool id.Pool, v id.Version) bool {
	o := r.pools[pool]
	if o != nil && slices.Contains(r.rejected[pool], v) {
		return false
	}
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

// RequestStarted counts a request sent to a server of a version as in progress.
func (r *Rollouts) RequestStarted(pool id.Pool, v id.Version) { r.inProgress[poolVersion{pool, v}]++ }

// RequestEnded counts such a request as no longer in progress.
func (r *Rollouts) RequestEnded(pool id.Pool, v id.Version) {
	key := poolVersion{pool, v}
	if r.inProgress[key]--; r.inProgress[key] <= 0 {
		delete(r.inProgress, key)
	}
}

// Observe records the result of a request at a server of a version.
func (r *Rollouts) Observe(now time.Time, pool id.Pool, v id.Version, s evidence.Sample) {
	if o := r.pools[pool]; o != nil && !o.state.final() && !slices.Contains(r.rejected[pool], v) {
		o.results.add(now, s, v == o.Target)
	}
}

// SimilarLoad reports whether the servers of both versions of a pool get about the same load, or those of the ordered one less,
// so that rejections by one version and not by the other tell something of the version.
func (r *Rollouts) SimilarLoad(now time.Time, pool id.Pool) bool {
	o := r.pools[pool]
	return o != nil && o.applied(now) <= fullShare/2
}

// oldInProgress returns the number of this node's requests in progress at servers of other versions than the ordered one.
func (r *Rollouts) oldInProgress(o *rollout) int {
	n := 0
	for key, count := range r.inProgress {
		if key.pool == o.Pool && key.version != o.Target {
			n += count
		}
	}
	return n
}

// report sends a report to the leader, if there is one. If this node is the leader, it makes its decisions first.
func (r *Rollouts) report(now time.Time) []event.Action {
	if r.leader == "" {
		return nil
	}
	var out []event.Action
	var report Report
	for _, name := range slices.Sorted(maps.Keys(r.orders)) {
		o := r.orders[name]
		if o.state.final() && !o.rewrite {
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
			Stopped: o.stopped, Reason: o.reason, State: int64(o.state), First: o.results.firstUnconfirmed(), Results: o.results.unconfirmed(now),
		})
	}
	if len(report.Parts) == 0 {
		return out
	}
	return append(out, event.Send{To: r.leader, Body: report})
}

func (r *rollout) age(now time.Time) int64 { return min(maxSpan, int64(now.Sub(r.began))) }

// mergeAge moves the beginning of the order back if another node has known it for longer.
func (r *rollout) mergeAge(now time.Time, age int64) {
	if began := now.Add(-time.Duration(age)); began.Before(r.began) {
		r.began = began
	}
}

// handleDecisions applies the decisions of the leader.
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
