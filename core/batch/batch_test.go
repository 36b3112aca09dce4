package batch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/batch"
	"bluebellflow/core/catalog"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/leader"
)

const (
	cutPool, readPool = id.Pool("cut"), id.Pool("read")
	jobTimeout        = 4 * time.Second
)

// harness runs a scheduler with simulated servers; the test ends their calls.
type harness struct {
	*batch.Scheduler
	now             time.Time
	servers         map[id.Pool][]*fleet.Server
	running         []batch.StartCall
	freed           []string
	done            map[uint64]batch.Done
	failed          map[uint64]batch.Failed
	moved           map[uint64]batch.Moved
	lastHandle      int
	submitterSilent bool // the submitting node does not ping
}

func newHarness(t *testing.T, servers int, opts ...batch.Option) *harness {
	t.Helper()
	h := &harness{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), servers: map[id.Pool][]*fleet.Server{},
		done: map[uint64]batch.Done{}, failed: map[uint64]batch.Failed{}, moved: map[uint64]batch.Moved{},
	}
	c := catalog.Config{Version: 1}
	for _, name := range []id.Pool{cutPool, readPool} {
		c.Pools = append(c.Pools, catalog.Pool{Name: name, Pieces: &catalog.Pieces{
			MaxBatch: 8, MaxCalls: 1, CallTime: 100 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultMemory: 1 << 20, ResultTTL: 10 * time.Second,
		}})
		for i := range servers {
			h.servers[name] = append(h.servers[name], &fleet.Server{
				ID: id.Server(fmt.Sprintf("%s%d", name, i)), Entry: fleet.Entry{Pool: name, Domain: "d0"},
			})
		}
	}
	cat, err := catalog.New(c)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	h.Scheduler = batch.New(event.Self{Node: "n", Rand: rand.New(rand.NewPCG(1, 1))}, h, opts...)
	h.SetCatalog(cat)
	return h
}

func (h *harness) Pool(name id.Pool) []*fleet.Server { return h.servers[name] }

func (h *harness) Usable(*fleet.Server) (bool, string) { return true, "" }

func (h *harness) step(ev event.Event) {
	for _, a := range h.Step(h.now, ev) {
		switch a := a.(type) {
		case batch.StartCall:
			h.running = append(h.running, a)
		case batch.FreeResults:
			h.freed = append(h.freed, a.Handles...)
		case event.Send:
			switch b := a.Body.(type) {
			case batch.Done:
				h.done[b.Ticket] = b
			case batch.Failed:
				h.failed[b.Ticket] = b
			case batch.Moved:
				h.moved[b.Ticket] = b
			}
		}
	}
}

// submit submits a job with two pieces in cutPool and one in readPool that reads their results.
func (h *harness) submit(ticket uint64, left time.Duration) {
	h.submitStages(ticket, left, batch.Stage{Pool: cutPool, Pieces: 2, Bytes: 100}, batch.Stage{Pool: readPool, Pieces: 1, After: []uint32{0}, Bytes: 100})
}

func (h *harness) submitStages(ticket uint64, left time.Duration, stages ...batch.Stage) {
	h.step(event.Receive{From: "g", Body: batch.Submit{
		Ticket: ticket, Request: id.Request(fmt.Sprintf("r%d", ticket)), Route: "route", Left: int64(left), Aim: int64(left / 2), Value: 10,
		Stages: stages,
	}})
}

// advance moves the time forward from timer to timer; the submitting node pings at each of them.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); ; {
		next := h.Next()
		if next.IsZero() || next.After(end) {
			h.now = end
			return
		}
		h.now = next
		if !h.submitterSilent {
			h.step(event.Receive{From: "g", Body: leader.Ping{}})
		}
		h.step(event.Tick{})
	}
}

// nextCall removes the oldest call in progress and returns it 100 ms later.
func (h *harness) nextCall() batch.StartCall {
	r := h.running[0]
	h.running = h.running[1:]
	h.advance(100 * time.Millisecond)
	return r
}

// finishNext ends the oldest call with a result for each piece.
func (h *harness) finishNext() batch.StartCall {
	r := h.nextCall()
	h.finish(r)
	return r
}

// finish ends a call with a result for each piece.
func (h *harness) finish(r batch.StartCall) {
	ended := batch.CallEnded{Call: r.Call}
	for range r.Items {
		h.lastHandle++
		ended.Outcomes = append(ended.Outcomes, batch.Outcome{Handle: fmt.Sprintf("h%d", h.lastHandle)})
	}
	h.step(ended)
}

// TestJob guards against stages that run before their inputs are complete, and against results that are never freed.
func TestJob(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 2)
	h.submit(1, jobTimeout)
	first := h.finishNext()
	g.Expect(first.Items).To(HaveLen(2), "pieces of one job share a call")
	second := h.finishNext()
	g.Expect(second.Items).To(HaveLen(1))
	g.Expect(second.Items[0].Inputs).To(Equal([]string{"h1", "h2"}))
	g.Expect(h.done[1].Results).To(HaveLen(1))
	h.step(event.Receive{From: "g", Body: batch.Release{Ticket: 1, Read: true}})
	h.advance(time.Second)
	g.Expect(h.freed).To(ConsistOf("h1", "h2", "h3"))
	g.Expect(h.OpenJobs()).To(BeZero())
	g.Expect(h.Next()).To(BeZero(), "nothing is left to do")
}

// TestFailures guards against jobs that fail or are delayed because of the failure of one server.
func TestFailures(t *testing.T) {
	for name, fail := range map[string]func(*harness, batch.StartCall) event.Event{
		"broken": func(_ *harness, r batch.StartCall) event.Event {
			return batch.CallEnded{Call: r.Call, Fail: event.FailBroken, Detail: "connection reset"}
		},
		"rejected": func(_ *harness, r batch.StartCall) event.Event {
			return batch.CallEnded{Call: r.Call, Fail: event.FailRejected}
		},
		"piece failed": func(_ *harness, r batch.StartCall) event.Event {
			return batch.CallEnded{Call: r.Call, Outcomes: []batch.Outcome{{Reason: batch.ReasonFailed}, {Reason: batch.ReasonFailed}}}
		},
		"outcomes missing": func(_ *harness, r batch.StartCall) event.Event {
			return batch.CallEnded{Call: r.Call, Outcomes: []batch.Outcome{{Handle: "x"}}}
		},
		"server gone": func(h *harness, r batch.StartCall) event.Event {
			for _, s := range h.servers[cutPool] {
				if s.ID == r.Server.ID {
					return fleet.ServerRemoved{Server: s}
				}
			}
			return event.Tick{}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, 2)
			h.submit(1, jobTimeout)
			bad := h.nextCall()
			h.step(fail(h, bad))
			g.Expect(h.running).To(HaveLen(1), "the pieces go to the other server at once")
			g.Expect(h.running[0].Server.ID).NotTo(Equal(bad.Server.ID))
			h.finishNext()
			h.finishNext()
			g.Expect(h.done).To(HaveKey(uint64(1)))
		})
	}
	t.Run("silent", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 2)
		h.submit(1, jobTimeout)
		silent := h.nextCall()
		h.advance(silent.Timeout)
		g.Expect(h.running).To(HaveLen(1))
		g.Expect(h.running[0].Server.ID).NotTo(Equal(silent.Server.ID))
	})
}

// TestTrial guards against urgent tasks that are given to a server which has just failed, and are delayed until the next
// failure is noticed.
func TestTrial(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.submit(1, jobTimeout)
	h.step(batch.CallEnded{Call: h.running[0].Call, Fail: event.FailBroken})
	h.running = nil
	h.submit(2, 2*jobTimeout)
	h.submit(3, jobTimeout)
	h.advance(400 * time.Millisecond)
	g.Expect(h.running).To(HaveLen(1))
	g.Expect(h.running[0].Items).To(HaveLen(2), "one task as a trial")
	g.Expect(h.running[0].Items[0].Request).To(BeEquivalentTo("r2"), "the task with the most time left")
	h.finishNext()
	g.Expect(h.running[0].Items).To(HaveLen(4), "no longer limited to one task")
}

// resultLosses returns the ways in which the scheduler learns that the results on the servers of a pool are lost. The call
// passed to them reads these results.
func resultLosses(pool id.Pool) map[string]func(*harness, batch.StartCall) {
	return map[string]func(*harness, batch.StartCall){
		"server restarted": func(h *harness, _ batch.StartCall) {
			for _, s := range h.servers[pool] {
				h.step(fleet.ServerChanged{Server: s, Restarted: true})
			}
		},
		"input missing": func(h *harness, r batch.StartCall) {
			h.step(batch.CallEnded{Call: r.Call, Outcomes: []batch.Outcome{{Reason: batch.ReasonInputMissing}}})
		},
	}
}

// TestLostResults guards against stages that read results which were lost with their server.
func TestLostResults(t *testing.T) {
	for name, lose := range resultLosses(cutPool) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, 2)
			h.submit(1, jobTimeout)
			h.finishNext()
			reader := h.running[0]
			lose(h, reader)
			g.Expect(h.running).To(HaveLen(2))
			again := h.running[1]
			g.Expect(string(again.Server.ID)).To(HavePrefix(string(cutPool)), "the inputs are computed again")
			g.Expect(again.Items).To(HaveLen(2))
		})
	}
}

// TestLostOnce guards against a lost result that counts once for each piece that reads it, so that the job fails.
func TestLostOnce(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 2)
	h.submitStages(1, jobTimeout, batch.Stage{Pool: cutPool, Pieces: 1, Bytes: 100}, batch.Stage{Pool: readPool, Pieces: 6, After: []uint32{0}, Bytes: 100})
	h.finishNext()
	reader := h.nextCall()
	ended := batch.CallEnded{Call: reader.Call}
	for range reader.Items {
		ended.Outcomes = append(ended.Outcomes, batch.Outcome{Reason: batch.ReasonInputMissing})
	}
	h.step(ended)
	g.Expect(h.failed).To(BeEmpty())
	g.Expect(h.finishNext().Items).To(HaveLen(1), "the input is computed again once")
	g.Expect(h.finishNext().Items).To(HaveLen(6))
	g.Expect(h.done).To(HaveKey(uint64(1)))
}

// TestLostLater guards against results that are computed again from inputs which were freed: such calls cannot succeed.
func TestLostLater(t *testing.T) {
	for name, lose := range resultLosses(readPool) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, 2)
			h.submitStages(1, jobTimeout,
				batch.Stage{Pool: cutPool, Pieces: 1, Bytes: 100},
				batch.Stage{Pool: readPool, Pieces: 1, After: []uint32{0}, Bytes: 100},
				batch.Stage{Pool: cutPool, Pieces: 1, After: []uint32{1}, Bytes: 100})
			h.finishNext()
			h.finishNext()
			h.advance(200 * time.Millisecond)
			g.Expect(h.freed).To(ConsistOf("h1"), "the first result was read")
			last := h.running[0]
			h.running = nil
			lose(h, last)
			g.Expect(h.running).To(HaveLen(1))
			g.Expect(h.running[0].Items[0].Stage).To(BeZero(), "the first stage runs again before the second")
		})
	}
}

// TestFull guards against jobs that fail because servers have no memory for results for a while, as after a change of
// leader, and against full servers that count as fast because they answer at once.
func TestFull(t *testing.T) {
	full := func(r batch.StartCall) batch.CallEnded {
		ended := batch.CallEnded{Call: r.Call}
		for range r.Items {
			ended.Outcomes = append(ended.Outcomes, batch.Outcome{Reason: batch.ReasonServerFull})
		}
		return ended
	}
	t.Run("all for a second", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 2)
		h.submit(1, jobTimeout)
		for end := h.now.Add(time.Second); h.now.Before(end); h.advance(10 * time.Millisecond) {
			running := h.running
			h.running = nil
			for _, r := range running {
				h.step(full(r))
			}
		}
		g.Expect(h.failed).To(BeEmpty())
		h.advance(200 * time.Millisecond)
		h.finishNext()
		h.finishNext()
		g.Expect(h.done).To(HaveKey(uint64(1)))
	})
	t.Run("one of two", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 2)
		h.submit(1, jobTimeout)
		first := h.running[0]
		h.running = nil
		h.step(full(first))
		g.Expect(h.running).To(HaveLen(1), "the other server gets the pieces")
		h.finishNext()
		h.finishNext()
		h.advance(300 * time.Millisecond)
		h.running = nil
		h.submit(2, jobTimeout)
		g.Expect(h.running[0].Server.ID).NotTo(Equal(first.Server.ID), "the full server is not the fastest")
	})
}

// TestInfeasible guards against jobs that wait until their deadline although they cannot meet it.
func TestInfeasible(t *testing.T) {
	t.Run("no server", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 0)
		h.submit(1, jobTimeout)
		h.advance(jobTimeout - 150*time.Millisecond)
		g.Expect(h.failed).To(HaveKey(uint64(1)), "two stages take 220 ms")
		g.Expect(h.failed[1].After).To(BeNumerically(">", 0))
	})
	t.Run("queue longer than the time left", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		const jobs = 400
		for i := range uint64(jobs) {
			h.submit(i+1, jobTimeout)
			h.advance(10 * time.Millisecond)
		}
		g.Expect(len(h.failed)).To(BeNumerically(">", jobs/2), "one server per pool completes less than half of them in time")
		for _, f := range h.failed {
			g.Expect(time.Duration(f.After)).To(BeNumerically(">=", 500*time.Millisecond), "the retry delay")
		}
		g.Expect(h.OpenJobs()).To(BeNumerically(">", jobs/20), "jobs that fit are accepted")
	})
	t.Run("low load", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 2)
		for i := range uint64(20) {
			h.submit(i+1, jobTimeout)
			h.advance(100 * time.Millisecond)
			for len(h.running) > 0 {
				h.finishNext()
			}
		}
		g.Expect(h.failed).To(BeEmpty())
		g.Expect(h.done).To(HaveLen(20))
	})
}

// TestLateOrder guards against late jobs that run in the order of their deadlines: each would start shortly before it
// fails, and more work would be wasted.
func TestLateOrder(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	const left = 1200 * time.Millisecond
	h.submitStages(1, left, batch.Stage{Pool: readPool, Pieces: 8, Bytes: 1})
	h.submitStages(2, left, batch.Stage{Pool: readPool, Pieces: 7, Bytes: 1})
	h.submitStages(3, left+100*time.Millisecond, batch.Stage{Pool: readPool, Pieces: 2, Bytes: 1})
	blocking := h.running[0]
	h.running = nil
	h.advance(700 * time.Millisecond) // after all objectives, before the call times out
	h.finish(blocking)
	g.Expect(h.running[0].Items[0].Request).To(BeEquivalentTo("r3"))
}

// TestPause guards against a scheduler that continues stale jobs after a pause of its process.
func TestPause(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1)
	h.submit(1, time.Minute)
	h.now = h.now.Add(3 * time.Second)
	h.step(event.Tick{})
	g.Expect(h.OpenJobs()).To(BeZero())
}
