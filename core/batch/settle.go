package batch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// ran takes in the end of a call.
func (s *Scheduler) ran(now time.Time, ev CallEnded, out *actions) {
	c, ok := s.calls[ev.Call]
	if !ok {
		return // it was given up, and its pieces run elsewhere
	}
	s.observe(now, c, ev)
	if ev.Fail != 0 {
		s.failed(now, c, ev, out)
		return
	}
	if len(ev.Outcomes) != len(c.pieces) {
		s.broken(now, c, fmt.Sprintf("%d outcomes for %d pieces", len(ev.Outcomes), len(c.pieces)), out)
		return
	}
	s.leave(c)
	took := now.Sub(c.began)
	c.worker.failures = 0
	if whole(ev.Outcomes) {
		if !c.line.slow(c.worker) {
			c.line.learn(c, took)
		}
		c.worker.observe(took, c.expected)
		c.line.usual = 0
	}
	c.line.learnRoom(ev.Outcomes)
	out.add(event.Log{Kind: "call", Stage: string(c.line.pool.Name), Choice: "done", Reason: fmt.Sprintf(
		"call=%d server=%s took=%s expected=%s pieces=%d %s", c.id, c.worker.ID, took.Round(time.Millisecond), c.expected, len(c.pieces), tally(ev.Outcomes))})
	until := now.Add(c.line.pool.Pieces.ResultTTL)
	for i, one := range c.pieces {
		s.settle(now, c, one, ev.Outcomes[i], until, out)
	}
	for _, j := range jobsOf(c) {
		s.progress(now, j, out)
	}
}

// whole reports whether all pieces of a call have run. Others take no time, so that the call says nothing about speed.
func whole(outcomes []Outcome) bool {
	return !slices.ContainsFunc(outcomes, func(o Outcome) bool { return o.Reason != 0 })
}

// tally counts the pieces without a result by reason.
func tally(outcomes []Outcome) string {
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
		if len(out) == 0 || out[len(out)-1] != one.part.job {
			out = append(out, one.part.job)
		}
	}
	return out
}

// name adds to a reason which call it comes from, so that the call's lines can be found.
func (c *call) name(reason string) string {
	return fmt.Sprintf("%s, last call=%d server=%s", reason, c.id, c.worker.ID)
}

// leave takes a call off its worker.
func (s *Scheduler) leave(c *call) {
	delete(s.calls, c.id)
	delete(c.worker.calls, c.id)
	s.versions.Ended(c.line.pool.Name, c.version)
	c.worker.used -= c.bytes
	for _, one := range c.pieces {
		one.part.putBack(one.index)
	}
	c.line.touched = true
}

// settle takes in the outcome of a piece.
func (s *Scheduler) settle(now time.Time, c *call, one claimed, o Outcome, until time.Time, out *actions) {
	p := &one.part.pieces[one.index]
	if o.Reason == 0 {
		r := &result{handle: o.Handle, worker: c.worker, domain: c.worker.Domain, bytes: int64(one.part.stage().Bytes), until: until}
		c.worker.keep(r)
		if one.part.job.ended {
			c.worker.drop(now, r.handle)
			return
		}
		one.part.made(one.index, r)
		if one.part.missing == 0 && one.part.class == first {
			c.line.finished(now.Sub(one.part.ready))
		}
		return
	}
	if one.part.job.ended {
		return
	}
	one.part.avoid = c.worker.ID
	switch o.Reason {
	case ReasonLate:
		s.fail(now, one.part.job, c.name("a piece came too late to its server"), 0, out)
	case ReasonInputMissing:
		s.redo(now, c, one.part, out)
	case ReasonServerFull:
		c.worker.rest = now.Add(fullRest) // not a fault of the piece
	default:
		if p.tries++; p.tries >= maxTries {
			s.fail(now, one.part.job, c.name("a piece failed on several servers"), failRetry, out)
		}
	}
}

// redo makes the inputs of a part again, because one of them is gone. All pieces that read it report that; the first
// report counts.
func (s *Scheduler) redo(now time.Time, c *call, p *part, out *actions) {
	if !p.complete() {
		return
	}
	j := p.job
	j.redone++
	if j.redone > maxRedone {
		s.fail(now, j, c.name("results were lost again and again"), failRetry, out)
		return
	}
	p.remake(now)
}

// progress continues a job after one of its calls has ended.
func (s *Scheduler) progress(now time.Time, j *job, out *actions) {
	if j.ended {
		return
	}
	for _, p := range j.parts {
		if p.missing > 0 || !p.read() {
			continue
		}
		for i := range p.pieces {
			r := p.pieces[i].result
			r.worker.drop(now, r.handle)
		}
	}
	s.advance(now, j, out)
}

// failed handles a call that brought no outcomes.
func (s *Scheduler) failed(now time.Time, c *call, ev CallEnded, out *actions) {
	if ev.Fail != event.FailRejected {
		s.broken(now, c, ev.Detail, out)
		return
	}
	// The server has no place for a call, because another node uses it too.
	s.leave(c)
	c.worker.rest = now.Add(fullRest)
	out.add(event.Log{Kind: "call", Stage: string(c.line.pool.Name), Choice: "rejected", Reason: fmt.Sprintf("call=%d server=%s %s", c.id, c.worker.ID, ev.Detail)})
	s.requeue(now, c, out)
}

// broken gives the pieces of a call to other workers.
func (s *Scheduler) broken(now time.Time, c *call, detail string, out *actions) {
	s.leave(c)
	c.worker.fail(now)
	out.add(event.Log{Kind: "call", Stage: string(c.line.pool.Name), Choice: "broken", Reason: fmt.Sprintf(
		"call=%d server=%s after=%s rest=%s %s", c.id, c.worker.ID, now.Sub(c.began).Round(time.Millisecond), c.worker.rest.Sub(now), detail)})
	for _, one := range c.pieces {
		p := &one.part.pieces[one.index]
		p.tries++
		one.part.avoid = c.worker.ID
		if p.tries >= maxTries {
			s.fail(now, one.part.job, c.name("a piece failed on several servers"), failRetry, out)
		}
	}
	s.requeue(now, c, out)
}

func (s *Scheduler) requeue(now time.Time, c *call, out *actions) {
	for _, j := range jobsOf(c) {
		s.advance(now, j, out)
	}
}

// freeInputs gives up the inputs of calls that have surely fetched them, if their makers are short of room.
func (s *Scheduler) freeInputs(now time.Time) {
	for _, number := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[number]
		if c.early.IsZero() || now.Before(c.early) {
			continue
		}
		c.early = time.Time{}
		if c.worker.failures > 0 || c.line.slow(c.worker) {
			continue
		}
		for _, one := range c.pieces {
			if one.part.open == 0 {
				s.freeInputsOf(now, one.part)
			}
		}
	}
}

// freeInputsOf gives up the inputs of a part that no other part is still to read.
func (s *Scheduler) freeInputsOf(now time.Time, p *part) {
	for _, before := range p.stage().After {
		b := p.job.parts[before]
		if !b.fetched() {
			continue
		}
		for i := range b.pieces {
			if r := b.pieces[i].result; r != nil && r.worker.tight(s.lines[b.stage().Pool].pool.Pieces.ResultMemory) {
				r.worker.drop(now, r.handle)
			}
		}
	}
}

// lost forgets what a server held that has ended or was replaced by another process.
func (s *Scheduler) lost(now time.Time, name id.Server, out *actions) {
	w, ok := s.workers[name]
	if !ok {
		return
	}
	for _, number := range slices.Sorted(maps.Keys(w.calls)) {
		s.broken(now, w.calls[number], "the server has ended", out)
	}
	for _, key := range s.sortedJobs() {
		j, open := s.jobs[key]
		if !open || j.done {
			continue
		}
		for _, p := range j.parts {
			if s.holds(w, p) {
				p.forget(w)
			}
		}
		s.advance(now, j, out)
	}
	w.lose()
	s.lines[w.Pool].usual = 0
}

// holds reports whether a worker keeps results of a part that are still to be read.
func (s *Scheduler) holds(w *worker, p *part) bool {
	if p.missing == 0 && p.read() {
		return false
	}
	return slices.ContainsFunc(p.pieces, func(one piece) bool { return one.result != nil && one.result.worker == w })
}
