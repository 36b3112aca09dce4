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

// harness is a scheduler with servers whose calls the test ends.
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
	submitterSilent bool // the node that submits does not ping
}

func newHarness(t *testing.T, servers int, opts ...batch.Option) *harness {
	t.Helper()
	w := &harness{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), servers: map[id.Pool][]*fleet.Server{},
		done: map[uint64]batch.Done{}, failed: map[uint64]batch.Failed{}, moved: map[uint64]batch.Moved{},
	}
	c := catalog.Config{Version: 1}
	for _, name := range []id.Pool{cutPool, readPool} {
		c.Pools = append(c.Pools, catalog.Pool{Name: name, Pieces: &catalog.Pieces{
			MaxBatch: 8, MaxCalls: 1, CallTime: 100 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultMemory: 1 << 20, ResultTTL: 10 * time.Second,
		}})
		for i := range servers {
			w.servers[name] = append(w.servers[name], &fleet.Server{
				ID: id.Server(fmt.Sprintf("%s%d", name, i)), Entry: fleet.Entry{Pool: name, Domain: "d0"},
			})
		}
	}
	cat, err := catalog.New(c)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	w.Scheduler = batch.New(event.Self{Node: "n", Rand: rand.New(rand.NewPCG(1, 1))}, w, opts...)
	w.SetCatalog(cat)
	return w
}

func (w *harness) Pool(name id.Pool) []*fleet.Server { return w.servers[name] }

func (w *harness) Usable(*fleet.Server) (bool, string) { return true, "" }

func (w *harness) step(ev event.Event) {
	for _, a := range w.Step(w.now, ev) {
		switch a := a.(type) {
		case batch.StartCall:
			w.running = append(w.running, a)
		case batch.FreeResults:
			w.freed = append(w.freed, a.Handles...)
		case event.Send:
			switch b := a.Body.(type) {
			case batch.Done:
				w.done[b.Ticket] = b
			case batch.Failed:
				w.failed[b.Ticket] = b
			case batch.Moved:
				w.moved[b.Ticket] = b
			}
		}
	}
}

// submit asks for two pieces of cut and one of read that reads them.
func (w *harness) submit(ticket uint64, left time.Duration) {
	w.submitStages(ticket, left, batch.Stage{Pool: cutPool, Pieces: 2, Bytes: 100}, batch.Stage{Pool: readPool, Pieces: 1, After: []uint32{0}, Bytes: 100})
}

func (w *harness) submitStages(ticket uint64, left time.Duration, stages ...batch.Stage) {
	w.step(event.Receive{From: "g", Body: batch.Submit{
		Ticket: ticket, Request: id.Request(fmt.Sprintf("r%d", ticket)), Route: "route", Left: int64(left), Aim: int64(left / 2), Value: 10,
		Stages: stages,
	}})
}

// advance lets time pass in steps of the scheduler's timers; the node that submits pings at each of them.
func (w *harness) advance(d time.Duration) {
	for end := w.now.Add(d); ; {
		next := w.Next()
		if next.IsZero() || next.After(end) {
			w.now = end
			return
		}
		w.now = next
		if !w.submitterSilent {
			w.step(event.Receive{From: "g", Body: leader.Ping{}})
		}
		w.step(event.Tick{})
	}
}

// nextCall returns the oldest call in progress after some time for it.
func (w *harness) nextCall() batch.StartCall {
	r := w.running[0]
	w.running = w.running[1:]
	w.advance(100 * time.Millisecond)
	return r
}

// finishNext ends the oldest call well.
func (w *harness) finishNext() batch.StartCall {
	r := w.nextCall()
	w.finish(r)
	return r
}

// finish ends a call with a result for each piece.
func (w *harness) finish(r batch.StartCall) {
	ran := batch.CallEnded{Call: r.Call}
	for range r.Items {
		w.lastHandle++
		ran.Outcomes = append(ran.Outcomes, batch.Outcome{Handle: fmt.Sprintf("h%d", w.lastHandle)})
	}
	w.step(ran)
}

// TestJob guards against stages that run before their inputs are there, and results that are never given up.
func TestJob(t *testing.T) {
	g := NewWithT(t)
	w := newHarness(t, 2)
	w.submit(1, jobTimeout)
	first := w.finishNext()
	g.Expect(first.Items).To(HaveLen(2), "pieces of one job share a call")
	second := w.finishNext()
	g.Expect(second.Items).To(HaveLen(1))
	g.Expect(second.Items[0].Inputs).To(Equal([]string{"h1", "h2"}))
	g.Expect(w.done[1].Results).To(HaveLen(1))
	w.step(event.Receive{From: "g", Body: batch.Release{Ticket: 1, Read: true}})
	w.advance(time.Second)
	g.Expect(w.freed).To(ConsistOf("h1", "h2", "h3"))
	g.Expect(w.OpenJobs()).To(BeZero())
	g.Expect(w.Next()).To(BeZero(), "nothing is left to do")
}

// TestFailures guards against jobs that end, or wait, because of one server.
func TestFailures(t *testing.T) {
	for name, fail := range map[string]func(*harness, batch.StartCall) event.Event{
		"broken": func(_ *harness, r batch.StartCall) event.Event {
			return batch.CallEnded{Call: r.Call, Fail: event.FailBroken, Detail: "connection reset"}
		},
		"rejected": func(_ *harness, r batch.StartCall) event.Event {
			return batch.CallEnded{Call: r.Call, Fail: event.FailRejected}
		},
		"piece wrong": func(_ *harness, r batch.StartCall) event.Event {
			return batch.CallEnded{Call: r.Call, Outcomes: []batch.Outcome{{Reason: batch.ReasonFailed}, {Reason: batch.ReasonFailed}}}
		},
		"outcomes missing": func(_ *harness, r batch.StartCall) event.Event {
			return batch.CallEnded{Call: r.Call, Outcomes: []batch.Outcome{{Handle: "x"}}}
		},
		"server gone": func(w *harness, r batch.StartCall) event.Event {
			for _, s := range w.servers[cutPool] {
				if s.ID == r.Server.ID {
					return fleet.ServerRemoved{Server: s}
				}
			}
			return event.Tick{}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newHarness(t, 2)
			w.submit(1, jobTimeout)
			bad := w.nextCall()
			w.step(fail(w, bad))
			g.Expect(w.running).To(HaveLen(1), "the pieces go to the other server at once")
			g.Expect(w.running[0].Server.ID).NotTo(Equal(bad.Server.ID))
			w.finishNext()
			w.finishNext()
			g.Expect(w.done).To(HaveKey(uint64(1)))
		})
	}
	t.Run("silent", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(t, 2)
		w.submit(1, jobTimeout)
		silent := w.nextCall()
		w.advance(silent.Timeout)
		g.Expect(w.running).To(HaveLen(1))
		g.Expect(w.running[0].Server.ID).NotTo(Equal(silent.Server.ID))
	})
}

// TestTrial guards against urgent parts that are given to a server which has just failed, and wait there until it fails
// again.
func TestTrial(t *testing.T) {
	g := NewWithT(t)
	w := newHarness(t, 1)
	w.submit(1, jobTimeout)
	w.step(batch.CallEnded{Call: w.running[0].Call, Fail: event.FailBroken})
	w.running = nil
	w.submit(2, 2*jobTimeout)
	w.submit(3, jobTimeout)
	w.advance(400 * time.Millisecond)
	g.Expect(w.running).To(HaveLen(1))
	g.Expect(w.running[0].Items).To(HaveLen(2), "one part on trial")
	g.Expect(w.running[0].Items[0].Request).To(BeEquivalentTo("r2"), "the one with most time left")
	w.finishNext()
	g.Expect(w.running[0].Items).To(HaveLen(4), "it has answered")
}

// resultLosses are the ways to learn, with a call that reads them, that the results which the servers of a pool kept are lost.
func resultLosses(pool id.Pool) map[string]func(*harness, batch.StartCall) {
	return map[string]func(*harness, batch.StartCall){
		"server restarted": func(w *harness, _ batch.StartCall) {
			for _, s := range w.servers[pool] {
				w.step(fleet.ServerChanged{Server: s, Restarted: true})
			}
		},
		"input missing": func(w *harness, r batch.StartCall) {
			w.step(batch.CallEnded{Call: r.Call, Outcomes: []batch.Outcome{{Reason: batch.ReasonInputMissing}}})
		},
	}
}

// TestLostResults guards against stages that read results which ended with their server.
func TestLostResults(t *testing.T) {
	for name, lose := range resultLosses(cutPool) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newHarness(t, 2)
			w.submit(1, jobTimeout)
			w.finishNext()
			reader := w.running[0]
			lose(w, reader)
			g.Expect(w.running).To(HaveLen(2))
			again := w.running[1]
			g.Expect(string(again.Server.ID)).To(HavePrefix(string(cutPool)), "the inputs are made again")
			g.Expect(again.Items).To(HaveLen(2))
		})
	}
}

// TestLostOnce guards against one lost result that counts once for each piece which reads it, so that the job fails.
func TestLostOnce(t *testing.T) {
	g := NewWithT(t)
	w := newHarness(t, 2)
	w.submitStages(1, jobTimeout, batch.Stage{Pool: cutPool, Pieces: 1, Bytes: 100}, batch.Stage{Pool: readPool, Pieces: 6, After: []uint32{0}, Bytes: 100})
	w.finishNext()
	reader := w.nextCall()
	ran := batch.CallEnded{Call: reader.Call}
	for range reader.Items {
		ran.Outcomes = append(ran.Outcomes, batch.Outcome{Reason: batch.ReasonInputMissing})
	}
	w.step(ran)
	g.Expect(w.failed).To(BeEmpty())
	g.Expect(w.finishNext().Items).To(HaveLen(1), "the input is made again once")
	g.Expect(w.finishNext().Items).To(HaveLen(6))
	g.Expect(w.done).To(HaveKey(uint64(1)))
}

// TestLostLater guards against results that are made again from inputs which were given up: such calls cannot succeed.
func TestLostLater(t *testing.T) {
	for name, lose := range resultLosses(readPool) {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newHarness(t, 2)
			w.submitStages(1, jobTimeout,
				batch.Stage{Pool: cutPool, Pieces: 1, Bytes: 100},
				batch.Stage{Pool: readPool, Pieces: 1, After: []uint32{0}, Bytes: 100},
				batch.Stage{Pool: cutPool, Pieces: 1, After: []uint32{1}, Bytes: 100})
			w.finishNext()
			w.finishNext()
			w.advance(200 * time.Millisecond)
			g.Expect(w.freed).To(ConsistOf("h1"), "the first result was read")
			last := w.running[0]
			w.running = nil
			lose(w, last)
			g.Expect(w.running).To(HaveLen(1))
			g.Expect(w.running[0].Items[0].Stage).To(BeZero(), "the first stage runs again before the second")
		})
	}
}

// TestFull guards against jobs that fail because servers are full for a while, as they are after a change of leader, and
// against full servers that look fast because they answer at once.
func TestFull(t *testing.T) {
	full := func(r batch.StartCall) batch.CallEnded {
		ran := batch.CallEnded{Call: r.Call}
		for range r.Items {
			ran.Outcomes = append(ran.Outcomes, batch.Outcome{Reason: batch.ReasonServerFull})
		}
		return ran
	}
	t.Run("all for a second", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(t, 2)
		w.submit(1, jobTimeout)
		for end := w.now.Add(time.Second); w.now.Before(end); w.advance(10 * time.Millisecond) {
			running := w.running
			w.running = nil
			for _, r := range running {
				w.step(full(r))
			}
		}
		g.Expect(w.failed).To(BeEmpty())
		w.advance(200 * time.Millisecond)
		w.finishNext()
		w.finishNext()
		g.Expect(w.done).To(HaveKey(uint64(1)))
	})
	t.Run("one of two", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(t, 2)
		w.submit(1, jobTimeout)
		first := w.running[0]
		w.running = nil
		w.step(full(first))
		g.Expect(w.running).To(HaveLen(1), "the other server gets the pieces")
		w.finishNext()
		w.finishNext()
		w.advance(300 * time.Millisecond)
		w.running = nil
		w.submit(2, jobTimeout)
		g.Expect(w.running[0].Server.ID).NotTo(Equal(first.Server.ID), "the full server is not the fastest")
	})
}

// TestInfeasible guards against jobs that are held to their deadlines although they cannot end before them.
func TestInfeasible(t *testing.T) {
	t.Run("no server", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(t, 0)
		w.submit(1, jobTimeout)
		w.advance(jobTimeout - 150*time.Millisecond)
		g.Expect(w.failed).To(HaveKey(uint64(1)), "two stages take 220 ms")
		g.Expect(w.failed[1].After).To(BeNumerically(">", 0))
	})
	t.Run("queue longer than the time left", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(t, 1)
		const jobs = 400
		for i := range uint64(jobs) {
			w.submit(i+1, jobTimeout)
			w.advance(10 * time.Millisecond)
		}
		g.Expect(len(w.failed)).To(BeNumerically(">", jobs/2), "one server of each pool does less than half of them in time")
		for _, f := range w.failed {
			g.Expect(time.Duration(f.After)).To(BeNumerically(">=", 500*time.Millisecond), "time to return")
		}
		g.Expect(w.OpenJobs()).To(BeNumerically(">", jobs/20), "those that fit are taken")
	})
	t.Run("calm", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(t, 2)
		for i := range uint64(20) {
			w.submit(i+1, jobTimeout)
			w.advance(100 * time.Millisecond)
			for len(w.running) > 0 {
				w.finishNext()
			}
		}
		g.Expect(w.failed).To(BeEmpty())
		g.Expect(w.done).To(HaveLen(20))
	})
}

// TestLateOrder guards against late jobs that are served by deadline: each of them then gets its turn when it is about to
// fail, and more work is thrown away.
func TestLateOrder(t *testing.T) {
	g := NewWithT(t)
	w := newHarness(t, 1)
	const left = 1200 * time.Millisecond
	w.submitStages(1, left, batch.Stage{Pool: readPool, Pieces: 8, Bytes: 1})
	w.submitStages(2, left, batch.Stage{Pool: readPool, Pieces: 7, Bytes: 1})
	w.submitStages(3, left+100*time.Millisecond, batch.Stage{Pool: readPool, Pieces: 2, Bytes: 1})
	blocking := w.running[0]
	w.running = nil
	w.advance(700 * time.Millisecond) // past all objectives, before the call counts as lost
	w.finish(blocking)
	g.Expect(w.running[0].Items[0].Request).To(BeEquivalentTo("r3"))
}

// TestPause guards against a scheduler that goes on with stale jobs after its process stood still.
func TestPause(t *testing.T) {
	g := NewWithT(t)
	w := newHarness(t, 1)
	w.submit(1, time.Minute)
	w.now = w.now.Add(3 * time.Second)
	w.step(event.Tick{})
	g.Expect(w.OpenJobs()).To(BeZero())
}
