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

// Retries is one node's share of the budget of each pool.
type Retries struct {
	budget Budget
	nodes  int
	pools  map[id.Pool]*pool
}

type pool struct {
	requests, repeats *Window
}

// NewRetries returns the share of one of some nodes.
func NewRetries(b Budget) *Retries {
	return &Retries{budget: b, nodes: 1, pools: map[id.Pool]*pool{}}
}

// SetNodes sets how many nodes share the budget at most.
func (r *Retries) SetNodes(n int) { r.nodes = max(1, n) }

func (r *Retries) pool(name id.Pool) *pool {
	p, ok := r.pools[name]
	if !ok {
		p = &pool{requests: NewWindow(r.budget.Span), repeats: NewWindow(r.budget.Span)}
		r.pools[name] = p
	}
	return p
}

// Request counts a request for a pool.
func (r *Retries) Request(now time.Time, name id.Pool) { r.pool(name).requests.Add(now, 1) }

// Take takes one repeat and reports whether there was one.
func (r *Retries) Take(now time.Time, name id.Pool) bool {
	p := r.pool(name)
	allowed := r.budget.Ratio*p.requests.Least(now) + r.budget.Slack/float64(r.nodes)
	if p.repeats.Sum(now)+1 > allowed {
		return false
	}
	p.repeats.Add(now, 1)
	return true
}
