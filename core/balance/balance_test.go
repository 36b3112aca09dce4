package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/balance"
	"bluebellflow/core/cost"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/ratelimit"
	"bluebellflow/core/selfreport"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const pool = id.Pool("p")

// fakeFleet is a fleet with one pool.
type fakeFleet struct {
	list   []*fleet.Server
	closed id.Set[id.Server]
}

// Pool returns all servers.
func (s *fakeFleet) Pool(id.Pool) []*fleet.Server { return s.list }

// Usable reports whether a server is usable: all but the closed ones are.
func (s *fakeFleet) Usable(server *fleet.Server) (bool, string) {
	return !s.closed.Has(server.ID), "closed"
}

// harness is a balancer with a fake fleet and clock.
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
	return &harness{Balancer: balance.New(self, s, ratelimit.NewColdLimiter("n", 0), selfreport.New(self)), servers: s, now: epoch}
}

const sendTime = 10 * time.Millisecond

// send picks a server and ends the attempt after sendTime. It returns "" if there is no server.
func (h *harness) send(q balance.Query, o balance.Outcome) id.Server {
	s, _ := h.Pick(h.now, q)
	if s == nil {
		return ""
	}
	h.Start(h.now, s, q)
	sent := h.now
	o.Took = sendTime
	h.now = h.now.Add(o.Took)
	h.End(h.now, s.ID, sent, o)
	return s.ID
}

// sendMany sends n requests, which end as respond returns, and counts them by server.
func (h *harness) sendMany(n int, q balance.Query, respond func(id.Server) (time.Duration, balance.Outcome)) map[id.Server]int {
	out := map[id.Server]int{}
	for range n {
		s, _ := h.Pick(h.now, q)
		if s == nil {
			break
		}
		took, o := respond(s.ID)
		h.Start(h.now, s, q)
		sent := h.now
		h.now = h.now.Add(took)
		o.Took = took
		h.End(h.now, s.ID, sent, o)
		out[s.ID]++
	}
	return out
}

func healthy(id.Server) (time.Duration, balance.Outcome) {
	return 10 * time.Millisecond, balance.Outcome{}
}

// TestSameDomain guards against requests that leave their failure domain although its server is healthy.
func TestSameDomain(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(3)
	g.Expect(h.sendMany(50, balance.Query{Pool: pool}, healthy)).To(Equal(map[id.Server]int{"s0": 50}))
}

// TestBadServers guards against sending requests to servers that are slow, fail, hang or cannot be reached, and against
// sending none after they have recovered.
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
			h := newHarness(3)
			q := balance.Query{Pool: pool}
			h.sendMany(20, q, healthy)
			got := h.sendMany(100, q, func(s id.Server) (time.Duration, balance.Outcome) {
				if s == "s0" {
					return bad()
				}
				return healthy(s)
			})
			g.Expect(got["s0"]).To(BeNumerically("<", 20))
			h.now = h.now.Add(30 * time.Second)
			g.Expect(h.sendMany(20, q, healthy)["s0"]).To(BeNumerically(">", 10), "a recovered server gets no requests")
		})
	}
	t.Run("hanging", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(3)
		q := balance.Query{Pool: pool, StuckAfter: 150 * time.Millisecond}
		h.sendMany(20, q, healthy)
		s, _ := h.Pick(h.now, q)
		g.Expect(s.ID).To(Equal(id.Server("s0")))
		h.Start(h.now, s, q)
		h.now = h.now.Add(200 * time.Millisecond)
		got := h.sendMany(20, q, healthy)
		g.Expect(got).NotTo(HaveKey(id.Server("s0")))
	})
}

// prompt returns a query for a request whose prompt has the given shared part.
func prompt(part uint64) balance.Query {
	return balance.Query{Pool: pool, Request: &cost.Request{
		Prompt: 2200, Shared: []cost.Part{{ID: part, Tokens: 2000}}, Output: 400, Stream: true, Objective: 500 * time.Millisecond, Deadline: 10 * time.Second,
	}}
}

// TestSticky guards against sending requests with the same shared part to different servers, against overloading one
// server with a popular part, and against staying with a server that fails.
func TestSticky(t *testing.T) {
	q := prompt(77)
	t.Run("same server", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(9)
		g.Expect(h.sendMany(50, q, healthy)).To(HaveLen(1))
	})
	t.Run("spread over prompts", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(9)
		used := id.NewSet[id.Server]()
		for i := range uint64(100) {
			used.Add(h.send(prompt(i+1), balance.Outcome{}))
		}
		g.Expect(used).To(HaveLen(9))
	})
	t.Run("popular part", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(9)
		used := map[id.Server]int{}
		for range 60 {
			s, _ := h.Pick(h.now, q)
			h.Start(h.now, s, q)
			used[s.ID]++
		}
		g.Expect(len(used)).To(BeNumerically(">", 3), "%v", used)
	})
	t.Run("failing server", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(9)
		first := h.send(q, balance.Outcome{})
		h.send(q, balance.Outcome{Fail: event.FailBroken})
		next := h.send(q, balance.Outcome{})
		g.Expect(next).NotTo(Equal(first))
		h.servers.closed.Add(next)
		g.Expect(h.send(q, balance.Outcome{})).NotTo(Equal(next))
	})
}

// TestNoServer guards against a missing reason when no server can be used.
func TestNoServer(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(2)
	h.servers.closed.Add("s0")
	h.servers.closed.Add("s1")
	s, reason := h.Pick(h.now, balance.Query{Pool: pool})
	g.Expect(s).To(BeNil())
	g.Expect(reason).To(ContainSubstring("none of 2 servers of pool p: closed"))
}

// TestPace guards against sending requests to a server that reports that it is slow now, and against believing that for long.
func TestPace(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(3)
	q := balance.Query{Pool: pool}
	h.sendMany(20, q, healthy)
	pace := func(percent int) balance.Outcome {
		return balance.Outcome{LoadKnown: true, Load: selfreport.Load{Running: 1, Slots: 6, Pace: percent}}
	}
	g.Expect(h.send(q, pace(100))).To(Equal(id.Server("s0")))
	g.Expect(h.send(q, pace(300))).To(Equal(id.Server("s0")))
	g.Expect(h.send(q, pace(100))).NotTo(Equal(id.Server("s0")))
	h.now = h.now.Add(time.Second)
	g.Expect(h.send(q, pace(100))).To(Equal(id.Server("s0")), "an old pace is believed")
}
