package batch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// callEnded takes in the end of a call.
func (s *Scheduler) callEnded(now time.Time, ev CallEnded, out *actions) {
	c, ok := s.calls[ev.Call]
	if !ok {
		return // it was given up, and its pieces run elsewhere
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
	until := now.Add(c.queue.pool.Pieces.ResultTTL)
	for i, one := range c.pieces {
		s.recordOutcome(now, c, one, ev.Outcomes[i], until, out)
	}
	for _, j := range jobsOf(c) {
		s.progress(now, j, out)
	}
}

// allSucceeded reports whether all pieces of a call have run. Others take no time, so that the call says nothing about speed.
func allSucceeded(outcomes []Outcome) bool {
	return !slices.ContainsFunc(outcomes, func(o Outcome) bool { return o.Reason != 0 })
}

// summarizeReasons counts the pieces without a result by reason.
func summarizeReasons(outcomes []Outcome) string {
	var counts [ReasonFailed + 1]int
	for _, o := range outcomes {
		counts[o.Reason]++
	}
	return fmt.Sprintf("late=%d missing=%d full=%d wrong=%d", counts[ReasonLate], counts[ReasonInputMissing], counts[ReasonServerFull], counts[ReasonFailed])
}

// jobsOf returns the jobs of a call, each once.
func jobsOf(c *call) []*job {
	var out []*job
	for _, one := range c.pieces {
		if len(out) == 0 || out[len(out)-1] != one.task.job {
			out = append(out, one.task.job)
		}
	}
	return out
}

// annotate adds to a reason which call it comes from, so that the call's lines can be found.
func (c *call) annotate(reason string) string {
	return fmt.Sprintf("%s, last call=%d server=%s", reason, c.id, c.worker.ID)
}

// finishCall takes a call off its worker.
func (s *Scheduler) finishCall(c *call) {
	delete(s.calls, c.id)
	delete(c.worker.calls, c.id)
	s.versions.Ended(c.queue.pool.Name, c.version)
	c.worker.usedBytes -= c.bytes
	for _, one := range c.pieces {
		one.task.requeue(one.index)
	}
	c.queue.dirty = true
}

// recordOutcome takes in the outcome of a piece.
func (s *Scheduler) recordOutcome(now time.Time, c *call, one pieceRef, o Outcome, until time.Time, out *actions) {
	p := &one.task.pieces[one.index]
	if o.Reason == 0 {
		r := &result{handle: o.Handle, worker: c.worker, domain: c.worker.Domain, bytes: int64(one.task.stage().Bytes), expiresAt: until}
		c.worker.addResult(r)
		if one.task.job.ended {
			c.worker.freeResult(now, r.handle)
			return
		}
		one.task.setResult(one.index, r)
		if one.task.missing == 0 && one.task.class == classFirst {
			c.queue.learnLatency(now.Sub(one.task.readyAt))
		}
		return
	}
	if one.task.job.ended {
		return
	}
	one.task.avoid = c.worker.ID
	switch o.Reason {
	case ReasonLate:
		s.failJob(now, one.task.job, c.annotate("a piece came too late to its server"), 0, out)
	case ReasonInputMissing:
		s.recomputeInputs(now, c, one.task, out)
	case ReasonServerFull:
		c.worker.backoffUntil = now.Add(fullBackoff) // not a fault of the piece
	default:
		if p.tries++; p.tries >= maxTries {
			s.failJob(now, one.task.job, c.annotate("a piece failed on several servers"), failRetryAfter, out)
		}
	}
}

// recomputeInputs makes the inputs of a part again, because one of them is gone. All pieces that read it report that; the first
// report counts.
func (s *Scheduler) recomputeInputs(now time.Time, c *call, p *task, out *actions) {
	if !p.predecessorsDone() {
		return
	}
	j := p.job
	j.recomputes++
	if j.recomputes > maxRecomputes {
		s.failJob(now, j, c.annotate("results were lost again and again"), failRetryAfter, out)
		return
	}
	p.resetInputs(now)
}

// progress continues a job after one of its calls has ended.
func (s *Scheduler) progress(now time.Time, j *job, out *actions) {
	if j.ended {
		return
	}
	for _, p := range j.tasks {
		if p.missing > 0 || !p.consumed() {
			continue
		}
		for i := range p.pieces {
			r := p.pieces[i].result
			r.worker.freeResult(now, r.handle)
		}
	}
	s.advance(now, j, out)
}

// callFailed handles a call that brought no outcomes.
func (s *Scheduler) callFailed(now time.Time, c *call, ev CallEnded, out *actions) {
	if ev.Fail != event.FailRejected {
		s.callBroken(now, c, ev.Detail, out)
		return
	}
	// The server has no place for a call, because another node uses it too.
	s.finishCall(c)
	c.worker.backoffUntil = now.Add(fullBackoff)
	out.add(event.Log{Kind: "call", Stage: string(c.queue.pool.Name), Choice: "rejected", Reason: fmt.Sprintf("call=%d server=%s %s", c.id, c.worker.ID, ev.Detail)})
	s.advanceJobs(now, c, out)
}

// callBroken gives the pieces of a call to other workers.
func (s *Scheduler) callBroken(now time.Time, c *call, detail string, out *actions) {
	s.finishCall(c)
	c.worker.backOff(now)
	out.add(event.Log{Kind: "call", Stage: string(c.queue.pool.Name), Choice: "broken", Reason: fmt.Sprintf(
		"call=%d server=%s after=%s rest=%s %s", c.id, c.worker.ID, now.Sub(c.startedAt).Round(time.Millisecond), c.worker.backoffUntil.Sub(now), detail)})
	for _, one := range c.pieces {
		p := &one.task.pieces[one.index]
		p.tries++
		one.task.avoid = c.worker.ID
		if p.tries >= maxTries {
			s.failJob(now, one.task.job, c.annotate("a piece failed on several servers"), failRetryAfter, out)
		}
	}
	s.advanceJobs(now, c, out)
}

func (s *Scheduler) advanceJobs(now time.Time, c *call, out *actions) {
	for _, j := range jobsOf(c) {
		s.advance(now, j, out)
	}
}

// freeInputs gives up the inputs of calls that have surely fetched them, if their makers are short of room.
func (s *Scheduler) freeInputs(now time.Time) {
	for _, number := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[number]
		if c.freeInputsAt.IsZero() || now.Before(c.freeInputsAt) {
			continue
		}
		c.freeInputsAt = time.Time{}
		if c.worker.failures > 0 || c.queue.slow(c.worker) {
			continue
		}
		for _, one := range c.pieces {
			if one.task.waiting == 0 {
				s.freeInputsOf(now, one.task)
			}
		}
	}
}

// freeInputsOf gives up the inputs of a part that no other part is still to read.
func (s *Scheduler) freeInputsOf(now time.Time, p *task) {
	for _, before := range p.stage().After {
		b := p.job.tasks[before]
		if !b.readersStarted() {
			continue
		}
		for i := range b.pieces {
			if r := b.pieces[i].result; r != nil && r.worker.lowOnRoom(s.queues[b.stage().Pool].pool.Pieces.ResultMemory) {
				r.worker.freeResult(now, r.handle)
			}
		}
	}
}

// resetServer forgets what a server held that has ended or was replaced by another process.
func (s *Scheduler) resetServer(now time.Time, name id.Server, out *actions) {
	w, ok := s.workers[name]
	if !ok {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(w.calls)) {
		s.callBroken(now, w.calls[number], "the server has ended", out)
	}
	for _, key := range s.sortedJobs() {
		j, open := s.jobs[key]
		if !open || j.done {
			continue
		}
		for _, p := range j.tasks {
			if s.holdsUnread(w, p) {
				p.clearResultsOf(w)
			}
		}
		s.advance(now, j, out)
	}
	w.reset()
	s.queues[w.Pool].cachedMedian = 0
}

// holdsUnread reports whether a worker keeps results of a part that are still to be read.
func (s *Scheduler) holdsUnread(w *worker, p *task) bool {
	if p.missing == 0 && p.consumed() {
		return false
	}
	return slices.ContainsFunc(p.pieces, func(one piece) bool { return one.result != nil && one.result.worker == w })
}
