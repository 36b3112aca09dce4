package canary

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
)

const (
	retryDelay      = 500 * time.Millisecond
	orderRetryDelay = 2 * time.Second
)

// control takes over the lease if this node should be the controller. As the controller it renews the lease, sends orders
// to servers, raises the share and writes the outcome.
func (rs *Rollouts) control(now time.Time, r *rollout) []event.Action {
	mine := r.Incarnation == rs.self.Incarnation
	if !mine {
		preferred, ok := rs.view.Owner(prefix+r.Name, nil)
		// A holder counts its lease from the time at which it sent its last update. The lease therefore ends before this
		// node has seen the same version for the length of a lease.
		expired := r.Holder == "" || now.Sub(r.versionSince) > rs.lease || rs.skipLeaseWait
		if !ok || preferred.ID != rs.self.Node || !expired {
			return nil
		}
		next := r.Record
		next.Fence++
		next.Holder, next.Incarnation, next.Renewed = rs.self.Node, rs.self.Incarnation, now
		return []event.Action{rs.put(now, r, next)}
	}
	next := r.Record
	next.Renewed = now
	if !now.Before(r.leaseUntil) {
		return []event.Action{rs.put(now, r, next)} // only renew until the update shows that no other node took over
	}
	out := rs.orderLoads(now, r)
	if rs.conclude(now, r, &next) || rs.raiseShare(now, r, &next) || now.After(r.leaseUntil.Add(-rs.lease*2/3)) {
		return append(out, rs.put(now, r, next))
	}
	return out
}

// raiseShare sets the next step's share in next if the present step has lasted long enough and the evidence allows it. It
// stops a rollout whose deadline has passed. It reports whether it has changed next.
func (rs *Rollouts) raiseShare(now time.Time, r *rollout, next *Record) bool {
	if r.State != Running || r.stopped || r.Share >= fullShare {
		return false
	}
	left := r.Deadline.Sub(now)
	if left <= 0 {
		next.State, next.Share, next.Reason = Stopping, 0, "the finish-by time has passed without enough evidence"
		return true
	}
	at := slices.IndexFunc(steps[:], func(s int) bool { return s > r.Share })
	step := steps[at]
	// The remaining steps get equal parts of the remaining time, with one part in reserve.
	dwell := min(rs.maxDwell, left/time.Duration(len(steps)-at+1))
	score, _ := r.evidence.Evaluate(now)
	if now.Sub(r.stepSince) < dwell || score > evidence.BadScore/2 || (step > maxUnprovenShare && !r.evidence.Complete(evidence.EnoughResults)) {
		return false
	}
	next.Share = step
	return true
}

// conclude sets the outcome in next and returns true once all conditions for it hold.
func (rs *Rollouts) conclude(now time.Time, r *rollout, next *Record) bool {
	switch {
	case r.State == Stopping:
		// peerTimeout gives every reachable node the time to report that it has stopped.
		if now.Sub(r.stepSince) < rs.peerTimeout || !rs.peersAtShare(now, r, 0, false) {
			return false
		}
		next.State = RolledBack
		return true
	case r.State == Running && r.Share == fullShare && !r.stopped:
		if !rs.peersAtShare(now, r, fullShare, true) {
			r.fullSince = time.Time{}
			return false
		}
		if r.fullSince.IsZero() {
			r.fullSince = now
		}
		if !rs.oldServersIdle(r) {
			return false
		}
		next.State = Done
		return true
	}
	return false
}

// peersAtShare reports whether the other nodes apply a share. It ignores silent nodes unless all is set.
func (rs *Rollouts) peersAtShare(now time.Time, r *rollout, share int, all bool) bool {
	if rs.view == nil {
		return false
	}
	for _, n := range rs.view.Nodes {
		if n.ID == rs.self.Node {
			continue
		}
		p, ok := r.peers[n.ID]
		silent := !ok || now.Sub(p.at) > rs.peerTimeout
		if (silent && all) || (!silent && p.applied != share) {
			return false
		}
	}
	return true
}

// oldServersIdle reports whether all servers of the old version have reported nothing in flight since all traffic went to
// the new one.
func (rs *Rollouts) oldServersIdle(r *rollout) bool {
	for name, s := range rs.servers {
		if s.Pool != r.Pool || s.Version != r.From {
			continue
		}
		rep, ok := rs.reports[name]
		if !ok || rep.Running+rep.Waiting > 0 || !rep.At.After(r.fullSince.Add(time.Second)) {
			return false
		}
	}
	return true
}

// orderLoads orders the new version's servers to load it.
func (rs *Rollouts) orderLoads(now time.Time, r *rollout) []event.Action {
	if r.State != Running || r.stopped || now.Before(r.ordersAt) {
		return nil
	}
	var out []event.Action
	for _, name := range slices.Sorted(maps.Keys(rs.servers)) {
		s := rs.servers[name]
		o := r.ordered[name]
		if s.Pool != r.Pool || s.Version != r.To || s.Leaving || (o.ok && o.start == s.Start) || now.Sub(o.at) < orderRetryDelay {
			continue
		}
		r.ordered[name] = order{start: s.Start, fence: r.Fence, at: now}
		rs.seq++
		out = append(out, event.Order{
			Owner: owner, Seq: rs.seq, Server: name, Addr: s.Addr, Kind: "load", Version: r.To, Fence: r.Fence,
		})
	}
	return out
}

func (rs *Rollouts) handleOrderResult(_ time.Time, ev event.OrderResult) {
	for _, r := range rs.rollouts {
		o, ok := r.ordered[ev.Order.Server]
		if !ok || r.To != ev.Order.Version || o.fence != ev.Order.Fence {
			continue
		}
		if ev.Code == event.CodeConflict && r.Fence == ev.Order.Fence {
			r.stale, r.leaseUntil = true, time.Time{} // the server has an order of a newer controller
		}
		o.ok = ev.Code == event.CodeOK
		r.ordered[ev.Order.Server] = o
	}
}

func (rs *Rollouts) call(c event.PlatformCall, name string) event.PlatformCall {
	rs.seq++
	c.Owner, c.Seq = owner, rs.seq
	if name != "" {
		c.Name = prefix + name
		rs.calls[c.Seq] = name
	}
	return c
}

func (rs *Rollouts) list() event.Action {
	rs.nextList = time.Time{}
	c := rs.call(event.PlatformCall{Op: event.OpList, Name: prefix}, "")
	rs.listSeq = c.Seq
	return c
}

func (rs *Rollouts) get(now time.Time, r *rollout) event.Action {
	r.busy, r.stale, r.sentAt, r.pendingWrite = true, false, now, nil
	c := rs.call(event.PlatformCall{Op: event.OpGet}, r.Name)
	r.callSeq = c.Seq
	return c
}

func (rs *Rollouts) put(now time.Time, r *rollout, next Record) event.Action {
	r.busy, r.sentAt, r.pendingWrite = true, now, &next
	raw, _ := json.Marshal(next) // a Record can always be encoded
	c := rs.call(event.PlatformCall{Op: event.OpPut, Version: r.version, Value: raw}, r.Name)
	r.callSeq = c.Seq
	return c
}

func (rs *Rollouts) handleObjectChanged(now time.Time, ev event.ObjectChanged) []event.Action {
	if ev.Name == "" {
		if rs.listSeq == 0 {
			return []event.Action{rs.list()}
		}
		rs.nextList = now.Add(retryDelay)
		return nil
	}
	if len(ev.Name) <= len(prefix) || ev.Name[:len(prefix)] != prefix {
		return nil
	}
	name := ev.Name[len(prefix):]
	r := rs.rollouts[name]
	if r == nil {
		return []event.Action{rs.call(event.PlatformCall{Op: event.OpGet}, name)}
	}
	if ev.Version > r.version {
		if r.busy {
			r.stale = true
			return nil
		}
		return []event.Action{rs.get(now, r)}
	}
	return nil
}

func (rs *Rollouts) handlePlatformResult(now time.Time, ev event.PlatformResult) []event.Action {
	if ev.Call.Op == event.OpList {
		return rs.handleListResult(now, ev)
	}
	name, ok := rs.calls[ev.Call.Seq]
	if !ok {
		return nil
	}
	delete(rs.calls, ev.Call.Seq)
	if b, ok := rs.pendingBegins[ev.Call.Seq]; ok {
		delete(rs.pendingBegins, ev.Call.Seq)
		return rs.handleBeginResult(now, b, ev)
	}
	r := rs.rollouts[name]
	if ev.Call.Op == event.OpGet && ev.Code == event.CodeOK {
		var rec Record
		if json.Unmarshal(ev.Objects[0].Value, &rec) == nil && rec.Name == name {
			r = rs.adopt(now, rec, ev.Objects[0].Version)
		}
	}
	if ev.Code == event.CodeNotFound {
		rs.unread.Delete(name)
	}
	if r == nil {
		if ev.Code == event.CodeUnavailable || ev.Code == event.CodeUnknown {
			rs.nextList = now.Add(retryDelay)
		}
		return nil
	}
	if ev.Call.Seq != r.callSeq {
		return nil // sent before this node knew the rollout; another call is in flight
	}
	r.busy = false
	switch {
	case ev.Call.Op == event.OpGet:
		if ev.Code != event.CodeOK {
			r.stale, r.retryAt = true, now.Add(retryDelay)
		}
	case ev.Code == event.CodeOK:
		return rs.handlePutOK(now, r, ev.Call.Version+1)
	case ev.Code == event.CodeUnavailable:
		r.retryAt = now.Add(retryDelay)
	default: // a conflict or a lost answer: read the object
		if rs.unconditionalOutcome && r.pendingWrite != nil && !r.pendingWrite.inProgress() {
			r.version++
			return []event.Action{rs.put(now, r, *r.pendingWrite)}
		}
		r.stale = true
	}
	rs.nextTick = now
	return nil
}

// inProgress reports whether the rollout has no outcome yet.
func (r Record) inProgress() bool { return r.State == Running || r.State == Stopping }

// handlePutOK applies an update by this node that took effect.
func (rs *Rollouts) handlePutOK(now time.Time, r *rollout, version uint64) []event.Action {
	before, next := r.Record, *r.pendingWrite
	rs.adopt(now, next, version)
	if next.Incarnation == rs.self.Incarnation {
		r.leaseUntil = r.sentAt.Add(rs.lease)
		if before.Incarnation != rs.self.Incarnation {
			r.ordersAt = now
			if before.Holder != "" && !rs.skipLeaseWait {
				// Some servers ignore fences. Wait until no order of the previous holder can still arrive there.
				r.ordersAt = now.Add(rs.lease)
			}
		}
	}
	if before.State == next.State && before.Share == next.Share && before.Fence == next.Fence {
		return nil
	}
	return []event.Action{event.Log{
		Kind: "move", Choice: fmt.Sprintf("%s %s share %d fence %d", next.Name, next.State, next.Share, next.Fence), Reason: next.Reason,
	}}
}

func (rs *Rollouts) handleListResult(now time.Time, ev event.PlatformResult) []event.Action {
	if ev.Call.Seq != rs.listSeq {
		return nil
	}
	rs.listSeq = 0
	if ev.Code != event.CodeOK {
		rs.nextList = now.Add(retryDelay)
		if !rs.loaded {
			return rs.requestRollouts()
		}
		return nil
	}
	var out []event.Action
	for _, o := range ev.Objects {
		name := o.Name[len(prefix):]
		r := rs.rollouts[name]
		switch {
		case r == nil:
			rs.unread.Add(name)
			out = append(out, rs.call(event.PlatformCall{Op: event.OpGet}, name))
		case o.Version > r.version && r.busy:
			r.stale = true
		case o.Version > r.version:
			out = append(out, rs.get(now, r))
		}
	}
	rs.loaded = true
	return out
}

// begin handles an operator's command to start a rollout.
func (rs *Rollouts) begin(now time.Time, b Begin) []event.Action {
	fault := ""
	switch r := rs.current[b.Pool]; {
	case b.Name == "" || len(b.Name) > maxText || b.Pool == "" || b.From == "" || b.To == "" || b.From == b.To:
		fault = "a move needs a name, a pool and two different versions"
	case !b.Deadline.After(now):
		fault = "the finish-by time has passed"
	case rs.rollouts[b.Name] != nil:
		fault = "there was a move of this name; a version that was rolled back needs a new name"
	case r != nil && r.inProgress():
		fault = "move " + r.Name + " of this pool still runs"
	}
	if fault != "" {
		return []event.Action{commandResult(b, nil, event.ProblemInvalid, fault)}
	}
	rec := Record{
		Name: b.Name, Pool: b.Pool, From: b.From, To: b.To, Deadline: b.Deadline, Began: now, State: Running,
		CommandID: fmt.Sprintf("%s/%d", rs.self.Incarnation, b.Number),
	}
	raw, _ := json.Marshal(rec)
	c := rs.call(event.PlatformCall{Op: event.OpPut, Value: raw}, b.Name)
	rs.pendingBegins[c.Seq] = b
	return []event.Action{c}
}

func commandResult(b Begin, value any, kind event.ProblemKind, fault string) event.Action {
	a := event.CommandResult{Number: b.Number, Value: value}
	if fault != "" {
		a.Fault = &event.Problem{Kind: kind, Detail: fault}
	}
	return a
}

// handleBeginResult answers the operator. If the answer to the write was lost, it reads the object to see whether the
// write took effect.
func (rs *Rollouts) handleBeginResult(now time.Time, b Begin, ev event.PlatformResult) []event.Action {
	var rec Record
	switch {
	case ev.Code == event.CodeUnavailable:
		return []event.Action{commandResult(b, nil, event.ProblemRefused, "the platform cannot be reached; the move was not started")}
	case ev.Call.Op == event.OpPut && ev.Code == event.CodeOK:
		_ = json.Unmarshal(ev.Call.Value, &rec) // written by begin
		rs.adopt(now, rec, ev.Call.Version+1)
		return []event.Action{commandResult(b, rec, "", "")}
	case ev.Call.Op == event.OpPut:
		c := rs.call(event.PlatformCall{Op: event.OpGet}, b.Name)
		rs.pendingBegins[c.Seq] = b
		return []event.Action{c}
	case ev.Code == event.CodeOK && json.Unmarshal(ev.Objects[0].Value, &rec) == nil && rec.Name == b.Name:
		rs.adopt(now, rec, ev.Objects[0].Version)
		if rec.CommandID == fmt.Sprintf("%s/%d", rs.self.Incarnation, b.Number) {
			return []event.Action{commandResult(b, rec, "", "")}
		}
		return []event.Action{commandResult(b, nil, event.ProblemInvalid, "there is a move of this name")}
	}
	return []event.Action{commandResult(b, nil, event.ProblemUnknown, "the move may have been started; ask for its status")}
}
