package request

import (
	"time"

	"bluebellflow/core/claim"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/route"
)

func problem(name id.Request, kind event.ProblemKind, detail string, after time.Duration) event.Reply {
	return event.Reply{Request: name, End: true, Problem: &event.Problem{Kind: kind, Detail: detail, RetryAfter: after}}
}

// answer ends a request with its whole answer.
func (r *Requests) answer(now time.Time, o *open, result []byte, tokens int, out *actions) {
	r.counters.Answered++
	out.add(event.Reply{Request: o.arrive.Request, Data: result, End: true, Tokens: tokens})
	r.forget(now, o, out)
}

// finish ends a request with the recorded answer of an earlier one.
func (r *Requests) finish(now time.Time, o *open, result []byte, out *actions) {
	o.granted = false
	r.answer(now, o, result, 0, out)
}

// refuse ends a request that was not run. If it was granted its claim, the claim is void again;
// if its claim was sent to a service, it cannot be refused and its outcome is unknown.
func (r *Requests) refuse(now time.Time, o *open, detail string, after time.Duration, out *actions) {
	r.giveUp(now, o, event.ProblemRefused, detail, after, out)
}

// giveUp ends a request with a problem, at once.
func (r *Requests) giveUp(now time.Time, o *open, kind event.ProblemKind, detail string, after time.Duration, out *actions) {
	if o.dispatched {
		r.giveUpAction(now, o, detail, out)
		return
	}
	kind = o.truthful(kind)
	if kind == event.ProblemRefused && o.stale(now) {
		r.lookAgain(now, o, refusal{detail, after}, out)
		return
	}
	r.end(now, o, kind, detail, after, out)
}

// end ends a request that is not on its way to a service with a problem.
func (r *Requests) end(now time.Time, o *open, kind event.ProblemKind, detail string, after time.Duration, out *actions) {
	r.counters.Problems++
	out.log("answer", o, string(kind), detail)
	out.add(problem(o.arrive.Request, kind, detail, after))
	r.forget(now, o, out)
}

// truthful makes sure that a refusal is true of the request: no stage of it ran here, and if it has
// a key, no earlier request with the same key can have run.
func (o *open) truthful(kind event.ProblemKind) event.ProblemKind {
	switch {
	case kind != event.ProblemRefused:
		return kind
	case needsKey(o.plan) && !o.absent && !o.granted:
		return event.ProblemUnknown
	case o.sent:
		return event.ProblemFailed
	}
	return kind
}

// refusal is what a caller is told once it is known to be true.
type refusal struct {
	detail string
	after  time.Duration
}

// stale reports whether the key was looked up so long ago that another request with it may have run since.
func (o *open) stale(now time.Time) bool {
	return needsKey(o.plan) && !o.granted && o.refusal == nil && now.Sub(o.looked) > lookFresh
}

// lookAgain looks up the key before the request is refused. If there is no answer soon, the outcome is unknown.
func (r *Requests) lookAgain(now time.Time, o *open, why refusal, out *actions) {
	r.leaveQueue(now, o, out)
	r.cancelOthers(now, o, nil, out)
	o.refusal = &why
	o.phase = looking
	o.looked = now
	o.absent = false
	if until := now.Add(lookWait); until.Before(o.deadline) {
		o.deadline = until
	}
	r.timers.Set(o.deadline, o.arrive.Request)
	out.add(r.parts.Claims.Lookup(now, o.claim())...)
}

// giveUpAction answers a caller whose action is on its way, and goes on waiting for the outcome,
// so that a request with the same key can be told.
func (r *Requests) giveUpAction(now time.Time, o *open, detail string, out *actions) {
	if o.phase == settling {
		return
	}
	r.counters.Problems++
	out.log("answer", o, string(event.ProblemUnknown), detail)
	out.add(problem(o.arrive.Request, event.ProblemUnknown, detail, claimRetry))
	o.phase = settling
	o.deadline = now.Add(settleWait)
	r.timers.Set(o.deadline, o.arrive.Request)
	r.leaveQueue(now, o, out)
}

// forget closes the books on a request that has its final answer.
func (r *Requests) forget(now time.Time, o *open, out *actions) {
	r.cancelOthers(now, o, nil, out)
	if o.granted && !o.dispatched {
		out.add(r.parts.Claims.RecordOutcome(now, o.arrive.Request, claim.NotDispatched, nil)...)
		o.granted = false
	}
	delete(r.open, o.arrive.Request)
	out.add(r.parts.Guard.Finish(now, o.arrive.Request, o.print)...)
	if o.phase != settling {
		r.leaveQueue(now, o, out)
	}
}

// leaveQueue gives the request's place in admission to the next one.
func (r *Requests) leaveQueue(now time.Time, o *open, out *actions) {
	r.parts.Queue.Finish(o.arrive.Request)
	r.next(now, out)
}

// gone drops a request whose caller hung up, unless its action is on its way.
func (r *Requests) gone(now time.Time, name id.Request, out *actions) {
	o, ok := r.open[name]
	if !ok || o.phase == settling {
		return
	}
	if o.dispatched {
		r.giveUpAction(now, o, "the caller hung up", out)
		return
	}
	out.log("answer", o, "none", "the caller hung up")
	r.forget(now, o, out)
}

// tick handles the timers that are due.
func (r *Requests) tick(now time.Time, out *actions) {
	for _, t := range r.parts.Queue.Expired(now) {
		if o, ok := r.open[t.Request]; ok && o.phase == queued {
			r.refuse(now, o, "the deadline can no longer be met", placeRetry, out)
		}
	}
	for r.timers.Due(now) {
		name := r.timers.Pop()
		if o, ok := r.open[name]; ok {
			r.timed(now, o, out)
		}
	}
	r.next(now, out)
}

// timed does whatever is due for one request; a timer carries no reason, so that none can be stale.
func (r *Requests) timed(now time.Time, o *open, out *actions) {
	if !o.deadline.After(now) {
		r.expire(now, o, out)
		return
	}
	switch o.phase {
	case placing:
		r.place(now, o, out)
	case verifying:
		if !o.verified.After(now) {
			r.recheck(now, o, out)
		}
	case running:
		r.timeouts(now, o, out)
		if _, open := r.open[o.arrive.Request]; open {
			r.hedge(now, o, out)
		}
	}
}

// timeouts fails the attempts that had their time.
func (r *Requests) timeouts(now time.Time, o *open, out *actions) {
	for i := 0; i < len(o.tries); i++ {
		t := o.tries[i]
		if t.until.After(now) || t.stage != o.stage {
			continue
		}
		if o.onlyOnce() {
			r.giveUp(now, o, event.ProblemUnknown, "no answer from the service in time", claimRetry, out)
			return
		}
		r.sample(now, o, t, now.Sub(t.began), true)
		r.abandon(o, t)
		out.add(event.Cancel{Attempt: t.attempt, Server: t.server, Addr: t.addr})
		out.add(r.parts.Router.End(now, t.attempt, route.Outcome{Kind: route.Errored, Took: now.Sub(t.began)})...)
		r.retry(now, o, t, event.FailTimeout, "no answer from the backend server in time", out)
		return
	}
}

// expire ends a request at its deadline.
func (r *Requests) expire(now time.Time, o *open, out *actions) {
	if o.phase == settling {
		out.add(r.parts.Claims.RecordOutcome(now, o.arrive.Request, claim.Unknown, nil)...)
		o.granted = false
		o.dispatched = false
		r.forget(now, o, out)
		return
	}
	if o.phase == claiming || o.phase == looking {
		r.giveUp(now, o, event.ProblemUnknown, "the key could not be settled before the deadline", claimRetry, out)
		return
	}
	r.giveUp(now, o, event.ProblemDeadline, "the deadline passed before the whole answer was there", 0, out)
}
