package roster_test

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/roster"
	"bluebellflow/core/watchcache"
)

var addr = netip.MustParseAddrPort("10.0.0.1:70")

func incarnation(digit string) id.Incarnation { return id.Incarnation(strings.Repeat(digit, 32)) }

// harness is a roster with what it asked of the store.
type harness struct {
	*roster.Roster
	now   time.Time
	calls []event.PlatformCall
}

func newHarness() *harness {
	self := event.Self{Node: "a", FailureDomain: "d0", Addr: addr, Incarnation: incarnation("1"), Rand: rand.New(rand.NewPCG(1, 1))}
	return &harness{Roster: roster.New(self, 1), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (w *harness) step(ev event.Event) {
	for _, a := range w.Step(w.now, ev) {
		if c, ok := a.(event.PlatformCall); ok {
			w.calls = append(w.calls, c)
		}
	}
}

// wait lets time pass in steps of the roster's timers.
func (w *harness) wait(d time.Duration) {
	for end := w.now.Add(d); ; {
		next := w.Next()
		if next.IsZero() || next.After(end) {
			w.now = end
			return
		}
		if next.After(w.now) {
			w.now = next
		}
		w.step(event.Tick{})
	}
}

// takeCalls returns the calls since the last take.
func (w *harness) takeCalls() []event.PlatformCall {
	out := w.calls
	w.calls = nil
	return out
}

func (w *harness) put(t *testing.T, name string, revision uint64, n roster.Node) {
	t.Helper()
	raw, err := json.Marshal(n)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	w.step(watchcache.ObjectChanged{Kind: roster.Kind, Object: watchcache.Object{Name: name, Revision: revision, Spec: raw}})
}

func node(digit string) roster.Node {
	return roster.Node{Addr: addr, Domain: "d0", Incarnation: incarnation(digit), Weight: 1}
}

// TestRegister guards against nodes that others cannot find.
func TestRegister(t *testing.T) {
	t.Run("not before the list is known", func(t *testing.T) {
		w := newHarness()
		w.wait(time.Second)
		NewWithT(t).Expect(w.takeCalls()).To(BeEmpty())
	})
	for name, code := range map[string]event.Code{"unavailable": event.CodeUnavailable, "answer lost": event.CodeUnknown} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newHarness()
			w.step(watchcache.KindLoaded{Kind: roster.Kind})
			w.wait(time.Millisecond)
			calls := w.takeCalls()
			g.Expect(calls).To(HaveLen(1))
			g.Expect(calls[0].Version).To(BeZero(), "created")
			w.step(event.PlatformResult{Call: calls[0], Code: code})
			g.Expect(w.takeCalls()).To(BeEmpty(), "not repeated at once")
			w.wait(2 * time.Second)
			g.Expect(w.takeCalls()).NotTo(BeEmpty())
		})
	}
	t.Run("over the entry of an earlier process", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness()
		w.put(t, "a", 7, node("9"))
		w.step(watchcache.KindLoaded{Kind: roster.Kind})
		w.wait(time.Millisecond)
		calls := w.takeCalls()
		g.Expect(calls).To(HaveLen(1))
		g.Expect(calls[0].Version).To(BeEquivalentTo(7))
		w.step(event.PlatformResult{Call: calls[0], Code: event.CodeConflict, Objects: []event.Object{{Name: calls[0].Name, Version: 8}}})
		w.wait(time.Millisecond)
		calls = w.takeCalls()
		g.Expect(calls).To(HaveLen(1))
		g.Expect(calls[0].Version).To(BeEquivalentTo(8), "written over what the conflict showed")
		w.step(event.PlatformResult{Call: calls[0], Code: event.CodeOK})
		w.put(t, "a", 9, node("1"))
		w.wait(10 * time.Second)
		g.Expect(w.takeCalls()).To(BeEmpty(), "the list shows this process")
	})
	t.Run("again after removal", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness()
		w.step(watchcache.KindLoaded{Kind: roster.Kind})
		w.wait(time.Millisecond)
		w.step(event.PlatformResult{Call: w.takeCalls()[0], Code: event.CodeOK})
		w.put(t, "a", 3, node("1"))
		w.step(watchcache.ObjectDeleted{Kind: roster.Kind, Name: "a"})
		w.wait(time.Millisecond)
		g.Expect(w.takeCalls()).To(HaveLen(1))
	})
}

// TestSweep guards against entries of dead nodes that stay for ever, and against removals by more than the leader.
func TestSweep(t *testing.T) {
	for name, one := range map[string]struct {
		leads, talks bool
		removed      int
	}{
		"silent":          {leads: true, removed: 1},
		"heard":           {leads: true, talks: true},
		"not the leader":  {},
		"heard, follower": {talks: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newHarness()
			w.step(watchcache.KindLoaded{Kind: roster.Kind})
			w.put(t, "a", 1, node("1"))
			w.put(t, "b", 2, node("2"))
			w.SetLeading(one.leads)
			w.takeCalls()
			removed := 0
			for range 40 {
				if one.talks {
					w.step(event.Receive{From: "b"})
				}
				w.wait(time.Second)
				for _, c := range w.takeCalls() {
					if c.Op == event.OpDelete {
						g.Expect(c.Name).To(Equal(roster.Kind + "/b"))
						g.Expect(c.Version).To(BeEquivalentTo(2), "an entry that was written again stays")
						removed++
					}
				}
				if removed > 0 {
					break
				}
			}
			g.Expect(removed).To(Equal(one.removed))
		})
	}
}

// TestEntries guards against entries that other writers have broken.
func TestEntries(t *testing.T) {
	g := NewWithT(t)
	w := newHarness()
	w.put(t, "b", 2, node("2"))
	g.Expect(w.Nodes()).To(Equal([]id.Node{"b"}))
	w.step(watchcache.ObjectChanged{Kind: roster.Kind, Object: watchcache.Object{Name: "b", Revision: 3, Spec: []byte("{")}})
	g.Expect(w.Nodes()).To(BeEmpty())
	w.step(watchcache.ObjectChanged{Kind: roster.Kind, Object: watchcache.Object{Name: "c", Revision: 4, Spec: []byte("{}")}})
	g.Expect(w.Nodes()).To(BeEmpty(), "without an address")
}
