package batch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// dispatch gives the waiting pieces of each pool to the workers that are free.
func (s *Scheduler) dispatch(now time.Time, out *actions) {
	for _, name := range slices.Sorted(maps.Keys(s.queues)) {
		l := s.queues[name]
		if !l.dirty {
			continue
		}
		l.dirty = false
		free := s.freeWorkers(now, l)
		if len(free) == 0 || len(l.tasks) == 0 {
			continue
		}
		l.prune()
		if !l.sorted && !s.fifo {
			l.sort(now)
		}
		for len(free) > 0 && len(l.tasks) > 0 {
			s.sendCall(now, l, free, out)
			free = free[1:]
		}
	}
}

// freeWorkers returns the workers that can take a call, the fastest first.
func (s *Scheduler) freeWorkers(now time.Time, l *poolQueue) []*worker {
	var out []*worker
	for _, w := range l.workers {
		if usable, _ := s.servers.Usable(w.Server); !usable || s.workers[w.ID] != w || !s.versions.AllowsCall(now, w.Pool, w.Version) {
			continue
		}
		if len(w.calls) < max(1, l.pool.Pieces.MaxCalls) && !now.Before(w.backoffUntil) {
			out = append(out, w)
		}
	}
	slices.SortStableFunc(out, func(a, b *worker) int {
		switch {
		case a.slowdown < b.slowdown:
			return -1
		case a.slowdown > b.slowdown:
			return 1
		}
		return 0
	})
	return out
}

// latestStart returns when a part has to start for its job to meet its objective.
func (s *Scheduler) latestStart(l *poolQueue, p *task) time.Time {
	return p.job.objective.Add(-l.pool.Pieces.CallTime - time.Duration(len(p.pieces))*l.pieceTime(kindOf(p)) - s.remainingTime(p))
}

// remainingTime estimates the time from the end of a part to the first event of the answer.
func (s *Scheduler) remainingTime(p *task) time.Duration {
	longest := time.Duration(0)
	for _, other := range p.job.tasks {
		for _, before := range other.stage().After {
			if int(before) == p.index && len(other.pieces) > 0 {
				longest = max(longest, s.queues[other.stage().Pool].taskLatency+s.remainingTime(other))
			}
		}
	}
	if longest == 0 {
		return time.Duration(p.job.Rest)
	}
	return longest
}

// sendCall fills a call to the first of the free workers and sends it.
func (s *Scheduler) sendCall(now time.Time, l *poolQueue, free []*worker, out *actions) {
	w := free[0]
	if !s.versions.AllowsCall(now, w.Pool, w.Version) {
		return // the call before this one has used up the share of its version
	}
	o := candidateWorker{worker: w, otherDomains: workerDomains(free[1:]), slow: l.slow(w), waits: map[id.FailureDomain]domainWait{}}
	c := &call{worker: w, queue: l, kinds: map[pieceKind]int{}, startedAt: now, expected: l.pool.Pieces.CallTime}
	left := false
	for _, p := range l.candidates(w) {
		if len(c.pieces) >= l.pool.Pieces.MaxBatch {
			left = true
			break
		}
		if p.waiting > 0 && !s.mustHandOver(p.job) && s.mayRun(now, l, p, &o) {
			before := len(c.pieces)
			s.addPieces(c, p)
			left = left || len(c.pieces)-before < p.waiting
		}
	}
	if len(c.pieces) == 0 {
		return
	}
	if left {
		l.learnBatchSize(len(c.pieces))
	}
	s.lastCall++
	c.id = s.lastCall
	s.calls[c.id] = c
	w.calls[c.id] = c
	c.version = w.Version
	s.versions.Called(w.Pool, w.Version)
	w.usedBytes += c.bytes
	run := StartCall{Call: c.id, Server: Target{ID: w.ID, Addr: w.Addr}, Timeout: c.timeout()}
	for _, one := range c.pieces {
		one.task.start(one.index, c)
		run.Items = append(run.Items, s.itemOf(now, one))
	}
	c.freeInputsAt = now.Add(fetchTime)
	out.add(run, event.Log{Kind: "call", Stage: string(l.pool.Name), Choice: string(w.ID), Reason: fmt.Sprintf(
		"call=%d pieces=%d waiting=%d expected=%s factor=%.2f used=%d", c.id, len(c.pieces), len(l.tasks), c.expected, w.slowdown, w.usedBytes)})
}

// candidates returns the parts that a worker may be given, the most urgent first. A worker that has failed gets the least
// urgent one, because what it is given may be lost with the time until that is noticed.
func (l *poolQueue) candidates(w *worker) []*task {
	if w.failures == 0 {
		return l.tasks
	}
	return l.tasks[len(l.tasks)-1:]
}

// candidateWorker is a free worker for which parts are looked for. What holds for all parts is worked out once, or the time for a call
// would grow with the number of parts times that of workers.
type candidateWorker struct {
	worker       *worker
	otherDomains id.Set[id.FailureDomain] // with other free workers
	slow         bool
	waits        map[id.FailureDomain]domainWait
}

// domainWait is when the first worker of a failure domain will be free, if there is one.
type domainWait struct {
	wait    time.Duration
	present bool
}

// mayRun reports whether a part may run on a worker.
func (s *Scheduler) mayRun(now time.Time, l *poolQueue, p *task, o *candidateWorker) bool {
	w := o.worker
	if p.avoid == w.ID && len(l.workers) > 1 {
		return false
	}
	left := p.latestStart.Sub(now)
	if o.slow && left > 0 && left < time.Duration((w.slowdown-1)*float64(l.pool.Pieces.CallTime)) {
		return false
	}
	if p.affinity == "" || p.affinity == w.Domain {
		return true
	}
	if o.otherDomains.Has(p.affinity) {
		return false
	}
	home, known := o.waits[p.affinity]
	if !known {
		home = s.domainWaitFor(now, l, p.affinity)
		o.waits[p.affinity] = home
	}
	return !home.present || (left >= 0 && left < home.wait)
}

func (s *Scheduler) domainWaitFor(now time.Time, l *poolQueue, d id.FailureDomain) domainWait {
	var out domainWait
	for _, w := range l.workers {
		if usable, _ := s.servers.Usable(w.Server); !usable || w.Domain != d || w.failures > 0 {
			continue
		}
		if eta := w.eta(now); !out.present || eta < out.wait {
			out = domainWait{eta, true}
		}
	}
	return out
}

// addPieces adds the waiting pieces of a part to a call as far as there is room. A part is split only if it is larger than
// a whole call, because part of a request is worth nothing.
func (s *Scheduler) addPieces(c *call, p *task) {
	l := c.queue
	batch := l.pool.Pieces.MaxBatch
	count := p.waiting
	size := int64(p.stage().Bytes)
	fits := min(batch-len(c.pieces), count)
	if size > 0 {
		fits = min(fits, int(l.freeRoom(c.worker, c.bytes)/size))
	}
	whole := min(count, batch)
	if fits < whole && (len(c.pieces) > 0 || fits == 0) {
		return
	}
	for i := range p.pieces {
		if fits == 0 {
			break
		}
		if p.pieces[i].call != nil || p.pieces[i].result != nil {
			continue
		}
		fits--
		c.pieces = append(c.pieces, pieceRef{p, i})
		c.kinds[kindOf(p)]++
		c.expected += l.pieceTime(kindOf(p))
		c.bytes += size
	}
}

func (s *Scheduler) itemOf(now time.Time, one pieceRef) Item {
	j := one.task.job
	it := Item{Request: j.Request, Stage: one.task.index, Piece: one.index, Left: j.deadline.Sub(now)}
	if len(one.task.stage().After) == 0 {
		it.Key = j.Key
		return it
	}
	for _, in := range one.task.inputs() {
		it.Inputs = append(it.Inputs, in.handle)
	}
	return it
}
