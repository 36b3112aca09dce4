package request

import (
	"net/netip"
	"slices"
	"time"

	"bluebellflow/core/canary"
	"bluebellflow/core/claim"
	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
	"bluebellflow/core/route"
)

const (
	claimRetryAfter   = time.Second            // retry delay suggested to a caller if the state of its key is unknown
	placeRetryAfter   = 500 * time.Millisecond // retry delay suggested to a caller whose request found no server or failed
	placePollInterval = 20 * time.Millisecond  // between placement attempts while a pool has no usable server
	roomPollInterval  = 200 * time.Millisecond // between placement attempts while all servers are full, if no route.RetryPlacement comes
	crashCheckTime    = 400 * time.Millisecond // two load report periods, so that a restarted server has reported
	maxStageAttempts  = 6                      // attempts per stage, which limits the load on a failing pool
	maxLookupAge      = 250 * time.Millisecond // maximum age of the key lookup that a refusal relies on
	lookupTimeout     = 250 * time.Millisecond // how long a refusal waits for a new key lookup
	maxOutcomeWait    = 10 * time.Second       // how long an answered request waits for the outcome of its action
	minTimeShare      = 0.5                    // a request fails if less than this share of its estimated time is left
	stallThreshold    = 300 * time.Millisecond // after this time without output, an attempt is moved away from an unreachable server
	maxNoServerWait   = 500 * time.Millisecond // how long a request waits for a usable server to appear
)

// attemptState is one attempt of a stage.
type attemptState struct {
	attempt      id.Attempt
	request      id.Request
	server       id.Server
	addr         netip.AddrPort
	version      id.Version
	pool         id.Pool
	stage        int
	startedAt    time.Time
	lastOutputAt time.Time // startedAt until the first part of the stream arrives
	timeoutAt    time.Time
	load         int      // attempts of this node on the server, including this one
	cold         bool     // the server was cold when the attempt was sent
	start        id.Start // the server's start identity when the attempt was sent
}

// beginStage starts the current stage. An action claims the idempotency key first.
func (r *Requests) beginStage(now time.Time, o *openRequest, out *actions) {
	o.stageStartedAt = now
	o.placingSince = time.Time{}
	if o.atMostOnce() && !o.granted {
		o.phase = phaseClaim
		out.add(r.deps.Claims.Ask(now, o.claimRequest())...)
		return
	}
	r.place(now, o, out)
}

// place dispatches an attempt of the current stage, or waits until a backend server has room.
func (r *Requests) place(now time.Time, o *openRequest, out *actions) {
	if r.infeasible(now, o) {
		out.log("place", o, "give up", "not enough time is left for the remaining stages")
		r.failRequest(now, o, event.ProblemDeadline, "not enough time is left for the remaining stages", 0, out)
		return
	}
	if r.deps.Guard.CrashCount(now, o.fingerprint) > o.crashesAtVerdict || !o.isolatedUntil.IsZero() && !o.isolatedUntil.After(now) {
		r.askGuard(now, o, out)
		return
	}
	o.phase = phasePlacement
	if o.placingSince.IsZero() {
		o.placingSince = now
	}
	if !r.chooseVersion(now, o, out) {
		return
	}
	choice := r.dispatch(now, o, out)
	switch choice.Decision {
	case route.Chosen:
		o.phase = phaseRunning
	case route.Wait:
		r.waitForRoom(o)
		r.timers.Set(now.Add(roomPollInterval), o.arrival.Request)
	case route.NoServer:
		if now.Sub(o.placingSince) >= maxNoServerWait {
			r.refuse(now, o, "no backend server of pool "+string(o.currentStage().Pool)+" can take work", placeRetryAfter, out)
			return
		}
		r.waitForRoom(o)
		r.timers.Set(now.Add(placePollInterval), o.arrival.Request)
	}
}

// infeasible reports whether too little time is left for the remaining stages.
func (r *Requests) infeasible(now time.Time, o *openRequest) bool {
	left := o.deadline.Sub(now)
	if left <= 0 {
		return true
	}
	if o.acceptedTokens > 0 {
		return false // tokens were already produced and perhaps sent to the caller
	}
	need := r.deps.Queue.Estimate(o.arrival.Pipeline, o.remainingStages())
	return float64(left) < minTimeShare*float64(need)
}

// chooseVersion decides which version runs the stage. It returns false if the request was ended instead.
func (r *Requests) chooseVersion(now time.Time, o *openRequest, out *actions) bool {
	chosen := r.deps.Versions.Choose(now, o.currentStage().Pool, o.fingerprint, o.arrival.Pipeline)
	if old := r.deps.Versions.Fallback(o.currentStage().Pool); old != "" && o.retries > 0 && o.acceptedTokens == 0 {
		// A request that fails on every version must not count against the new version with all of its attempts.
		chosen = old
	}
	if o.acceptedTokens > 0 && chosen == "" {
		chosen = o.servedVersion
	}
	if o.acceptedTokens > 0 && chosen != o.servedVersion {
		if o.pinned {
			// Another version would not continue the text that the caller has received.
			r.failRequest(now, o, event.ProblemFailed, "the version that produced the first part of the answer was stopped", placeRetryAfter, out)
			return false
		}
		o.acceptedTokens = 0
		o.output = nil
	}
	o.version = chosen
	return true
}

func (r *Requests) waitForRoom(o *openRequest) {
	pool := o.currentStage().Pool
	if !slices.Contains(r.waiting[pool], o.arrival.Request) {
		r.waiting[pool] = append(r.waiting[pool], o.arrival.Request)
	}
}

// handleRoom places the requests that wait for a pool, most urgent first, until one finds no room.
func (r *Requests) handleRoom(now time.Time, pool id.Pool, out *actions) {
	requests := r.waiting[pool]
	if len(requests) == 0 {
		return
	}
	delete(r.waiting, pool)
	requests = slices.DeleteFunc(requests, func(request id.Request) bool {
		o, ok := r.open[request]
		return !ok || o.phase != phasePlacement || o.currentStage().Pool != pool
	})
	slices.SortStableFunc(requests, func(a, b id.Request) int {
		return r.open[a].arrival.Priority - r.open[b].arrival.Priority
	})
	for i, request := range requests {
		o, ok := r.open[request]
		if !ok || o.phase != phasePlacement {
			continue
		}
		r.place(now, o, out)
		if still, ok := r.open[request]; ok && still.phase == phasePlacement {
			r.waiting[pool] = append(r.waiting[pool], requests[i+1:]...)
			return
		}
	}
}

// dispatch chooses a server for one attempt and sends it there.
func (r *Requests) dispatch(now time.Time, o *openRequest, out *actions) route.Choice {
	s := o.currentStage()
	r.lastAttempt++
	attempt := r.lastAttempt
	choice, more := r.deps.Router.Place(now, attempt, route.Query{
		Request: o.arrival.Request, Stage: s.Name, Pool: s.Pool, Version: o.version,
		PrefixHashes: o.prefixHashes, Exclude: o.avoid, Exclusive: !o.isolatedUntil.IsZero(), Deadline: o.deadline,
		LastReason: o.waitReason,
	})
	out.add(more...)
	if choice.Decision != route.Chosen {
		o.waitReason = choice.Reason
		return choice
	}
	o.waitReason = ""
	a := &attemptState{
		attempt: attempt, request: o.arrival.Request, server: choice.Server.ID, addr: choice.Server.Addr, pool: s.Pool,
		version: choice.Server.Version, stage: o.stage,
		startedAt: now, lastOutputAt: now, timeoutAt: o.deadline, load: r.deps.Router.InFlight(choice.Server.ID), start: choice.Server.Start,
		cold: !r.deps.Router.Warm(choice.Server.ID),
	}
	if !o.isolatedUntil.IsZero() && o.isolatedUntil.Before(a.timeoutAt) {
		a.timeoutAt = o.isolatedUntil
	}
	if s.Timeout > 0 && now.Add(s.Timeout).Before(a.timeoutAt) {
		a.timeoutAt = now.Add(s.Timeout)
	}
	o.attempts = append(o.attempts, a)
	r.attempts[attempt] = a
	r.counters.Attempts++
	o.sent = true
	if o.atMostOnce() {
		o.actionSent = true
	}
	r.timers.Set(a.timeoutAt, o.arrival.Request)
	if r.mayHedge(o) {
		r.timers.Set(now.Add(o.plan.Hedge), o.arrival.Request)
	}
	out.add(event.Dispatch{
		Attempt: attempt, Request: o.arrival.Request, Server: a.server, Addr: choice.Server.Addr,
		Stage: s.Name, Version: a.version, Input: o.arrival.Body, Prior: o.priorOutput, Offset: o.acceptedTokens,
		Stream: s.Stream, Priority: o.arrival.Priority, Deadline: a.timeoutAt, Key: r.serviceKey(o),
	})
	return choice
}

// serviceKey returns the idempotency key to pass to the service, which is empty unless the stage is an action.
func (r *Requests) serviceKey(o *openRequest) string {
	if !o.atMostOnce() {
		return ""
	}
	return o.arrival.Key
}

func (r *Requests) mayHedge(o *openRequest) bool {
	return o.plan.Hedge > 0 && !o.atMostOnce() && o.isolatedUntil.IsZero() && len(o.attempts) == 1 && o.acceptedTokens == 0
}

// hedge sends a second attempt if the first one is slow and the retry budget allows it.
func (r *Requests) hedge(now time.Time, o *openRequest, out *actions) {
	if o.phase != phaseRunning || !r.mayHedge(o) || now.Sub(o.attempts[0].startedAt) < o.plan.Hedge {
		return
	}
	if !r.deps.Queue.TakeRetry(now, o.arrival.Pipeline) {
		return
	}
	o.avoid = append(o.avoid, o.attempts[0].server)
	if r.dispatch(now, o, out).Decision == route.Chosen {
		r.counters.Hedges++
		out.log("hedge", o, string(o.attempts[1].server), "the first attempt is slow")
	}
}

// findAttempt returns an attempt and its request, or nil for an attempt that was abandoned.
func (r *Requests) findAttempt(attempt id.Attempt) (*openRequest, *attemptState) {
	a, ok := r.attempts[attempt]
	if !ok {
		r.counters.Abandoned++
		return nil, nil
	}
	return r.open[a.request], a
}

// handleOutput accepts the next part of a stream and forwards it to a caller that streams.
func (r *Requests) handleOutput(now time.Time, ev event.AttemptOutput, out *actions) {
	o, a := r.findAttempt(ev.Attempt)
	if o == nil {
		return
	}
	a.lastOutputAt = now
	if ev.Seq+ev.Tokens <= o.acceptedTokens && !r.skipOrderCheck {
		return // already accepted
	}
	if ev.Seq != o.acceptedTokens && !r.skipOrderCheck {
		r.counters.Gaps++
		r.abortStream(now, o, a, "a part of the stream is missing", out)
		return
	}
	r.cancelAllExcept(now, o, a, out)
	o.acceptedTokens += ev.Tokens
	o.servedVersion = a.version
	last := o.stage == len(o.plan.Stages)-1
	if !o.arrival.Stream || !last {
		o.output = append(o.output, ev.Data...)
	}
	if o.arrival.Stream && o.phase != phaseOutcome {
		o.pinned = true
		out.add(event.Reply{Request: o.arrival.Request, Data: ev.Data})
	}
}

// abortStream cancels an attempt of a streaming stage and lets another attempt continue the stream.
func (r *Requests) abortStream(now time.Time, o *openRequest, a *attemptState, reason string, out *actions) {
	r.cancel(now, o, a, out)
	r.retry(now, o, a, event.FailBroken, reason, out)
}

// handleDone ends a completed attempt and continues its request with the result.
func (r *Requests) handleDone(now time.Time, ev event.AttemptDone, out *actions) {
	o, a := r.findAttempt(ev.Attempt)
	if o == nil {
		return
	}
	r.recordStart(a.server, ev.Start)
	if o.currentStage().Stream && ev.Tokens != o.acceptedTokens {
		r.counters.Gaps++
		r.abortStream(now, o, a, "the stream ended before its last part", out)
		return
	}
	r.removeAttempt(o, a)
	out.add(r.deps.Router.End(now, a.attempt, route.Outcome{Kind: route.Completed, Took: ev.Took, Start: ev.Start, Tokens: ev.Tokens})...)
	r.recordSample(now, o, a, ev.Took, false)
	r.recordVersionCrashes(now, o, a)
	r.cancelAllExcept(now, o, nil, out)
	r.deps.Queue.Observe(o.arrival.Pipeline, o.currentStage().Name, now.Sub(o.stageStartedAt))
	r.deps.Queue.RecordSuccess(o.arrival.Pipeline)
	result := ev.Data
	if o.currentStage().Stream {
		result = o.output
	}
	if o.atMostOnce() {
		out.add(r.deps.Claims.RecordOutcome(now, o.arrival.Request, claim.Done, result)...)
		o.granted = false
		o.actionSent = false
	}
	if o.phase == phaseOutcome {
		r.remove(now, o, out)
		return
	}
	r.advance(now, o, result, out)
}

func (r *Requests) recordSample(now time.Time, o *openRequest, a *attemptState, took time.Duration, failed bool) {
	r.deps.Versions.Observe(now, canary.Sample{
		Pool: a.pool, Version: a.version,
		Sample: evidence.Sample{Route: o.arrival.Pipeline, Took: took, Failed: failed, Load: a.load, Cold: a.cold},
	})
}

// advance starts the next stage, or answers the caller after the last one.
func (r *Requests) advance(now time.Time, o *openRequest, result []byte, out *actions) {
	tokens := o.acceptedTokens
	if o.stage == len(o.plan.Stages)-1 {
		if o.arrival.Stream && o.currentStage().Stream {
			result = nil // already sent in parts
		}
		r.answer(now, o, result, tokens, out)
		return
	}
	o.stage++
	o.priorOutput = result
	o.output = nil
	o.acceptedTokens = 0
	o.pinned = false
	o.version = ""
	o.crashedVersions = nil
	o.avoid = nil
	o.retries = 0
	r.beginStage(now, o, out)
}

// cancelAllExcept cancels all attempts of a request except keep, which may be nil.
func (r *Requests) cancelAllExcept(now time.Time, o *openRequest, keep *attemptState, out *actions) {
	for _, a := range slices.Clone(o.attempts) {
		if a != keep {
			r.cancel(now, o, a, out)
		}
	}
}

// cancel abandons an attempt and tells its server. Its later output is discarded.
func (r *Requests) cancel(now time.Time, o *openRequest, a *attemptState, out *actions) {
	r.abandon(o, a)
	out.add(event.Cancel{Attempt: a.attempt, Server: a.server, Addr: a.addr})
	out.add(r.deps.Router.End(now, a.attempt, route.Outcome{Kind: route.Cancelled, Took: now.Sub(a.startedAt)})...)
}

// abandon removes an attempt whose output may still arrive.
func (r *Requests) abandon(o *openRequest, a *attemptState) {
	r.removeAttempt(o, a)
	if r.keepAbandoned {
		r.attempts[a.attempt] = a
	}
}

func (r *Requests) removeAttempt(o *openRequest, a *attemptState) {
	delete(r.attempts, a.attempt)
	o.attempts = slices.DeleteFunc(o.attempts, func(other *attemptState) bool { return other == a })
}
