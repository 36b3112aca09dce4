package request

import (
	"net/http"
	"slices"
	"time"

	"bluebellflow/core/canary"
	"bluebellflow/core/claim"
	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
	"bluebellflow/core/route"
)

// handleFailed ends a failed attempt and decides how its request continues.
func (r *Requests) handleFailed(now time.Time, ev event.AttemptFailed, out *actions) {
	o, a := r.findAttempt(ev.Attempt)
	if o == nil {
		return
	}
	r.recordStart(a.server, ev.Start)
	r.removeAttempt(o, a)
	out.add(r.deps.Router.End(now, a.attempt, route.Outcome{Kind: routeOutcome(ev.Kind), Took: now.Sub(a.startedAt), Start: ev.Start})...)
	if countsForVersion(ev) {
		r.recordSample(now, o, a, now.Sub(a.startedAt), true)
	}
	r.retry(now, o, a, ev.Kind, ev.Reason, out)
}

// countsForVersion reports whether an attempt failed because of its server's version: with an error, in time, or with a status
// that says nothing of its effect. A connection that broke counts once it is known whether the server has crashed.
func countsForVersion(ev event.AttemptFailed) bool {
	switch ev.Kind {
	case event.FailError, event.FailTimeout:
		return true
	case event.FailBroken:
		return ev.Status != 0 && ev.Status != http.StatusOK
	}
	return false
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

// retry decides how a request continues after a failed attempt. The attempt must have been removed from the tables.
func (r *Requests) retry(now time.Time, o *openRequest, a *attemptState, kind event.FailKind, reason string, out *actions) {
	if !slices.Contains(o.avoid, a.server) {
		o.avoid = append(o.avoid, a.server)
	}
	if o.atMostOnce() && !kind.NotRun() {
		if kind == event.FailBroken {
			r.watchForCrash(now, o, a, out)
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
		return // the other attempt of a hedged stage continues
	}
	o.retries++
	switch {
	case kind == event.FailBroken && r.awaitCrashCheck(now, o, a, out):
	case o.retries >= maxStageAttempts:
		r.failRequest(now, o, event.ProblemFailed, "stage "+o.currentStage().Name+": "+reason, placeRetryAfter, out)
	case !kind.NotRun() && !r.deps.Queue.TakeRetry(now, o.arrival.Pipeline):
		r.failRequest(now, o, event.ProblemFailed, "stage "+o.currentStage().Name+": "+reason+"; the retry budget is exhausted", placeRetryAfter, out)
	default:
		out.log("retry", o, string(a.server), reason)
		r.counters.Retries++
		r.place(now, o, out)
	}
}

// settleFailedAction records the outcome of an action that reached its service and failed, and answers the caller. Only an
// error of the service proves that the action had no effect; after other failures the outcome is unknown.
func (r *Requests) settleFailedAction(now time.Time, o *openRequest, kind event.FailKind, reason string, out *actions) {
	state, problem := claim.Unknown, event.ProblemUnknown
	if kind == event.FailError {
		state, problem = claim.Failed, event.ProblemFailed
	}
	out.add(r.deps.Claims.RecordOutcome(now, o.arrival.Request, state, nil)...)
	o.granted = false
	o.actionSent = false
	if o.phase == phaseOutcome {
		r.remove(now, o, out)
		return
	}
	retryAfter := time.Duration(0)
	if problem == event.ProblemUnknown {
		retryAfter = claimRetryAfter
	}
	r.failRequest(now, o, problem, "stage "+o.currentStage().Name+": "+reason, retryAfter, out)
}

// crashWatch is an attempt whose connection broke and whose server may have crashed. A new start identity of the server, or
// a refused connection, proves the crash.
type crashWatch struct {
	request     id.Request
	fingerprint id.Fingerprint
	version     id.Version
	start       id.Start // the server's start identity when the attempt was sent
	until       time.Time
}

// watchForCrash records a crash if the server is known to have restarted since the attempt was sent, and otherwise starts
// a watch. It reports whether a watch was started.
func (r *Requests) watchForCrash(now time.Time, o *openRequest, a *attemptState, out *actions) bool {
	w := crashWatch{request: o.arrival.Request, fingerprint: o.fingerprint, version: a.version, start: a.start, until: now.Add(crashCheckTime)}
	if a.start == "" {
		return false // the server has never reported its start identity
	}
	if r.serverStarts[a.server] != a.start {
		r.recordCrash(now, a.server, w, out)
		return false
	}
	r.crashWatches[a.server] = append(r.crashWatches[a.server], w)
	return true
}

// recordCrash counts a crash against the fingerprint of the request.
func (r *Requests) recordCrash(now time.Time, server id.Server, w crashWatch, out *actions) {
	out.add(event.Log{Kind: "guard", Request: w.request, Choice: string(server), Reason: "the server restarted while it ran this request"})
	out.add(r.deps.Guard.RecordCrash(now, w.fingerprint, server, w.start)...)
	if o, ok := r.open[w.request]; ok {
		o.crashedVersions = append(o.crashedVersions, w.version)
	}
}

// recordVersionCrashes counts the crashes in this stage against their versions, now that another version has completed
// it. If every version crashes on a request, the request is at fault.
func (r *Requests) recordVersionCrashes(now time.Time, o *openRequest, a *attemptState) {
	for _, v := range o.crashedVersions {
		if v != a.version {
			r.deps.Versions.Observe(now, canary.Sample{Pool: a.pool, Version: v, Sample: evidence.Sample{
				Route: o.arrival.Pipeline, Failed: true, Load: a.load, Cold: a.cold,
			}})
		}
	}
	o.crashedVersions = nil
}

// awaitCrashCheck delays the retry until the server shows that it has crashed, at most for crashCheckTime, so that a request
// that crashes servers does not reach a second one before the first crash is known. It reports whether it took over the
// retry.
func (r *Requests) awaitCrashCheck(now time.Time, o *openRequest, a *attemptState, out *actions) bool {
	if a.start == "" {
		return false
	}
	o.phase = phaseCrashCheck
	o.crashCheckServer = a.server
	o.crashCheckUntil = now.Add(crashCheckTime)
	if !r.watchForCrash(now, o, a, out) {
		r.retryThroughGuard(now, o, out)
		return true
	}
	r.timers.Set(o.crashCheckUntil, o.arrival.Request)
	return true
}

// recordStart stores the start identity that a server reported, if any.
func (r *Requests) recordStart(server id.Server, start id.Start) {
	if start != "" {
		r.serverStarts[server] = start
	}
}

// handleStart ends the crash watches of a server that reports a new start identity. The old identity proves nothing,
// because the report may have been sent before the crash.
func (r *Requests) handleStart(now time.Time, server id.Server, start id.Start, out *actions) {
	r.recordStart(server, start)
	watches := r.crashWatches[server]
	if len(watches) > 0 && watches[len(watches)-1].start != start {
		r.resolveWatches(now, server, func(w crashWatch) bool { return w.start != start }, out)
	}
}

// handleServerDown ends the crash watches of a server that refuses connections: its process is gone.
func (r *Requests) handleServerDown(now time.Time, ev event.LoadQueryFailed, out *actions) {
	if ev.Refused {
		r.resolveWatches(now, ev.Server, func(crashWatch) bool { return true }, out)
	}
}

// handleUnreachable moves the stalled idempotent attempts of a server that does not answer load queries to other servers,
// because the connections may hang until the deadline. An attempt is stalled after stallThreshold without output; before
// that, it may still be on its way to the server.
func (r *Requests) handleUnreachable(now time.Time, server id.Server, out *actions) {
	var stalled []id.Attempt
	for attempt, a := range r.attempts {
		if a.server == server && now.Sub(a.lastOutputAt) >= stallThreshold {
			stalled = append(stalled, attempt)
		}
	}
	slices.Sort(stalled)
	for _, attempt := range stalled {
		a, ok := r.attempts[attempt]
		if !ok {
			continue
		}
		o := r.open[a.request]
		if o == nil || o.atMostOnce() || o.phase != phaseRunning || o.retries+1 >= maxStageAttempts {
			continue
		}
		if !r.deps.Queue.TakeRetry(now, o.arrival.Pipeline) {
			return // let the attempts continue: perhaps only the query was lost
		}
		r.cancel(now, o, a, out)
		if len(o.attempts) > 0 {
			continue // the other attempt of a hedged stage continues
		}
		if !slices.Contains(o.avoid, a.server) {
			o.avoid = append(o.avoid, a.server)
		}
		o.retries++
		r.counters.Retries++
		out.log("retry", o, string(a.server), "the backend server cannot be reached")
		r.place(now, o, out)
	}
}

// resolveWatches ends the crash watches of a server, records those that are proven crashes, and continues their requests.
func (r *Requests) resolveWatches(now time.Time, server id.Server, crashed func(crashWatch) bool, out *actions) {
	watches := r.crashWatches[server]
	delete(r.crashWatches, server)
	for _, w := range watches {
		if crashed(w) && !w.until.Before(now) {
			r.recordCrash(now, server, w, out)
		}
		o, ok := r.open[w.request]
		if ok && o.phase == phaseCrashCheck && o.crashCheckServer == server {
			r.retryThroughGuard(now, o, out)
		}
	}
}

// retryThroughGuard retries a request after its connection broke, if the crash guard still lets it run.
func (r *Requests) retryThroughGuard(now time.Time, o *openRequest, out *actions) {
	if !r.deps.Queue.TakeRetry(now, o.arrival.Pipeline) {
		r.failRequest(now, o, event.ProblemFailed, "the connection to the backend server broke; the retry budget is exhausted", placeRetryAfter, out)
		return
	}
	r.counters.Retries++
	r.askGuard(now, o, out)
}

// askGuard asks the crash guard for a new verdict. A permission to run from an earlier verdict is returned first.
func (r *Requests) askGuard(now time.Time, o *openRequest, out *actions) {
	o.phase = phaseGuard
	out.add(r.deps.Guard.Finish(now, o.arrival.Request, o.fingerprint)...)
	out.add(r.deps.Guard.Ask(now, o.arrival.Request, o.fingerprint)...)
}
