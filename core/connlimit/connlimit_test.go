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

// TestShares guards against nodes that use more connections together than a server accepts, and against a node without any.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		nodes, maxConns, waiting int // waiting requests that the server reports, -1 for no report
		want                     int // connections of all nodes together, of which up to a tenth may be left unused
	}{
		{89, 120, -1, 120}, {142, 191, -1, 191}, {142, 670, -1, 670}, {142, 120, -1, 142}, // the last one: one each
		{89, 120, 7, 60}, {142, 191, 6, 191}, {142, 191, 0, 2 * 191},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			g := NewWithT(t)
			var names []id.Node
			for i := range c.nodes {
				names = append(names, id.Node(fmt.Sprint("n", i)))
			}
			load := &selfreport.Load{Running: 6, Waiting: c.waiting, Slots: 6}
			if c.waiting < 0 {
				load = nil
			}
			total := 0
			for _, name := range names {
				l := connlimit.New(name, 3)
				l.SetNodes(names)
				used := 0
				for l.Check(c.maxConns).Allows("s", used, load) {
					used++
				}
				g.Expect(used > 0 || load != nil).To(BeTrue())
				total += used
			}
			g.Expect(total).To(And(BeNumerically("<=", c.want), BeNumerically(">=", c.want*9/10)))
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
		1:  {2, 0, 50 * time.Millisecond, 900 * time.Millisecond, 2 * time.Millisecond},
		3:  {1, 1, long, long, 0},
		60: {0, 8, long, long, 0},
	} {
		l := connlimit.Limit{Conns: conns}
		got := values{l.ExcessIdle(1, 2), l.MaxIdle(1, 8), l.IdleTime(true, long), l.IdleTime(false, long), l.SettleTime(0)}
		NewWithT(t).Expect(got).To(Equal(want), "%d", conns)
	}
}
