package quarantine

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// promise is this node's promise to a coordinator that it lets no other one run a fingerprint.
type promise struct {
	to    id.Incarnation
	round uint64
	until time.Time
}

// coordination is the state of a fingerprint that this node coordinates.
type coordination struct {
	queue []waiter
	round *round // the current round; nil if there is none
}

// waiter is a suspect that waits for its turn; node is empty for this node.
type waiter struct {
	node    id.Node
	request id.Request
	at      time.Time
}

// round is the turn of one suspect: the coordinator collects promises, then the suspect runs.
type round struct {
	waiter
	number  uint64
	pending id.Set[id.Node] // nodes that have not promised yet
	granted bool
	until   time.Time
}

func (c *coordination) deadline() time.Time {
	if c.round == nil {
		return time.Time{}
	}
	return c.round.until
}

// handleRunRequest queues a suspect for its turn.
func (g *Guard) handleRunRequest(now time.Time, from id.Node, m RunRequest) []event.Action {
	w := waiter{node: from, request: m.Request, at: now}
	if n, last := g.counters.sum(m.Print, now); n >= crashThreshold {
		return g.sendReply(now, m.Print, w, false, last.Add(g.banDuration).Sub(now))
	}
	c := g.coordinations[m.Print]
	if c == nil {
		c = &coordination{}
		g.coordinations[m.Print] = c
	}
	same := func(o waiter) bool { return o.node == from && o.request == m.Request }
	if c.round != nil && same(c.round.waiter) {
		if c.round.granted {
			return g.sendReply(now, m.Print, w, true, 0) // the first reply may have been lost; the node uses only one
		}
		return nil
	}
	if slices.ContainsFunc(c.queue, same) {
		return nil
	}
	if len(c.queue) >= g.maxQueue {
		return g.sendReply(now, m.Print, w, false, g.promiseDuration)
	}
	c.queue = append(c.queue, w)
	return g.startRound(now, m.Print, c)
}

func (g *Guard) sendReply(now time.Time, fp id.Fingerprint, w waiter, ok bool, wait time.Duration) []event.Action {
	m := RunReply{Request: w.request, OK: ok, Wait: int64(wait), Print: fp}
	if w.node == "" {
		return g.handleRunReply(now, m)
	}
	return []event.Action{event.Send{To: w.node, Body: m}}
}

// startRound starts the next round if none is under way. Every node that may run requests must promise to let no other
// coordinator run the fingerprint. Two coordinators with different views ask at least one node in common, so only one of
// them succeeds.
func (g *Guard) startRound(now time.Time, fp id.Fingerprint, c *coordination) []event.Action {
	for len(c.queue) > 0 && now.Sub(c.queue[0].at) > g.maxWait {
		c.queue = c.queue[1:]
	}
	if c.round != nil {
		return nil
	}
	if len(c.queue) == 0 {
		delete(g.coordinations, fp)
		return nil
	}
	g.lastRound++
	r := &round{waiter: c.queue[0], number: g.lastRound, pending: id.NewSet[id.Node](), until: now.Add(g.promiseTimeout)}
	c.queue = c.queue[1:]
	c.round = r
	var out []event.Action
	if !g.noPromises {
		if !g.tryPromise(now, fp, promise{to: g.self.Incarnation, round: r.number, until: now.Add(g.promiseDuration)}) {
			return g.failRound(now, fp, c)
		}
		counts := g.countsOf(now, fp)
		for _, n := range g.peers(now) {
			r.pending.Add(n)
			out = append(out, event.Send{To: n, Body: PromiseRequest{Print: fp, Round: r.number, Counts: counts}})
		}
	}
	return append(out, g.grantIfPromised(now, fp, c)...)
}

// tryPromise makes a promise unless a conflicting one is in force.
func (g *Guard) tryPromise(now time.Time, fp id.Fingerprint, p promise) bool {
	if now.Before(g.startedAt.Add(g.promiseDuration)) {
		return false // a promise of the previous process on this VM may still be in force
	}
	if n, _ := g.counters.sum(fp, now); n >= crashThreshold {
		return false
	}
	old, ok := g.promises[fp]
	if ok && now.Before(old.until) && (old.to != p.to || old.round > p.round) {
		return false
	}
	g.promises[fp] = p
	return true
}

// handlePromiseRequest answers a coordinator, and sends it the counters if the request must be refused.
func (g *Guard) handlePromiseRequest(now time.Time, ev event.Receive, m PromiseRequest) []event.Action {
	ok := g.tryPromise(now, m.Print, promise{to: ev.Incarnation, round: m.Round, until: now.Add(g.promiseDuration)})
	out := []event.Action{event.Send{To: ev.From, Body: PromiseReply{Print: m.Print, Round: m.Round, OK: ok}}}
	if n, _ := g.counters.sum(m.Print, now); n >= crashThreshold {
		out = append([]event.Action{event.Send{To: ev.From, Body: Counts{Counts: g.countsOf(now, m.Print)}}}, out...)
	}
	return out
}

func (g *Guard) handlePromiseReply(now time.Time, from id.Node, m PromiseReply) []event.Action {
	c := g.coordinations[m.Print]
	if c == nil || c.round == nil || c.round.number != m.Round || c.round.granted {
		return nil
	}
	if !m.OK {
		return g.failRound(now, m.Print, c)
	}
	c.round.pending.Delete(from)
	return g.grantIfPromised(now, m.Print, c)
}

// grantIfPromised grants the turn once all nodes have promised.
func (g *Guard) grantIfPromised(now time.Time, fp id.Fingerprint, c *coordination) []event.Action {
	r := c.round
	if len(r.pending) > 0 {
		return nil
	}
	r.granted, r.until = true, now.Add(g.promiseDuration)
	return g.sendReply(now, fp, r.waiter, true, 0)
}

// failRound refuses a turn; the suspect may retry when the promises to other coordinators have expired.
func (g *Guard) failRound(now time.Time, fp id.Fingerprint, c *coordination) []event.Action {
	w := c.round.waiter
	out := g.endRound(now, fp, c)
	wait := g.promiseDuration
	if n, last := g.counters.sum(fp, now); n >= crashThreshold {
		wait = last.Add(g.banDuration).Sub(now)
	}
	out = append(out, g.sendReply(now, fp, w, false, wait)...)
	return append(out, g.startRound(now, fp, c)...)
}

// endRound ends the current round and releases its promises.
func (g *Guard) endRound(now time.Time, fp id.Fingerprint, c *coordination) []event.Action {
	number := c.round.number
	c.round = nil
	if own := g.promises[fp]; own.to == g.self.Incarnation && own.round == number {
		delete(g.promises, fp)
	}
	if g.noPromises {
		return nil
	}
	var out []event.Action
	for _, n := range g.peers(now) {
		out = append(out, event.Send{To: n, Body: Release{Print: fp, Round: number, Counts: g.countsOf(now, fp)}})
	}
	return out
}

// handleRelease handles a suspect that no longer needs its turn.
func (g *Guard) handleRelease(now time.Time, from id.Node, r id.Request, fp id.Fingerprint) []event.Action {
	c := g.coordinations[fp]
	if c == nil {
		return nil
	}
	c.queue = slices.DeleteFunc(c.queue, func(w waiter) bool { return w.node == from && w.request == r })
	var out []event.Action
	if c.round != nil && c.round.node == from && c.round.request == r {
		out = g.endRound(now, fp, c)
	}
	return append(out, g.startRound(now, fp, c)...)
}

// handleTimeout ends a round that has timed out: promises are missing, or the end of the attempt was not reported.
func (g *Guard) handleTimeout(now time.Time, fp id.Fingerprint, c *coordination) []event.Action {
	if c.round == nil || now.Before(c.round.until) {
		return nil
	}
	if !c.round.granted {
		return g.failRound(now, fp, c)
	}
	out := g.endRound(now, fp, c)
	return append(out, g.startRound(now, fp, c)...)
}
