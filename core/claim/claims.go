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

// phase is what a ticket waits for.
type phase uint8

const (
	forwarded  phase = iota + 1 // an answer of the shard's writer or the key's issuer
	local                       // an own operation on the shard
	querying                    // the claimer's answer
	backingOff                  // a short time before it starts over
	running                     // the outcome: the request was granted
	recording                   // the record of its outcome
	abandoned                   // nothing; kept to answer for a claim that was given up
)

// localRequest is a request of this node, from Ask until its outcome is recorded.
type localRequest struct {
	Request
	look      bool        // claims nothing
	oneTime   *oneTimeKey // nil for a caller's own key
	phase     phase
	started   time.Time
	timerAt   time.Time // next timer
	attempts  int
	reread    bool // the claimer did not remember the claim
	holder    claimer
	state     State
	result    []byte
	omitted   bool
	retryWait time.Duration
	expires   time.Time // when a settled ticket is forgotten
	waiters   []waiter
}

// waiter is another request under the same key that asked for the outcome.
type waiter struct {
	node    id.Node // empty for this node
	request id.Request
}

const maxWaiters = 16 // per request; the others ask again

// Claims decides for a node which requests may run, and writes the claims of its shards.
type Claims struct {
	config
	self       event.Self
	view       *member.View
	requests   map[id.Request]*localRequest
	ended      []id.Request                // tickets that no longer run, oldest first
	timers     timerqueue.Heap[id.Request] // an entry is stale if its ticket has another time by now
	issuer     *issuer
	shards     map[int]*shard
	callShards map[uint64]int // shard by number of the platform operation
	lastSeq    uint64

	delayed     map[int]time.Time // shards that wait for their next update
	nextDelayed time.Time         // the earliest of them
}

// New returns the claims of one process.
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

// shardName returns the object of a shard.
func shardName(index int) string { return fmt.Sprintf("claims/%d", index) }

// locate returns the shard and the digest of a key.
func (c *Claims) locate(ws id.Workspace, key string) (int, digest) {
	sum := sha256.Sum256([]byte(string(ws) + "\x00" + key))
	return int(binary.BigEndian.Uint64(sum[16:24]) % uint64(c.config.shardCount)), digest(sum[:16])
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

// Ask asks for the right to dispatch a request; Decided follows, at the latest at the deadline.
func (c *Claims) Ask(now time.Time, r Request) []event.Action { return c.begin(now, r, false) }

// Lookup asks what is known of a key without claiming it; Decided follows, never with Granted. Absent means
// that no claim on the key existed at some time after the call.
func (c *Claims) Lookup(now time.Time, r Request) []event.Action { return c.begin(now, r, true) }

func (c *Claims) begin(now time.Time, r Request, look bool) []event.Action {
	if _, twice := c.requests[r.ID]; twice {
		return nil
	}
	t := &localRequest{Request: r, look: look, started: now}
	c.requests[r.ID] = t
	if k, ok := parseOneTimeKey(r.Key); ok {
		t.oneTime = &k
	}
	if !now.Before(r.Deadline) {
		return c.conclude(now, t, Reply{Verdict: Outstanding}, "asked after the deadline", false)
	}
	return c.start(now, t)
}

func (c *Claims) start(now time.Time, t *localRequest) []event.Action {
	if t.oneTime != nil {
		return c.startOneTime(now, t)
	}
	index, _ := c.locate(t.Workspace, t.Key)
	w, ok := c.view.Owner(shardName(index), nil)
	if !ok || w.ID == c.self.Node {
		return c.startLocal(now, t)
	}
	t.phase = forwarded
	c.setTimer(t, now.Add(c.forwardTimeout))
	return []event.Action{event.Send{To: w.ID, Body: t.acquireMessage(now)}}
}

func (t *localRequest) acquireMessage(now time.Time) Acquire {
	return Acquire{Request: t.Request.ID, Workspace: t.Workspace, Key: t.Key, Print: t.Fingerprint, Left: int64(t.Deadline.Sub(now)), Look: t.look}
}

// startLocal claims on the platform from this node.
func (c *Claims) startLocal(now time.Time, t *localRequest) []event.Action {
	t.phase = local
	c.setTimer(t, t.Deadline)
	index, key := c.locate(t.Workspace, t.Key)
	return c.submit(now, index, op{
		claim: true, look: t.look, key: key, fingerprint: t.Fingerprint, claimer: c.ownClaimer(t.Request.ID), queuedAt: now, expires: t.Deadline,
	})
}

func (c *Claims) startOneTime(now time.Time, t *localRequest) []event.Action {
	if t.oneTime.incarnation == c.self.Incarnation {
		return c.handleReply(now, c.issuer.decide(*t.oneTime, t.acquireMessage(now), c.ownClaimer(t.Request.ID), c.grantTwice), true)
	}
	n, ok := c.nodeOf(t.oneTime.incarnation)
	if !ok {
		return c.conclude(now, t, Reply{Verdict: Outstanding}, "the issuer of the key cannot be reached", t.attempts > 0)
	}
	t.phase = forwarded
	c.setTimer(t, now.Add(c.forwardTimeout))
	return []event.Action{event.Send{To: n, Body: t.acquireMessage(now)}}
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

// handleReply handles an answer about a request of this node; own says that this node itself decided.
func (c *Claims) handleReply(now time.Time, m Reply, own bool) []event.Action {
	t := c.requests[m.Request]
	if t == nil {
		return nil
	}
	if t.phase >= running {
		if t.phase == abandoned && m.Verdict == Granted {
			return c.sendOutcome(now, t) // the claim was given up, but an old message has made it again
		}
		return nil
	}
	switch m.Verdict {
	case Granted:
		if !now.Before(t.Deadline) {
			// The claim was free and nobody else can run the key before this claim is void.
			return c.conclude(now, t, Reply{Verdict: Absent}, "granted after the deadline", true)
		}
		t.phase = running
		t.timerAt = time.Time{}
		return c.reportDecision(t, m, "claimed")
	case held:
		return c.awaitClaimer(now, t, claimer{node: m.Node, incarnation: m.Incarnation, request: m.Held})
	case released:
		t.phase = backingOff
		c.setTimer(t, now.Add(c.minRetryWait))
		return nil
	case forgotten:
		if t.reread || t.oneTime != nil {
			return c.conclude(now, t, Reply{Verdict: Outstanding}, "the claimer does not know the outcome", false)
		}
		t.reread = true
		return c.startLocal(now, t)
	case unreached:
		return c.handleOutage(now, t, own)
	case Outstanding, Absent:
		return c.conclude(now, t, m, "as recorded", m.Verdict == Absent)
	}
	return c.conclude(now, t, m, "as recorded", false)
}

// handleOutage handles a platform that the writer cannot reach: this node may, or it may come back soon.
func (c *Claims) handleOutage(now time.Time, t *localRequest, own bool) []event.Action {
	switch {
	case t.phase != forwarded && t.phase != local:
		return nil
	case !own && t.phase == forwarded:
		return c.startLocal(now, t)
	case !own:
		return nil
	case now.Sub(t.started) >= c.outageTimeout:
		verdict := Outstanding
		if c.absentInOutage {
			verdict = Absent
		}
		return c.conclude(now, t, Reply{Verdict: verdict}, "the platform cannot be reached", true)
	}
	t.phase = backingOff
	c.setTimer(t, now.Add(c.minRetryWait))
	return nil
}

// awaitClaimer asks the holder of a claim how its request ended.
func (c *Claims) awaitClaimer(now time.Time, t *localRequest, by claimer) []event.Action {
	if t.reread && by == t.holder && t.phase == local {
		return c.conclude(now, t, Reply{Verdict: Outstanding}, "the claimer does not know the outcome", false)
	}
	t.holder = by
	if by.incarnation == c.self.Incarnation {
		t.phase, t.attempts = querying, 0
		return c.pollClaimer(now, t)
	}
	if !c.isAlive(by) {
		return c.conclude(now, t, Reply{Verdict: Outstanding}, "the claimer ended before it recorded an outcome", false)
	}
	if t.phase == querying {
		t.attempts = 0 // the claimer answered that the request still runs; the timer asks again
		return nil
	}
	t.phase, t.attempts = querying, 0
	return c.pollClaimer(now, t)
}

func (c *Claims) pollClaimer(now time.Time, t *localRequest) []event.Action {
	c.setTimer(t, now.Add(c.pollInterval))
	if t.holder.incarnation == c.self.Incarnation {
		t.attempts = 0
		told := c.answerQuery(now, waiter{request: t.Request.ID}, t.holder.request)
		if told.Verdict == held {
			return nil // it still runs; Settle answers, or the timer asks again
		}
		return c.handleReply(now, told, true)
	}
	return []event.Action{event.Send{To: t.holder.node, Body: Query{
		Request: t.Request.ID, Held: t.holder.request, Incarnation: t.holder.incarnation,
	}}}
}

// answerQuery answers for a request that this node has claimed.
func (c *Claims) answerQuery(now time.Time, from waiter, request id.Request) Reply {
	told := Reply{Request: from.request, Verdict: forgotten}
	t := c.requests[request]
	if t == nil {
		return told
	}
	switch {
	case t.phase < running:
		told.Verdict = released // its claim was made, but the grant is still under way; ask again
	case t.phase == running:
		if len(t.waiters) < maxWaiters && !slices.Contains(t.waiters, from) {
			t.waiters = append(t.waiters, from)
		}
		told.Verdict, told.Node, told.Incarnation, told.Held = held, c.self.Node, c.self.Incarnation, request
	case t.state == NotDispatched:
		told.Verdict = released
		if t.phase == abandoned {
			t.phase, t.attempts = recording, 0
			c.setTimer(t, now)
		}
	default:
		told = t.outcomeReply(from)
	}
	return told
}

// outcomeReply is what a waiter learns when the request has ended.
func (t *localRequest) outcomeReply(to waiter) Reply {
	if t.state == NotDispatched {
		return Reply{Request: to.request, Verdict: released}
	}
	return Reply{Request: to.request, Verdict: verdictOf(t.state), Result: t.result, Omitted: t.omitted}
}

// conclude gives the caller of Ask its answer. A claim that may exist and was not granted is given up.
func (c *Claims) conclude(now time.Time, t *localRequest, m Reply, reason string, claimed bool) []event.Action {
	out := c.reportDecision(t, m, reason)
	if t.look {
		delete(c.requests, t.Request.ID)
		return out
	}
	t.state, t.result, t.omitted, t.timerAt = NotDispatched, nil, false, time.Time{}
	switch {
	case claimed:
		return append(out, c.endRequest(now, t, recording)...)
	case m.Verdict == Outstanding || m.Verdict == Absent:
		return append(out, c.endRequest(now, t, abandoned)...)
	}
	delete(c.requests, t.Request.ID)
	return out
}

func (c *Claims) reportDecision(t *localRequest, m Reply, reason string) []event.Action {
	return []event.Action{
		event.Log{Kind: "claim", Request: t.Request.ID, Choice: m.Verdict.String(), Reason: reason},
		Decided{Request: t.Request.ID, Verdict: m.Verdict, Result: m.Result, Omitted: m.Omitted},
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

// RecordOutcome records how a granted request ended. Void is only right if the request was certainly never dispatched.
func (c *Claims) RecordOutcome(now time.Time, r id.Request, s State, result []byte) []event.Action {
	t := c.requests[r]
	if t == nil || t.phase != running || s < Done || s > Unknown {
		return nil
	}
	t.state = s
	if s == Done {
		t.result = result
		if len(result) > c.maxResultSize {
			t.result, t.omitted = nil, true
			if c.truncateResults {
				t.result, t.omitted = result[:c.maxResultSize], false
			}
		}
	}
	out := c.endRequest(now, t, recording)
	for _, w := range t.waiters {
		told := t.outcomeReply(w)
		if w.node == "" {
			out = append(out, c.handleReply(now, told, true)...)
			continue
		}
		out = append(out, event.Send{To: w.node, Body: told})
	}
	t.waiters = nil
	return out
}

// OpenRequests returns how many requests of this node run or wait for a verdict.
func (c *Claims) OpenRequests() int {
	n := 0
	for _, t := range c.requests {
		if t.phase <= running {
			n++
		}
	}
	return n
}

// UnrecordedOutcomes returns how many outcomes can still be recorded; with the issuer of a one-time key its record is gone.
func (c *Claims) UnrecordedOutcomes() int {
	n := 0
	for _, t := range c.requests {
		if t.phase != recording {
			continue
		}
		if t.oneTime != nil {
			if _, ok := c.nodeOf(t.oneTime.incarnation); !ok {
				continue
			}
		}
		n++
	}
	return n
}

// endRequest moves a ticket to the ended ones and bounds their number; a forgotten outcome reads as unknown.
func (c *Claims) endRequest(now time.Time, t *localRequest, p phase) []event.Action {
	t.phase, t.attempts, t.retryWait = p, 0, c.minRetryWait
	t.expires = now.Add(c.abandonedTTL)
	if t.state != NotDispatched && t.oneTime == nil {
		t.expires = now.Add(c.retention)
	}
	c.ended = append(c.ended, t.Request.ID)
	for len(c.ended) > c.maxUnrecorded {
		delete(c.requests, c.ended[0])
		c.ended = c.ended[1:]
	}
	if p == abandoned {
		c.setTimer(t, t.expires)
		return nil
	}
	return c.sendOutcome(now, t)
}

// sendOutcome sends the outcome to the writer or the issuer; every second try goes to the platform directly.
func (c *Claims) sendOutcome(now time.Time, t *localRequest) []event.Action {
	if !now.Before(t.expires) {
		delete(c.requests, t.Request.ID)
		return nil
	}
	t.phase = recording
	c.setTimer(t, now.Add(t.retryWait))
	t.retryWait = min(2*t.retryWait, c.maxRetryWait)
	t.attempts++
	msg := Outcome{
		Request: t.Request.ID, Workspace: t.Workspace, Key: t.Key,
		State: t.state, Result: t.result, Omitted: t.omitted,
	}
	if t.oneTime != nil {
		if t.oneTime.incarnation == c.self.Incarnation {
			c.issuer.recordOutcome(*t.oneTime, c.ownClaimer(t.Request.ID), t.state, t.result, t.omitted)
			return c.handleAck(Ack{Request: t.Request.ID, State: t.state, OK: true})
		}
		if n, ok := c.nodeOf(t.oneTime.incarnation); ok {
			return []event.Action{event.Send{To: n, Body: msg}}
		}
		return nil
	}
	index, key := c.locate(t.Workspace, t.Key)
	if w, ok := c.view.Owner(shardName(index), nil); ok && w.ID != c.self.Node && t.attempts%2 == 1 {
		return []event.Action{event.Send{To: w.ID, Body: msg}}
	}
	return c.submit(now, index, outcomeOp(now, key, c.ownClaimer(t.Request.ID), msg, ""))
}

func outcomeOp(now time.Time, key digest, by claimer, m Outcome, from id.Node) op {
	return op{key: key, claimer: by, state: m.State, result: m.Result, omitted: m.Omitted, from: from, queuedAt: now}
}

// handleAck ends a ticket whose outcome is recorded; a claim that was given up is remembered for a while.
func (c *Claims) handleAck(m Ack) []event.Action {
	t := c.requests[m.Request]
	if t == nil || t.phase != recording || t.state != m.State || !m.OK {
		return nil
	}
	if t.state != NotDispatched {
		delete(c.requests, m.Request)
		return nil
	}
	t.phase = abandoned
	c.setTimer(t, t.expires)
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
		told := Reply{Request: m.Request, Verdict: forgotten}
		if m.Incarnation == c.self.Incarnation {
			told = c.answerQuery(now, waiter{node: ev.From, request: m.Request}, m.Held)
		}
		return []event.Action{event.Send{To: ev.From, Body: told}}
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
		return []event.Action{event.Send{To: ev.From, Body: c.issuer.decide(k, m, by, c.grantTwice)}}
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

// handleTimer handles a ticket's timer.
func (c *Claims) handleTimer(now time.Time, t *localRequest) []event.Action {
	t.timerAt = time.Time{}
	switch {
	case t.phase == recording:
		return c.sendOutcome(now, t)
	case t.phase == abandoned:
		delete(c.requests, t.Request.ID)
		return nil
	case t.phase == running:
		return nil
	case !now.Before(t.Deadline):
		return c.conclude(now, t, Reply{Verdict: Outstanding}, "no verdict before the deadline", true)
	}
	switch t.phase {
	case forwarded:
		if t.oneTime == nil {
			return c.startLocal(now, t)
		}
		if t.attempts++; t.attempts >= c.maxPolls {
			return c.conclude(now, t, Reply{Verdict: Outstanding}, "the issuer of the key does not answer", true)
		}
		return c.startOneTime(now, t)
	case querying:
		if t.attempts++; t.attempts >= c.maxPolls {
			return c.conclude(now, t, Reply{Verdict: Outstanding}, "the claimer does not answer", false)
		}
		return c.pollClaimer(now, t)
	case backingOff:
		return c.start(now, t)
	}
	return nil
}
