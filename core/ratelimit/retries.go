package ratelimit

import (
	"time"

	"bluebellflow/core/id"
)

// Budget is the bound on repeated sends to a pool, over all nodes.
type Budget struct {
	Ratio float64       // repeats for each request
	Slack float64       // repeats beyond that
	Span  time.Duration // of the window in which both are counted
}

// RetryLimiter is one node's share of the budget of each pool.
type RetryLimiter struct {
	budget Budget
	nodes  int
	pools  map[id.Pool]*poolWindows
}

type poolWindows struct {
	requests, retries *Window
}

// NewRetryLimiter returns the share of one of some nodes.
func NewRetryLimiter(b Budget) *RetryLimiter {
	return &RetryLimiter{budget: b, nodes: 1, pools: map[id.Pool]*poolWindows{}}
}

// SetNodes sets how many nodes share the budget at most.
func (r *RetryLimiter) SetNodes(n int) { r.nodes = max(1, n) }

func (r *RetryLimiter) pool(name id.Pool) *poolWindows {
	p, ok := r.pools[name]
	if !ok {
		p = &poolWindows{requests: NewWindow(r.budget.Span), retries: NewWindow(r.budget.Span)}
		r.pools[name] = p
	}
	return p
}

// CountRequest counts a request for a pool.
func (r *RetryLimiter) CountRequest(now time.Time, name id.Pool) { r.pool(name).requests.Add(now, 1) }

// Take takes one repeat and reports whether there was one.
func (r *RetryLimiter) Take(now time.Time, name id.Pool) bool {
	p := r.pool(name)
	allowed := r.budget.Ratio*p.requests.LowerBound(now) + r.budget.Slack/float64(r.nodes)
	if p.retries.Sum(now)+1 > allowed {
		return false
	}
	p.retries.Add(now, 1)
	return true
}
