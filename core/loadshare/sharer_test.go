package loadshare_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/cost"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/loadshare"
	"bluebellflow/core/proxy"
	"bluebellflow/core/timerqueue"
	"bluebellflow/core/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// messageTime is the time that a message takes.
	messageTime = 3 * time.Millisecond
	// fewServers is the number of servers in the tests of what nodes know.
	fewServers = 4
)

// node is a sharer with a model whose work the test sets.
type node struct {
	*loadshare.Sharer
	loadshare.Node
	work   map[id.Server]cost.Work
	remote map[id.Server]cost.Work
	sized  time.Time
	dead   bool
}

func (n *node) LastSized() time.Time                                     { return n.sized }
func (n *node) Work(time.Time) map[id.Server]cost.Work                   { return n.work }
func (n *node) SetRemote(_ time.Time, server *fleet.Server, w cost.Work) { n.remote[server.ID] = w }

// cluster is a number of nodes in three failure domains.
type cluster struct {
	g       *WithT
	codec   *wire.Codec
	now     time.Time
	nodes   []*node
	byName  map[id.Node]*node
	cut     func(a, b *node) bool
	pending timerqueue.Heap[func()]
	bytes   map[bool]int // sent, by whether they crossed the border of a failure domain
}

func newCluster(t *testing.T, nodes, servers int) *cluster {
	c := &cluster{g: NewWithT(t), codec: proxy.Codec(), now: epoch, byName: map[id.Node]*node{}, bytes: map[bool]int{}}
	c.cut = func(*node, *node) bool { return false }
	var list []loadshare.Node
	for i := range nodes {
		n := &node{Node: loadshare.Node{Name: id.Node(fmt.Sprint("node-", i)), Domain: id.FailureDomain(fmt.Sprint("d", i%3))}, sized: epoch}
		n.work, n.remote = map[id.Server]cost.Work{}, map[id.Server]cost.Work{}
		n.Sharer = loadshare.New(event.Self{Node: n.Name, FailureDomain: n.Domain}, n)
		c.nodes, c.byName[n.Name], list = append(c.nodes, n), n, append(list, n.Node)
	}
	for _, n := range c.nodes {
		n.SetNodes(append([]loadshare.Node{}, list...))
		for i := range servers {
			c.step(n, fleet.ServerChanged{Server: &fleet.Server{ID: serverName(i)}})
		}
	}
	return c
}

func serverName(i int) id.Server { return id.Server(fmt.Sprint("server-", i)) }

func (c *cluster) step(n *node, ev event.Event) {
	if n.dead {
		return
	}
	for _, a := range n.Step(c.now, ev) {
		m, ok := a.(event.Send)
		if !ok {
			continue
		}
		to := c.byName[m.To]
		raw, err := c.codec.Encode(wire.Envelope{From: n.Name, Incarnation: "00112233445566778899aabbccddeeff"}, m.Body)
		c.g.Expect(err).NotTo(HaveOccurred())
		if to != n {
			c.bytes[to.Domain != n.Domain] += len(raw)
		}
		received, err := c.codec.Decode(raw)
		c.g.Expect(err).NotTo(HaveOccurred())
		if !c.cut(n, to) {
			c.pending.Set(c.now.Add(messageTime), func() { c.step(to, received) })
		}
	}
}

// run lets time pass, and calls each once in every 100 ms.
func (c *cluster) run(span time.Duration, each func()) {
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(time.Millisecond) {
		for c.pending.Due(c.now) {
			c.pending.Pop()()
		}
		if each != nil && c.now.Sub(epoch)%(100*time.Millisecond) == 0 {
			each()
		}
		for _, n := range c.nodes {
			if next := n.Next(); c.now.Equal(epoch) || !next.IsZero() && !next.After(c.now) {
				c.step(n, event.Tick{})
			}
		}
	}
}

// kill ends a node. The others notice the end of its connections if told is set.
func (c *cluster) kill(victim *node, told bool) {
	victim.dead, victim.work = true, nil
	for _, n := range c.nodes {
		if told {
			c.step(n, event.PeerLink{Peer: victim.Name})
		}
	}
}

// expectSums asserts that each node knows the requests that the others of a set of nodes have at each server.
func (c *cluster) expectSums(sees func(n, other *node) bool) {
	for _, n := range c.nodes {
		for i := range fewServers {
			want := 0.0
			for _, other := range c.nodes {
				if other != n && sees(n, other) {
					want += other.work[serverName(i)].Requests
				}
			}
			if !n.dead {
				c.g.ExpectWithOffset(1, n.remote[serverName(i)].Requests).To(Equal(want), "node %s, server %d", n.Name, i)
			}
		}
	}
}

// relay returns the node that most messages of a failure domain go to.
func (c *cluster) relay(domain id.FailureDomain) *node {
	received := map[*node]int{}
	c.cut = func(a, b *node) bool {
		if a.Domain == domain && b.Domain == domain {
			received[b]++
		}
		return false
	}
	c.run(time.Second, nil)
	best := c.nodes[0]
	for n, count := range received {
		if count > received[best] {
			best = n
		}
	}
	return best
}

// TestSums guards against nodes that do not know the work of the others, or count their own or that of a lost node.
func TestSums(t *testing.T) {
	all := func(_, _ *node) bool { return true }
	start := func(t *testing.T) *cluster {
		c := newCluster(t, 9, fewServers)
		for i, n := range c.nodes {
			n.work[serverName(i%fewServers)] = cost.Work{Requests: float64(i + 1), Read: time.Duration(i) * 20 * time.Millisecond}
		}
		c.run(2*time.Second, nil)
		c.expectSums(all)
		return c
	}
	t.Run("changes", func(t *testing.T) {
		c := start(t)
		c.nodes[5].work = map[id.Server]cost.Work{serverName(0): {Requests: 30, Read: time.Second}}
		c.run(1500*time.Millisecond, nil)
		c.expectSums(all)
		c.g.Expect(c.nodes[0].remote[serverName(0)].Read).To(BeNumerically(">=", time.Second))
	})
	for name, told := range map[string]bool{"lost relay": true, "silent relay": false} {
		t.Run(name, func(t *testing.T) {
			c := start(t)
			c.kill(c.relay("d1"), told)
			c.run(6*time.Second, nil)
			c.expectSums(all)
		})
	}
	t.Run("failure domain cut off", func(t *testing.T) {
		c := start(t)
		c.cut = func(a, b *node) bool { return (a.Domain == "d2") != (b.Domain == "d2") }
		c.run(4*time.Second, nil)
		c.expectSums(func(n, other *node) bool { return (n.Domain == "d2") == (other.Domain == "d2") })
		c.cut = func(*node, *node) bool { return false }
		c.run(8*time.Second, nil)
		c.expectSums(all)
	})
}

// TestIdle guards against messages while no request carries token counts.
func TestIdle(t *testing.T) {
	c := newCluster(t, 9, fewServers)
	c.run(40*time.Second, nil)
	c.bytes = map[bool]int{}
	c.run(10*time.Second, nil)
	c.g.Expect(c.bytes).To(BeEmpty())
}

// TestManyServers guards against messages that grow with the number of servers, and against changes that are never told.
func TestManyServers(t *testing.T) {
	const servers = 1900
	c := newCluster(t, 12, servers)
	load := func(requests float64) {
		for i, n := range c.nodes {
			for s := i; s < servers; s += len(c.nodes) {
				n.work[serverName(s)] = cost.Work{Requests: requests}
			}
		}
	}
	load(2)
	c.run(2*time.Second, nil)
	c.bytes = map[bool]int{}
	load(3)
	c.run(5*time.Second, nil)
	c.g.Expect((c.bytes[false]+c.bytes[true])/len(c.nodes)/5).To(BeNumerically("<", 10_000), "bytes per node and second")
	c.run(40*time.Second, func() {
		for _, n := range c.nodes {
			n.sized = c.now
		}
	})
	for s := range servers {
		owner := s % len(c.nodes)
		c.g.Expect(c.nodes[(owner+1)%len(c.nodes)].remote[serverName(s)].Requests).To(Equal(3.0), "server %d", s)
	}
}

// TestTraffic guards against messages that take more than a small share of what requests take, and prints the bytes.
func TestTraffic(t *testing.T) {
	c := newCluster(t, 142, 90)
	rng := rand.New(rand.NewPCG(1, 1))
	c.run(2*time.Second, nil)
	c.bytes = map[bool]int{}
	const seconds = 5
	c.run(seconds*time.Second, func() {
		for _, n := range c.nodes {
			n.sized = c.now
			clear(n.work)
			for range rng.IntN(4) { // 1.5 requests in progress, each replaced every 100 ms
				n.work[serverName(rng.IntN(90))] = cost.Work{Requests: 1, Read: time.Duration(rng.IntN(50)) * time.Millisecond, Write: time.Second}
			}
		}
	})
	t.Logf("bytes per second: %d within failure domains, %d between them", c.bytes[false]/seconds, c.bytes[true]/seconds)
	c.g.Expect(c.bytes[true]/seconds).To(BeNumerically("<", 25_000), "between failure domains")
	c.g.Expect(c.bytes[false]/seconds).To(BeNumerically("<", 700_000), "within them")
}
