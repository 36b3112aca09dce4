package fleet_test

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/watchcache"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// entryDecoder maps the content of a store object to the entry that it decodes to.
type entryDecoder map[string]fleet.Entry

// Server returns the entry for a store object, or an error if there is none.
func (d entryDecoder) Server(spec []byte) (fleet.Entry, error) {
	if entry, ok := d[string(spec)]; ok {
		return entry, nil
	}
	return fleet.Entry{}, errors.New("not an entry")
}

func newEntry(pool id.Pool, start id.Start) fleet.Entry {
	return fleet.Entry{Pool: pool, Addr: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "a", Start: start, Slots: 1}
}

// harness is a fleet with a clock that records the events it emits.
type harness struct {
	*fleet.Fleet
	now       time.Time
	removed   []id.Server
	restarted []id.Server
}

func newHarness(d entryDecoder) *harness {
	h := &harness{Fleet: fleet.New(d), now: epoch}
	h.listed()
	h.now = h.now.Add(time.Minute)
	return h
}

func (h *harness) step(ev event.Event) {
	for _, a := range h.Step(h.now, ev) {
		switch a := a.(type) {
		case fleet.ServerRemoved:
			h.removed = append(h.removed, a.Server.ID)
		case fleet.ServerChanged:
			if a.Restarted {
				h.restarted = append(h.restarted, a.Server.ID)
			}
		}
	}
}

func (h *harness) put(name, spec string) {
	h.step(watchcache.ObjectChanged{Kind: fleet.KindServers, Object: watchcache.Object{Name: name, Revision: 1, Spec: []byte(spec)}})
}

// usable reports whether the server "s" exists and may get new work.
func (h *harness) usable() bool {
	s := h.Server("s")
	if s == nil {
		return false
	}
	ok, _ := h.Usable(s)
	return ok
}

// TestUsable guards against work for servers that are draining, in an evacuated failure domain, moved to another pool or
// without a valid entry.
func TestUsable(t *testing.T) {
	g := NewWithT(t)
	draining := newEntry("p", "1")
	draining.Draining = true
	h := newHarness(entryDecoder{"good": newEntry("p", "1"), "draining": draining, "other": newEntry("q", "1")})
	h.put("s", "good")
	g.Expect(h.usable()).To(BeTrue())
	h.step(watchcache.ObjectChanged{Kind: fleet.KindEvacuations, Object: watchcache.Object{Name: "a"}})
	g.Expect(h.usable()).To(BeFalse())
	h.step(watchcache.ObjectDeleted{Kind: fleet.KindEvacuations, Name: "a"})
	g.Expect(h.usable()).To(BeTrue())
	h.put("s", "other")
	g.Expect(h.Pool("p")).To(BeEmpty(), "the server has moved to another pool")
	g.Expect(h.Pool("q")).To(HaveLen(1))
	h.put("s", "draining")
	g.Expect(h.usable()).To(BeFalse())
	h.put("s", "unreadable")
	g.Expect(h.Server("s")).To(BeNil())
	h.put("new", "unreadable")
	g.Expect(h.Server("new")).To(BeNil())
}

// TestRestarted guards against a restart that goes unnoticed because the new process has the name of the old one.
func TestRestarted(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(entryDecoder{"first": newEntry("p", "1"), "second": newEntry("p", "2")})
	h.put("s", "first")
	h.put("s", "first")
	g.Expect(h.restarted).To(BeEmpty())
	h.put("s", "second")
	g.Expect(h.restarted).To(Equal([]id.Server{"s"}))
}

// TestMissing guards against servers that are removed because their entries expired while the store was unreachable, and
// against servers that stay in use after they have left.
func TestMissing(t *testing.T) {
	entries := entryDecoder{"s": newEntry("p", "1")}
	gone := watchcache.ObjectDeleted{Kind: fleet.KindServers, Name: "s"}
	t.Run("deletion is settled", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(entries)
		h.put("s", "s")
		h.step(watchcache.ObjectDeleted{Kind: fleet.KindServers, Name: "s", Settled: true})
		g.Expect(h.removed).To(Equal([]id.Server{"s"}))
	})
	t.Run("entry is written again in time", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(entries)
		h.put("s", "s")
		h.step(watchcache.Reachability{Kind: fleet.KindServers})
		h.now = h.now.Add(10 * time.Second)
		h.step(gone)
		g.Expect(h.usable()).To(BeTrue(), "the entry may have expired while the store was unreachable")
		h.step(watchcache.Reachability{Kind: fleet.KindServers, Up: true})
		h.now = h.now.Add(watchcache.SettleTime - time.Millisecond)
		h.step(event.Tick{})
		g.Expect(h.usable()).To(BeTrue())
		h.put("s", "s")
		h.now = h.now.Add(time.Hour)
		h.step(event.Tick{})
		g.Expect(h.usable()).To(BeTrue())
	})
	t.Run("entry is not written again", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(entries)
		h.put("s", "s")
		h.step(watchcache.Reachability{Kind: fleet.KindServers})
		h.step(gone)
		h.step(watchcache.Reachability{Kind: fleet.KindServers, Up: true})
		g.Expect(h.Next()).To(Equal(h.now.Add(watchcache.SettleTime)))
		h.now = h.Next()
		h.step(event.Tick{})
		g.Expect(h.removed).To(Equal([]id.Server{"s"}))
	})
	t.Run("store was reachable from another node", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(entries)
		h.put("s", "s")
		h.step(watchcache.Reachability{Kind: fleet.KindServers})
		h.step(gone)
		h.step(watchcache.Reachability{Kind: fleet.KindServers, Up: true, Settled: true})
		g.Expect(h.removed).To(Equal([]id.Server{"s"}))
	})
	t.Run("server was draining", func(t *testing.T) {
		g := NewWithT(t)
		draining := newEntry("p", "1")
		draining.Draining = true
		h := newHarness(entryDecoder{"s": draining})
		h.put("s", "s")
		h.step(gone)
		g.Expect(h.removed).To(Equal([]id.Server{"s"}))
	})
}

// TestCold guards against a server that is treated as warm too early or as cold too long.
func TestCold(t *testing.T) {
	g := NewWithT(t)
	cold := newEntry("p", "1")
	cold.Cold = 3 * time.Second
	h := newHarness(entryDecoder{"s": cold})
	h.put("s", "s")
	g.Expect(h.Server("s").Cold(h.now.Add(2 * time.Second))).To(BeTrue())
	g.Expect(h.Server("s").Cold(h.now.Add(3 * time.Second))).To(BeFalse())
}
