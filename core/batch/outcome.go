package batch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/selfreport"
)

// callEnded handles the end of a call.
func (s *Scheduler) callEnded(now time.Time, ev CallEnded, out *actions) {
	c, ok := s.calls[ev.Call]
	if !ok {
		return // the call had timed out or its server was lost; its pieces run elsewhere
	}
	if ev.Answered {
		out.add(s.reports.Observe(now, selfreport.Process{Server: c.worker.ID, Start: c.worker.Start}, c.startedAt, ev.Report)...)
	}
	s.observeVersion(now, c, ev)
	if ev.Fail != 0 {
		s.callFailed(now, c, ev, out)
		return
	}
	if len(ev.Outcomes) != len(c.pieces) {
		s.callBroken(now, c, fmt.Sprintf("%d outcomes for %d pieces", len(ev.Outcomes), len(c.pieces)), out)
		return
	}
	s.finishCall(c)
	took := now.Sub(c.startedAt)
	c.worker.failures = 0
	if allSucceeded(ev.Outcomes) {
		if !c.queue.slow(c.worker) {
			c.queue.learnPieceTimes(c, took)
		}
		c.worker.observeCall(took, c.expected)
		c.queue.cachedMedian = 0
	}
	c.queue.learnFill(ev.Outcomes)
	out.add(event.Log{Kind: "call", Stage: string(c.queue.pool.Name), Choice: "done", Reason: fmt.Sprintf(
		"call=%d server=%s took=%s expected=%s pieces=%d %s", c.id, c.worker.ID, took.Round(time.Millisecond), c.expected, len(c.pieces), summarizeReasons(ev.Outcomes))})
	expiresAt := now.Add(c.queue.pool.Pieces.ResultTTL)
	for i, ref := range c.pieces {
		s.recordOutcome(now, c, ref, ev.Outcomes[i], expiresAt, out)
	}
	s.observeMemory(now, c, ev.Outcomes)
	for _, j := range jobsOf(c) {
		s.advanceAfterCall(now, j, out)
	}
}

// observeMemory learns from a call how much memory its worker has.
func (s *Scheduler) observeMemory(now time.Time, c *call, outcomes []Outcome) {
	smallest := int64(0)
	for i, o := range outcomes {
		if size := int64(c.pieces[i].task.stage().Bytes); o.Reason == ReasonServerFull && (smallest == 0 || size < smallest) {
			smallest = size
		}
	}
	q := c.queue
	if smallest == 0 {
		c.worker.observeFit(c.bytes)
		return
	}
	c.worker.observeFull(now, s.leadsSince, q.usableMemory(), smallest, q.pool.Pieces)
}

// allSucceeded reports whether all pieces have a result. A piece without one may have taken no time, so the duration of its
// call is no measure of the worker's speed.
func allSucceeded(outcomes []Outcome) bool {
	return !slices.ContainsFunc(outcomes, func(o Outcome) bool { return o.Reason != 0 })
}

// summarizeReasons formats the number of pieces without a result for each reason.
func summarizeReasons(outcomes []Outcome) string {
	var counts [ReasonFailed + 1]int
	for _, o := range outcomes {
		counts[o.Reason]++
	}
	return fmt.Sprintf("late=%d missing=%d full=%d wrong=%d", counts[ReasonLate], counts[ReasonInputMissing], counts[ReasonServerFull], counts[ReasonFailed])
}

// jobsOf returns the jobs of the pieces in a call; adjacent pieces of one job count once.
func jobsOf(c *call) []*job {
	var out []*job
	for _, ref := range c.pieces {
		if len(out) == 0 || out[len(out)-1] != ref.task.job {
			out = append(out, ref.task.job)
		}
	}
	return out
}

// annotate adds the call and its server to a reason, so that the log lines of the call can be found.
func (c *call) annotate(reason string) string {
	return fmt.Sprintf("%s, last call=%d server=%s", reason, c.id, c.worker.ID)
}

// finishCall removes a call and marks its pieces as waiting.
func (s *Scheduler) finishCall(c *call) {
	delete(s.calls, c.id)
	delete(c.worker.calls, c.id)
	s.versions.RequestEnded(c.queue.pool.Name, c.version)
	c.worker.usedBytes -= c.bytes
	for _, ref := range c.pieces {
		ref.task.requeue(ref.index)
	}
	c.queue.dirty = true
}

// recordOutcome handles the outcome of a piece, whose result is kept until expiresAt.
func (s *Scheduler) recordOutcome(now time.Time, c *call, ref pieceRef, o Outcome, expiresAt time.Time, out *actions) {
	p := &ref.task.pieces[ref.index]
	if o.Reason == 0 {
		r := &result{handle: o.Handle, worker: c.worker, domain: c.worker.Domain, bytes: int64(ref.task.stage().Bytes), since: c.startedAt, expiresAt: expiresAt}
		c.worker.addResult(r)
		if ref.task.job.ended {
			c.worker.freeResult(now, r.handle)
			return
		}
		ref.task.setResult(ref.index, r)
		if ref.task.missing == 0 && ref.task.class == classFirst {
			c.queue.learnLatency(now.Sub(ref.task.readyAt))
		}
		return
	}
	if ref.task.job.ended {
		return
	}
	ref.task.avoid = c.worker.ID
	switch o.Reason {
	case ReasonLate:
		s.failJob(now, ref.task.job, c.annotate("a piece came too late to its server"), 0, out)
	case ReasonInputMissing:
		s.recomputeInputs(now, c, ref.task, out)
	case ReasonServerFull:
		c.worker.backoffUntil = now.Add(fullBackoff) // does not count as a failure of the piece
	default:
		if p.tries++; p.tries >= maxTries {
			s.failJob(now, ref.task.job, c.annotate("a piece failed on several servers"), failRetryAfter, out)
		}
	}
}

// recomputeInputs runs the predecessors of a task again, because one of its inputs no longer exists. Each piece that reads
// the input reports this; the first report resets the inputs and the others are ignored.
func (s *Scheduler) recomputeInputs(now time.Time, c *call, t *task, out *actions) {
	if !t.predecessorsDone() {
		return
	}
	j := t.job
	j.recomputes++
	if j.recomputes > maxRecomputes {
		s.failJob(now, j, c.annotate("results were lost again and again"), failRetryAfter, out)
		return
	}
	t.resetInputs(now)
}

// advanceAfterCall frees the results of a job that are no longer needed, and queues its next tasks, after a call has ended.
func (s *Scheduler) advanceAfterCall(now time.Time, j *job, out *actions) {
	if j.ended {
		return
	}
	for _, t := range j.tasks {
		if t.missing > 0 || !t.consumed() {
			continue
		}
		for i := range t.pieces {
			r := t.pieces[i].result
			r.worker.freeResult(now, r.handle)
		}
	}
	s.advance(now, j, out)
}

// callFailed handles the end of a call without outcomes.
func (s *Scheduler) callFailed(now time.Time, c *call, ev CallEnded, out *actions) {
	if ev.Fail != event.FailRejected {
		s.callBroken(now, c, ev.Detail, out)
		return
	}
	// The server already runs as many calls as it can, because another node calls it too.
	s.finishCall(c)
	c.worker.backoffUntil = now.Add(fullBackoff)
	out.add(event.Log{Kind: "call", Stage: string(c.queue.pool.Name), Choice: "rejected", Reason: fmt.Sprintf("call=%d server=%s %s", c.id, c.worker.ID, ev.Detail)})
	s.advanceJobs(now, c, out)
}

// callBroken ends a call after a failure of its server, and queues its pieces for other workers.
func (s *Scheduler) callBroken(now time.Time, c *call, detail string, out *actions) {
	s.finishCall(c)
	c.worker.backOff(now)
	out.add(event.Log{Kind: "call", Stage: string(c.queue.pool.Name), Choice: "broken", Reason: fmt.Sprintf(
		"call=%d server=%s after=%s rest=%s %s", c.id, c.worker.ID, now.Sub(c.startedAt).Round(time.Millisecond), c.worker.backoffUntil.Sub(now), detail)})
	for _, ref := range c.pieces {
		p := &ref.task.pieces[ref.index]
		p.tries++
		ref.task.avoid = c.worker.ID
		if p.tries >= maxTries {
			s.failJob(now, ref.task.job, c.annotate("a piece failed on several servers"), failRetryAfter, out)
		}
	}
	s.advanceJobs(now, c, out)
}

func (s *Scheduler) advanceJobs(now time.Time, c *call, out *actions) {
	for _, j := range jobsOf(c) {
		s.advance(now, j, out)
	}
}

// freeInputs frees the inputs of calls that must have fetched them by now, on workers that are low on memory.
func (s *Scheduler) freeInputs(now time.Time) {
	for _, callID := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[callID]
		if c.freeInputsAt.IsZero() || now.Before(c.freeInputsAt) {
			continue
		}
		c.freeInputsAt = time.Time{}
		if c.worker.failures > 0 || c.queue.slow(c.worker) {
			continue
		}
		for _, ref := range c.pieces {
			if ref.task.waiting == 0 {
				s.freeInputsOf(now, ref.task)
			}
		}
	}
}

// freeInputsOf frees the inputs of a task on workers that are low on memory, except those that a waiting piece has to read.
func (s *Scheduler) freeInputsOf(now time.Time, t *task) {
	for _, pred := range t.stage().After {
		producer := t.job.tasks[pred]
		if !producer.readersStarted() {
			continue
		}
		for i := range producer.pieces {
			if r := producer.pieces[i].result; r != nil && r.worker.lowMemory(s.queues[producer.stage().Pool].pool.Pieces.ResultMemory) {
				r.worker.freeResult(now, r.handle)
			}
		}
	}
}

// resetServer handles the loss of all calls and results of a server that has ended or was restarted.
func (s *Scheduler) resetServer(now time.Time, name id.Server, out *actions) {
	w, ok := s.workers[name]
	if !ok {
		return
	}
	for _, callID := range slices.Sorted(maps.Keys(w.calls)) {
		s.callBroken(now, w.calls[callID], "the server has ended", out)
	}
	for _, key := range s.sortedJobs() {
		j, open := s.jobs[key]
		if !open || j.done {
			continue
		}
		for _, t := range j.tasks {
			if s.holdsUnread(w, t) {
				t.clearResultsOf(w)
			}
		}
		s.advance(now, j, out)
	}
	w.reset()
	s.queues[w.Pool].cachedMedian = 0
}

// holdsUnread reports whether a worker holds results of a task that are still to be read.
func (s *Scheduler) holdsUnread(w *worker, t *task) bool {
	if t.missing == 0 && t.consumed() {
		return false
	}
	return slices.ContainsFunc(t.pieces, func(p piece) bool { return p.result != nil && p.result.worker == w })
}
