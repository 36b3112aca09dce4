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
	claimRetryAfter   = time.Second            // how soon a caller may ask again for a key that is being settled
	placeRetryAfter   = 500 * time.Millisecond // how soon a caller may come back when a pool has no server
	placePollInterval = 20 * time.Millisecond  // between two tries to place a request while no server is known
	roomPollInterval  = 200 * time.Millisecond // between two tries while all servers are full, should no word of room come
	crashCheckTime    = 400 * time.Millisecond // two load report periods, so that a restarted server has been heard of
	maxStageAttempts  = 6                      // attempts for one stage, so that a failing pool cannot be hammered
	maxLookupAge      = 250 * time.Millisecond // age of a lookup of a key that a refusal may rest on
	lookupTimeout     = 250 * time.Millisecond // how long a refusal may wait for a new lookup
	maxOutcomeWait    = 10 * time.Second       // how long the outcome of an action is awaited after its caller was answered
	minTimeShare      = 0.5                    // share of the estimated time below which a request is given up
	stallThreshold    = 300 * time.Millisecond // without a part from a server that cannot be reached, before an attempt is placed anew
	maxNoServerWait   = 500 * time.Millisecond // how long a pool may stay without any usable server
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
	offset       int
	startedAt    time.Time
	lastOutputAt time.Time // when its last part came
	timeoutAt    time.Time
	load         int
	cold         bool     // the server was cold when the attempt was sent
	start        id.Start // the server's start identity when the attempt was sent
	hedge        bool
}

// beginStage enters the present stage.
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

// place looks for a backend server for the present stage and sends the attempt.
func (r *Requests) place(now time.Time, o *openRequest, out *actions) {
	if r.infeasible(now, o) {
		out.log("place", o, "give up", "the time left does not suffice for the remaining stages")
		r.failRequest(now, o, event.ProblemDeadline, "the time left did not suffice for the remaining stages", 0, out)
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
	choice := r.dispatch(now, o, false, out)
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

func (r *Requests) infeasible(now time.Time, o *openRequest) bool {
	left := o.deadline.Sub(now)
	if left <= 0 {
		return true
	}
	if o.acceptedTokens > 0 {
		return false // tokens are on their way to the caller already
	}
	need := r.deps.Queue.Estimate(o.arrival.Pipeline, o.remainingStages())
	return float64(left) < minTimeShare*float64(need)
}

// chooseVersion decides which version serves the stage; it reports false if the request had to end.
func (r *Requests) chooseVersion(now time.Time, o *openRequest, out *actions) bool {
	chosen := r.deps.Versions.Choose(now, o.currentStage().Pool, o.fingerprint, o.arrival.Pipeline)
	if old := r.deps.Versions.Fallback(o.currentStage().Pool); old != "" && o.retries > 0 && o.acceptedTokens == 0 {
		// A request that fails whoever runs it must not convict the new version with all of its attempts.
		chosen = old
	}
	if o.acceptedTokens > 0 && chosen == "" {
		chosen = o.servedVersion
	}
	if o.acceptedTokens > 0 && chosen != o.servedVersion {
		if o.pinned {
			// Another version would continue with other words than the caller has read.
			r.failRequest(now, o, event.ProblemFailed, "the version that began the answer was stopped", placeRetryAfter, out)
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

// handleRoom tries the requests that wait for a pool, most urgent first, until one finds no room.
func (r *Requests) handleRoom(now time.Time, pool id.Pool, out *actions) {
	names := r.waiting[pool]
	if len(names) == 0 {
		return
	}
	delete(r.waiting, pool)
	names = slices.DeleteFunc(names, func(name id.Request) bool {
		o, ok := r.open[name]
		return !ok || o.phase != phasePlacement || o.currentStage().Pool != pool
	})
	slices.SortStableFunc(names, func(a, b id.Request) int {
		return r.open[a].arrival.Priority - r.open[b].arrival.Priority
	})
	for i, name := range names {
		o, ok := r.open[name]
		if !ok || o.phase != phasePlacement {
			continue
		}
		r.place(now, o, out)
		if still, ok := r.open[name]; ok && still.phase == phasePlacement {
			r.waiting[pool] = append(r.waiting[pool], names[i+1:]...)
			return
		}
	}
}

// dispatch places one attempt and sends it.
func (r *Requests) dispatch(now time.Time, o *openRequest, hedge bool, out *actions) route.Choice {
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
	t := &attemptState{
		attempt: attempt, request: o.arrival.Request, server: choice.Server.ID, addr: choice.Server.Addr, pool: s.Pool,
		version: choice.Server.Version, stage: o.stage, offset: o.acceptedTokens,
		startedAt: now, lastOutputAt: now, timeoutAt: o.deadline, load: r.deps.Router.InFlight(choice.Server.ID), start: choice.Server.Start, hedge: hedge,
		cold: !r.deps.Router.Warm(choice.Server.ID),
	}
	if !o.isolatedUntil.IsZero() && o.isolatedUntil.Before(t.timeoutAt) {
		t.timeoutAt = o.isolatedUntil
	}
	if s.Timeout > 0 && now.Add(s.Timeout).Before(t.timeoutAt) {
		t.timeoutAt = now.Add(s.Timeout)
	}
	o.attempts = append(o.attempts, t)
	r.attempts[attempt] = t
	r.counters.Attempts++
	o.sent = true
	if o.atMostOnce() {
		o.actionSent = true
	}
	r.timers.Set(t.timeoutAt, o.arrival.Request)
	if r.mayHedge(o) {
		r.timers.Set(now.Add(o.plan.Hedge), o.arrival.Request)
	}
	out.add(event.Dispatch{
		Attempt: attempt, Request: o.arrival.Request, Server: t.server, Addr: choice.Server.Addr,
		Stage: s.Name, Version: t.version, Input: o.arrival.Body, Prior: o.priorOutput, Offset: o.acceptedTokens,
		Stream: s.Stream, Priority: o.arrival.Priority, Deadline: t.timeoutAt, Key: r.serviceKey(o),
	})
	return choice
}

// serviceKey is the idempotency key that a service gets, if the stage must not run twice.
func (r *Requests) serviceKey(o *openRequest) string {
	if !o.atMostOnce() {
		return ""
	}
	return o.arrival.Key
}

func (r *Requests) mayHedge(o *openRequest) bool {
	return o.plan.Hedge > 0 && !o.atMostOnce() && o.isolatedUntil.IsZero() && len(o.attempts) == 1 && o.acceptedTokens == 0
}

// hedge sends a second attempt beside a slow one, if the retry budget allows it.
func (r *Requests) hedge(now time.Time, o *openRequest, out *actions) {
	if o.phase != phaseRunning || !r.mayHedge(o) || now.Sub(o.attempts[0].startedAt) < o.plan.Hedge {
		return
	}
	if !r.deps.Queue.TakeRetry(now, o.arrival.Pipeline) {
		return
	}
	o.avoid = append(o.avoid, o.attempts[0].server)
	if r.dispatch(now, o, true, out).Decision == route.Chosen {
		r.counters.Hedges++
		out.log("hedge", o, string(o.attempts[1].server), "the first attempt is slow")
	}
}

// findAttempt finds the attempt and its request; an attempt that was given up has neither.
func (r *Requests) findAttempt(attempt id.Attempt) (*openRequest, *attemptState) {
	t, ok := r.attempts[attempt]
	if !ok {
		r.counters.Abandoned++
		return nil, nil
	}
	return r.open[t.request], t
}

// handleOutput takes a piece of a stream.
func (r *Requests) handleOutput(now time.Time, ev event.AttemptOutput, out *actions) {
	o, t := r.findAttempt(ev.Attempt)
	if o == nil {
		return
	}
	t.lastOutputAt = now
	if ev.Seq+ev.Tokens <= o.acceptedTokens && !r.skipOrderCheck {
		return // repeated
	}
	if ev.Seq != o.acceptedTokens && !r.skipOrderCheck {
		r.counters.Gaps++
		r.abortStream(now, o, t, "a part of the stream is missing", out)
		return
	}
	r.cancelAllExcept(now, o, t, out)
	o.acceptedTokens += ev.Tokens
	o.servedVersion = t.version
	last := o.stage == len(o.plan.Stages)-1
	if !o.arrival.Stream || !last {
		o.output = append(o.output, ev.Data...)
	}
	if o.arrival.Stream && o.phase != phaseOutcome {
		o.pinned = true
		out.add(event.Reply{Request: o.arrival.Request, Data: ev.Data})
	}
}

// abortStream abandons an attempt of an idempotent stage and lets another continue.
func (r *Requests) abortStream(now time.Time, o *openRequest, t *attemptState, reason string, out *actions) {
	r.cancel(now, o, t, out)
	r.retry(now, o, t, event.FailBroken, reason, out)
}

// handleDone takes the end mark of an attempt.
func (r *Requests) handleDone(now time.Time, ev event.AttemptDone, out *actions) {
	o, t := r.findAttempt(ev.Attempt)
	if o == nil {
		return
	}
	r.recordStart(t.server, ev.Start)
	if o.currentStage().Stream && ev.Tokens != o.acceptedTokens {
		r.counters.Gaps++
		r.abortStream(now, o, t, "the stream ended before its last part", out)
		return
	}
	r.removeAttempt(o, t)
	out.add(r.deps.Router.End(now, t.attempt, route.Outcome{Kind: route.Completed, Took: ev.Took, Start: ev.Start, Tokens: ev.Tokens})...)
	r.recordSample(now, o, t, ev.Took, false)
	r.recordVersionCrashes(now, o, t)
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

func (r *Requests) recordSample(now time.Time, o *openRequest, t *attemptState, took time.Duration, failed bool) {
	r.deps.Versions.Observe(now, canary.Sample{
		Pool: t.pool, Version: t.version,
		Sample: evidence.Sample{Route: o.arrival.Pipeline, Took: took, Failed: failed, Load: t.load, Cold: t.cold},
	})
}

// advance goes to the next stage, or answers the caller after the last one.
func (r *Requests) advance(now time.Time, o *openRequest, result []byte, out *actions) {
	tokens := o.acceptedTokens
	if o.stage == len(o.plan.Stages)-1 {
		if o.arrival.Stream && o.currentStage().Stream {
			result = nil // it was passed on in parts
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

// cancelAllExcept abandons all attempts of a request but one.
func (r *Requests) cancelAllExcept(now time.Time, o *openRequest, keep *attemptState, out *actions) {
	for _, t := range slices.Clone(o.attempts) {
		if t != keep {
			r.cancel(now, o, t, out)
		}
	}
}

// cancel abandons an attempt; whatever still comes of it is dropped.
func (r *Requests) cancel(now time.Time, o *openRequest, t *attemptState, out *actions) {
	r.abandon(o, t)
	out.add(event.Cancel{Attempt: t.attempt, Server: t.server, Addr: t.addr})
	out.add(r.deps.Router.End(now, t.attempt, route.Outcome{Kind: route.Cancelled, Took: now.Sub(t.startedAt)})...)
}

// abandon takes an attempt out of the books whose answer may still come.
func (r *Requests) abandon(o *openRequest, t *attemptState) {
	r.removeAttempt(o, t)
	if r.keepAbandoned {
		r.attempts[t.attempt] = t
	}
}

func (r *Requests) removeAttempt(o *openRequest, t *attemptState) {
	delete(r.attempts, t.attempt)
	o.attempts = slices.DeleteFunc(o.attempts, func(other *attemptState) bool { return other == t })
}
