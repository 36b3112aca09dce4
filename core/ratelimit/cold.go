package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/id"
)

// ColdLimiter limits one node to its share of the requests that cold servers can take.
type ColdLimiter struct {
	self    id.Node
	nodes   []id.Node
	unseen  int // number of nodes that may have joined unnoticed
	servers map[id.Server]*Window
}

// coldWindow is the span over which the requests to a cold server are counted.
const coldWindow = time.Second

// NewColdLimiter returns the limiter of a node; unseen is the number of nodes that may have joined unnoticed.
func NewColdLimiter(self id.Node, unseen int) *ColdLimiter {
	return &ColdLimiter{self: self, unseen: unseen, servers: map[id.Server]*Window{}}
}

// SetNodes sets the names of all known nodes, including this one.
func (c *ColdLimiter) SetNodes(nodes []id.Node) { c.nodes = nodes }

// Allows reports whether the node may send one more request to a server that can take rate requests per second. If the
// rate is lower than the number of nodes, only some nodes, chosen by hash, may send one request each.
func (c *ColdLimiter) Allows(now time.Time, server id.Server, rate float64) bool {
	share := int(rate) / (len(c.nodes) + c.unseen)
	if share == 0 && c.rank(server)+c.unseen < int(rate) {
		share = 1
	}
	w, ok := c.servers[server]
	if !ok {
		return share > 0
	}
	return int(w.Sum(now))+1 <= share
}

// Take counts a request to a cold server.
func (c *ColdLimiter) Take(now time.Time, server id.Server) {
	w, ok := c.servers[server]
	if !ok {
		w = NewWindow(coldWindow)
		c.servers[server] = w
	}
	w.Add(now, 1)
}

// Forget drops the count of a server.
func (c *ColdLimiter) Forget(server id.Server) { delete(c.servers, server) }

// rank returns this node's position among all nodes in the hash order of a server.
func (c *ColdLimiter) rank(server id.Server) int {
	hash := func(n id.Node) uint64 { return xxhash.Sum64String(string(n) + "/" + string(server)) }
	own := hash(c.self)
	return len(slices.Collect(func(yield func(id.Node) bool) {
		for _, n := range c.nodes {
			if n != c.self && cmp.Less(hash(n), own) && !yield(n) {
				return
			}
		}
	}))
}
