package batch

import (
	"cmp"
	"slices"
	"time"

	"bluebellflow/core/capacity"
	"bluebellflow/core/catalog"
	"bluebellflow/core/id"
)

const (
	// affinityBytes is the transfer size of a task from which on it should stay inside a failure domain.
	affinityBytes = 150 << 10
	// pieceTimeGain is the weight of a new call in the estimated time of a piece.
	pieceTimeGain = 0.1
	// holdGain is the weight of a new result in the average time for which results are kept, if it takes at least
	// holdBytesShare of the memory of a worker; smaller results weigh less.
	holdGain       = 0.05
	holdBytesShare = 0.05
	// taskLatencyGain is the weight of a new task in the average time that a task takes.
	taskLatencyGain = 0.1
	// priorityStep is how much later a task is sorted for each step to a lower priority.
	priorityStep = 50 * time.Millisecond
	// latePriorityPieces is how many pieces are added to the missing pieces of a late job for each step to a lower priority,
	// when late jobs are sorted.
	latePriorityPieces = 4
	// initialPieces is the number of pieces in the initial estimate of a task's latency.
	initialPieces = 4
	// minFill and maxFill bound the fraction of a worker's result memory that is used; the sizes of results are approximate.
	minFill = 0.7
	maxFill = 0.95
	// fillDecrease is subtracted from that fraction after a call that ran out of memory, fillIncrease added after any other.
	fillDecrease = 0.03
	fillIncrease = 0.002
	// maxPieceTimeRatio bounds the ratio of the estimated to the configured time of a piece, and its inverse.
	maxPieceTimeRatio = 5
)

// pieceKind groups pieces that take about the same time.
type pieceKind struct {
	route string
	stage int
}

// poolQueue holds the workers of a pool and the tasks that wait for them.
type poolQueue struct {
	pool         *catalog.Pool
	workers      []*worker
	tasks        []*task // tasks with waiting pieces
	dirty        bool    // a task or a worker has changed since the last dispatch
	sorted       bool    // tasks are in order
	pieceTimes   map[pieceKind]time.Duration
	taskLatency  time.Duration // average time from a first-class task's inputs to its results, late tasks left out
	fill         float64       // fraction of a worker's result memory that is used at most
	cachedMedian float64       // median slowdown of the workers, 0 if unknown
	hold         time.Duration // average time from the start of a call until the memory of its results is free again
}

func newPoolQueue(pool *catalog.Pool) *poolQueue {
	return &poolQueue{
		pool: pool, pieceTimes: map[pieceKind]time.Duration{},
		taskLatency: pool.Pieces.CallTime + initialPieces*pool.Pieces.PieceTime,
		fill:        maxFill, hold: 2 * pool.Pieces.CallTime,
	}
}

func kindOf(t *task) pieceKind { return pieceKind{t.job.Route, t.index} }

// pieceTime returns the expected time that a piece adds to the fixed time of a call.
func (q *poolQueue) pieceTime(k pieceKind) time.Duration {
	if d, ok := q.pieceTimes[k]; ok {
		return d
	}
	return q.pool.Pieces.PieceTime
}

// demand returns what a piece of a task needs from the pool.
func (q *poolQueue) demand(t *task) capacity.Demand {
	return capacity.Piece(q.pool.Pieces, q.pieceTime(kindOf(t)), int64(t.stage().Bytes))
}

// learnHold updates the average time for which memory is taken by a result, weighted by its size.
func (q *poolQueue) learnHold(held time.Duration, bytes int64) {
	gain := holdGain * min(1, float64(bytes)/max(1, holdBytesShare*float64(q.pool.Pieces.ResultMemory)))
	q.hold += time.Duration(gain * float64(held-q.hold))
}

// learnPieceTimes adjusts the piece times of the kinds in a call by the relative error of the expected time.
func (q *poolQueue) learnPieceTimes(c *call, took time.Duration) {
	piecesTime := c.expected - q.pool.Pieces.CallTime
	if piecesTime <= 0 {
		return
	}
	relErr := float64(took-c.expected) / float64(piecesTime)
	for k := range c.kinds {
		old := float64(q.pieceTime(k))
		configured := float64(q.pool.Pieces.PieceTime)
		q.pieceTimes[k] = time.Duration(min(max(old*(1+pieceTimeGain*min(max(relErr, -1), 1)), configured/maxPieceTimeRatio), configured*maxPieceTimeRatio))
	}
}

// learnFill adjusts the fraction of a worker's result memory that is used, after a call.
func (q *poolQueue) learnFill(outcomes []Outcome) {
	change := fillIncrease
	for _, o := range outcomes {
		if o.Reason == ReasonServerFull {
			change = -fillDecrease
		}
	}
	q.fill = min(maxFill, max(minFill, q.fill+change))
}

// freeMemory returns how many more bytes of results a worker can hold besides those of the call that is being filled.
func (q *poolQueue) freeMemory(now time.Time, w *worker, planned int64) int64 {
	return max(0, q.usableMemory()-w.usedBytes-w.foreign.at(now)-planned)
}

// usableMemory returns how many bytes of a worker's result memory are used at most.
func (q *poolQueue) usableMemory() int64 { return int64(q.fill * float64(q.pool.Pieces.ResultMemory)) }

// learnLatency updates the average with the time that a task took from its inputs to its results.
func (q *poolQueue) learnLatency(took time.Duration) {
	q.taskLatency += time.Duration(taskLatencyGain * float64(took-q.taskLatency))
}

// median returns the median slowdown of the workers. Workers are compared with it, because an error in the expected times
// changes the slowdown of all of them. It is cached until a slowdown changes.
func (q *poolQueue) median() float64 {
	if q.cachedMedian == 0 {
		q.cachedMedian = q.computeMedian()
	}
	return q.cachedMedian
}

func (q *poolQueue) computeMedian() float64 {
	slowdowns := make([]float64, 0, len(q.workers))
	for _, w := range q.workers {
		slowdowns = append(slowdowns, w.slowdown)
	}
	if len(slowdowns) == 0 {
		return 1
	}
	slices.Sort(slowdowns)
	return slowdowns[(len(slowdowns)-1)/2]
}

// slow reports whether a worker takes much longer than the others of its pool.
func (q *poolQueue) slow(w *worker) bool { return w.slowdown > slowThreshold*q.median() }

// enqueue adds a task.
func (q *poolQueue) enqueue(t *task) {
	q.dirty, q.sorted = true, false
	if !t.queued {
		t.queued = true
		q.tasks = append(q.tasks, t)
	}
}

// prune removes the tasks that have no piece to run now.
func (q *poolQueue) prune() {
	q.tasks = slices.DeleteFunc(q.tasks, func(t *task) bool {
		t.queued = !t.job.ended && t.waiting > 0 && t.predecessorsDone()
		return !t.queued
	})
}

// sort orders the tasks by class and then by their latest start, to which each step to a lower priority adds priorityStep.
// Late tasks come last; among them the jobs with the fewest missing pieces come first, so that as many jobs as possible
// still meet their deadlines.
func (q *poolQueue) sort(now time.Time) {
	for _, t := range q.tasks {
		t.class = t.job.class
		if now.After(t.latestStart) {
			t.class = classLate
			t.sortKey = time.Unix(int64(t.job.missingPieces())+int64(t.job.Priority)*latePriorityPieces, 0)
		} else {
			t.sortKey = t.latestStart.Add(time.Duration(t.job.Priority) * priorityStep)
		}
	}
	slices.SortStableFunc(q.tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.class, b.class), a.sortKey.Compare(b.sortKey))
	})
	q.sorted = true
}

// removeWorker removes a worker.
func (q *poolQueue) removeWorker(w *worker) {
	q.workers = slices.DeleteFunc(q.workers, func(o *worker) bool { return o == w })
	q.cachedMedian = 0
}

// workerDomains returns the failure domains of workers.
func workerDomains(workers []*worker) id.Set[id.FailureDomain] {
	out := id.NewSet[id.FailureDomain]()
	for _, w := range workers {
		out.Add(w.Domain)
	}
	return out
}
