package proxy

import (
	"net/http"
	"time"

	"bluebellflow/core/balance"
	"bluebellflow/core/catalog"
	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

// target chooses one of a route's pools by weight. A request's name decides, so that the choice can be repeated.
func (g *Gate) target(r *request) id.Pool {
	targets := r.route.Targets
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	if total == 0 {
		return targets[0].Pool
	}
	at := int(uint64(fingerprint(string(r.Name))) % uint64(total))
	for _, t := range targets {
		if at < t.Weight {
			return t.Pool
		}
		at -= t.Weight
	}
	return targets[0].Pool
}

func (g *Gate) query(r *request) balance.Query {
	q := balance.Query{Pool: r.pool.Name, Exclude: r.avoid, StuckAfter: time.Duration(stuckAfter * float64(r.route.LatencyObjective))}
	if r.route.Sticky {
		q.PrefixID = prompt(r.Prompt)
	}
	if r.pool.ColdRate > 0 {
		q.ColdRate = r.pool.ColdRate*g.bounds.ColdOver + g.bounds.ColdSlack
	}
	return q
}

// prompt returns what identifies the last part of a prompt that other requests share.
func prompt(parts []PromptPart) uint64 {
	switch len(parts) {
	case 0:
		return 0
	case 1:
		return parts[0].ID
	}
	return parts[len(parts)-2].ID
}

// pick chooses a server of the versions that may serve the request.
func (g *Gate) pick(now time.Time, r *request) (*fleet.Server, string) {
	choice := g.rollouts.Choose(now, r.pool.Name, fingerprint(string(r.Name)), r.sends > 0)
	q := g.query(r)
	q.Versions = choice
	s, reason := g.balance.Pick(now, q)
	if other, there := choice.Other(); s == nil && there {
		q.Versions = other
		s, reason = g.balance.Pick(now, q)
	}
	if s == nil && len(r.avoid) > 0 && r.ran == 0 {
		r.avoid, q.Exclude = nil, nil // nothing else is left
		q.Versions = choice
		s, reason = g.balance.Pick(now, q)
	}
	return s, reason
}

// observe tells the rollouts how a request went. A stream counts with its first event, and again if it breaks off.
func (g *Gate) observe(now time.Time, r *request, res Result) {
	failed := res.Fail != 0 || res.Status >= http.StatusInternalServerError
	if res.Fail == event.FailUnsent || res.Fail == event.FailRejected || (r.began && !failed && r.route.Kind == catalog.Stream) {
		return
	}
	s := g.sample(r, now.Sub(r.sent))
	s.Failed = failed
	g.rollouts.Observe(now, r.pool.Name, r.version, s)
}

func (g *Gate) sample(r *request, took time.Duration) evidence.Sample {
	return evidence.Sample{Route: id.Pipeline(r.route.Name), Took: took, Load: r.load, Cold: r.cold}
}
