package batch

import (
	"time"

	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

const (
	// slowdownGain is the weight of a new call in a worker's measured speed.
	slowdownGain = 0.5
	// slowThreshold marks a worker that takes this much longer than the median of its pool.
	slowThreshold = 1.6
	// minBackoff and longestRest bound how long a worker that failed gets no calls.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 5 * time.Second
	// fullBackoff is how long a worker that had no place for a call, or no room for results, is left alone.
	fullBackoff = 100 * time.Millisecond
	// freeDelay collects results that are given up, so that one call frees several; tightDelay is the same for a worker
	// that is short of room.
	freeDelay        = 100 * time.Millisecond
	lowRoomFreeDelay = 30 * time.Millisecond
	// fetchTime is how long after its start a call has surely fetched its inputs.
	fetchTime = 100 * time.Millisecond
	// lowRoomShare is the part of a worker's room from which its results are given up as soon as they were fetched, and
	// not only when the call that reads them has ended.
	lowRoomShare = 0.4
	// freeBatchSize is the most results that one call gives up.
	freeBatchSize = 256
)

// worker is a stage server with what the scheduler knows of it.
type worker struct {
	*fleet.Server
	calls        map[uint64]*call
	slowdown     float64 // measured over expected time of its calls
	failures     int     // in a row
	backoffUntil time.Time
	usedBytes    int64 // bytes of results that it keeps or makes
	results      map[string]*result
	pendingFree  []*result // to give up with the next call that frees
	pendingSince time.Time // since when results wait for that call, zero if none do
}

// result is the outcome of a piece that a worker keeps.
type result struct {
	handle    string
	worker    *worker
	domain    id.FailureDomain
	bytes     int64
	expiresAt time.Time // the worker forgets it by itself
}

func newWorker(s *fleet.Server) *worker {
	return &worker{Server: s, calls: map[uint64]*call{}, slowdown: 1, results: map[string]*result{}}
}

// addResult notes a result that the worker has made.
func (w *worker) addResult(r *result) {
	w.results[r.handle] = r
	w.usedBytes += r.bytes
}

// freeResult gives up a result; the worker is told a little later, and keeps it until then.
func (w *worker) freeResult(now time.Time, handle string) {
	r, ok := w.results[handle]
	if !ok {
		return
	}
	delete(w.results, handle)
	w.pendingFree = append(w.pendingFree, r)
	if w.pendingSince.IsZero() {
		w.pendingSince = now
	}
}

// expire forgets the results that the worker has forgotten.
func (w *worker) expire(now time.Time) {
	for handle, r := range w.results {
		if now.After(r.expiresAt) {
			delete(w.results, handle)
			w.usedBytes -= r.bytes
		}
	}
}

// dueFrees returns the results to give up if a call for them is due.
func (w *worker) dueFrees(now time.Time, room int64) []string {
	delay := freeDelay
	if w.lowOnRoom(room) {
		delay = lowRoomFreeDelay
	}
	if w.pendingSince.IsZero() || (now.Sub(w.pendingSince) < delay && len(w.pendingFree) < freeBatchSize) {
		return nil
	}
	var out []string
	for _, r := range w.pendingFree {
		out = append(out, r.handle)
		w.usedBytes -= r.bytes
	}
	w.pendingFree, w.pendingSince = nil, time.Time{}
	return out
}

// lowOnRoom reports whether the worker is short of room for results.
func (w *worker) lowOnRoom(room int64) bool { return float64(w.usedBytes) > lowRoomShare*float64(room) }

// eta returns how long the worker needs for its calls in progress.
func (w *worker) eta(now time.Time) time.Duration {
	longest := w.backoffUntil.Sub(now)
	for _, c := range w.calls {
		longest = max(longest, c.startedAt.Add(c.expected).Sub(now))
	}
	return max(0, longest)
}

// reset forgets everything that the worker's process held.
func (w *worker) reset() {
	clear(w.results)
	w.usedBytes = 0
	w.pendingFree, w.pendingSince = nil, time.Time{}
	w.slowdown, w.failures, w.backoffUntil = 1, 0, time.Time{}
}

// observeCall learns from a completed call.
func (w *worker) observeCall(took, expected time.Duration) {
	w.slowdown += slowdownGain * (float64(took)/float64(expected) - w.slowdown)
}

// backOff puts the worker aside for a while that doubles with each failure in a row.
func (w *worker) backOff(now time.Time) {
	w.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(w.failures, 5)))
	w.failures++
}
