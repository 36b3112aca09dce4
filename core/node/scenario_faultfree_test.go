package node_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestScenario guards against violations without any fault, and against a scenario that no longer reaches every step.
func TestScenario(t *testing.T) {
	g := NewWithT(t)
	s := newSystem(1)
	s.runScenario()
	g.Expect(s.check()).To(BeEmpty())
	g.Expect(s.callers.CountOutcomes()["answered"]).To(BeNumerically(">", 280), "%v", s.callers.CountOutcomes())
	count := faultFreeCounts()
	for i, st := range allSteps() {
		g.Expect(count[i]).To(BeNumerically(">", 0), st.name)
	}
}
