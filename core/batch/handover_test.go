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
func (w *harness) submitMoved(m batch.Moved, insist bool) {
	w.step(event.Receive{From: "g", Body: batch.Submit{
		Ticket: m.Ticket, Request: "r", Route: "route", Left: int64(jobTimeout), Aim: int64(jobTimeout / 2), Value: 10,
		Stages:      []batch.Stage{{Pool: cutPool, Pieces: 2, Bytes: 100}, {Pool: readPool, Pieces: 1, After: []uint32{0}, Bytes: 100}},
		PreAccepted: m.Accepted, Class: m.Class, Made: m.Made, Insist: insist,
	}})
}

// TestHandOver guards against a former leader that goes on sending calls beside the new one, and against results that
// are made again because the leader has changed.
func TestHandOver(t *testing.T) {
	follow := leader.Changed{Leader: "other"}
	t.Run("between two stages", func(t *testing.T) {
		g := NewWithT(t)
		old, next := newHarness(t, 2), newHarness(t, 2)
		old.submit(1, jobTimeout)
		old.step(follow)
		g.Expect(old.moved).To(BeEmpty(), "its pieces run")
		old.finishNext()
		g.Expect(old.running).To(BeEmpty(), "the next stage is the new leader's")
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
		w := newHarness(t, 0)
		w.submit(1, jobTimeout)
		w.step(follow)
		g.Expect(w.moved).To(HaveKey(uint64(1)))
		g.Expect(w.moved[1].Made).To(BeEmpty())
		g.Expect(w.OpenJobs()).To(BeZero())
	})
	t.Run("a call breaks", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(t, 2)
		w.submit(1, jobTimeout)
		w.step(follow)
		w.step(batch.CallEnded{Call: w.running[0].Call, Fail: event.FailBroken})
		g.Expect(w.running).To(HaveLen(1), "no second call")
		g.Expect(w.moved).To(HaveKey(uint64(1)))
	})
	t.Run("a new job", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(t, 2)
		w.step(follow)
		w.submit(1, jobTimeout)
		g.Expect(w.running).To(BeEmpty())
		g.Expect(w.moved[1].Accepted).To(BeFalse(), "it has to be admitted elsewhere")
		w.submitMoved(w.moved[1], true)
		g.Expect(w.running).To(HaveLen(1), "nobody else runs it")
	})
	t.Run("results of an unknown server", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(t, 2)
		w.submitMoved(batch.Moved{Ticket: 1, Accepted: true, Made: []batch.PriorResult{{Handle: "h", Server: "nobody"}}}, false)
		g.Expect(w.running[0].Items).To(HaveLen(2))
	})
	t.Run("last results that were forgotten", func(t *testing.T) {
		g := NewWithT(t)
		old, next := newHarness(t, 2), newHarness(t, 2)
		old.servers[cutPool] = nil
		last := []batch.Stage{{Pool: readPool, Pieces: 1, Bytes: 100}, {Pool: cutPool, Pieces: 1, Bytes: 100}}
		old.submitStages(1, time.Minute, last...)
		old.finishNext()
		old.advance(11 * time.Second) // servers keep results for ten
		old.step(follow)
		g.Expect(old.moved[1].Made).To(BeEmpty())
		next.submitMoved(batch.Moved{Ticket: 1, Accepted: true, Made: []batch.PriorResult{
			{Server: "cut0"}, {Piece: 1, Server: "cut0"}, {Stage: 1, Server: "read0"},
		}}, false)
		g.Expect(next.done).To(BeEmpty(), "nothing is there to read")
		g.Expect(next.running).NotTo(BeEmpty())
	})
	t.Run("results that were given up", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(t, 2)
		made := []batch.PriorResult{{Server: "cut0"}, {Piece: 1, Server: "cut0"}, {Stage: 1, Handle: "h", Server: "read0", Left: int64(time.Second)}}
		w.submitMoved(batch.Moved{Ticket: 1, Accepted: true, Made: made}, false)
		g.Expect(w.running).To(BeEmpty())
		g.Expect(w.done[1].Results).To(Equal([]batch.Result{{Handle: "h", Server: "read0"}}))
	})
}

// TestSilentNode guards against work for nodes that have ended or have gone to another leader, and against jobs that are
// dropped although their node lives.
func TestSilentNode(t *testing.T) {
	ping := func(from id.Node, incarnation id.Incarnation) event.Receive {
		return event.Receive{From: from, Incarnation: incarnation, Body: leader.Ping{}}
	}
	run := func(w *harness, each func()) {
		w.submitterSilent = true
		w.submit(1, jobTimeout)
		for range 20 {
			w.advance(100 * time.Millisecond)
			each()
		}
	}
	t.Run("silent", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(t, 0)
		run(w, func() {})
		g.Expect(w.OpenJobs()).To(BeZero())
		g.Expect(w.failed).To(BeEmpty(), "nobody waits for an answer")
	})
	t.Run("heard", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(t, 0)
		run(w, func() { w.step(ping("g", "")) })
		g.Expect(w.OpenJobs()).To(Equal(1))
	})
	t.Run("started again", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(t, 0)
		run(w, func() { w.step(ping("g", "next")) })
		g.Expect(w.OpenJobs()).To(BeZero())
	})
	t.Run("this process did not run", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(t, 0)
		w.submit(1, jobTimeout)
		w.now = w.now.Add(1300 * time.Millisecond)
		w.step(event.Tick{})
		g.Expect(w.OpenJobs()).To(Equal(1))
	})
}

// TestClassCheck guards against a class that a peer makes up.
func TestClassCheck(t *testing.T) {
	for _, class := range []uint32{2, 256} {
		NewWithT(t).Expect(batch.Moved{Class: class}.Check()).NotTo(Succeed())
	}
}

// TestPriorResultCheck guards against a message that names pieces which the job does not have.
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
