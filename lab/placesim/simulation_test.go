package placesim_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/selfreport"
	"bluebellflow/lab/placesim"
)

const objective = 500 * time.Millisecond

var (
	// grown has many nodes, older few nodes and servers of many slots. Some shared parts are much more popular than others.
	grown = placesim.Setup{
		Nodes: 142, Servers: 90, Slots: 12, Rate: 440, Span: 40 * time.Second, Parts: 600, PartTokens: 3000, Skew: 1.5, Shared: 0.7,
		HintError: 1.5, Objective: objective, Report: placesim.Truthful,
	}
	older = placesim.Setup{
		Nodes: 9, Servers: 9, Slots: 64, Rate: 60, Span: 40 * time.Second, Parts: 60, PartTokens: 3000, Skew: 1.5, Shared: 0.9,
		HintError: 1.5, Objective: objective, Report: placesim.Truthful,
	}
	// even has servers with little time to spare, and shared parts that are all alike.
	even = placesim.Setup{
		Nodes: 60, Servers: 30, Slots: 12, Rate: 420, Span: 30 * time.Second, Parts: 300, PartTokens: 3000, Skew: 1, Shared: 0.6,
		Objective: objective, Report: placesim.Truthful,
	}
)

// compare runs a setup with the choice by cost and with the earlier one, and prints both.
func compare(t *testing.T, setup placesim.Setup) (byCost, earlier *placesim.Simulation) {
	byCost = placesim.Run(setup)
	setup.Policy = placesim.Earlier
	earlier = placesim.Run(setup)
	t.Logf("by cost: %s; earlier: %s", byCost, earlier)
	return byCost, earlier
}

// TestDeployments guards against a choice that is worse than the earlier one, at the usual load and at twice as much.
func TestDeployments(t *testing.T) {
	for name, setup := range map[string]placesim.Setup{"grown": grown, "older": older} {
		for load, factor := range map[string]float64{"usual": 1, "double": 2} {
			t.Run(name+", "+load, func(t *testing.T) {
				g := NewWithT(t)
				setup := setup
				setup.Rate *= factor
				got, earlier := compare(t, setup)
				g.Expect(got.P99()).To(BeNumerically("<=", earlier.P99()*11/10))
				g.Expect(got.Late()).To(BeNumerically("<=", earlier.Late()))
				g.Expect(got.Busiest()).To(BeNumerically("<", earlier.Busiest()))
				g.Expect(got.Reread).To(BeNumerically("<", 250_000))
			})
		}
	}
}

// TestPatterns guards against requests that wait at an overloaded server while others are idle, and against shared parts that are read
// again for nothing, in workloads that a count of requests does not tell apart.
func TestPatterns(t *testing.T) {
	for name, c := range map[string]struct {
		change         func(*placesim.Setup)
		p99            time.Duration // all are upper bounds
		ratio          float64       // of the p99 to that of the earlier choice
		busiest, first float64       // shares of the busiest server and of the first one
		reread         int
	}{
		"mixed sizes":       {func(*placesim.Setup) {}, 300 * time.Millisecond, 0.6, 1.35, 1.3, 100_000},
		"popular part":      {func(s *placesim.Setup) { s.Popular = 0.4 }, objective, 0.1, 1.8, 1.8, 400_000},
		"slow server":       {func(s *placesim.Setup) { s.Slow = 3 }, objective, 0.1, 1.35, 0.6, 200_000},
		"lying server":      {func(s *placesim.Setup) { s.Report = lieOfFirst }, 300 * time.Millisecond, 0.6, 1.35, 1, 100_000},
		"no reports":        {func(s *placesim.Setup) { s.Report = noReport }, 300 * time.Millisecond, 0.6, 1.35, 1.3, 100_000},
		"wrong by factor 4": {func(s *placesim.Setup) { s.HintError = 4 }, 300 * time.Millisecond, 0.6, 1.35, 1.3, 100_000},
		"no work of others": {func(s *placesim.Setup) { s.Alone = true }, objective, 1, 1.35, 1.3, 100_000},
		"no reports, alone": {func(s *placesim.Setup) { s.Alone, s.Report = true, noReport }, objective, 1, 1.35, 1.3, 100_000},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			setup := even
			c.change(&setup)
			got, earlier := compare(t, setup)
			g.Expect(got.P99()).To(BeNumerically("<", c.p99))
			g.Expect(float64(got.P99()) / float64(earlier.P99())).To(BeNumerically("<", c.ratio))
			g.Expect(got.Busiest()).To(BeNumerically("<", c.busiest))
			g.Expect(got.Share(0)).To(BeNumerically("<", c.first))
			g.Expect(got.Reread).To(BeNumerically("<", c.reread))
		})
	}
}

// lieOfFirst is the report of a server; the first one says that it is idle and fast.
func lieOfFirst(server int, l selfreport.Load) selfreport.Report {
	if server == 0 {
		l = selfreport.Load{Slots: l.Slots, Pace: 30}
	}
	return selfreport.Report{Load: l, LoadKnown: true}
}

func noReport(int, selfreport.Load) selfreport.Report { return selfreport.Report{} }
