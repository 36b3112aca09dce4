package node_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/node"
	"bluebellflow/core/request"
)

// runReordered runs a load while answers are late and overtake each other, and cancelled attempts go on answering.
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

// TestReorderedAnswers guards against answers that are cut, repeated, out of order or another request's when parts
// overtake each other; and against a proof that would not notice.
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
	t.Run("whole and in order", func(t *testing.T) {
		g := NewWithT(t)
		violations, gaps, abandoned := run()
		g.Expect(violations).To(BeEmpty())
		g.Expect(gaps).NotTo(BeZero(), "no stream was out of order")
		g.Expect(abandoned).NotTo(BeZero(), "no answer came late")
		t.Logf("%d gaps, %d late parts dropped", gaps, abandoned)
	})
	t.Run("noticed without order", func(t *testing.T) {
		violations, _, _ := run(node.WithRequest(request.WithoutOrderCheck()))
		NewWithT(t).Expect(violations).NotTo(BeEmpty())
		t.Logf("%d violations, such as %s", len(violations), violations[0])
	})
	t.Run("noticed without abandoning", func(t *testing.T) {
		violations, _, _ := run(node.WithRequest(request.WithoutDiscard()))
		NewWithT(t).Expect(violations).NotTo(BeEmpty())
		t.Logf("%d violations, such as %s", len(violations), violations[0])
	})
}
