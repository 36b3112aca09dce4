package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/timerqueue"
)

const owner = "claim"

// phase is what a local request waits for.
type phase uint8

const (
	forwarded  phase = iota + 1 // the reply of the shard's writer or the key's issuer
	local                       // this node's own operation on the shard
	querying                    // the reply of the claimer
	backingOff                  // a pause before it starts over
	running                     // the outcome; the request was granted
	recording                   // the acknowledgement of its outcome
	abandoned                   // nothing; kept in case a delayed message makes its claim
)

// localRequest is a request of this node, from Ask or Lookup until its outcome is recorded.
type localRequest struct {
	Request
	look      bool        // Lookup, which claims nothing
	oneTime   *oneTimeKey // nil for a caller's own key
	phase     phase
	started   time.Time
	timerAt   time.Time // next timer
	attempts  int
	reread    bool // the claimer had no record of the request, so that the shard is read again
	holder    claimer
	state     State
	result    []byte
	omitted   bool
	retryWait time.Duration
	expires   time.Time // when an ended request is forgotten
	waiters   []waiter
}

// waiter is another request with the same key, which waits for the outcome.
type waiter struct {
	node    id.Node // empty for this node
	request id.Request
}

const maxWaiters = 16 // per request; further ones poll

// Claims decides which requests with an idempotency key this node may dispatch, and updates the claim objects.
type Claims struct {
	config
	self       event.Self
	view       *member.View
	requests   map[id.Request]*localRequest
	ended      []id.Request                // requests in recording or abandoned, oldest first
	timers     timerqueue.Heap[id.Request] // an entry is stale unless it matches the request's timerAt
	issuer     *issuer
	shards     map[int]*shard
	callShards map[uint64]int // shard index by sequence number of the platform operation
	lastSeq    uint64

	delayed     map[int]time.Time // shards that wait for their next update, and when it is due
	nextDelayed time.Time         // the earliest of these times
}

// New returns the Claims of one process.
func New(self event.Self, opts ...Option) *Claims {
	c := &Claims{
		config: defaults(), self: self, requests: map[id.Request]*localRequest{},
		shards: map[int]*shard{}, callShards: map[uint64]int{},
		delayed: map[int]time.Time{},
	}
	for _, o := range opts {
		o(&c.config)
	}
	c.issuer = newIssuer(self, c.keyWindow)
	return c
}

// shardName returns the name of a shard's object.
func shardName(index int) string { return fmt.Sprintf("claims/%d", index) }

// locate returns the shard index and the digest of a key.
func (c *Claims) locate(ws id.Workspace, key string) (int, digest) {
	sum := sha256.Sum256([]byte(string(ws) + "\x00" + key))
	return int(binary.BigEndian.Uint64(sum[16:24]) % uint64(c.shardCount)), digest(sum[:16])
}

func (c *Claims) ownClaimer(r id.Request) claimer {
	return claimer{node: c.self.Node, incarnation: c.self.Incarnation, request: r}
}

// isAlive reports whether the claimer's process is believed to be alive.
func (c *Claims) isAlive(by claimer) bool {
	if by.incarnation == c.self.Incarnation {
		return true
	}
	n, ok := c.view.Find(by.node)
	return ok && n.Incarnation == by.incarnation
}

// Ask asks for the right to dispatch a request. Decided follows by the deadline at the latest.
func (c *Claims) Ask(now time.Time, r Request) []event.Action { return c.begin(now, r, false) }

// Lookup looks a key up without claiming it. Decided follows, never with Granted. Absent means that no claim on the key
// existed at some time after the call.
func (c *Claims) Lookup(now time.Time, r Request) []event.Action { return c.begin(now, r, true) }

func (c *Claims) begin(now time.Time, r Request, look bool) []event.Action {
	if _, exists := c.requests[r.ID]; exists {
		return nil
	}
	lr := &localRequest{Request: r, look: look, started: now}
	c.requests[r.ID] = lr
	if k, ok := parseOneTimeKey(r.Key); ok {
		lr.oneTime = &k
	}
	if !now.Before(r.Deadline) {
		return c.conclude(now, lr, Reply{Verdict: Outstanding}, "deadline passed before the request was submitted", false)
	}
	return c.start(now, lr)
}

func (c *Claims) start(now time.Time, lr *localRequest) []event.Action {
	if lr.oneTime != nil {
		return c.startOneTime(now, lr)
	}
	index, _ := c.locate(lr.Workspace, lr.Key)
	w, ok := c.view.Owner(shardName(index), nil)
	if !ok || w.ID == c.self.Node {
		return c.startLocal(now, lr)
	}
	lr.phase = forwarded
	c.setTimer(lr, now.Add(c.forwardTimeout))
	return []event.Action{event.Send{To: w.ID, Body: lr.acquireMessage(now)}}
}

func (lr *localRequest) acquireMessage(now time.Time) Acquire {
	return Acquire{Request: lr.ID, Workspace: lr.Workspace, Key: lr.Key, Print: lr.Fingerprint, Left: int64(lr.Deadline.Sub(now)), Look: lr.look}
}

// startLocal queues the claim or lookup at this node's own copy of the shard.
func (c *Claims) startLocal(now time.Time, lr *localRequest) []event.Action {
	lr.phase = local
	c.setTimer(lr, lr.Deadline)
	index, key := c.locate(lr.Workspace, lr.Key)
	return c.submit(now, index, op{
		claim: true, look: lr.look, key: key, fingerprint: lr.Fingerprint, claimer: c.ownClaimer(lr.ID), queuedAt: now, expires: lr.Deadline,
	})
}

func (c *Claims) startOneTime(now time.Time, lr *localRequest) []event.Action {
	if lr.oneTime.incarnation == c.self.Incarnation {
		return c.handleReply(now, c.issuer.decide(*lr.oneTime, lr.acquireMessage(now), c.ownClaimer(lr.ID), c.repeatGrants), true)
	}
	n, ok := c.nodeOf(lr.oneTime.incarnation)
	if !ok {
		return c.conclude(now, lr, Reply{Verdict: Outstanding}, "the issuer of the key cannot be reached", lr.attempts > 0)
	}
	lr.phase = forwarded
	c.setTimer(lr, now.Add(c.forwardTimeout))
	return []event.Action{event.Send{To: n, Body: lr.acquireMessage(now)}}
}

// nodeOf returns the node that runs the given incarnation.
func (c *Claims) nodeOf(inc id.Incarnation) (id.Node, bool) {
	if c.view == nil {
		return "", false
	}
	for _, n := range c.view.Nodes {
		if n.Incarnation == inc {
			return n.ID, true
		}
	}
	return "", false
}

// handleReply handles a reply for a request of this node; own tells that this node made the decision itself.
func (c *Claims) handleReply(now time.Time, m Reply, own bool) []event.Action {
	lr := c.requests[m.Request]
	if lr == nil {
		return nil
	}
	if lr.phase >= running {
		if lr.phase == abandoned && m.Verdict == Granted {
			return c.sendOutcome(now, lr) // a delayed message has made a claim that was given up
		}
		return nil
	}
	switch m.Verdict {
	case Granted:
		if !now.Before(lr.Deadline) {
			// The key was free, and no other request can claim it before this claim is given up.
			return c.conclude(now, lr, Reply{Verdict: Absent}, "granted after the deadline", true)
		}
		lr.phase = running
		lr.timerAt = time.Time{}
		return c.reportDecision(lr, m, "claimed")
	case held:
		return c.awaitClaimer(now, lr, claimer{node: m.Node, incarnation: m.Incarnation, request: m.Held})
	case released:
		lr.phase = backingOff
		c.setTimer(lr, now.Add(c.minRetryWait))
		return nil
	case forgotten:
		if lr.reread || lr.oneTime != nil {
			return c.conclude(now, lr, Reply{Verdict: Outstanding}, "the claimer does not know the outcome", false)
		}
		lr.reread = true
		return c.startLocal(now, lr)
	case unreached:
		return c.handleOutage(now, lr, own)
	case Outstanding, Absent:
		return c.conclude(now, lr, m, "reply of the writer, issuer or claimer", m.Verdict == Absent)
	}
	return c.conclude(now, lr, m, "reply of the writer, issuer or claimer", false)
}

// handleOutage handles the reply that the platform cannot be reached. If a writer reports it, this node tries by itself;
// otherwise it retries until the outage timeout.
func (c *Claims) handleOutage(now time.Time, lr *localRequest, own bool) []event.Action {
	switch {
	case lr.phase != forwarded && lr.phase != local:
		return nil
	case !own && lr.phase == forwarded:
		return c.startLocal(now, lr)
	case !own:
		return nil
	case now.Sub(lr.started) >= c.outageTimeout:
		verdict := Outstanding
		if c.absentInOutage {
			verdict = Absent
		}
		return c.conclude(now, lr, Reply{Verdict: verdict}, "the platform cannot be reached", true)
	}
	lr.phase = backingOff
	c.setTimer(lr, now.Add(c.minRetryWait))
	return nil
}

// awaitClaimer starts to ask the holder of a claim for the outcome of its request.
func (c *Claims) awaitClaimer(now time.Time, lr *localRequest, by claimer) []event.Action {
	if lr.reread && by == lr.holder && lr.phase == local {
		return c.conclude(now, lr, Reply{Verdict: Outstanding}, "the claimer does not know the outcome", false)
	}
	lr.holder = by
	if by.incarnation == c.self.Incarnation {
		lr.phase, lr.attempts = querying, 0
		return c.pollClaimer(now, lr)
	}
	if !c.isAlive(by) {
		return c.conclude(now, lr, Reply{Verdict: Outstanding}, "the claimer terminated before it recorded an outcome", false)
	}
	if lr.phase == querying {
		lr.attempts = 0 // the claimer replied that the request still runs; the timer polls again
		return nil
	}
	lr.phase, lr.attempts = querying, 0
	return c.pollClaimer(now, lr)
}

func (c *Claims) pollClaimer(now time.Time, lr *localRequest) []event.Action {
	c.setTimer(lr, now.Add(c.pollInterval))
	if lr.holder.incarnation == c.self.Incarnation {
		lr.attempts = 0
		reply := c.answerQuery(now, waiter{request: lr.ID}, lr.holder.request)
		if reply.Verdict == held {
			return nil // it still runs; RecordOutcome replies, or the timer polls again
		}
		return c.handleReply(now, reply, true)
	}
	return []event.Action{event.Send{To: lr.holder.node, Body: Query{
		Request: lr.ID, Held: lr.holder.request, Incarnation: lr.holder.incarnation,
	}}}
}

// answerQuery replies to a query about a request of this node that holds a claim.
func (c *Claims) answerQuery(now time.Time, from waiter, request id.Request) Reply {
	reply := Reply{Request: from.request, Verdict: forgotten}
	lr := c.requests[request]
	if lr == nil {
		return reply
	}
	switch {
	case lr.phase < running:
		reply.Verdict = released // the claim is made, but the grant has not arrived; the other request starts over
	case lr.phase == running:
		if len(lr.waiters) < maxWaiters && !slices.Contains(lr.waiters, from) {
			lr.waiters = append(lr.waiters, from)
		}
		reply.Verdict, reply.Node, reply.Incarnation, reply.Held = held, c.self.Node, c.self.Incarnation, request
	case lr.state == NotDispatched:
		reply.Verdict = released
		if lr.phase == abandoned {
			lr.phase, lr.attempts = recording, 0
			c.setTimer(lr, now)
		}
	default:
		reply = lr.outcomeReply(from)
	}
	return reply
}

// outcomeReply returns the reply to a waiter after the request has ended.
func (lr *localRequest) outcomeReply(to waiter) Reply {
	if lr.state == NotDispatched {
		return Reply{Request: to.request, Verdict: released}
	}
	return Reply{Request: to.request, Verdict: verdictOf(lr.state), Result: lr.result, Omitted: lr.omitted}
}

// conclude reports the verdict for a request that does not run. If claimed is set, a claim may exist and is given up.
func (c *Claims) conclude(now time.Time, lr *localRequest, m Reply, reason string, claimed bool) []event.Action {
	out := c.reportDecision(lr, m, reason)
	if lr.look {
		delete(c.requests, lr.ID)
		return out
	}
	lr.state, lr.result, lr.omitted, lr.timerAt = NotDispatched, nil, false, time.Time{}
	switch {
	case claimed:
		return append(out, c.endRequest(now, lr, recording)...)
	case m.Verdict == Outstanding || m.Verdict == Absent:
		return append(out, c.endRequest(now, lr, abandoned)...)
	}
	delete(c.requests, lr.ID)
	return out
}

func (c *Claims) reportDecision(lr *localRequest, m Reply, reason string) []event.Action {
	return []event.Action{
		event.Log{Kind: "claim", Request: lr.ID, Choice: m.Verdict.String(), Reason: reason},
		Decided{Request: lr.ID, Verdict: m.Verdict, Result: m.Result, Omitted: m.Omitted},
	}
}

// String returns the verdict as it appears in logs.
func (v Verdict) String() string {
	names := [...]string{
		"none", "granted", "recorded", "rejected before", "mismatch", "outstanding", "absent", "not issued",
		"held", "released", "unreached", "forgotten",
	}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// RecordOutcome records how a granted request ended. NotDispatched is allowed only if the request was certainly never
// dispatched.
func (c *Claims) RecordOutcome(now time.Time, r id.Request, s State, result []byte) []event.Action {
	lr := c.requests[r]
	if lr == nil || lr.phase != running || s < Done || s > Unknown {
		return nil
	}
	lr.state = s
	if s == Done {
		lr.result = result
		if len(result) > c.maxResultSize {
			lr.result, lr.omitted = nil, true
			if c.truncateResults {
				lr.result, lr.omitted = result[:c.maxResultSize], false
			}
		}
	}
	out := c.endRequest(now, lr, recording)
	for _, w := range lr.waiters {
		reply := lr.outcomeReply(w)
		if w.node == "" {
			out = append(out, c.handleReply(now, reply, true)...)
			continue
		}
		out = append(out, event.Send{To: w.node, Body: reply})
	}
	lr.waiters = nil
	return out
}

// OpenRequests returns the number of requests of this node that run or wait for a verdict.
func (c *Claims) OpenRequests() int {
	n := 0
	for _, lr := range c.requests {
		if lr.phase <= running {
			n++
		}
	}
	return n
}

// UnrecordedOutcomes returns the number of outcomes that are not recorded yet. One-time keys whose issuer is gone do not
// count, because their outcomes can no longer be recorded.
func (c *Claims) UnrecordedOutcomes() int {
	n := 0
	for _, lr := range c.requests {
		if lr.phase != recording {
			continue
		}
		if lr.oneTime != nil {
			if _, ok := c.nodeOf(lr.oneTime.incarnation); !ok {
				continue
			}
		}
		n++
	}
	return n
}

// endRequest moves a request to the ended ones and drops the oldest above the limit. Other nodes then treat the outcome of
// a dropped request as unknown.
func (c *Claims) endRequest(now time.Time, lr *localRequest, p phase) []event.Action {
	lr.phase, lr.attempts, lr.retryWait = p, 0, c.minRetryWait
	lr.expires = now.Add(c.abandonedTTL)
	if lr.state != NotDispatched && lr.oneTime == nil {
		lr.expires = now.Add(c.retention)
	}
	c.ended = append(c.ended, lr.ID)
	for len(c.ended) > c.maxUnrecorded {
		delete(c.requests, c.ended[0])
		c.ended = c.ended[1:]
	}
	if p == abandoned {
		c.setTimer(lr, lr.expires)
		return nil
	}
	return c.sendOutcome(now, lr)
}

// sendOutcome sends the outcome to the writer or the issuer. For a shard, every second attempt writes directly to the
// platform.
func (c *Claims) sendOutcome(now time.Time, lr *localRequest) []event.Action {
	if !now.Before(lr.expires) {
		delete(c.requests, lr.ID)
		return nil
	}
	lr.phase = recording
	c.setTimer(lr, now.Add(lr.retryWait))
	lr.retryWait = min(2*lr.retryWait, c.maxRetryWait)
	lr.attempts++
	msg := Outcome{
		Request: lr.ID, Workspace: lr.Workspace, Key: lr.Key,
		State: lr.state, Result: lr.result, Omitted: lr.omitted,
	}
	if lr.oneTime != nil {
		if lr.oneTime.incarnation == c.self.Incarnation {
			c.issuer.recordOutcome(*lr.oneTime, c.ownClaimer(lr.ID), lr.state, lr.result, lr.omitted)
			return c.handleAck(Ack{Request: lr.ID, State: lr.state, OK: true})
		}
		if n, ok := c.nodeOf(lr.oneTime.incarnation); ok {
			return []event.Action{event.Send{To: n, Body: msg}}
		}
		return nil
	}
	index, key := c.locate(lr.Workspace, lr.Key)
	if w, ok := c.view.Owner(shardName(index), nil); ok && w.ID != c.self.Node && lr.attempts%2 == 1 {
		return []event.Action{event.Send{To: w.ID, Body: msg}}
	}
	return c.submit(now, index, outcomeOp(now, key, c.ownClaimer(lr.ID), msg, ""))
}

func outcomeOp(now time.Time, key digest, by claimer, m Outcome, from id.Node) op {
	return op{key: key, claimer: by, state: m.State, result: m.Result, omitted: m.Omitted, from: from, queuedAt: now}
}

// handleAck ends a request whose outcome is recorded. A request whose claim was given up is kept for a while, because a
// delayed message may make the claim again.
func (c *Claims) handleAck(m Ack) []event.Action {
	lr := c.requests[m.Request]
	if lr == nil || lr.phase != recording || lr.state != m.State || !m.OK {
		return nil
	}
	if lr.state != NotDispatched {
		delete(c.requests, m.Request)
		return nil
	}
	lr.phase = abandoned
	c.setTimer(lr, lr.expires)
	return nil
}

// Step handles an event and the timers that are due.
func (c *Claims) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	switch ev := ev.(type) {
	case member.ViewChanged:
		c.view = ev.View
	case event.Receive:
		out = c.handleMessage(now, ev)
	case event.PlatformResult:
		if ev.Call.Owner == owner {
			out = c.handleResult(now, ev)
		}
	}
	for at := c.nextTimer(); !at.IsZero() && !at.After(now); at = c.nextTimer() {
		out = append(out, c.handleTimer(now, c.requests[c.timers.Pop()])...)
	}
	return append(out, c.resumeDelayed(now)...)
}

func (c *Claims) handleMessage(now time.Time, ev event.Receive) []event.Action {
	switch m := ev.Body.(type) {
	case Acquire:
		return c.handleAcquire(now, ev, m)
	case Outcome:
		by := claimer{node: ev.From, incarnation: ev.Incarnation, request: m.Request}
		if k, ok := parseOneTimeKey(m.Key); ok {
			c.issuer.recordOutcome(k, by, m.State, m.Result, m.Omitted)
			return []event.Action{event.Send{To: ev.From, Body: Ack{Request: m.Request, State: m.State, OK: true}}}
		}
		index, key := c.locate(m.Workspace, m.Key)
		return c.submit(now, index, outcomeOp(now, key, by, m, ev.From))
	case Query:
		reply := Reply{Request: m.Request, Verdict: forgotten}
		if m.Incarnation == c.self.Incarnation {
			reply = c.answerQuery(now, waiter{node: ev.From, request: m.Request}, m.Held)
		}
		return []event.Action{event.Send{To: ev.From, Body: reply}}
	case Reply:
		return c.handleReply(now, m, false)
	case Ack:
		return c.handleAck(m)
	}
	return nil
}

func (c *Claims) handleAcquire(now time.Time, ev event.Receive, m Acquire) []event.Action {
	by := claimer{node: ev.From, incarnation: ev.Incarnation, request: m.Request}
	if k, ok := parseOneTimeKey(m.Key); ok {
		return []event.Action{event.Send{To: ev.From, Body: c.issuer.decide(k, m, by, c.repeatGrants)}}
	}
	if m.Left <= 0 {
		return nil
	}
	index, key := c.locate(m.Workspace, m.Key)
	return c.submit(now, index, op{
		claim: true, look: m.Look, key: key, fingerprint: m.Print, claimer: by, from: ev.From,
		queuedAt: now, expires: now.Add(time.Duration(m.Left)),
	})
}

// handleTimer handles the timer of a request.
func (c *Claims) handleTimer(now time.Time, lr *localRequest) []event.Action {
	lr.timerAt = time.Time{}
	switch {
	case lr.phase == recording:
		return c.sendOutcome(now, lr)
	case lr.phase == abandoned:
		delete(c.requests, lr.ID)
		return nil
	case lr.phase == running:
		return nil
	case !now.Before(lr.Deadline):
		return c.conclude(now, lr, Reply{Verdict: Outstanding}, "no verdict before the deadline", true)
	}
	switch lr.phase {
	case forwarded:
		if lr.oneTime == nil {
			return c.startLocal(now, lr)
		}
		if lr.attempts++; lr.attempts >= c.maxPolls {
			return c.conclude(now, lr, Reply{Verdict: Outstanding}, "the issuer of the key does not answer", true)
		}
		return c.startOneTime(now, lr)
	case querying:
		if lr.attempts++; lr.attempts >= c.maxPolls {
			return c.conclude(now, lr, Reply{Verdict: Outstanding}, "the claimer does not answer", false)
		}
		return c.pollClaimer(now, lr)
	case backingOff:
		return c.start(now, lr)
	}
	return nil
}
