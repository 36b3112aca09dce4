package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
)

const (
	owner      = "crash"
	objectName = "crashes"
	resend     = 500 * time.Millisecond // messages may be lost
	storeRetry = 2 * time.Second
)

// Guard counts the requests that crash servers and decides for a node whether a request may run.
type Guard struct {
	config
	self     event.Self
	view     *member.View
	known    map[id.Node]time.Time // when a node was last listed or seen in the view
	began    time.Time
	counters counters
	seen     map[crashed]time.Time
	asks     map[id.Request]*ask
	posts    map[id.Fingerprint]*post
	promises map[id.Fingerprint]promise
	round    uint64
	gossipAt time.Time
	pulled   bool
	store    store
}

// crashed identifies one end of a server, so that it is counted once for a fingerprint.
type crashed struct {
	print  id.Fingerprint
	server id.Server
	start  id.Start
}

// ask is a suspect of this node that waits for its turn or has it.
type ask struct {
	print  id.Fingerprint
	holder id.Node // empty for this node
	sent   time.Time
	next   time.Time
	given  bool
}

// New returns the guard of one process.
func New(self event.Self, opts ...Option) *Guard {
	g := &Guard{
		config: defaults(), self: self, known: map[id.Node]time.Time{}, seen: map[crashed]time.Time{},
		asks: map[id.Request]*ask{}, posts: map[id.Fingerprint]*post{}, promises: map[id.Fingerprint]promise{},
	}
	for _, o := range opts {
		o(&g.config)
	}
	g.counters = counters{by: map[id.Fingerprint]map[id.Incarnation]total{}, ban: g.ban, limit: g.maxPrints}
	return g
}

// Ask asks whether a request may run; Decided follows.
func (g *Guard) Ask(now time.Time, r id.Request, print id.Fingerprint) []event.Action {
	n, last := g.counters.sum(print, now)
	switch {
	case n == 0:
		return []event.Action{Decided{Request: r, Verdict: Run}}
	case n >= refuseAt:
		return g.refuse(r, last.Add(g.ban).Sub(now), "it crashed servers twice")
	}
	if _, twice := g.asks[r]; twice {
		return nil
	}
	a := &ask{print: print, sent: now}
	if h, ok := g.view.Owner(fmt.Sprintf("crash/%016x", uint64(print)), nil); ok && h.ID != g.self.Node {
		a.holder = h.ID
	}
	g.asks[r] = a
	return g.want(now, r, a)
}

func (g *Guard) want(now time.Time, r id.Request, a *ask) []event.Action {
	a.next = now.Add(resend)
	if a.holder == "" {
		return g.wanted(now, "", RunRequest{Request: r, Print: a.print})
	}
	return []event.Action{event.Send{To: a.holder, Body: RunRequest{Request: r, Print: a.print, Counts: g.list(now, a.print)}}}
}

func (g *Guard) refuse(r id.Request, wait time.Duration, reason string) []event.Action {
	return []event.Action{
		event.Log{Kind: "crash", Request: r, Choice: "refuse", Reason: reason},
		Decided{Request: r, Verdict: Refuse, RetryAfter: wait},
	}
}

// RecordCrash counts a crash; the same end of a server counts once for a fingerprint.
func (g *Guard) RecordCrash(now time.Time, print id.Fingerprint, server id.Server, start id.Start) []event.Action {
	key := crashed{print, server, start}
	if _, twice := g.seen[key]; twice {
		return nil
	}
	if len(g.seen) >= g.maxPrints {
		clear(g.seen) // the ends of so many servers are long past
	}
	g.seen[key] = now
	n := uint64(0)
	if sum, _ := g.counters.sum(print, now); sum > 0 {
		n = g.counters.by[print][g.self.Incarnation].n
	}
	g.counters.merge(print, g.self.Incarnation, total{n: n + 1, at: now}, now)
	out := []event.Action{event.Log{Kind: "crash", Choice: "count", Reason: fmt.Sprintf("server %s start %s print %016x", server, start, uint64(print))}}
	if g.noGossip {
		return out
	}
	for _, peer := range g.peers(now) {
		out = append(out, event.Send{To: peer, Body: Counts{Counts: g.list(now, print)}})
	}
	g.store.dirty = true
	return append(out, g.read()...)
}

// CrashCount returns how many crashes of a fingerprint this node knows.
func (g *Guard) CrashCount(now time.Time, print id.Fingerprint) uint64 {
	n, _ := g.counters.sum(print, now)
	return n
}

// Finish says that a request needs its turn no longer: its attempt has ended, or it was given up.
func (g *Guard) Finish(now time.Time, r id.Request, _ id.Fingerprint) []event.Action {
	a := g.asks[r]
	if a == nil {
		return nil
	}
	delete(g.asks, r)
	if a.holder == "" {
		return g.freed(now, "", r, a.print)
	}
	return []event.Action{event.Send{To: a.holder, Body: Release{Print: a.print, Request: r, Counts: g.list(now, a.print)}}}
}

// given ends the wait of a suspect.
func (g *Guard) given(now time.Time, m RunReply) []event.Action {
	a := g.asks[m.Request]
	if a == nil || a.given {
		return nil
	}
	if m.OK {
		if n, _ := g.counters.sum(a.print, now); n < refuseAt && now.Sub(a.sent) <= g.waitFor {
			a.given, a.next = true, time.Time{}
			// The promises of the other nodes were made after the request was sent, so they last longer.
			until := a.sent.Add(g.hold)
			return []event.Action{
				event.Log{Kind: "crash", Request: m.Request, Choice: "alone", Reason: "it crashed a server once"},
				Decided{Request: m.Request, Verdict: Alone, Until: until},
			}
		}
	}
	out := g.Finish(now, m.Request, a.print)
	wait := max(time.Duration(m.Wait), time.Second)
	if n, last := g.counters.sum(a.print, now); n >= refuseAt {
		wait = last.Add(g.ban).Sub(now)
	}
	return append(out, g.refuse(m.Request, wait, "it crashed a server and cannot run alone now")...)
}

func (g *Guard) list(now time.Time, print id.Fingerprint) []Count {
	if g.noGossip {
		return nil
	}
	return g.counters.list(now, []id.Fingerprint{print})
}

func (g *Guard) take(now time.Time, counts []Count) {
	for _, n := range counts {
		g.counters.merge(n.Print, n.Incarnation, total{n: n.Total, at: now.Add(-time.Duration(n.Age))}, now)
	}
}

// peers returns the other nodes that may run requests. A node that vanished without notice may be cut
// off and still run them, so that it counts until its knowledge of crashes is out of date.
func (g *Guard) peers(now time.Time) []id.Node {
	var out []id.Node
	for _, n := range slices.Sorted(maps.Keys(g.known)) {
		if n != g.self.Node && now.Sub(g.known[n]) < g.ban+g.hold {
			out = append(out, n)
		}
	}
	return out
}

// Step handles an event and the timers that are due.
func (g *Guard) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	if g.began.IsZero() {
		g.began = now
		g.gossipAt = now
		out = g.read()
	}
	switch ev := ev.(type) {
	case member.ViewChanged:
		g.changed(now, ev.View)
	case event.VMs:
		for _, vm := range ev.List {
			if vm.Kind == "entry" && !vm.Leaving {
				g.known[id.Node(vm.Name)] = now
			}
		}
	case event.Receive:
		out = append(out, g.receive(now, ev)...)
	case event.Result:
		if ev.Call.Owner == owner {
			out = append(out, g.result(now, ev)...)
		}
	}
	return append(out, g.timers(now)...)
}

func (g *Guard) changed(now time.Time, v *member.View) {
	if g.view != nil {
		for _, n := range g.view.Nodes {
			g.known[n.ID] = now
			if n.Leaving {
				delete(g.known, n.ID)
			}
		}
	}
	g.view = v
	for _, n := range v.Nodes {
		g.known[n.ID] = now
	}
}

func (g *Guard) receive(now time.Time, ev event.Receive) []event.Action {
	switch m := ev.Body.(type) {
	case Counts:
		g.take(now, m.Counts)
		if m.Pull {
			return []event.Action{event.Send{To: ev.From, Body: Counts{Counts: g.counters.list(now, g.counters.prints())}}}
		}
		g.pulled = true
	case RunRequest:
		g.take(now, m.Counts)
		return g.wanted(now, ev.From, m)
	case RunReply:
		if _, known := g.asks[m.Request]; !known && m.OK {
			// The request was given up; an old message has asked for another turn.
			return []event.Action{event.Send{To: ev.From, Body: Release{Print: m.Print, Request: m.Request}}}
		}
		return g.given(now, m)
	case PromiseRequest:
		g.take(now, m.Counts)
		return g.promise(now, ev, m)
	case PromiseReply:
		return g.held(now, ev.From, m)
	case Release:
		g.take(now, m.Counts)
		if m.Request != "" {
			return g.freed(now, ev.From, m.Request, m.Print)
		}
		if p := g.promises[m.Print]; p.to == ev.Incarnation && p.round == m.Round {
			delete(g.promises, m.Print)
		}
	}
	return nil
}

// Next returns the time of the next timer.
func (g *Guard) Next() time.Time {
	next := g.store.next
	earlier := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if !g.pulled || len(g.counters.by) > 0 || len(g.promises) > 0 {
		earlier(g.gossipAt)
	}
	for _, a := range g.asks {
		earlier(a.next)
	}
	for _, p := range g.posts {
		earlier(p.next())
	}
	return next
}

func (g *Guard) timers(now time.Time) []event.Action {
	var out []event.Action
	if !now.Before(g.gossipAt) {
		out = g.spread(now)
	}
	if !g.store.next.IsZero() && !now.Before(g.store.next) {
		out = append(out, g.read()...)
	}
	for _, r := range g.dueAsks(now) {
		a := g.asks[r]
		switch {
		case a == nil:
		case now.Sub(a.sent) >= g.waitFor:
			out = append(out, g.given(now, RunReply{Request: r, Wait: int64(g.hold)})...)
		default:
			out = append(out, g.want(now, r, a)...)
		}
	}
	if len(g.posts) == 0 {
		return out
	}
	for _, print := range slices.Sorted(maps.Keys(g.posts)) {
		if p := g.posts[print]; p != nil {
			out = append(out, g.overdue(now, print, p)...)
		}
	}
	return out
}

// dueAsks returns the suspects whose timer is due, in a fixed order. Almost always there is none, and the timers are
// looked at in each step.
func (g *Guard) dueAsks(now time.Time) []id.Request {
	var out []id.Request
	for r, a := range g.asks {
		if !a.next.IsZero() && !now.Before(a.next) {
			out = append(out, r)
		}
	}
	slices.Sort(out)
	return out
}

// spread sends the counters to a few nodes, or asks a few for theirs.
func (g *Guard) spread(now time.Time) []event.Action {
	g.gossipAt = now.Add(g.gossip)
	for print := range g.counters.by {
		if n, _ := g.counters.sum(print, now); n == 0 {
			delete(g.counters.by, print)
		}
	}
	for print, p := range g.promises {
		if !now.Before(p.until) {
			delete(g.promises, print)
		}
	}
	counts := g.counters.list(now, g.counters.prints())
	peers := g.peers(now)
	if g.noGossip || len(peers) == 0 || (g.pulled && len(counts) == 0) {
		return nil
	}
	var out []event.Action
	for range g.fanout {
		to := peers[g.self.Rand.IntN(len(peers))]
		out = append(out, event.Send{To: to, Body: Counts{Counts: counts, Pull: !g.pulled}})
	}
	return out
}
