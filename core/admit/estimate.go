package admit

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bluebellflow/core/id"
)

const (
	// windows times windowSpan is how far back estimates reach.
	windows    = 4
	windowSpan = 15 * time.Second
	// minSamples is how many observations make evidence; with fewer nothing is refused.
	minSamples = 20
	// maxTook bounds a recorded time in milliseconds; longer ones count as this.
	maxTook = 60_000
	// rateSlots times rateSlot is the span over which the service rate is measured.
	rateSlots = 10
	rateSlot  = time.Second
)

type stageKey struct {
	pipeline id.Pipeline
	stage    string
}

// stage holds the times of one stage; old windows are dropped, so that the histogram decays.
type stage struct {
	window  *hdrhistogram.WindowedHistogram
	rotated time.Time
	cached  time.Duration
	dirty   bool
}

func newStage(now time.Time) *stage {
	return &stage{window: hdrhistogram.NewWindowed(windows, 1, maxTook, 1), rotated: now}
}

func (s *stage) decay(now time.Time) {
	for range windows {
		if now.Sub(s.rotated) < windowSpan {
			return
		}
		s.window.Rotate()
		s.rotated = s.rotated.Add(windowSpan)
		s.dirty = true
	}
	s.rotated = now // silent for longer than all windows
}

func (s *stage) observe(took time.Duration) {
	ms := min(max(took.Milliseconds(), 1), maxTook)
	if s.window.Current.RecordValue(ms) == nil {
		s.dirty = true
	}
}

// quantile returns zero if there is not enough evidence.
func (s *stage) quantile(q float64) time.Duration {
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
	at   int64 // number of the newest slot
	last time.Time
	busy bool // others waited since last
}

// minBusy is how long others must have waited for the rate to be evidence.
const minBusy = time.Second

func (r *rate) advance(now time.Time, busy bool) {
	slot := now.UnixNano() / int64(rateSlot)
	for i := 0; r.at < slot && i < rateSlots; i++ {
		r.at++
		r.slots[r.at%rateSlots].ends, r.slots[r.at%rateSlots].busy = 0, 0
	}
	r.at = slot
	if r.busy && now.After(r.last) {
		r.slots[slot%rateSlots].busy += min(now.Sub(r.last), rateSlots*rateSlot)
	}
	r.last, r.busy = now, busy
}

func (r *rate) end() {
	if r.busy {
		r.slots[r.at%rateSlots].ends++
	}
}

// perSecond returns zero if there is not enough evidence.
func (r *rate) perSecond() float64 {
	ends, busy := 0, time.Duration(0)
	for _, s := range r.slots {
		ends += s.ends
		busy += s.busy
	}
	if busy < minBusy {
		return 0
	}
	return float64(ends) / busy.Seconds()
}

// budget is a store of retries that successes fill.
type budget struct {
	tokens float64
	ratio  float64
	at     time.Time
}

const (
	// defaultRetries is the part of a retry that each success allows.
	defaultRetries = 0.1
	maxRetries     = 20
	firstRetries   = 3
	// idleRetries lets a pipeline with hardly any traffic retry now and then, in retries per second.
	idleRetries = 0.1
)

func (b *budget) take(now time.Time) bool {
	if !b.at.IsZero() {
		b.tokens = min(maxRetries, b.tokens+idleRetries*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
