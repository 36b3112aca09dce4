package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/retry"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestBackoff guards against retries that come together, too soon, or so late that they miss the recovery of a dependency.
func TestBackoff(t *testing.T) {
	const longest = time.Second
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 1))
	var timer retry.Timer
	full := 100 * time.Millisecond
	for failures := 1; failures <= 8; failures++ {
		timer.Fail(epoch, rng)
		delay := timer.Next().Sub(epoch)
		g.Expect(delay).To(BeNumerically(">=", full/2))
		g.Expect(delay).To(BeNumerically("<=", full))
		g.Expect(timer.Failures()).To(Equal(failures))
		full = min(longest, 2*full)
	}
	var other retry.Timer
	other.Fail(epoch, rng)
	timer.Clear()
	timer.Fail(epoch, rng)
	g.Expect(timer.Next()).NotTo(Equal(other.Next()), "no jitter")
}

// TestDue guards against an operation that is started twice, or never.
func TestDue(t *testing.T) {
	g := NewWithT(t)
	var timer retry.Timer
	g.Expect(timer.Due(epoch)).To(BeFalse(), "unset")
	timer.Set(epoch, time.Second)
	g.Expect(timer.Due(epoch.Add(999 * time.Millisecond))).To(BeFalse())
	g.Expect(timer.Due(epoch.Add(time.Second))).To(BeTrue())
	g.Expect(timer.Due(epoch.Add(time.Hour))).To(BeFalse(), "due once")
	g.Expect(timer.Next()).To(BeZero())
}

// TestEarliest guards against unset times that count as the earliest.
func TestEarliest(t *testing.T) {
	g := NewWithT(t)
	g.Expect(retry.Earliest()).To(BeZero())
	g.Expect(retry.Earliest(time.Time{}, epoch.Add(time.Second), epoch, time.Time{})).To(Equal(epoch))
}
