package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestHistogram guards against durations counted in the wrong bucket, in particular at the bounds.
func TestHistogram(t *testing.T) {
	g := NewWithT(t)
	var h histogram
	for _, d := range []time.Duration{0, 999 * time.Microsecond, time.Millisecond, 1999 * time.Microsecond, 2 * time.Millisecond, time.Hour, -time.Second} {
		h.observe(d)
	}
	g.Expect(h.value()).To(Equal(map[string]int64{"under_1": 3, "under_2": 2, "under_4": 1, "under_inf": 1}))
}
