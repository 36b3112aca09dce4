package runtime

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout limits how long a test waits for something that must happen; no assertion relies on a shorter time.
const testTimeout = 10 * time.Second

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// funcDecider is decision logic consisting of test functions.
type funcDecider struct {
	step func(now time.Time, ev event.Event) []event.Action
	next func() time.Time
}

func (d funcDecider) Step(now time.Time, ev event.Event) []event.Action { return d.step(now, ev) }

func (d funcDecider) Next() time.Time {
	if d.next == nil {
		return time.Time{}
	}
	return d.next()
}

func (d funcDecider) Versions() (id.Revision, uint64) { return 5, 6 }

// fakeClock advances only by timers, which fire immediately.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func (c *fakeClock) After(d time.Duration) (<-chan time.Time, func()) {
	c.now = c.now.Add(d)
	fired := make(chan time.Time, 1)
	fired <- c.now
	return fired, func() {}
}

// recorder implements all executors and records their calls.
type recorder struct{ got []any }

func (c *recorder) Do(a event.PlatformCall)        { c.got = append(c.got, a) }
func (c *recorder) Dispatch(a event.Dispatch)      { c.got = append(c.got, a) }
func (c *recorder) Cancel(a event.Cancel)          { c.got = append(c.got, a) }
func (c *recorder) Order(a event.Order)            { c.got = append(c.got, a) }
func (c *recorder) SetServers(list []event.VM)     { c.got = append(c.got, list) }
func (c *recorder) Reply(a event.Reply)            { c.got = append(c.got, a) }
func (c *recorder) SetReady(ready bool)            { c.got = append(c.got, ready) }
func (c *recorder) Complete(a event.CommandResult) { c.got = append(c.got, a) }
func (c *recorder) Send(a event.Send, r id.Revision, d uint64) {
	c.got = append(c.got, a, r, d)
}

func (c *recorder) executors() Executors {
	return Executors{Platform: c, Servers: c, Peers: c, Callers: c, Operators: c}
}

type internalEvent struct {
	event.Internal
	n int
}

// TestActionRouting guards against actions that are lost, out of order or passed to the wrong executor.
func TestActionRouting(t *testing.T) {
	g := NewWithT(t)
	actions := []event.Action{
		event.Dispatch{Attempt: 1},
		event.Cancel{Attempt: 2},
		event.Order{Seq: 3},
		event.Reply{Request: "r"},
		event.Readiness{Ready: true},
		event.Send{To: "n"},
		event.PlatformCall{Seq: 4},
		event.CommandResult{Number: 5},
		internalEvent{n: 6},
	}
	var c recorder
	var vars expvar.Map
	var internal int
	l := NewLoop(funcDecider{step: func(_ time.Time, ev event.Event) []event.Action {
		switch ev := ev.(type) {
		case event.VMList:
			return actions
		case internalEvent:
			internal = ev.n
			return []event.Action{event.Exit{}}
		}
		return nil
	}}, WithVars(&vars))
	executors := c.executors()
	executors.Versions = funcDecider{}
	l.SetExecutor(executors)
	list := []event.VM{{Name: "b"}}
	l.Deliver(event.VMList{List: list})
	g.Expect(l.Run(context.Background())).To(Succeed())
	want := []any{list}
	for _, a := range actions[:5] {
		want = append(want, a)
	}
	want[5] = true // Readiness is passed as a bool
	want = append(want, actions[5], id.Revision(5), uint64(6), actions[6], actions[7])
	g.Expect(c.got).To(Equal(want))
	g.Expect(internal).To(Equal(6))
	g.Expect(vars.Get("steps").String()).To(Equal("3"))
}

// TestTimers guards against timers that do not fire or fire early, and against steps that see time go back.
func TestTimers(t *testing.T) {
	g := NewWithT(t)
	clock := &fakeClock{now: epoch}
	var seen []time.Time
	due := epoch
	l := NewLoop(funcDecider{
		step: func(now time.Time, _ event.Event) []event.Action {
			seen = append(seen, now)
			switch len(seen) {
			case 4:
				clock.now = epoch.Add(-time.Hour)
			case 6:
				return []event.Action{event.Exit{}}
			}
			due = now.Add(time.Second)
			if len(seen) == 5 {
				due = now
			}
			return nil
		},
		next: func() time.Time { return due },
	}, WithClock(clock))
	g.Expect(l.Run(context.Background())).To(Succeed())
	for i := 1; i < len(seen); i++ {
		g.Expect(seen[i]).To(BeTemporally(">=", seen[i-1]))
	}
	g.Expect(seen[3]).To(BeTemporally("==", epoch.Add(3*time.Second)))
}

// TestPanic guards against a panic of the decision logic whose event is not logged, or after which the loop continues.
func TestPanic(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := NewLoop(funcDecider{step: func(_ time.Time, ev event.Event) []event.Action {
		if _, ok := ev.(event.CallerDisconnected); ok {
			panic("boom")
		}
		return []event.Action{event.Log{Kind: "route", Request: "r1", Stage: "s", Choice: "b1", Reason: "least"}}
	}}, WithLogger(log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter})))
	l.SetExecutor((&recorder{}).executors())
	l.Deliver(event.CallerDisconnected{Request: "culprit"})
	err := l.Run(context.Background())
	var failure *StepPanic
	g.Expect(errors.As(err, &failure)).To(BeTrue())
	g.Expect(failure.Value).To(Equal("boom"))
	g.Expect(out.String()).To(ContainSubstring("culprit"))
	g.Expect(out.String()).To(ContainSubstring("msg=route request=r1 stage=s choice=b1 reason=least"))
}

// TestQueueLimit guards against messages of peers that grow the queue without limit, and against dropped outcomes.
func TestQueueLimit(t *testing.T) {
	g := NewWithT(t)
	l := NewLoop(funcDecider{})
	for range maxQueuedEvents + 10 {
		l.Deliver(event.Receive{})
	}
	g.Expect(l.QueueLength()).To(Equal(maxQueuedEvents))
	g.Expect(l.Busy()).To(BeTrue())
	l.Deliver(event.AttemptDone{})
	g.Expect(l.QueueLength()).To(Equal(maxQueuedEvents + 1))
}

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestBlockedLog guards against a blocked log output that delays the decision logic.
func TestBlockedLog(t *testing.T) {
	g := NewWithT(t)
	out := blockedWriter{make(chan struct{})}
	var vars expvar.Map
	steps := 0
	l := NewLoop(funcDecider{
		step: func(time.Time, event.Event) []event.Action {
			steps++
			if steps == logQueueSize+10 {
				close(out.release)
				return []event.Action{event.Exit{}}
			}
			return []event.Action{event.Log{Kind: "route"}}
		},
		next: func() time.Time { return epoch },
	}, WithLogger(log.New(out)), WithVars(&vars))
	g.Expect(l.Run(context.Background())).To(Succeed())
	g.Expect(vars.Get("log_lines_dropped")).NotTo(BeNil())
	g.Eventually(l.logs.done, 30*time.Second).Should(BeClosed(), "the queued lines are written once the output accepts them")
}

// TestReportRate guards against a log flooded by repeated I/O errors, and against logging canceled operations.
func TestReportRate(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := NewLoop(funcDecider{step: func(time.Time, event.Event) []event.Action { return []event.Action{event.Exit{}} }}, WithLogger(log.New(&out)))
	for range 1000 {
		l.Report(errors.New("down"))
	}
	l.Report(context.Canceled)
	g.Expect(l.Run(context.Background())).To(Succeed())
	g.Expect(strings.Count(out.String(), "down")).To(BeNumerically("<", 1000))
	g.Expect(out.String()).NotTo(ContainSubstring("canceled"))
}
