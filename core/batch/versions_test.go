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

func (p *fakePolicy) AllowsCall(_ time.Time, _ id.Pool, v id.Version) bool {
	return v != p.version || p.left > 0
}

func (p *fakePolicy) CountCall(_ id.Pool, v id.Version) {
	if v == p.version {
		p.left--
	}
}

func (p *fakePolicy) RequestEnded(id.Pool, id.Version) { p.ended++ }

func (p *fakePolicy) Observe(_ time.Time, _ id.Pool, _ id.Version, s evidence.Sample) {
	p.seen = append(p.seen, s)
}

// TestVersions guards against calls beyond the limit of a version when several of its servers are free at once, and against
// calls that are not reported to the policy.
func TestVersions(t *testing.T) {
	p := &fakePolicy{version: "v2", left: 1}
	h := newHarness(t, 3, batch.WithVersions(p))
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
	g.Expect(p.ended).To(Equal(1))
	g.Expect(p.seen).To(HaveLen(1))
	g.Expect(p.seen[0].Failed).To(BeTrue())
	g.Expect(p.seen[0].Load).To(Equal(len(first.Items)))
	g.Expect(h.running).To(HaveLen(1), "a second call of the version")
}
