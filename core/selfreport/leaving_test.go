package selfreport_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/selfreport"
)

// expectUsable asserts whether the nodes of a cluster may send requests to its server.
func (c *cluster) expectUsable(g *WithT, want bool) {
	for name, tr := range c.nodes {
		at, _ := tr.ReadyAt(c.now, c.server, c.by)
		g.ExpectWithOffset(1, !at.After(c.now)).To(Equal(want), "node %s", name)
	}
}

// observe lets a node hear a report of the server, and runs until the others have heard of it.
func (c *cluster) observe(r selfreport.Report) {
	tr := c.nodes["n0"]
	c.deliver("n0", tr.Observe(c.now, selfreport.Process{Server: c.server.ID, Start: c.server.Start}, c.now, r))
	c.run(time.Second, func() []id.Node { return nil })
}

// TestLeaving guards against nodes that send requests to a server after one of them has heard that it is leaving, and against a
// next process of the server that is not used because of it.
func TestLeaving(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(9, 0)
	c.observe(selfreport.Report{})
	c.expectUsable(g, true)
	c.observe(selfreport.Report{Leaving: true})
	c.expectUsable(g, false)
	c.observe(selfreport.Report{})
	c.expectUsable(g, false)
	for _, tr := range c.nodes {
		tr.Step(c.now, fleet.ServerRemoved{Server: c.server})
	}
	c.expectUsable(g, false)
	c.now = c.now.Add(10 * time.Minute)
	c.expectUsable(g, false)
	c.server = &fleet.Server{ID: "s", Entry: fleet.Entry{Start: "2"}}
	for _, tr := range c.nodes {
		tr.Step(c.now, fleet.ServerChanged{Server: c.server, Restarted: true})
	}
	c.expectUsable(g, true)
}

// TestLeavingUnknownStart guards against a server that stays out of use for ever because its processes cannot be told apart.
func TestLeavingUnknownStart(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(2, 0)
	c.server = &fleet.Server{ID: "s"}
	c.observe(selfreport.Report{Leaving: true})
	c.expectUsable(g, false)
	for _, tr := range c.nodes {
		tr.Step(c.now, fleet.ServerRemoved{Server: c.server})
	}
	c.expectUsable(g, true)
}

// TestLeavingNewcomer guards against a node that starts after a server has said that it is leaving, and does not know it.
func TestLeavingNewcomer(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(9, 0)
	c.observe(selfreport.Report{Leaving: true})
	c.nodes["new"] = selfreport.New(event.Self{Node: "new"})
	for _, name := range c.names {
		c.deliver(name, c.nodes[name].Step(c.now, event.PeerLink{Peer: "new", Up: true}))
	}
	c.run(time.Second, func() []id.Node { return nil })
	c.expectUsable(g, false)
}

// TestManyServers guards against messages to each new node about all servers that have ever left, and against a report that is
// kept without end.
func TestManyServers(t *testing.T) {
	g := NewWithT(t)
	tr := selfreport.New(event.Self{Node: "n0"})
	tr.SetNodes([]id.Node{"n0", "n1"})
	now := epoch
	for i := range 6000 {
		now = now.Add(time.Second)
		tr.Observe(now, selfreport.Process{Server: id.Server(fmt.Sprint("s", i)), Start: "1"}, now, selfreport.Report{Leaving: true})
	}
	g.Expect(len(tr.Step(now, event.PeerLink{Peer: "n1", Up: true}))).To(BeNumerically("<=", 3601))
	for i := range 1000 {
		tr.Observe(now, selfreport.Process{Server: id.Server(fmt.Sprint("t", i)), Start: "1"}, now, selfreport.Report{Leaving: true})
	}
	g.Expect(len(tr.Step(now, event.PeerLink{Peer: "n1", Up: true}))).To(Equal(4096))
	g.Expect(tr.Step(now.Add(2*time.Hour), event.PeerLink{Peer: "n1", Up: true})).To(BeEmpty())
}
