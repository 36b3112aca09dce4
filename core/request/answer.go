package request

import (
	"time"

	"bluebellflow/core/claim"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/route"
)

func problemReply(request id.Request, kind event.ProblemKind, detail string, retryAfter time.Duration) event.Reply {
	return event.Reply{Request: request, End: true, Problem: &event.Problem{Kind: kind, Detail: detail, RetryAfter: retryAfter}}
}

// answer ends a request with its complete answer.
func (r *Requests) answer(now time.Time, o *openRequest, result []byte, tokens int, out *actions) {
	r.counters.Answered++
	out.add(event.Reply{Request: o.arrival.Request, Data: result, End: true, Tokens: tokens})
	r.remove(now, o, out)
}

// answerRecorded ends a request with the recorded answer of an earlier request with the same key.
func (r *Requests) answerRecorded(now time.Time, o *openRequest, result []byte, out *actions) {
	o.granted = false
	r.answer(now, o, result, 0, out)
}

// refuse ends a request that was not run, and releases the claim that it may hold. The caller gets another problem if the
// request may have run after all, see failRequest.
func (r *Requests) refuse(now time.Time, o *openRequest, detail string, retryAfter time.Duration, out *actions) {
	r.failRequest(now, o, event.ProblemRefused, detail, retryAfter, out)
}

// failRequest ends a request with a problem. If its action was sent, the caller is told that the outcome is unknown; if the
// key was looked up too long ago for a refusal, it is looked up again first.
func (r *Requests) failRequest(now time.Time, o *openRequest, kind event.ProblemKind, detail string, retryAfter time.Duration, out *actions) {
	if o.actionSent {
		r.answerUnknown(now, o, detail, out)
		return
	}
	kind = o.provableKind(kind)
	if kind == event.ProblemRefused && o.lookupStale(now) {
		r.repeatLookup(now, o, refusal{detail, retryAfter}, out)
		return
	}
	r.endWithProblem(now, o, kind, detail, retryAfter, out)
}

// endWithProblem sends a problem to the caller and removes the request. Its action must not be pending.
func (r *Requests) endWithProblem(now time.Time, o *openRequest, kind event.ProblemKind, detail string, retryAfter time.Duration, out *actions) {
	r.counters.Problems++
	out.log("answer", o, string(kind), detail)
	out.add(problemReply(o.arrival.Request, kind, detail, retryAfter))
	r.remove(now, o, out)
}

// provableKind returns kind, or another kind if it is a refusal that may be wrong. A refusal states that no stage ran here
// and that no earlier request with the same key can have run.
func (o *openRequest) provableKind(kind event.ProblemKind) event.ProblemKind {
	switch {
	case kind != event.ProblemRefused:
		return kind
	case needsKey(o.plan) && !o.keyAbsent && !o.granted:
		return event.ProblemUnknown
	case o.sent:
		return event.ProblemFailed
	}
	return kind
}

// refusal is a problem of kind event.ProblemRefused that is held back until a new lookup of the key confirms it.
type refusal struct {
	detail     string
	retryAfter time.Duration
}

// lookupStale reports whether the last lookup of the key is too old for a refusal, since another request with the same key
// may have run after it.
func (o *openRequest) lookupStale(now time.Time) bool {
	return needsKey(o.plan) && !o.granted && o.pendingRefusal == nil && now.Sub(o.lookupAt) > maxLookupAge
}

// repeatLookup looks up the key again before the request is refused. If the lookup times out, the outcome is unknown.
func (r *Requests) repeatLookup(now time.Time, o *openRequest, pending refusal, out *actions) {
	r.releaseSlot(now, o, out)
	r.cancelAllExcept(now, o, nil, out)
	o.pendingRefusal = &pending
	o.phase = phaseLookup
	o.lookupAt = now
	o.keyAbsent = false
	if until := now.Add(lookupTimeout); until.Before(o.deadline) {
		o.deadline = until
	}
	r.timers.Set(o.deadline, o.arrival.Request)
	out.add(r.deps.Claims.Lookup(now, o.claimRequest())...)
}

// answerUnknown tells the caller that the outcome of its action is unknown. The request stays open until the outcome is
// recorded for later requests with the same key.
func (r *Requests) answerUnknown(now time.Time, o *openRequest, detail string, out *actions) {
	if o.phase == phaseOutcome {
		return
	}
	r.counters.Problems++
	out.log("answer", o, string(event.ProblemUnknown), detail)
	out.add(problemReply(o.arrival.Request, event.ProblemUnknown, detail, claimRetryAfter))
	o.phase = phaseOutcome
	o.deadline = now.Add(maxOutcomeWait)
	r.timers.Set(o.deadline, o.arrival.Request)
	r.releaseSlot(now, o, out)
}

// remove deletes a request that has its final answer and releases everything that it holds.
func (r *Requests) remove(now time.Time, o *openRequest, out *actions) {
	r.cancelAllExcept(now, o, nil, out)
	if o.granted && !o.actionSent {
		out.add(r.deps.Claims.RecordOutcome(now, o.arrival.Request, claim.NotDispatched, nil)...)
		o.granted = false
	}
	delete(r.open, o.arrival.Request)
	out.add(r.deps.Guard.Finish(now, o.arrival.Request, o.fingerprint)...)
	if o.phase != phaseOutcome {
		r.releaseSlot(now, o, out)
	}
}

// releaseSlot ends the request's admission and admits the next requests.
func (r *Requests) releaseSlot(now time.Time, o *openRequest, out *actions) {
	r.deps.Queue.Finish(o.arrival.Request)
	r.admitQueued(now, out)
}

// handleDisconnect ends a request whose caller disconnected. If its action is pending, the request stays open until the
// outcome is recorded.
func (r *Requests) handleDisconnect(now time.Time, request id.Request, out *actions) {
	o, ok := r.open[request]
	if !ok || o.phase == phaseOutcome {
		return
	}
	if o.actionSent {
		r.answerUnknown(now, o, "the caller disconnected", out)
		return
	}
	out.log("answer", o, "none", "the caller disconnected")
	r.remove(now, o, out)
}

// handleTick refuses the queued requests that can no longer meet their deadlines and handles due timers.
func (r *Requests) handleTick(now time.Time, out *actions) {
	for _, task := range r.deps.Queue.Expired(now) {
		if o, ok := r.open[task.Request]; ok && o.phase == phaseQueued {
			r.refuse(now, o, "the deadline can no longer be met", placeRetryAfter, out)
		}
	}
	for r.timers.Due(now) {
		request := r.timers.Pop()
		if o, ok := r.open[request]; ok {
			r.handleTimer(now, o, out)
		}
	}
	r.admitQueued(now, out)
}

// handleTimer does all that is due for one request. A timer does not say why it was set: the state of the request decides
// what is due, so an outdated timer has no effect.
func (r *Requests) handleTimer(now time.Time, o *openRequest, out *actions) {
	if !o.deadline.After(now) {
		r.expire(now, o, out)
		return
	}
	switch o.phase {
	case phasePlacement:
		r.place(now, o, out)
	case phaseCrashCheck:
		if !o.crashCheckUntil.After(now) {
			r.retryThroughGuard(now, o, out)
		}
	case phaseRunning:
		r.timeOutAttempts(now, o, out)
		if _, ok := r.open[o.arrival.Request]; ok {
			r.hedge(now, o, out)
		}
	}
}

// timeOutAttempts fails the first attempt that has timed out.
func (r *Requests) timeOutAttempts(now time.Time, o *openRequest, out *actions) {
	for i := 0; i < len(o.attempts); i++ {
		a := o.attempts[i]
		if a.timeoutAt.After(now) || a.stage != o.stage {
			continue
		}
		if o.atMostOnce() {
			r.failRequest(now, o, event.ProblemUnknown, "no answer from the service in time", claimRetryAfter, out)
			return
		}
		r.recordSample(now, o, a, now.Sub(a.startedAt), true)
		r.abandon(o, a)
		out.add(event.Cancel{Attempt: a.attempt, Server: a.server, Addr: a.addr})
		out.add(r.deps.Router.End(now, a.attempt, route.Outcome{Kind: route.Errored, Took: now.Sub(a.startedAt)})...)
		r.retry(now, o, a, event.FailTimeout, "no answer from the backend server in time", out)
		return
	}
}

// expire ends a request whose deadline has passed.
func (r *Requests) expire(now time.Time, o *openRequest, out *actions) {
	if o.phase == phaseOutcome {
		out.add(r.deps.Claims.RecordOutcome(now, o.arrival.Request, claim.Unknown, nil)...)
		o.granted = false
		o.actionSent = false
		r.remove(now, o, out)
		return
	}
	if o.phase == phaseClaim || o.phase == phaseLookup {
		r.failRequest(now, o, event.ProblemUnknown, "the idempotency key could not be looked up or claimed in time", claimRetryAfter, out)
		return
	}
	r.failRequest(now, o, event.ProblemDeadline, "the deadline passed before the answer was complete", 0, out)
}
