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
	forwarded phase = iota + 1 // an answer of the shard's writer or the key's issuer
	local                      // an own operation on the shard
	asking                     // the claimer's answer
	pausing                    // a short time before it starts over
	running                    // the outcome: the request was granted
	settling                   // the record of its outcome
	settled                    // nothing; kept to answer for a claim that was given up
)

// ticket is a request of this node, from Ask until its outcome is recorded.
type ticket struct {
	Request
	look    bool  // claims nothing
	once    *once // nil for a caller's own key
	phase   phase
	started time.Time
	at      time.Time // next timer
	tries   int
	reread  bool // the claimer did not remember the claim
	holder  claimer
	state   State
	result  []byte
	omitted bool
	wait    time.Duration
	until   time.Time // when a settled ticket is forgotten
	waiters []waiter
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
	self    event.Self
	view    *member.View
	tickets map[id.Request]*ticket
	ended   []id.Request                // tickets that no longer run, oldest first
	timers  timerqueue.Heap[id.Request] // an entry is stale if its ticket has another time by now
	issuer  *issuer
	shards  map[int]*shard
	calls   map[uint64]int // shard by number of the platform operation
	seq     uint64

	paced     map[int]time.Time // shards that wait for their next update
	pacedNext time.Time         // the earliest of them
}

// New returns the claims of one process.
func New(self event.Self, opts ...Option) *Claims {
	c := &Claims{
		config: defaults(), self: self, tickets: map[id.Request]*ticket{},
		shards: map[int]*shard{}, calls: map[uint64]int{},
		paced: map[int]time.Time{},
	}
	for _, o := range opts {
		o(&c.config)
	}
	c.issuer = newIssuer(self, c.window)
	return c
}

// shardName returns the object of a shard.
func shardName(index int) string { return fmt.Sprintf("claims/%d", index) }

// place returns the shard and the digest of a key.
func (c *Claims) place(ws id.Workspace, key string) (int, digest) {
	sum := sha256.Sum256([]byte(string(ws) + "\x00" + key))
	return int(binary.BigEndian.Uint64(sum[16:24]) % uint64(c.config.shards)), digest(sum[:16])
}

func (c *Claims) me(r id.Request) claimer {
	return claimer{node: c.self.Node, incarnation: c.self.Incarnation, request: r}
}

// present reports whether the claimer's process is believed to be alive.
func (c *Claims) present(by claimer) bool {
	if by.incarnation == c.self.Incarnation {
		return true
	}
	n, ok := c.view.Find(by.node)
	return ok && n.Incarnation == by.incarnation
}

// Ask asks for the right to dispatch a request; Decided follows, at the latest at the deadline.
func (c *Claims) Ask(now time.Time, r Request) []event.Action { return c.open(now, r, false) }

// Lookup asks what is known of a key without claiming it; Decided follows, never with Granted. Absent means
// that no claim on the key existed at some time after the call.
func (c *Claims) Lookup(now time.Time, r Request) []event.Action { return c.open(now, r, true) }

func (c *Claims) open(now time.Time, r Request, look bool) []event.Action {
	if _, twice := c.tickets[r.ID]; twice {
		return nil
	}
	t := &ticket{Request: r, look: look, started: now}
	c.tickets[r.ID] = t
	if k, ok := parseOnce(r.Key); ok {
		t.once = &k
	}
	if !now.Before(r.Deadline) {
		return c.conclude(now, t, Reply{Verdict: Outstanding}, "asked after the deadline", false)
	}
	return c.start(now, t)
}

func (c *Claims) start(now time.Time, t *ticket) []event.Action {
	if t.once != nil {
		return c.startOnce(now, t)
	}
	index, _ := c.place(t.Workspace, t.Key)
	w, ok := c.view.Owner(shardName(index), nil)
	if !ok || w.ID == c.self.Node {
		return c.startLocal(now, t)
	}
	t.phase = forwarded
	c.timer(t, now.Add(c.forwardWait))
	return []event.Action{event.Send{To: w.ID, Body: t.want(now)}}
}

func (t *ticket) want(now time.Time) Acquire {
	return Acquire{Request: t.Request.ID, Workspace: t.Workspace, Key: t.Key, Print: t.Fingerprint, Left: int64(t.Deadline.Sub(now)), Look: t.look}
}

// startLocal claims on the platform from this node.
func (c *Claims) startLocal(now time.Time, t *ticket) []event.Action {
	t.phase = local
	c.timer(t, t.Deadline)
	index, key := c.place(t.Workspace, t.Key)
	return c.submit(now, index, op{
		claim: true, look: t.look, key: key, print: t.Fingerprint, by: c.me(t.Request.ID), asked: now, until: t.Deadline,
	})
}

func (c *Claims) startOnce(now time.Time, t *ticket) []event.Action {
	if t.once.incarnation == c.self.Incarnation {
		return c.told(now, c.issuer.ask(*t.once, t.want(now), c.me(t.Request.ID), c.grantTwice), true)
	}
	n, ok := c.holderOf(t.once.incarnation)
	if !ok {
		return c.conclude(now, t, Reply{Verdict: Outstanding}, "the issuer of the key cannot be reached", t.tries > 0)
	}
	t.phase = forwarded
	c.timer(t, now.Add(c.forwardWait))
	return []event.Action{event.Send{To: n, Body: t.want(now)}}
}

// holderOf returns the node that runs the given incarnation.
func (c *Claims) holderOf(inc id.Incarnation) (id.Node, bool) {
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

// told handles an answer about a request of this node; own says that this node itself decided.
func (c *Claims) told(now time.Time, m Reply, own bool) []event.Action {
	t := c.tickets[m.Request]
	if t == nil {
		return nil
	}
	if t.phase >= running {
		if t.phase == settled && m.Verdict == Granted {
			return c.settle(now, t) // the claim was given up, but an old message has made it again
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
		t.at = time.Time{}
		return c.decided(t, m, "claimed")
	case held:
		return c.inquire(now, t, claimer{node: m.Node, incarnation: m.Incarnation, request: m.Held})
	case released:
		t.phase = pausing
		c.timer(t, now.Add(c.retryMin))
		return nil
	case forgotten:
		if t.reread || t.once != nil {
			return c.conclude(now, t, Reply{Verdict: Outstanding}, "the claimer does not know the outcome", false)
		}
		t.reread = true
		return c.startLocal(now, t)
	case unreached:
		return c.outage(now, t, own)
	case Outstanding, Absent:
		return c.conclude(now, t, m, "as recorded", m.Verdict == Absent)
	}
	return c.conclude(now, t, m, "as recorded", false)
}

// outage handles a platform that the writer cannot reach: this node may, or it may come back soon.
func (c *Claims) outage(now time.Time, t *ticket, own bool) []event.Action {
	switch {
	case t.phase != forwarded && t.phase != local:
		return nil
	case !own && t.phase == forwarded:
		return c.startLocal(now, t)
	case !own:
		return nil
	case now.Sub(t.started) >= c.patience:
		verdict := Outstanding
		if c.absentWhenOut {
			verdict = Absent
		}
		return c.conclude(now, t, Reply{Verdict: verdict}, "the platform cannot be reached", true)
	}
	t.phase = pausing
	c.timer(t, now.Add(c.retryMin))
	return nil
}

// inquire asks the holder of a claim how its request ended.
func (c *Claims) inquire(now time.Time, t *ticket, by claimer) []event.Action {
	if t.reread && by == t.holder && t.phase == local {
		return c.conclude(now, t, Reply{Verdict: Outstanding}, "the claimer does not know the outcome", false)
	}
	t.holder = by
	if by.incarnation == c.self.Incarnation {
		t.phase, t.tries = asking, 0
		return c.poll(now, t)
	}
	if !c.present(by) {
		return c.conclude(now, t, Reply{Verdict: Outstanding}, "the claimer ended before it recorded an outcome", false)
	}
	if t.phase == asking {
		t.tries = 0 // the claimer answered that the request still runs; the timer asks again
		return nil
	}
	t.phase, t.tries = asking, 0
	return c.poll(now, t)
}

func (c *Claims) poll(now time.Time, t *ticket) []event.Action {
	c.timer(t, now.Add(c.pollEvery))
	if t.holder.incarnation == c.self.Incarnation {
		t.tries = 0
		told := c.query(now, waiter{request: t.Request.ID}, t.holder.request)
		if told.Verdict == held {
			return nil // it still runs; Settle answers, or the timer asks again
		}
		return c.told(now, told, true)
	}
	return []event.Action{event.Send{To: t.holder.node, Body: Query{
		Request: t.Request.ID, Held: t.holder.request, Incarnation: t.holder.incarnation,
	}}}
}

// query answers for a request that this node has claimed.
func (c *Claims) query(now time.Time, from waiter, request id.Request) Reply {
	told := Reply{Request: from.request, Verdict: forgotten}
	t := c.tickets[request]
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
		if t.phase == settled {
			t.phase, t.tries = settling, 0
			c.timer(t, now)
		}
	default:
		told = t.outcome(from)
	}
	return told
}

// outcome is what a waiter learns when the request has ended.
func (t *ticket) outcome(to waiter) Reply {
	if t.state == NotDispatched {
		return Reply{Request: to.request, Verdict: released}
	}
	return Reply{Request: to.request, Verdict: verdictOf(t.state), Result: t.result, Omitted: t.omitted}
}

// conclude gives the caller of Ask its answer. A claim that may exist and was not granted is given up.
func (c *Claims) conclude(now time.Time, t *ticket, m Reply, reason string, claimed bool) []event.Action {
	out := c.decided(t, m, reason)
	if t.look {
		delete(c.tickets, t.Request.ID)
		return out
	}
	t.state, t.result, t.omitted, t.at = NotDispatched, nil, false, time.Time{}
	switch {
	case claimed:
		return append(out, c.finish(now, t, settling)...)
	case m.Verdict == Outstanding || m.Verdict == Absent:
		return append(out, c.finish(now, t, settled)...)
	}
	delete(c.tickets, t.Request.ID)
	return out
}

func (c *Claims) decided(t *ticket, m Reply, reason string) []event.Action {
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
	t := c.tickets[r]
	if t == nil || t.phase != running || s < Done || s > Unknown {
		return nil
	}
	t.state = s
	if s == Done {
		t.result = result
		if len(result) > c.maxResult {
			t.result, t.omitted = nil, true
			if c.cutResults {
				t.result, t.omitted = result[:c.maxResult], false
			}
		}
	}
	out := c.finish(now, t, settling)
	for _, w := range t.waiters {
		told := t.outcome(w)
		if w.node == "" {
			out = append(out, c.told(now, told, true)...)
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
	for _, t := range c.tickets {
		if t.phase <= running {
			n++
		}
	}
	return n
}

// UnrecordedOutcomes returns how many outcomes can still be recorded; with the issuer of a one-time key its record is gone.
func (c *Claims) UnrecordedOutcomes() int {
	n := 0
	for _, t := range c.tickets {
		if t.phase != settling {
			continue
		}
		if t.once != nil {
			if _, ok := c.holderOf(t.once.incarnation); !ok {
				continue
			}
		}
		n++
	}
	return n
}

// finish moves a ticket to the ended ones and bounds their number; a forgotten outcome reads as unknown.
func (c *Claims) finish(now time.Time, t *ticket, p phase) []event.Action {
	t.phase, t.tries, t.wait = p, 0, c.retryMin
	t.until = now.Add(c.abandonedFor)
	if t.state != NotDispatched && t.once == nil {
		t.until = now.Add(c.retention)
	}
	c.ended = append(c.ended, t.Request.ID)
	for len(c.ended) > c.maxHeld {
		delete(c.tickets, c.ended[0])
		c.ended = c.ended[1:]
	}
	if p == settled {
		c.timer(t, t.until)
		return nil
	}
	return c.settle(now, t)
}

// settle sends the outcome to the writer or the issuer; every second try goes to the platform directly.
func (c *Claims) settle(now time.Time, t *ticket) []event.Action {
	if !now.Before(t.until) {
		delete(c.tickets, t.Request.ID)
		return nil
	}
	t.phase = settling
	c.timer(t, now.Add(t.wait))
	t.wait = min(2*t.wait, c.retryMax)
	t.tries++
	msg := Outcome{
		Request: t.Request.ID, Workspace: t.Workspace, Key: t.Key,
		State: t.state, Result: t.result, Omitted: t.omitted,
	}
	if t.once != nil {
		if t.once.incarnation == c.self.Incarnation {
			c.issuer.settle(*t.once, c.me(t.Request.ID), t.state, t.result, t.omitted)
			return c.stored(Ack{Request: t.Request.ID, State: t.state, OK: true})
		}
		if n, ok := c.holderOf(t.once.incarnation); ok {
			return []event.Action{event.Send{To: n, Body: msg}}
		}
		return nil
	}
	index, key := c.place(t.Workspace, t.Key)
	if w, ok := c.view.Owner(shardName(index), nil); ok && w.ID != c.self.Node && t.tries%2 == 1 {
		return []event.Action{event.Send{To: w.ID, Body: msg}}
	}
	return c.submit(now, index, outcomeOp(now, key, c.me(t.Request.ID), msg, ""))
}

func outcomeOp(now time.Time, key digest, by claimer, m Outcome, from id.Node) op {
	return op{key: key, by: by, state: m.State, result: m.Result, omitted: m.Omitted, from: from, asked: now}
}

// stored ends a ticket whose outcome is recorded; a claim that was given up is remembered for a while.
func (c *Claims) stored(m Ack) []event.Action {
	t := c.tickets[m.Request]
	if t == nil || t.phase != settling || t.state != m.State || !m.OK {
		return nil
	}
	if t.state != NotDispatched {
		delete(c.tickets, m.Request)
		return nil
	}
	t.phase = settled
	c.timer(t, t.until)
	return nil
}

// Step handles an event and the timers that are due.
func (c *Claims) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	switch ev := ev.(type) {
	case member.ViewChanged:
		c.view = ev.View
	case event.Receive:
		out = c.receive(now, ev)
	case event.Result:
		if ev.Call.Owner == owner {
			out = c.result(now, ev)
		}
	}
	for at := c.nextTicket(); !at.IsZero() && !at.After(now); at = c.nextTicket() {
		out = append(out, c.expired(now, c.tickets[c.timers.Pop()])...)
	}
	return append(out, c.resume(now)...)
}

func (c *Claims) receive(now time.Time, ev event.Receive) []event.Action {
	switch m := ev.Body.(type) {
	case Acquire:
		return c.wanted(now, ev, m)
	case Outcome:
		by := claimer{node: ev.From, incarnation: ev.Incarnation, request: m.Request}
		if k, ok := parseOnce(m.Key); ok {
			c.issuer.settle(k, by, m.State, m.Result, m.Omitted)
			return []event.Action{event.Send{To: ev.From, Body: Ack{Request: m.Request, State: m.State, OK: true}}}
		}
		index, key := c.place(m.Workspace, m.Key)
		return c.submit(now, index, outcomeOp(now, key, by, m, ev.From))
	case Query:
		told := Reply{Request: m.Request, Verdict: forgotten}
		if m.Incarnation == c.self.Incarnation {
			told = c.query(now, waiter{node: ev.From, request: m.Request}, m.Held)
		}
		return []event.Action{event.Send{To: ev.From, Body: told}}
	case Reply:
		return c.told(now, m, false)
	case Ack:
		return c.stored(m)
	}
	return nil
}

func (c *Claims) wanted(now time.Time, ev event.Receive, m Acquire) []event.Action {
	by := claimer{node: ev.From, incarnation: ev.Incarnation, request: m.Request}
	if k, ok := parseOnce(m.Key); ok {
		return []event.Action{event.Send{To: ev.From, Body: c.issuer.ask(k, m, by, c.grantTwice)}}
	}
	if m.Left <= 0 {
		return nil
	}
	index, key := c.place(m.Workspace, m.Key)
	return c.submit(now, index, op{
		claim: true, look: m.Look, key: key, print: m.Print, by: by, from: ev.From,
		asked: now, until: now.Add(time.Duration(m.Left)),
	})
}

// expired handles a ticket's timer.
func (c *Claims) expired(now time.Time, t *ticket) []event.Action {
	t.at = time.Time{}
	switch {
	case t.phase == settling:
		return c.settle(now, t)
	case t.phase == settled:
		delete(c.tickets, t.Request.ID)
		return nil
	case t.phase == running:
		return nil
	case !now.Before(t.Deadline):
		return c.conclude(now, t, Reply{Verdict: Outstanding}, "no verdict before the deadline", true)
	}
	switch t.phase {
	case forwarded:
		if t.once == nil {
			return c.startLocal(now, t)
		}
		if t.tries++; t.tries >= c.polls {
			return c.conclude(now, t, Reply{Verdict: Outstanding}, "the issuer of the key does not answer", true)
		}
		return c.startOnce(now, t)
	case asking:
		if t.tries++; t.tries >= c.polls {
			return c.conclude(now, t, Reply{Verdict: Outstanding}, "the claimer does not answer", false)
		}
		return c.poll(now, t)
	case pausing:
		return c.start(now, t)
	}
	return nil
}
