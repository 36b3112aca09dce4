package request

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/admit"
	"bluebellflow/core/claim"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/quarantine"
	"bluebellflow/core/settings"
)

// phase says what a request waits for.
type phase uint8

const (
	looking   phase = iota + 1 // what is known of its idempotency key
	guarding                   // the guard's verdict on its fingerprint
	queued                     // admission
	claiming                   // the claim on its idempotency key
	placing                    // room on a backend server
	running                    // an attempt
	verifying                  // whether a broken attempt was a crash of its server
	settling                   // answered; the outcome of a non-idempotent attempt is still wanted
)

// open is a request without a final answer, or one whose action's outcome must still be recorded.
type open struct {
	arrive   event.RequestArrived
	plan     settings.Effective
	print    id.Fingerprint
	prefix   []uint64
	deadline time.Time
	phase    phase
	admitted bool
	alone    time.Time // suspected of crashing servers: until then it may run, with nothing else on the server

	stage     int
	prior     []byte     // output of the stage before
	text      []byte     // output of the present streaming stage, kept while the caller does not stream
	delivered int        // tokens of the present streaming stage that were accepted
	version   id.Version // version asked for, empty for any
	served    id.Version // version that produced the accepted tokens
	pinned    bool       // the version must not change any more, since tokens of it were passed on
	tries     []*try
	avoid     []id.Server
	retried   int
	entered   time.Time // when the stage began
	waited    time.Time // when waiting for room began
	waitsFor  string    // why, as last logged

	granted    bool      // the claim is ours
	dispatched bool      // a non-idempotent attempt left this node
	sent       bool      // any attempt left this node
	absent     bool      // the key was not claimed when it was looked up
	looked     time.Time // when that lookup began
	refusal    *refusal  // what the caller is told if the key is still not claimed
	broken     id.Server
	verified   time.Time    // until when to wait for signs of a crash
	judged     uint64       // crashes that were known at the guard's verdict
	crashed    []id.Version // versions whose servers crashed on the present stage
}

func (o *open) current() settings.Stage { return o.plan.Stages[o.stage] }

// onlyOnce reports whether the present stage must not run twice.
func (o *open) onlyOnce() bool {
	s := o.current()
	return s.Kind == settings.Action && !s.Idempotent
}

// needsKey reports whether any stage must not run twice.
func needsKey(plan settings.Effective) bool {
	for _, s := range plan.Stages {
		if s.Kind == settings.Action && !s.Idempotent {
			return true
		}
	}
	return false
}

func (o *open) remaining() []string {
	names := make([]string, 0, len(o.plan.Stages)-o.stage)
	for _, s := range o.plan.Stages[o.stage:] {
		names = append(names, s.Name)
	}
	return names
}

// Fingerprint identifies the content of a request, whoever sends it and however often.
func Fingerprint(ws id.Workspace, p id.Pipeline, body []byte) id.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(strconv.Itoa(len(ws)))
	_, _ = d.WriteString(string(ws))
	_, _ = d.WriteString(strconv.Itoa(len(p)))
	_, _ = d.WriteString(string(p))
	_, _ = d.Write(body)
	return id.Fingerprint(d.Sum64())
}

// smallestPrefix and largestPrefix bound the prefixes in bytes that engines publish cache events for.
const (
	smallestPrefix = 64
	largestPrefix  = 64 << 10
)

// prefixes returns the hashes of the body's first 64, 128, 256 … bytes, as engines publish them.
func prefixes(body []byte) []uint64 {
	var out []uint64
	for n := smallestPrefix; n <= len(body) && n <= largestPrefix; n *= 2 {
		out = append(out, xxhash.Sum64(body[:n]))
	}
	return out
}

func (r *Requests) arrive(now time.Time, ev event.RequestArrived, out *actions) {
	if _, again := r.open[ev.Request]; again {
		return
	}
	if r.parts.Settings.Revision() == 0 {
		out.add(notReady(ev, "this node has no configuration yet"))
		return
	}
	if !r.parts.Versions.Loaded() {
		// Without the rollouts the request could reach a version that was taken back.
		out.add(notReady(ev, "this node does not know the rollouts yet"))
		return
	}
	plan, err := r.parts.Settings.Tree().Effective(ev.Workspace, ev.Pipeline, r.self.FailureDomain)
	if err != nil {
		out.add(problem(ev.Request, event.ProblemInvalid, err.Error(), 0))
		return
	}
	if needsKey(plan) && ev.Key == "" {
		out.add(problem(ev.Request, event.ProblemInvalid, "pipeline "+string(ev.Pipeline)+" runs at most once and needs an Idempotency-Key", 0))
		return
	}
	o := &open{arrive: ev, plan: plan, deadline: now.Add(plan.Deadline), phase: guarding, entered: now}
	if !ev.Deadline.IsZero() && ev.Deadline.Before(o.deadline) {
		o.deadline = ev.Deadline
	}
	if !o.deadline.After(now) {
		out.add(problem(ev.Request, event.ProblemDeadline, "the deadline had passed on arrival", 0))
		return
	}
	o.print = Fingerprint(ev.Workspace, ev.Pipeline, ev.Body)
	o.prefix = prefixes(ev.Body)
	r.open[ev.Request] = o
	r.counters.Opened++
	r.timers.Set(o.deadline, ev.Request)
	if needsKey(plan) {
		o.phase = looking
		o.looked = now
		out.add(r.parts.Claims.Lookup(now, o.claim())...)
		return
	}
	out.add(r.parts.Guard.Ask(now, ev.Request, o.print)...)
}

// readyRetry is how soon a caller may come back to a node that has just started.
const readyRetry = time.Second

// notReady answers a request that came before the node knew what it needs, as right after its start.
// Without a key nothing can have run. With one, an earlier send may have, and only other nodes can tell.
func notReady(ev event.RequestArrived, detail string) event.Reply {
	kind := event.ProblemRefused
	if ev.Key != "" {
		kind = event.ProblemUnknown
	}
	return problem(ev.Request, kind, detail, readyRetry)
}

func (o *open) claim() claim.Request {
	return claim.Request{
		ID: o.arrive.Request, Workspace: o.arrive.Workspace, Key: o.arrive.Key,
		Fingerprint: o.print, Deadline: o.deadline,
	}
}

// guarded continues a request whose fingerprint was judged.
func (r *Requests) guarded(now time.Time, ev quarantine.Decided, out *actions) {
	o, ok := r.open[ev.Request]
	if !ok || o.phase != guarding {
		return
	}
	o.alone = ev.Until
	o.judged = r.parts.Guard.CrashCount(now, o.print)
	if ev.Verdict == quarantine.Refuse {
		out.log("guard", o, "refuse", "requests with this content crashed backend servers")
		r.refuse(now, o, "requests with this content crashed backend servers", ev.RetryAfter, out)
		return
	}
	if o.admitted {
		r.begin(now, o, out)
		return
	}
	r.admit(now, o, out)
}

func (r *Requests) admit(now time.Time, o *open, out *actions) {
	v := r.parts.Queue.Offer(now, r.task(o))
	switch v.Kind {
	case admit.Admitted:
		if r.congested(o) {
			r.requeue(now, o, out)
			return
		}
		o.admitted = true
		r.begin(now, o, out)
	case admit.Queued:
		o.phase = queued
		out.log("admit", o, "queue", v.Reason)
	case admit.Refused:
		out.log("admit", o, "refuse", v.Reason)
		r.refuse(now, o, v.Reason, v.RetryAfter, out)
	}
}

// congested reports whether requests wait for a pool that the request needs. Such a request waits in the
// queue instead, where priority and weights decide, and where it can still be refused as not run.
func (r *Requests) congested(o *open) bool {
	for _, s := range o.plan.Stages {
		if len(r.waiting[s.Pool]) > 0 {
			return true
		}
	}
	return false
}

// requeue puts an admitted request that no server has room for back into the queue.
func (r *Requests) requeue(now time.Time, o *open, out *actions) {
	o.admitted = false
	o.phase = queued
	out.log("admit", o, "queue", "others wait for a server of the pipeline")
	r.parts.Queue.Requeue(now, r.task(o))
	r.timers.Set(now.Add(waitPause), o.arrive.Request)
}

func (r *Requests) task(o *open) admit.Task {
	return admit.Task{
		Request: o.arrive.Request, Workspace: o.arrive.Workspace, Pipeline: o.arrive.Pipeline,
		Stages: o.remaining(), Weight: o.plan.Weight, Limit: o.plan.Limit,
		Priority: o.arrive.Priority, Deadline: o.deadline,
	}
}

// fits reports whether a queued request may start.
func (r *Requests) fits(t admit.Task) bool {
	o, ok := r.open[t.Request]
	return !ok || !r.congested(o)
}

// next admits queued requests for which there is room now.
func (r *Requests) next(now time.Time, out *actions) {
	for {
		task, ok := r.parts.Queue.Next(now, r.fits)
		if !ok {
			return
		}
		o, open := r.open[task.Request]
		if !open || o.phase != queued {
			r.parts.Queue.Finish(task.Request)
			continue
		}
		o.admitted = true
		r.begin(now, o, out)
	}
}

// claimed continues a request whose idempotency key was looked up.
func (r *Requests) claimed(now time.Time, ev claim.Decided, out *actions) {
	o, ok := r.open[ev.Request]
	if !ok || (o.phase != claiming && o.phase != looking) {
		if ev.Verdict == claim.Granted {
			// The request ended while its claim was on its way; it was never dispatched.
			out.add(r.parts.Claims.RecordOutcome(now, ev.Request, claim.NotDispatched, nil)...)
		}
		return
	}
	switch ev.Verdict {
	case claim.Granted:
		o.granted = true
		r.place(now, o, out)
	case claim.Recorded:
		if ev.Omitted {
			r.giveUp(now, o, event.ProblemCompleted, "the key's earlier run took effect; its answer is no longer kept", 0, out)
			return
		}
		out.log("claim", o, "recorded", "the key's earlier run has an answer")
		r.finish(now, o, ev.Result, out)
	case claim.RejectedBefore:
		r.giveUp(now, o, event.ProblemFailed, "an earlier request with this key failed without effect", 0, out)
	case claim.Mismatch:
		r.giveUp(now, o, event.ProblemInvalid, "the Idempotency-Key was used with another request", 0, out)
	case claim.Absent:
		r.unclaimed(now, o, out)
	case claim.NotIssued:
		r.giveUp(now, o, event.ProblemInvalid, "the one-time key was not issued", 0, out)
	default:
		r.giveUp(now, o, event.ProblemUnknown, "an earlier request with this key may have run", claimRetry, out)
	}
}

// unclaimed continues a request whose key nobody holds, or refuses it if the key cannot be claimed now.
func (r *Requests) unclaimed(now time.Time, o *open, out *actions) {
	o.absent = true
	if o.refusal != nil {
		r.end(now, o, event.ProblemRefused, o.refusal.detail, o.refusal.after, out)
		return
	}
	if o.phase == claiming {
		o.phase = placing
		o.looked = now
		r.refuse(now, o, "the key cannot be claimed now", claimRetry, out)
		return
	}
	o.phase = guarding
	out.add(r.parts.Guard.Ask(now, o.arrive.Request, o.print)...)
}
