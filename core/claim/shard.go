package claim

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// op is a claim, or the outcome of one, that waits for a conditional update of its shard.
type op struct {
	claim   bool
	look    bool // a claim that is only looked up
	key     digest
	print   id.Fingerprint
	by      claimer
	state   State // of an outcome
	result  []byte
	omitted bool
	from    id.Node // who asked, empty for this node
	asked   time.Time
	until   time.Time // a claim is not made after this time
}

// shard is one claim object as this node last read or wrote it. Changes are made in place before the
// update is sent; when the update fails, the copy is thrown away and read again.
type shard struct {
	name    string
	version uint64
	order   []digest
	claims  map[digest]entry // nil if it must be read
	size    int
	read    time.Time // when the operation was sent that the copy comes from
	sent    time.Time
	busy    bool // one operation at a time
	queue   []op
	batch   []op // operations that the update in flight decides
	replies []reply
	used    time.Time
	next    time.Time // no update is sent before this time
}

// reply is an answer that holds once the update in flight has taken effect.
type reply struct {
	to     op
	told   Reply
	stored bool
}

func (s *shard) load(o event.Object, found bool) error {
	s.version, s.order, s.claims, s.size = 0, nil, map[digest]entry{}, 0
	if !found {
		return nil
	}
	order, claims, err := decode(o.Value)
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

// expire removes the claims that are older than the retention.
func (s *shard) expire(now time.Time, retention time.Duration) {
	old := now.Add(-retention)
	s.order = slices.DeleteFunc(s.order, func(d digest) bool {
		e := s.claims[d]
		if e.at.After(old) {
			return false
		}
		s.size -= e.size()
		delete(s.claims, d)
		return true
	})
}

// shed gives up recorded results, oldest first, until there is room; that they ran stays recorded.
func (s *shard) shed(room, limit int) bool {
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

// ruling is what a shard's present content says about an operation.
type ruling struct {
	told    Reply
	changed bool
	final   bool // holds even if another writer has changed the object since it was read
}

func (c *Claims) rule(now time.Time, s *shard, o op) ruling {
	e, found := s.claims[o.key]
	if !o.claim {
		return c.ruleOutcome(now, s, o, e, found)
	}
	told := Reply{Request: o.by.request}
	switch {
	case found && c.dead(e):
		s.drop(o.key)
		return c.rule(now, s, o)
	case !found && o.look:
		told.Verdict = Absent
		return ruling{told: told}
	case !found:
		e = entry{print: o.print, state: Running, at: now, by: o.by}
		if !s.shed(e.size(), c.maxObject) {
			told.Verdict = Absent
			return ruling{told: told}
		}
		s.set(o.key, e)
		told.Verdict = Granted
		return ruling{told: told, changed: true}
	case e.by == o.by && e.state == Running && !o.look:
		told.Verdict = Granted // an earlier update took effect and its answer was lost
		return ruling{told: told}
	}
	told.Verdict, told.Result, told.Omitted = verdictOf(e.state), e.result, e.omitted
	if e.print != o.print {
		told.Verdict, told.Result, told.Omitted = Mismatch, nil, false
	}
	if told.Verdict == held {
		told.Node, told.Incarnation, told.Held = e.by.node, e.by.incarnation, e.by.request
	}
	return ruling{told: told, final: e.state != Running}
}

// dead reports that a running claim may be claimed again, which only the proof option allows.
func (c *Claims) dead(e entry) bool {
	return c.reclaimDead && e.state == Running && !c.present(e.by)
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

func (c *Claims) ruleOutcome(now time.Time, s *shard, o op, e entry, found bool) ruling {
	if !found || (e.by != o.by && !c.noOwnerCheck) || (e.state != Running && !c.noOwnerCheck) {
		return ruling{}
	}
	if o.state == NotDispatched {
		s.drop(o.key)
		return ruling{changed: true}
	}
	next := entry{print: e.print, state: o.state, at: now, result: o.result, omitted: o.omitted}
	if o.state == Unknown {
		next.by = e.by
	}
	s.drop(o.key) // moves it to the end, so that the order is the order of the last change
	if !s.shed(next.size(), c.maxObject) {
		next.result, next.omitted = nil, next.omitted || len(next.result) > 0
	}
	s.set(o.key, next)
	return ruling{changed: true}
}

// submit queues an operation for a shard.
func (c *Claims) submit(now time.Time, index int, o op) []event.Action {
	s := c.shards[index]
	if s == nil {
		c.evict(now)
		s = &shard{name: shardName(index)}
		c.shards[index] = s
	}
	s.used = now
	s.queue = append(s.queue, o)
	return c.pump(now, index, s)
}

// evict forgets copies that were not used for a while, so that memory follows the shards in use.
func (c *Claims) evict(now time.Time) {
	for i, s := range c.shards {
		if !s.busy && len(s.queue) == 0 && now.Sub(s.used) > c.cacheFor {
			delete(c.shards, i)
		}
	}
}

// pump answers what the copy decides and sends the next operation of an idle shard.
func (c *Claims) pump(now time.Time, index int, s *shard) []event.Action {
	if s.busy {
		return nil
	}
	s.queue = slices.DeleteFunc(s.queue, func(o op) bool { return o.claim && !now.Before(o.until) })
	if len(s.queue) == 0 {
		return nil
	}
	if s.claims == nil {
		return c.get(now, index, s)
	}
	var paced []op
	if now.Before(s.next) {
		// Lookups write nothing, so that they need not wait.
		paced = slices.DeleteFunc(slices.Clone(s.queue), func(o op) bool { return o.look })
		s.queue = slices.DeleteFunc(s.queue, func(o op) bool { return !o.look })
		if len(paced) > 0 {
			c.later(index, s.next)
		}
	}
	s.expire(now, c.retention)
	var waiting []op
	changed := false
	queue := s.queue
	s.batch, s.replies, s.queue = nil, nil, nil
	for _, o := range queue {
		r := c.rule(now, s, o)
		if !r.changed && !r.final && s.read.Before(o.asked) {
			waiting = append(waiting, o)
			continue
		}
		changed = changed || r.changed
		s.batch = append(s.batch, o)
		s.replies = append(s.replies, reply{to: o, told: r.told, stored: true})
	}
	s.queue = slices.Concat(paced, waiting)
	if changed {
		// The update also proves the copy that the waiting ones are then answered from.
		return c.put(now, index, s)
	}
	out := c.answer(now, s)
	if len(waiting) > 0 && !s.busy {
		out = append(out, c.get(now, index, s)...)
	}
	return out
}

// later looks at a shard again when its next update may be sent.
func (c *Claims) later(index int, at time.Time) {
	c.paced[index] = at
	if c.pacedNext.IsZero() || at.Before(c.pacedNext) {
		c.pacedNext = at
	}
}

// resume goes on with the shards whose next update may be sent now.
func (c *Claims) resume(now time.Time) []event.Action {
	if c.pacedNext.IsZero() || now.Before(c.pacedNext) {
		return nil
	}
	var due []int
	c.pacedNext = time.Time{}
	for index, at := range c.paced {
		switch {
		case !now.Before(at):
			due = append(due, index)
		case c.pacedNext.IsZero() || at.Before(c.pacedNext):
			c.pacedNext = at
		}
	}
	slices.Sort(due)
	var out []event.Action
	for _, index := range due {
		delete(c.paced, index)
		if s := c.shards[index]; s != nil {
			out = append(out, c.pump(now, index, s)...)
		}
	}
	return out
}

func (c *Claims) get(now time.Time, index int, s *shard) []event.Action {
	return c.call(now, index, s, event.Call{Op: event.OpGet})
}

func (c *Claims) put(now time.Time, index int, s *shard) []event.Action {
	s.next = now.Add(c.pace)
	return c.call(now, index, s, event.Call{
		Op: event.OpPut, Version: s.version, Value: encode(s.order, s.claims, s.size),
	})
}

func (c *Claims) call(now time.Time, index int, s *shard, call event.Call) []event.Action {
	c.seq++
	s.busy, s.sent = true, now
	c.calls[c.seq] = index
	call.Owner, call.Seq, call.Name = owner, c.seq, s.name
	return []event.Action{call}
}

// answer sends the answers that are now certain.
func (c *Claims) answer(now time.Time, s *shard) []event.Action {
	var out []event.Action
	replies := s.replies
	s.replies, s.batch = nil, nil
	for _, r := range replies {
		out = append(out, c.respond(now, r)...)
	}
	return out
}

func (c *Claims) respond(now time.Time, r reply) []event.Action {
	if r.to.claim {
		if r.to.from == "" {
			return c.told(now, r.told, true)
		}
		return []event.Action{event.Send{To: r.to.from, Body: r.told}}
	}
	stored := Ack{Request: r.to.by.request, State: r.to.state, OK: r.stored}
	if r.to.from == "" {
		return c.stored(stored)
	}
	return []event.Action{event.Send{To: r.to.from, Body: stored}}
}

// result handles the outcome of an operation on a shard.
func (c *Claims) result(now time.Time, r event.Result) []event.Action {
	index, ok := c.calls[r.Call.Seq]
	if !ok {
		return nil
	}
	delete(c.calls, r.Call.Seq)
	s := c.shards[index]
	s.busy = false
	if r.Code == event.CodeUnavailable || (r.Call.Op == event.OpGet && r.Code == event.CodeLost) {
		return c.unreach(now, s)
	}
	if r.Call.Op == event.OpGet {
		var o event.Object
		if r.Code == event.CodeOK && len(r.Objects) == 1 {
			o = r.Objects[0]
		}
		s.read = s.sent
		if err := s.load(o, r.Code == event.CodeOK); err != nil {
			return append(c.unreach(now, s), event.Log{Kind: "claim", Choice: "unreadable", Reason: s.name + ": " + err.Error()})
		}
		return c.pump(now, index, s)
	}
	if r.Code == event.CodeOK || (r.Code == event.CodeLost && c.noReadBack) {
		s.version, s.read = r.Call.Version+1, s.sent
		if len(r.Objects) == 1 {
			s.version = r.Objects[0].Version
		}
		return append(c.answer(now, s), c.pump(now, index, s)...)
	}
	// A conflict or a lost answer: only the object itself tells which claims it holds.
	s.claims, s.replies = nil, nil
	s.queue = append(s.batch, s.queue...)
	s.batch = nil
	return c.pump(now, index, s)
}

// unreach tells everybody who waits that the platform cannot be reached from here.
func (c *Claims) unreach(now time.Time, s *shard) []event.Action {
	ops := slices.Concat(s.batch, s.queue)
	s.batch, s.queue, s.replies, s.claims = nil, nil, nil, nil
	var out []event.Action
	for _, o := range ops {
		out = append(out, c.respond(now, reply{to: o, told: Reply{Request: o.by.request, Verdict: unreached}})...)
	}
	return out
}
