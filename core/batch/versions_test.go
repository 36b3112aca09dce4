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

// fakePolicy allows a limited number of calls to one version and records what is reported to it.
type fakePolicy struct {
	version     id.Version
	left, ended int
	seen        []evidence.Sample
}

func (a *fakePolicy) AllowsCall(_ time.Time, _ id.Pool, v id.Version) bool {
	return v != a.version || a.left > 0
}

func (a *fakePolicy) CountCall(_ id.Pool, v id.Version) {
	if v == a.version {
		a.left--
	}
}

func (a *fakePolicy) RequestEnded(id.Pool, id.Version) { a.ended++ }

func (a *fakePolicy) Observe(_ time.Time, _ id.Pool, _ id.Version, s evidence.Sample) {
	a.seen = append(a.seen, s)
}

// TestVersions guards against calls beyond the limit of a version when several of its servers are free at once, and against
// calls that are not reported to the policy.
func TestVersions(t *testing.T) {
	a := &fakePolicy{version: "v2", left: 1}
	h := newHarness(t, 3, batch.WithVersions(a))
	for _, s := range h.servers[cutPool] {
		s.Version = "v2"
	}
	for i := range uint64(12) {
		h.submit(i, jobTimeout)
	}
	g := NewWithT(t)
	g.Expect(h.running).To(HaveLen(1))
	first := h.running[0]
	h.step(batch.CallEnded{Call: first.Call, Fail: event.FailBroken})
	g.Expect(a.ended).To(Equal(1))
	g.Expect(a.seen).To(HaveLen(1))
	g.Expect(a.seen[0].Failed).To(BeTrue())
	g.Expect(a.seen[0].Load).To(Equal(len(first.Items)))
	g.Expect(h.running).To(HaveLen(1), "a second call of the version")
}
