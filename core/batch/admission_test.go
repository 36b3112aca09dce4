package batch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/batch"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// submitRoute submits a job of a route with one piece, which may take two seconds and should take one.
func (h *harness) submitRoute(ticket uint64, route string, priority uint32) {
	h.step(event.Receive{From: "g", Body: batch.Submit{
		Ticket: ticket, Request: id.Request(fmt.Sprintf("r%d", ticket)), Route: route, RoutePriority: priority, Value: 10,
		Left: int64(2 * time.Second), Aim: int64(time.Second), Stages: []batch.Stage{{Pool: cutPool, Pieces: 1, Bytes: 100}},
	}})
}

// rejectedOf counts the rejected jobs among tickets.
func (h *harness) rejectedOf(from, to uint64) int {
	count := 0
	for ticket := from; ticket < to; ticket++ {
		if _, rejected := h.failed[ticket]; rejected {
			count++
		}
	}
	return count
}

// endDueCalls ends the calls that have taken the expected time of a full call.
func (h *harness) endDueCalls(startedAt map[uint64]time.Time) {
	const fullCall = 180 * time.Millisecond
	for _, r := range slices.Clone(h.running) {
		if _, known := startedAt[r.Call]; !known {
			startedAt[r.Call] = h.now
		}
		if h.now.Sub(startedAt[r.Call]) >= fullCall {
			h.running = slices.DeleteFunc(h.running, func(o batch.StartCall) bool { return o.Call == r.Call })
			h.finish(r)
		}
	}
}

// TestUrgentRoutesUnderOverload submits more than the servers can do, of which the urgent half would fit. It guards against urgent
// requests that are rejected while less urgent ones for the same pool are accepted.
func TestUrgentRoutesUnderOverload(t *testing.T) {
	const perRoute, urgentTickets, otherTickets = 400, uint64(0), uint64(10_000)
	const interval = 15 * time.Millisecond // the servers can do about 90 pieces a second
	g := NewWithT(t)
	h := newHarness(t, 2)
	startedAt := map[uint64]time.Time{}
	for i := range uint64(perRoute) {
		h.submitRoute(urgentTickets+i, "urgent", 0)
		h.submitRoute(otherTickets+i, "other", 2)
		h.advance(interval)
		h.endDueCalls(startedAt)
	}
	urgent, other := h.rejectedOf(urgentTickets, urgentTickets+perRoute), h.rejectedOf(otherTickets, otherTickets+perRoute)
	t.Logf("rejected: %d urgent, %d other", urgent, other)
	g.Expect(other).To(BeNumerically(">", perRoute/4), "there was no overload")
	g.Expect(urgent).To(BeNumerically("<=", perRoute/20))
}

// TestRetryTimesAreSpread rejects many jobs at once. It guards against callers that all return at the same moment and are
// rejected again.
func TestRetryTimesAreSpread(t *testing.T) {
	const jobs = 300
	g := NewWithT(t)
	h := newHarness(t, 1)
	for ticket := range uint64(jobs) {
		h.submitRoute(ticket, "route", 1)
	}
	var delays []time.Duration
	for ticket := range uint64(jobs) {
		if f, rejected := h.failed[ticket]; rejected {
			delays = append(delays, time.Duration(f.After))
		}
	}
	g.Expect(len(delays)).To(BeNumerically(">", 10))
	g.Expect(slices.IsSorted(delays)).To(BeTrue(), "who was rejected first returns first")
	g.Expect(delays[len(delays)-1]).To(BeNumerically(">", delays[0]))
	g.Expect(delays[0]).To(BeNumerically(">", 0))
}

// TestMemoryOfAnotherLeader lets a server report that it has no memory for all results but one. It guards against calls that
// are sent again and again with more results than the server has memory for, since another leader has left some there.
func TestMemoryOfAnotherLeader(t *testing.T) {
	const large = 200 << 10 // five of them fit into the memory of a server
	g := NewWithT(t)
	h := newHarness(t, 1)
	for ticket := range uint64(4) {
		h.submitStages(ticket, jobTimeout, batch.Stage{Pool: cutPool, Pieces: 1, Bytes: large})
	}
	first := h.nextCall()
	g.Expect(first.Items).To(HaveLen(1))
	h.finish(first)
	second := h.nextCall()
	g.Expect(second.Items).To(HaveLen(3))
	full := batch.CallEnded{Call: second.Call}
	for range second.Items {
		full.Outcomes = append(full.Outcomes, batch.Outcome{Reason: batch.ReasonServerFull})
	}
	h.step(full)
	h.advance(150 * time.Millisecond)
	g.Expect(h.running).To(BeEmpty(), "the server has no memory")
	h.submitStages(9, jobTimeout, batch.Stage{Pool: cutPool, Pieces: 1, Bytes: 100})
	g.Expect(h.running).To(HaveLen(1), "small results fit")
	g.Expect(h.running[0].Items).To(HaveLen(1))
	h.advance(time.Second)
	h.finish(h.running[0])
	h.running = h.running[1:]
	h.advance(100 * time.Millisecond)
	g.Expect(h.running).NotTo(BeEmpty(), "the results of the other leader are gone after a while")
}

// TestAllServersFailed breaks the call of the only server. It guards against requests that are rejected, with a long time to
// return, because for a moment no server may get a call.
func TestAllServersFailed(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.submitRoute(0, "route", 1)
	h.step(batch.CallEnded{Call: h.nextCall().Call, Fail: event.FailBroken, Detail: "reset"})
	for ticket := range uint64(4) {
		h.submitRoute(1+ticket, "route", 1)
	}
	g.Expect(h.failed).To(BeEmpty())
	g.Expect(h.OpenJobs()).To(Equal(5))
}

// TestNewPool submits jobs of several pools at once to a scheduler without any. It guards against a new leader that rejects the
// jobs which all nodes submit at its start, because it has not looked at all of their pools yet.
func TestNewPool(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 2)
	h.submitRoute(0, "route", 1)
	for ticket := range uint64(4) {
		h.submit(1+ticket, jobTimeout)
	}
	g.Expect(h.failed).To(BeEmpty())
}

// TestStageNumbers guards against jobs whose stages have other numbers than their order, and that are admitted although they
// cannot end in time, or whose pieces run before their inputs are complete.
func TestStageNumbers(t *testing.T) {
	for name, stages := range map[string][]batch.Stage{
		"in order":   {{Pool: cutPool, Pieces: 1}, {Pool: readPool, Pieces: 1, After: []uint32{0}}},
		"in reverse": {{Pool: readPool, Pieces: 1, After: []uint32{1}}, {Pool: cutPool, Pieces: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, 2)
			tooLate := batch.Submit{Ticket: 1, Request: "late", Stages: stages, Left: int64(150 * time.Millisecond)}
			g.Expect(tooLate.Check()).To(Succeed())
			h.step(event.Receive{From: "g", Body: tooLate})
			g.Expect(h.failed).To(HaveKey(uint64(1)), "two calls of 110 ms each do not fit")
			inTime := tooLate
			inTime.Ticket, inTime.Left, inTime.Aim = 2, int64(jobTimeout), int64(jobTimeout)
			h.step(event.Receive{From: "g", Body: inTime})
			g.Expect(h.running).To(HaveLen(1))
			h.finishNext()
			g.Expect(h.finishNext().Items[0].Inputs).To(Equal([]string{"h1"}))
			g.Expect(h.done[2].Results).To(Equal([]batch.Result{{Handle: "h2", Server: "read0"}}))
		})
	}
	circle := batch.Submit{Ticket: 3, Request: "circle", Stages: []batch.Stage{{Pool: cutPool, After: []uint32{1}}, {Pool: readPool, After: []uint32{0}}}}
	NewWithT(t).Expect(circle.Check()).NotTo(Succeed())
}
