package batch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/batch"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/leader"
)

// submitMoved submits a job that another leader has handed over.
func (h *harness) submitMoved(m batch.Moved, insist bool) {
	h.step(event.Receive{From: "g", Body: batch.Submit{
		Ticket: m.Ticket, Request: "r", Route: "route", Left: int64(jobTimeout), Aim: int64(jobTimeout / 2), Value: 10,
		Stages:      []batch.Stage{{Pool: cutPool, Pieces: 2, Bytes: 100}, {Pool: readPool, Pieces: 1, After: []uint32{0}, Bytes: 100}},
		PreAccepted: m.Accepted, Class: m.Class, Made: m.Made, Insist: insist,
	}})
}

// TestHandOver guards against a former leader that sends calls alongside the new one, and against results that are computed
// again because of a change of leader.
func TestHandOver(t *testing.T) {
	follow := leader.Changed{Leader: "other"}
	t.Run("between two stages", func(t *testing.T) {
		g := NewWithT(t)
		old, next := newHarness(t, 2), newHarness(t, 2)
		old.submit(1, jobTimeout)
		old.step(follow)
		g.Expect(old.moved).To(BeEmpty(), "its pieces are running")
		old.finishNext()
		g.Expect(old.running).To(BeEmpty(), "the new leader runs the next stage")
		moved := old.moved[1]
		g.Expect(moved.Check()).To(Succeed())
		g.Expect(moved.Leader).To(BeEquivalentTo("other"))
		g.Expect(moved.Made).To(HaveLen(2))
		old.advance(time.Second)
		g.Expect(old.freed).To(BeEmpty(), "the results are still to be read")
		next.submitMoved(moved, false)
		g.Expect(next.running).To(HaveLen(1))
		g.Expect(next.running[0].Items).To(HaveLen(1))
		g.Expect(next.running[0].Items[0].Inputs).To(Equal([]string{"h1", "h2"}))
		next.finishNext()
		next.step(event.Receive{From: "g", Body: batch.Release{Ticket: 1, Read: true}})
		next.advance(time.Second)
		g.Expect(next.freed).To(ConsistOf("h1", "h2", "h1"), "the results of both stages")
	})
	t.Run("waiting", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 0)
		h.submit(1, jobTimeout)
		h.step(follow)
		g.Expect(h.moved).To(HaveKey(uint64(1)))
		g.Expect(h.moved[1].Made).To(BeEmpty())
		g.Expect(h.OpenJobs()).To(BeZero())
	})
	t.Run("call fails", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 2)
		h.submit(1, jobTimeout)
		h.step(follow)
		h.step(batch.CallEnded{Call: h.running[0].Call, Fail: event.FailBroken})
		g.Expect(h.running).To(HaveLen(1), "no second call")
		g.Expect(h.moved).To(HaveKey(uint64(1)))
	})
	t.Run("a new job", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 2)
		h.step(follow)
		h.submit(1, jobTimeout)
		g.Expect(h.running).To(BeEmpty())
		g.Expect(h.moved[1].Accepted).To(BeFalse(), "the new leader has to admit it")
		h.submitMoved(h.moved[1], true)
		g.Expect(h.running).To(HaveLen(1), "no other node runs it")
	})
	t.Run("results of an unknown server", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 2)
		h.submitMoved(batch.Moved{Ticket: 1, Accepted: true, Made: []batch.PriorResult{{Handle: "h", Server: "nobody"}}}, false)
		g.Expect(h.running[0].Items).To(HaveLen(2))
	})
	t.Run("last results that have expired", func(t *testing.T) {
		g := NewWithT(t)
		old, next := newHarness(t, 2), newHarness(t, 2)
		old.servers[cutPool] = nil
		last := []batch.Stage{{Pool: readPool, Pieces: 1, Bytes: 100}, {Pool: cutPool, Pieces: 1, Bytes: 100}}
		old.submitStages(1, time.Minute, last...)
		old.finishNext()
		old.advance(11 * time.Second) // servers keep results for 10 s
		old.step(follow)
		g.Expect(old.moved[1].Made).To(BeEmpty())
		next.submitMoved(batch.Moved{Ticket: 1, Accepted: true, Made: []batch.PriorResult{
			{Server: "cut0"}, {Piece: 1, Server: "cut0"}, {Stage: 1, Server: "read0"},
		}}, false)
		g.Expect(next.done).To(BeEmpty(), "the last results no longer exist")
		g.Expect(next.running).NotTo(BeEmpty())
	})
	t.Run("results that were freed", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 2)
		made := []batch.PriorResult{{Server: "cut0"}, {Piece: 1, Server: "cut0"}, {Stage: 1, Handle: "h", Server: "read0", Left: int64(time.Second)}}
		h.submitMoved(batch.Moved{Ticket: 1, Accepted: true, Made: made}, false)
		g.Expect(h.running).To(BeEmpty())
		g.Expect(h.done[1].Results).To(Equal([]batch.Result{{Handle: "h", Server: "read0"}}))
	})
}

// TestSilentNode guards against work for nodes that have ended or follow another leader, against jobs that are dropped
// although their node is alive, and against a node that was only silent for a while and waits for a job that was dropped.
func TestSilentNode(t *testing.T) {
	ping := func(from id.Node, incarnation id.Incarnation) event.Receive {
		return event.Receive{From: from, Incarnation: incarnation, Body: leader.Ping{}}
	}
	run := func(h *harness, each func()) {
		h.submitterSilent = true
		h.submit(1, jobTimeout)
		for range 20 {
			h.advance(100 * time.Millisecond)
			each()
		}
	}
	t.Run("silent", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 0)
		run(h, func() {})
		g.Expect(h.OpenJobs()).To(BeZero())
		g.Expect(h.failed).To(BeEmpty(), "the submitter is gone")
	})
	t.Run("heard again", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 0)
		run(h, func() {})
		g.Expect(h.moved).To(BeEmpty())
		h.step(ping("g", ""))
		g.Expect(h.moved).To(HaveKey(uint64(1)), "the submitter still waits for the job")
		g.Expect(h.moved[1].Accepted).To(BeTrue())
		clear(h.moved)
		h.step(ping("g", ""))
		g.Expect(h.moved).To(BeEmpty(), "told once")
	})
	t.Run("heard again after the deadline", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 0)
		run(h, func() {})
		h.advance(jobTimeout)
		h.step(ping("g", ""))
		g.Expect(h.moved).To(BeEmpty())
	})
	t.Run("heard", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 0)
		run(h, func() { h.step(ping("g", "")) })
		g.Expect(h.OpenJobs()).To(Equal(1))
	})
	t.Run("started again", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 0)
		run(h, func() { h.step(ping("g", "next")) })
		g.Expect(h.OpenJobs()).To(BeZero())
	})
	t.Run("scheduler paused", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 0)
		h.submit(1, jobTimeout)
		h.now = h.now.Add(1300 * time.Millisecond)
		h.step(event.Tick{})
		g.Expect(h.OpenJobs()).To(Equal(1))
	})
}

// TestClassCheck guards against messages with an unknown class.
func TestClassCheck(t *testing.T) {
	for _, class := range []uint32{2, 256} {
		NewWithT(t).Expect(batch.Moved{Class: class}.Check()).NotTo(Succeed())
	}
}

// TestPriorResultCheck guards against results of pieces that the job does not have.
func TestPriorResultCheck(t *testing.T) {
	for name, m := range map[string]batch.PriorResult{
		"stage":  {Stage: 2, Handle: "h", Server: "s"},
		"piece":  {Stage: 1, Piece: 1, Handle: "h", Server: "s"},
		"server": {Handle: "h"},
	} {
		t.Run(name, func(t *testing.T) {
			s := batch.Submit{
				Ticket: 1, Request: "r", Made: []batch.PriorResult{m},
				Stages: []batch.Stage{{Pool: cutPool, Pieces: 2}, {Pool: readPool, Pieces: 1, After: []uint32{0}}},
			}
			NewWithT(t).Expect(s.Check()).NotTo(Succeed())
		})
	}
}
