package route

import (
	"slices"
	"strconv"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// Limits and weights of the server comparison.
const (
	sampleSize = 4 // servers sampled from the local group and from the remote one
	// maxCompareAll is the group size up to which all servers are compared instead of a sample.
	maxCompareAll = 16
	// maxProbes bounds the further servers tried if no sampled one can take the attempt.
	maxProbes = 32
	// busyScore is the best server's score from which other failure domains are compared too.
	busyScore = 0.8
	// remotePenalty is added to the load of servers in other failure domains, so that work stays local at equal load.
	remotePenalty = 0.1
	// prefixWeight is subtracted from the load of a server that has the whole prefix cached.
	prefixWeight = 0.5
	// maxPermitRequest bounds the permits that are requested for one server ahead of demand.
	maxPermitRequest = 8
)

// selection is the state of one placement.
type selection struct {
	now         time.Time
	query       *Query
	best        *server
	bestScore   float64
	byPrefix    *server               // best server found through prefix hints
	coldServers [sampleSize]id.Server // cold servers for which this node has no permit
	coldCount   int
	usable      int // servers that may be used, now or later
}

// Place chooses a server for an attempt and, if there is one, counts the attempt as in flight on it.
func (r *Router) Place(now time.Time, attempt id.Attempt, q Query) (Choice, []event.Action) {
	g := r.group(q.Pool, q.Version)
	if g == nil {
		return r.notPlaced(q, NoServer, "no server of the pool and version")
	}
	if len(q.Exclude) >= len(g.local)+len(g.remote) {
		q.Exclude = nil // no other server is left
	}
	sel := selection{now: now, query: &q}
	r.compareServers(&sel, g)
	out := r.requestPermits(&sel)
	if sel.best == nil {
		if sel.usable == 0 {
			c, log := r.notPlaced(q, NoServer, "all servers excluded")
			return c, append(out, log...)
		}
		r.addWaiting(now, q.Pool)
		c, log := r.notPlaced(q, Wait, "no room")
		return c, append(out, log...)
	}
	s := sel.best
	if !r.permits.Warm(s.ID) && !r.permits.Take(now, s.ID, attempt) {
		r.addWaiting(now, q.Pool)
		c, log := r.notPlaced(q, Wait, "no permit")
		return c, append(out, log...)
	}
	s.addInFlight(now, 1)
	s.exclusive = s.exclusive || q.Exclusive
	r.attempts[attempt] = placement{s.ID, s.Start, q.Exclusive}
	if len(q.PrefixHashes) > 0 && !r.baselines.Has(NoLocality) {
		r.prefixes.add(q.PrefixHashes[len(q.PrefixHashes)-1], cacheHint{s.ID, s.cacheEpoch, now})
	}
	c := Choice{Decision: Chosen, Server: s.Server, Reason: r.choiceReason(&sel)}
	log := event.Log{Kind: "place", Request: q.Request, Stage: q.Stage, Choice: string(s.ID), Reason: c.Reason}
	return c, append(out, log)
}

// notPlaced returns a Choice without a server and logs the reason, unless it is the one that was logged last.
func (r *Router) notPlaced(q Query, d Decision, reason string) (Choice, []event.Action) {
	if reason == q.LastReason {
		return Choice{Decision: d, Reason: reason}, nil
	}
	choice := "none"
	if d == Wait {
		choice = "wait"
	}
	log := event.Log{Kind: "place", Request: q.Request, Stage: q.Stage, Choice: choice, Reason: reason}
	return Choice{Decision: d, Reason: reason}, []event.Action{log}
}

func (r *Router) addWaiting(now time.Time, pool id.Pool) {
	w, ok := r.waiting[pool]
	if !ok {
		w = &waitingCount{retryAt: now.Add(placeRetryInterval)}
		r.waiting[pool] = w
	}
	w.count++
}

// choiceReason describes the chosen server for the log.
func (r *Router) choiceReason(sel *selection) string {
	b := make([]byte, 0, 48)
	if sel.best.FailureDomain != r.self.FailureDomain {
		b = append(b, "other domain, "...)
	}
	if sel.best == sel.byPrefix {
		b = append(b, "prefix, "...)
	}
	b = append(b, "load "...)
	b = strconv.AppendInt(b, int64(sel.best.load(sel.now)-1), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(r.loadLimit(sel.best)), 10)
	return string(b)
}

func (r *Router) compareServers(sel *selection, g *group) {
	switch {
	case r.baselines.Has(RoundRobin):
		r.nextRoundRobin(sel, g)
		return
	case r.baselines.Has(LeastLoaded):
		first, second := g.local, g.remote
		if r.self.Rand.IntN(2) == 0 {
			first, second = second, first
		}
		r.compareAll(sel, first, 0)
		r.compareAll(sel, second, 0)
		return
	case r.baselines.Has(TwoChoices):
		for range 2 {
			i := r.self.Rand.IntN(len(g.local) + len(g.remote))
			if i < len(g.local) {
				r.consider(sel, g.local[i], 0)
			} else {
				r.consider(sel, g.remote[i-len(g.local)], 0)
			}
		}
		return
	}
	r.comparePrefixHolders(sel)
	r.comparePermitted(sel)
	r.compareSample(sel, g.local, sampleSize, 0)
	if sel.best == nil || sel.bestScore >= busyScore {
		r.compareSample(sel, g.remote, sampleSize, remotePenalty)
	}
}

// comparePrefixHolders compares the servers that may have the longest known prefix of the prompt cached.
func (r *Router) comparePrefixHolders(sel *selection) {
	if r.baselines.Has(NoLocality) {
		return
	}
	for i := len(sel.query.PrefixHashes) - 1; i >= 0; i-- {
		hints := r.prefixes.get(sel.query.PrefixHashes[i])
		for _, h := range hints {
			s, ok := r.servers[h.server]
			if !ok || !r.inGroup(s, sel.query) {
				continue
			}
			share := float64(i+1) / float64(len(sel.query.PrefixHashes))
			r.consider(sel, s, r.domainPenalty(s)-prefixWeight*share*h.weight(sel.now, s))
		}
		if sel.byPrefix = sel.best; sel.byPrefix != nil {
			return
		}
	}
}

// inGroup reports whether a server that was found through a hint or a permit belongs to the query's group.
func (r *Router) inGroup(s *server, q *Query) bool {
	return s.Pool == q.Pool && (q.Version == "" || s.Version == q.Version) &&
		(!s.Leaving || r.noLeavingMarkers) && !r.closedDomains.Has(s.FailureDomain)
}

func (r *Router) domainPenalty(s *server) float64 {
	if s.FailureDomain == r.self.FailureDomain {
		return 0
	}
	return remotePenalty
}

// comparePermitted compares cold servers for which this node has permits, because permits expire soon.
func (r *Router) comparePermitted(sel *selection) {
	list := r.permitted[sel.query.Pool]
	kept := list[:0]
	for _, name := range list {
		s, ok := r.servers[name]
		if !ok || r.permits.Warm(name) || r.permits.Available(sel.now, name) == 0 {
			continue
		}
		kept = append(kept, name)
		if len(kept) <= sampleSize && r.inGroup(s, sel.query) {
			r.consider(sel, s, r.domainPenalty(s))
		}
	}
	r.permitted[sel.query.Pool] = kept
}

// compareSample compares count random servers of a list, or all if there are few. If there is no candidate after that, it
// tries up to maxProbes more.
func (r *Router) compareSample(sel *selection, list []*server, count int, penalty float64) {
	if len(list) <= maxCompareAll {
		r.compareAll(sel, list, penalty)
		return
	}
	before := sel.best
	for range count {
		r.consider(sel, list[r.self.Rand.IntN(len(list))], penalty)
	}
	if sel.best != nil || before != nil {
		return
	}
	start := r.self.Rand.IntN(len(list))
	for i := range min(maxProbes, len(list)) {
		if r.consider(sel, list[(start+i)%len(list)], penalty); sel.best != nil {
			return
		}
	}
}

func (r *Router) compareAll(sel *selection, list []*server, penalty float64) {
	if len(list) == 0 {
		return
	}
	start := r.self.Rand.IntN(len(list)) // spreads work over servers with equal scores
	for i := range list {
		r.consider(sel, list[(start+i)%len(list)], penalty)
	}
}

func (r *Router) nextRoundRobin(sel *selection, g *group) {
	n := len(g.local) + len(g.remote)
	for range n {
		r.roundRobinIndex++
		i := r.roundRobinIndex % n
		list := g.remote[max(0, i-len(g.local)):]
		if i < len(g.local) {
			list = g.local[i:]
		}
		if r.consider(sel, list[0], 0); sel.best != nil {
			return
		}
	}
}

func (r *Router) loadLimit(s *server) int {
	if s.limit > 0 {
		return s.limit
	}
	return r.warmLimits[s.Pool]
}

// consider makes a server the best one if it can take the attempt and has the lowest score. The score is its load as a
// share of its limit, plus bias.
func (r *Router) consider(sel *selection, s *server, bias float64) {
	if slices.Contains(sel.query.Exclude, s.ID) {
		return
	}
	sel.usable++
	if s.endedStart != "" && s.endedStart == s.Start {
		return // work sent between a server's start and its first report cannot be attributed to that start
	}
	if sel.now.Before(s.ejectedUntil) || s.exclusive || (sel.query.Exclusive && s.inFlight > 0) {
		return
	}
	if !r.permits.Warm(s.ID) && r.permits.Available(sel.now, s.ID) <= 0 {
		if sel.coldCount < sampleSize && !slices.Contains(sel.coldServers[:sel.coldCount], s.ID) {
			sel.coldServers[sel.coldCount] = s.ID
			sel.coldCount++
		}
		return
	}
	load, limit := s.load(sel.now), r.loadLimit(s)
	if limit > 0 && load >= limit {
		return
	}
	score := float64(load+1)/float64(max(1, limit)) + bias
	if !s.unreachableSince.IsZero() {
		score += unreachablePenalty
	}
	if sel.best == nil || score < sel.bestScore {
		sel.best, sel.bestScore = s, score
	}
}

// requestPermits requests permits for the cold servers that were considered: one each so that they warm up, more if work
// waits.
func (r *Router) requestPermits(sel *selection) []event.Action {
	var out []event.Action
	count := 1
	if w, ok := r.waiting[sel.query.Pool]; ok && sel.best == nil {
		count = min(maxPermitRequest, w.count+1)
	}
	for _, name := range sel.coldServers[:sel.coldCount] {
		out = append(out, r.permits.Request(sel.now, name, count)...)
	}
	return out
}
