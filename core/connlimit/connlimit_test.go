package connlimit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/connlimit"
	"bluebellflow/core/id"
	"bluebellflow/core/selfreport"
)

// limitersOf returns the limiters of a number of nodes that know each other.
func limitersOf(nodes, unseen int) []*connlimit.Limiter {
	var names []id.Node
	for i := range nodes {
		names = append(names, id.Node(fmt.Sprint("n", i)))
	}
	var out []*connlimit.Limiter
	for _, n := range names {
		l := connlimit.New(n, unseen)
		l.SetNodes(names)
		out = append(out, l)
	}
	return out
}

// allowed returns how many connections a node may use at a server.
func allowed(l *connlimit.Limiter, maxConns int, load *selfreport.Load) int {
	n := 0
	for l.Check(maxConns).Allows("s", n, load) {
		n++
	}
	return n
}

// TestShares guards against nodes that use more connections together than a server accepts, and against a node without any.
func TestShares(t *testing.T) {
	queued := &selfreport.Load{Running: 6, Waiting: 7, Slots: 6}
	for _, c := range []struct {
		nodes, unseen, maxConns int
		load                    *selfreport.Load
		most                    int // connections of all nodes together
	}{
		{89, 3, 120, nil, 120},
		{142, 3, 191, nil, 191},
		{142, 3, 670, nil, 670},
		{142, 3, 120, nil, 142}, // one each
		{89, 3, 120, queued, 60},
		{142, 3, 191, queued, 95},
		{142, 3, 191, &selfreport.Load{Running: 6, Waiting: 6, Slots: 6}, 191},
		{142, 3, 191, &selfreport.Load{Running: 6, Slots: 6}, 2 * 191}, // in use by six requests
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			g := NewWithT(t)
			total := 0
			for _, l := range limitersOf(c.nodes, c.unseen) {
				n := allowed(l, c.maxConns, c.load)
				total += n
				g.Expect(n > 0 || c.load != nil).To(BeTrue())
			}
			g.Expect(total).To(BeNumerically("<=", c.most))
			g.Expect(total).To(BeNumerically(">=", c.most*9/10), "the nodes use what the server accepts")
		})
	}
}

// TestLimit guards against idle connections that exceed a node's share, and against a change of behaviour where the share is
// large or there is no limit.
func TestLimit(t *testing.T) {
	const long = 5 * time.Second
	type values struct {
		excess, idle     int // with one connection in use and two idle ones; of at most eight
		once, safe, wait time.Duration
	}
	for conns, want := range map[int]values{
		0:  {0, 8, long, long, 0},
		1:  {2, 0, connlimit.MaxIdleAtMostOnce, 900 * time.Millisecond, 2 * time.Millisecond},
		2:  {2, 1, connlimit.MaxIdleAtMostOnce, 900 * time.Millisecond, 2 * time.Millisecond},
		3:  {1, 1, long, long, 0},
		60: {0, 8, long, long, 0},
	} {
		t.Run(fmt.Sprint(conns), func(t *testing.T) {
			l := connlimit.Limit{Conns: conns}
			got := values{l.ExcessIdle(1, 2), l.MaxIdle(1, 8), l.IdleTime(true, long), l.IdleTime(false, long), l.SettleTime(0)}
			NewWithT(t).Expect(got).To(Equal(want))
		})
	}
}
