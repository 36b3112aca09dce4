package batch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// dispatch sends the waiting pieces of each pool to its free workers.
func (s *Scheduler) dispatch(now time.Time, out *actions) {
	for _, name := range slices.Sorted(maps.Keys(s.queues)) {
		q := s.queues[name]
		if !q.dirty {
			continue
		}
		q.dirty = false
		free := s.freeWorkers(now, q)
		if len(free) == 0 || len(q.tasks) == 0 {
			continue
		}
		q.prune()
		if !q.sorted && !s.fifo {
			q.sort(now)
		}
		for len(free) > 0 && len(q.tasks) > 0 {
			s.sendCall(now, q, free, out)
			free = free[1:]
		}
	}
}

// freeWorkers returns the workers that can take a call, the fastest first.
func (s *Scheduler) freeWorkers(now time.Time, q *poolQueue) []*worker {
	var out []*worker
	for _, w := range q.workers {
		if usable, _ := s.servers.Usable(w.Server); !usable || s.workers[w.ID] != w || !s.versions.AllowsCall(now, w.Pool, w.Version) {
			continue
		}
		if len(w.calls) < max(1, q.pool.Pieces.MaxCalls) && !now.Before(w.backoffUntil) && s.readyIn(now, w) == 0 {
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

// latestStart returns when a task has to start for its job to meet the objective.
func (s *Scheduler) latestStart(q *poolQueue, t *task) time.Time {
	return t.job.objective.Add(-q.pool.Pieces.CallTime - time.Duration(len(t.pieces))*q.pieceTime(kindOf(t)) - s.remainingTime(t))
}

// remainingTime estimates the time from the end of a task to the first event of the response.
func (s *Scheduler) remainingTime(t *task) time.Duration {
	longest := time.Duration(0)
	for _, other := range t.job.tasks {
		for _, pred := range other.stage().After {
			if int(pred) == t.index && len(other.pieces) > 0 {
				longest = max(longest, s.queues[other.stage().Pool].taskLatency+s.remainingTime(other))
			}
		}
	}
	if longest == 0 {
		return time.Duration(t.job.Rest)
	}
	return longest
}

// sendCall fills a call with waiting pieces and sends it to the first of the free workers.
func (s *Scheduler) sendCall(now time.Time, q *poolQueue, free []*worker, out *actions) {
	w := free[0]
	if !s.versions.AllowsCall(now, w.Pool, w.Version) {
		return // the previous call has used up the share of this version
	}
	cand := candidateWorker{worker: w, otherDomains: workerDomains(free[1:]), slow: q.slow(w), replaceable: s.replaceable(now, w), waits: map[id.FailureDomain]domainWait{}}
	c := &call{worker: w, queue: q, kinds: map[pieceKind]int{}, startedAt: now, expected: q.pool.Pieces.CallTime}
	for _, t := range q.candidates(w) {
		if len(c.pieces) >= q.pool.Pieces.MaxBatch {
			break
		}
		if t.waiting > 0 && !s.mustHandOver(t.job) && s.mayRun(now, q, t, &cand) {
			s.addPieces(c, t)
		}
	}
	if len(c.pieces) == 0 {
		return
	}
	s.lastCall++
	c.id = s.lastCall
	s.calls[c.id] = c
	w.calls[c.id] = c
	c.version = w.Version
	s.versions.CountCall(w.Pool, w.Version)
	s.reports.CountRequest(now, w.Server)
	w.usedBytes += c.bytes
	start := StartCall{Call: c.id, Server: Target{ID: w.ID, Addr: w.Addr}, Timeout: c.timeout()}
	for _, ref := range c.pieces {
		ref.task.start(ref.index, c)
		start.Items = append(start.Items, s.itemOf(now, ref))
	}
	c.freeInputsAt = now.Add(fetchTime)
	out.add(start, event.Log{Kind: "call", Stage: string(q.pool.Name), Choice: string(w.ID), Reason: fmt.Sprintf(
		"call=%d pieces=%d waiting=%d expected=%s factor=%.2f used=%d", c.id, len(c.pieces), len(q.tasks), c.expected, w.slowdown, w.usedBytes)})
}

// replaceable reports whether another worker of the same pool takes calls now or before long.
func (s *Scheduler) replaceable(now time.Time, w *worker) bool {
	return slices.ContainsFunc(s.queues[w.Pool].workers, func(o *worker) bool { return o != w && s.usable(now, o) })
}

// candidates returns the tasks that a worker may run, the most urgent first. A worker whose last call failed gets only the
// least urgent one, because its next call may fail as well, and be noticed only at its timeout.
func (q *poolQueue) candidates(w *worker) []*task {
	if w.failures == 0 {
		return q.tasks
	}
	return q.tasks[len(q.tasks)-1:]
}

// candidateWorker is a free worker that is matched with waiting tasks. Values that are the same for all tasks are computed
// once; otherwise the time to fill a call would grow with the number of tasks times the number of workers.
type candidateWorker struct {
	worker       *worker
	otherDomains id.Set[id.FailureDomain] // of the other free workers
	slow         bool
	replaceable  bool // another worker of the pool is usable
	waits        map[id.FailureDomain]domainWait
}

// domainWait tells when a worker of a failure domain is free.
type domainWait struct {
	eta     time.Duration // until its first worker is free
	present bool          // the domain has a usable worker
}

// mayRun reports whether a task may run on a worker. A task avoids the server on which it failed last, and a slow worker
// that would make its job miss the objective. It waits for a worker in its preferred failure domain unless that worker
// would be free too late for the objective.
func (s *Scheduler) mayRun(now time.Time, q *poolQueue, t *task, cand *candidateWorker) bool {
	w := cand.worker
	if t.avoid == w.ID && cand.replaceable {
		return false
	}
	slack := t.latestStart.Sub(now)
	if cand.slow && slack > 0 && slack < time.Duration((w.slowdown-1)*float64(q.pool.Pieces.CallTime)) {
		return false
	}
	if t.affinity == "" || t.affinity == w.Domain {
		return true
	}
	if cand.otherDomains.Has(t.affinity) {
		return false
	}
	wait, known := cand.waits[t.affinity]
	if !known {
		wait = s.domainWaitFor(now, q, t.affinity)
		cand.waits[t.affinity] = wait
	}
	return !wait.present || (slack >= 0 && slack < wait.eta)
}

// domainWaitFor returns when the first worker of a failure domain is free.
func (s *Scheduler) domainWaitFor(now time.Time, q *poolQueue, d id.FailureDomain) domainWait {
	var out domainWait
	for _, w := range q.workers {
		if w.Domain != d || w.failures > 0 || !s.usable(now, w) {
			continue
		}
		if eta := max(w.eta(now), s.readyIn(now, w)); !out.present || eta < out.eta {
			out = domainWait{eta, true}
		}
	}
	return out
}

// addPieces adds the waiting pieces of a task to a call as far as the worker has memory for their results. A task is split
// only if it is larger than a full call, because its job needs all of its pieces.
func (s *Scheduler) addPieces(c *call, t *task) {
	q := c.queue
	batch := q.pool.Pieces.MaxBatch
	count := t.waiting
	size := int64(t.stage().Bytes)
	fits := min(batch-len(c.pieces), count)
	if size > 0 {
		fits = min(fits, int(q.freeMemory(c.startedAt, c.worker, c.bytes)/size))
	}
	wanted := min(count, batch)
	if fits < wanted && (len(c.pieces) > 0 || fits == 0) {
		return
	}
	for i := range t.pieces {
		if fits == 0 {
			break
		}
		if t.pieces[i].call != nil || t.pieces[i].result != nil {
			continue
		}
		fits--
		c.pieces = append(c.pieces, pieceRef{t, i})
		c.kinds[kindOf(t)]++
		c.expected += q.pieceTime(kindOf(t))
		c.bytes += size
	}
}

func (s *Scheduler) itemOf(now time.Time, ref pieceRef) Item {
	j := ref.task.job
	it := Item{Request: j.Request, Stage: ref.task.index, Piece: ref.index, Left: j.deadline.Sub(now)}
	if len(ref.task.stage().After) == 0 {
		it.Key = j.Key
		return it
	}
	for _, in := range ref.task.inputs() {
		it.Inputs = append(it.Inputs, in.handle)
	}
	return it
}
