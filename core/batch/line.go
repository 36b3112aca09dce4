package batch

import (
	"cmp"
	"slices"
	"time"

	"bluebellflow/core/catalog"
	"bluebellflow/core/id"
)

const (
	// heavyBytes is the size of the transfers of a part from which they should stay inside a failure domain.
	heavyBytes = 150 << 10
	// itemGain is the weight of a new call in the learned time of a piece.
	itemGain = 0.1
	// batchGain is the weight of a new call in the pieces of a call.
	batchGain = 0.05
	// latencyGain is the weight of a new part in the time that a stage takes.
	latencyGain = 0.1
	// priorityStep is how much slack a request of the next lower priority gives way to.
	priorityStep = 100 * time.Millisecond
	// latePieces is how many more pieces a late request of the next lower priority counts as.
	latePieces = 4
	// firstItems is how many pieces the first estimate of a call counts.
	firstItems = 4
	// leastFill and mostFill bound the part of a worker's room that is planned with: sizes of results are approximate.
	leastFill = 0.7
	mostFill  = 0.95
	// fillDown is what a piece without room takes off that part, and fillUp what a call with room for all adds.
	fillDown = 0.03
	fillUp   = 0.002
	// largestItem bounds the learned time of a piece to this multiple of the configured one, in both directions.
	largestItem = 5
)

// kind identifies pieces that take about the same time.
type kind struct {
	route string
	stage int
}

// line is the queue of a pool with its workers.
type line struct {
	pool    *catalog.Pool
	workers []*worker
	parts   []*part // with pieces that wait
	touched bool    // a part or a worker may be matched
	ranked  bool    // parts are in order
	items   map[kind]time.Duration
	latency time.Duration // smoothed time from a part's inputs to its results, of parts that were neither second-class nor late
	filling float64       // part of a worker's room that is planned with
	usual   float64       // median of the workers' factors, 0 if it has to be worked out
	batch   float64       // smoothed pieces of the calls that could not take all that waited
}

func newLine(pool *catalog.Pool) *line {
	return &line{
		pool: pool, items: map[kind]time.Duration{},
		latency: pool.Pieces.CallTime + firstItems*pool.Pieces.PieceTime,
		filling: mostFill, batch: float64(pool.Pieces.MaxBatch),
	}
}

func kindOf(p *part) kind { return kind{p.job.Route, p.index} }

// item returns the expected time of a piece on top of a call's fixed time.
func (l *line) item(k kind) time.Duration {
	if d, ok := l.items[k]; ok {
		return d
	}
	return l.pool.Pieces.PieceTime
}

// cost returns the time of a piece with its part of a full call.
func (l *line) cost(k kind) time.Duration {
	return l.item(k) + time.Duration(float64(l.pool.Pieces.CallTime)/max(1, l.batch))
}

// learnBatch takes in the pieces of a call that left some waiting: room for results may allow less than a full batch.
func (l *line) learnBatch(pieces int) {
	l.batch += batchGain * (min(float64(pieces), float64(l.pool.Pieces.MaxBatch)) - l.batch)
}

// learn corrects the times of the pieces in a call by the error of its expected time.
func (l *line) learn(c *call, took time.Duration) {
	sum := c.expected - l.pool.Pieces.CallTime
	if sum <= 0 {
		return
	}
	err := float64(took-c.expected) / float64(sum)
	for k := range c.kinds {
		old := float64(l.item(k))
		base := float64(l.pool.Pieces.PieceTime)
		l.items[k] = time.Duration(min(max(old*(1+itemGain*min(max(err, -1), 1)), base/largestItem), base*largestItem))
	}
}

// learnRoom corrects how much of a worker's room is planned with.
func (l *line) learnRoom(outcomes []Outcome) {
	change := fillUp
	for _, o := range outcomes {
		if o.Reason == ReasonServerFull {
			change = -fillDown
		}
	}
	l.filling = min(mostFill, max(leastFill, l.filling+change))
}

// room returns the bytes of results that a worker can take on top of some others.
func (l *line) room(w *worker, planned int64) int64 {
	return max(0, int64(l.filling*float64(l.pool.Pieces.ResultMemory))-w.used-planned)
}

// finished learns how long a part took from its inputs to its results.
func (l *line) finished(took time.Duration) {
	l.latency += time.Duration(latencyGain * float64(took-l.latency))
}

// median returns the median of the workers' factors, so that an error of the model makes no worker look slow. It is kept
// until a factor changes.
func (l *line) median() float64 {
	if l.usual == 0 {
		l.usual = l.middle()
	}
	return l.usual
}

func (l *line) middle() float64 {
	factors := make([]float64, 0, len(l.workers))
	for _, w := range l.workers {
		factors = append(factors, w.factor)
	}
	if len(factors) == 0 {
		return 1
	}
	slices.Sort(factors)
	return factors[(len(factors)-1)/2]
}

// slow reports whether a worker takes much longer than its peers.
func (l *line) slow(w *worker) bool { return w.factor > slowFactor*l.median() }

// add queues a part.
func (l *line) add(p *part) {
	l.touched, l.ranked = true, false
	if !p.queued {
		p.queued = true
		l.parts = append(l.parts, p)
	}
}

// tidy drops the parts that have nothing to run now.
func (l *line) tidy() {
	l.parts = slices.DeleteFunc(l.parts, func(p *part) bool {
		p.queued = !p.job.ended && p.open > 0 && p.complete()
		return !p.queued
	})
}

// rank sorts the queue: by class, then by how little time is left, with the more urgent priorities ahead. What has missed
// its objective comes last, the job with the least work left first, so that as many as possible are still answered.
func (l *line) rank(now time.Time) {
	for _, p := range l.parts {
		p.class = p.job.class
		if now.After(p.latest) {
			p.class = late
			p.rank = time.Unix(int64(p.job.unfinished())+int64(p.job.Priority)*latePieces, 0)
		} else {
			p.rank = p.latest.Add(time.Duration(p.job.Priority) * priorityStep)
		}
	}
	slices.SortStableFunc(l.parts, func(a, b *part) int {
		return cmp.Or(cmp.Compare(a.class, b.class), a.rank.Compare(b.rank))
	})
	l.ranked = true
}

// leave drops a worker.
func (l *line) leave(w *worker) {
	l.workers = slices.DeleteFunc(l.workers, func(o *worker) bool { return o == w })
	l.usual = 0
}

// domains returns the failure domains of workers that can take a call.
func domains(workers []*worker) id.Set[id.FailureDomain] {
	out := id.NewSet[id.FailureDomain]()
	for _, w := range workers {
		out.Add(w.Domain)
	}
	return out
}
