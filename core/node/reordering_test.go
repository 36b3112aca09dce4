package node_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/node"
	"bluebellflow/core/request"
)

// runReordered sends load while answers arrive late and out of order, and cancelled attempts go on answering.
func runReordered(seed uint64, opts ...node.Option) *system {
	s := newSystemWith(seed, opts...)
	s.load(40, 10*time.Millisecond)
	s.backends.Jitter, s.backends.IgnoreCancel = 40*time.Millisecond, true
	// This encoder answers just after the stage's timeout of 500 ms, while the next stage runs.
	s.backends.Servers["d0-encoder-0"].SlowFactor = 26.2
	s.load(120, 15*time.Millisecond)
	s.backends.Jitter = 0
	s.load(40, 15*time.Millisecond)
	s.Run(15 * time.Second)
	return s
}

// TestReorderedAnswers guards against answers that are truncated, repeated, out of order or meant for another request when
// the output of backend servers arrives out of order. Without the order check or the discarding of late output, the test
// must find violations.
func TestReorderedAnswers(t *testing.T) {
	const seeds = 4
	run := func(opts ...node.Option) (violations []string, gaps, abandoned uint64) {
		for seed := range uint64(seeds) {
			s := runReordered(seed, opts...)
			violations = append(violations, s.callers.Check(time.Second)...)
			for _, name := range s.Nodes() {
				c := s.Stepper(name).(*node.Node).Counters()
				gaps += c.Gaps
				abandoned += c.Abandoned
			}
		}
		return violations, gaps, abandoned
	}
	t.Run("complete and in order", func(t *testing.T) {
		g := NewWithT(t)
		violations, gaps, abandoned := run()
		g.Expect(violations).To(BeEmpty())
		g.Expect(gaps).NotTo(BeZero(), "no stream arrived out of order")
		g.Expect(abandoned).NotTo(BeZero(), "no answer arrived late")
		t.Logf("%d gaps, %d late outputs discarded", gaps, abandoned)
	})
	t.Run("violations without order check", func(t *testing.T) {
		violations, _, _ := run(node.WithRequest(request.WithoutOrderCheck()))
		NewWithT(t).Expect(violations).NotTo(BeEmpty())
		t.Logf("%d violations, such as %s", len(violations), violations[0])
	})
	t.Run("violations without discarding", func(t *testing.T) {
		violations, _, _ := run(node.WithRequest(request.WithoutDiscard()))
		NewWithT(t).Expect(violations).NotTo(BeEmpty())
		t.Logf("%d violations, such as %s", len(violations), violations[0])
	})
}
