package request

import (
	"slices"
	"time"

	"bluebellflow/core/canary"
	"bluebellflow/core/claim"
	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
	"bluebellflow/core/route"
)

// handleFailed takes the failure of an attempt.
func (r *Requests) handleFailed(now time.Time, ev event.AttemptFailed, out *actions) {
	o, t := r.findAttempt(ev.Attempt)
	if o == nil {
		return
	}
	r.recordStart(t.server, ev.Start)
	r.removeAttempt(o, t)
	out.add(r.deps.Router.End(now, t.attempt, route.Outcome{Kind: routeOutcome(ev.Kind), Took: now.Sub(t.startedAt), Start: ev.Start})...)
	if ev.Kind == event.FailError || ev.Kind == event.FailTimeout {
		r.recordSample(now, o, t, now.Sub(t.startedAt), true)
	}
	r.retry(now, o, t, ev.Kind, ev.Reason, out)
}

func routeOutcome(kind event.FailKind) route.OutcomeKind {
	switch kind {
	case event.FailUnsent, event.FailBroken:
		return route.ConnFailed
	case event.FailRejected:
		return route.Rejected
	}
	return route.Errored
}

// retry decides what follows a failed attempt that was taken out of the books.
func (r *Requests) retry(now time.Time, o *openRequest, t *attemptState, kind event.FailKind, reason string, out *actions) {
	if !slices.Contains(o.avoid, t.server) {
		o.avoid = append(o.avoid, t.server)
	}
	if o.atMostOnce() && !kind.NotRun() {
		if kind == event.FailBroken {
			r.watchForCrash(now, o, t, out)
		}
		r.settleFailedAction(now, o, kind, reason, out)
		return
	}
	if o.atMostOnce() {
		o.actionSent = false
	}
	if o.phase == phaseOutcome {
		r.remove(now, o, out)
		return
	}
	if len(o.attempts) > 0 {
		return // a hedged attempt goes on
	}
	o.retries++
	switch {
	case kind == event.FailBroken && r.awaitCrashCheck(now, o, t, out):
	case o.retries >= maxStageAttempts:
		r.failRequest(now, o, event.ProblemFailed, "stage "+o.currentStage().Name+": "+reason, placeRetryAfter, out)
	case !kind.NotRun() && !r.deps.Queue.TakeRetry(now, o.arrival.Pipeline):
		r.failRequest(now, o, event.ProblemFailed, "stage "+o.currentStage().Name+": "+reason+"; the retry budget is used up", placeRetryAfter, out)
	default:
		out.log("retry", o, string(t.server), reason)
		r.counters.Retries++
		r.place(now, o, out)
	}
}

// settleFailedAction answers for a non-idempotent attempt that reached its service.
func (r *Requests) settleFailedAction(now time.Time, o *openRequest, kind event.FailKind, reason string, out *actions) {
	state, answer := claim.Unknown, event.ProblemUnknown
	if kind == event.FailError {
		state, answer = claim.Failed, event.ProblemFailed
	}
	out.add(r.deps.Claims.RecordOutcome(now, o.arrival.Request, state, nil)...)
	o.granted = false
	o.actionSent = false
	if o.phase == phaseOutcome {
		r.remove(now, o, out)
		return
	}
	after := time.Duration(0)
	if answer == event.ProblemUnknown {
		after = claimRetryAfter
	}
	r.failRequest(now, o, answer, "stage "+o.currentStage().Name+": "+reason, after, out)
}

// crashWatch is a broken attempt whose server has not shown since whether it crashed.
type crashWatch struct {
	request     id.Request
	fingerprint id.Fingerprint
	version     id.Version
	start       id.Start // the server's start identity when the attempt was sent
	until       time.Time
}

// watchForCrash finds out whether a broken attempt was a crash of its server; it reports whether that is still open.
func (r *Requests) watchForCrash(now time.Time, o *openRequest, t *attemptState, out *actions) bool {
	w := crashWatch{request: o.arrival.Request, fingerprint: o.fingerprint, version: t.version, start: t.start, until: now.Add(crashCheckTime)}
	if t.start == "" {
		return false // the server has never told its start identity
	}
	if r.serverStarts[t.server] != t.start {
		r.recordCrash(now, t.server, w, out)
		return false
	}
	r.crashWatches[t.server] = append(r.crashWatches[t.server], w)
	return true
}

// recordCrash counts a crash against the request's content.
func (r *Requests) recordCrash(now time.Time, server id.Server, w crashWatch, out *actions) {
	out.add(event.Log{Kind: "guard", Request: w.request, Choice: string(server), Reason: "the server restarted while it ran this request"})
	out.add(r.deps.Guard.RecordCrash(now, w.fingerprint, server, w.start)...)
	if o, ok := r.open[w.request]; ok {
		o.crashedVersions = append(o.crashedVersions, w.version)
	}
}

// recordVersionCrashes counts crashes against a version if another version ran the same request well;
// a request that crashes any version is not the version's fault.
func (r *Requests) recordVersionCrashes(now time.Time, o *openRequest, t *attemptState) {
	for _, v := range o.crashedVersions {
		if v != t.version {
			r.deps.Versions.Observe(now, canary.Sample{Pool: t.pool, Version: v, Sample: evidence.Sample{
				Route: o.arrival.Pipeline, Failed: true, Load: t.load, Cold: t.cold,
			}})
		}
	}
	o.crashedVersions = nil
}

// awaitCrashCheck holds a request back until its server's next sign of life, so that a request that crashes
// servers does not reach a second one before the first crash is known.
func (r *Requests) awaitCrashCheck(now time.Time, o *openRequest, t *attemptState, out *actions) bool {
	if t.start == "" {
		return false
	}
	o.phase = phaseCrashCheck
	o.brokenServer = t.server
	o.crashCheckUntil = now.Add(crashCheckTime)
	if !r.watchForCrash(now, o, t, out) {
		r.retryThroughGuard(now, o, out)
		return true
	}
	r.timers.Set(o.crashCheckUntil, o.arrival.Request)
	return true
}

// recordStart remembers a start identity that an answer carried.
func (r *Requests) recordStart(server id.Server, start id.Start) {
	if start != "" {
		r.serverStarts[server] = start
	}
}

// handleStart continues the requests whose attempts a server broke, once it shows a new start identity. The old
// one proves nothing, because the report may be older than the crash.
func (r *Requests) handleStart(now time.Time, server id.Server, start id.Start, out *actions) {
	r.recordStart(server, start)
	watches := r.crashWatches[server]
	if len(watches) > 0 && watches[len(watches)-1].start != start {
		r.resolveWatches(now, server, func(w crashWatch) bool { return w.start != start }, out)
	}
}

// handleServerDown continues the requests whose attempts a server broke, now that it refuses connections.
func (r *Requests) handleServerDown(now time.Time, ev event.LoadQueryFailed, out *actions) {
	if ev.Refused {
		r.resolveWatches(now, ev.Server, func(crashWatch) bool { return true }, out)
	}
}

// handleUnreachable places the idempotent attempts of a server that does not answer load queries anew, because the
// connections may hang until the deadline. An attempt younger than a query's timeout may still be on its way there.
func (r *Requests) handleUnreachable(now time.Time, server id.Server, out *actions) {
	var stuck []id.Attempt
	for name, t := range r.attempts {
		if t.server == server && now.Sub(t.lastOutputAt) >= stallThreshold {
			stuck = append(stuck, name)
		}
	}
	slices.Sort(stuck)
	for _, name := range stuck {
		t, ok := r.attempts[name]
		if !ok {
			continue
		}
		o := r.open[t.request]
		if o == nil || o.atMostOnce() || o.phase != phaseRunning || o.retries+1 >= maxStageAttempts {
			continue
		}
		if !r.deps.Queue.TakeRetry(now, o.arrival.Pipeline) {
			return // the attempts go on: only the query may have been lost
		}
		r.cancel(now, o, t, out)
		if len(o.attempts) > 0 {
			continue // a hedged attempt goes on
		}
		if !slices.Contains(o.avoid, t.server) {
			o.avoid = append(o.avoid, t.server)
		}
		o.retries++
		r.counters.Retries++
		out.log("retry", o, string(t.server), "the backend server cannot be reached")
		r.place(now, o, out)
	}
}

func (r *Requests) resolveWatches(now time.Time, server id.Server, crashed func(crashWatch) bool, out *actions) {
	watches := r.crashWatches[server]
	delete(r.crashWatches, server)
	for _, w := range watches {
		if crashed(w) && !w.until.Before(now) {
			r.recordCrash(now, server, w, out)
		}
		o, ok := r.open[w.request]
		if ok && o.phase == phaseCrashCheck && o.brokenServer == server {
			r.retryThroughGuard(now, o, out)
		}
	}
}

// retryThroughGuard asks the guard again about a request whose server broke the connection, and so tries it anew.
func (r *Requests) retryThroughGuard(now time.Time, o *openRequest, out *actions) {
	if !r.deps.Queue.TakeRetry(now, o.arrival.Pipeline) {
		r.failRequest(now, o, event.ProblemFailed, "the connection to the backend server broke; the retry budget is used up", placeRetryAfter, out)
		return
	}
	r.counters.Retries++
	r.askGuard(now, o, out)
}

// askGuard gives up the turn that a suspect may have, and asks for a new verdict.
func (r *Requests) askGuard(now time.Time, o *openRequest, out *actions) {
	o.phase = phaseGuard
	out.add(r.deps.Guard.Finish(now, o.arrival.Request, o.fingerprint)...)
	out.add(r.deps.Guard.Ask(now, o.arrival.Request, o.fingerprint)...)
}
