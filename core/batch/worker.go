package batch

import (
	"time"

	"bluebellflow/core/catalog"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

const (
	// slowdownGain is the weight of a new call in a worker's measured slowdown.
	slowdownGain = 0.5
	// slowThreshold is the ratio to the median slowdown of the pool above which a worker counts as slow.
	slowThreshold = 1.6
	// minBackoff and maxBackoff bound how long a worker gets no calls after a failure.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 5 * time.Second
	// fullBackoff is how long a worker gets no calls after it had no slot for a call or no memory for results.
	fullBackoff = 100 * time.Millisecond
	// freeDelay is how long results to be freed are collected, so that one call frees several. lowMemoryFreeDelay replaces
	// it for a worker that is low on memory.
	freeDelay          = 100 * time.Millisecond
	lowMemoryFreeDelay = 30 * time.Millisecond
	// fetchTime is the time after its start by which a call must have fetched its inputs.
	fetchTime = 100 * time.Millisecond
	// lowMemoryShare is the used fraction of a worker's result memory above which its results are freed as soon as they were
	// fetched, and not only when the call that reads them has ended.
	lowMemoryShare = 0.4
	// minForeignShare is the fraction of a worker's result memory that may be missing because sizes are approximate.
	minForeignShare = 0.15
	// minForeignTime is how long a server that had no memory left is assumed to have none.
	minForeignTime = 200 * time.Millisecond
	// freeBatchSize is the number of collected results at which they are freed without waiting for the delay.
	freeBatchSize = 256
)

// worker is the scheduler's view of a stage server.
type worker struct {
	*fleet.Server
	calls        map[uint64]*call
	slowdown     float64 // average ratio of the measured to the expected time of its calls
	failures     int     // consecutive
	backoffUntil time.Time
	usedBytes    int64          // bytes of the results that it keeps or is computing
	foreign      foreignResults // memory that this node cannot account for
	results      map[string]*result
	pendingFree  []*result // to be freed with the next FreeResults
	pendingSince time.Time // when the first of them was added, zero if there are none
}

// foreignResults is memory for results of another leader, of which this node knows nothing else.
type foreignResults struct {
	bytes int64
	until time.Time // the worker has discarded them by then
}

// at returns the bytes that are still taken.
func (f foreignResults) at(now time.Time) int64 {
	if now.Before(f.until) {
		return f.bytes
	}
	return 0
}

// result is the result of a piece, which a worker keeps.
type result struct {
	handle    string
	worker    *worker
	domain    id.FailureDomain
	bytes     int64
	since     time.Time // when the call that made it was sent, or when this node learned of it
	expiresAt time.Time // the worker discards it then
}

func newWorker(s *fleet.Server) *worker {
	return &worker{Server: s, calls: map[uint64]*call{}, slowdown: 1, results: map[string]*result{}}
}

// addResult adds a result that the worker keeps.
func (w *worker) addResult(r *result) {
	w.results[r.handle] = r
	w.usedBytes += r.bytes
}

// freeResult schedules a result to be freed. The worker keeps it until it is told to discard it.
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

// expire removes the results that the worker has discarded by now.
func (w *worker) expire(now time.Time) {
	for handle, r := range w.results {
		if now.After(r.expiresAt) {
			delete(w.results, handle)
			w.usedBytes -= r.bytes
		}
	}
}

// dueFrees returns and removes the results to be freed, or nil if they are to be collected for longer.
func (w *worker) dueFrees(now time.Time, memory int64) []*result {
	delay := freeDelay
	if w.lowMemory(memory) {
		delay = lowMemoryFreeDelay
	}
	if w.pendingSince.IsZero() || (now.Sub(w.pendingSince) < delay && len(w.pendingFree) < freeBatchSize) {
		return nil
	}
	out := w.pendingFree
	for _, r := range out {
		w.usedBytes -= r.bytes
	}
	w.pendingFree, w.pendingSince = nil, time.Time{}
	return out
}

// observeFull records that a server had no memory left for a result of the given size, out of the usable bytes: what this
// node does not know of belongs to another leader, which led until the given time.
func (w *worker) observeFull(now, ledUntil time.Time, usable, size int64, p *catalog.Pieces) {
	unknown := usable - w.usedBytes - size/2
	if float64(unknown) < minForeignShare*float64(p.ResultMemory) {
		return
	}
	until := ledUntil.Add(p.ResultTTL + p.CallTime)
	if earliest := now.Add(minForeignTime); until.Before(earliest) {
		until = earliest
	}
	w.foreign = foreignResults{unknown, until}
}

// observeFit records that a server had memory for the results of a call, so that as much of the other leader's may be gone.
func (w *worker) observeFit(bytes int64) { w.foreign.bytes = max(0, w.foreign.bytes-bytes) }

// lowMemory reports whether more than lowMemoryShare of the worker's result memory mem is used.
func (w *worker) lowMemory(mem int64) bool { return float64(w.usedBytes) > lowMemoryShare*float64(mem) }

// eta returns the expected time until the worker's calls and its backoff have ended.
func (w *worker) eta(now time.Time) time.Duration {
	longest := w.backoffUntil.Sub(now)
	for _, c := range w.calls {
		longest = max(longest, c.startedAt.Add(c.expected).Sub(now))
	}
	return max(0, longest)
}

// reset clears all state of a worker whose process has ended.
func (w *worker) reset() {
	clear(w.results)
	w.usedBytes, w.foreign = 0, foreignResults{}
	w.pendingFree, w.pendingSince = nil, time.Time{}
	w.slowdown, w.failures, w.backoffUntil = 1, 0, time.Time{}
}

// observeCall updates the slowdown with a completed call.
func (w *worker) observeCall(took, expected time.Duration) {
	w.slowdown += slowdownGain * (float64(took)/float64(expected) - w.slowdown)
}

// backOff keeps calls from the worker for a time that doubles with each consecutive failure.
func (w *worker) backOff(now time.Time) {
	w.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(w.failures, 5)))
	w.failures++
}
