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

const bad, innocent = id.Fingerprint(1), id.Fingerprint(2)

func newGuard(name id.Node) *denylist.Guard {
	g := denylist.New(event.Self{Node: name})
	g.SetNodes([]id.Node{"a", "b"})
	return g
}

// crash breaks off an attempt, ends its server's process some time later, and returns the messages that are sent.
func crash(g *denylist.Guard, now time.Time, fingerprint id.Fingerprint, n int, after time.Duration) []event.Send {
	s := &fleet.Server{ID: id.Server(fmt.Sprint("s", n))}
	g.RecordBroken(now, fingerprint, s.ID, id.Start(fmt.Sprint("start", n)))
	var out []event.Send
	for _, a := range g.Step(now.Add(after), fleet.ServerChanged{Server: s, Restarted: true}) {
		if send, ok := a.(event.Send); ok {
			out = append(out, send)
		}
	}
	return out
}

// TestRefusal guards against a request that continues to crash servers, and against refusing one that did not crash any.
func TestRefusal(t *testing.T) {
	g := NewWithT(t)
	local, remote := newGuard("a"), newGuard("b")
	for n := range 3 {
		now := epoch.Add(time.Duration(n) * time.Minute)
		g.Expect(local.RefusedFor(now, bad)).To(BeZero(), "after %d crashes", n)
		sent := crash(local, now, bad, n, time.Second)
		g.Expect(sent).To(HaveLen(1))
		for range 2 { // a repeated message counts once
			remote.Step(now, event.Receive{From: "a", Body: sent[0].Body})
		}
	}
	crash(local, epoch, innocent, 7, time.Second)
	now := epoch.Add(3 * time.Minute)
	for _, guard := range []*denylist.Guard{local, remote} {
		g.Expect(guard.RefusedFor(now, bad)).To(BeNumerically("~", 9*time.Minute, 2*time.Second))
		g.Expect(guard.RefusedFor(now, innocent)).To(BeZero())
		g.Expect(guard.RefusedFor(now.Add(10*time.Minute), bad)).To(BeZero(), "refused without end")
	}
}

// TestCrashWindow guards against counting broken attempts that were not followed by the end of the server's process.
func TestCrashWindow(t *testing.T) {
	g := NewWithT(t)
	late, running := newGuard("a"), newGuard("a")
	for n := range 5 {
		crash(late, epoch, bad, n, 11*time.Second)
		s := &fleet.Server{ID: id.Server(fmt.Sprint("s", n))}
		running.RecordBroken(epoch, bad, s.ID, "start")
		running.Step(epoch, fleet.ServerChanged{Server: s})
	}
	g.Expect(late.RefusedFor(epoch.Add(time.Minute), bad)).To(BeZero())
	g.Expect(running.RefusedFor(epoch.Add(time.Minute), bad)).To(BeZero())
}

// TestResponseClearsCrashes guards against refusing a request only because many callers send it, so that it is in progress at most
// servers that end.
func TestResponseClearsCrashes(t *testing.T) {
	guard := newGuard("a")
	for n := range 5 {
		crash(guard, epoch, innocent, n, time.Second)
		guard.RecordResponse(innocent)
	}
	NewWithT(t).Expect(guard.RefusedFor(epoch.Add(time.Second), innocent)).To(BeZero())
}

// TestBounded guards against memory that grows with the number of requests in progress at servers that end.
func TestBounded(t *testing.T) {
	guard := newGuard("a")
	for n := range 3 {
		crash(guard, epoch, bad, n, time.Second)
	}
	for n := range 5000 {
		crash(guard, epoch, id.Fingerprint(100+n), n, time.Second)
	}
	NewWithT(t).Expect(guard.RefusedFor(epoch.Add(time.Second), bad)).To(BeZero(), "the oldest record was not dropped")
}
