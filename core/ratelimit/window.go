package ratelimit

import "time"

// Window counts events in a sliding span of time, in slots of a tenth of the span.
type Window struct {
	span   time.Duration
	slots  [windowSlots]float64
	newest int64 // number of the newest slot
	sum    float64
}

// windowSlots is one more than the slots of a span.
const windowSlots = 11

// NewWindow returns an empty window.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// Add counts an event.
func (w *Window) Add(now time.Time, n float64) {
	w.advance(now)
	w.slots[w.newest%windowSlots] += n
	w.sum += n
}

// Sum returns the events of the span before now, and some that are up to a tenth older.
func (w *Window) Sum(now time.Time) float64 {
	w.advance(now)
	return w.sum
}

// LowerBound returns events of the span before now only, perhaps not all of them.
func (w *Window) LowerBound(now time.Time) float64 {
	w.advance(now)
	return w.sum - w.slots[(w.newest+1)%windowSlots]
}

func (w *Window) advance(now time.Time) {
	slot := now.UnixNano() / int64(w.span/(windowSlots-1))
	if slot-w.newest >= windowSlots {
		w.slots, w.sum, w.newest = [windowSlots]float64{}, 0, slot
		return
	}
	for w.newest < slot {
		w.newest++
		w.sum -= w.slots[w.newest%windowSlots]
		w.slots[w.newest%windowSlots] = 0
	}
}
