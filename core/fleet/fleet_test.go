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

// entryDecoder are decoded by their specification, which is their name here.
type entryDecoder map[string]fleet.Entry

// Server returns an entry, or an error for one that cannot be read.
func (e entryDecoder) Server(spec []byte) (fleet.Entry, error) {
	if one, ok := e[string(spec)]; ok {
		return one, nil
	}
	return fleet.Entry{}, errors.New("not an entry")
}

func newEntry(pool id.Pool, start id.Start) fleet.Entry {
	return fleet.Entry{Pool: pool, Addr: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "a", Start: start, Slots: 1}
}

// harness is a fleet with what it told.
type harness struct {
	*fleet.Fleet
	now       time.Time
	removed   []id.Server
	restarted []id.Server
}

func newHarness(e entryDecoder) *harness {
	w := &harness{Fleet: fleet.New(e), now: epoch}
	w.step(watchcache.Reachability{Kind: fleet.KindServers, Up: true})
	w.now = w.now.Add(time.Minute)
	return w
}

func (w *harness) step(ev event.Event) {
	for _, a := range w.Step(w.now, ev) {
		switch a := a.(type) {
		case fleet.ServerRemoved:
			w.removed = append(w.removed, a.Server.ID)
		case fleet.ServerChanged:
			if a.Restarted {
				w.restarted = append(w.restarted, a.Server.ID)
			}
		}
	}
}

func (w *harness) put(name, spec string) {
	w.step(watchcache.ObjectChanged{Kind: fleet.KindServers, Object: watchcache.Object{Name: name, Revision: 1, Spec: []byte(spec)}})
}

// usable reports whether server s may be used.
func (w *harness) usable() bool {
	s := w.Server("s")
	if s == nil {
		return false
	}
	ok, _ := w.Usable(s)
	return ok
}

// TestUsable guards against work for servers that drain, stand in an evacuated failure domain, or are named by an entry
// of somebody else.
func TestUsable(t *testing.T) {
	g := NewWithT(t)
	draining := newEntry("p", "1")
	draining.Draining = true
	w := newHarness(entryDecoder{"good": newEntry("p", "1"), "draining": draining, "other": newEntry("q", "1")})
	w.put("s", "good")
	g.Expect(w.usable()).To(BeTrue())
	w.step(watchcache.ObjectChanged{Kind: fleet.KindEvacuations, Object: watchcache.Object{Name: "a"}})
	g.Expect(w.usable()).To(BeFalse())
	w.step(watchcache.ObjectDeleted{Kind: fleet.KindEvacuations, Name: "a"})
	g.Expect(w.usable()).To(BeTrue())
	w.put("s", "other")
	g.Expect(w.Pool("p")).To(BeEmpty(), "the server runs another pool's work now")
	g.Expect(w.Pool("q")).To(HaveLen(1))
	w.put("s", "draining")
	g.Expect(w.usable()).To(BeFalse())
	w.put("s", "unreadable")
	g.Expect(w.Server("s")).To(BeNil())
	w.put("new", "unreadable")
	g.Expect(w.Server("new")).To(BeNil())
}

// TestRestarted guards against a new process that passes for the one before it under the same name.
func TestRestarted(t *testing.T) {
	g := NewWithT(t)
	w := newHarness(entryDecoder{"first": newEntry("p", "1"), "second": newEntry("p", "2")})
	w.put("s", "first")
	w.put("s", "first")
	g.Expect(w.restarted).To(BeEmpty())
	w.put("s", "second")
	g.Expect(w.restarted).To(Equal([]id.Server{"s"}))
}

// TestMissing guards against servers that are dropped because their entries lapsed while the store was away, and against
// ones that are used for ever after they have left.
func TestMissing(t *testing.T) {
	e := entryDecoder{"s": newEntry("p", "1")}
	gone := watchcache.ObjectDeleted{Kind: fleet.KindServers, Name: "s"}
	t.Run("settled", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(e)
		w.put("s", "s")
		w.step(watchcache.ObjectDeleted{Kind: fleet.KindServers, Name: "s", Settled: true})
		g.Expect(w.removed).To(Equal([]id.Server{"s"}))
	})
	t.Run("back in time", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(e)
		w.put("s", "s")
		w.step(watchcache.Reachability{Kind: fleet.KindServers})
		w.now = w.now.Add(10 * time.Second)
		w.step(gone)
		g.Expect(w.usable()).To(BeTrue(), "nobody knows while the store is away")
		w.step(watchcache.Reachability{Kind: fleet.KindServers, Up: true})
		w.now = w.now.Add(watchcache.SettleTime - time.Millisecond)
		w.step(event.Tick{})
		g.Expect(w.usable()).To(BeTrue())
		w.put("s", "s")
		w.now = w.now.Add(time.Hour)
		w.step(event.Tick{})
		g.Expect(w.usable()).To(BeTrue())
	})
	t.Run("not back", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(e)
		w.put("s", "s")
		w.step(watchcache.Reachability{Kind: fleet.KindServers})
		w.step(gone)
		w.step(watchcache.Reachability{Kind: fleet.KindServers, Up: true})
		g.Expect(w.Next()).To(Equal(w.now.Add(watchcache.SettleTime)))
		w.now = w.Next()
		w.step(event.Tick{})
		g.Expect(w.removed).To(Equal([]id.Server{"s"}))
	})
	t.Run("the store has answered another node for a while", func(t *testing.T) {
		g := NewWithT(t)
		w := newHarness(e)
		w.put("s", "s")
		w.step(watchcache.Reachability{Kind: fleet.KindServers})
		w.step(gone)
		w.step(watchcache.Reachability{Kind: fleet.KindServers, Up: true, Settled: true})
		g.Expect(w.removed).To(Equal([]id.Server{"s"}))
	})
	t.Run("it had said that it leaves", func(t *testing.T) {
		g := NewWithT(t)
		draining := newEntry("p", "1")
		draining.Draining = true
		w := newHarness(entryDecoder{"s": draining})
		w.put("s", "s")
		w.step(gone)
		g.Expect(w.removed).To(Equal([]id.Server{"s"}))
	})
}

// TestCold guards against a server that counts as warm before its time, or as cold after it.
func TestCold(t *testing.T) {
	g := NewWithT(t)
	cold := newEntry("p", "1")
	cold.Cold = 3 * time.Second
	w := newHarness(entryDecoder{"s": cold})
	w.put("s", "s")
	g.Expect(w.Server("s").Cold(w.now.Add(2 * time.Second))).To(BeTrue())
	g.Expect(w.Server("s").Cold(w.now.Add(3 * time.Second))).To(BeFalse())
}
