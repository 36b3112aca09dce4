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
	claimRetry   = time.Second            // how soon a caller may ask again for a key that is being settled
	placeRetry   = 500 * time.Millisecond // how soon a caller may come back when a pool has no server
	placePause   = 20 * time.Millisecond  // between two tries to place a request while no server is known
	waitPause    = 200 * time.Millisecond // between two tries while all servers are full, should no word of room come
	verifyWait   = 400 * time.Millisecond // two load report periods, so that a restarted server has been heard of
	maxTries     = 6                      // attempts for one stage, so that a failing pool cannot be hammered
	lookFresh    = 250 * time.Millisecond // age of a lookup of a key that a refusal may rest on
	lookWait     = 250 * time.Millisecond // how long a refusal may wait for a new lookup
	settleWait   = 10 * time.Second       // how long the outcome of an action is awaited after its caller was answered
	hopeless     = 0.5                    // share of the estimated time below which a request is given up
	silence      = 300 * time.Millisecond // without a part from a server that cannot be reached, before an attempt is placed anew
	noServerWait = 500 * time.Millisecond // how long a pool may stay without any usable server
)

// try is one attempt of a stage.
type try struct {
	attempt id.Attempt
	request id.Request
	server  id.Server
	addr    netip.AddrPort
	version id.Version
	pool    id.Pool
	stage   int
	offset  int
	began   time.Time
	heard   time.Time // when its last part came
	until   time.Time
	load    int
	cold    bool     // the server was cold when the attempt was sent
	start   id.Start // the server's start identity when the attempt was sent
	hedge   bool
}

// begin enters the present stage.
func (r *Requests) begin(now time.Time, o *open, out *actions) {
	o.entered = now
	o.waited = time.Time{}
	if o.onlyOnce() && !o.granted {
		o.phase = claiming
		out.add(r.parts.Claims.Ask(now, o.claim())...)
		return
	}
	r.place(now, o, out)
}

// place looks for a backend server for the present stage and sends the attempt.
func (r *Requests) place(now time.Time, o *open, out *actions) {
	if r.tooLate(now, o) {
		out.log("place", o, "give up", "the time left does not suffice for the remaining stages")
		r.giveUp(now, o, event.ProblemDeadline, "the time left did not suffice for the remaining stages", 0, out)
		return
	}
	if r.parts.Guard.CrashCount(now, o.print) > o.judged || !o.alone.IsZero() && !o.alone.After(now) {
		r.askGuard(now, o, out)
		return
	}
	o.phase = placing
	if o.waited.IsZero() {
		o.waited = now
	}
	if !r.chooseVersion(now, o, out) {
		return
	}
	choice := r.dispatch(now, o, false, out)
	switch choice.Decision {
	case route.Chosen:
		o.phase = running
	case route.Wait:
		r.wait(o)
		r.timers.Set(now.Add(waitPause), o.arrive.Request)
	case route.NoServer:
		if now.Sub(o.waited) >= noServerWait {
			r.refuse(now, o, "no backend server of pool "+string(o.current().Pool)+" can take work", placeRetry, out)
			return
		}
		r.wait(o)
		r.timers.Set(now.Add(placePause), o.arrive.Request)
	}
}

func (r *Requests) tooLate(now time.Time, o *open) bool {
	left := o.deadline.Sub(now)
	if left <= 0 {
		return true
	}
	if o.delivered > 0 {
		return false // tokens are on their way to the caller already
	}
	need := r.parts.Queue.Estimate(o.arrive.Pipeline, o.remaining())
	return float64(left) < hopeless*float64(need)
}

// chooseVersion decides which version serves the stage; it reports false if the request had to end.
func (r *Requests) chooseVersion(now time.Time, o *open, out *actions) bool {
	chosen := r.parts.Versions.Choose(now, o.current().Pool, o.print, o.arrive.Pipeline)
	if old := r.parts.Versions.Fallback(o.current().Pool); old != "" && o.retried > 0 && o.delivered == 0 {
		// A request that fails whoever runs it must not convict the new version with all of its attempts.
		chosen = old
	}
	if o.delivered > 0 && chosen == "" {
		chosen = o.served
	}
	if o.delivered > 0 && chosen != o.served {
		if o.pinned {
			// Another version would continue with other words than the caller has read.
			r.giveUp(now, o, event.ProblemFailed, "the version that began the answer was stopped", placeRetry, out)
			return false
		}
		o.delivered = 0
		o.text = nil
	}
	o.version = chosen
	return true
}

func (r *Requests) wait(o *open) {
	pool := o.current().Pool
	if !slices.Contains(r.waiting[pool], o.arrive.Request) {
		r.waiting[pool] = append(r.waiting[pool], o.arrive.Request)
	}
}

// room tries the requests that wait for a pool, most urgent first, until one finds no room.
func (r *Requests) room(now time.Time, pool id.Pool, out *actions) {
	names := r.waiting[pool]
	if len(names) == 0 {
		return
	}
	delete(r.waiting, pool)
	names = slices.DeleteFunc(names, func(name id.Request) bool {
		o, ok := r.open[name]
		return !ok || o.phase != placing || o.current().Pool != pool
	})
	slices.SortStableFunc(names, func(a, b id.Request) int {
		return r.open[a].arrive.Priority - r.open[b].arrive.Priority
	})
	for i, name := range names {
		o, ok := r.open[name]
		if !ok || o.phase != placing {
			continue
		}
		r.place(now, o, out)
		if still, ok := r.open[name]; ok && still.phase == placing {
			r.waiting[pool] = append(r.waiting[pool], names[i+1:]...)
			return
		}
	}
}

// dispatch places one attempt and sends it.
func (r *Requests) dispatch(now time.Time, o *open, hedge bool, out *actions) route.Choice {
	s := o.current()
	r.last++
	attempt := r.last
	choice, more := r.parts.Router.Place(now, attempt, route.Query{
		Request: o.arrive.Request, Stage: s.Name, Pool: s.Pool, Version: o.version,
		PrefixHashes: o.prefix, Exclude: o.avoid, Exclusive: !o.alone.IsZero(), Deadline: o.deadline,
		LastReason: o.waitsFor,
	})
	out.add(more...)
	if choice.Decision != route.Chosen {
		o.waitsFor = choice.Reason
		return choice
	}
	o.waitsFor = ""
	t := &try{
		attempt: attempt, request: o.arrive.Request, server: choice.Server.ID, addr: choice.Server.Addr, pool: s.Pool,
		version: choice.Server.Version, stage: o.stage, offset: o.delivered,
		began: now, heard: now, until: o.deadline, load: r.parts.Router.InFlight(choice.Server.ID), start: choice.Server.Start, hedge: hedge,
		cold: !r.parts.Router.Warm(choice.Server.ID),
	}
	if !o.alone.IsZero() && o.alone.Before(t.until) {
		t.until = o.alone
	}
	if s.Timeout > 0 && now.Add(s.Timeout).Before(t.until) {
		t.until = now.Add(s.Timeout)
	}
	o.tries = append(o.tries, t)
	r.attempts[attempt] = t
	r.counters.Attempts++
	o.sent = true
	if o.onlyOnce() {
		o.dispatched = true
	}
	r.timers.Set(t.until, o.arrive.Request)
	if r.mayHedge(o) {
		r.timers.Set(now.Add(o.plan.Hedge), o.arrive.Request)
	}
	out.add(event.Dispatch{
		Attempt: attempt, Request: o.arrive.Request, Server: t.server, Addr: choice.Server.Addr,
		Stage: s.Name, Version: t.version, Input: o.arrive.Body, Prior: o.prior, Offset: o.delivered,
		Stream: s.Stream, Priority: o.arrive.Priority, Deadline: t.until, Key: r.serviceKey(o),
	})
	return choice
}

// serviceKey is the idempotency key that a service gets, if the stage must not run twice.
func (r *Requests) serviceKey(o *open) string {
	if !o.onlyOnce() {
		return ""
	}
	return o.arrive.Key
}

func (r *Requests) mayHedge(o *open) bool {
	return o.plan.Hedge > 0 && !o.onlyOnce() && o.alone.IsZero() && len(o.tries) == 1 && o.delivered == 0
}

// hedge sends a second attempt beside a slow one, if the retry budget allows it.
func (r *Requests) hedge(now time.Time, o *open, out *actions) {
	if o.phase != running || !r.mayHedge(o) || now.Sub(o.tries[0].began) < o.plan.Hedge {
		return
	}
	if !r.parts.Queue.TakeRetry(now, o.arrive.Pipeline) {
		return
	}
	o.avoid = append(o.avoid, o.tries[0].server)
	if r.dispatch(now, o, true, out).Decision == route.Chosen {
		r.counters.Hedges++
		out.log("hedge", o, string(o.tries[1].server), "the first attempt is slow")
	}
}

// match finds the attempt and its request; an attempt that was given up has neither.
func (r *Requests) match(attempt id.Attempt) (*open, *try) {
	t, ok := r.attempts[attempt]
	if !ok {
		r.counters.Abandoned++
		return nil, nil
	}
	return r.open[t.request], t
}

// part takes a piece of a stream.
func (r *Requests) part(now time.Time, ev event.AttemptOutput, out *actions) {
	o, t := r.match(ev.Attempt)
	if o == nil {
		return
	}
	t.heard = now
	if ev.Seq+ev.Tokens <= o.delivered && !r.noOrder {
		return // repeated
	}
	if ev.Seq != o.delivered && !r.noOrder {
		r.counters.Gaps++
		r.cutOff(now, o, t, "a part of the stream is missing", out)
		return
	}
	r.cancelOthers(now, o, t, out)
	o.delivered += ev.Tokens
	o.served = t.version
	last := o.stage == len(o.plan.Stages)-1
	if !o.arrive.Stream || !last {
		o.text = append(o.text, ev.Data...)
	}
	if o.arrive.Stream && o.phase != settling {
		o.pinned = true
		out.add(event.Reply{Request: o.arrive.Request, Data: ev.Data})
	}
}

// cutOff abandons an attempt of an idempotent stage and lets another continue.
func (r *Requests) cutOff(now time.Time, o *open, t *try, reason string, out *actions) {
	r.cancel(now, o, t, out)
	r.retry(now, o, t, event.FailBroken, reason, out)
}

// done takes the end mark of an attempt.
func (r *Requests) done(now time.Time, ev event.AttemptDone, out *actions) {
	o, t := r.match(ev.Attempt)
	if o == nil {
		return
	}
	r.noteStart(t.server, ev.Start)
	if o.current().Stream && ev.Tokens != o.delivered {
		r.counters.Gaps++
		r.cutOff(now, o, t, "the stream ended before its last part", out)
		return
	}
	r.drop(o, t)
	out.add(r.parts.Router.End(now, t.attempt, route.Outcome{Kind: route.Completed, Took: ev.Took, Start: ev.Start, Tokens: ev.Tokens})...)
	r.sample(now, o, t, ev.Took, false)
	r.chargeCrashes(now, o, t)
	r.cancelOthers(now, o, nil, out)
	r.parts.Queue.Observe(o.arrive.Pipeline, o.current().Name, now.Sub(o.entered))
	r.parts.Queue.RecordSuccess(o.arrive.Pipeline)
	result := ev.Data
	if o.current().Stream {
		result = o.text
	}
	if o.onlyOnce() {
		out.add(r.parts.Claims.RecordOutcome(now, o.arrive.Request, claim.Done, result)...)
		o.granted = false
		o.dispatched = false
	}
	if o.phase == settling {
		r.forget(now, o, out)
		return
	}
	r.advance(now, o, result, out)
}

func (r *Requests) sample(now time.Time, o *open, t *try, took time.Duration, failed bool) {
	r.parts.Versions.Observe(now, canary.Sample{
		Pool: t.pool, Version: t.version,
		Sample: evidence.Sample{Route: o.arrive.Pipeline, Took: took, Failed: failed, Load: t.load, Cold: t.cold},
	})
}

// advance goes to the next stage, or answers the caller after the last one.
func (r *Requests) advance(now time.Time, o *open, result []byte, out *actions) {
	tokens := o.delivered
	if o.stage == len(o.plan.Stages)-1 {
		if o.arrive.Stream && o.current().Stream {
			result = nil // it was passed on in parts
		}
		r.answer(now, o, result, tokens, out)
		return
	}
	o.stage++
	o.prior = result
	o.text = nil
	o.delivered = 0
	o.pinned = false
	o.version = ""
	o.crashed = nil
	o.avoid = nil
	o.retried = 0
	r.begin(now, o, out)
}

// cancelOthers abandons all attempts of a request but one.
func (r *Requests) cancelOthers(now time.Time, o *open, keep *try, out *actions) {
	for _, t := range slices.Clone(o.tries) {
		if t != keep {
			r.cancel(now, o, t, out)
		}
	}
}

// cancel abandons an attempt; whatever still comes of it is dropped.
func (r *Requests) cancel(now time.Time, o *open, t *try, out *actions) {
	r.abandon(o, t)
	out.add(event.Cancel{Attempt: t.attempt, Server: t.server, Addr: t.addr})
	out.add(r.parts.Router.End(now, t.attempt, route.Outcome{Kind: route.Cancelled, Took: now.Sub(t.began)})...)
}

// abandon takes an attempt out of the books whose answer may still come.
func (r *Requests) abandon(o *open, t *try) {
	r.drop(o, t)
	if r.noAbandon {
		r.attempts[t.attempt] = t
	}
}

func (r *Requests) drop(o *open, t *try) {
	delete(r.attempts, t.attempt)
	o.tries = slices.DeleteFunc(o.tries, func(other *try) bool { return other == t })
}
