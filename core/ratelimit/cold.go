package ratelimit

import (
	"time"

	"bluebellflow/core/id"
)

// ColdLimiter limits one node to its share of the requests that cold servers can take.
type ColdLimiter struct{ *ServerLimiter }

// coldSpan is the span over which the requests to a cold server are counted. Its rate is per second; the tenth above it
// covers requests that take unlike times to arrive.
const coldSpan = 1100 * time.Millisecond

// NewColdLimiter returns the limiter of a node; unseen is the number of nodes that may have joined unnoticed.
func NewColdLimiter(self id.Node, unseen int) *ColdLimiter {
	return &ColdLimiter{NewServerLimiter(self, unseen)}
}

// Allows reports whether the node may send one more request to a server that can take rate requests per second. If the
// rate is lower than the number of nodes, only some nodes, chosen by hash, may send one request each.
func (c *ColdLimiter) Allows(now time.Time, server id.Server, rate float64) bool {
	share := c.Share(server, Quota{int(rate), coldSpan})
	return share > 0 && !c.ReadyAt(server, share, coldSpan).After(now)
}
