package route

import (
	"slices"
	"strconv"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// Sizes of the comparison.
const (
	sampleSize = 4 // servers sampled in a domain group
	// maxCompareAll is the size up to which all servers of a group are compared.
	maxCompareAll = 16
	// maxProbes bounds the further servers looked at if no sampled one can take the attempt.
	maxProbes = 32
	// busyLoad is the load from which other failure domains are compared too.
	busyLoad = 0.8
	// remotePenalty keeps work in the own domain at about equal load.
	remotePenalty = 0.1
	// prefixWeight is the load that a full prefix hit is worth.
	prefixWeight = 0.5
	// maxPermitRequest bounds the permits that are asked for ahead of demand for one server.
	maxPermitRequest = 8
)

// selection is the state of one decision.
type selection struct {
	now         time.Time
	query       *Query
	best        *server
	bestScore   float64
	byPrefix    *server               // best one by locality
	coldServers [sampleSize]id.Server // cold servers without a permit
	coldCount   int
	usable      int // servers that may be used now or later
}

// Place chooses a server for an attempt and registers the attempt if one was chosen.
func (r *Router) Place(now time.Time, attempt id.Attempt, q Query) (Choice, []event.Action) {
	g := r.group(q.Pool, q.Version)
	if g == nil {
		return r.notPlaced(q, NoServer, "no server of the pool and version")
	}
	if len(q.Exclude) >= len(g.local)+len(g.remote) {
		q.Exclude = nil // nothing else is left
	}
	p := selection{now: now, query: &q}
	r.compareServers(&p, g)
	out := r.requestPermits(&p)
	if p.best == nil {
		if p.usable == 0 {
			c, log := r.notPlaced(q, NoServer, "all servers excluded")
			return c, append(out, log...)
		}
		r.addWaiting(now, q.Pool)
		c, log := r.notPlaced(q, Wait, "no room")
		return c, append(out, log...)
	}
	s := p.best
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
	c := Choice{Decision: Chosen, Server: s.Server, Reason: r.choiceReason(&p)}
	log := event.Log{Kind: "place", Request: q.Request, Stage: q.Stage, Choice: string(s.ID), Reason: c.Reason}
	return c, append(out, log)
}

func (r *Router) notPlaced(q Query, v Decision, reason string) (Choice, []event.Action) {
	if reason == q.LastReason {
		return Choice{Decision: v, Reason: reason}, nil
	}
	choice := "none"
	if v == Wait {
		choice = "wait"
	}
	log := event.Log{Kind: "place", Request: q.Request, Stage: q.Stage, Choice: choice, Reason: reason}
	return Choice{Decision: v, Reason: reason}, []event.Action{log}
}

func (r *Router) addWaiting(now time.Time, pool id.Pool) {
	w, ok := r.waiting[pool]
	if !ok {
		w = &waitingCount{retryAt: now.Add(placeRetryInterval)}
		r.waiting[pool] = w
	}
	w.count++
}

func (r *Router) choiceReason(p *selection) string {
	b := make([]byte, 0, 48)
	if p.best.FailureDomain != r.self.FailureDomain {
		b = append(b, "other domain, "...)
	}
	if p.best == p.byPrefix {
		b = append(b, "prefix, "...)
	}
	b = append(b, "load "...)
	b = strconv.AppendInt(b, int64(p.best.load(p.now)-1), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(r.loadLimit(p.best)), 10)
	return string(b)
}

func (r *Router) compareServers(p *selection, g *group) {
	switch {
	case r.baselines.Has(RoundRobin):
		r.nextRoundRobin(p, g)
		return
	case r.baselines.Has(LeastLoaded):
		first, second := g.local, g.remote
		if r.self.Rand.IntN(2) == 0 {
			first, second = second, first
		}
		r.compareAll(p, first, 0)
		r.compareAll(p, second, 0)
		return
	case r.baselines.Has(TwoChoices):
		for range 2 {
			at := r.self.Rand.IntN(len(g.local) + len(g.remote))
			if at < len(g.local) {
				r.consider(p, g.local[at], 0)
			} else {
				r.consider(p, g.remote[at-len(g.local)], 0)
			}
		}
		return
	}
	r.comparePrefixHolders(p)
	r.comparePermitted(p)
	r.compareSample(p, g.local, sampleSize, 0)
	if p.best == nil || p.bestScore >= busyLoad {
		r.compareSample(p, g.remote, sampleSize, remotePenalty)
	}
}

// comparePrefixHolders looks at the servers that may have the longest known prefix cached.
func (r *Router) comparePrefixHolders(p *selection) {
	if r.baselines.Has(NoLocality) {
		return
	}
	for i := len(p.query.PrefixHashes) - 1; i >= 0; i-- {
		hints := r.prefixes.get(p.query.PrefixHashes[i])
		for _, h := range hints {
			s, ok := r.servers[h.server]
			if !ok || !r.inGroup(s, p.query) {
				continue
			}
			share := float64(i+1) / float64(len(p.query.PrefixHashes))
			r.consider(p, s, r.domainPenalty(s)-prefixWeight*share*h.weight(p.now, s))
		}
		if p.byPrefix = p.best; p.byPrefix != nil {
			return
		}
	}
}

// inGroup reports whether a server that was not found through a group belongs to the query's group.
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

// comparePermitted looks at cold servers for which this node has permits, because permits expire soon.
func (r *Router) comparePermitted(p *selection) {
	list := r.permitted[p.query.Pool]
	kept := list[:0]
	for _, name := range list {
		s, ok := r.servers[name]
		if !ok || r.permits.Warm(name) || r.permits.Available(p.now, name) == 0 {
			continue
		}
		kept = append(kept, name)
		if len(kept) <= sampleSize && r.inGroup(s, p.query) {
			r.consider(p, s, r.domainPenalty(s))
		}
	}
	r.permitted[p.query.Pool] = kept
}

func (r *Router) compareSample(p *selection, list []*server, count int, penalty float64) {
	if len(list) <= maxCompareAll {
		r.compareAll(p, list, penalty)
		return
	}
	before := p.best
	for range count {
		r.consider(p, list[r.self.Rand.IntN(len(list))], penalty)
	}
	if p.best != nil || before != nil {
		return
	}
	at := r.self.Rand.IntN(len(list))
	for i := range min(maxProbes, len(list)) {
		if r.consider(p, list[(at+i)%len(list)], penalty); p.best != nil {
			return
		}
	}
}

func (r *Router) compareAll(p *selection, list []*server, penalty float64) {
	if len(list) == 0 {
		return
	}
	at := r.self.Rand.IntN(len(list)) // equal servers are taken in turn
	for i := range list {
		r.consider(p, list[(at+i)%len(list)], penalty)
	}
}

func (r *Router) nextRoundRobin(p *selection, g *group) {
	n := len(g.local) + len(g.remote)
	for range n {
		r.roundRobinIndex++
		at := r.roundRobinIndex % n
		s := g.remote[max(0, at-len(g.local)):]
		if at < len(g.local) {
			s = g.local[at:]
		}
		if r.consider(p, s[0], 0); p.best != nil {
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

// consider compares one server with the best so far.
func (r *Router) consider(p *selection, s *server, bias float64) {
	if slices.Contains(p.query.Exclude, s.ID) {
		return
	}
	p.usable++
	if s.endedStart != "" && s.endedStart == s.Start {
		return // work that a server gets between its start and its first report cannot be attributed to that start
	}
	if p.now.Before(s.ejectedUntil) || s.exclusive || (p.query.Exclusive && s.inflight > 0) {
		return
	}
	if !r.permits.Warm(s.ID) && r.permits.Available(p.now, s.ID) <= 0 {
		if p.coldCount < sampleSize && !slices.Contains(p.coldServers[:p.coldCount], s.ID) {
			p.coldServers[p.coldCount] = s.ID
			p.coldCount++
		}
		return
	}
	load, limit := s.load(p.now), r.loadLimit(s)
	if limit > 0 && load >= limit {
		return
	}
	score := float64(load+1)/float64(max(1, limit)) + bias
	if !s.unreachableSince.IsZero() {
		score += unreachablePenalty
	}
	if p.best == nil || score < p.bestScore {
		p.best, p.bestScore = s, score
	}
}

// requestPermits asks for permits of the cold servers that were met: one each so that they warm up, more if work waits.
func (r *Router) requestPermits(p *selection) []event.Action {
	var out []event.Action
	count := 1
	if w, ok := r.waiting[p.query.Pool]; ok && p.best == nil {
		count = min(maxPermitRequest, w.count+1)
	}
	for _, name := range p.coldServers[:p.coldCount] {
		out = append(out, r.permits.Request(p.now, name, count)...)
	}
	return out
}
