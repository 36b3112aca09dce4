package roster_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/roster"
	"bluebellflow/core/watchcache"
)

// deleted reports an entry as missing.
func (h *harness) deleted(name string) {
	h.step(watchcache.ObjectDeleted{Kind: roster.Kind, Name: name})
}

// newListed returns the roster of node a, which is registered beside b.
func newListed(t *testing.T) *harness {
	h := newHarness()
	h.step(watchcache.KindLoaded{Kind: roster.Kind})
	h.wait(time.Millisecond)
	h.step(event.PlatformResult{Call: h.takeCalls()[0], Code: event.CodeOK})
	h.put(t, "a", 30, node("1"))
	h.put(t, "b", 40, node("2"))
	return h
}

// expectWrite asserts that the node writes its entry under the condition of a revision.
func (h *harness) expectWrite(g *WithT, revision uint64) event.PlatformCall {
	h.wait(time.Millisecond)
	calls := h.takeCalls()
	g.ExpectWithOffset(1, calls).To(HaveLen(1))
	g.ExpectWithOffset(1, calls[0].Op).To(Equal(event.OpPut))
	g.ExpectWithOffset(1, calls[0].Version).To(Equal(revision))
	return calls[0]
}

// TestRestoredEntry guards against a node that stays unlisted, or listed with the address of its earlier process, after the store
// has come back from a copy.
func TestRestoredEntry(t *testing.T) {
	t.Run("missing", func(t *testing.T) {
		g := NewWithT(t)
		h := newListed(t)
		h.step(watchcache.EraChanged{Era: 2})
		h.deleted("a")
		h.expectWrite(g, 0)
		g.Expect(h.Nodes()).To(Equal([]id.Node{"a", "b"}))
	})
	t.Run("earlier process", func(t *testing.T) {
		g := NewWithT(t)
		h := newListed(t)
		h.step(watchcache.EraChanged{Era: 2})
		h.put(t, "a", 7, node("9"))
		h.expectWrite(g, 7)
		n, _ := h.Node("a")
		g.Expect(n).To(Equal(node("1")))
	})
	t.Run("while it is written", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness()
		h.step(watchcache.KindLoaded{Kind: roster.Kind})
		c := h.expectWrite(g, 0)
		h.put(t, "a", 30, node("1"))
		h.step(watchcache.EraChanged{Era: 2})
		h.deleted("a")
		h.step(event.PlatformResult{Call: c, Code: event.CodeOK})
		h.wait(2 * time.Second)
		g.Expect(h.takeCalls()).NotTo(BeEmpty())
	})
	t.Run("in the copy", func(t *testing.T) {
		h := newListed(t)
		h.step(watchcache.EraChanged{Era: 2})
		h.put(t, "a", 30, node("1"))
		h.wait(10 * time.Second)
		NewWithT(t).Expect(h.takeCalls()).To(BeEmpty())
	})
}

// TestRestoredNodes guards against nodes that disappear from the list, or get the address of an earlier process, until they have
// written their entries again, so that the leader and all shares change for a moment.
func TestRestoredNodes(t *testing.T) {
	restore := map[string]func(t *testing.T, h *harness){
		"missing":         func(_ *testing.T, h *harness) { h.deleted("b") },
		"earlier process": func(t *testing.T, h *harness) { h.put(t, "b", 8, node("8")) },
	}
	for name, b := range restore {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newListed(t)
			h.step(watchcache.EraChanged{Era: 2})
			h.put(t, "a", 30, node("1"))
			b(t, h)
			n, ok := h.Node("b")
			g.Expect(ok).To(BeTrue())
			g.Expect(n).To(Equal(node("2")))
			h.wait(5 * time.Second)
			h.put(t, "b", 9, node("2"))
			h.wait(30 * time.Second)
			n, _ = h.Node("b")
			g.Expect(n).To(Equal(node("2")))
		})
		t.Run(name+", started again", func(t *testing.T) {
			g := NewWithT(t)
			h := newListed(t)
			h.step(watchcache.EraChanged{Era: 2})
			b(t, h)
			h.put(t, "b", 9, node("3"))
			n, _ := h.Node("b")
			g.Expect(n).To(Equal(node("3")))
		})
		t.Run(name+", for good", func(t *testing.T) {
			g := NewWithT(t)
			h := newListed(t)
			h.step(watchcache.EraChanged{Era: 2})
			b(t, h)
			h.wait(30 * time.Second)
			n, _ := h.Node("b")
			g.Expect(n).NotTo(Equal(node("2")))
		})
	}
	t.Run("replaced after two restores", func(t *testing.T) {
		g := NewWithT(t)
		h := newListed(t)
		h.step(watchcache.EraChanged{Era: 2})
		h.put(t, "b", 8, node("8"))
		h.step(watchcache.EraChanged{Era: 3})
		h.wait(30 * time.Second)
		h.put(t, "b", 9, node("3"))
		n, _ := h.Node("b")
		g.Expect(n).To(Equal(node("3")))
	})
	t.Run("removed by the leader", func(t *testing.T) {
		h := newListed(t)
		h.step(watchcache.EraChanged{Era: 2})
		h.put(t, "b", 40, node("2"))
		h.deleted("b")
		NewWithT(t).Expect(h.Nodes()).To(Equal([]id.Node{"a"}))
	})
}

// TestRestoredSweep guards against the removal of an entry under the condition of a revision that was given out again.
func TestRestoredSweep(t *testing.T) {
	g := NewWithT(t)
	h := newListed(t)
	h.SetLeading(true)
	h.wait(16 * time.Second)
	h.step(watchcache.EraChanged{Era: 2})
	h.put(t, "a", 11, node("1"))
	h.wait(10 * time.Second)
	g.Expect(h.takeCalls()).To(BeEmpty())
	h.put(t, "b", 12, node("2"))
	h.wait(60 * time.Second)
	calls := h.takeCalls()
	g.Expect(calls).NotTo(BeEmpty())
	for _, c := range calls {
		g.Expect(c.Name).To(Equal(roster.Kind + "/b"))
		g.Expect(c.Version).To(BeEquivalentTo(12))
	}
}
