package batch

import (
	"cmp"
	"slices"
	"time"

	"bluebellflow/core/catalog"
	"bluebellflow/core/id"
)

const (
	// affinityBytes is the size of the transfers of a part from which they should stay inside a failure domain.
	affinityBytes = 150 << 10
	// pieceTimeGain is the weight of a new call in the learned time of a piece.
	pieceTimeGain = 0.1
	// batchSizeGain is the weight of a new call in the pieces of a call.
	batchSizeGain = 0.05
	// taskLatencyGain is the weight of a new part in the time that a stage takes.
	taskLatencyGain = 0.1
	// priorityStep is how much slack a request of the next lower priority gives way to.
	priorityStep = 100 * time.Millisecond
	// latePriorityPieces is how many more pieces a late request of the next lower priority counts as.
	latePriorityPieces = 4
	// initialPieces is how many pieces the first estimate of a call counts.
	initialPieces = 4
	// minFill and mostFill bound the part of a worker's room that is planned with: sizes of results are approximate.
	minFill = 0.7
	maxFill = 0.95
	// fillDecrease is what a piece without room takes off that part, and fillUp what a call with room for all adds.
	fillDecrease = 0.03
	fillIncrease = 0.002
	// maxPieceTimeRatio bounds the learned time of a piece to this multiple of the configured one, in both directions.
	maxPieceTimeRatio = 5
)

// pieceKind identifies pieces that take about the same time.
type pieceKind struct {
	route string
	stage int
}

// poolQueue is the queue of a pool with its workers.
type poolQueue struct {
	pool         *catalog.Pool
	workers      []*worker
	tasks        []*task // with pieces that wait
	dirty        bool    // a part or a worker may be matched
	sorted       bool    // parts are in order
	pieceTimes   map[pieceKind]time.Duration
	taskLatency  time.Duration // smoothed time from a part's inputs to its results, of parts that were neither second-class nor late
	fill         float64       // part of a worker's room that is planned with
	cachedMedian float64       // median of the workers' factors, 0 if it has to be worked out
	batchSize    float64       // smoothed pieces of the calls that could not take all that waited
}

func newPoolQueue(pool *catalog.Pool) *poolQueue {
	return &poolQueue{
		pool: pool, pieceTimes: map[pieceKind]time.Duration{},
		taskLatency: pool.Pieces.CallTime + initialPieces*pool.Pieces.PieceTime,
		fill:        maxFill, batchSize: float64(pool.Pieces.MaxBatch),
	}
}

func kindOf(p *task) pieceKind { return pieceKind{p.job.Route, p.index} }

// pieceTime returns the expected time of a piece on top of a call's fixed time.
func (l *poolQueue) pieceTime(k pieceKind) time.Duration {
	if d, ok := l.pieceTimes[k]; ok {
		return d
	}
	return l.pool.Pieces.PieceTime
}

// cost returns the time of a piece with its part of a full call.
func (l *poolQueue) cost(k pieceKind) time.Duration {
	return l.pieceTime(k) + time.Duration(float64(l.pool.Pieces.CallTime)/max(1, l.batchSize))
}

// learnBatchSize takes in the pieces of a call that left some waiting: room for results may allow less than a full batch.
func (l *poolQueue) learnBatchSize(pieces int) {
	l.batchSize += batchSizeGain * (min(float64(pieces), float64(l.pool.Pieces.MaxBatch)) - l.batchSize)
}

// learnPieceTimes corrects the times of the pieces in a call by the error of its expected time.
func (l *poolQueue) learnPieceTimes(c *call, took time.Duration) {
	sum := c.expected - l.pool.Pieces.CallTime
	if sum <= 0 {
		return
	}
	err := float64(took-c.expected) / float64(sum)
	for k := range c.kinds {
		old := float64(l.pieceTime(k))
		base := float64(l.pool.Pieces.PieceTime)
		l.pieceTimes[k] = time.Duration(min(max(old*(1+pieceTimeGain*min(max(err, -1), 1)), base/maxPieceTimeRatio), base*maxPieceTimeRatio))
	}
}

// learnFill corrects how much of a worker's room is planned with.
func (l *poolQueue) learnFill(outcomes []Outcome) {
	change := fillIncrease
	for _, o := range outcomes {
		if o.Reason == ReasonServerFull {
			change = -fillDecrease
		}
	}
	l.fill = min(maxFill, max(minFill, l.fill+change))
}

// freeRoom returns the bytes of results that a worker can take on top of some others.
func (l *poolQueue) freeRoom(w *worker, planned int64) int64 {
	return max(0, int64(l.fill*float64(l.pool.Pieces.ResultMemory))-w.usedBytes-planned)
}

// learnLatency learns how long a part took from its inputs to its results.
func (l *poolQueue) learnLatency(took time.Duration) {
	l.taskLatency += time.Duration(taskLatencyGain * float64(took-l.taskLatency))
}

// median returns the median of the workers' factors, so that an error of the model makes no worker look slow. It is kept
// until a factor changes.
func (l *poolQueue) median() float64 {
	if l.cachedMedian == 0 {
		l.cachedMedian = l.computeMedian()
	}
	return l.cachedMedian
}

func (l *poolQueue) computeMedian() float64 {
	factors := make([]float64, 0, len(l.workers))
	for _, w := range l.workers {
		factors = append(factors, w.slowdown)
	}
	if len(factors) == 0 {
		return 1
	}
	slices.Sort(factors)
	return factors[(len(factors)-1)/2]
}

// slow reports whether a worker takes much longer than its peers.
func (l *poolQueue) slow(w *worker) bool { return w.slowdown > slowThreshold*l.median() }

// enqueue queues a part.
func (l *poolQueue) enqueue(p *task) {
	l.dirty, l.sorted = true, false
	if !p.queued {
		p.queued = true
		l.tasks = append(l.tasks, p)
	}
}

// prune drops the parts that have nothing to run now.
func (l *poolQueue) prune() {
	l.tasks = slices.DeleteFunc(l.tasks, func(p *task) bool {
		p.queued = !p.job.ended && p.waiting > 0 && p.predecessorsDone()
		return !p.queued
	})
}

// sort sorts the queue: by class, then by how little time is left, with the more urgent priorities ahead. What has missed
// its objective comes last, the job with the least work left first, so that as many as possible are still answered.
func (l *poolQueue) sort(now time.Time) {
	for _, p := range l.tasks {
		p.class = p.job.class
		if now.After(p.latestStart) {
			p.class = classLate
			p.sortKey = time.Unix(int64(p.job.missingPieces())+int64(p.job.Priority)*latePriorityPieces, 0)
		} else {
			p.sortKey = p.latestStart.Add(time.Duration(p.job.Priority) * priorityStep)
		}
	}
	slices.SortStableFunc(l.tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.class, b.class), a.sortKey.Compare(b.sortKey))
	})
	l.sorted = true
}

// removeWorker drops a worker.
func (l *poolQueue) removeWorker(w *worker) {
	l.workers = slices.DeleteFunc(l.workers, func(o *worker) bool { return o == w })
	l.cachedMedian = 0
}

// workerDomains returns the failure domains of workers that can take a call.
func workerDomains(workers []*worker) id.Set[id.FailureDomain] {
	out := id.NewSet[id.FailureDomain]()
	for _, w := range workers {
		out.Add(w.Domain)
	}
	return out
}
