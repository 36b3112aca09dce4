package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/watchcache"
)

// restore begins a new era, with a list in which the server "s" has an entry, or none if it is empty.
func (h *harness) restore(era uint64, spec string) {
	h.step(watchcache.EraChanged{Era: era})
	for _, kind := range []string{fleet.KindServers, fleet.KindEvacuations} {
		h.step(watchcache.Reachability{Kind: kind})
	}
	if spec != "" {
		h.put("s", spec)
	}
}

// listed ends the first list of an era.
func (h *harness) listed() {
	for _, kind := range []string{fleet.KindServers, fleet.KindEvacuations} {
		h.step(watchcache.Reachability{Kind: kind, Up: true})
	}
}

// wait lets time pass.
func (h *harness) wait(d time.Duration) {
	h.now = h.now.Add(d)
	h.step(event.Tick{})
}

// TestRestoredEntry guards against a server that gets work again after it has left, because the store has come back with the
// entry that it had before.
func TestRestoredEntry(t *testing.T) {
	draining, again := newEntry("p", "1"), newEntry("p", "1")
	draining.Draining, again.Slots = true, 2
	entries := entryDecoder{"ready": newEntry("p", "1"), "draining": draining, "again": again, "restarted": newEntry("p", "2")}
	leave := map[string]func(h *harness){
		"draining": func(h *harness) { h.put("s", "draining") },
		"removed":  func(h *harness) { h.step(watchcache.ObjectDeleted{Kind: fleet.KindServers, Name: "s", Settled: true}) },
		"expired": func(h *harness) {
			h.step(watchcache.ObjectDeleted{Kind: fleet.KindServers, Name: "s"})
			h.wait(0)
		},
		"draining and removed": func(h *harness) {
			h.put("s", "draining")
			h.step(watchcache.ObjectDeleted{Kind: fleet.KindServers, Name: "s"})
		},
	}
	for name, leave := range leave {
		start := func(spec string) *harness {
			h := newHarness(entries)
			h.put("s", "ready")
			leave(h)
			h.restore(2, spec)
			h.listed()
			return h
		}
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := start("ready")
			g.Expect(h.usable()).To(BeFalse())
			h.wait(9 * time.Second)
			g.Expect(h.usable()).To(BeFalse())
			g.Expect(h.Next()).To(Equal(h.now.Add(time.Second)))
			h.wait(time.Second)
			g.Expect(h.usable()).To(BeTrue(), "the store shows it as ready for too long")
		})
		t.Run(name+", entry written again", func(t *testing.T) {
			g := NewWithT(t)
			h := start("ready")
			h.put("s", "again")
			g.Expect(h.usable()).To(BeTrue())
			h.wait(time.Minute)
			g.Expect(h.Server("s").Slots).To(Equal(2))
		})
		t.Run(name+", written as draining", func(t *testing.T) {
			g := NewWithT(t)
			h := start("ready")
			h.put("s", "draining")
			h.wait(time.Minute)
			g.Expect(h.usable()).To(BeFalse())
		})
		t.Run(name+", another process", func(t *testing.T) {
			NewWithT(t).Expect(start("restarted").usable()).To(BeTrue())
		})
		t.Run(name+", not in the copy", func(t *testing.T) {
			g := NewWithT(t)
			h := start("")
			h.put("s", "again")
			g.Expect(h.usable()).To(BeTrue(), "it was written after the store had come back")
		})
		t.Run(name+", restored twice", func(t *testing.T) {
			g := NewWithT(t)
			h := start("ready")
			h.wait(5 * time.Second)
			h.restore(3, "ready")
			h.listed()
			h.wait(9 * time.Second)
			g.Expect(h.usable()).To(BeFalse())
		})
	}
	t.Run("removed while it is held", func(t *testing.T) {
		h := newHarness(entries)
		h.put("s", "ready")
		h.put("s", "draining")
		h.restore(2, "ready")
		h.listed()
		h.step(watchcache.ObjectDeleted{Kind: fleet.KindServers, Name: "s", Settled: true})
		h.wait(time.Minute)
		NewWithT(t).Expect(h.Pool("p")).To(BeEmpty(), "the store has no entry")
	})
	t.Run("long gone", func(t *testing.T) {
		h := newHarness(entries)
		h.put("s", "ready")
		leave["removed"](h)
		h.wait(time.Hour)
		h.restore(2, "ready")
		NewWithT(t).Expect(h.usable()).To(BeTrue())
	})
	t.Run("ready", func(t *testing.T) {
		h := newHarness(entries)
		h.put("s", "ready")
		h.restore(2, "ready")
		NewWithT(t).Expect(h.usable()).To(BeTrue())
	})
}

// TestRestoredEvacuation guards against work in a failure domain whose evacuation the store has lost and the operator writes
// again.
func TestRestoredEvacuation(t *testing.T) {
	evacuation := watchcache.ObjectChanged{Kind: fleet.KindEvacuations, Object: watchcache.Object{Name: "a"}}
	missing := watchcache.ObjectDeleted{Kind: fleet.KindEvacuations, Name: "a"}
	start := func() *harness {
		h := newHarness(entryDecoder{"ready": newEntry("p", "1")})
		h.put("s", "ready")
		h.step(evacuation)
		h.restore(2, "ready")
		h.step(missing)
		h.listed()
		h.wait(watchcache.SettleTime - time.Millisecond)
		return h
	}
	t.Run("written again", func(t *testing.T) {
		g := NewWithT(t)
		h := start()
		g.Expect(h.usable()).To(BeFalse())
		h.step(evacuation)
		h.wait(time.Minute)
		g.Expect(h.usable()).To(BeFalse())
		h.step(missing)
		g.Expect(h.usable()).To(BeTrue(), "the store has settled")
	})
	t.Run("not written again", func(t *testing.T) {
		g := NewWithT(t)
		h := start()
		g.Expect(h.Next()).To(Equal(h.now.Add(time.Millisecond)))
		h.wait(time.Millisecond)
		g.Expect(h.usable()).To(BeTrue())
	})
	t.Run("settled deletion", func(t *testing.T) {
		g := NewWithT(t)
		h := start()
		h.step(evacuation)
		h.step(watchcache.ObjectDeleted{Kind: fleet.KindEvacuations, Name: "a", Settled: true})
		g.Expect(h.usable()).To(BeTrue())
	})
}

// TestRestoredColdness guards against a server that counts as warm because the store has come back with an entry from before it
// became cold.
func TestRestoredColdness(t *testing.T) {
	cold, shorter := newEntry("p", "1"), newEntry("p", "1")
	cold.Cold, shorter.Cold = 5*time.Second, time.Second
	entries := entryDecoder{"warm": newEntry("p", "1"), "cold": cold, "shorter": shorter, "restarted": newEntry("p", "2")}
	start := func(spec string) *harness {
		h := newHarness(entries)
		h.put("s", "cold")
		h.restore(2, spec)
		h.listed()
		return h
	}
	for spec, want := range map[string]bool{"warm": true, "shorter": true, "restarted": false} {
		t.Run(spec, func(t *testing.T) {
			h := start(spec)
			NewWithT(t).Expect(h.Server("s").Cold(h.now.Add(4 * time.Second))).To(Equal(want))
		})
	}
	t.Run("written again", func(t *testing.T) {
		h := start("warm")
		h.put("s", "warm")
		NewWithT(t).Expect(h.Server("s").Cold(h.now)).To(BeFalse())
	})
}
