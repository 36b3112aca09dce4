package stagesim_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/lab/stagesim"
)

// runScaledUp simulates a deployment with its servers and requests multiplied by factor, in a burst that one leader schedules.
func runScaledUp(setup func() stagesim.Setup, factor int) *stagesim.Simulation {
	s := setup()
	for i := range s.Pools {
		for j := range s.Pools[i].Servers {
			s.Pools[i].Servers[j] *= factor
		}
	}
	for i := range s.Routes {
		s.Routes[i].Rate *= float64(factor)
	}
	sim := stagesim.New(1, s)
	for _, r := range s.Routes {
		sim.Burst(r.Name, 1.5, 4*time.Second, 8*time.Second)
	}
	sim.Run(10 * time.Second)
	return sim
}

// TestSchedulingCostPerCall runs a burst on a small and a large fleet. It guards against scheduling work per call that grows
// with the product of the numbers of waiting parts and servers.
func TestSchedulingCostPerCall(t *testing.T) {
	const factor = 12
	for name, setup := range setups {
		t.Run(name, func(t *testing.T) {
			small, large := runScaledUp(setup, 1), runScaledUp(setup, factor)
			before, after := float64(small.UsableChecks)/float64(small.Calls), float64(large.UsableChecks)/float64(large.Calls)
			t.Logf("server checks per call: %.1f, and %.1f with %d times the fleet", before, after, factor)
			NewWithT(t).Expect(after).To(BeNumerically("<=", factor*before), "checks per call grow faster than the number of servers")
		})
	}
}

// BenchmarkFleetSizes reports the processor time per call for several sizes of the fleet.
func BenchmarkFleetSizes(b *testing.B) {
	for _, factor := range []int{1, 7, 33} {
		b.Run("", func(b *testing.B) {
			for range b.N {
				start := time.Now()
				sim := runScaledUp(stagesim.Library, factor)
				b.ReportMetric(float64(time.Since(start).Microseconds())/float64(sim.Calls), "us/call")
				b.ReportMetric(sim.Total().Attainment(), "met")
			}
		})
	}
}
