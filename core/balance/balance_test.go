package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/balance"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/ratelimit"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const pool = id.Pool("p")

// fakeFleet is a fleet of one pool.
type fakeFleet struct {
	list   []*fleet.Server
	closed id.Set[id.Server]
}

// Pool returns all servers.
func (s *fakeFleet) Pool(id.Pool) []*fleet.Server { return s.list }

// Usable reports whether a server is not closed.
func (s *fakeFleet) Usable(one *fleet.Server) (bool, string) {
	return !s.closed.Has(one.ID), "closed"
}

// harness is a balance with a clock.
type harness struct {
	*balance.Balancer
	servers *fakeFleet
	now     time.Time
}

func newHarness(count int) *harness {
	s := &fakeFleet{closed: id.NewSet[id.Server]()}
	for i := range count {
		s.list = append(s.list, &fleet.Server{
			ID:    id.Server(fmt.Sprint("s", i)),
			Entry: fleet.Entry{Pool: pool, Slots: 6, Domain: id.FailureDomain(fmt.Sprint("d", i%3))},
		})
	}
	self := event.Self{Node: "n", FailureDomain: "d0", Rand: rand.New(rand.NewPCG(1, 1))}
	return &harness{Balancer: balance.New(self, s, ratelimit.NewColdLimiter("n", 0)), servers: s, now: epoch}
}

const sendTime = 10 * time.Millisecond

// send picks a server and ends the attempt after sendTime.
func (w *harness) send(q balance.Query, o balance.Outcome) id.Server {
	s, _ := w.Pick(w.now, q)
	if s == nil {
		return ""
	}
	w.Start(w.now, s, q)
	sent := w.now
	o.Took = sendTime
	w.now = w.now.Add(o.Took)
	w.End(w.now, s.ID, sent, o)
	return s.ID
}

// sendMany sends many requests; each server answers as told.
func (w *harness) sendMany(n int, q balance.Query, answer func(id.Server) (time.Duration, balance.Outcome)) map[id.Server]int {
	out := map[id.Server]int{}
	for range n {
		s, _ := w.Pick(w.now, q)
		if s == nil {
			break
		}
		took, o := answer(s.ID)
		w.Start(w.now, s, q)
		sent := w.now
		w.now = w.now.Add(took)
		o.Took = took
		w.End(w.now, s.ID, sent, o)
		out[s.ID]++
	}
	return out
}

func healthy(id.Server) (time.Duration, balance.Outcome) {
	return 10 * time.Millisecond, balance.Outcome{}
}

// TestNear guards against requests that leave their failure domain without a reason.
func TestNear(t *testing.T) {
	g := NewWithT(t)
	w := newHarness(3)
	g.Expect(w.sendMany(50, balance.Query{Pool: pool}, healthy)).To(Equal(map[id.Server]int{"s0": 50}))
}

// TestBadServers guards against servers that keep getting requests although they are slow, fail, hang or cannot be
// reached, and against ones that get none after they have recovered.
func TestBadServers(t *testing.T) {
	cases := map[string]func() (time.Duration, balance.Outcome){
		"slow": func() (time.Duration, balance.Outcome) { return 100 * time.Millisecond, balance.Outcome{} },
		"broken": func() (time.Duration, balance.Outcome) {
			return 10 * time.Millisecond, balance.Outcome{Fail: event.FailBroken}
		},
		"unreachable": func() (time.Duration, balance.Outcome) {
			return time.Millisecond, balance.Outcome{Fail: event.FailUnsent}
		},
		"moved": func() (time.Duration, balance.Outcome) {
			return time.Millisecond, balance.Outcome{Fail: event.FailRejected, Moved: true}
		},
	}
	for name, bad := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newHarness(3)
			q := balance.Query{Pool: pool}
			w.sendMany(20, q, healthy)
			got := w.sendMany(100, q, func(s id.Server) (time.Duration, balance.Outcome) {
				if s == "s0" {
					return bad()
				}
				return healthy(s)
			})
			g.Expect(got["s0"]).To(BeNumerically("<", 20))
			w.now = w.now.Add(30 * time.Second)
			g.Expect(w.sendMany(20, q, healthy)["s0"]).To(BeNumerically(">", 10), "after it has recovered")
		})
	}
	t.Run("hanging", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(3)
		q := balance.Query{Pool: pool, StuckAfter: 150 * time.Millisecond}
		w.sendMany(20, q, healthy)
		s, _ := w.Pick(w.now, q)
		g.Expect(s.ID).To(Equal(id.Server("s0")))
		w.Start(w.now, s, q)
		w.now = w.now.Add(200 * time.Millisecond)
		got := w.sendMany(20, q, healthy)
		g.Expect(got).NotTo(HaveKey(id.Server("s0")))
	})
}

// TestPrompt guards against requests with the same shared part that meet on different servers, against one server that
// gets all of a popular part, and against prompts that follow a server which fails.
func TestPrompt(t *testing.T) {
	q := balance.Query{Pool: pool, PrefixID: 77}
	t.Run("same server", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(9)
		g.Expect(w.sendMany(50, q, healthy)).To(HaveLen(1))
	})
	t.Run("spread over prompts", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(9)
		used := id.NewSet[id.Server]()
		for i := range uint64(100) {
			used.Add(w.send(balance.Query{Pool: pool, PrefixID: i + 1}, balance.Outcome{}))
		}
		g.Expect(used).To(HaveLen(9))
	})
	t.Run("popular part", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(9)
		used := map[id.Server]int{}
		for range 60 {
			s, _ := w.Pick(w.now, q)
			w.Start(w.now, s, q)
			used[s.ID]++
		}
		g.Expect(len(used)).To(BeNumerically(">", 3), "%v", used)
	})
	t.Run("failing server", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(9)
		first := w.send(q, balance.Outcome{})
		w.send(q, balance.Outcome{Fail: event.FailBroken})
		next := w.send(q, balance.Outcome{})
		g.Expect(next).NotTo(Equal(first))
		w.servers.closed.Add(next)
		g.Expect(w.send(q, balance.Outcome{})).NotTo(Equal(next))
	})
}

// TestNone guards against a request that waits for nothing: there must be a reason.
func TestNone(t *testing.T) {
	g := NewWithT(t)
	w := newHarness(2)
	w.servers.closed.Add("s0")
	w.servers.closed.Add("s1")
	s, reason := w.Pick(w.now, balance.Query{Pool: pool})
	g.Expect(s).To(BeNil())
	g.Expect(reason).To(ContainSubstring("none of 2 servers of pool p: closed"))
}
