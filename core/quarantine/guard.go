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
	owner              = "crash"
	objectName         = "crashes"
	resendInterval     = 500 * time.Millisecond // messages may be lost
	storeRetryInterval = 2 * time.Second
)

// Guard counts the crashes that requests cause and decides whether a request of this node may run.
type Guard struct {
	config
	self           event.Self
	view           *member.View
	lastSeen       map[id.Node]time.Time // when a node was last in the VM list or in the view
	startedAt      time.Time
	counters       counters
	countedCrashes map[crashID]time.Time
	suspects       map[id.Request]*suspect
	coordinations  map[id.Fingerprint]*coordination
	promises       map[id.Fingerprint]promise
	lastRound      uint64
	nextGossip     time.Time
	pulled         bool // a peer has sent its counters
	store          store
}

// crashID identifies one crash of a server process, so that it counts once per fingerprint.
type crashID struct {
	fingerprint id.Fingerprint
	server      id.Server
	start       id.Start
}

// suspect is a request of this node whose fingerprint has one crash. It waits for its turn to run alone, or has it.
type suspect struct {
	fingerprint id.Fingerprint
	coordinator id.Node // empty for this node
	since       time.Time
	nextTimer   time.Time
	granted     bool
}

// New returns the guard of one process.
func New(self event.Self, opts ...Option) *Guard {
	g := &Guard{
		config: defaults(), self: self, lastSeen: map[id.Node]time.Time{}, countedCrashes: map[crashID]time.Time{},
		suspects: map[id.Request]*suspect{}, coordinations: map[id.Fingerprint]*coordination{}, promises: map[id.Fingerprint]promise{},
	}
	for _, o := range opts {
		o(&g.config)
	}
	g.counters = counters{counts: map[id.Fingerprint]map[id.Incarnation]counter{}, banDuration: g.banDuration, maxFingerprints: g.maxFingerprints}
	return g
}

// Ask asks whether a request may run; Decided follows.
func (g *Guard) Ask(now time.Time, r id.Request, fp id.Fingerprint) []event.Action {
	n, last := g.counters.sum(fp, now)
	switch {
	case n == 0:
		return []event.Action{Decided{Request: r, Verdict: Run}}
	case n >= crashThreshold:
		return g.refuse(r, last.Add(g.banDuration).Sub(now), "the request has crashed servers twice")
	}
	if _, duplicate := g.suspects[r]; duplicate {
		return nil
	}
	s := &suspect{fingerprint: fp, since: now}
	if h, ok := g.view.Owner(fmt.Sprintf("crash/%016x", uint64(fp)), nil); ok && h.ID != g.self.Node {
		s.coordinator = h.ID
	}
	g.suspects[r] = s
	return g.requestRun(now, r, s)
}

func (g *Guard) requestRun(now time.Time, r id.Request, s *suspect) []event.Action {
	s.nextTimer = now.Add(resendInterval)
	if s.coordinator == "" {
		return g.handleRunRequest(now, "", RunRequest{Request: r, Print: s.fingerprint})
	}
	return []event.Action{event.Send{To: s.coordinator, Body: RunRequest{Request: r, Print: s.fingerprint, Counts: g.countsOf(now, s.fingerprint)}}}
}

func (g *Guard) refuse(r id.Request, wait time.Duration, reason string) []event.Action {
	return []event.Action{
		event.Log{Kind: "crash", Request: r, Choice: "refuse", Reason: reason},
		Decided{Request: r, Verdict: Refuse, RetryAfter: wait},
	}
}

// RecordCrash counts a crash. The crash of one server process counts once per fingerprint.
func (g *Guard) RecordCrash(now time.Time, fp id.Fingerprint, server id.Server, start id.Start) []event.Action {
	key := crashID{fp, server, start}
	if _, duplicate := g.countedCrashes[key]; duplicate {
		return nil
	}
	if len(g.countedCrashes) >= g.maxFingerprints {
		clear(g.countedCrashes) // crashes that far back are not reported again
	}
	g.countedCrashes[key] = now
	n := uint64(0)
	if sum, _ := g.counters.sum(fp, now); sum > 0 {
		n = g.counters.counts[fp][g.self.Incarnation].n
	}
	g.counters.merge(fp, g.self.Incarnation, counter{n: n + 1, changedAt: now}, now)
	out := []event.Action{event.Log{Kind: "crash", Choice: "count", Reason: fmt.Sprintf("server %s start %s fingerprint %016x", server, start, uint64(fp))}}
	if g.noGossip {
		return out
	}
	for _, peer := range g.peers(now) {
		out = append(out, event.Send{To: peer, Body: Counts{Counts: g.countsOf(now, fp)}})
	}
	g.store.dirty = true
	return append(out, g.readStore()...)
}

// CrashCount returns the number of crashes of a fingerprint that this node knows of.
func (g *Guard) CrashCount(now time.Time, fp id.Fingerprint) uint64 {
	n, _ := g.counters.sum(fp, now)
	return n
}

// Finish releases the turn of a request whose attempt has ended or that was given up.
func (g *Guard) Finish(now time.Time, r id.Request, _ id.Fingerprint) []event.Action {
	s := g.suspects[r]
	if s == nil {
		return nil
	}
	delete(g.suspects, r)
	if s.coordinator == "" {
		return g.handleRelease(now, "", r, s.fingerprint)
	}
	return []event.Action{event.Send{To: s.coordinator, Body: Release{Print: s.fingerprint, Request: r, Counts: g.countsOf(now, s.fingerprint)}}}
}

// handleRunReply handles the coordinator's answer about a suspect.
func (g *Guard) handleRunReply(now time.Time, m RunReply) []event.Action {
	s := g.suspects[m.Request]
	if s == nil || s.granted {
		return nil
	}
	if m.OK {
		if n, _ := g.counters.sum(s.fingerprint, now); n < crashThreshold && now.Sub(s.since) <= g.maxWait {
			s.granted, s.nextTimer = true, time.Time{}
			// The other nodes made their promises after the request was sent, so the promises outlast this time.
			until := s.since.Add(g.promiseDuration)
			return []event.Action{
				event.Log{Kind: "crash", Request: m.Request, Choice: "alone", Reason: "the request has crashed a server once"},
				Decided{Request: m.Request, Verdict: Alone, Until: until},
			}
		}
	}
	out := g.Finish(now, m.Request, s.fingerprint)
	wait := max(time.Duration(m.Wait), time.Second)
	if n, last := g.counters.sum(s.fingerprint, now); n >= crashThreshold {
		wait = last.Add(g.banDuration).Sub(now)
	}
	return append(out, g.refuse(m.Request, wait, "the request has crashed a server and cannot run alone now")...)
}

func (g *Guard) countsOf(now time.Time, fp id.Fingerprint) []Count {
	if g.noGossip {
		return nil
	}
	return g.counters.list(now, []id.Fingerprint{fp})
}

func (g *Guard) mergeCounts(now time.Time, counts []Count) {
	for _, n := range counts {
		g.counters.merge(n.Print, n.Incarnation, counter{n: n.Total, changedAt: now.Add(-time.Duration(n.Age))}, now)
	}
}

// peers returns the other nodes that may run requests. A node that disappeared without leaving may be partitioned and
// still run requests, so it counts until the crashes that it knows of have expired.
func (g *Guard) peers(now time.Time) []id.Node {
	var out []id.Node
	for _, n := range slices.Sorted(maps.Keys(g.lastSeen)) {
		if n != g.self.Node && now.Sub(g.lastSeen[n]) < g.banDuration+g.promiseDuration {
			out = append(out, n)
		}
	}
	return out
}

// Step handles an event and the timers that are due.
func (g *Guard) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	if g.startedAt.IsZero() {
		g.startedAt = now
		g.nextGossip = now
		out = g.readStore()
	}
	switch ev := ev.(type) {
	case member.ViewChanged:
		g.handleView(now, ev.View)
	case event.VMList:
		for _, vm := range ev.List {
			if vm.Kind == "entry" && !vm.Leaving {
				g.lastSeen[id.Node(vm.Name)] = now
			}
		}
	case event.Receive:
		out = append(out, g.handleMessage(now, ev)...)
	case event.PlatformResult:
		if ev.Call.Owner == owner {
			out = append(out, g.handleResult(now, ev)...)
		}
	}
	return append(out, g.runTimers(now)...)
}

func (g *Guard) handleView(now time.Time, v *member.View) {
	if g.view != nil {
		for _, n := range g.view.Nodes {
			g.lastSeen[n.ID] = now
			if n.Leaving {
				delete(g.lastSeen, n.ID)
			}
		}
	}
	g.view = v
	for _, n := range v.Nodes {
		g.lastSeen[n.ID] = now
	}
}

func (g *Guard) handleMessage(now time.Time, ev event.Receive) []event.Action {
	switch m := ev.Body.(type) {
	case Counts:
		g.mergeCounts(now, m.Counts)
		if m.Pull {
			return []event.Action{event.Send{To: ev.From, Body: Counts{Counts: g.counters.list(now, g.counters.fingerprints())}}}
		}
		g.pulled = true
	case RunRequest:
		g.mergeCounts(now, m.Counts)
		return g.handleRunRequest(now, ev.From, m)
	case RunReply:
		if _, known := g.suspects[m.Request]; !known && m.OK {
			// The request was given up, but a delayed message has asked for another turn.
			return []event.Action{event.Send{To: ev.From, Body: Release{Print: m.Print, Request: m.Request}}}
		}
		return g.handleRunReply(now, m)
	case PromiseRequest:
		g.mergeCounts(now, m.Counts)
		return g.handlePromiseRequest(now, ev, m)
	case PromiseReply:
		return g.handlePromiseReply(now, ev.From, m)
	case Release:
		g.mergeCounts(now, m.Counts)
		if m.Request != "" {
			return g.handleRelease(now, ev.From, m.Request, m.Print)
		}
		if p := g.promises[m.Print]; p.to == ev.Incarnation && p.round == m.Round {
			delete(g.promises, m.Print)
		}
	}
	return nil
}

// Next returns the time of the next timer.
func (g *Guard) Next() time.Time {
	next := g.store.nextRead
	earlier := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if !g.pulled || len(g.counters.counts) > 0 || len(g.promises) > 0 {
		earlier(g.nextGossip)
	}
	for _, s := range g.suspects {
		earlier(s.nextTimer)
	}
	for _, c := range g.coordinations {
		earlier(c.deadline())
	}
	return next
}

func (g *Guard) runTimers(now time.Time) []event.Action {
	var out []event.Action
	if !now.Before(g.nextGossip) {
		out = g.gossipCounts(now)
	}
	if !g.store.nextRead.IsZero() && !now.Before(g.store.nextRead) {
		out = append(out, g.readStore()...)
	}
	for _, r := range g.dueSuspects(now) {
		s := g.suspects[r]
		switch {
		case s == nil:
		case now.Sub(s.since) >= g.maxWait:
			out = append(out, g.handleRunReply(now, RunReply{Request: r, Wait: int64(g.promiseDuration)})...)
		default:
			out = append(out, g.requestRun(now, r, s)...)
		}
	}
	if len(g.coordinations) == 0 {
		return out
	}
	for _, fp := range slices.Sorted(maps.Keys(g.coordinations)) {
		if c := g.coordinations[fp]; c != nil {
			out = append(out, g.handleTimeout(now, fp, c)...)
		}
	}
	return out
}

// dueSuspects returns the suspects whose timer is due, in a fixed order. It sorts only these, because it runs in each step
// and almost always returns none.
func (g *Guard) dueSuspects(now time.Time) []id.Request {
	var out []id.Request
	for r, s := range g.suspects {
		if !s.nextTimer.IsZero() && !now.Before(s.nextTimer) {
			out = append(out, r)
		}
	}
	slices.Sort(out)
	return out
}

// gossipCounts drops expired counters and promises and sends the counters to random peers. Until a peer has sent its
// counters, it also asks for them.
func (g *Guard) gossipCounts(now time.Time) []event.Action {
	g.nextGossip = now.Add(g.gossipInterval)
	for fp := range g.counters.counts {
		if n, _ := g.counters.sum(fp, now); n == 0 {
			delete(g.counters.counts, fp)
		}
	}
	for fp, p := range g.promises {
		if !now.Before(p.until) {
			delete(g.promises, fp)
		}
	}
	counts := g.counters.list(now, g.counters.fingerprints())
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
