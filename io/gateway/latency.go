package gateway

import (
	"expvar"
	"math/bits"
	"strconv"
	"time"
)

// latencyBuckets is the number of buckets of a histogram; the last one holds all that took longer than 32 s.
const latencyBuckets = 17

// histogram counts durations in buckets whose bounds double from one millisecond on.
type histogram struct{ counts [latencyBuckets]expvar.Int }

// observe counts a duration.
func (h *histogram) observe(d time.Duration) {
	h.counts[min(latencyBuckets-1, bits.Len64(uint64(max(0, d.Milliseconds()))))].Add(1)
}

// value returns the counts by the upper bound of their buckets in milliseconds; empty buckets are left out.
func (h *histogram) value() map[string]int64 {
	out := map[string]int64{}
	for i := range h.counts {
		bound := "inf"
		if i < latencyBuckets-1 {
			bound = strconv.Itoa(1 << i)
		}
		if n := h.counts[i].Value(); n > 0 {
			out["under_"+bound] = n
		}
	}
	return out
}

// latencies holds how long requests took from their arrival to their end, by how they ended.
type latencies struct{ answered, refused, aborted, disconnected histogram }

// value returns all histograms for the metrics address.
func (l *latencies) value() any {
	return map[string]map[string]int64{
		"answered": l.answered.value(), "refused": l.refused.value(), "cut": l.aborted.value(), "left": l.disconnected.value(),
	}
}
