package stagesim_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/lab/stagesim"
)

// runScaledUp is a deployment with more servers and requests by a factor, in a burst that one leader schedules.
func runScaledUp(setup func() stagesim.Setup, times int) *stagesim.Simulation {
	s := setup()
	for i := range s.Pools {
		for j := range s.Pools[i].Servers {
			s.Pools[i].Servers[j] *= times
		}
	}
	for i := range s.Routes {
		s.Routes[i].Rate *= float64(times)
	}
	w := stagesim.New(1, s)
	for _, r := range s.Routes {
		w.Burst(r.Name, 1.5, 4*time.Second, 8*time.Second)
	}
	w.Run(10 * time.Second)
	return w
}

// TestSchedulingCostPerCall answers to a fleet that has grown, in a burst: it guards against work for each call that grows with the
// number of waiting parts times that of servers.
func TestSchedulingCostPerCall(t *testing.T) {
	const times = 12
	for name, setup := range setups {
		t.Run(name, func(t *testing.T) {
			small, large := runScaledUp(setup, 1), runScaledUp(setup, times)
			before, after := float64(small.UsableChecks)/float64(small.Calls), float64(large.UsableChecks)/float64(large.Calls)
			t.Logf("looks at servers for each call: %.1f, and %.1f with %d times the fleet", before, after, times)
			NewWithT(t).Expect(after).To(BeNumerically("<=", times*before), "more than in proportion to the servers")
		})
	}
}

// BenchmarkFleetSizes shows the processor time for each call by the size of the fleet.
func BenchmarkFleetSizes(b *testing.B) {
	for _, times := range []int{1, 7, 33} {
		b.Run("", func(b *testing.B) {
			for range b.N {
				began := time.Now()
				w := runScaledUp(stagesim.Library, times)
				b.ReportMetric(float64(time.Since(began).Microseconds())/float64(w.Calls), "us/call")
				b.ReportMetric(w.Total().Attainment(), "met")
			}
		})
	}
}
