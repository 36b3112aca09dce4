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

// fail takes the failure of an attempt.
func (r *Requests) fail(now time.Time, ev event.AttemptFailed, out *actions) {
	o, t := r.match(ev.Attempt)
	if o == nil {
		return
	}
	r.noteStart(t.server, ev.Start)
	r.drop(o, t)
	out.add(r.parts.Router.End(now, t.attempt, route.Outcome{Kind: outcomeOf(ev.Kind), Took: now.Sub(t.began), Start: ev.Start})...)
	if ev.Kind == event.FailError || ev.Kind == event.FailTimeout {
		r.sample(now, o, t, now.Sub(t.began), true)
	}
	r.retry(now, o, t, ev.Kind, ev.Reason, out)
}

func outcomeOf(kind event.FailKind) route.OutcomeKind {
	switch kind {
	case event.FailUnsent, event.FailBroken:
		return route.ConnFailed
	case event.FailRejected:
		return route.Rejected
	}
	return route.Errored
}

// retry decides what follows a failed attempt that was taken out of the books.
func (r *Requests) retry(now time.Time, o *open, t *try, kind event.FailKind, reason string, out *actions) {
	if !slices.Contains(o.avoid, t.server) {
		o.avoid = append(o.avoid, t.server)
	}
	if o.onlyOnce() && !kind.NotRun() {
		if kind == event.FailBroken {
			r.watchStart(now, o, t, out)
		}
		r.outcomeOfAction(now, o, kind, reason, out)
		return
	}
	if o.onlyOnce() {
		o.dispatched = false
	}
	if o.phase == settling {
		r.forget(now, o, out)
		return
	}
	if len(o.tries) > 0 {
		return // a hedged attempt goes on
	}
	o.retried++
	switch {
	case kind == event.FailBroken && r.awaitStart(now, o, t, out):
	case o.retried >= maxTries:
		r.giveUp(now, o, event.ProblemFailed, "stage "+o.current().Name+": "+reason, placeRetry, out)
	case !kind.NotRun() && !r.parts.Queue.TakeRetry(now, o.arrive.Pipeline):
		r.giveUp(now, o, event.ProblemFailed, "stage "+o.current().Name+": "+reason+"; the retry budget is used up", placeRetry, out)
	default:
		out.log("retry", o, string(t.server), reason)
		r.counters.Retries++
		r.place(now, o, out)
	}
}

// outcomeOfAction answers for a non-idempotent attempt that reached its service.
func (r *Requests) outcomeOfAction(now time.Time, o *open, kind event.FailKind, reason string, out *actions) {
	state, answer := claim.Unknown, event.ProblemUnknown
	if kind == event.FailError {
		state, answer = claim.Failed, event.ProblemFailed
	}
	out.add(r.parts.Claims.RecordOutcome(now, o.arrive.Request, state, nil)...)
	o.granted = false
	o.dispatched = false
	if o.phase == settling {
		r.forget(now, o, out)
		return
	}
	after := time.Duration(0)
	if answer == event.ProblemUnknown {
		after = claimRetry
	}
	r.giveUp(now, o, answer, "stage "+o.current().Name+": "+reason, after, out)
}

// watch is a broken attempt whose server has not shown since whether it crashed.
type watch struct {
	request id.Request
	print   id.Fingerprint
	version id.Version
	start   id.Start // the server's start identity when the attempt was sent
	until   time.Time
}

// watchStart finds out whether a broken attempt was a crash of its server; it reports whether that is still open.
func (r *Requests) watchStart(now time.Time, o *open, t *try, out *actions) bool {
	w := watch{request: o.arrive.Request, print: o.print, version: t.version, start: t.start, until: now.Add(verifyWait)}
	if t.start == "" {
		return false // the server has never told its start identity
	}
	if r.starts[t.server] != t.start {
		r.crash(now, t.server, w, out)
		return false
	}
	r.watches[t.server] = append(r.watches[t.server], w)
	return true
}

// crash counts a crash against the request's content.
func (r *Requests) crash(now time.Time, server id.Server, w watch, out *actions) {
	out.add(event.Log{Kind: "guard", Request: w.request, Choice: string(server), Reason: "the server restarted while it ran this request"})
	out.add(r.parts.Guard.RecordCrash(now, w.print, server, w.start)...)
	if o, ok := r.open[w.request]; ok {
		o.crashed = append(o.crashed, w.version)
	}
}

// chargeCrashes counts crashes against a version if another version ran the same request well;
// a request that crashes any version is not the version's fault.
func (r *Requests) chargeCrashes(now time.Time, o *open, t *try) {
	for _, v := range o.crashed {
		if v != t.version {
			r.parts.Versions.Observe(now, canary.Sample{Pool: t.pool, Version: v, Sample: evidence.Sample{
				Route: o.arrive.Pipeline, Failed: true, Load: t.load, Cold: t.cold,
			}})
		}
	}
	o.crashed = nil
}

// awaitStart holds a request back until its server's next sign of life, so that a request that crashes
// servers does not reach a second one before the first crash is known.
func (r *Requests) awaitStart(now time.Time, o *open, t *try, out *actions) bool {
	if t.start == "" {
		return false
	}
	o.phase = verifying
	o.broken = t.server
	o.verified = now.Add(verifyWait)
	if !r.watchStart(now, o, t, out) {
		r.recheck(now, o, out)
		return true
	}
	r.timers.Set(o.verified, o.arrive.Request)
	return true
}

// noteStart remembers a start identity that an answer carried.
func (r *Requests) noteStart(server id.Server, start id.Start) {
	if start != "" {
		r.starts[server] = start
	}
}

// heardStart continues the requests whose attempts a server broke, once it shows a new start identity. The old
// one proves nothing, because the report may be older than the crash.
func (r *Requests) heardStart(now time.Time, server id.Server, start id.Start, out *actions) {
	r.noteStart(server, start)
	watches := r.watches[server]
	if len(watches) > 0 && watches[len(watches)-1].start != start {
		r.resolve(now, server, func(w watch) bool { return w.start != start }, out)
	}
}

// serverDown continues the requests whose attempts a server broke, now that it refuses connections.
func (r *Requests) serverDown(now time.Time, ev event.LoadQueryFailed, out *actions) {
	if ev.Refused {
		r.resolve(now, ev.Server, func(watch) bool { return true }, out)
	}
}

// unreachable places the idempotent attempts of a server that does not answer load queries anew, because the
// connections may hang until the deadline. An attempt younger than a query's timeout may still be on its way there.
func (r *Requests) unreachable(now time.Time, server id.Server, out *actions) {
	var stuck []id.Attempt
	for name, t := range r.attempts {
		if t.server == server && now.Sub(t.heard) >= silence {
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
		if o == nil || o.onlyOnce() || o.phase != running || o.retried+1 >= maxTries {
			continue
		}
		if !r.parts.Queue.TakeRetry(now, o.arrive.Pipeline) {
			return // the attempts go on: only the query may have been lost
		}
		r.cancel(now, o, t, out)
		if len(o.tries) > 0 {
			continue // a hedged attempt goes on
		}
		if !slices.Contains(o.avoid, t.server) {
			o.avoid = append(o.avoid, t.server)
		}
		o.retried++
		r.counters.Retries++
		out.log("retry", o, string(t.server), "the backend server cannot be reached")
		r.place(now, o, out)
	}
}

func (r *Requests) resolve(now time.Time, server id.Server, crashed func(watch) bool, out *actions) {
	watches := r.watches[server]
	delete(r.watches, server)
	for _, w := range watches {
		if crashed(w) && !w.until.Before(now) {
			r.crash(now, server, w, out)
		}
		o, ok := r.open[w.request]
		if ok && o.phase == verifying && o.broken == server {
			r.recheck(now, o, out)
		}
	}
}

// recheck asks the guard again about a request whose server broke the connection, and so tries it anew.
func (r *Requests) recheck(now time.Time, o *open, out *actions) {
	if !r.parts.Queue.TakeRetry(now, o.arrive.Pipeline) {
		r.giveUp(now, o, event.ProblemFailed, "the connection to the backend server broke; the retry budget is used up", placeRetry, out)
		return
	}
	r.counters.Retries++
	r.askGuard(now, o, out)
}

// askGuard gives up the turn that a suspect may have, and asks for a new verdict.
func (r *Requests) askGuard(now time.Time, o *open, out *actions) {
	o.phase = guarding
	out.add(r.parts.Guard.Finish(now, o.arrive.Request, o.print)...)
	out.add(r.parts.Guard.Ask(now, o.arrive.Request, o.print)...)
}
