package ratelimit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/id"
)

const (
	// minQuotaSpan and maxQuotaSpan bound the span of the quota for a rate. A longer span lets more requests come at once, and
	// a shorter one leaves more nodes without a share.
	minQuotaSpan = time.Second
	maxQuotaSpan = 3 * time.Second
	// minRate is the lowest rate in requests per second. With a lower one, nodes would learn too late that a limit has ended.
	minRate = 0.05
	// maxRate is the rate in requests per second from which there is no limit in practice.
	maxRate = 1e6
	// roundingSlack keeps a product that is a whole number but for rounding from being cut to the next lower one.
	roundingSlack = 1e-6
	// maxSpan is the longest span of a quota, and how long requests are remembered.
	maxSpan = time.Duration(float64(time.Second) / minRate)
)

// Quota is the number of requests that a server takes from all nodes together in any span of time.
type Quota struct {
	Requests int
	Span     time.Duration
}

// QuotaOf returns the quota of a server that takes rate requests per second from a number of nodes. If it can, its span is
// long enough for a request of each node.
func QuotaOf(rate float64, nodes int) Quota {
	rate = min(max(rate, minRate), maxRate)
	span := min(max(float64(nodes)/rate, minQuotaSpan.Seconds()), maxQuotaSpan.Seconds())
	requests := max(1, int(rate*span+roundingSlack))
	return Quota{requests, time.Duration(float64(requests) / rate * float64(time.Second))}
}

// ServerLimiter limits one node to its share of the requests that servers take.
type ServerLimiter struct {
	self   id.Node
	nodes  []id.Node
	unseen int // number of nodes that may have joined unnoticed
	ranks  map[id.Server]int
	sent   map[id.Server][]time.Time // oldest first
}

// NewServerLimiter returns the limiter of a node; unseen is the number of nodes that may have joined unnoticed.
func NewServerLimiter(self id.Node, unseen int) *ServerLimiter {
	return &ServerLimiter{self: self, unseen: unseen, ranks: map[id.Server]int{}, sent: map[id.Server][]time.Time{}}
}

// SetNodes sets the names of all known nodes, including this one.
func (l *ServerLimiter) SetNodes(nodes []id.Node) {
	l.nodes = nodes
	clear(l.ranks)
}

// Share returns how many of a server's requests this node may send. What does not divide evenly goes to the nodes that come
// first in the server's order, one request each.
func (l *ServerLimiter) Share(server id.Server, q Quota) int {
	nodes := max(1, len(l.nodes)) + l.unseen
	share := q.Requests / nodes
	if l.Rank(server)+l.unseen < q.Requests%nodes {
		share++
	}
	return share
}

// ReadyAt returns the earliest time at which this node may send a request, if it may send share of them in a span. Share must
// be above 0.
func (l *ServerLimiter) ReadyAt(server id.Server, share int, span time.Duration) time.Time {
	sent := l.sent[server]
	if len(sent) < share {
		return time.Time{}
	}
	return sent[len(sent)-share].Add(span)
}

// Take counts a request to a server.
func (l *ServerLimiter) Take(now time.Time, server id.Server) {
	sent := l.sent[server]
	for len(sent) > 0 && now.Sub(sent[0]) > maxSpan {
		sent = sent[1:]
	}
	l.sent[server] = append(sent, now)
}

// LastSent returns when the last request was sent to a server, zero if none was lately.
func (l *ServerLimiter) LastSent(server id.Server) time.Time {
	if sent := l.sent[server]; len(sent) > 0 {
		return sent[len(sent)-1]
	}
	return time.Time{}
}

// Forget drops the requests to a server.
func (l *ServerLimiter) Forget(server id.Server) {
	delete(l.sent, server)
	delete(l.ranks, server)
}

// Rank returns this node's position among all nodes in the order of a server, which is a hash.
func (l *ServerLimiter) Rank(server id.Server) int {
	if rank, ok := l.ranks[server]; ok {
		return rank
	}
	own := hashNode(l.self, server)
	rank := 0
	for _, n := range l.nodes {
		if n != l.self && hashNode(n, server) < own {
			rank++
		}
	}
	l.ranks[server] = rank
	return rank
}

func hashNode(n id.Node, server id.Server) uint64 {
	return xxhash.Sum64String(string(n) + "/" + string(server))
}
