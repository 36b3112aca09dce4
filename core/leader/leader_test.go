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

// cluster is a set of trackers. A node hears another one unless the path between them is blocked.
type cluster struct {
	now      time.Time
	names    []id.Node
	trackers map[id.Node]*leader.Tracker
	blocked  map[[2]id.Node]bool // from, to
	frozen   id.Set[id.Node]
	relinks  map[id.Node]int
	pings    int
}

func newCluster(list ...leader.Candidate) *cluster {
	f := &cluster{
		now: epoch, trackers: map[id.Node]*leader.Tracker{}, blocked: map[[2]id.Node]bool{},
		frozen: id.NewSet[id.Node](), relinks: map[id.Node]int{},
	}
	for _, c := range list {
		f.names = append(f.names, c.Node)
		f.start(c.Node, list)
	}
	return f
}

// start replaces a node's process by one that knows nothing.
func (f *cluster) start(name id.Node, list []leader.Candidate) {
	for _, c := range list {
		if c.Node == name {
			t := leader.New(event.Self{Node: c.Node, FailureDomain: c.Domain})
			t.SetCandidates(list)
			t.SetReady(true)
			f.trackers[name] = t
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

func (f *cluster) deliver(to id.Node, ev event.Event) {
	if f.frozen.Has(to) {
		return
	}
	for _, a := range f.trackers[to].Step(f.now, ev) {
		switch a := a.(type) {
		case event.Send:
			if _, ping := a.Body.(leader.Ping); ping {
				f.pings++
			}
			if !f.blocked[[2]id.Node{to, a.To}] && f.trackers[a.To] != nil {
				f.deliver(a.To, event.Receive{From: to, Body: a.Body})
			}
		case event.Reconnect:
			f.relinks[to]++
		}
	}
}

func (f *cluster) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for _, name := range f.names {
			f.deliver(name, event.Tick{})
		}
	}
}

// leaders returns the leaders that live nodes follow.
func (f *cluster) leaders() id.Set[id.Node] {
	out := id.NewSet[id.Node]()
	for _, name := range f.names {
		if !f.frozen.Has(name) {
			out.Add(f.trackers[name].Leader())
		}
	}
	return out
}

// split blocks all paths between nodes for which side differs.
func (f *cluster) split(side func(id.Node) bool) {
	for _, a := range f.names {
		for _, b := range f.names {
			f.blocked[[2]id.Node{a, b}] = side(a) != side(b)
		}
	}
}

// expectOneLeader asserts that all live nodes follow one node, and returns it.
func (f *cluster) expectOneLeader(g *WithT) id.Node {
	all := f.leaders().Sorted()
	g.ExpectWithOffset(1, all).To(HaveLen(1))
	g.ExpectWithOffset(1, all[0]).NotTo(BeEmpty())
	return all[0]
}

// TestOneLeader guards against nodes that follow different leaders, or none, while all can reach each other.
func TestOneLeader(t *testing.T) {
	for _, count := range []int{1, 2, 9, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			g := NewWithT(t)
			f := newCluster(candidates(count)...)
			f.run(2 * time.Second)
			f.expectOneLeader(g)
			f.pings = 0
			f.run(time.Second)
			g.Expect(f.pings).To(BeNumerically("<=", 25*count), "pings in a second")
		})
	}
}

// TestFailover guards against nodes that go on following a leader that has died, froze, or does not lead any more; and
// against a leader that does not take over again.
func TestFailover(t *testing.T) {
	begin := func(g *WithT) (*cluster, id.Node) {
		f := newCluster(candidates(9)...)
		f.run(2 * time.Second)
		return f, f.expectOneLeader(g)
	}
	t.Run("frozen", func(t *testing.T) {
		g := NewWithT(t)
		f, first := begin(g)
		f.frozen.Add(first)
		f.run(time.Second)
		g.Expect(f.expectOneLeader(g)).NotTo(Equal(first))
		f.frozen.Delete(first)
		f.run(3 * time.Second)
		g.Expect(f.expectOneLeader(g)).To(Equal(first))
	})
	t.Run("stops", func(t *testing.T) {
		g := NewWithT(t)
		f, first := begin(g)
		f.trackers[first].SetReady(false)
		f.run(400 * time.Millisecond)
		g.Expect(f.expectOneLeader(g)).NotTo(Equal(first))
	})
	t.Run("its connection breaks", func(t *testing.T) {
		g := NewWithT(t)
		f, first := begin(g)
		f.frozen.Add(first)
		for _, name := range f.names {
			f.deliver(name, event.PeerLink{Peer: first, Up: false})
		}
		g.Expect(f.expectOneLeader(g)).NotTo(Equal(first), "the break is noticed at once")
	})
	t.Run("three of the first are dead", func(t *testing.T) {
		g := NewWithT(t)
		f, _ := begin(g)
		for range 4 {
			f.frozen.Add(f.expectOneLeader(g))
			f.run(4 * time.Second)
		}
		f.expectOneLeader(g)
	})
}

// TestRolling guards against nodes that follow different leaders while several nodes at the head of the order are being
// stopped at the same time: they answer, but may not lead.
func TestRolling(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(candidates(9)...)
	f.run(time.Second)
	stopping := id.NewSet[id.Node]()
	for range 5 {
		first := f.expectOneLeader(g)
		stopping.Add(first)
		f.trackers[first].SetReady(false)
		f.run(500 * time.Millisecond)
		g.Expect(stopping.Has(f.expectOneLeader(g))).To(BeFalse())
	}
}

// TestReturning guards against a node that takes the lead as soon as it has started again: while nodes are restarted in turn,
// each change of the leader hands all jobs over.
func TestReturning(t *testing.T) {
	g := NewWithT(t)
	list := candidates(9)
	f := newCluster(list...)
	f.run(2 * time.Second)
	first := f.expectOneLeader(g)
	f.frozen.Add(first)
	f.run(4 * time.Second)
	second := f.expectOneLeader(g)
	f.frozen.Delete(first)
	f.start(first, list)
	for range 20 {
		f.run(500 * time.Millisecond)
		g.Expect(f.expectOneLeader(g)).To(Equal(second))
	}
	f.frozen.Add(second)
	f.run(2 * time.Second)
	third := f.expectOneLeader(g)
	g.Expect(third).NotTo(Equal(first), "others have had the time")
	f.frozen.Delete(second)
	f.run(12 * time.Second)
	g.Expect(f.expectOneLeader(g)).To(Equal(first), "the first in rank in the end")
}

// TestAllRestart guards against a fleet in which every node leaves the lead to others.
func TestAllRestart(t *testing.T) {
	g := NewWithT(t)
	list := candidates(9)
	f := newCluster(list...)
	f.run(2 * time.Second)
	for _, name := range f.names {
		f.start(name, list)
	}
	f.run(1500 * time.Millisecond)
	f.expectOneLeader(g)
}

// TestReconnected guards against a connection that is given up because of the silence before it, so that a node which is
// back does not count as alive for many seconds.
func TestReconnected(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(candidates(5)...)
	f.run(time.Second)
	first := f.expectOneLeader(g)
	f.frozen.Add(first)
	f.run(5 * time.Second)
	f.expectOneLeader(g)
	clear(f.relinks)
	f.frozen.Delete(first)
	for _, name := range f.names {
		if name != first {
			f.deliver(name, event.PeerLink{Peer: first, Up: true})
		}
	}
	f.run(300 * time.Millisecond)
	g.Expect(f.expectOneLeader(g)).To(Equal(first))
	g.Expect(f.relinks).To(BeEmpty())
}

// TestPartition guards against a side of a partition without a leader, and against two leaders after it.
func TestPartition(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(candidates(9)...)
	f.run(2 * time.Second)
	domain := map[id.Node]id.FailureDomain{}
	for _, c := range candidates(9) {
		domain[c.Node] = c.Domain
	}
	for _, d := range []id.FailureDomain{"0", "1", "2"} {
		f.split(func(n id.Node) bool { return domain[n] == d })
		f.run(2 * time.Second)
		for _, name := range f.names {
			own := f.trackers[name].Leader()
			g.Expect(own).NotTo(BeEmpty())
			g.Expect(domain[own] == d).To(Equal(domain[name] == d), "%s follows %s across the partition", name, own)
		}
		f.split(func(id.Node) bool { return true })
		f.run(3 * time.Second)
		f.expectOneLeader(g)
	}
}

// TestOneWay guards against a node that follows a leader whose answers do not reach it.
func TestOneWay(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(candidates(5)...)
	f.run(2 * time.Second)
	first := f.expectOneLeader(g)
	var other id.Node
	for _, name := range f.names {
		if name != first {
			other = name
		}
	}
	f.blocked[[2]id.Node{first, other}] = true
	f.run(2 * time.Second)
	g.Expect(f.trackers[other].Leader()).NotTo(Equal(first))
	g.Expect(f.relinks[other]).To(BeNumerically(">", 0), "a silent connection is opened anew")
}

// TestWeight guards against a small VM that schedules the work of all while there are larger ones.
func TestWeight(t *testing.T) {
	g := NewWithT(t)
	list := candidates(9)
	list[7].Weight = 4
	f := newCluster(list...)
	f.run(2 * time.Second)
	g.Expect(f.expectOneLeader(g)).To(Equal(list[7].Node))
}

// TestPause guards against a node that takes all others for dead because it stood still itself.
func TestPause(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(candidates(5)...)
	f.run(2 * time.Second)
	first := f.expectOneLeader(g)
	var last id.Node
	for _, name := range f.names {
		if name != first {
			last = name
		}
	}
	f.frozen.Add(last)
	f.run(5 * time.Second)
	f.frozen.Delete(last)
	f.deliver(last, event.Tick{})
	g.Expect(f.trackers[last].Leader()).To(Equal(first))
}
