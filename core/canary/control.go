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

// control does what only the controller may do: take over, renew, change the share, order, conclude.
func (m *Rollouts) control(now time.Time, r *rollout) []event.Action {
	mine := r.Incarnation == m.self.Incarnation
	if !mine {
		first, ok := m.view.Owner(prefix+r.Name, nil)
		// A holder's lease counts from before its last update was sent, so it ends before this node
		// has seen the same version for a whole lease.
		expired := r.Holder == "" || now.Sub(r.versionSince) > m.lease || m.skipLeaseWait
		if !ok || first.ID != m.self.Node || !expired {
			return nil
		}
		next := r.Record
		next.Fence++
		next.Holder, next.Incarnation, next.Renewed = m.self.Node, m.self.Incarnation, now
		return []event.Action{m.put(now, r, next)}
	}
	next := r.Record
	next.Renewed = now
	if !now.Before(r.leaseUntil) {
		return []event.Action{m.put(now, r, next)} // nothing else until the update proves that nobody took over
	}
	out := m.orderLoads(now, r)
	if m.conclude(now, r, &next) || m.raiseShare(now, r, &next) || now.After(r.leaseUntil.Add(-m.lease*2/3)) {
		return append(out, m.put(now, r, next))
	}
	return out
}

// raiseShare takes the next step if its time has come and the evidence allows it.
func (m *Rollouts) raiseShare(now time.Time, r *rollout, next *Record) bool {
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
	// The steps that remain share the time that is left, with one part in reserve.
	dwell := min(m.maxDwell, left/time.Duration(len(steps)-at+1))
	score, _ := r.evidence.Evaluate(now)
	if now.Sub(r.stepSince) < dwell || score > evidence.BadScore/2 || (step > maxUnprovenShare && !r.evidence.Complete(evidence.EnoughResults)) {
		return false
	}
	next.Share = step
	return true
}

// conclude writes the outcome once it is true.
func (m *Rollouts) conclude(now time.Time, r *rollout, next *Record) bool {
	switch {
	case r.State == Stopping:
		// Two beats give every node that can be heard the time to say that it has stopped.
		if now.Sub(r.stepSince) < m.peerTimeout || !m.peersAtShare(now, r, 0, false) {
			return false
		}
		next.State = RolledBack
		return true
	case r.State == Running && r.Share == fullShare && !r.stopped:
		if !m.peersAtShare(now, r, fullShare, true) {
			r.fullSince = time.Time{}
			return false
		}
		if r.fullSince.IsZero() {
			r.fullSince = now
		}
		if !m.oldServersIdle(r) {
			return false
		}
		next.State = Done
		return true
	}
	return false
}

// peersAtShare reports whether the other nodes apply a share; with all set, each node of the view must have been heard.
func (m *Rollouts) peersAtShare(now time.Time, r *rollout, share int, all bool) bool {
	if m.view == nil {
		return false
	}
	for _, n := range m.view.Nodes {
		if n.ID == m.self.Node {
			continue
		}
		k, ok := r.peers[n.ID]
		silent := !ok || now.Sub(k.at) > m.peerTimeout
		if (silent && all) || (!silent && k.applied != share) {
			return false
		}
	}
	return true
}

// oldServersIdle reports whether the old version's servers have said that nothing is in flight since all traffic went to the new one.
func (m *Rollouts) oldServersIdle(r *rollout) bool {
	for name, s := range m.servers {
		if s.Pool != r.Pool || s.Version != r.From {
			continue
		}
		rep, ok := m.reports[name]
		if !ok || rep.Running+rep.Waiting > 0 || !rep.At.After(r.fullSince.Add(time.Second)) {
			return false
		}
	}
	return true
}

// orderLoads tells the new version's servers to load it.
func (m *Rollouts) orderLoads(now time.Time, r *rollout) []event.Action {
	if r.State != Running || r.stopped || now.Before(r.ordersAt) {
		return nil
	}
	var out []event.Action
	for _, name := range slices.Sorted(maps.Keys(m.servers)) {
		s := m.servers[name]
		o := r.ordered[name]
		if s.Pool != r.Pool || s.Version != r.To || s.Leaving || (o.ok && o.start == s.Start) || now.Sub(o.at) < orderRetryDelay {
			continue
		}
		r.ordered[name] = order{start: s.Start, fence: r.Fence, at: now}
		m.seq++
		out = append(out, event.Order{
			Owner: owner, Seq: m.seq, Server: name, Addr: s.Addr, Kind: "load", Version: r.To, Fence: r.Fence,
		})
	}
	return out
}

func (m *Rollouts) handleOrderResult(_ time.Time, ev event.OrderResult) {
	for _, r := range m.rollouts {
		o, ok := r.ordered[ev.Order.Server]
		if !ok || r.To != ev.Order.Version || o.fence != ev.Order.Fence {
			continue
		}
		if ev.Code == event.CodeConflict && r.Fence == ev.Order.Fence {
			r.stale, r.leaseUntil = true, time.Time{} // a newer controller has been there
		}
		o.ok = ev.Code == event.CodeOK
		r.ordered[ev.Order.Server] = o
	}
}

func (m *Rollouts) call(c event.PlatformCall, name string) event.PlatformCall {
	m.seq++
	c.Owner, c.Seq = owner, m.seq
	if name != "" {
		c.Name = prefix + name
		m.calls[c.Seq] = name
	}
	return c
}

func (m *Rollouts) list() event.Action {
	m.nextList = time.Time{}
	c := m.call(event.PlatformCall{Op: event.OpList, Name: prefix}, "")
	m.listSeq = c.Seq
	return c
}

func (m *Rollouts) get(now time.Time, r *rollout) event.Action {
	r.busy, r.stale, r.sentAt, r.pendingWrite = true, false, now, nil
	c := m.call(event.PlatformCall{Op: event.OpGet}, r.Name)
	r.callSeq = c.Seq
	return c
}

func (m *Rollouts) put(now time.Time, r *rollout, next Record) event.Action {
	r.busy, r.sentAt, r.pendingWrite = true, now, &next
	raw, _ := json.Marshal(next) // text, numbers and times always encode
	c := m.call(event.PlatformCall{Op: event.OpPut, Version: r.version, Value: raw}, r.Name)
	r.callSeq = c.Seq
	return c
}

func (m *Rollouts) handleObjectChanged(now time.Time, ev event.ObjectChanged) []event.Action {
	if ev.Name == "" {
		if m.listSeq == 0 {
			return []event.Action{m.list()}
		}
		m.nextList = now.Add(retryDelay)
		return nil
	}
	if len(ev.Name) <= len(prefix) || ev.Name[:len(prefix)] != prefix {
		return nil
	}
	name := ev.Name[len(prefix):]
	r := m.rollouts[name]
	if r == nil {
		return []event.Action{m.call(event.PlatformCall{Op: event.OpGet}, name)}
	}
	if ev.Version > r.version {
		if r.busy {
			r.stale = true
			return nil
		}
		return []event.Action{m.get(now, r)}
	}
	return nil
}

func (m *Rollouts) handlePlatformResult(now time.Time, ev event.PlatformResult) []event.Action {
	if ev.Call.Op == event.OpList {
		return m.handleListResult(now, ev)
	}
	name, ok := m.calls[ev.Call.Seq]
	if !ok {
		return nil
	}
	delete(m.calls, ev.Call.Seq)
	if b, ok := m.pendingBegins[ev.Call.Seq]; ok {
		delete(m.pendingBegins, ev.Call.Seq)
		return m.handleBeginResult(now, b, ev)
	}
	r := m.rollouts[name]
	if ev.Call.Op == event.OpGet && ev.Code == event.CodeOK {
		var rec Record
		if json.Unmarshal(ev.Objects[0].Value, &rec) == nil && rec.Name == name {
			r = m.adopt(now, rec, ev.Objects[0].Version)
		}
	}
	if ev.Code == event.CodeNotFound {
		m.unread.Delete(name)
	}
	if r == nil {
		if ev.Code == event.CodeUnavailable || ev.Code == event.CodeUnknown {
			m.nextList = now.Add(retryDelay)
		}
		return nil
	}
	if ev.Call.Seq != r.callSeq {
		return nil // a read from before this node knew the rollout; another operation is in flight
	}
	r.busy = false
	switch {
	case ev.Call.Op == event.OpGet:
		if ev.Code != event.CodeOK {
			r.stale, r.retryAt = true, now.Add(retryDelay)
		}
	case ev.Code == event.CodeOK:
		return m.handlePutOK(now, r, ev.Call.Version+1)
	case ev.Code == event.CodeUnavailable:
		r.retryAt = now.Add(retryDelay)
	default: // a conflict or a lost answer: the object tells
		if m.unconditionalOutcome && r.pendingWrite != nil && !r.pendingWrite.inProgress() {
			r.version++
			return []event.Action{m.put(now, r, *r.pendingWrite)}
		}
		r.stale = true
	}
	m.nextTick = now
	return nil
}

func (r Record) inProgress() bool { return r.State == Running || r.State == Stopping }

// handlePutOK handles an update of this node that took effect.
func (m *Rollouts) handlePutOK(now time.Time, r *rollout, version uint64) []event.Action {
	before, next := r.Record, *r.pendingWrite
	m.adopt(now, next, version)
	if next.Incarnation == m.self.Incarnation {
		r.leaseUntil = r.sentAt.Add(m.lease)
		if before.Incarnation != m.self.Incarnation {
			r.ordersAt = now
			if before.Holder != "" && !m.skipLeaseWait {
				// Servers that ignore fences are protected by waiting out what the old holder may have sent last.
				r.ordersAt = now.Add(m.lease)
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

func (m *Rollouts) handleListResult(now time.Time, ev event.PlatformResult) []event.Action {
	if ev.Call.Seq != m.listSeq {
		return nil
	}
	m.listSeq = 0
	if ev.Code != event.CodeOK {
		m.nextList = now.Add(retryDelay)
		if !m.loaded {
			return m.requestRollouts()
		}
		return nil
	}
	var out []event.Action
	for _, o := range ev.Objects {
		name := o.Name[len(prefix):]
		r := m.rollouts[name]
		switch {
		case r == nil:
			m.unread.Add(name)
			out = append(out, m.call(event.PlatformCall{Op: event.OpGet}, name))
		case o.Version > r.version && r.busy:
			r.stale = true
		case o.Version > r.version:
			out = append(out, m.get(now, r))
		}
	}
	m.loaded = true
	return out
}

// begin starts a rollout for an operator.
func (m *Rollouts) begin(now time.Time, b Begin) []event.Action {
	fault := ""
	switch r := m.current[b.Pool]; {
	case b.Name == "" || len(b.Name) > maxText || b.Pool == "" || b.From == "" || b.To == "" || b.From == b.To:
		fault = "a move needs a name, a pool and two different versions"
	case !b.Deadline.After(now):
		fault = "the finish-by time has passed"
	case m.rollouts[b.Name] != nil:
		fault = "there was a move of this name; a version that was rolled back needs a new name"
	case r != nil && r.inProgress():
		fault = "move " + r.Name + " of this pool still runs"
	}
	if fault != "" {
		return []event.Action{commandResult(b, nil, event.ProblemInvalid, fault)}
	}
	rec := Record{
		Name: b.Name, Pool: b.Pool, From: b.From, To: b.To, Deadline: b.Deadline, Began: now, State: Running,
		CommandID: fmt.Sprintf("%s/%d", m.self.Incarnation, b.Number),
	}
	raw, _ := json.Marshal(rec)
	c := m.call(event.PlatformCall{Op: event.OpPut, Value: raw}, b.Name)
	m.pendingBegins[c.Seq] = b
	return []event.Action{c}
}

func commandResult(b Begin, value any, kind event.ProblemKind, fault string) event.Action {
	a := event.CommandResult{Number: b.Number, Value: value}
	if fault != "" {
		a.Fault = &event.Problem{Kind: kind, Detail: fault}
	}
	return a
}

// handleBeginResult answers the operator; a lost answer is resolved by reading back.
func (m *Rollouts) handleBeginResult(now time.Time, b Begin, ev event.PlatformResult) []event.Action {
	var rec Record
	switch {
	case ev.Code == event.CodeUnavailable:
		return []event.Action{commandResult(b, nil, event.ProblemRefused, "the platform cannot be reached; the move was not started")}
	case ev.Call.Op == event.OpPut && ev.Code == event.CodeOK:
		_ = json.Unmarshal(ev.Call.Value, &rec) // written by begin
		m.adopt(now, rec, ev.Call.Version+1)
		return []event.Action{commandResult(b, rec, "", "")}
	case ev.Call.Op == event.OpPut:
		c := m.call(event.PlatformCall{Op: event.OpGet}, b.Name)
		m.pendingBegins[c.Seq] = b
		return []event.Action{c}
	case ev.Code == event.CodeOK && json.Unmarshal(ev.Objects[0].Value, &rec) == nil && rec.Name == b.Name:
		m.adopt(now, rec, ev.Objects[0].Version)
		if rec.CommandID == fmt.Sprintf("%s/%d", m.self.Incarnation, b.Number) {
			return []event.Action{commandResult(b, rec, "", "")}
		}
		return []event.Action{commandResult(b, nil, event.ProblemInvalid, "there is a move of this name")}
	}
	return []event.Action{commandResult(b, nil, event.ProblemUnknown, "the move may have been started; ask for its status")}
}
