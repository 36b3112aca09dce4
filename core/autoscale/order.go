package autoscale

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay between two attempts to send an order. During an outage of the service
	// each attempt renews the lease, which is a call to the store.
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// rejectedDelay is the delay after the service has refused an order as wrong.
	rejectedDelay = time.Minute
	// minHistory is how often a failure domain must have been seen before the order of an earlier leader is compared with it.
	minHistory = 3
	// maxServers bounds the number of servers in a valid record.
	maxServers = 1 << 20
)

// separator stands between the pool and the failure domain in the name of a subject.
const separator = "~"

// subjectOf returns the subject of the orders for a pool in a failure domain.
func subjectOf(pool id.Pool, domain id.FailureDomain) duty.Subject {
	return duty.Subject{Duty: duty.Scale, Name: string(pool) + separator + string(domain)}
}

// record is what is recorded under the lease before an order is sent.
type record struct {
	Desired int `json:"desired"`
}

// recorded returns the number of servers in the record of a subject.
func (a *Autoscaler) recorded(subject duty.Subject) (desired int, ok bool) {
	raw, ok := a.leases.Record(subject)
	if !ok {
		return 0, false
	}
	var r record
	if err := json.Unmarshal(raw, &r); err != nil || r.Desired <= 0 || r.Desired > maxServers {
		return 0, false
	}
	return r.Desired, true
}

// orderState is the order in force for a pool in a failure domain, and the progress of sending it.
type orderState struct {
	subject duty.Subject
	pool    id.Pool
	domain  id.FailureDomain
	desired int // 0 if neither this process nor an earlier leader has ordered any

	open      bool   // the service may not have accepted desired
	checked   bool   // this process has made the order, or has compared it with the servers that are present
	requested bool   // a write of the record has been requested
	call      uint64 // number of the call in progress, 0 for none
	sending   int    // the number of servers in that call
	attempts  int
	retryAt   time.Time
}

// placed returns the state of the order for a pool in a failure domain, which is added if it is new.
func (a *Autoscaler) placed(pool id.Pool, domain id.FailureDomain) *orderState {
	subject := subjectOf(pool, domain)
	o := a.orders[subject]
	if o == nil {
		o = &orderState{subject: subject, pool: pool, domain: domain}
		a.orders[subject] = o
	}
	return o
}

// outdated reports whether the record names fewer servers than there are, and the store may have forgotten a later order. What is
// present then tells more of that order.
func (a *Autoscaler) outdated(now time.Time, subject duty.Subject, d *domain) bool {
	recorded, ok := a.recorded(subject)
	_, stale := a.leases.StaleSince(subject)
	return ok && stale && recorded < d.recent(now)
}

// applyRecord sets the number of ordered servers to that in the record of an earlier leader, unless this process has made an order.
func (a *Autoscaler) applyRecord(now time.Time, name id.Pool, p *pool, d *domain) {
	o := a.placed(name, d.name)
	recorded, ok := a.recorded(o.subject)
	switch {
	case o.desired != 0 && a.leases.Active():
		if o.open {
			d.startBy = now.Add(p.scale.Boot + bootMargin) // servers start after the order has arrived
		}
		return
	case !ok, a.outdated(now, o.subject, d):
		if d.known { // the order was not recorded, so that it was not sent, or it is not known
			d.known, d.ordered = false, d.recent(now)
		}
		return
	case !d.known || d.ordered != recorded:
		d.ordered, d.known = recorded, true
		d.expected, d.startBy = max(0, recorded-d.ready), now.Add(p.scale.Boot+bootMargin)
	}
	if a.leases.Active() {
		o.desired = recorded
	}
}

// repeatUnfulfilled marks the order of an earlier leader to be sent again if the number of servers differs from it, because that
// leader may not have sent it. Usually the servers are only still starting; sending the same number again is harmless.
func (a *Autoscaler) repeatUnfulfilled(now time.Time, name id.Pool, p *pool, d *domain) {
	o := a.placed(name, d.name)
	if o.desired == 0 || o.checked || len(d.history) < minHistory {
		return
	}
	o.checked = true
	if d.ready != d.ordered {
		o.open = true
		d.expected, d.startBy = max(0, d.ordered-d.ready), now.Add(p.scale.Boot+bootMargin)
	}
}

// applyOrder makes a decision the order in force, which is then recorded and sent.
func (a *Autoscaler) applyOrder(name id.Pool, next order) []event.Action {
	o := a.placed(name, next.domain)
	o.desired, o.open, o.checked, o.attempts, o.retryAt = next.desired, true, true, 0, time.Time{}
	o.requested = false // the record of this order replaces one that waits to be written
	return []event.Action{
		event.Log{Kind: "autoscale", Stage: o.subject.Name, Choice: fmt.Sprintf("order %d", next.desired), Reason: fmt.Sprintf("before=%d %s", next.before, next.reason)},
		Ordered{Pool: name, Domain: next.domain, Desired: next.desired},
	}
}

// retry records or sends the orders whose next attempt is due.
func (a *Autoscaler) retry(now time.Time) []event.Action {
	if !a.leases.Active() || !a.leases.Loaded() {
		return nil
	}
	var out []event.Action
	for _, name := range slices.Sorted(maps.Keys(a.pools)) {
		for _, d := range a.pools[name].sorted() {
			out = append(out, a.advance(now, a.placed(name, d.name))...)
		}
	}
	return out
}

// advance records an order, or sends it if it is recorded.
func (a *Autoscaler) advance(now time.Time, o *orderState) []event.Action {
	if !o.open || o.requested || o.call != 0 || now.Before(o.retryAt) {
		return nil
	}
	if recorded, ok := a.recorded(o.subject); !ok || recorded != o.desired {
		return a.write(o)
	}
	body, err := a.encoder.ScaleOrder(o.pool, o.domain, o.desired)
	if err != nil {
		o.open = false
		return []event.Action{event.Log{Kind: "autoscale", Stage: o.subject.Name, Choice: "encode", Reason: err.Error()}}
	}
	c, retryAt, ok := a.leases.Call(now, o.subject, body)
	switch {
	case ok:
		o.call, o.sending = c.Number, o.desired
		o.attempts++
		a.calls[c.Number] = o
		return []event.Action{event.Log{Kind: "autoscale", Stage: o.subject.Name, Choice: "send", Reason: fmt.Sprintf(
			"desired=%d token=%d attempt=%d", o.desired, c.Token, o.attempts)}, c}
	case retryAt.IsZero():
		return a.write(o)
	}
	o.retryAt = retryAt
	return nil
}

// write requests to record an order, or to take or renew the lease for it.
func (a *Autoscaler) write(o *orderState) []event.Action {
	raw, err := json.Marshal(record{Desired: o.desired})
	if err != nil {
		o.open = false
		return []event.Action{event.Log{Kind: "autoscale", Stage: o.subject.Name, Choice: "encode", Reason: err.Error()}}
	}
	o.requested = true
	return []event.Action{a.leases.NewRecord(o.subject, raw)}
}

// handleRecord continues after a write. If another node has written instead, its order replaces that of this node.
func (a *Autoscaler) handleRecord(now time.Time, subject duty.Subject, own bool) []event.Action {
	o := a.orders[subject]
	if o == nil {
		return nil
	}
	o.requested = false
	if !own {
		o.desired, o.open, o.checked = 0, false, false
		return nil
	}
	return a.advance(now, o)
}

// handleResult handles the outcome of a call.
func (a *Autoscaler) handleResult(now time.Time, ev duty.CallResult) []event.Action {
	o := a.calls[ev.Number]
	delete(a.calls, ev.Number)
	if o == nil || o.call != ev.Number {
		return nil
	}
	o.call = 0
	out := []event.Action{event.Log{Kind: "autoscale", Stage: o.subject.Name, Choice: ev.Outcome.String(), Reason: fmt.Sprintf(
		"desired=%d attempt=%d %s", o.sending, o.attempts, ev.Detail)}}
	switch ev.Outcome {
	case duty.Accepted:
		o.attempts, o.open = 0, o.open && o.sending != o.desired
		return append(out, Ordered{Pool: o.pool, Domain: o.domain, Desired: o.sending, Accepted: true})
	case duty.Rejected:
		o.retryAt = now.Add(rejectedDelay)
		return out
	}
	delay := min(maxRetryDelay, minRetryDelay<<min(o.attempts, 8))
	o.retryAt = now.Add(max(ev.RetryAfter, delay/2+time.Duration(a.self.Rand.Int64N(int64(delay/2)))))
	return out
}
