package connlimit

import "time"

const (
	// tightShare is the greatest share of a node at which the server counts as possibly near its limit. With larger shares the
	// nodes rarely use half of the connections that the server accepts.
	tightShare = 2
	// maxTightIdleTime bounds the idle time of a connection at such a server.
	maxTightIdleTime = 900 * time.Millisecond
	// MaxIdleAtMostOnce is the maximum idle time of a connection that is reused for a request that must not run twice. After a
	// longer time a close by the server may be in flight; and only a new connection shows that a server cannot be reached any more.
	MaxIdleAtMostOnce = 50 * time.Millisecond
	// idleDivisor divides a node's share to get the number of connections that may be idle.
	idleDivisor = 2
	// minSettleTime and maxSettleTime bound the wait between the opening of a connection and the first write. Servers reset
	// excess connections when they accept them, which is after the kernel has opened them.
	minSettleTime = 2 * time.Millisecond
	maxSettleTime = 10 * time.Millisecond
	// settleFactor multiplies the time in which the connection was opened, which is about a round trip.
	settleFactor = 2
)

// Limit bounds the connections of one node to a server. The zero Limit means no limit.
type Limit struct {
	Conns int // connections at a time including idle ones, 0 for no limit
}

// tight reports whether the server may be near its limit.
func (l Limit) tight() bool { return l.Conns > 0 && l.Conns <= tightShare }

// ExcessIdle returns how many of the idle connections must be closed so that another connection is within the limit.
func (l Limit) ExcessIdle(inUse, idle int) int {
	if l.Conns == 0 {
		return 0
	}
	return min(idle, max(0, inUse+idle+1-l.Conns))
}

// MaxIdle returns how many connections may be idle while others are in use; most is the maximum without a limit.
func (l Limit) MaxIdle(inUse, most int) int {
	if l.Conns == 0 {
		return most
	}
	return max(0, min(most, max(1, l.Conns/idleDivisor), l.Conns-inUse))
}

// IdleTime returns how long a connection may stay idle after a request; longest is the maximum without a limit. At a server
// that may be near its limit, a connection that was used for an at-most-once request is kept only while it can be reused for
// another one.
func (l Limit) IdleTime(atMostOnce bool, longest time.Duration) time.Duration {
	switch {
	case !l.tight():
		return longest
	case atMostOnce:
		return min(longest, MaxIdleAtMostOnce)
	}
	return min(longest, maxTightIdleTime)
}

// SettleTime returns how long a request waits for a reset after its connection was opened, which took the given time. A reset
// before the first write proves that the request has not run; a later one proves nothing.
func (l Limit) SettleTime(opening time.Duration) time.Duration {
	if !l.tight() {
		return 0
	}
	return min(max(settleFactor*opening, minSettleTime), maxSettleTime)
}
