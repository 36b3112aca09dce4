package selfreport_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/selfreport"
)

const (
	// responseTime is the time from a request to its response, and messageTime the time that a message takes.
	responseTime = 150 * time.Millisecond
	messageTime  = 2 * time.Millisecond
	stepTime     = 20 * time.Millisecond
	// limitSpan is the time in which requests are counted, and settleTime the time after its first report from which a server's
	// limit is kept.
	limitSpan  = 4 * time.Second
	settleTime = 3 * time.Second
)

// cluster is a number of nodes that send requests to one server, which names a limit from epoch on.
type cluster struct {
	server  *fleet.Server
	names   []id.Node
	nodes   map[id.Node]*selfreport.Tracker
	rate    float64 // the limit, 0 for none
	by      selfreport.Senders
	dead    id.Set[id.Node]
	cut     func(from, to id.Node) bool
	now     time.Time
	pending []delivery
	sent    []time.Time
	refused int
}

// delivery is a step that is due at some time.
type delivery struct {
	at  time.Time
	run func()
}

func newCluster(count int, rate float64) *cluster {
	c := &cluster{
		server: &fleet.Server{ID: "s", Entry: fleet.Entry{Start: "1"}}, nodes: map[id.Node]*selfreport.Tracker{}, rate: rate,
		dead: id.NewSet[id.Node](), cut: func(id.Node, id.Node) bool { return false }, now: epoch,
	}
	for i := range count {
		c.names = append(c.names, id.Node(fmt.Sprint("n", i)))
	}
	for _, name := range c.names {
		c.nodes[name] = selfreport.New(event.Self{Node: name})
		c.nodes[name].SetNodes(c.names)
	}
	return c
}

// after runs f some time later.
func (c *cluster) after(d time.Duration, f func()) {
	c.pending = append(c.pending, delivery{c.now.Add(d), f})
}

// advance moves the clock by a step and runs what is due.
func (c *cluster) advance() {
	c.now = c.now.Add(stepTime)
	due := slices.DeleteFunc(slices.Clone(c.pending), func(d delivery) bool { return d.at.After(c.now) })
	c.pending = slices.DeleteFunc(c.pending, func(d delivery) bool { return !d.at.After(c.now) })
	for _, d := range due {
		d.run()
	}
}

// send sends a request from a node if it may.
func (c *cluster) send(name id.Node) {
	if c.dead.Has(name) {
		return
	}
	tr := c.nodes[name]
	if at, _ := tr.ReadyAt(c.now, c.server, c.by); at.After(c.now) {
		c.refused++
		return
	}
	tr.CountRequest(c.now, c.server)
	sent := c.now
	c.sent = append(c.sent, sent)
	c.after(responseTime, func() {
		r := selfreport.Report{Limited: c.rate > 0, Rate: c.rate}
		c.deliver(name, tr.Observe(c.now, selfreport.Process{Server: c.server.ID, Start: c.server.Start}, sent, r))
	})
}

// deliver delivers the messages of a node.
func (c *cluster) deliver(from id.Node, actions []event.Action) {
	for _, a := range actions {
		m, ok := a.(event.Send)
		if !ok || c.dead.Has(m.To) || c.cut(from, m.To) {
			continue
		}
		c.after(messageTime, func() { c.nodes[m.To].Step(c.now, event.Receive{From: from, Body: m.Body}) })
	}
}

// run lets the nodes that pick returns send a request each, in each step of a span.
func (c *cluster) run(span time.Duration, pick func() []id.Node) {
	for end := c.now.Add(span); c.now.Before(end); c.advance() {
		for _, name := range pick() {
			c.send(name)
		}
	}
}

// all lets every node send.
func (c *cluster) all() []id.Node { return c.names }

// since returns the number of requests from some time on.
func (c *cluster) since(from time.Time) int {
	return len(slices.DeleteFunc(slices.Clone(c.sent), func(at time.Time) bool { return at.Before(from) }))
}

// most returns the largest number of requests within limitSpan, from some time on.
func (c *cluster) most(from time.Time) int {
	most, first := 0, 0
	for i, at := range c.sent {
		for at.Sub(c.sent[first]) >= limitSpan || c.sent[first].Before(from) && first < i {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// allowed returns how many requests a server that names a rate may get within limitSpan.
func allowed(rate float64) float64 { return 1.5*rate*limitSpan.Seconds() + 5 }

// TestLimitSum guards against a server that gets more requests than it names, from many nodes together that are all busy, by
// low rates and by high ones.
func TestLimitSum(t *testing.T) {
	for _, count := range []int{1, 2, 9, 40, 340} {
		for _, rate := range []float64{0.05, 0.3, 1, 1.4, 7.7, 60} {
			t.Run(fmt.Sprintf("%d nodes, %g per second", count, rate), func(t *testing.T) {
				c := newCluster(count, rate)
				c.run(16*time.Second, c.all)
				NewWithT(t).Expect(c.most(epoch.Add(settleTime))).To(BeNumerically("<=", allowed(rate)))
			})
		}
	}
}

// TestLimitUsed guards against a limit of which the nodes leave the greater part unused although they are busy.
func TestLimitUsed(t *testing.T) {
	for _, count := range []int{1, 9, 40} {
		for _, rate := range []float64{0.3, 1, 1.4, 7.7, 60} {
			t.Run(fmt.Sprintf("%d nodes, %g per second", count, rate), func(t *testing.T) {
				c := newCluster(count, rate)
				c.run(60*time.Second, c.all)
				NewWithT(t).Expect(c.since(epoch.Add(20 * time.Second))).To(BeNumerically(">=", int(0.8*rate*40)))
			})
		}
	}
}

// TestLimitOneSender guards against a leader that uses only a node's share of a limit, or more than the limit.
func TestLimitOneSender(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(9, 1.4)
	c.by = selfreport.OneNode
	c.run(24*time.Second, func() []id.Node { return c.names[:1] })
	g.Expect(c.most(epoch.Add(settleTime))).To(And(BeNumerically(">=", 5), BeNumerically("<=", allowed(1.4))))
}

// TestLimitDeadNodes guards against a server that gets nothing any more because the nodes that have a share of its limit are
// gone or have no requests for it.
func TestLimitDeadNodes(t *testing.T) {
	for _, alive := range []int{1, 3, 20, 36} {
		t.Run(fmt.Sprint(alive), func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(40, 1)
			c.run(10*time.Second, c.all)
			for _, name := range c.names[alive:] {
				c.dead.Add(name)
			}
			from := c.now
			c.run(160*time.Second, c.all)
			g.Expect(c.since(from.Add(130 * time.Second))).NotTo(BeZero())
			g.Expect(c.most(epoch.Add(settleTime))).To(BeNumerically("<=", allowed(1)))
		})
	}
}

// TestLimitCut guards against nodes that exceed a limit because they do not hear from each other.
func TestLimitCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 20).Draw(t, "rate")
		c := newCluster(rapid.IntRange(2, 40).Draw(t, "nodes"), rate)
		split := rapid.IntRange(1, len(c.names)).Draw(t, "split")
		c.cut = func(from, to id.Node) bool {
			return slices.Index(c.names, from) < split != (slices.Index(c.names, to) < split)
		}
		c.run(20*time.Second, func() []id.Node {
			return []id.Node{c.names[rapid.IntRange(0, len(c.names)-1).Draw(t, "sender")]}
		})
		if most := c.most(epoch.Add(settleTime)); float64(most) > allowed(rate) {
			t.Fatalf("%d requests, %g allowed", most, allowed(rate))
		}
	})
}

// TestLimitEnds guards against nodes that keep to a limit which the server no longer names.
func TestLimitEnds(t *testing.T) {
	for _, count := range []int{2, 9, 40} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(count, 1)
			c.run(10*time.Second, c.all)
			c.rate = 0
			c.run(6*time.Second, c.all)
			c.refused = 0
			c.run(time.Second, c.all)
			g.Expect(c.refused).To(BeZero())
		})
	}
}

// TestLimitNewcomer guards against a node that starts while a server names a limit and does not know it.
func TestLimitNewcomer(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(9, 1)
	c.run(10*time.Second, c.all)
	names := append(slices.Clone(c.names), "new")
	c.nodes["new"] = selfreport.New(event.Self{Node: "new"})
	told := 0
	for _, name := range names {
		c.nodes[name].SetNodes(names)
		actions := c.nodes[name].Step(c.now, event.PeerLink{Peer: "new", Up: true})
		told += len(actions)
		c.deliver(name, actions)
	}
	g.Expect(told).To(BeNumerically("<=", 3))
	c.names = names
	from := c.now.Add(settleTime)
	c.run(12*time.Second, c.all)
	g.Expect(c.most(from)).To(BeNumerically("<=", allowed(1)))
}

// TestLimitOfProcess guards against the limit of a process that is kept for the next one of its server, and against one that
// is forgotten because the server's entry was lost for a moment.
func TestLimitOfProcess(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(1, 1)
	c.run(2*time.Second, c.all)
	tr := c.nodes["n0"]
	tr.Step(c.now, fleet.ServerRemoved{Server: c.server})
	at, _ := tr.ReadyAt(c.now, c.server, selfreport.AllNodes)
	g.Expect(at).To(BeTemporally(">", c.now))
	c.server = &fleet.Server{ID: "s", Entry: fleet.Entry{Start: "2"}}
	tr.Step(c.now, fleet.ServerChanged{Server: c.server, Restarted: true})
	at, _ = tr.ReadyAt(c.now, c.server, selfreport.AllNodes)
	g.Expect(at).To(BeZero())
}

// TestMalformedMessage guards against messages of other nodes that name no server or cannot be kept.
func TestMalformedMessage(t *testing.T) {
	g := NewWithT(t)
	g.Expect(selfreport.Shared{}.Check()).NotTo(Succeed())
	g.Expect(selfreport.Shared{Server: id.Server(make([]byte, 300))}.Check()).NotTo(Succeed())
	g.Expect(selfreport.Shared{Server: "s", Start: "1", Limited: true, Rate: 1 << 63}.Check()).To(Succeed())
}
