package batch_test

import (
	"fmt"
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
	shifted     bool // the version gets more than the other one
}

func (p *fakePolicy) AllowsCall(_ time.Time, _ id.Pool, v id.Version) bool {
	return v != p.version || p.left > 0
}

func (p *fakePolicy) CountCall(_ id.Pool, v id.Version) {
	if v == p.version {
		p.left--
	}
}

func (p *fakePolicy) SimilarLoad(time.Time, id.Pool) bool { return !p.shifted }

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

// TestVersionSamples guards against a version of a stage server whose failures count as sound calls, or as none.
func TestVersionSamples(t *testing.T) {
	outcomes := func(reasons ...batch.Reason) batch.CallEnded {
		var out batch.CallEnded
		for _, r := range reasons {
			out.Outcomes = append(out.Outcomes, batch.Outcome{Handle: map[bool]string{true: "h"}[r == 0], Reason: r})
		}
		return out
	}
	for name, c := range map[string]struct {
		ended            batch.CallEnded
		failed, rejected bool
	}{
		"results":                {outcomes(0, 0), false, false},
		"a piece failed":         {outcomes(0, batch.ReasonFailed), true, false},
		"a piece has no room":    {outcomes(0, batch.ReasonServerFull), false, true},
		"a piece is late":        {outcomes(0, batch.ReasonLate), false, true},
		"an input is missing":    {outcomes(batch.ReasonInputMissing, 0), false, true},
		"too few outcomes":       {outcomes(0), true, false},
		"broken":                 {batch.CallEnded{Fail: event.FailBroken}, true, false},
		"no answer in time":      {batch.CallEnded{Fail: event.FailTimeout}, true, false},
		"rejected":               {batch.CallEnded{Fail: event.FailRejected}, false, true},
		"failed, none succeeded": {outcomes(batch.ReasonFailed, batch.ReasonServerFull), true, false},
	} {
		for _, shifted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, shifted %v", name, shifted), func(t *testing.T) {
				p := &fakePolicy{shifted: shifted, left: 1}
				h := newHarness(t, 1, batch.WithVersions(p))
				h.submit(1, jobTimeout)
				c.ended.Call = h.running[0].Call
				h.step(c.ended)
				if shifted && c.rejected {
					NewWithT(t).Expect(p.seen).To(BeEmpty(), "its servers may be full")
					return
				}
				NewWithT(t).Expect(p.seen).To(HaveLen(1))
				NewWithT(t).Expect([]bool{p.seen[0].Failed, p.seen[0].Rejected}).To(Equal([]bool{c.failed, c.rejected}))
			})
		}
	}
}
