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

// harness is a roster with the platform calls that it has made.
type harness struct {
	*roster.Roster
	now   time.Time
	calls []event.PlatformCall
}

func newHarness() *harness {
	self := event.Self{Node: "a", FailureDomain: "d0", Addr: addr, Incarnation: incarnation("1"), Rand: rand.New(rand.NewPCG(1, 1))}
	return &harness{Roster: roster.New(self, 1), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (h *harness) step(ev event.Event) {
	for _, a := range h.Step(h.now, ev) {
		if c, ok := a.(event.PlatformCall); ok {
			h.calls = append(h.calls, c)
		}
	}
}

// wait advances the clock from timer to timer.
func (h *harness) wait(d time.Duration) {
	for end := h.now.Add(d); ; {
		next := h.Next()
		if next.IsZero() || next.After(end) {
			h.now = end
			return
		}
		if next.After(h.now) {
			h.now = next
		}
		h.step(event.Tick{})
	}
}

// takeCalls returns the calls made since it was last called.
func (h *harness) takeCalls() []event.PlatformCall {
	out := h.calls
	h.calls = nil
	return out
}

func (h *harness) put(t *testing.T, name string, revision uint64, n roster.Node) {
	t.Helper()
	raw, err := json.Marshal(n)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	h.step(watchcache.ObjectChanged{Kind: roster.Kind, Object: watchcache.Object{Name: name, Revision: revision, Spec: raw}})
}

func node(digit string) roster.Node {
	return roster.Node{Addr: addr, Domain: "d0", Incarnation: incarnation(digit), Weight: 1}
}

// TestRegister guards against nodes that other nodes cannot find because their entry is missing or belongs to an earlier
// process.
func TestRegister(t *testing.T) {
	t.Run("not before the list is loaded", func(t *testing.T) {
		h := newHarness()
		h.wait(time.Second)
		NewWithT(t).Expect(h.takeCalls()).To(BeEmpty())
	})
	for name, code := range map[string]event.Code{"unavailable": event.CodeUnavailable, "answer lost": event.CodeUnknown} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness()
			h.step(watchcache.KindLoaded{Kind: roster.Kind})
			h.wait(time.Millisecond)
			calls := h.takeCalls()
			g.Expect(calls).To(HaveLen(1))
			g.Expect(calls[0].Version).To(BeZero(), "created")
			h.step(event.PlatformResult{Call: calls[0], Code: code})
			g.Expect(h.takeCalls()).To(BeEmpty(), "not repeated at once")
			h.wait(2 * time.Second)
			g.Expect(h.takeCalls()).NotTo(BeEmpty())
		})
	}
	t.Run("replaces the entry of an earlier process", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness()
		h.put(t, "a", 7, node("9"))
		h.step(watchcache.KindLoaded{Kind: roster.Kind})
		h.wait(time.Millisecond)
		calls := h.takeCalls()
		g.Expect(calls).To(HaveLen(1))
		g.Expect(calls[0].Version).To(BeEquivalentTo(7))
		h.step(event.PlatformResult{Call: calls[0], Code: event.CodeConflict, Objects: []event.Object{{Name: calls[0].Name, Version: 8}}})
		h.wait(time.Millisecond)
		calls = h.takeCalls()
		g.Expect(calls).To(HaveLen(1))
		g.Expect(calls[0].Version).To(BeEquivalentTo(8), "the write replaces the revision from the conflict")
		h.step(event.PlatformResult{Call: calls[0], Code: event.CodeOK})
		h.put(t, "a", 9, node("1"))
		h.wait(10 * time.Second)
		g.Expect(h.takeCalls()).To(BeEmpty(), "the list shows this process")
	})
	t.Run("again after removal", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness()
		h.step(watchcache.KindLoaded{Kind: roster.Kind})
		h.wait(time.Millisecond)
		h.step(event.PlatformResult{Call: h.takeCalls()[0], Code: event.CodeOK})
		h.put(t, "a", 3, node("1"))
		h.step(watchcache.ObjectDeleted{Kind: roster.Kind, Name: "a"})
		h.wait(time.Millisecond)
		g.Expect(h.takeCalls()).To(HaveLen(1))
	})
}

// TestSweep guards against entries of dead nodes that are never removed, and against removals by nodes other than the
// leader.
func TestSweep(t *testing.T) {
	for name, test := range map[string]struct {
		leads, heard bool
		removed      int
	}{
		"silent":          {leads: true, removed: 1},
		"heard":           {leads: true, heard: true},
		"not the leader":  {},
		"heard, follower": {heard: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness()
			h.step(watchcache.KindLoaded{Kind: roster.Kind})
			h.put(t, "a", 1, node("1"))
			h.put(t, "b", 2, node("2"))
			h.SetLeading(test.leads)
			h.takeCalls()
			removed := 0
			for range 40 {
				if test.heard {
					h.step(event.Receive{From: "b"})
				}
				h.wait(time.Second)
				for _, c := range h.takeCalls() {
					if c.Op == event.OpDelete {
						g.Expect(c.Name).To(Equal(roster.Kind + "/b"))
						g.Expect(c.Version).To(BeEquivalentTo(2), "the removal is conditional, so that an entry written again stays")
						removed++
					}
				}
				if removed > 0 {
					break
				}
			}
			g.Expect(removed).To(Equal(test.removed))
		})
	}
}

// TestEntries guards against malformed entries that stay in the list.
func TestEntries(t *testing.T) {
	g := NewWithT(t)
	h := newHarness()
	h.put(t, "b", 2, node("2"))
	g.Expect(h.Nodes()).To(Equal([]id.Node{"b"}))
	h.step(watchcache.ObjectChanged{Kind: roster.Kind, Object: watchcache.Object{Name: "b", Revision: 3, Spec: []byte("{")}})
	g.Expect(h.Nodes()).To(BeEmpty())
	h.step(watchcache.ObjectChanged{Kind: roster.Kind, Object: watchcache.Object{Name: "c", Revision: 4, Spec: []byte("{}")}})
	g.Expect(h.Nodes()).To(BeEmpty(), "without an address")
}
