package leader_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/leader"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// step is the resolution of the simulated time.
const step = 20 * time.Millisecond

// cluster runs one tracker per node and delivers their messages, except on blocked paths.
type cluster struct {
	now        time.Time
	names      []id.Node
	trackers   map[id.Node]*leader.Tracker
	blocked    map[[2]id.Node]bool // from, to
	frozen     id.Set[id.Node]
	reconnects map[id.Node]int
	pings      int
}

func newCluster(list ...leader.Candidate) *cluster {
	cl := &cluster{
		now: epoch, trackers: map[id.Node]*leader.Tracker{}, blocked: map[[2]id.Node]bool{},
		frozen: id.NewSet[id.Node](), reconnects: map[id.Node]int{},
	}
	for _, c := range list {
		cl.names = append(cl.names, c.Node)
		cl.start(c.Node, list)
	}
	return cl
}

// start replaces the tracker of a node by a new one, as after a restart.
func (cl *cluster) start(name id.Node, list []leader.Candidate) {
	for _, c := range list {
		if c.Node == name {
			t := leader.New(event.Self{Node: c.Node, FailureDomain: c.Domain})
			t.SetCandidates(list)
			t.SetReady(true)
			cl.trackers[name] = t
		}
	}
}

// candidates returns candidates in three failure domains.
func candidates(count int) []leader.Candidate {
	var out []leader.Candidate
	for i := range count {
		out = append(out, leader.Candidate{Node: id.Node(fmt.Sprintf("n%02d", i)), Domain: id.FailureDomain(fmt.Sprint(i % 3))})
	}
	return out
}

func (cl *cluster) deliver(to id.Node, ev event.Event) {
	if cl.frozen.Has(to) {
		return
	}
	for _, a := range cl.trackers[to].Step(cl.now, ev) {
		switch a := a.(type) {
		case event.Send:
			if _, ping := a.Body.(leader.Ping); ping {
				cl.pings++
			}
			if !cl.blocked[[2]id.Node{to, a.To}] && cl.trackers[a.To] != nil {
				cl.deliver(a.To, event.Receive{From: to, Body: a.Body})
			}
		case event.Reconnect:
			cl.reconnects[to]++
		}
	}
}

func (cl *cluster) run(d time.Duration) {
	for end := cl.now.Add(d); cl.now.Before(end); cl.now = cl.now.Add(step) {
		for _, name := range cl.names {
			cl.deliver(name, event.Tick{})
		}
	}
}

// leaders returns the leaders that the nodes follow, frozen nodes left out.
func (cl *cluster) leaders() id.Set[id.Node] {
	out := id.NewSet[id.Node]()
	for _, name := range cl.names {
		if !cl.frozen.Has(name) {
			out.Add(cl.trackers[name].Leader())
		}
	}
	return out
}

// split blocks all paths between nodes on different sides.
func (cl *cluster) split(side func(id.Node) bool) {
	for _, a := range cl.names {
		for _, b := range cl.names {
			cl.blocked[[2]id.Node{a, b}] = side(a) != side(b)
		}
	}
}

// expectOneLeader asserts that all nodes that are not frozen follow the same leader, and returns it.
func (cl *cluster) expectOneLeader(g *WithT) id.Node {
	all := cl.leaders().Sorted()
	g.ExpectWithOffset(1, all).To(HaveLen(1))
	g.ExpectWithOffset(1, all[0]).NotTo(BeEmpty())
	return all[0]
}

// TestOneLeader guards against nodes that follow different leaders, or none, while all can reach each other.
func TestOneLeader(t *testing.T) {
	for _, count := range []int{1, 2, 9, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			g := NewWithT(t)
			cl := newCluster(candidates(count)...)
			cl.run(2 * time.Second)
			cl.expectOneLeader(g)
			cl.pings = 0
			cl.run(time.Second)
			g.Expect(cl.pings).To(BeNumerically("<=", 25*count), "pings per second")
		})
	}
}

// TestSuccessor guards against nodes that name another successor of the leader than the one that follows it.
func TestSuccessor(t *testing.T) {
	g := NewWithT(t)
	cl := newCluster(candidates(9)...)
	cl.run(2 * time.Second)
	first, successors := cl.expectOneLeader(g), id.NewSet[id.Node]()
	for _, name := range cl.names {
		successors.Add(cl.trackers[name].Successor(cl.now))
	}
	g.Expect(successors).To(HaveLen(1))
	cl.frozen.Add(first)
	cl.run(time.Second)
	g.Expect(successors.Has(cl.expectOneLeader(g))).To(BeTrue())
	alone := newCluster(candidates(1)...)
	alone.run(2 * time.Second)
	g.Expect(alone.trackers["n00"].Successor(alone.now)).To(BeEmpty())
}

// TestFailover guards against nodes that keep following a leader that is frozen, unreachable or no longer ready, and against
// a recovered leader that is not followed again.
func TestFailover(t *testing.T) {
	begin := func(g *WithT) (*cluster, id.Node) {
		cl := newCluster(candidates(9)...)
		cl.run(2 * time.Second)
		return cl, cl.expectOneLeader(g)
	}
	t.Run("frozen", func(t *testing.T) {
		g := NewWithT(t)
		cl, first := begin(g)
		cl.frozen.Add(first)
		cl.run(time.Second)
		g.Expect(cl.expectOneLeader(g)).NotTo(Equal(first))
		cl.frozen.Delete(first)
		cl.run(3 * time.Second)
		g.Expect(cl.expectOneLeader(g)).To(Equal(first))
	})
	t.Run("stops", func(t *testing.T) {
		g := NewWithT(t)
		cl, first := begin(g)
		cl.trackers[first].SetReady(false)
		cl.run(400 * time.Millisecond)
		g.Expect(cl.expectOneLeader(g)).NotTo(Equal(first))
	})
	t.Run("connection lost", func(t *testing.T) {
		g := NewWithT(t)
		cl, first := begin(g)
		cl.frozen.Add(first)
		for _, name := range cl.names {
			cl.deliver(name, event.PeerLink{Peer: first, Up: false})
		}
		g.Expect(cl.expectOneLeader(g)).NotTo(Equal(first), "the nodes react at once")
	})
	t.Run("several leaders in turn", func(t *testing.T) {
		g := NewWithT(t)
		cl, _ := begin(g)
		for range 4 {
			cl.frozen.Add(cl.expectOneLeader(g))
			cl.run(4 * time.Second)
		}
		cl.expectOneLeader(g)
	})
}

// TestRolling guards against nodes that follow different leaders while several of the highest-ranked nodes are being
// stopped at the same time: they answer pings, but may not lead.
func TestRolling(t *testing.T) {
	g := NewWithT(t)
	cl := newCluster(candidates(9)...)
	cl.run(time.Second)
	stopping := id.NewSet[id.Node]()
	for range 5 {
		first := cl.expectOneLeader(g)
		stopping.Add(first)
		cl.trackers[first].SetReady(false)
		cl.run(500 * time.Millisecond)
		g.Expect(stopping.Has(cl.expectOneLeader(g))).To(BeFalse())
	}
}

// TestReturning guards against a node that becomes the leader as soon as it has restarted: in a rolling restart, each
// change of the leader would hand over all jobs.
func TestReturning(t *testing.T) {
	g := NewWithT(t)
	list := candidates(9)
	cl := newCluster(list...)
	cl.run(2 * time.Second)
	first := cl.expectOneLeader(g)
	cl.frozen.Add(first)
	cl.run(4 * time.Second)
	second := cl.expectOneLeader(g)
	cl.frozen.Delete(first)
	cl.start(first, list)
	for range 20 {
		cl.run(500 * time.Millisecond)
		g.Expect(cl.expectOneLeader(g)).To(Equal(second))
	}
	cl.frozen.Add(second)
	cl.run(2 * time.Second)
	third := cl.expectOneLeader(g)
	g.Expect(third).NotTo(Equal(first), "it has not been up for long enough")
	cl.frozen.Delete(second)
	cl.run(12 * time.Second)
	g.Expect(cl.expectOneLeader(g)).To(Equal(first), "the highest-ranked node after its initial period")
}

// TestAllRestart guards against nodes that all wait for another leader after a simultaneous restart.
func TestAllRestart(t *testing.T) {
	g := NewWithT(t)
	list := candidates(9)
	cl := newCluster(list...)
	cl.run(2 * time.Second)
	for _, name := range cl.names {
		cl.start(name, list)
	}
	cl.run(1500 * time.Millisecond)
	cl.expectOneLeader(g)
}

// TestReconnected guards against a new connection that is replaced because of pings lost before it, so that a recovered
// node does not count as alive for many seconds.
func TestReconnected(t *testing.T) {
	g := NewWithT(t)
	cl := newCluster(candidates(5)...)
	cl.run(time.Second)
	first := cl.expectOneLeader(g)
	cl.frozen.Add(first)
	cl.run(5 * time.Second)
	cl.expectOneLeader(g)
	clear(cl.reconnects)
	cl.frozen.Delete(first)
	for _, name := range cl.names {
		if name != first {
			cl.deliver(name, event.PeerLink{Peer: first, Up: true})
		}
	}
	cl.run(300 * time.Millisecond)
	g.Expect(cl.expectOneLeader(g)).To(Equal(first))
	g.Expect(cl.reconnects).To(BeEmpty())
}

// TestPartition guards against a side of a partition that has no leader, and against two leaders after the partition.
func TestPartition(t *testing.T) {
	g := NewWithT(t)
	cl := newCluster(candidates(9)...)
	cl.run(2 * time.Second)
	domain := map[id.Node]id.FailureDomain{}
	for _, c := range candidates(9) {
		domain[c.Node] = c.Domain
	}
	for _, d := range []id.FailureDomain{"0", "1", "2"} {
		cl.split(func(n id.Node) bool { return domain[n] == d })
		cl.run(2 * time.Second)
		for _, name := range cl.names {
			own := cl.trackers[name].Leader()
			g.Expect(own).NotTo(BeEmpty())
			g.Expect(domain[own] == d).To(Equal(domain[name] == d), "%s follows %s across the partition", name, own)
		}
		cl.split(func(id.Node) bool { return true })
		cl.run(3 * time.Second)
		cl.expectOneLeader(g)
	}
}

// TestOneWay guards against a node that follows a leader whose answers do not reach it.
func TestOneWay(t *testing.T) {
	g := NewWithT(t)
	cl := newCluster(candidates(5)...)
	cl.run(2 * time.Second)
	first := cl.expectOneLeader(g)
	var other id.Node
	for _, name := range cl.names {
		if name != first {
			other = name
		}
	}
	cl.blocked[[2]id.Node{first, other}] = true
	cl.run(2 * time.Second)
	g.Expect(cl.trackers[other].Leader()).NotTo(Equal(first))
	g.Expect(cl.reconnects[other]).To(BeNumerically(">", 0), "a silent connection is replaced")
}

// TestWeight guards against a small VM that leads although there are larger ones.
func TestWeight(t *testing.T) {
	g := NewWithT(t)
	list := candidates(9)
	list[7].Weight = 4
	cl := newCluster(list...)
	cl.run(2 * time.Second)
	g.Expect(cl.expectOneLeader(g)).To(Equal(list[7].Node))
}

// TestPause guards against a node that considers all others dead because it was paused itself.
func TestPause(t *testing.T) {
	g := NewWithT(t)
	cl := newCluster(candidates(5)...)
	cl.run(2 * time.Second)
	first := cl.expectOneLeader(g)
	var last id.Node
	for _, name := range cl.names {
		if name != first {
			last = name
		}
	}
	cl.frozen.Add(last)
	cl.run(5 * time.Second)
	cl.frozen.Delete(last)
	cl.deliver(last, event.Tick{})
	g.Expect(cl.trackers[last].Leader()).To(Equal(first))
}
