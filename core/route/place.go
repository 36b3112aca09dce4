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
	choices = 4 // servers sampled in a domain group
	// exact is the size up to which all servers of a group are compared.
	exact = 16
	// probes bounds the further servers looked at if no sampled one can take the attempt.
	probes = 32
	// busy is the load from which other failure domains are compared too.
	busy = 0.8
	// farPenalty keeps work in the own domain at about equal load.
	farPenalty = 0.1
	// localityWeight is the load that a full prefix hit is worth.
	localityWeight = 0.5
	// maxAhead bounds the permits that are asked for ahead of demand for one server.
	maxAhead = 8
)

// pick is the state of one decision.
type pick struct {
	now   time.Time
	q     *Query
	best  *server
	score float64
	local *server            // best one by locality
	cold  [choices]id.Server // cold servers without a permit
	colds int
	seen  int // servers that may be used now or later
}

// Place chooses a server for an attempt and registers the attempt if one was chosen.
func (r *Router) Place(now time.Time, attempt id.Attempt, q Query) (Choice, []event.Action) {
	g := r.group(q.Pool, q.Version)
	if g == nil {
		return r.refuse(q, NoServer, "no server of the pool and version")
	}
	if len(q.Exclude) >= len(g.own)+len(g.far) {
		q.Exclude = nil // nothing else is left
	}
	p := pick{now: now, q: &q}
	r.compare(&p, g)
	out := r.askAhead(&p)
	if p.best == nil {
		if p.seen == 0 {
			c, log := r.refuse(q, NoServer, "all servers excluded")
			return c, append(out, log...)
		}
		r.wait(now, q.Pool)
		c, log := r.refuse(q, Wait, "no room")
		return c, append(out, log...)
	}
	s := p.best
	if !r.permits.Warm(s.ID) && !r.permits.Take(now, s.ID, attempt) {
		r.wait(now, q.Pool)
		c, log := r.refuse(q, Wait, "no permit")
		return c, append(out, log...)
	}
	s.add(now, 1)
	s.alone = s.alone || q.Exclusive
	r.attempts[attempt] = placed{s.ID, s.Start, q.Exclusive}
	if len(q.PrefixHashes) > 0 && !r.baseline.Has(NoLocality) {
		r.prefixes.add(q.PrefixHashes[len(q.PrefixHashes)-1], hint{s.ID, s.cacheEpoch, now})
	}
	c := Choice{Decision: Chosen, Server: s.Server, Reason: r.reason(&p)}
	log := event.Log{Kind: "place", Request: q.Request, Stage: q.Stage, Choice: string(s.ID), Reason: c.Reason}
	return c, append(out, log)
}

func (r *Router) refuse(q Query, v Decision, reason string) (Choice, []event.Action) {
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

func (r *Router) wait(now time.Time, pool id.Pool) {
	w, ok := r.waiting[pool]
	if !ok {
		w = &waiting{retry: now.Add(retryRoom)}
		r.waiting[pool] = w
	}
	w.count++
}

func (r *Router) reason(p *pick) string {
	b := make([]byte, 0, 48)
	if p.best.FailureDomain != r.self.FailureDomain {
		b = append(b, "other domain, "...)
	}
	if p.best == p.local {
		b = append(b, "prefix, "...)
	}
	b = append(b, "load "...)
	b = strconv.AppendInt(b, int64(p.best.load(p.now)-1), 10)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(r.limit(p.best)), 10)
	return string(b)
}

func (r *Router) compare(p *pick, g *group) {
	switch {
	case r.baseline.Has(RoundRobin):
		r.roundRobin(p, g)
		return
	case r.baseline.Has(LeastLoaded):
		first, second := g.own, g.far
		if r.self.Rand.IntN(2) == 0 {
			first, second = second, first
		}
		r.all(p, first, 0)
		r.all(p, second, 0)
		return
	case r.baseline.Has(TwoChoices):
		for range 2 {
			at := r.self.Rand.IntN(len(g.own) + len(g.far))
			if at < len(g.own) {
				r.try(p, g.own[at], 0)
			} else {
				r.try(p, g.far[at-len(g.own)], 0)
			}
		}
		return
	}
	r.local(p)
	r.holding(p)
	r.sample(p, g.own, choices, 0)
	if p.best == nil || p.score >= busy {
		r.sample(p, g.far, choices, farPenalty)
	}
}

// local looks at the servers that may have the longest known prefix cached.
func (r *Router) local(p *pick) {
	if r.baseline.Has(NoLocality) {
		return
	}
	for i := len(p.q.PrefixHashes) - 1; i >= 0; i-- {
		hints := r.prefixes.get(p.q.PrefixHashes[i])
		for _, h := range hints {
			s, ok := r.servers[h.server]
			if !ok || !r.member(s, p.q) {
				continue
			}
			share := float64(i+1) / float64(len(p.q.PrefixHashes))
			r.try(p, s, r.penalty(s)-localityWeight*share*h.value(p.now, s))
		}
		if p.local = p.best; p.local != nil {
			return
		}
	}
}

// member reports whether a server that was not found through a group belongs to the query's group.
func (r *Router) member(s *server, q *Query) bool {
	return s.Pool == q.Pool && (q.Version == "" || s.Version == q.Version) &&
		(!s.Leaving || r.noLeaving) && !r.closed.Has(s.FailureDomain)
}

func (r *Router) penalty(s *server) float64 {
	if s.FailureDomain == r.self.FailureDomain {
		return 0
	}
	return farPenalty
}

// holding looks at cold servers for which this node has permits, because permits expire soon.
func (r *Router) holding(p *pick) {
	list := r.granted[p.q.Pool]
	kept := list[:0]
	for _, name := range list {
		s, ok := r.servers[name]
		if !ok || r.permits.Warm(name) || r.permits.Free(p.now, name) == 0 {
			continue
		}
		kept = append(kept, name)
		if len(kept) <= choices && r.member(s, p.q) {
			r.try(p, s, r.penalty(s))
		}
	}
	r.granted[p.q.Pool] = kept
}

func (r *Router) sample(p *pick, list []*server, count int, penalty float64) {
	if len(list) <= exact {
		r.all(p, list, penalty)
		return
	}
	before := p.best
	for range count {
		r.try(p, list[r.self.Rand.IntN(len(list))], penalty)
	}
	if p.best != nil || before != nil {
		return
	}
	at := r.self.Rand.IntN(len(list))
	for i := range min(probes, len(list)) {
		if r.try(p, list[(at+i)%len(list)], penalty); p.best != nil {
			return
		}
	}
}

func (r *Router) all(p *pick, list []*server, penalty float64) {
	if len(list) == 0 {
		return
	}
	at := r.self.Rand.IntN(len(list)) // equal servers are taken in turn
	for i := range list {
		r.try(p, list[(at+i)%len(list)], penalty)
	}
}

func (r *Router) roundRobin(p *pick, g *group) {
	n := len(g.own) + len(g.far)
	for range n {
		r.cursor++
		at := r.cursor % n
		s := g.far[max(0, at-len(g.own)):]
		if at < len(g.own) {
			s = g.own[at:]
		}
		if r.try(p, s[0], 0); p.best != nil {
			return
		}
	}
}

func (r *Router) limit(s *server) int {
	if s.limit > 0 {
		return s.limit
	}
	return r.warm[s.Pool]
}

// try compares one server with the best so far.
func (r *Router) try(p *pick, s *server, bias float64) {
	if slices.Contains(p.q.Exclude, s.ID) {
		return
	}
	p.seen++
	if s.ended != "" && s.ended == s.Start {
		return // work that a server gets between its start and its first report cannot be attributed to that start
	}
	if p.now.Before(s.ejected) || s.alone || (p.q.Exclusive && s.inflight > 0) {
		return
	}
	if !r.permits.Warm(s.ID) && r.permits.Free(p.now, s.ID) <= 0 {
		if p.colds < choices && !slices.Contains(p.cold[:p.colds], s.ID) {
			p.cold[p.colds] = s.ID
			p.colds++
		}
		return
	}
	load, limit := s.load(p.now), r.limit(s)
	if limit > 0 && load >= limit {
		return
	}
	score := float64(load+1)/float64(max(1, limit)) + bias
	if !s.down.IsZero() {
		score += downPenalty
	}
	if p.best == nil || score < p.score {
		p.best, p.score = s, score
	}
}

// askAhead asks for permits of the cold servers that were met: one each so that they warm up, more if work waits.
func (r *Router) askAhead(p *pick) []event.Action {
	var out []event.Action
	count := 1
	if w, ok := r.waiting[p.q.Pool]; ok && p.best == nil {
		count = min(maxAhead, w.count+1)
	}
	for _, name := range p.cold[:p.colds] {
		out = append(out, r.permits.Request(p.now, name, count)...)
	}
	return out
}
