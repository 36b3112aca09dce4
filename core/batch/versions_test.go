package batch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/batch"
	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
)

// fakePolicy lets a number of calls go to a version and keeps what it is told.
type fakePolicy struct {
	version     id.Version
	left, ended int
	seen        []evidence.Sample
}

func (a *fakePolicy) AllowsCall(_ time.Time, _ id.Pool, v id.Version) bool {
	return v != a.version || a.left > 0
}

func (a *fakePolicy) Called(_ id.Pool, v id.Version) {
	if v == a.version {
		a.left--
	}
}

func (a *fakePolicy) Ended(id.Pool, id.Version) { a.ended++ }

func (a *fakePolicy) Observe(_ time.Time, _ id.Pool, _ id.Version, s evidence.Sample) {
	a.seen = append(a.seen, s)
}

// TestVersions guards against more calls to a version than it may get, when several of its servers are free at once, and
// against calls of which the rollout does not hear.
func TestVersions(t *testing.T) {
	a := &fakePolicy{version: "v2", left: 1}
	w := newHarness(t, 3, batch.WithVersions(a))
	for _, s := range w.servers[cutPool] {
		s.Version = "v2"
	}
	for i := range uint64(12) {
		w.submit(i, jobTimeout)
	}
	g := NewWithT(t)
	g.Expect(w.running).To(HaveLen(1))
	first := w.running[0]
	w.step(batch.CallEnded{Call: first.Call, Fail: event.FailBroken})
	g.Expect(a.ended).To(Equal(1))
	g.Expect(a.seen).To(HaveLen(1))
	g.Expect(a.seen[0].Failed).To(BeTrue())
	g.Expect(a.seen[0].Load).To(Equal(len(first.Items)))
	g.Expect(w.running).To(HaveLen(1), "a second call of the version")
}
