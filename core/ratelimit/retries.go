package ratelimit

import (
	"time"

	"bluebellflow/core/id"
)

// Budget limits the retries to a pool over all nodes.
type Budget struct {
	Ratio float64       // retries per request
	Slack float64       // retries allowed on top of the ratio
	Span  time.Duration // window in which requests and retries are counted
}

// RetryLimiter limits one node to its share of the retry budget of each pool.
type RetryLimiter struct {
	budget Budget
	nodes  int
	pools  map[id.Pool]*poolWindows
}

type poolWindows struct {
	requests, retries *Window
}

// NewRetryLimiter returns the limiter of a single node. SetNodes sets how many nodes share the budget.
func NewRetryLimiter(b Budget) *RetryLimiter {
	return &RetryLimiter{budget: b, nodes: 1, pools: map[id.Pool]*poolWindows{}}
}

// SetNodes sets the maximum number of nodes that share the budget.
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

// Take takes one retry from the budget and reports whether one was left.
func (r *RetryLimiter) Take(now time.Time, name id.Pool) bool {
	p := r.pool(name)
	allowed := r.budget.Ratio*p.requests.LowerBound(now) + r.budget.Slack/float64(r.nodes)
	if p.retries.Sum(now)+1 > allowed {
		return false
	}
	p.retries.Add(now, 1)
	return true
}
