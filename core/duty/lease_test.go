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

// newHolder returns leases of a node that has just taken the lease of subject, by a write that took 100 ms.
func newHolder(g *WithT) *duty.Leases {
	rng := rand.New(rand.NewPCG(1, 1))
	l := duty.New(event.Self{Node: "a", Incarnation: id.NewIncarnation(rng), Rand: rng}, duty.Options{Lease: leaseTime, CallsPerSecond: 50})
	l.Step(epoch, watchcache.KindLoaded{Kind: duty.Kind})
	l.SetLeading(epoch, true)
	out := l.Step(epoch, l.NewRecord(subject, []byte("r")))
	g.Expect(out).To(HaveLen(1))
	c := out[0].(event.PlatformCall)
	l.Step(epoch.Add(100*time.Millisecond), event.PlatformResult{Call: c, Code: event.CodeOK, Objects: []event.Object{{Name: c.Name, Version: 7}}})
	expectHolds(g, l, 100*time.Millisecond, true)
	return l
}

func expectHolds(g *WithT, l *duty.Leases, after time.Duration, want bool) {
	_, ok := l.Holds(epoch.Add(after), subject)
	g.ExpectWithOffset(1, ok).To(Equal(want), "%s after the start of the write", after)
}

func writes(out []event.Action) (n int) {
	for _, a := range out {
		if _, ok := a.(event.PlatformCall); ok {
			n++
		}
	}
	return n
}

// TestEndOfLease guards against a holder that acts until another node may take over, so that a call on its way comes late,
// or clocks of different rates let both act.
func TestEndOfLease(t *testing.T) {
	g := NewWithT(t)
	l := newHolder(g)
	expectHolds(g, l, 2490*time.Millisecond, true)
	expectHolds(g, l, 2510*time.Millisecond, false)
	_, _, ok := l.Call(epoch.Add(2400*time.Millisecond), subject, nil)
	g.Expect(ok).To(BeFalse(), "a call shortly before the end")
}

// TestRelease guards against a lease that is released while a call may still arrive, and against a holder that acts while
// the release may have taken effect.
func TestRelease(t *testing.T) {
	g := NewWithT(t)
	l := newHolder(g)
	c, _, ok := l.Call(epoch.Add(200*time.Millisecond), subject, nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(writes(l.SetLeading(epoch.Add(300*time.Millisecond), false))).To(BeZero())
	g.Expect(l.Releasing()).To(BeTrue())
	out := l.Step(epoch.Add(400*time.Millisecond), duty.CallResult{Subject: subject, Number: c.Number, Outcome: duty.Accepted})
	g.Expect(writes(out)).To(Equal(1))
	l.SetLeading(epoch.Add(500*time.Millisecond), true)
	expectHolds(g, l, 500*time.Millisecond, false)
}

// TestRateLimit guards against calls above the rate that the service accepts from all nodes together.
func TestRateLimit(t *testing.T) {
	g := NewWithT(t)
	l := newHolder(g)
	calls := 0
	for at := 200 * time.Millisecond; at < 1200*time.Millisecond; at += time.Millisecond {
		if _, _, ok := l.Call(epoch.Add(at), subject, nil); ok {
			calls++
		}
	}
	g.Expect(calls).To(BeNumerically("~", 40, 5))
}

// FuzzObject guards against an object in the store that stops a node or gives it the right to act.
func FuzzObject(f *testing.F) {
	f.Add([]byte(`{"holder":"b","incarnation":"00112233445566778899aabbccddeeff","token":3,"write":1,"recent":[{"node":"a","agoMs":5}],"record":"eA=="}`))
	f.Add([]byte(`{"holder":"a","token":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, spec []byte) {
		g := NewWithT(t)
		l := newHolder(g)
		l.Step(epoch.Add(time.Second), watchcache.ObjectChanged{Kind: duty.Kind, Object: watchcache.Object{Name: subject.String(), Revision: 9, Spec: spec}})
		expectHolds(g, l, time.Second, false)
		l.Step(epoch.Add(time.Second), l.NewRecord(subject, []byte("s")))
		l.Step(epoch.Add(10*time.Second), event.Tick{})
	})
}

// TestStaleRequest guards against a record that replaces another node's although it was computed before that one was known.
func TestStaleRequest(t *testing.T) {
	g := NewWithT(t)
	l := newHolder(g)
	stale := l.NewRecord(subject, []byte("stale"))
	other := []byte(`{"holder":"b","incarnation":"00112233445566778899aabbccddeeff","token":2,"write":1}`)
	l.Step(epoch.Add(time.Second), watchcache.ObjectChanged{Kind: duty.Kind, Object: watchcache.Object{Name: subject.String(), Revision: 9, Spec: other}})
	g.Expect(writes(l.Step(epoch.Add(time.Second), stale))).To(BeZero())
	g.Expect(writes(l.Step(epoch.Add(time.Minute), event.Tick{}))).To(BeZero())
	l.Step(epoch.Add(time.Minute), l.NewRecord(subject, []byte("new")))
	g.Expect(writes(l.Step(epoch.Add(time.Minute), event.Tick{}))).To(BeZero(), "a write is in progress")
}
