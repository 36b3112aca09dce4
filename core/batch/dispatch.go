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
	for _, name := range slices.Sorted(maps.Keys(s.lines)) {
		l := s.lines[name]
		l.tidy()
		if len(l.parts) == 0 {
			continue
		}
		if !s.fifo {
			l.order(now, func(p *part) time.Duration { return s.slack(now, l, p) })
		}
		free := s.free(now, l)
		for len(free) > 0 && len(l.parts) > 0 {
			s.call(now, l, free, out)
			free = free[1:]
		}
	}
}

// free returns the workers that can take a call, the fastest first.
func (s *Scheduler) free(now time.Time, l *line) []*worker {
	var out []*worker
	for _, w := range l.workers {
		if usable, _ := s.servers.Usable(w.Server); !usable || s.workers[w.ID] != w {
			continue
		}
		if len(w.calls) < max(1, l.pool.Pieces.Slots) && !now.Before(w.rest) {
			out = append(out, w)
		}
	}
	slices.SortStableFunc(out, func(a, b *worker) int {
		switch {
		case a.factor < b.factor:
			return -1
		case a.factor > b.factor:
			return 1
		}
		return 0
	})
	return out
}

// slack returns how long a part can still wait before its job misses its objective.
func (s *Scheduler) slack(now time.Time, l *line, p *part) time.Duration {
	return p.job.aim.Sub(now) - l.pool.Pieces.Call - time.Duration(len(p.pieces))*l.item(kindOf(p)) - s.rest(p)
}

// rest estimates the time from the end of a part to the first event of the answer.
func (s *Scheduler) rest(p *part) time.Duration {
	longest := time.Duration(0)
	for _, other := range p.job.parts {
		for _, before := range other.stage().After {
			if int(before) == p.index && len(other.pieces) > 0 {
				longest = max(longest, s.lines[other.stage().Pool].latency+s.rest(other))
			}
		}
	}
	if longest == 0 {
		return time.Duration(p.job.Rest)
	}
	return longest
}

// call fills a call to the first of the free workers and sends it.
func (s *Scheduler) call(now time.Time, l *line, free []*worker, out *actions) {
	w := free[0]
	others := domains(free[1:])
	c := &call{worker: w, line: l, kinds: map[kind]int{}, began: now, expected: l.pool.Pieces.Call}
	for _, p := range l.parts {
		if len(c.pieces) >= l.pool.Pieces.Batch {
			break
		}
		if s.allowed(now, l, p, w, others) {
			s.fill(c, p)
		}
	}
	if len(c.pieces) == 0 {
		return
	}
	s.last++
	c.id = s.last
	s.calls[c.id] = c
	w.calls[c.id] = c
	w.used += c.bytes
	run := Run{Call: c.id, Server: Target{ID: w.ID, Addr: w.Addr}, Timeout: c.limit()}
	for _, one := range c.pieces {
		one.part.pieces[one.index].call = c
		run.Items = append(run.Items, s.itemOf(now, one))
	}
	c.early = now.Add(fetchTime)
	l.tidy()
	out.add(run, event.Log{Kind: "call", Stage: string(l.pool.Name), Choice: string(w.ID), Reason: fmt.Sprintf(
		"call=%d pieces=%d waiting=%d expected=%s factor=%.2f used=%d", c.id, len(c.pieces), len(l.parts), c.expected, w.factor, w.used)})
}

// allowed reports whether a part may run on a worker, while others are free in some failure domains.
func (s *Scheduler) allowed(now time.Time, l *line, p *part, w *worker, others id.Set[id.FailureDomain]) bool {
	if p.avoid == w.ID && len(l.workers) > 1 {
		return false
	}
	left := s.slack(now, l, p)
	if l.slow(w) && left > 0 && left < time.Duration((w.factor-1)*float64(l.pool.Pieces.Call)) {
		return false
	}
	if p.home == "" || p.home == w.Domain {
		return true
	}
	if others.Has(p.home) {
		return false
	}
	wait, present := s.homeWait(now, l, p.home)
	return !present || (left >= 0 && left < wait)
}

// homeWait returns when the first worker of a failure domain will be free, and whether there is one.
func (s *Scheduler) homeWait(now time.Time, l *line, d id.FailureDomain) (time.Duration, bool) {
	first, found := time.Duration(0), false
	for _, w := range l.workers {
		if usable, _ := s.servers.Usable(w.Server); !usable || w.Domain != d || w.failures > 0 {
			continue
		}
		if eta := w.eta(now); !found || eta < first {
			first, found = eta, true
		}
	}
	return first, found
}

// fill adds the waiting pieces of a part to a call as far as there is room. A part is split only if it is larger than
// a whole call, because part of a request is worth nothing.
func (s *Scheduler) fill(c *call, p *part) {
	l := c.line
	batch := l.pool.Pieces.Batch
	count := p.waiting()
	size := int64(p.stage().Bytes)
	fits := min(batch-len(c.pieces), count)
	if size > 0 {
		fits = min(fits, int(l.room(c.worker, c.bytes)/size))
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
		c.pieces = append(c.pieces, claimed{p, i})
		c.kinds[kindOf(p)]++
		c.expected += l.item(kindOf(p))
		c.bytes += size
	}
}

func (s *Scheduler) itemOf(now time.Time, one claimed) Item {
	j := one.part.job
	it := Item{Request: j.Request, Stage: one.part.index, Piece: one.index, Left: j.deadline.Sub(now)}
	if len(one.part.stage().After) == 0 {
		it.Key = j.Key
		return it
	}
	for _, in := range one.part.inputs() {
		it.Inputs = append(it.Inputs, in.handle)
	}
	return it
}

// ran takes in the end of a call.
func (s *Scheduler) ran(now time.Time, ev Ran, out *actions) {
	c, ok := s.calls[ev.Call]
	if !ok {
		return // it was given up, and its pieces run elsewhere
	}
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
	if !c.line.slow(c.worker) {
		c.line.learn(c, took)
	}
	c.worker.observe(took, c.expected)
	c.line.learnRoom(ev.Outcomes)
	out.add(event.Log{Kind: "call", Stage: string(c.line.pool.Name), Choice: "done", Reason: fmt.Sprintf(
		"call=%d server=%s took=%s expected=%s pieces=%d %s", c.id, c.worker.ID, took.Round(time.Millisecond), c.expected, len(c.pieces), tally(ev.Outcomes))})
	until := now.Add(c.line.pool.Pieces.Keep)
	for i, one := range c.pieces {
		s.settle(now, c, one, ev.Outcomes[i], until, out)
	}
	for _, j := range jobsOf(c) {
		s.progress(now, j, out)
	}
}

// tally counts the pieces without a result by reason.
func tally(outcomes []Outcome) string {
	var counts [Wrong + 1]int
	for _, o := range outcomes {
		counts[o.Reason]++
	}
	return fmt.Sprintf("late=%d missing=%d full=%d wrong=%d", counts[Late], counts[Missing], counts[Full], counts[Wrong])
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

// leave takes a call off its worker.
func (s *Scheduler) leave(c *call) {
	delete(s.calls, c.id)
	delete(c.worker.calls, c.id)
	c.worker.used -= c.bytes
	for _, one := range c.pieces {
		one.part.pieces[one.index].call = nil
	}
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
		p.result = r
		one.part.missing--
		if one.part.missing == 0 {
			c.line.finished(now.Sub(one.part.ready))
		}
		return
	}
	if one.part.job.ended {
		return
	}
	p.tries++
	one.part.avoid = c.worker.ID
	switch {
	case o.Reason == Late:
		s.fail(now, one.part.job, "a piece came too late to its server", 0, true, out)
	case p.tries >= maxTries:
		s.fail(now, one.part.job, "a piece failed on several servers", failRetry, false, out)
	case o.Reason == Missing:
		s.redo(now, one.part, out)
	case o.Reason == Full:
		c.worker.rest = now.Add(fullRest)
	}
}

// redo makes the inputs of a part again, because one of them is gone.
func (s *Scheduler) redo(now time.Time, p *part, out *actions) {
	j := p.job
	j.redone++
	if j.redone > maxRedone {
		s.fail(now, j, "results were lost again and again", failRetry, false, out)
		return
	}
	for _, before := range p.stage().After {
		b := j.parts[before]
		for i := range b.pieces {
			if r := b.pieces[i].result; r != nil {
				r.worker.drop(now, r.handle)
				b.pieces[i].result = nil
				b.missing++
			}
		}
		if !b.complete() {
			s.redo(now, b, out)
		}
	}
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
func (s *Scheduler) failed(now time.Time, c *call, ev Ran, out *actions) {
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
			s.fail(now, one.part.job, "a piece failed on several servers", failRetry, false, out)
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
	for _, c := range s.calls {
		if c.early.IsZero() || now.Before(c.early) {
			continue
		}
		c.early = time.Time{}
		if c.worker.failures > 0 || c.line.slow(c.worker) {
			continue
		}
		for _, one := range c.pieces {
			if one.part.running() {
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
			if r := b.pieces[i].result; r != nil && r.worker.tight(s.lines[b.stage().Pool].pool.Pieces.Room) {
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
				s.forgetResults(p, w)
			}
		}
		s.advance(now, j, out)
	}
	w.lose()
}

// holds reports whether a worker keeps results of a part that are still to be read.
func (s *Scheduler) holds(w *worker, p *part) bool {
	if p.missing == 0 && p.read() {
		return false
	}
	return slices.ContainsFunc(p.pieces, func(one piece) bool { return one.result != nil && one.result.worker == w })
}

func (s *Scheduler) forgetResults(p *part, w *worker) {
	for i := range p.pieces {
		if r := p.pieces[i].result; r != nil && r.worker == w {
			p.pieces[i].result = nil
			p.missing++
		}
	}
}
