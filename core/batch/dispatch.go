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
		if !l.touched {
			continue
		}
		l.touched = false
		free := s.free(now, l)
		if len(free) == 0 || len(l.parts) == 0 {
			continue
		}
		l.tidy()
		if !l.ranked && !s.fifo {
			l.rank(now)
		}
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
		if usable, _ := s.servers.Usable(w.Server); !usable || s.workers[w.ID] != w || !s.versions.AllowsCall(now, w.Pool, w.Version) {
			continue
		}
		if len(w.calls) < max(1, l.pool.Pieces.MaxCalls) && !now.Before(w.rest) {
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

// latest returns when a part has to start for its job to meet its objective.
func (s *Scheduler) latest(l *line, p *part) time.Time {
	return p.job.aim.Add(-l.pool.Pieces.CallTime - time.Duration(len(p.pieces))*l.item(kindOf(p)) - s.rest(p))
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
	if !s.versions.AllowsCall(now, w.Pool, w.Version) {
		return // the call before this one has used up the share of its version
	}
	o := offer{worker: w, others: domains(free[1:]), slow: l.slow(w), homes: map[id.FailureDomain]homeWait{}}
	c := &call{worker: w, line: l, kinds: map[kind]int{}, began: now, expected: l.pool.Pieces.CallTime}
	left := false
	for _, p := range l.candidates(w) {
		if len(c.pieces) >= l.pool.Pieces.MaxBatch {
			left = true
			break
		}
		if p.open > 0 && !s.leaving(p.job) && s.allowed(now, l, p, &o) {
			before := len(c.pieces)
			s.fill(c, p)
			left = left || len(c.pieces)-before < p.open
		}
	}
	if len(c.pieces) == 0 {
		return
	}
	if left {
		l.learnBatch(len(c.pieces))
	}
	s.last++
	c.id = s.last
	s.calls[c.id] = c
	w.calls[c.id] = c
	c.version = w.Version
	s.versions.Called(w.Pool, w.Version)
	w.used += c.bytes
	run := StartCall{Call: c.id, Server: Target{ID: w.ID, Addr: w.Addr}, Timeout: c.limit()}
	for _, one := range c.pieces {
		one.part.take(one.index, c)
		run.Items = append(run.Items, s.itemOf(now, one))
	}
	c.early = now.Add(fetchTime)
	out.add(run, event.Log{Kind: "call", Stage: string(l.pool.Name), Choice: string(w.ID), Reason: fmt.Sprintf(
		"call=%d pieces=%d waiting=%d expected=%s factor=%.2f used=%d", c.id, len(c.pieces), len(l.parts), c.expected, w.factor, w.used)})
}

// candidates returns the parts that a worker may be given, the most urgent first. A worker that has failed gets the least
// urgent one, because what it is given may be lost with the time until that is noticed.
func (l *line) candidates(w *worker) []*part {
	if w.failures == 0 {
		return l.parts
	}
	return l.parts[len(l.parts)-1:]
}

// offer is a free worker for which parts are looked for. What holds for all parts is worked out once, or the time for a call
// would grow with the number of parts times that of workers.
type offer struct {
	worker *worker
	others id.Set[id.FailureDomain] // with other free workers
	slow   bool
	homes  map[id.FailureDomain]homeWait
}

// homeWait is when the first worker of a failure domain will be free, if there is one.
type homeWait struct {
	wait    time.Duration
	present bool
}

// allowed reports whether a part may run on a worker.
func (s *Scheduler) allowed(now time.Time, l *line, p *part, o *offer) bool {
	w := o.worker
	if p.avoid == w.ID && len(l.workers) > 1 {
		return false
	}
	left := p.latest.Sub(now)
	if o.slow && left > 0 && left < time.Duration((w.factor-1)*float64(l.pool.Pieces.CallTime)) {
		return false
	}
	if p.home == "" || p.home == w.Domain {
		return true
	}
	if o.others.Has(p.home) {
		return false
	}
	home, known := o.homes[p.home]
	if !known {
		home = s.homeWait(now, l, p.home)
		o.homes[p.home] = home
	}
	return !home.present || (left >= 0 && left < home.wait)
}

func (s *Scheduler) homeWait(now time.Time, l *line, d id.FailureDomain) homeWait {
	var out homeWait
	for _, w := range l.workers {
		if usable, _ := s.servers.Usable(w.Server); !usable || w.Domain != d || w.failures > 0 {
			continue
		}
		if eta := w.eta(now); !out.present || eta < out.wait {
			out = homeWait{eta, true}
		}
	}
	return out
}

// fill adds the waiting pieces of a part to a call as far as there is room. A part is split only if it is larger than
// a whole call, because part of a request is worth nothing.
func (s *Scheduler) fill(c *call, p *part) {
	l := c.line
	batch := l.pool.Pieces.MaxBatch
	count := p.open
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
