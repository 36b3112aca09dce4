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

// phase is what a request waits for.
type phase uint8

const (
	phaseLookup     phase = iota + 1 // the state of its idempotency key
	phaseGuard                       // the crash guard's verdict on its fingerprint
	phaseQueued                      // admission
	phaseClaim                       // the exclusive claim on its idempotency key
	phasePlacement                   // a backend server with room for it
	phaseRunning                     // the output of its attempts
	phaseCrashCheck                  // evidence whether its server crashed during the attempt
	phaseOutcome                     // the outcome of its action, which must be recorded although the caller has an answer
)

// openRequest is a request that has no final answer yet, or whose action still runs after the answer.
// In this package, an action is a stage of kind settings.Action that is not idempotent.
type openRequest struct {
	arrival       event.RequestArrived
	plan          settings.Effective
	fingerprint   id.Fingerprint
	prefixHashes  []uint64
	deadline      time.Time
	phase         phase
	admitted      bool
	isolatedUntil time.Time // set for a crash suspect: it may run until then, on a server without other attempts of this node

	stage          int
	priorOutput    []byte     // output of the previous stage
	output         []byte     // output of the current streaming stage, unless it is forwarded to the caller
	acceptedTokens int        // tokens received in order in the current streaming stage
	version        id.Version // version to run the stage, empty for any
	servedVersion  id.Version // version that produced the accepted tokens
	pinned         bool       // the caller has received output of servedVersion, so the version must not change
	attempts       []*attemptState
	avoid          []id.Server // servers not to use again for this stage, if others are available
	retries        int
	stageStartedAt time.Time
	placingSince   time.Time // when the search for a server began
	waitReason     string    // last logged reason for waiting

	granted          bool         // this request holds the claim on its key
	actionSent       bool         // an attempt of an action was sent and has no outcome yet
	sent             bool         // any attempt was sent
	keyAbsent        bool         // the last lookup found no claim on the key
	lookupAt         time.Time    // when the last lookup was sent
	pendingRefusal   *refusal     // sent to the caller if the repeated lookup finds no claim
	crashCheckServer id.Server    // server that is checked for a crash
	crashCheckUntil  time.Time    // when that check ends without evidence
	crashesAtVerdict uint64       // crashes of this fingerprint that were known at the last verdict
	crashedVersions  []id.Version // versions whose servers crashed in the current stage
}

func (o *openRequest) currentStage() settings.Stage { return o.plan.Stages[o.stage] }

// atMostOnce reports whether the current stage is an action, which must not run twice.
func (o *openRequest) atMostOnce() bool {
	s := o.currentStage()
	return s.Kind == settings.Action && !s.Idempotent
}

// needsKey reports whether the plan contains an action, so that the request needs an idempotency key.
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

// Fingerprint returns a hash of the workspace, pipeline and body. Equal requests have equal fingerprints.
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

// minPrefixBytes and maxPrefixBytes bound the length of the prompt prefixes for which engines publish cache events.
const (
	minPrefixBytes = 64
	maxPrefixBytes = 64 << 10
)

// hashPrefixes returns the hashes of the first 64, 128, 256 … bytes of the body, as engines publish them.
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
		out.add(notReady(ev, "this node has no configuration yet", notReadyRetryAfter))
		return
	}
	if !r.deps.Versions.Loaded() {
		// Without the rollouts the request could reach a version that was rolled back.
		out.add(notReady(ev, "this node has not loaded the rollouts yet", notReadyRetryAfter))
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
	if !r.exitAt.IsZero() && o.deadline.After(r.exitAt.Add(-exitMargin)) {
		out.add(notReady(ev, "this node stops", stopRetryAfter))
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

const (
	// notReadyRetryAfter is the retry delay that a node suggests while it is starting.
	notReadyRetryAfter = time.Second
	// stopRetryAfter is the retry delay that a stopping node suggests; another node will serve the request.
	stopRetryAfter = 100 * time.Millisecond
	// exitMargin is the time before the exit that is left for the last answers.
	exitMargin = 300 * time.Millisecond
)

// notReady answers a request that this node does not take, because it is starting or stopping. Without a key, the request
// certainly has not run. With a key, an earlier request may have run, and only other nodes know whether it did.
func notReady(ev event.RequestArrived, detail string, retryAfter time.Duration) event.Reply {
	kind := event.ProblemRefused
	if ev.Key != "" {
		kind = event.ProblemUnknown
	}
	return problemReply(ev.Request, kind, detail, retryAfter)
}

func (o *openRequest) claimRequest() claim.Request {
	return claim.Request{
		ID: o.arrival.Request, Workspace: o.arrival.Workspace, Key: o.arrival.Key,
		Fingerprint: o.fingerprint, Deadline: o.deadline,
	}
}

// handleGuardDecision continues or refuses a request after the crash guard's verdict on its fingerprint.
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

// congested reports whether other requests wait for room in a pool that this request needs. The request then stays in the
// admission queue, which orders requests by priority and weight and from which it can still be refused as not run.
func (r *Requests) congested(o *openRequest) bool {
	for _, s := range o.plan.Stages {
		if len(r.waiting[s.Pool]) > 0 {
			return true
		}
	}
	return false
}

// requeue returns an admitted request to the admission queue because its pools are congested.
func (r *Requests) requeue(now time.Time, o *openRequest, out *actions) {
	o.admitted = false
	o.phase = phaseQueued
	out.log("admit", o, "queue", "other requests wait for a server of the pipeline")
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

// mayStart reports whether a queued request may be admitted now.
func (r *Requests) mayStart(task admit.Task) bool {
	o, ok := r.open[task.Request]
	return !ok || !r.congested(o)
}

// admitQueued admits queued requests as long as the queue returns one that may start.
func (r *Requests) admitQueued(now time.Time, out *actions) {
	for {
		task, ok := r.deps.Queue.Next(now, r.mayStart)
		if !ok {
			return
		}
		o, ok := r.open[task.Request]
		if !ok || o.phase != phaseQueued {
			r.deps.Queue.Finish(task.Request)
			continue
		}
		o.admitted = true
		r.beginStage(now, o, out)
	}
}

// handleClaimDecision continues a request whose idempotency key was looked up or claimed.
func (r *Requests) handleClaimDecision(now time.Time, ev claim.Decided, out *actions) {
	o, ok := r.open[ev.Request]
	if !ok || (o.phase != phaseClaim && o.phase != phaseLookup) {
		if ev.Verdict == claim.Granted {
			// The request ended before the claim was granted, so its action was never dispatched.
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
			r.failRequest(now, o, event.ProblemCompleted, "an earlier request with this key ran; its answer is no longer stored", 0, out)
			return
		}
		out.log("claim", o, "recorded", "an earlier request with this key has a recorded answer")
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

// handleAbsentKey continues a request whose key is unclaimed, or refuses it if the key cannot be claimed now.
func (r *Requests) handleAbsentKey(now time.Time, o *openRequest, out *actions) {
	o.keyAbsent = true
	if o.pendingRefusal != nil {
		r.endWithProblem(now, o, event.ProblemRefused, o.pendingRefusal.detail, o.pendingRefusal.retryAfter, out)
		return
	}
	if o.phase == phaseClaim {
		o.phase = phasePlacement
		o.lookupAt = now
		r.refuse(now, o, "the idempotency key cannot be claimed now", claimRetryAfter, out)
		return
	}
	o.phase = phaseGuard
	out.add(r.deps.Guard.Ask(now, o.arrival.Request, o.fingerprint)...)
}
