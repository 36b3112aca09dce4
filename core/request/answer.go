package request

import (
	"time"

	"bluebellflow/core/claim"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/route"
)

func problemReply(name id.Request, kind event.ProblemKind, detail string, after time.Duration) event.Reply {
	return event.Reply{Request: name, End: true, Problem: &event.Problem{Kind: kind, Detail: detail, RetryAfter: after}}
}

// answer ends a request with its whole answer.
func (r *Requests) answer(now time.Time, o *openRequest, result []byte, tokens int, out *actions) {
	r.counters.Answered++
	out.add(event.Reply{Request: o.arrival.Request, Data: result, End: true, Tokens: tokens})
	r.remove(now, o, out)
}

// answerRecorded ends a request with the recorded answer of an earlier one.
func (r *Requests) answerRecorded(now time.Time, o *openRequest, result []byte, out *actions) {
	o.granted = false
	r.answer(now, o, result, 0, out)
}

// refuse ends a request that was not run. If it was granted its claim, the claim is void again;
// if its claim was sent to a service, it cannot be refused and its outcome is unknown.
func (r *Requests) refuse(now time.Time, o *openRequest, detail string, after time.Duration, out *actions) {
	r.failRequest(now, o, event.ProblemRefused, detail, after, out)
}

// failRequest ends a request with a problem, at once.
func (r *Requests) failRequest(now time.Time, o *openRequest, kind event.ProblemKind, detail string, after time.Duration, out *actions) {
	if o.actionSent {
		r.answerUnknown(now, o, detail, out)
		return
	}
	kind = o.provableKind(kind)
	if kind == event.ProblemRefused && o.lookupStale(now) {
		r.repeatLookup(now, o, refusal{detail, after}, out)
		return
	}
	r.endWithProblem(now, o, kind, detail, after, out)
}

// endWithProblem ends a request that is not on its way to a service with a problem.
func (r *Requests) endWithProblem(now time.Time, o *openRequest, kind event.ProblemKind, detail string, after time.Duration, out *actions) {
	r.counters.Problems++
	out.log("answer", o, string(kind), detail)
	out.add(problemReply(o.arrival.Request, kind, detail, after))
	r.remove(now, o, out)
}

// provableKind makes sure that a refusal is true of the request: no stage of it ran here, and if it has
// a key, no earlier request with the same key can have run.
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

// refusal is what a caller is told once it is known to be true.
type refusal struct {
	detail     string
	retryAfter time.Duration
}

// lookupStale reports whether the key was looked up so long ago that another request with it may have run since.
func (o *openRequest) lookupStale(now time.Time) bool {
	return needsKey(o.plan) && !o.granted && o.pendingRefusal == nil && now.Sub(o.lookupAt) > maxLookupAge
}

// repeatLookup looks up the key before the request is refused. If there is no answer soon, the outcome is unknown.
func (r *Requests) repeatLookup(now time.Time, o *openRequest, why refusal, out *actions) {
	r.releaseSlot(now, o, out)
	r.cancelAllExcept(now, o, nil, out)
	o.pendingRefusal = &why
	o.phase = phaseLookup
	o.lookupAt = now
	o.keyAbsent = false
	if until := now.Add(lookupTimeout); until.Before(o.deadline) {
		o.deadline = until
	}
	r.timers.Set(o.deadline, o.arrival.Request)
	out.add(r.deps.Claims.Lookup(now, o.claimRequest())...)
}

// answerUnknown answers a caller whose action is on its way, and goes on waiting for the outcome,
// so that a request with the same key can be told.
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

// remove closes the books on a request that has its final answer.
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

// releaseSlot gives the request's place in admission to the next one.
func (r *Requests) releaseSlot(now time.Time, o *openRequest, out *actions) {
	r.deps.Queue.Finish(o.arrival.Request)
	r.admitQueued(now, out)
}

// handleDisconnect drops a request whose caller hung up, unless its action is on its way.
func (r *Requests) handleDisconnect(now time.Time, name id.Request, out *actions) {
	o, ok := r.open[name]
	if !ok || o.phase == phaseOutcome {
		return
	}
	if o.actionSent {
		r.answerUnknown(now, o, "the caller hung up", out)
		return
	}
	out.log("answer", o, "none", "the caller hung up")
	r.remove(now, o, out)
}

// handleTick handles the timers that are due.
func (r *Requests) handleTick(now time.Time, out *actions) {
	for _, t := range r.deps.Queue.Expired(now) {
		if o, ok := r.open[t.Request]; ok && o.phase == phaseQueued {
			r.refuse(now, o, "the deadline can no longer be met", placeRetryAfter, out)
		}
	}
	for r.timers.Due(now) {
		name := r.timers.Pop()
		if o, ok := r.open[name]; ok {
			r.handleTimer(now, o, out)
		}
	}
	r.admitQueued(now, out)
}

// handleTimer does whatever is due for one request; a timer carries no reason, so that none can be stale.
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
		if _, open := r.open[o.arrival.Request]; open {
			r.hedge(now, o, out)
		}
	}
}

// timeOutAttempts fails the attempts that had their time.
func (r *Requests) timeOutAttempts(now time.Time, o *openRequest, out *actions) {
	for i := 0; i < len(o.attempts); i++ {
		t := o.attempts[i]
		if t.timeoutAt.After(now) || t.stage != o.stage {
			continue
		}
		if o.atMostOnce() {
			r.failRequest(now, o, event.ProblemUnknown, "no answer from the service in time", claimRetryAfter, out)
			return
		}
		r.recordSample(now, o, t, now.Sub(t.startedAt), true)
		r.abandon(o, t)
		out.add(event.Cancel{Attempt: t.attempt, Server: t.server, Addr: t.addr})
		out.add(r.deps.Router.End(now, t.attempt, route.Outcome{Kind: route.Errored, Took: now.Sub(t.startedAt)})...)
		r.retry(now, o, t, event.FailTimeout, "no answer from the backend server in time", out)
		return
	}
}

// expire ends a request at its deadline.
func (r *Requests) expire(now time.Time, o *openRequest, out *actions) {
	if o.phase == phaseOutcome {
		out.add(r.deps.Claims.RecordOutcome(now, o.arrival.Request, claim.Unknown, nil)...)
		o.granted = false
		o.actionSent = false
		r.remove(now, o, out)
		return
	}
	if o.phase == phaseClaim || o.phase == phaseLookup {
		r.failRequest(now, o, event.ProblemUnknown, "the key could not be settled before the deadline", claimRetryAfter, out)
		return
	}
	r.failRequest(now, o, event.ProblemDeadline, "the deadline passed before the whole answer was there", 0, out)
}
