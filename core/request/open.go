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
	phaseLookup     phase = iota + 1 // what is known of its idempotency key
	phaseGuard                       // the guard's verdict on its fingerprint
	phaseQueued                      // admission
	phaseClaim                       // the claim on its idempotency key
	phasePlacement                   // room on a backend server
	phaseRunning                     // an attempt
	phaseCrashCheck                  // whether a broken attempt was a crash of its server
	phaseOutcome                     // answered; the outcome of a non-idempotent attempt is still wanted
)

// openRequest is a request without a final answer, or one whose action's outcome must still be recorded.
type openRequest struct {
	arrival       event.RequestArrived
	plan          settings.Effective
	fingerprint   id.Fingerprint
	prefixHashes  []uint64
	deadline      time.Time
	phase         phase
	admitted      bool
	isolatedUntil time.Time // suspected of crashing servers: until then it may run, with nothing else on the server

	stage          int
	priorOutput    []byte     // output of the stage before
	output         []byte     // output of the present streaming stage, kept while the caller does not stream
	acceptedTokens int        // tokens of the present streaming stage that were accepted
	version        id.Version // version asked for, empty for any
	servedVersion  id.Version // version that produced the accepted tokens
	pinned         bool       // the version must not change any more, since tokens of it were passed on
	attempts       []*attemptState
	avoid          []id.Server
	retries        int
	stageStartedAt time.Time // when the stage began
	placingSince   time.Time // when waiting for room began
	waitReason     string    // why, as last logged

	granted          bool      // the claim is ours
	actionSent       bool      // a non-idempotent attempt left this node
	sent             bool      // any attempt left this node
	keyAbsent        bool      // the key was not claimed when it was looked up
	lookupAt         time.Time // when that lookup began
	pendingRefusal   *refusal  // what the caller is told if the key is still not claimed
	brokenServer     id.Server
	crashCheckUntil  time.Time    // until when to wait for signs of a crash
	crashesAtVerdict uint64       // crashes that were known at the guard's verdict
	crashedVersions  []id.Version // versions whose servers crashed on the present stage
}

func (o *openRequest) currentStage() settings.Stage { return o.plan.Stages[o.stage] }

// atMostOnce reports whether the present stage must not run twice.
func (o *openRequest) atMostOnce() bool {
	s := o.currentStage()
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

func (o *openRequest) remainingStages() []string {
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
	minPrefixBytes = 64
	maxPrefixBytes = 64 << 10
)

// hashPrefixes returns the hashes of the body's first 64, 128, 256 … bytes, as engines publish them.
func hashPrefixes(body []byte) []uint64 {
	var out []uint64
	for n := minPrefixBytes; n <= len(body) && n <= maxPrefixBytes; n *= 2 {
		out = append(out, xxhash.Sum64(body[:n]))
	}
	return out
}

func (r *Requests) handleArrive(now time.Time, ev event.RequestArrived, out *actions) {
	if _, again := r.open[ev.Request]; again {
		return
	}
	if r.deps.Settings.Revision() == 0 {
		out.add(notReady(ev, "this node has no configuration yet"))
		return
	}
	if !r.deps.Versions.Loaded() {
		// Without the rollouts the request could reach a version that was taken back.
		out.add(notReady(ev, "this node does not know the rollouts yet"))
		return
	}
	plan, err := r.deps.Settings.Tree().Effective(ev.Workspace, ev.Pipeline, r.self.FailureDomain)
	if err != nil {
		out.add(problemReply(ev.Request, event.ProblemInvalid, err.Error(), 0))
		return
	}
	if needsKey(plan) && ev.Key == "" {
		out.add(problemReply(ev.Request, event.ProblemInvalid, "pipeline "+string(ev.Pipeline)+" runs at most once and needs an Idempotency-Key", 0))
		return
	}
	o := &openRequest{arrival: ev, plan: plan, deadline: now.Add(plan.Deadline), phase: phaseGuard, stageStartedAt: now}
	if !ev.Deadline.IsZero() && ev.Deadline.Before(o.deadline) {
		o.deadline = ev.Deadline
	}
	if !o.deadline.After(now) {
		out.add(problemReply(ev.Request, event.ProblemDeadline, "the deadline had passed on arrival", 0))
		return
	}
	o.fingerprint = Fingerprint(ev.Workspace, ev.Pipeline, ev.Body)
	o.prefixHashes = hashPrefixes(ev.Body)
	r.open[ev.Request] = o
	r.counters.Opened++
	r.timers.Set(o.deadline, ev.Request)
	if needsKey(plan) {
		o.phase = phaseLookup
		o.lookupAt = now
		out.add(r.deps.Claims.Lookup(now, o.claimRequest())...)
		return
	}
	out.add(r.deps.Guard.Ask(now, ev.Request, o.fingerprint)...)
}

// notReadyRetryAfter is how soon a caller may come back to a node that has just started.
const notReadyRetryAfter = time.Second

// notReady answers a request that came before the node knew what it needs, as right after its start.
// Without a key nothing can have run. With one, an earlier send may have, and only other nodes can tell.
func notReady(ev event.RequestArrived, detail string) event.Reply {
	kind := event.ProblemRefused
	if ev.Key != "" {
		kind = event.ProblemUnknown
	}
	return problemReply(ev.Request, kind, detail, notReadyRetryAfter)
}

func (o *openRequest) claimRequest() claim.Request {
	return claim.Request{
		ID: o.arrival.Request, Workspace: o.arrival.Workspace, Key: o.arrival.Key,
		Fingerprint: o.fingerprint, Deadline: o.deadline,
	}
}

// handleGuardDecision continues a request whose fingerprint was judged.
func (r *Requests) handleGuardDecision(now time.Time, ev quarantine.Decided, out *actions) {
	o, ok := r.open[ev.Request]
	if !ok || o.phase != phaseGuard {
		return
	}
	o.isolatedUntil = ev.Until
	o.crashesAtVerdict = r.deps.Guard.CrashCount(now, o.fingerprint)
	if ev.Verdict == quarantine.Refuse {
		out.log("guard", o, "refuse", "requests with this content crashed backend servers")
		r.refuse(now, o, "requests with this content crashed backend servers", ev.RetryAfter, out)
		return
	}
	if o.admitted {
		r.beginStage(now, o, out)
		return
	}
	r.admit(now, o, out)
}

func (r *Requests) admit(now time.Time, o *openRequest, out *actions) {
	v := r.deps.Queue.Offer(now, r.admitTask(o))
	switch v.Kind {
	case admit.Admitted:
		if r.congested(o) {
			r.requeue(now, o, out)
			return
		}
		o.admitted = true
		r.beginStage(now, o, out)
	case admit.Queued:
		o.phase = phaseQueued
		out.log("admit", o, "queue", v.Reason)
	case admit.Refused:
		out.log("admit", o, "refuse", v.Reason)
		r.refuse(now, o, v.Reason, v.RetryAfter, out)
	}
}

// congested reports whether requests wait for a pool that the request needs. Such a request waits in the
// queue instead, where priority and weights decide, and where it can still be refused as not run.
func (r *Requests) congested(o *openRequest) bool {
	for _, s := range o.plan.Stages {
		if len(r.waiting[s.Pool]) > 0 {
			return true
		}
	}
	return false
}

// requeue puts an admitted request that no server has room for back into the queue.
func (r *Requests) requeue(now time.Time, o *openRequest, out *actions) {
	o.admitted = false
	o.phase = phaseQueued
	out.log("admit", o, "queue", "others wait for a server of the pipeline")
	r.deps.Queue.Requeue(now, r.admitTask(o))
	r.timers.Set(now.Add(roomPollInterval), o.arrival.Request)
}

func (r *Requests) admitTask(o *openRequest) admit.Task {
	return admit.Task{
		Request: o.arrival.Request, Workspace: o.arrival.Workspace, Pipeline: o.arrival.Pipeline,
		Stages: o.remainingStages(), Weight: o.plan.Weight, Limit: o.plan.Limit,
		Priority: o.arrival.Priority, Deadline: o.deadline,
	}
}

// mayStart reports whether a queued request may start.
func (r *Requests) mayStart(t admit.Task) bool {
	o, ok := r.open[t.Request]
	return !ok || !r.congested(o)
}

// admitQueued admits queued requests for which there is room now.
func (r *Requests) admitQueued(now time.Time, out *actions) {
	for {
		task, ok := r.deps.Queue.Next(now, r.mayStart)
		if !ok {
			return
		}
		o, open := r.open[task.Request]
		if !open || o.phase != phaseQueued {
			r.deps.Queue.Finish(task.Request)
			continue
		}
		o.admitted = true
		r.beginStage(now, o, out)
	}
}

// handleClaimDecision continues a request whose idempotency key was looked up.
func (r *Requests) handleClaimDecision(now time.Time, ev claim.Decided, out *actions) {
	o, ok := r.open[ev.Request]
	if !ok || (o.phase != phaseClaim && o.phase != phaseLookup) {
		if ev.Verdict == claim.Granted {
			// The request ended while its claim was on its way; it was never dispatched.
			out.add(r.deps.Claims.RecordOutcome(now, ev.Request, claim.NotDispatched, nil)...)
		}
		return
	}
	switch ev.Verdict {
	case claim.Granted:
		o.granted = true
		r.place(now, o, out)
	case claim.Recorded:
		if ev.Omitted {
			r.failRequest(now, o, event.ProblemCompleted, "the key's earlier run took effect; its answer is no longer kept", 0, out)
			return
		}
		out.log("claim", o, "recorded", "the key's earlier run has an answer")
		r.answerRecorded(now, o, ev.Result, out)
	case claim.RejectedBefore:
		r.failRequest(now, o, event.ProblemFailed, "an earlier request with this key failed without effect", 0, out)
	case claim.Mismatch:
		r.failRequest(now, o, event.ProblemInvalid, "the Idempotency-Key was used with another request", 0, out)
	case claim.Absent:
		r.handleAbsentKey(now, o, out)
	case claim.NotIssued:
		r.failRequest(now, o, event.ProblemInvalid, "the one-time key was not issued", 0, out)
	default:
		r.failRequest(now, o, event.ProblemUnknown, "an earlier request with this key may have run", claimRetryAfter, out)
	}
}

// handleAbsentKey continues a request whose key nobody holds, or refuses it if the key cannot be claimed now.
func (r *Requests) handleAbsentKey(now time.Time, o *openRequest, out *actions) {
	o.keyAbsent = true
	if o.pendingRefusal != nil {
		r.endWithProblem(now, o, event.ProblemRefused, o.pendingRefusal.detail, o.pendingRefusal.retryAfter, out)
		return
	}
	if o.phase == phaseClaim {
		o.phase = phasePlacement
		o.lookupAt = now
		r.refuse(now, o, "the key cannot be claimed now", claimRetryAfter, out)
		return
	}
	o.phase = phaseGuard
	out.add(r.deps.Guard.Ask(now, o.arrival.Request, o.fingerprint)...)
}
