package admit

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bluebellflow/core/id"
)

const (
	// Estimates use the observations of the last windowCount windows of windowSpan each.
	windowCount = 4
	windowSpan  = 15 * time.Second
	// minSamples is the minimum number of observations for an estimate; without an estimate no request is refused.
	minSamples = 20
	// maxObservedMs caps the recorded stage times, in milliseconds.
	maxObservedMs = 60_000
	// The service rate is measured over the last rateSlots slots of rateSlot each.
	rateSlots = 10
	rateSlot  = time.Second
)

// stageKey identifies a stage of a pipeline.
type stageKey struct {
	pipeline id.Pipeline
	stage    string
}

// stageTimes holds a histogram of the durations of one stage over the most recent windows.
type stageTimes struct {
	histogram *hdrhistogram.WindowedHistogram
	rotatedAt time.Time
	cached    time.Duration // result of quantile unless dirty
	dirty     bool
}

func newStageTimes(now time.Time) *stageTimes {
	return &stageTimes{histogram: hdrhistogram.NewWindowed(windowCount, 1, maxObservedMs, 1), rotatedAt: now}
}

// decay drops the windows that are too old.
func (s *stageTimes) decay(now time.Time) {
	for range windowCount {
		if now.Sub(s.rotatedAt) < windowSpan {
			return
		}
		s.histogram.Rotate()
		s.rotatedAt = s.rotatedAt.Add(windowSpan)
		s.dirty = true
	}
	s.rotatedAt = now // all windows are empty
}

func (s *stageTimes) observe(took time.Duration) {
	ms := min(max(took.Milliseconds(), 1), maxObservedMs)
	if s.histogram.Current.RecordValue(ms) == nil {
		s.dirty = true
	}
}

// quantile returns the given quantile of the durations, or zero if there are fewer than minSamples.
func (s *stageTimes) quantile(q float64) time.Duration {
	if s.dirty {
		s.dirty = false
		s.cached = 0
		if all := s.histogram.Merge(); all.TotalCount() >= minSamples {
			s.cached = time.Duration(all.ValueAtQuantile(100*q)) * time.Millisecond
		}
	}
	return s.cached
}

// rate measures how many requests of a pipeline end per second while others wait. Time without a backlog does not
// count: the number of requests that end then shows the demand, not the capacity of the backend servers.
type rate struct {
	slots [rateSlots]struct {
		ends int           // requests that ended while others waited
		busy time.Duration // time during which requests waited
	}
	newest     int64 // number of the newest slot
	advancedAt time.Time
	backlogged bool // requests have been waiting since advancedAt
}

// minBacklogTime is the minimum time with a backlog for a measured rate.
const minBacklogTime = time.Second

// advance credits the time since the last call to the newest slot if there was a backlog, and drops old slots.
func (r *rate) advance(now time.Time, busy bool) {
	slot := now.UnixNano() / int64(rateSlot)
	for i := 0; r.newest < slot && i < rateSlots; i++ {
		r.newest++
		r.slots[r.newest%rateSlots].ends, r.slots[r.newest%rateSlots].busy = 0, 0
	}
	r.newest = slot
	if r.backlogged && now.After(r.advancedAt) {
		r.slots[slot%rateSlots].busy += min(now.Sub(r.advancedAt), rateSlots*rateSlot)
	}
	r.advancedAt, r.backlogged = now, busy
}

func (r *rate) addEnd() {
	if r.backlogged {
		r.slots[r.newest%rateSlots].ends++
	}
}

// perSecond returns the rate, or zero if the time with a backlog is shorter than minBacklogTime.
func (r *rate) perSecond() float64 {
	ends, busy := 0, time.Duration(0)
	for _, s := range r.slots {
		ends += s.ends
		busy += s.busy
	}
	if busy < minBacklogTime {
		return 0
	}
	return float64(ends) / busy.Seconds()
}

// retryBudget is a token bucket for retries. Each success adds ratio tokens, and a retry takes one.
type retryBudget struct {
	tokens     float64
	ratio      float64
	refilledAt time.Time
}

const (
	// defaultRetryRatio is the number of tokens that a success adds.
	defaultRetryRatio  = 0.1
	maxRetryTokens     = 20
	initialRetryTokens = 3
	// idleRetryRate is the number of tokens added per second, so that a pipeline with little traffic can retry, too.
	idleRetryRate = 0.1
)

// take removes one token and reports whether there was one.
func (b *retryBudget) take(now time.Time) bool {
	if !b.refilledAt.IsZero() {
		b.tokens = min(maxRetryTokens, b.tokens+idleRetryRate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
