package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/id"
)

// ColdLimiter is one node's share of the requests that cold servers bear.
type ColdLimiter struct {
	self    id.Node
	nodes   []id.Node
	unseen  int // nodes that may have joined without this one knowing
	servers map[id.Server]*Window
}

// coldWindow is the span in which a cold server's requests are counted.
const coldWindow = time.Second

// NewColdLimiter returns the share of a node.
func NewColdLimiter(self id.Node, spare int) *ColdLimiter {
	return &ColdLimiter{self: self, unseen: spare, servers: map[id.Server]*Window{}}
}

// SetNodes names all nodes.
func (c *ColdLimiter) SetNodes(nodes []id.Node) { c.nodes = nodes }

// Allows reports whether the node may send one more request to a server that bears a number of them in a second.
// A server that bears fewer than there are nodes gets requests only from some of them, chosen by hash.
func (c *ColdLimiter) Allows(now time.Time, server id.Server, bound float64) bool {
	share := int(bound) / (len(c.nodes) + c.unseen)
	if share == 0 && c.rank(server)+c.unseen < int(bound) {
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

// Forget drops what is known of a server.
func (c *ColdLimiter) Forget(server id.Server) { delete(c.servers, server) }

// rank returns the place of this node among all nodes for a server.
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
