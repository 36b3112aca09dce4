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

// post is a fingerprint that this node decides about.
type post struct {
	queue []turn
	round *round // the turn that is being arranged or taken
}

// turn is a suspect that waits; node is empty for this node.
type turn struct {
	node    id.Node
	request id.Request
	at      time.Time
}

type round struct {
	turn
	number  uint64
	missing id.Set[id.Node] // nodes that have not promised yet
	granted bool
	until   time.Time
}

func (p *post) next() time.Time {
	if p.round == nil {
		return time.Time{}
	}
	return p.round.until
}

// wanted queues a suspect at its holder.
func (g *Guard) wanted(now time.Time, from id.Node, m RunRequest) []event.Action {
	t := turn{node: from, request: m.Request, at: now}
	if n, last := g.counters.sum(m.Print, now); n >= refuseAt {
		return g.reply(now, m.Print, t, false, last.Add(g.ban).Sub(now))
	}
	p := g.posts[m.Print]
	if p == nil {
		p = &post{}
		g.posts[m.Print] = p
	}
	same := func(o turn) bool { return o.node == from && o.request == m.Request }
	if p.round != nil && same(p.round.turn) {
		if p.round.granted {
			return g.reply(now, m.Print, t, true, 0) // the first answer may have been lost; the node uses only one
		}
		return nil
	}
	if slices.ContainsFunc(p.queue, same) {
		return nil
	}
	if len(p.queue) >= g.maxQueue {
		return g.reply(now, m.Print, t, false, g.hold)
	}
	p.queue = append(p.queue, t)
	return g.arrange(now, m.Print, p)
}

func (g *Guard) reply(now time.Time, print id.Fingerprint, t turn, ok bool, wait time.Duration) []event.Action {
	m := RunReply{Request: t.request, OK: ok, Wait: int64(wait), Print: print}
	if t.node == "" {
		return g.given(now, m)
	}
	return []event.Action{event.Send{To: t.node, Body: m}}
}

// arrange starts the next turn: every node that may run requests must promise to let nobody else run it.
// Two holders with different views share at least one such node, so that only one of them succeeds.
func (g *Guard) arrange(now time.Time, print id.Fingerprint, p *post) []event.Action {
	for len(p.queue) > 0 && now.Sub(p.queue[0].at) > g.waitFor {
		p.queue = p.queue[1:]
	}
	if p.round != nil {
		return nil
	}
	if len(p.queue) == 0 {
		delete(g.posts, print)
		return nil
	}
	g.round++
	r := &round{turn: p.queue[0], number: g.round, missing: id.NewSet[id.Node](), until: now.Add(g.collect)}
	p.queue = p.queue[1:]
	p.round = r
	var out []event.Action
	if !g.noPromises {
		if !g.commit(now, print, promise{to: g.self.Incarnation, round: r.number, until: now.Add(g.hold)}) {
			return g.fail(now, print, p)
		}
		counts := g.list(now, print)
		for _, n := range g.peers(now) {
			r.missing.Add(n)
			out = append(out, event.Send{To: n, Body: PromiseRequest{Print: print, Round: r.number, Counts: counts}})
		}
	}
	return append(out, g.grant(now, print, p)...)
}

// commit makes a promise unless another one stands.
func (g *Guard) commit(now time.Time, print id.Fingerprint, p promise) bool {
	if now.Before(g.began.Add(g.hold)) {
		return false // the process before this one on the same VM may have promised
	}
	if n, _ := g.counters.sum(print, now); n >= refuseAt {
		return false
	}
	old, stands := g.promises[print]
	if stands && now.Before(old.until) && (old.to != p.to || old.round > p.round) {
		return false
	}
	g.promises[print] = p
	return true
}

// promise answers a holder.
func (g *Guard) promise(now time.Time, ev event.Receive, m PromiseRequest) []event.Action {
	ok := g.commit(now, m.Print, promise{to: ev.Incarnation, round: m.Round, until: now.Add(g.hold)})
	out := []event.Action{event.Send{To: ev.From, Body: PromiseReply{Print: m.Print, Round: m.Round, OK: ok}}}
	if n, _ := g.counters.sum(m.Print, now); n >= refuseAt {
		out = append([]event.Action{event.Send{To: ev.From, Body: Counts{Counts: g.list(now, m.Print)}}}, out...)
	}
	return out
}

func (g *Guard) held(now time.Time, from id.Node, m PromiseReply) []event.Action {
	p := g.posts[m.Print]
	if p == nil || p.round == nil || p.round.number != m.Round || p.round.granted {
		return nil
	}
	if !m.OK {
		return g.fail(now, m.Print, p)
	}
	p.round.missing.Delete(from)
	return g.grant(now, m.Print, p)
}

// grant gives the turn once every promise is there.
func (g *Guard) grant(now time.Time, print id.Fingerprint, p *post) []event.Action {
	r := p.round
	if len(r.missing) > 0 {
		return nil
	}
	r.granted, r.until = true, now.Add(g.hold)
	return g.reply(now, print, r.turn, true, 0)
}

// fail refuses a turn; the suspect may come back when the promises to others have ended.
func (g *Guard) fail(now time.Time, print id.Fingerprint, p *post) []event.Action {
	t := p.round.turn
	out := g.end(now, print, p)
	wait := g.hold
	if n, last := g.counters.sum(print, now); n >= refuseAt {
		wait = last.Add(g.ban).Sub(now)
	}
	out = append(out, g.reply(now, print, t, false, wait)...)
	return append(out, g.arrange(now, print, p)...)
}

// end releases the promises of a round.
func (g *Guard) end(now time.Time, print id.Fingerprint, p *post) []event.Action {
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
		out = append(out, event.Send{To: n, Body: Release{Print: print, Round: number, Counts: g.list(now, print)}})
	}
	return out
}

// freed handles a suspect that no longer needs its turn.
func (g *Guard) freed(now time.Time, from id.Node, r id.Request, print id.Fingerprint) []event.Action {
	p := g.posts[print]
	if p == nil {
		return nil
	}
	p.queue = slices.DeleteFunc(p.queue, func(t turn) bool { return t.node == from && t.request == r })
	var out []event.Action
	if p.round != nil && p.round.node == from && p.round.request == r {
		out = g.end(now, print, p)
	}
	return append(out, g.arrange(now, print, p)...)
}

// overdue handles a round whose time is over: promises did not come, or the end of the attempt is not known.
func (g *Guard) overdue(now time.Time, print id.Fingerprint, p *post) []event.Action {
	if p.round == nil || now.Before(p.round.until) {
		return nil
	}
	if !p.round.granted {
		return g.fail(now, print, p)
	}
	out := g.end(now, print, p)
	return append(out, g.arrange(now, print, p)...)
}
