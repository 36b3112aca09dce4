package duty_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/watchcache"
)

// change is the content of the store after a write.
type change struct {
	at     time.Duration
	object watchcache.Object
}

// windowsPerEra is more than the number of windows reported in an era.
const windowsPerEra = 100_000

// nextWindow returns the first window that was not reported. It skips those that an earlier holder may have reported in a record that
// the store has forgotten, as package usage does by the time.
func (h *holder) nextWindow(r report) int {
	next := max(1, r.Next)
	if _, stale := h.StaleSince(subject); stale {
		next = max(next, int(h.era)*windowsPerEra)
	}
	return next
}

// answer delivers the answer to a write. Where the store may be restored, it may come after the node has learned of that.
func (w *world) answer(h *holder, ev event.PlatformResult) {
	if w.era == 0 {
		w.deliver(h, ev)
		return
	}
	w.after(w.upTo(100*time.Millisecond), func() { w.deliver(h, ev) })
}

// observe shows a node an object of the store, as the cache does: changes of an earlier era are dropped, and a new era is reported
// first. An object without a revision does not exist.
func (w *world) observe(h *holder, era uint64, o watchcache.Object) {
	if era < h.era {
		return
	}
	if era > h.era {
		h.era = era
		w.deliver(h, watchcache.EraChanged{Era: era})
		if o.Revision == 0 {
			w.deliver(h, watchcache.ObjectDeleted{Kind: duty.Kind, Name: subject.String()})
		}
	}
	if o.Revision > 0 {
		w.deliver(h, watchcache.ObjectChanged{Kind: duty.Kind, Object: o})
	}
}

// restore brings the store back from a copy of the given age. Nodes notice it after a while.
func (w *world) restore(age time.Duration) {
	for len(w.history) > 0 && w.history[len(w.history)-1].at > w.now-age {
		w.history = w.history[:len(w.history)-1]
	}
	w.object = watchcache.Object{}
	if n := len(w.history); n > 0 {
		w.object = w.history[n-1].object
	}
	w.era++
	for _, h := range w.nodes {
		w.after(w.upTo(1500*time.Millisecond), func() {
			if !h.cut {
				w.observe(h, w.era, w.object)
			}
		})
	}
}

// newEraWorld returns a world with a store that names its era.
func newEraWorld(seed uint64, names ...id.Node) *world {
	w := newWorld(seed, names...)
	w.era = 1
	for _, h := range w.nodes {
		w.observe(h, w.era, watchcache.Object{})
	}
	return w
}

// TestRestoredInvariants guards against two holders at a time, tokens that decrease or are given to two nodes, and records that are
// replaced, after the store has forgotten writes: once, and again before all nodes have learned of the first time.
func TestRestoredInvariants(t *testing.T) {
	const worlds, steps, oldest = 200, 30, 8 * time.Second
	g := NewWithT(t)
	for seed := range uint64(worlds) {
		names := []id.Node{"a", "b", "c"}
		w := newEraWorld(seed, names[:2+seed%2]...)
		kinds := disturbances
		if seed%3 == 0 {
			kinds = harmless
		}
		for range steps {
			w.disturb(kinds)
			w.run(w.upTo(3 * time.Second))
			if w.rng.IntN(4) == 0 {
				w.restore(w.upTo(oldest))
			}
			if w.rng.IntN(8) == 0 {
				w.run(w.upTo(time.Second))
				w.restore(w.upTo(oldest))
			}
		}
		w.expectRecovery(g, seed)
	}
}

// restored tells a node that the store has come back from a copy, in which another node has released the lease.
func restored(l *duty.Leases, at time.Duration) {
	l.Step(epoch.Add(at), watchcache.EraChanged{Era: 1})
	show(l, at, 3, `{"holder":"b","incarnation":"00112233445566778899aabbccddeeff","token":1,"write":1,"released":true}`)
}

func show(l *duty.Leases, at time.Duration, revision uint64, spec string) {
	o := watchcache.Object{Name: subject.String(), Revision: revision, Spec: []byte(spec)}
	l.Step(epoch.Add(at), watchcache.ObjectChanged{Kind: duty.Kind, Object: o})
}

// request requests a write of a record and returns the write that is started at once, if any.
func request(l *duty.Leases, at time.Duration) (event.PlatformCall, bool) {
	for _, a := range l.Step(epoch.Add(at), l.NewRecord(subject, []byte("next"))) {
		if c, ok := a.(event.PlatformCall); ok {
			return c, true
		}
	}
	return event.PlatformCall{}, false
}

// TestRestoredHolder guards against a holder that loses its right when the store is restored, renews it on a revision that means
// something else now, or waits although no other node can have taken the lease.
func TestRestoredHolder(t *testing.T) {
	g := NewWithT(t)
	l := newHolder(g)
	restored(l, 500*time.Millisecond)
	expectHolds(g, l, 2490*time.Millisecond, true)
	expectHolds(g, l, 2510*time.Millisecond, false)
	record, _ := l.Record(subject)
	g.Expect(string(record)).To(Equal("r"))
	_, stale := l.StaleSince(subject)
	g.Expect(stale).To(BeFalse())
	c, ok := request(l, 600*time.Millisecond)
	g.Expect(ok).To(BeTrue())
	g.Expect(c.Version).To(BeEquivalentTo(3))
	l.Step(epoch.Add(700*time.Millisecond), event.PlatformResult{Call: c, Code: event.CodeOK, Objects: []event.Object{{Name: c.Name, Version: 4}}})
	token, _ := l.Holds(epoch.Add(3*time.Second), subject)
	g.Expect(token).To(BeEquivalentTo(1<<32+3+1), "above the revision that it replaces")
}

// TestRestoredTaker guards against a takeover while a holder that the store has forgotten may act, and against one that never
// follows because the revisions of the store are lower than before.
func TestRestoredTaker(t *testing.T) {
	g := NewWithT(t)
	l := newHolder(g)
	restored(l, leaseTime)
	_, stale := l.StaleSince(subject)
	g.Expect(stale).To(BeTrue())
	_, ok := request(l, leaseTime)
	g.Expect(ok).To(BeFalse())
	g.Expect(writes(l.Step(epoch.Add(3*leaseTime-time.Millisecond), event.Tick{}))).To(BeZero())
	g.Expect(writes(l.Step(epoch.Add(3*leaseTime), event.Tick{}))).To(Equal(1))
}

// TestProcessAfterRestore guards against a process that starts after the store was restored and takes the lease that the copy shows
// as released, or one that the copy lacks, while a forgotten holder may act, or with its token.
func TestProcessAfterRestore(t *testing.T) {
	for name, inCopy := range map[string]bool{"released": true, "missing": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(1, 1))
			l := duty.New(event.Self{Node: "a", Incarnation: id.NewIncarnation(rng), Rand: rng}, duty.Options{Lease: leaseTime, CallsPerSecond: 50})
			l.Step(epoch, watchcache.EraLearned{Era: 2})
			if inCopy {
				show(l, 0, 3, `{"holder":"b","incarnation":"00112233445566778899aabbccddeeff","era":1,"token":4294967297,"write":1,"released":true}`)
			}
			l.Step(epoch, watchcache.KindLoaded{Kind: duty.Kind})
			l.SetLeading(epoch, true)
			since, stale := l.StaleSince(subject)
			g.Expect(stale).To(BeTrue())
			g.Expect(since).To(Equal(epoch))
			_, ok := request(l, 0)
			g.Expect(ok).To(BeFalse())
			g.Expect(writes(l.Step(epoch.Add(2*leaseTime-time.Millisecond), event.Tick{}))).To(BeZero())
			c, ok := request(l, 2*leaseTime)
			g.Expect(ok).To(BeTrue())
			g.Expect(string(c.Value)).To(ContainSubstring(`"era":2,"token":8589934`))
		})
	}
}

// TestLateAnswer guards against the answer to a write that the store has forgotten, which gives a right or a revision.
func TestLateAnswer(t *testing.T) {
	g := NewWithT(t)
	l := newHolder(g)
	c, ok := request(l, 200*time.Millisecond)
	g.Expect(ok).To(BeTrue())
	restored(l, 300*time.Millisecond)
	l.Step(epoch.Add(400*time.Millisecond), event.PlatformResult{Call: c, Code: event.CodeOK, Objects: []event.Object{{Name: c.Name, Version: 8}}})
	expectHolds(g, l, 2600*time.Millisecond, false)
	next, ok := request(l, 500*time.Millisecond)
	g.Expect(ok).To(BeTrue())
	g.Expect(next.Version).To(BeEquivalentTo(3))
}

// TestForgottenHolder guards against a holder that the store has forgotten and that takes the lease as soon as another one has
// released it.
func TestForgottenHolder(t *testing.T) {
	g := NewWithT(t)
	l := newHolder(g)
	restored(l, leaseTime)
	show(l, 3*leaseTime, 4, `{"holder":"b","incarnation":"00112233445566778899aabbccddeeff","era":1,"token":4294967297,"write":2,"released":true}`)
	_, ok := request(l, 3*leaseTime)
	g.Expect(ok).To(BeFalse())
	g.Expect(writes(l.Step(epoch.Add(4*leaseTime), event.Tick{}))).To(Equal(1))
}
