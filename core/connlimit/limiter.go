package connlimit

import (
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/ratelimit"
	"bluebellflow/core/selfreport"
)

const (
	// queuedDivisor divides the limit of a server with a long queue, because such a server accepts fewer connections. How many it
	// accepts is not known.
	queuedDivisor = 2
	// spareDivisor divides the limit. A node may exceed its share of a server without a queue that runs at most that many requests.
	spareDivisor = 4
	// spareFactor is the multiple of its share that a node may use then. At pools of model servers a share is often one or two
	// connections, and several requests with the same prompt prefix at once need more.
	spareFactor = 2
)

// Limiter computes the share of one node.
type Limiter struct{ shares *ratelimit.ServerLimiter }

// New returns the limiter of a node; unseen is the number of nodes that may have joined unnoticed.
func New(self id.Node, unseen int) *Limiter {
	return &Limiter{shares: ratelimit.NewServerLimiter(self, unseen)}
}

// SetNodes sets the names of all known nodes, including this one.
func (l *Limiter) SetNodes(nodes []id.Node) { l.shares.SetNodes(nodes) }

// Next returns zero, for no timer.
func (l *Limiter) Next() time.Time { return time.Time{} }

// Step handles one event.
func (l *Limiter) Step(_ time.Time, ev event.Event) []event.Action {
	if removed, ok := ev.(fleet.ServerRemoved); ok {
		l.shares.Forget(removed.Server.ID)
	}
	return nil
}

// share returns this node's part of a number of connections to a server. What does not divide evenly goes to the nodes that
// come first in the server's order.
func (l *Limiter) share(server id.Server, conns int) int {
	return l.shares.Share(server, ratelimit.Quota{Requests: conns})
}

// Limit returns the limit for this node's connections to a server that accepts maxConns from all nodes together, or no limit
// if maxConns is 0. It is at least one connection.
func (l *Limiter) Limit(server id.Server, maxConns int) Limit {
	if maxConns <= 0 {
		return Limit{}
	}
	return Limit{Conns: max(1, l.share(server, maxConns))}
}

// maxInUse returns how many connections this node may use at a server that has reported the given load, nil for none lately.
func (l *Limiter) maxInUse(server id.Server, maxConns int, load *selfreport.Load) int {
	share := l.Limit(server, maxConns).Conns
	switch {
	case load == nil:
		return share
	case load.Waiting > load.Slots:
		return l.share(server, maxConns/queuedDivisor)
	case load.Waiting == 0 && load.Running <= maxConns/spareDivisor:
		return spareFactor * share
	}
	return share
}

// Check checks the servers of a pool for one request.
type Check struct {
	limiter  *Limiter
	maxConns int
	excluded int
}

// Check returns a check of servers that accept maxConns connections each from all nodes together, 0 for no limit.
func (l *Limiter) Check(maxConns int) *Check { return &Check{limiter: l, maxConns: maxConns} }

// Allows reports whether this node may use another connection to a server. Idle connections do not count, because they are
// closed first. The load is what the server reported lately, nil for nothing.
func (c *Check) Allows(server id.Server, inUse int, load *selfreport.Load) bool {
	if c.maxConns <= 0 || inUse < c.limiter.maxInUse(server, c.maxConns, load) {
		return true
	}
	c.excluded++
	return false
}

// Excluded returns how often a server was not allowed.
func (c *Check) Excluded() int { return c.excluded }
