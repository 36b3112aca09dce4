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

// crash lets an attempt break off and its server's process end a while later, and returns what is sent.
func crash(g *denylist.Guard, now time.Time, print id.Fingerprint, n int, after time.Duration) []event.Send {
	s := &fleet.Server{ID: id.Server(fmt.Sprint("s", n))}
	g.RecordBroken(now, print, s.ID, id.Start(fmt.Sprint("start", n)))
	var out []event.Send
	for _, a := range g.Step(now.Add(after), fleet.ServerChanged{Server: s, Restarted: true}) {
		if send, ok := a.(event.Send); ok {
			out = append(out, send)
		}
	}
	return out
}

// TestRefuses guards against a request that goes on crashing servers, and against the refusal of one that did not.
func TestRefuses(t *testing.T) {
	g := NewWithT(t)
	one, other := newGuard("a"), newGuard("b")
	for n := range 3 {
		now := epoch.Add(time.Duration(n) * time.Minute)
		g.Expect(one.RefusedFor(now, bad)).To(BeZero(), "after %d crashes", n)
		sent := crash(one, now, bad, n, time.Second)
		g.Expect(sent).To(HaveLen(1))
		for range 2 { // a repeated message counts once
			other.Step(now, event.Receive{From: "a", Body: sent[0].Body})
		}
	}
	crash(one, epoch, innocent, 7, time.Second)
	now := epoch.Add(3 * time.Minute)
	for _, guard := range []*denylist.Guard{one, other} {
		g.Expect(guard.RefusedFor(now, bad)).To(BeNumerically("~", 9*time.Minute, 2*time.Second))
		g.Expect(guard.RefusedFor(now, innocent)).To(BeZero())
		g.Expect(guard.RefusedFor(now.Add(10*time.Minute), bad)).To(BeZero(), "for ever")
	}
}

// TestProof guards against counting attempts that broke off for another reason than the end of the server's process.
func TestProof(t *testing.T) {
	g := NewWithT(t)
	late, still := newGuard("a"), newGuard("a")
	for n := range 5 {
		crash(late, epoch, bad, n, 11*time.Second)
		s := &fleet.Server{ID: id.Server(fmt.Sprint("s", n))}
		still.RecordBroken(epoch, bad, s.ID, "start")
		still.Step(epoch, fleet.ServerChanged{Server: s})
	}
	g.Expect(late.RefusedFor(epoch.Add(time.Minute), bad)).To(BeZero())
	g.Expect(still.RefusedFor(epoch.Add(time.Minute), bad)).To(BeZero())
}

// TestAnswered guards against the refusal of a request that many callers send, and that is therefore at most servers when
// they end.
func TestAnswered(t *testing.T) {
	guard := newGuard("a")
	for n := range 5 {
		crash(guard, epoch, innocent, n, time.Second)
		guard.RecordResponse(innocent)
	}
	NewWithT(t).Expect(guard.RefusedFor(epoch.Add(time.Second), innocent)).To(BeZero())
}

// TestBounded guards against memory that grows with the requests that were there when servers ended.
func TestBounded(t *testing.T) {
	guard := newGuard("a")
	for n := range 3 {
		crash(guard, epoch, bad, n, time.Second)
	}
	for n := range 5000 {
		crash(guard, epoch, id.Fingerprint(100+n), n, time.Second)
	}
	NewWithT(t).Expect(guard.RefusedFor(epoch.Add(time.Second), bad)).To(BeZero(), "the oldest is kept for ever")
}
