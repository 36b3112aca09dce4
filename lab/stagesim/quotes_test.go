package stagesim_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/lab/stagesim"
)

// retryKinds names what callers do after a refusal.
var retryKinds = map[string]stagesim.Retries{
	"no retries": stagesim.NoRetries, "retries as told": stagesim.RetryAsTold, "retries at once": stagesim.RetryAtOnce, "many retries": stagesim.RetryOften,
}

func logRoutes(t *testing.T, sim *stagesim.Simulation) {
	t.Helper()
	for _, r := range sim.Routes {
		t.Logf("  %s: %+v", r.Name, *sim.Outcomes[r.Name])
	}
	t.Logf("  weighted attainment %.3f", sim.WeightedAttainment())
}

// runQuotes simulates quotes whose callers return as given, with faults.
func runQuotes(retries stagesim.Retries, faults func(*stagesim.Simulation)) *stagesim.Simulation {
	s := stagesim.Quotes()
	s.Retries = retries
	return run(s, faults)
}

// loaded simulates quotes with a multiple of the usual load from the fourth second on.
func loaded(factor float64, retries stagesim.Retries) *stagesim.Simulation {
	return runQuotes(retries, func(sim *stagesim.Simulation) {
		for _, r := range sim.Routes {
			sim.Burst(r.Name, factor, 4*time.Second, runLength)
		}
		sim.At(6*time.Second, sim.ResetOutcomes)
	})
}

// goodput returns the worth of the requests that were answered within their objective.
func goodput(sim *stagesim.Simulation) float64 {
	sum := 0.0
	for _, r := range sim.Routes {
		sum += r.Worth * float64(sim.Outcomes[r.Name].OnTime)
	}
	return sum
}

// expectUrgentFirst checks that no route is answered less often than a less urgent one, but for a small difference.
func expectUrgentFirst(t *testing.T, sim *stagesim.Simulation) {
	t.Helper()
	const maxDifference = 0.05
	note, survey, chat := sim.Outcomes["note"], sim.Outcomes["survey"], sim.Outcomes["chat"]
	g := NewWithT(t)
	g.Expect(note.AnsweredShare()).To(BeNumerically(">=", survey.AnsweredShare()-maxDifference), "notes and surveys")
	g.Expect(survey.AnsweredShare()).To(BeNumerically(">=", chat.AnsweredShare()-maxDifference), "surveys and chats")
}

// TestSustainedOverload runs up to three times the usual load for 26 s, with callers that return in different ways. It guards
// against goodput that falls once the load exceeds the capacity, and against urgent requests that are refused while less urgent
// ones are answered.
func TestSustainedOverload(t *testing.T) {
	const minGoodputShare = 0.95
	for kind, retries := range retryKinds {
		t.Run(kind, func(t *testing.T) {
			best := goodput(loaded(1.5, retries)) // at smaller loads
			for _, factor := range []float64{2, 3} {
				t.Run(fmt.Sprintf("%g times the load", factor), func(t *testing.T) {
					sim := loaded(factor, retries)
					logOutcomes(t, kind, sim)
					logRoutes(t, sim)
					NewWithT(t).Expect(goodput(sim)).To(BeNumerically(">=", minGoodputShare*best), "goodput")
					expectUrgentFirst(t, sim)
					best = max(best, goodput(sim))
				})
			}
		})
	}
}

// TestPoolLossUnderBursts leaves one of three servers of the pool with the large results, under bursts. It guards against a pool
// whose memory fills up with results that nobody reads soon, so that its calls hold one piece each, and against an admission
// that takes such calls for its capacity.
func TestPoolLossUnderBursts(t *testing.T) {
	const minAttainment = 0.7 // weighted; the pool has a third of its servers
	for kind, retries := range retryKinds {
		t.Run(kind, func(t *testing.T) {
			sim := runQuotes(retries, func(sim *stagesim.Simulation) {
				sim.Burst("survey", 2.4, 4*time.Second, 10*time.Second)
				sim.Burst("note", 2.4, 14*time.Second, 20*time.Second)
				sim.Crash("stock", 2, 2*time.Second, runLength, false)
			})
			logOutcomes(t, kind, sim)
			logRoutes(t, sim)
			NewWithT(t).Expect(sim.WeightedAttainment()).To(BeNumerically(">=", minAttainment), "weighted attainment")
			expectUrgentFirst(t, sim)
		})
	}
}

// TestRecoveryWithLargeResults stops a third of the pool with the large results for five seconds of a burst. It guards against a
// queue that outlasts the outage by more than two seconds.
func TestRecoveryWithLargeResults(t *testing.T) {
	for kind, retries := range retryKinds {
		t.Run(kind, func(t *testing.T) {
			sim := runQuotes(retries, func(sim *stagesim.Simulation) {
				sim.Burst("survey", 2, 6*time.Second, 11*time.Second)
				sim.Crash("stock", 1, 6*time.Second, 5*time.Second, false)
				sim.At(13*time.Second, sim.ResetOutcomes)
			})
			logOutcomes(t, kind, sim)
			NewWithT(t).Expect(sim.WeightedAttainment()).To(BeNumerically(">=", minShareDegraded), "weighted attainment")
		})
	}
}
