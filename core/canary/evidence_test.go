package canary

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
)

// faultModel returns the additional failure probability and the latency factor of a result of the new version.
type faultModel func(since time.Duration, route, load int) (fail, slower float64)

var good = func(time.Duration, int, int) (float64, float64) { return 0, 1 }

// outcome is the outcome of a simulated rollout.
type outcome struct {
	bad     bool          // the version was found to be bad
	delay   time.Duration // from the first result that the fault could affect
	results int           // of the new version in that time
	share   int
}

// simulate runs one rollout over three nodes with about 25 requests a second, in bursts as in a small
// organisation. The nodes exchange their counters twice a second.
func simulate(seed uint64, span time.Duration, bad faultModel) outcome {
	rng := rand.New(rand.NewPCG(seed, 7))
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	nodes := [3]*evidence.Evidence{evidence.New(start), evidence.New(start), evidence.New(start)}
	incs := [3]id.Incarnation{"a", "b", "c"}
	share, since, burst := steps[0], start, 1.0
	var faultSince time.Time // time of the first result that the fault could affect
	var out outcome
	for now := start; now.Sub(start) < span; now = now.Add(simulationStep) {
		if rng.IntN(4) == 0 {
			burst = 0.3 + 1.9*math.Pow(rng.Float64(), 2)
		}
		for range poisson(rng, 25*burst*simulationStep.Seconds()) {
			node, route, load := rng.IntN(3), []int{0, 0, 0, 0, 0, 1, 1, 1, 2, 2}[rng.IntN(10)], int(burst*4*rng.Float64())
			isNew := rng.IntN(fullShare) < share
			fail, slower := 0.005, 1.0
			if isNew {
				extraFail, factor := bad(now.Sub(start), route, load)
				fail, slower = fail+extraFail, factor
				if faultSince.IsZero() && (extraFail > 0 || factor > 1) {
					faultSince = now
				}
				if !faultSince.IsZero() {
					out.results++
				}
			}
			took := 0.1 * (1 + 0.1*float64(load)) * slower * math.Exp(0.4*rng.NormFloat64())
			nodes[node].Observe(now, incs[node], evidence.Sample{
				Route: id.Pipeline(fmt.Sprint("p", route)), Load: load,
				Took: time.Duration(took * float64(time.Second)), Failed: rng.Float64() < fail,
			}, isNew)
		}
		for i, from := range nodes {
			cells := from.Cells(now, incs[i])
			nodes[(i+1)%3].Merge(now, incs[i], cells)
			nodes[(i+2)%3].Merge(now, incs[i], cells)
		}
		score, _ := nodes[0].Evaluate(now)
		if score >= evidence.BadScore {
			out.bad, out.delay, out.share = true, now.Sub(faultSince), share
			return out
		}
		at := slices.IndexFunc(steps[:], func(s int) bool { return s > share })
		if at < 0 {
			continue
		}
		dwell := min(time.Minute, (span-now.Sub(start))/time.Duration(len(steps)-at+1))
		if now.Sub(since) >= dwell && score <= evidence.BadScore/2 && (steps[at] <= maxUnprovenShare || nodes[0].Complete(evidence.EnoughResults)) {
			share, since = steps[at], now
		}
	}
	out.share = share
	return out
}

const simulationStep = 500 * time.Millisecond

func poisson(rng *rand.Rand, mean float64) int {
	n, p := 0, rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= rng.Float64()
	}
	return n
}

func simulateAll(count int, span time.Duration, bad faultModel) []outcome {
	out := make([]outcome, count)
	var wait sync.WaitGroup
	for worker := range 8 {
		wait.Go(func() {
			for i := worker; i < count; i += 8 {
				out[i] = simulate(uint64(i), span, bad)
			}
		})
	}
	wait.Wait()
	return out
}

// TestGoodVersions guards against random variation that stops a good version, and against a rollout of one that does not
// complete in time.
func TestGoodVersions(t *testing.T) {
	stopped, late, count := 0, 0, 1000
	if testing.Short() {
		count = 100 // the race detector makes the simulation ten times slower; CI runs all 1000 without it
	}
	for _, o := range simulateAll(count, 4*time.Minute, good) {
		switch {
		case o.bad:
			stopped++
		case o.share < fullShare:
			late++
		}
	}
	t.Logf("of %d good versions %d were stopped and %d were late", count, stopped, late)
	g := NewWithT(t)
	g.Expect(stopped).To(BeNumerically("<=", 5))
	g.Expect(late).To(BeNumerically("<=", 5))
}

// TestBadVersions guards against faults that are missed, and against a bad version that gets too large a share.
func TestBadVersions(t *testing.T) {
	faultStart, count := 90*time.Second, 200
	if testing.Short() {
		count = 20
	}
	for _, kind := range []struct {
		name  string
		bad   faultModel
		share int // largest share that it may get
	}{
		{"fails at once", func(time.Duration, int, int) (float64, float64) { return 0.6, 1 }, maxUnprovenShare},
		{"fails later", func(since time.Duration, _, _ int) (float64, float64) {
			if since < faultStart {
				return 0, 1
			}
			return 0.6, 1
		}, fullShare},
		{"slow", func(time.Duration, int, int) (float64, float64) { return 0, 2.5 }, maxUnprovenShare},
		{"fails only under load", func(_ time.Duration, _, load int) (float64, float64) {
			if load < 3 {
				return 0, 1
			}
			return 0.6, 1
		}, fullShare},
		{"fails only on one route", func(_ time.Duration, route, _ int) (float64, float64) {
			if route != 2 {
				return 0, 1
			}
			return 0.6, 1
		}, maxUnprovenShare},
	} {
		t.Run(kind.name, func(t *testing.T) {
			g := NewWithT(t)
			var delays []time.Duration
			var results []int
			missed, share := 0, 0
			for _, o := range simulateAll(count, 6*time.Minute, kind.bad) {
				if !o.bad {
					missed++
					continue
				}
				delays, results, share = append(delays, o.delay), append(results, o.results), max(share, o.share)
			}
			slices.Sort(delays)
			slices.Sort(results)
			median, p95 := len(delays)/2, len(delays)*95/100
			t.Logf("%d missed; delay %s at the median, %s at 95%%; results %d and %d; largest share %d", missed,
				delays[median], delays[p95], results[median], results[p95], share)
			g.Expect(missed).To(BeZero())
			g.Expect(share).To(BeNumerically("<=", kind.share))
		})
	}
}

// TestColdServers guards against a good version that is rolled back because its new servers are still cold, and
// against a slow version that passes because its servers are cold.
func TestColdServers(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for slower, bad := range map[float64]bool{2: false, 8: true} {
		rng := rand.New(rand.NewPCG(1, 7))
		e := evidence.New(start)
		now, worst := start, 0.0
		for i := range 3000 {
			now = now.Add(20 * time.Millisecond)
			isNew, factor := i%50 == 0, 1.0
			if isNew {
				factor = slower
			}
			took := 0.1 * factor * math.Exp(0.4*rng.NormFloat64())
			e.Observe(now, "a", evidence.Sample{Route: "p", Took: time.Duration(took * float64(time.Second)), Cold: isNew}, isNew)
			score, _ := e.Evaluate(now)
			worst = max(worst, score)
		}
		NewWithT(t).Expect(worst >= evidence.BadScore).To(Equal(bad), "score %v with %v times the latency", worst, slower)
	}
}
