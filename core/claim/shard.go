package claim

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// op is a claim, a lookup or an outcome that waits for a conditional update or a read of its shard.
type op struct {
	claim       bool // a claim or a lookup; false for an outcome
	look        bool // a claim that only looks the key up
	key         digest
	fingerprint id.Fingerprint
	claimer     claimer
	state       State // of an outcome, like result and omitted
	result      []byte
	omitted     bool
	from        id.Node // node that sent the operation; empty for this node
	queuedAt    time.Time
	expires     time.Time // no claim is made after this time
}

// shard is the local copy of a claim object, as this node last read or wrote it. Changes are made in place before the
// update is sent; if the update fails, the copy is discarded and read again.
type shard struct {
	name       string
	version    uint64
	order      []digest
	claims     map[digest]entry // nil if the object must be read
	size       int
	readAt     time.Time // when the operation that the copy comes from was sent
	sentAt     time.Time
	inFlight   bool // at most one operation at a time
	queue      []op
	batch      []op // operations that the update in flight commits
	replies    []pendingReply
	usedAt     time.Time
	nextUpdate time.Time // earliest time of the next update
}

// pendingReply is a reply that becomes valid once the update in flight has taken effect.
type pendingReply struct {
	op    op
	reply Reply
	ok    bool // of the Ack of an outcome
}

func (s *shard) load(o event.Object, found bool) error {
	s.version, s.order, s.claims, s.size = 0, nil, map[digest]entry{}, 0
	if !found {
		return nil
	}
	order, claims, err := decodeShard(o.Value)
	if err != nil {
		s.claims = nil
		return err
	}
	s.version, s.order, s.claims = o.Version, order, claims
	for _, e := range claims {
		s.size += e.size()
	}
	return nil
}

func (s *shard) set(key digest, e entry) {
	if old, ok := s.claims[key]; ok {
		s.size -= old.size()
	} else {
		s.order = append(s.order, key)
	}
	s.claims[key] = e
	s.size += e.size()
}

func (s *shard) drop(key digest) {
	e := s.claims[key]
	s.size -= e.size()
	delete(s.claims, key)
	s.order = slices.DeleteFunc(s.order, func(d digest) bool { return d == key })
}

// expire removes claims that have not changed for the retention time.
func (s *shard) expire(now time.Time, retention time.Duration) {
	old := now.Add(-retention)
	s.order = slices.DeleteFunc(s.order, func(d digest) bool {
		e := s.claims[d]
		if e.changedAt.After(old) {
			return false
		}
		s.size -= e.size()
		delete(s.claims, d)
		return true
	})
}

// dropResults drops recorded results, oldest first, until room bytes fit. The claims remain, so no request runs again.
func (s *shard) dropResults(room, limit int) bool {
	for _, d := range s.order {
		if s.size+room <= limit {
			return true
		}
		if e := s.claims[d]; len(e.result) > 0 {
			e.result, e.omitted = nil, true
			s.set(d, e)
		}
	}
	return s.size+room <= limit
}

// decision is the effect of an operation on the current content of a shard.
type decision struct {
	reply   Reply
	changed bool
	final   bool // stays valid even if another writer has changed the object since it was read
}

// decide applies an operation to the copy of its shard.
func (c *Claims) decide(now time.Time, s *shard, o op) decision {
	e, found := s.claims[o.key]
	if !o.claim {
		return c.applyOutcome(now, s, o, e, found)
	}
	reply := Reply{Request: o.claimer.request}
	switch {
	case found && c.reclaimable(e):
		s.drop(o.key)
		return c.decide(now, s, o)
	case !found && o.look:
		reply.Verdict = Absent
		return decision{reply: reply}
	case !found:
		e = entry{fingerprint: o.fingerprint, state: Running, changedAt: now, claimer: o.claimer}
		if !s.dropResults(e.size(), c.maxObjectSize) {
			reply.Verdict = Absent
			return decision{reply: reply}
		}
		s.set(o.key, e)
		reply.Verdict = Granted
		return decision{reply: reply, changed: true}
	case e.claimer == o.claimer && e.state == Running && !o.look:
		reply.Verdict = Granted // an earlier update took effect, but its answer was lost
		return decision{reply: reply}
	}
	reply.Verdict, reply.Result, reply.Omitted = verdictOf(e.state), e.result, e.omitted
	if e.fingerprint != o.fingerprint {
		reply.Verdict, reply.Result, reply.Omitted = Mismatch, nil, false
	}
	if reply.Verdict == held {
		reply.Node, reply.Incarnation, reply.Held = e.claimer.node, e.claimer.incarnation, e.claimer.request
	}
	return decision{reply: reply, final: e.state != Running}
}

// reclaimable reports whether a running claim may be claimed again, which only WithReclaim allows.
func (c *Claims) reclaimable(e entry) bool {
	return c.reclaimDead && e.state == Running && !c.isAlive(e.claimer)
}

func verdictOf(s State) Verdict {
	switch s {
	case Done:
		return Recorded
	case Failed:
		return RejectedBefore
	case Running:
		return held
	default:
		return Outstanding
	}
}

func (c *Claims) applyOutcome(now time.Time, s *shard, o op, e entry, found bool) decision {
	if !found || (e.claimer != o.claimer && !c.noOwnerCheck) || (e.state != Running && !c.noOwnerCheck) {
		return decision{}
	}
	if o.state == NotDispatched {
		s.drop(o.key)
		return decision{changed: true}
	}
	next := entry{fingerprint: e.fingerprint, state: o.state, changedAt: now, result: o.result, omitted: o.omitted}
	if o.state == Unknown {
		next.claimer = e.claimer
	}
	s.drop(o.key) // moves the key to the end, so that keys stay ordered by their last change
	if !s.dropResults(next.size(), c.maxObjectSize) {
		next.result, next.omitted = nil, next.omitted || len(next.result) > 0
	}
	s.set(o.key, next)
	return decision{changed: true}
}

// submit queues an operation for a shard.
func (c *Claims) submit(now time.Time, index int, o op) []event.Action {
	s := c.shards[index]
	if s == nil {
		c.evict(now)
		s = &shard{name: shardName(index)}
		c.shards[index] = s
	}
	s.usedAt = now
	s.queue = append(s.queue, o)
	return c.advance(now, index, s)
}

// evict drops the copies of shards that have been idle for the cache TTL, so that memory use follows the shards in use.
func (c *Claims) evict(now time.Time) {
	for i, s := range c.shards {
		if !s.inFlight && len(s.queue) == 0 && now.Sub(s.usedAt) > c.cacheTTL {
			delete(c.shards, i)
		}
	}
}

// advance answers the queued operations that the copy decides, and sends the next platform operation of an idle shard.
func (c *Claims) advance(now time.Time, index int, s *shard) []event.Action {
	if s.inFlight {
		return nil
	}
	s.queue = slices.DeleteFunc(s.queue, func(o op) bool { return o.claim && !now.Before(o.expires) })
	if len(s.queue) == 0 {
		return nil
	}
	if s.claims == nil {
		return c.getShard(now, index, s)
	}
	var delayed []op
	if now.Before(s.nextUpdate) {
		// The next update may not be sent yet. Lookups need none, so they go on.
		delayed = slices.DeleteFunc(slices.Clone(s.queue), func(o op) bool { return o.look })
		s.queue = slices.DeleteFunc(s.queue, func(o op) bool { return !o.look })
		if len(delayed) > 0 {
			c.delay(index, s.nextUpdate)
		}
	}
	s.expire(now, c.retention)
	var waiting []op
	changed := false
	queue := s.queue
	s.batch, s.replies, s.queue = nil, nil, nil
	for _, o := range queue {
		r := c.decide(now, s, o)
		if !r.changed && !r.final && s.readAt.Before(o.queuedAt) {
			// Another node may have changed the object between the read and the operation.
			waiting = append(waiting, o)
			continue
		}
		changed = changed || r.changed
		s.batch = append(s.batch, o)
		s.replies = append(s.replies, pendingReply{op: o, reply: r.reply, ok: true})
	}
	s.queue = slices.Concat(delayed, waiting)
	if changed {
		// If the update takes effect, the copy is current and also answers the waiting operations.
		return c.putShard(now, index, s)
	}
	out := c.sendReplies(now, s)
	if len(waiting) > 0 && !s.inFlight {
		out = append(out, c.getShard(now, index, s)...)
	}
	return out
}

// delay schedules a shard for the time when its next update may be sent.
func (c *Claims) delay(index int, at time.Time) {
	c.delayed[index] = at
	if c.nextDelayed.IsZero() || at.Before(c.nextDelayed) {
		c.nextDelayed = at
	}
}

// resumeDelayed advances the shards whose next update may be sent now.
func (c *Claims) resumeDelayed(now time.Time) []event.Action {
	if c.nextDelayed.IsZero() || now.Before(c.nextDelayed) {
		return nil
	}
	var due []int
	c.nextDelayed = time.Time{}
	for index, at := range c.delayed {
		switch {
		case !now.Before(at):
			due = append(due, index)
		case c.nextDelayed.IsZero() || at.Before(c.nextDelayed):
			c.nextDelayed = at
		}
	}
	slices.Sort(due)
	var out []event.Action
	for _, index := range due {
		delete(c.delayed, index)
		if s := c.shards[index]; s != nil {
			out = append(out, c.advance(now, index, s)...)
		}
	}
	return out
}

func (c *Claims) getShard(now time.Time, index int, s *shard) []event.Action {
	return c.callPlatform(now, index, s, event.PlatformCall{Op: event.OpGet})
}

func (c *Claims) putShard(now time.Time, index int, s *shard) []event.Action {
	s.nextUpdate = now.Add(c.updateInterval)
	return c.callPlatform(now, index, s, event.PlatformCall{
		Op: event.OpPut, Version: s.version, Value: encodeShard(s.order, s.claims, s.size),
	})
}

func (c *Claims) callPlatform(now time.Time, index int, s *shard, call event.PlatformCall) []event.Action {
	c.lastSeq++
	s.inFlight, s.sentAt = true, now
	c.callShards[c.lastSeq] = index
	call.Owner, call.Seq, call.Name = owner, c.lastSeq, s.name
	return []event.Action{call}
}

// sendReplies sends the replies of the batch, whose changes have taken effect.
func (c *Claims) sendReplies(now time.Time, s *shard) []event.Action {
	var out []event.Action
	replies := s.replies
	s.replies, s.batch = nil, nil
	for _, r := range replies {
		out = append(out, c.sendReply(now, r)...)
	}
	return out
}

func (c *Claims) sendReply(now time.Time, r pendingReply) []event.Action {
	if r.op.claim {
		if r.op.from == "" {
			return c.handleReply(now, r.reply, true)
		}
		return []event.Action{event.Send{To: r.op.from, Body: r.reply}}
	}
	ack := Ack{Request: r.op.claimer.request, State: r.op.state, OK: r.ok}
	if r.op.from == "" {
		return c.handleAck(ack)
	}
	return []event.Action{event.Send{To: r.op.from, Body: ack}}
}

// handleResult handles the result of a platform operation on a shard.
func (c *Claims) handleResult(now time.Time, r event.PlatformResult) []event.Action {
	index, ok := c.callShards[r.Call.Seq]
	if !ok {
		return nil
	}
	delete(c.callShards, r.Call.Seq)
	s := c.shards[index]
	s.inFlight = false
	if r.Code == event.CodeUnavailable || (r.Call.Op == event.OpGet && r.Code == event.CodeUnknown) {
		return c.failUnreached(now, s)
	}
	if r.Call.Op == event.OpGet {
		var o event.Object
		if r.Code == event.CodeOK && len(r.Objects) == 1 {
			o = r.Objects[0]
		}
		s.readAt = s.sentAt
		if err := s.load(o, r.Code == event.CodeOK); err != nil {
			return append(c.failUnreached(now, s), event.Log{Kind: "claim", Choice: "unreadable", Reason: s.name + ": " + err.Error()})
		}
		return c.advance(now, index, s)
	}
	if r.Code == event.CodeOK || (r.Code == event.CodeUnknown && c.noReadBack) {
		s.version, s.readAt = r.Call.Version+1, s.sentAt
		if len(r.Objects) == 1 {
			s.version = r.Objects[0].Version
		}
		return append(c.sendReplies(now, s), c.advance(now, index, s)...)
	}
	// After a conflict or a lost answer, only the object tells which claims it holds, so it is read again.
	s.claims, s.replies = nil, nil
	s.queue = append(s.batch, s.queue...)
	s.batch = nil
	return c.advance(now, index, s)
}

// failUnreached answers all operations of a shard with the verdict that this node cannot reach the platform.
func (c *Claims) failUnreached(now time.Time, s *shard) []event.Action {
	ops := slices.Concat(s.batch, s.queue)
	s.batch, s.queue, s.replies, s.claims = nil, nil, nil, nil
	var out []event.Action
	for _, o := range ops {
		out = append(out, c.sendReply(now, pendingReply{op: o, reply: Reply{Request: o.claimer.request, Verdict: unreached}})...)
	}
	return out
}
