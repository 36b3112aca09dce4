package batch

import (
	"time"

	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

const (
	// factorGain is the weight of a new call in a worker's measured speed.
	factorGain = 0.5
	// slowFactor marks a worker that takes this much longer than the median of its pool.
	slowFactor = 1.6
	// firstRest and longestRest bound how long a worker that failed gets no calls.
	firstRest   = 300 * time.Millisecond
	longestRest = 5 * time.Second
	// fullRest is how long a worker that had no place for a call, or no room for results, is left alone.
	fullRest = 100 * time.Millisecond
	// freeDelay collects results that are given up, so that one call frees several; tightDelay is the same for a worker
	// that is short of room.
	freeDelay  = 100 * time.Millisecond
	tightDelay = 30 * time.Millisecond
	// fetchTime is how long after its start a call has surely fetched its inputs.
	fetchTime = 100 * time.Millisecond
	// tightShare is the part of a worker's room from which its results are given up as soon as they were fetched, and
	// not only when the call that reads them has ended.
	tightShare = 0.4
	// freeBatch is the most results that one call gives up.
	freeBatch = 256
)

// worker is a stage server with what the scheduler knows of it.
type worker struct {
	*fleet.Server
	calls    map[uint64]*call
	factor   float64 // measured over expected time of its calls
	failures int     // in a row
	rest     time.Time
	used     int64 // bytes of results that it keeps or makes
	kept     map[string]*result
	freed    []*result // to give up with the next call that frees
	freeing  time.Time // since when results wait for that call, zero if none do
}

// result is the outcome of a piece that a worker keeps.
type result struct {
	handle string
	worker *worker
	domain id.FailureDomain
	bytes  int64
	until  time.Time // the worker forgets it by itself
}

func newWorker(s *fleet.Server) *worker {
	return &worker{Server: s, calls: map[uint64]*call{}, factor: 1, kept: map[string]*result{}}
}

// keep notes a result that the worker has made.
func (w *worker) keep(r *result) {
	w.kept[r.handle] = r
	w.used += r.bytes
}

// drop gives up a result; the worker is told a little later, and keeps it until then.
func (w *worker) drop(now time.Time, handle string) {
	r, ok := w.kept[handle]
	if !ok {
		return
	}
	delete(w.kept, handle)
	w.freed = append(w.freed, r)
	if w.freeing.IsZero() {
		w.freeing = now
	}
}

// expire forgets the results that the worker has forgotten.
func (w *worker) expire(now time.Time) {
	for handle, r := range w.kept {
		if now.After(r.until) {
			delete(w.kept, handle)
			w.used -= r.bytes
		}
	}
}

// flush returns the results to give up if a call for them is due.
func (w *worker) flush(now time.Time, room int64) []string {
	delay := freeDelay
	if w.tight(room) {
		delay = tightDelay
	}
	if w.freeing.IsZero() || (now.Sub(w.freeing) < delay && len(w.freed) < freeBatch) {
		return nil
	}
	var out []string
	for _, r := range w.freed {
		out = append(out, r.handle)
		w.used -= r.bytes
	}
	w.freed, w.freeing = nil, time.Time{}
	return out
}

// tight reports whether the worker is short of room for results.
func (w *worker) tight(room int64) bool { return float64(w.used) > tightShare*float64(room) }

// eta returns how long the worker needs for its calls in progress.
func (w *worker) eta(now time.Time) time.Duration {
	longest := w.rest.Sub(now)
	for _, c := range w.calls {
		longest = max(longest, c.began.Add(c.expected).Sub(now))
	}
	return max(0, longest)
}

// lose forgets everything that the worker's process held.
func (w *worker) lose() {
	clear(w.kept)
	w.used = 0
	w.freed, w.freeing = nil, time.Time{}
	w.factor, w.failures, w.rest = 1, 0, time.Time{}
}

// observe learns from a completed call.
func (w *worker) observe(took, expected time.Duration) {
	w.factor += factorGain * (float64(took)/float64(expected) - w.factor)
}

// fail puts the worker aside for a while that doubles with each failure in a row.
func (w *worker) fail(now time.Time) {
	w.rest = now.Add(min(longestRest, firstRest<<min(w.failures, 5)))
	w.failures++
}
