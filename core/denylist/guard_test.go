package denylist_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/denylist"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	bad      = id.Fingerprint(1) // a key that crashes servers
	innocent = id.Fingerprint(2)
)

var nodeNames = []id.Node{"a", "b", "c"}

func newGuard(name id.Node) *denylist.Guard {
	g := denylist.New(event.Self{Node: name})
	g.SetNodes(nodeNames)
	return g
}

// cluster is the guards of several nodes that see the same servers.
type cluster struct {
	*WithT
	guards map[id.Node]*denylist.Guard
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{NewWithT(t), map[id.Node]*denylist.Guard{}}
	for _, name := range nodeNames {
		c.guards[name] = newGuard(name)
	}
	return c
}

// deliver delivers messages twice each, and returns how many there were. Receivers must accept all of them.
func (c *cluster) deliver(now time.Time, from id.Node, actions []event.Action) int {
	count := 0
	for _, a := range actions {
		if send, ok := a.(event.Send); ok {
			count++
			c.Expect(send.Body.Check()).To(Succeed())
			for range 2 {
				c.guards[send.To].Step(now, event.Receive{From: from, Body: send.Body})
			}
		}
	}
	return count
}

// breakOff breaks off an attempt of a node at process n, and returns the process.
func (c *cluster) breakOff(now time.Time, node id.Node, n int, keys ...id.Fingerprint) denylist.Process {
	p := process(n)
	c.deliver(now, node, c.guards[node].RecordBroken(now, keys, p))
	return p
}

func process(n int) denylist.Process {
	return denylist.Process{Server: id.Server(fmt.Sprint("s", n)), Start: id.Start(fmt.Sprint("start", n))}
}

// restart lets all nodes learn from the store that process n has been replaced.
func (c *cluster) restart(now time.Time, n int) {
	for _, g := range c.guards {
		g.Step(now, fleet.ServerChanged{Server: &fleet.Server{ID: process(n).Server}, Restarted: true})
	}
}

func (c *cluster) respond(now time.Time, node id.Node, keys ...id.Fingerprint) {
	c.deliver(now, node, c.guards[node].RecordResponse(keys))
}

// crash breaks off an attempt and ends its process a second later.
func (c *cluster) crash(now time.Time, node id.Node, n int, keys ...id.Fingerprint) {
	c.breakOff(now, node, n, keys...)
	c.restart(now.Add(time.Second), n)
}

// expectRefused asserts on all nodes whether a key is refused.
func (c *cluster) expectRefused(now time.Time, key id.Fingerprint, want bool, why string) {
	for name, g := range c.guards {
		left, _ := g.RefusedFor(now, []id.Fingerprint{key})
		c.ExpectWithOffset(1, left > 0).To(Equal(want), "node %s: %s", name, why)
	}
}

// trials returns the nodes that may try a request.
func (c *cluster) trials(now time.Time, keys ...id.Fingerprint) []id.Node {
	var out []id.Node
	for _, name := range nodeNames {
		if c.guards[name].TrialDue(now, keys) {
			out = append(out, name)
		}
	}
	return out
}

// try starts a trial on a node.
func (c *cluster) try(now time.Time, node id.Node, keys ...id.Fingerprint) {
	c.deliver(now, node, c.guards[node].StartTrial(now, keys))
}

// TestRefusal guards against a key that continues to crash servers, against refusing one that crashed fewer, and against
// counting a process twice because a message is repeated.
func TestRefusal(t *testing.T) {
	c := newCluster(t)
	for n := range 3 {
		now := epoch.Add(time.Duration(n) * time.Minute)
		c.expectRefused(now, bad, false, fmt.Sprintf("after %d crashes", n))
		c.crash(now, nodeNames[n], n, bad)
	}
	c.crash(epoch, "a", 7, innocent)
	now := epoch.Add(3 * time.Minute)
	for _, g := range c.guards {
		left, key := g.RefusedFor(now, []id.Fingerprint{innocent, bad})
		c.Expect(left).To(BeNumerically("~", 9*time.Minute, 2*time.Second))
		c.Expect(key).To(Equal(bad))
	}
	c.expectRefused(now, innocent, false, "one crash")
	c.expectRefused(now.Add(10*time.Minute), bad, false, "refused without end")
}

// TestSharedParts guards against refusing sound requests because they share a part of their prompts with requests that
// crash servers, or were in progress at the same servers.
func TestSharedParts(t *testing.T) {
	const common, session = id.Fingerprint(3), id.Fingerprint(4)
	t.Run("responses between the crashes", func(t *testing.T) {
		c := newCluster(t)
		for n := range 4 {
			now := epoch.Add(time.Duration(n) * time.Second)
			c.breakOff(now, "a", n, id.Fingerprint(100+n), common, bad)
			c.breakOff(now, "b", n, id.Fingerprint(200+n), common, session)
			c.respond(now.Add(500*time.Millisecond), "c", id.Fingerprint(300+n), common)
			c.respond(now.Add(500*time.Millisecond), "b", session)
			c.restart(now.Add(900*time.Millisecond), n)
		}
		now := epoch.Add(5 * time.Second)
		c.expectRefused(now, bad, true, "four crashes")
		c.expectRefused(now, common, false, "others with the part got responses")
		c.expectRefused(now, session, false, "others with the part got responses")
	})
	t.Run("responses only before", func(t *testing.T) {
		c := newCluster(t)
		for _, name := range nodeNames {
			c.respond(epoch, name, common)
		}
		for n := range 9 {
			c.crash(epoch.Add(time.Duration(n)*time.Second), "a", n, id.Fingerprint(100+n), common, bad)
		}
		c.expectRefused(epoch.Add(10*time.Second), bad, true, "nine crashes")
		c.expectRefused(epoch.Add(10*time.Second), common, false, "the other part explains the crashes")
	})
	t.Run("in progress after the refusal", func(t *testing.T) {
		c := newCluster(t)
		for n := range 3 {
			c.crash(epoch, "a", n, bad)
		}
		for n := range 3 {
			c.crash(epoch.Add(time.Second), "b", 10+n, common, bad)
		}
		c.expectRefused(epoch.Add(3*time.Second), common, false, "the other part explains the crashes")
	})
}

// TestRefusedConn guards against waiting for the store, which reports the end of a process seconds later, while more servers
// crash.
func TestRefusedConn(t *testing.T) {
	c := newCluster(t)
	for n := range 3 {
		now := epoch.Add(time.Duration(n) * 100 * time.Millisecond)
		p := c.breakOff(now, "a", n, bad)
		observed := c.guards["b"].RecordRefusedConn(now.Add(50*time.Millisecond), p)
		c.Expect(c.deliver(now.Add(50*time.Millisecond), "b", observed)).To(Equal(2))
		c.Expect(c.guards["a"].RecordRefusedConn(now.Add(60*time.Millisecond), p)).To(BeEmpty(), "it is known")
	}
	c.expectRefused(epoch.Add(300*time.Millisecond), bad, true, "three processes have ended")
	c.Expect(c.guards["a"].RecordRefusedConn(epoch, process(9))).To(BeEmpty(), "no attempt broke off there")
}

// TestLateReport guards against losing a crash because the end of the process is known before the broken attempt of another
// node.
func TestLateReport(t *testing.T) {
	c := newCluster(t)
	for n := range 3 {
		c.breakOff(epoch, "a", n, innocent)
		c.restart(epoch.Add(time.Second), n)
		c.breakOff(epoch.Add(2*time.Second), "b", n, bad)
	}
	c.expectRefused(epoch.Add(3*time.Second), bad, true, "three processes have ended")
}

// TestCrashWindow guards against counting broken attempts that were not followed by the end of the server's process.
func TestCrashWindow(t *testing.T) {
	c := newCluster(t)
	const running = id.Fingerprint(3)
	for n := range 5 {
		c.breakOff(epoch, "a", n, bad)
		c.breakOff(epoch, "a", 10+n, running)
		for _, g := range c.guards {
			g.Step(epoch, fleet.ServerChanged{Server: &fleet.Server{ID: process(10 + n).Server}})
		}
		c.restart(epoch.Add(11*time.Second), n)
	}
	c.expectRefused(epoch.Add(time.Minute), bad, false, "the processes ended later")
	c.expectRefused(epoch.Add(time.Minute), running, false, "the processes have not ended")
}

// TestResponseClearsCrashes guards against refusing a request only because many callers send it, so that it is in progress
// at most servers that end.
func TestResponseClearsCrashes(t *testing.T) {
	c := newCluster(t)
	for n := range 5 {
		c.crash(epoch, "a", n, innocent)
		c.respond(epoch, "b", innocent)
		c.respond(epoch, "a", innocent)
	}
	c.expectRefused(epoch.Add(time.Second), innocent, false, "it got responses")
}

// TestTrial guards against a key that stays refused although it crashes no servers, as when all servers ended at the same
// time, and against trials that cost more than one server.
func TestTrial(t *testing.T) {
	refused := func(t *testing.T) *cluster {
		c := newCluster(t)
		for n := range 3 {
			c.crash(epoch, "a", n, bad, innocent)
		}
		c.expectRefused(epoch.Add(2*time.Second), bad, true, "three crashes")
		return c
	}
	t.Run("fails, then succeeds", func(t *testing.T) {
		c := refused(t)
		now := epoch.Add(10 * time.Second)
		c.Expect(c.trials(now, bad)).To(BeEmpty(), "too early")
		now = epoch.Add(11 * time.Second)
		tester := c.trials(now, bad)
		c.Expect(tester).To(HaveLen(1))
		c.try(now, tester[0], bad)
		c.crash(now, tester[0], 3, bad)
		c.Expect(c.trials(now.Add(19*time.Second), bad)).To(BeEmpty(), "too early after a failed trial")
		now = now.Add(20 * time.Second)
		c.Expect(c.trials(now, bad)).To(Equal(tester))
		c.try(now, tester[0], bad)
		c.respond(now, tester[0], bad)
		c.expectRefused(now, bad, false, "the trial got a response")
	})
	t.Run("the first node sends none", func(t *testing.T) {
		c := refused(t)
		c.Expect(c.trials(epoch.Add(13*time.Second), bad)).To(HaveLen(3))
	})
	t.Run("two refused keys", func(t *testing.T) {
		c := refused(t)
		c.Expect(c.trials(epoch.Add(11*time.Second), bad, innocent)).To(HaveLen(1))
		c.Expect(c.trials(epoch.Add(11*time.Second), innocent, bad)).To(HaveLen(1))
	})
}

// TestNewNode guards against more crashes because a node that has started since does not know the refused keys.
func TestNewNode(t *testing.T) {
	refusedBy := func(g *denylist.Guard, now time.Time) bool {
		left, _ := g.RefusedFor(now, []id.Fingerprint{bad})
		return left > 0
	}
	now := epoch.Add(2 * time.Second)
	for name, learn := range map[string]func(c *cluster, fresh *denylist.Guard){
		"connects": func(c *cluster, fresh *denylist.Guard) {
			for _, name := range nodeNames {
				for _, a := range c.guards[name].Step(now, event.PeerLink{Peer: "d", Up: true}) {
					c.Expect(a.(event.Send).To).To(Equal(id.Node("d")))
					fresh.Step(now, event.Receive{From: name, Body: a.(event.Send).Body})
				}
			}
		},
		"sends such a request": func(c *cluster, fresh *denylist.Guard) {
			fresh.SetNodes(append([]id.Node{"d"}, nodeNames...))
			broken := fresh.RecordBroken(now, []id.Fingerprint{bad}, process(7))[0].(event.Send)
			for _, a := range c.guards[broken.To].Step(now, event.Receive{From: "d", Body: broken.Body}) {
				if send, ok := a.(event.Send); ok {
					c.Expect(send.To).To(Equal(id.Node("d")))
					fresh.Step(now, event.Receive{From: broken.To, Body: send.Body})
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			for n := range 3 {
				c.crash(epoch, "a", n, bad)
			}
			fresh := denylist.New(event.Self{Node: "d"})
			learn(c, fresh)
			c.Expect(refusedBy(fresh, now)).To(BeTrue())
			c.Expect(refusedBy(fresh, now.Add(10*time.Minute))).To(BeFalse(), "refused without end")
		})
	}
}

// TestRunningProcess guards against counting a crash of the process that runs now, because an attempt broke off there before
// the store showed that the process before it had ended.
func TestRunningProcess(t *testing.T) {
	c := newCluster(t)
	for n := range 3 {
		p := process(n)
		c.breakOff(epoch, "a", n, innocent)
		for _, g := range c.guards {
			g.Step(epoch, fleet.ServerChanged{Server: &fleet.Server{ID: p.Server, Entry: fleet.Entry{Start: p.Start}}, Restarted: true})
		}
	}
	c.expectRefused(epoch, innocent, false, "the processes are running")
}

// TestTrialOfManyKeys guards against a trial of a request with more refused keys than a message may hold, of which no other node hears.
func TestTrialOfManyKeys(t *testing.T) {
	c := newCluster(t)
	keys := make([]id.Fingerprint, 200)
	for i := range keys {
		keys[i] = id.Fingerprint(100 + i)
	}
	for n := range 3 {
		c.crash(epoch, "a", n, keys...)
	}
	now := epoch.Add(15 * time.Second)
	c.Expect(c.trials(now, keys...)).To(Equal(nodeNames))
	c.try(now, "b", keys...)
	c.Expect(c.trials(now, keys...)).To(BeEmpty())
}

// TestOldCrashes guards against adding up crashes that have nothing to do with each other.
func TestOldCrashes(t *testing.T) {
	c := newCluster(t)
	for n := range 5 {
		c.crash(epoch.Add(time.Duration(n)*6*time.Minute), "a", n, innocent)
	}
	c.expectRefused(epoch.Add(25*time.Minute), innocent, false, "at most two crashes in ten minutes")
}

// TestEarlierRelease guards against ignoring the crashes that nodes of earlier releases report.
func TestEarlierRelease(t *testing.T) {
	c := newCluster(t)
	for n := range 3 {
		p := process(n)
		for _, g := range c.guards {
			g.Step(epoch, event.Receive{From: "old", Body: denylist.Crash{Fingerprint: uint64(bad), Server: p.Server, Start: p.Start}})
		}
	}
	c.expectRefused(epoch, bad, true, "three crashes")
}

// TestBounded guards against memory that grows with the number of requests in progress at servers that end, and against
// forgetting refused keys because of others that broke off.
func TestBounded(t *testing.T) {
	c := newCluster(t)
	refusedBy := func(key id.Fingerprint) bool {
		left, _ := c.guards["a"].RefusedFor(epoch.Add(time.Second), []id.Fingerprint{key})
		return left > 0
	}
	for n := range 3 {
		c.crash(epoch, "a", n, bad)
	}
	for n := range 5000 {
		c.guards["a"].RecordBroken(epoch, []id.Fingerprint{id.Fingerprint(100 + n)}, process(n))
	}
	c.Expect(refusedBy(bad)).To(BeTrue(), "a refused key was dropped for another")
	for n := range 5000 {
		c.guards["a"].Step(epoch, event.Receive{From: "b", Body: denylist.Refused{Key: uint64(10000 + n)}})
	}
	c.Expect(refusedBy(bad)).To(BeFalse(), "the oldest record was not dropped")
	c.Expect(refusedBy(id.Fingerprint(14999))).To(BeTrue())
}

// TestManyKeys guards against messages that other nodes reject, because a prompt has many parts.
func TestManyKeys(t *testing.T) {
	g := newGuard("a")
	keys := make([]id.Fingerprint, 200)
	for i := range keys {
		keys[i] = id.Fingerprint(i)
	}
	sent := append(g.RecordBroken(epoch, keys, process(1)), g.RecordResponse(keys)...)
	NewWithT(t).Expect(sent).To(HaveLen(2 * 2 * 4))
	for _, a := range sent {
		NewWithT(t).Expect(a.(event.Send).Body.Check()).To(Succeed())
	}
}

// TestCheck guards against malformed messages of other nodes.
func TestCheck(t *testing.T) {
	g := NewWithT(t)
	for _, valid := range []event.Body{
		denylist.Broken{Process: process(1), Keys: []uint64{1}},
		denylist.Ended{Process: process(1)},
		denylist.Responded{Keys: []uint64{1}},
		denylist.Crash{Server: "s"},
	} {
		g.Expect(valid.Check()).To(Succeed())
	}
	for _, malformed := range []event.Body{
		denylist.Broken{Keys: []uint64{1}},
		denylist.Broken{Process: process(1), Keys: make([]uint64, 65)},
		denylist.Ended{},
		denylist.Responded{Keys: make([]uint64, 65)},
		denylist.Crash{},
	} {
		g.Expect(malformed.Check()).NotTo(Succeed())
	}
}
