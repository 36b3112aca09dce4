package quarantine

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// promise is the word of this node to let nobody else run a fingerprint.
type promise struct {
	to    id.Incarnation
	round uint64
	until time.Time
}

// coordination is a fingerprint that this node decides about.
type coordination struct {
	queue []waiter
	round *round // the turn that is being arranged or taken
}

// waiter is a suspect that waits; node is empty for this node.
type waiter struct {
	node    id.Node
	request id.Request
	at      time.Time
}

type round struct {
	waiter
	number  uint64
	pending id.Set[id.Node] // nodes that have not promised yet
	granted bool
	until   time.Time
}

func (p *coordination) deadline() time.Time {
	if p.round == nil {
		return time.Time{}
	}
	return p.round.until
}

// handleRunRequest queues a suspect at its holder.
func (g *Guard) handleRunRequest(now time.Time, from id.Node, m RunRequest) []event.Action {
	t := waiter{node: from, request: m.Request, at: now}
	if n, last := g.counters.sum(m.Print, now); n >= crashThreshold {
		return g.sendReply(now, m.Print, t, false, last.Add(g.banDuration).Sub(now))
	}
	p := g.coordinations[m.Print]
	if p == nil {
		p = &coordination{}
		g.coordinations[m.Print] = p
	}
	same := func(o waiter) bool { return o.node == from && o.request == m.Request }
	if p.round != nil && same(p.round.waiter) {
		if p.round.granted {
			return g.sendReply(now, m.Print, t, true, 0) // the first answer may have been lost; the node uses only one
		}
		return nil
	}
	if slices.ContainsFunc(p.queue, same) {
		return nil
	}
	if len(p.queue) >= g.maxQueue {
		return g.sendReply(now, m.Print, t, false, g.promiseDuration)
	}
	p.queue = append(p.queue, t)
	return g.startRound(now, m.Print, p)
}

func (g *Guard) sendReply(now time.Time, print id.Fingerprint, t waiter, ok bool, wait time.Duration) []event.Action {
	m := RunReply{Request: t.request, OK: ok, Wait: int64(wait), Print: print}
	if t.node == "" {
		return g.handleRunReply(now, m)
	}
	return []event.Action{event.Send{To: t.node, Body: m}}
}

// startRound starts the next turn: every node that may run requests must promise to let nobody else run it.
// Two holders with different views share at least one such node, so that only one of them succeeds.
func (g *Guard) startRound(now time.Time, print id.Fingerprint, p *coordination) []event.Action {
	for len(p.queue) > 0 && now.Sub(p.queue[0].at) > g.maxWait {
		p.queue = p.queue[1:]
	}
	if p.round != nil {
		return nil
	}
	if len(p.queue) == 0 {
		delete(g.coordinations, print)
		return nil
	}
	g.lastRound++
	r := &round{waiter: p.queue[0], number: g.lastRound, pending: id.NewSet[id.Node](), until: now.Add(g.promiseTimeout)}
	p.queue = p.queue[1:]
	p.round = r
	var out []event.Action
	if !g.noPromises {
		if !g.tryPromise(now, print, promise{to: g.self.Incarnation, round: r.number, until: now.Add(g.promiseDuration)}) {
			return g.failRound(now, print, p)
		}
		counts := g.countsOf(now, print)
		for _, n := range g.peers(now) {
			r.pending.Add(n)
			out = append(out, event.Send{To: n, Body: PromiseRequest{Print: print, Round: r.number, Counts: counts}})
		}
	}
	return append(out, g.grantIfPromised(now, print, p)...)
}

// tryPromise makes a promise unless another one stands.
func (g *Guard) tryPromise(now time.Time, print id.Fingerprint, p promise) bool {
	if now.Before(g.startedAt.Add(g.promiseDuration)) {
		return false // the process before this one on the same VM may have promised
	}
	if n, _ := g.counters.sum(print, now); n >= crashThreshold {
		return false
	}
	old, stands := g.promises[print]
	if stands && now.Before(old.until) && (old.to != p.to || old.round > p.round) {
		return false
	}
	g.promises[print] = p
	return true
}

// handlePromiseRequest answers a holder.
func (g *Guard) handlePromiseRequest(now time.Time, ev event.Receive, m PromiseRequest) []event.Action {
	ok := g.tryPromise(now, m.Print, promise{to: ev.Incarnation, round: m.Round, until: now.Add(g.promiseDuration)})
	out := []event.Action{event.Send{To: ev.From, Body: PromiseReply{Print: m.Print, Round: m.Round, OK: ok}}}
	if n, _ := g.counters.sum(m.Print, now); n >= crashThreshold {
		out = append([]event.Action{event.Send{To: ev.From, Body: Counts{Counts: g.countsOf(now, m.Print)}}}, out...)
	}
	return out
}

func (g *Guard) handlePromiseReply(now time.Time, from id.Node, m PromiseReply) []event.Action {
	p := g.coordinations[m.Print]
	if p == nil || p.round == nil || p.round.number != m.Round || p.round.granted {
		return nil
	}
	if !m.OK {
		return g.failRound(now, m.Print, p)
	}
	p.round.pending.Delete(from)
	return g.grantIfPromised(now, m.Print, p)
}

// grantIfPromised gives the turn once every promise is there.
func (g *Guard) grantIfPromised(now time.Time, print id.Fingerprint, p *coordination) []event.Action {
	r := p.round
	if len(r.pending) > 0 {
		return nil
	}
	r.granted, r.until = true, now.Add(g.promiseDuration)
	return g.sendReply(now, print, r.waiter, true, 0)
}

// failRound refuses a turn; the suspect may come back when the promises to others have ended.
func (g *Guard) failRound(now time.Time, print id.Fingerprint, p *coordination) []event.Action {
	t := p.round.waiter
	out := g.endRound(now, print, p)
	wait := g.promiseDuration
	if n, last := g.counters.sum(print, now); n >= crashThreshold {
		wait = last.Add(g.banDuration).Sub(now)
	}
	out = append(out, g.sendReply(now, print, t, false, wait)...)
	return append(out, g.startRound(now, print, p)...)
}

// endRound releases the promises of a round.
func (g *Guard) endRound(now time.Time, print id.Fingerprint, p *coordination) []event.Action {
	number := p.round.number
	p.round = nil
	if own := g.promises[print]; own.to == g.self.Incarnation && own.round == number {
		delete(g.promises, print)
	}
	if g.noPromises {
		return nil
	}
	var out []event.Action
	for _, n := range g.peers(now) {
		out = append(out, event.Send{To: n, Body: Release{Print: print, Round: number, Counts: g.countsOf(now, print)}})
	}
	return out
}

// handleRelease handles a suspect that no longer needs its turn.
func (g *Guard) handleRelease(now time.Time, from id.Node, r id.Request, print id.Fingerprint) []event.Action {
	p := g.coordinations[print]
	if p == nil {
		return nil
	}
	p.queue = slices.DeleteFunc(p.queue, func(t waiter) bool { return t.node == from && t.request == r })
	var out []event.Action
	if p.round != nil && p.round.node == from && p.round.request == r {
		out = g.endRound(now, print, p)
	}
	return append(out, g.startRound(now, print, p)...)
}

// handleTimeout handles a round whose time is over: promises did not come, or the end of the attempt is not known.
func (g *Guard) handleTimeout(now time.Time, print id.Fingerprint, p *coordination) []event.Action {
	if p.round == nil || now.Before(p.round.until) {
		return nil
	}
	if !p.round.granted {
		return g.failRound(now, print, p)
	}
	out := g.endRound(now, print, p)
	return append(out, g.startRound(now, print, p)...)
}
