package batch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/batch"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/selfreport"
)

// say lets a server say something of itself to a scheduler's reports.
func (h *harness) say(tr *selfreport.Tracker, server id.Server, r selfreport.Report) {
	tr.Observe(h.now, selfreport.Process{Server: server}, h.now, r)
}

// TestLeavingServer guards against pieces that wait for a server that is leaving: because it is the only one in the failure
// domain of their results, or the only one on which they have not failed.
func TestLeavingServer(t *testing.T) {
	tr := selfreport.New(event.Self{Node: "n"})
	leaving := id.Server("cut1")
	newLeavingHarness := func(t *testing.T) *harness {
		h := newHarness(t, 2, batch.WithReports(tr))
		h.servers[cutPool][1].Domain = "d1"
		h.say(tr, leaving, selfreport.Report{Leaving: true})
		return h
	}
	t.Run("late", func(t *testing.T) {
		h := newLeavingHarness(t)
		h.step(event.Receive{From: "g", Body: batch.Submit{
			Ticket: 1, Request: "r1", Route: "route", Left: int64(time.Second), Aim: int64(10 * time.Millisecond), Value: 10, Prefer: "d1",
			Stages: []batch.Stage{{Pool: cutPool, Pieces: 2, Bytes: 200_000}},
		}})
		NewWithT(t).Expect(h.running).To(HaveLen(1))
	})
	t.Run("failed elsewhere", func(t *testing.T) {
		g := NewWithT(t)
		h := newLeavingHarness(t)
		h.submit(1, jobTimeout)
		h.step(batch.CallEnded{Call: h.nextCall().Call, Fail: event.FailBroken, Detail: "connection reset"})
		h.advance(time.Second)
		g.Expect(h.running).To(HaveLen(1))
		g.Expect(h.running[0].Server.ID).NotTo(Equal(leaving))
	})
}

// TestLimitedServer guards against calls to a stage server beyond the limit that it has named in the answer to a call.
func TestLimitedServer(t *testing.T) {
	g := NewWithT(t)
	tr := selfreport.New(event.Self{Node: "n"})
	h := newHarness(t, 1, batch.WithReports(tr))
	calls := 0
	for i := range uint64(100) {
		h.submitStages(i, jobTimeout, batch.Stage{Pool: cutPool, Pieces: 8, Bytes: 100})
		for len(h.running) > 0 {
			r := h.running[0]
			h.running = h.running[1:]
			calls++
			h.step(batch.CallEnded{Call: r.Call, Answered: true, Report: selfreport.Report{Limited: true, Rate: 2}, Outcomes: make([]batch.Outcome, len(r.Items))})
		}
		h.advance(100 * time.Millisecond)
	}
	g.Expect(calls).To(And(BeNumerically(">=", 15), BeNumerically("<=", 22)), "in 10 s at 2/s")
}

// TestAllServersLimited guards against a pool that rejects every job because all of its servers have named limits, and against
// one that accepts as many jobs as without limits.
func TestAllServersLimited(t *testing.T) {
	g := NewWithT(t)
	tr := selfreport.New(event.Self{Node: "n"})
	h := newHarness(t, 2, batch.WithReports(tr))
	for _, server := range []id.Server{"cut0", "cut1"} {
		h.say(tr, server, selfreport.Report{Limited: true, Rate: 1})
		tr.CountRequest(h.now, &fleet.Server{ID: server})
	}
	for i := range uint64(40) {
		h.submitStages(i, jobTimeout, batch.Stage{Pool: cutPool, Pieces: 8, Bytes: 100})
	}
	accepted := 40 - len(h.failed)
	g.Expect(accepted).To(And(BeNumerically(">=", 4), BeNumerically("<=", 12)), "two servers take 8 calls in 4 s")
	for _, server := range []id.Server{"cut0", "cut1"} {
		h.say(tr, server, selfreport.Report{Limited: true, Rate: 1, Leaving: true})
	}
	h.advance(100 * time.Millisecond)
	h.submitStages(40, jobTimeout, batch.Stage{Pool: cutPool, Pieces: 8, Bytes: 100})
	g.Expect(h.failed).To(HaveKey(uint64(40)), "no server is left")
}
