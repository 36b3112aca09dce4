package node_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestScenario guards against a scenario that breaks a guarantee without any fault, or that no longer goes through
// every step.
func TestScenario(t *testing.T) {
	g := NewWithT(t)
	s := newSystem(1)
	s.runScenario()
	g.Expect(s.check()).To(BeEmpty())
	g.Expect(s.callers.CountOutcomes()["answered"]).To(BeNumerically(">", 280), "%v", s.callers.CountOutcomes())
	count := faultFreeCounts()
	for i, one := range allSteps() {
		g.Expect(count[i]).To(BeNumerically(">", 0), one.name)
	}
}
