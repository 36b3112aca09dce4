package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bluebellflow/core/id"
	"bluebellflow/core/ratelimit"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// maxInSpan returns the maximum number of events in any span.
func maxInSpan(events []time.Time, span time.Duration) int {
	most := 0
	for i := range events {
		n := 0
		for _, e := range events[i:] {
			if e.Sub(events[i]) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestCold guards against sending a cold server more requests per second than it can take, summed over nodes that do not
// communicate.
func TestCold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "nodes")
		limit := float64(rapid.IntRange(1, 60).Draw(t, "bound"))
		var names []id.Node
		for i := range count {
			names = append(names, id.Node(fmt.Sprint("n", i)))
		}
		var nodes []*ratelimit.ColdLimiter
		for _, n := range names {
			c := ratelimit.NewColdLimiter(n, 0)
			c.SetNodes(names)
			nodes = append(nodes, c)
		}
		var sent []time.Time
		now := epoch
		for range 2000 {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "us")) * time.Microsecond)
			c := nodes[rapid.IntRange(0, count-1).Draw(t, "node")]
			if c.Allows(now, "s", limit) {
				c.Take(now, "s")
				sent = append(sent, now)
			}
		}
		if most := maxInSpan(sent, time.Second); float64(most) > limit {
			t.Fatalf("%d requests in a second, limit %v", most, limit)
		}
	})
}

// TestColdShared guards against a cold server that gets no requests because each node's share is below one.
func TestColdShared(t *testing.T) {
	g := NewWithT(t)
	var names []id.Node
	for i := range 40 {
		names = append(names, id.Node(fmt.Sprint("n", i)))
	}
	allowed := 0
	for _, n := range names {
		c := ratelimit.NewColdLimiter(n, 0)
		c.SetNodes(names)
		if c.Allows(epoch, "s", 8) {
			allowed++
		}
	}
	g.Expect(allowed).To(Equal(8))
}

// TestRetries guards against retries beyond the budget in any window, summed over nodes that do not communicate.
func TestRetries(t *testing.T) {
	g := NewWithT(t)
	budget := ratelimit.Budget{Ratio: 0.2, Slack: 58, Span: 10 * time.Second}
	const count = 9
	var nodes []*ratelimit.RetryLimiter
	for range count {
		r := ratelimit.NewRetryLimiter(budget)
		r.SetNodes(count)
		nodes = append(nodes, r)
	}
	var requests, retries []time.Time
	for i := range 30_000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		r := nodes[i%count]
		if i%20 == 0 {
			r.CountRequest(now, "p")
			requests = append(requests, now)
		}
		if r.Take(now, "p") {
			retries = append(retries, now)
		}
	}
	g.Expect(retries).NotTo(BeEmpty())
	g.Expect(maxInSpan(retries, budget.Span)).To(BeNumerically("<=", int(budget.Ratio*float64(maxInSpan(requests, budget.Span))+budget.Slack)))
}

// TestWindow guards against counting events twice, or not at all, after a pause.
func TestWindow(t *testing.T) {
	g := NewWithT(t)
	w := ratelimit.NewWindow(time.Second)
	w.Add(epoch, 3)
	g.Expect(w.Sum(epoch.Add(900 * time.Millisecond))).To(Equal(3.0))
	g.Expect(w.Sum(epoch.Add(1200 * time.Millisecond))).To(Equal(0.0))
	w.Add(epoch.Add(time.Hour), 2)
	g.Expect(w.Sum(epoch.Add(time.Hour))).To(Equal(2.0))
}

// TestQuota guards against a quota above the rate, and against shares that do not add up to it.
func TestQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.05, 5000).Draw(t, "rate")
		count := rapid.IntRange(1, 400).Draw(t, "nodes")
		q := ratelimit.QuotaOf(rate, count)
		if perSecond := float64(q.Requests) / q.Span.Seconds(); perSecond > rate*1.001 || perSecond < rate*0.999 {
			t.Fatalf("%d requests in %v for a rate of %v", q.Requests, q.Span, rate)
		}
		if needed := float64(count) / rate; needed >= 1 && needed <= 3 && q.Requests < count {
			t.Fatalf("%d requests for %d nodes", q.Requests, count)
		}
		var names []id.Node
		for i := range count {
			names = append(names, id.Node(fmt.Sprint("n", i)))
		}
		sum := 0
		for _, n := range names {
			l := ratelimit.NewServerLimiter(n, 0)
			l.SetNodes(names)
			sum += l.Share("s", q)
		}
		if sum != q.Requests {
			t.Fatalf("shares add up to %d of %d", sum, q.Requests)
		}
	})
}

// TestExtremeRates guards against quotas without requests, without an end or beyond the range of numbers.
func TestExtremeRates(t *testing.T) {
	g := NewWithT(t)
	for _, rate := range []float64{0, 1e-300, 0.01, 1e7, 1e300} {
		q := ratelimit.QuotaOf(rate, 9)
		g.Expect(q.Requests).To(BeNumerically(">", 0), "rate %g", rate)
		g.Expect(q.Span).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 20*time.Second)), "rate %g", rate)
	}
}
