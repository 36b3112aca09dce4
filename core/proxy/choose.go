package proxy

import (
	"fmt"
	"net/http"
	"time"

	"bluebellflow/core/balance"
	"bluebellflow/core/catalog"
	"bluebellflow/core/cost"
	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

// choosePool chooses one of a route's pools by weight. The choice is a hash of the request's name, so that it is
// repeatable.
func (g *Gateway) choosePool(r *request) id.Pool {
	targets := r.route.Targets
	total := 0
	for _, t := range targets {
		total += t.Weight
	}
	if total == 0 {
		return targets[0].Pool
	}
	point := int(uint64(fingerprint(string(r.Name))) % uint64(total))
	for _, t := range targets {
		if point < t.Weight {
			return t.Pool
		}
		point -= t.Weight
	}
	return targets[0].Pool
}

func (g *Gateway) serverQuery(now time.Time, r *request) balance.Query {
	q := balance.Query{Pool: r.pool.Name, Exclude: r.avoid, StuckAfter: time.Duration(stuckFactor * float64(r.route.LatencyObjective))}
	q.Request = sizeOf(now, r)
	if r.pool.ColdRate > 0 {
		q.ColdRate = r.pool.ColdRate*g.bounds.ColdRateFactor + g.bounds.ColdRateSlack
	}
	return q
}

// sizeOf describes the work of a request. Only servers of a sticky route have prompt parts cached.
func sizeOf(now time.Time, r *request) *cost.Request {
	out := &cost.Request{
		Route: r.route.Name, Workspace: r.workspace, Prompt: r.In, Output: r.Out, Hint: r.Hint, Stream: r.route.Kind == catalog.Stream,
		Objective: r.objectiveAt.Sub(now), Deadline: r.deadline.Sub(now),
	}
	if r.route.Sticky {
		out.Shared, out.Single = sharedParts(r.Prompt), len(r.Prompt) == 1
	}
	return out
}

// sharedParts returns the prompt parts that other requests may share: all but the last one, or the only one.
func sharedParts(parts []PromptPart) []cost.Part {
	var out []cost.Part
	for _, p := range parts[:min(len(parts), max(1, len(parts)-1))] {
		out = append(out, cost.Part(p))
	}
	return out
}

// pickServer chooses a server among the versions that the rollout allows for the request. If there is none, it tries the
// other version, then the servers that were tried before.
func (g *Gateway) pickServer(now time.Time, r *request) (*fleet.Server, string) {
	choice := g.rollouts.Choose(now, r.pool.Name, fingerprint(string(r.Name)), r.sends > 0)
	q := g.serverQuery(now, r)
	r.connCheck = g.connLimits.Check(r.pool.MaxConns)
	q.Versions, q.Conns = choice, r.connCheck
	s, reason := g.balancer.Pick(now, q)
	if other, ok := choice.Fallback(); s == nil && ok {
		q.Versions = other
		s, reason = g.balancer.Pick(now, q)
	}
	if s == nil && len(r.avoid) > 0 && r.runs == 0 {
		r.avoid, q.Exclude = nil, nil // no server is left that was not tried
		q.Versions = choice
		s, reason = g.balancer.Pick(now, q)
	}
	return s, reason
}

// reportOutcome passes the outcome of a request to the rollouts. Each response that is no success counts as a failure: what
// callers do wrong fails at both versions. A stream counts at its first event, and again if it fails later.
func (g *Gateway) reportOutcome(now time.Time, r *request, res Result) {
	s := g.sample(r, now.Sub(r.sent))
	s.Rejected = res.Fail == event.FailRejected
	s.Failed = !s.Rejected && (res.Fail != 0 || res.Status >= http.StatusMultipleChoices)
	switch {
	case res.Fail == event.FailUnsent:
		return
	case s.Rejected && !g.unexplained(now, r, res):
		return
	case r.began && !s.Failed && r.route.Kind == catalog.Stream:
		return
	}
	g.rollouts.Observe(now, r.pool.Name, r.version, s)
}

// unexplained reports whether nothing shows that a server had to reject a request: it says neither that it leaves nor that it
// is full, and its version does not get more than the other one.
func (g *Gateway) unexplained(now time.Time, r *request, res Result) bool {
	switch {
	case res.Leaving:
		return false
	case res.LoadKnown:
		return !res.Load.Full()
	}
	return g.rollouts.SimilarLoad(now, r.pool.Name)
}

func (g *Gateway) sample(r *request, took time.Duration) evidence.Sample {
	return evidence.Sample{Route: id.Pipeline(r.route.Name), Took: took, Load: r.load, Cold: r.cold}
}

// observeReport records what a server said of itself in a response that has ended, unless it was recorded at its begin. A
// report of a different server at the address is ignored.
func (g *Gateway) observeReport(now time.Time, r *request, res Result, out *actions) {
	if r.began || res.Status == 0 || res.Moved {
		return
	}
	out.add(g.reports.Observe(now, r.process(), r.sent, res.Report)...)
	g.observeLoad(r, res.Report)
}

func outcomeName(res Result) string {
	if res.Fail == 0 {
		return fmt.Sprint(res.Status)
	}
	names := map[event.FailKind]string{
		event.FailUnsent: "unsent", event.FailBroken: "broken", event.FailTimeout: "timeout",
		event.FailRejected: "rejected", event.FailError: "error",
	}
	return names[res.Fail]
}
