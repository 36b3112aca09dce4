package selfreport_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/selfreport"
)

// TestPause guards against requests to a server that wants none from this node for some time, against a pause that ends early
// because of another response, and against pauses of nodes to which the server did not speak.
func TestPause(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(2, 0)
	began := c.now
	c.observe(selfreport.Report{Pause: 5 * time.Second}) // runs for a second
	c.observe(selfreport.Report{Pause: time.Second})
	c.observe(selfreport.Report{})
	ready := func(node int) bool {
		at, _ := c.nodes[c.names[node]].ReadyAt(c.now, c.server, c.by)
		return !at.After(c.now)
	}
	g.Expect(ready(0)).To(BeFalse())
	g.Expect(ready(1)).To(BeTrue(), "the other node")
	c.now = began.Add(5*time.Second - time.Millisecond)
	g.Expect(ready(0)).To(BeFalse())
	c.now = began.Add(5 * time.Second)
	g.Expect(ready(0)).To(BeTrue())
}
