package admit

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bluebellflow/core/id"
)

const (
	// windowCount times windowSpan is how far back estimates reach.
	windowCount = 4
	windowSpan  = 15 * time.Second
	// minSamples is how many observations make evidence; with fewer nothing is refused.
	minSamples = 20
	// maxObservedMs bounds a recorded time in milliseconds; longer ones count as this.
	maxObservedMs = 60_000
	// rateSlots times rateSlot is the span over which the service rate is measured.
	rateSlots = 10
	rateSlot  = time.Second
)

type stageKey struct {
	pipeline id.Pipeline
	stage    string
}

// stageTimes holds the times of one stage; old windows are dropped, so that the histogram decays.
type stageTimes struct {
	window    *hdrhistogram.WindowedHistogram
	rotatedAt time.Time
	cached    time.Duration
	dirty     bool
}

func newStageTimes(now time.Time) *stageTimes {
	return &stageTimes{window: hdrhistogram.NewWindowed(windowCount, 1, maxObservedMs, 1), rotatedAt: now}
}

func (s *stageTimes) decay(now time.Time) {
	for range windowCount {
		if now.Sub(s.rotatedAt) < windowSpan {
			return
		}
		s.window.Rotate()
		s.rotatedAt = s.rotatedAt.Add(windowSpan)
		s.dirty = true
	}
	s.rotatedAt = now // silent for longer than all windows
}

func (s *stageTimes) observe(took time.Duration) {
	ms := min(max(took.Milliseconds(), 1), maxObservedMs)
	if s.window.Current.RecordValue(ms) == nil {
		s.dirty = true
	}
}

// quantile returns zero if there is not enough evidence.
func (s *stageTimes) quantile(q float64) time.Duration {
	if s.dirty {
		s.dirty = false
		s.cached = 0
		if all := s.window.Merge(); all.TotalCount() >= minSamples {
			s.cached = time.Duration(all.ValueAtQuantile(100*q)) * time.Millisecond
		}
	}
	return s.cached
}

// rate measures how many requests end in a second while others wait. Without a backlog the number of ends shows the
// demand and not what the back ends can do, so such times do not count.
type rate struct {
	slots [rateSlots]struct {
		ends int
		busy time.Duration
	}
	newest     int64 // number of the newest slot
	advancedAt time.Time
	backlogged bool // others waited since last
}

// minBacklogTime is how long others must have waited for the rate to be evidence.
const minBacklogTime = time.Second

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

// perSecond returns zero if there is not enough evidence.
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

// retryBudget is a store of retries that successes fill.
type retryBudget struct {
	tokens     float64
	ratio      float64
	refilledAt time.Time
}

const (
	// defaultRetryRatio is the part of a retry that each success allows.
	defaultRetryRatio  = 0.1
	maxRetryTokens     = 20
	initialRetryTokens = 3
	// idleRetryRate lets a pipeline with hardly any traffic retry now and then, in retries per second.
	idleRetryRate = 0.1
)

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
