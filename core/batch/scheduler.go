package batch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/catalog"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/leader"
	"bluebellflow/core/timerqueue"
)

const (
	// sweepPeriod is how often the queue is looked at while parts wait for a worker of their own failure domain.
	sweepPeriod = 20 * time.Millisecond
	// expirePeriod is how often results are looked for that their servers have forgotten.
	expirePeriod = 250 * time.Millisecond
	// maxTries is how often a piece is tried before its job fails.
	maxTries = 5
	// maxRecomputes is how often a job makes lost results again.
	maxRecomputes = 3
	// failRetryAfter is when a caller whose stages failed may come back.
	failRetryAfter = 500 * time.Millisecond
	// callSlack and callGrace are how much longer than expected a call may take before it counts as lost.
	callSlack = 2.5
	callGrace = 300 * time.Millisecond
	// pauseThreshold is a time between two steps after which this process must have been frozen; its jobs are then stale,
	// because their nodes have asked another one meanwhile.
	pauseThreshold = 1500 * time.Millisecond
)

// serverSource tells which servers may be used.
type serverSource interface {
	Pool(id.Pool) []*fleet.Server
	Usable(*fleet.Server) (bool, string)
}

// Scheduler runs the stages of all jobs that were submitted to this node.
type Scheduler struct {
	self       event.Self
	servers    serverSource
	versions   versionPolicy
	catalog    *catalog.Catalog
	queues     map[id.Pool]*poolQueue
	workers    map[id.Server]*worker
	jobs       map[jobKey]*job
	calls      map[uint64]*call
	lastCall   uint64
	leader     id.Node // that this node follows, empty for none
	submitters submitters
	deadlines  timerqueue.Heap[jobKey] // deadlines of jobs
	admission  admission
	lastStep   time.Time
	sweepAt    time.Time // zero if nothing is under way
	expireAt   time.Time
	fifo       bool // baseline: in the order of arrival
	noClasses  bool // baseline: all jobs are first-class
}

// Option changes a Scheduler.
type Option func(*Scheduler)

// WithoutClasses treats all jobs alike under overload, as a baseline.
func WithoutClasses() Option { return func(s *Scheduler) { s.noClasses = true } }

// WithFIFO runs pieces in the order in which their inputs were complete, as a baseline.
func WithFIFO() Option { return func(s *Scheduler) { s.fifo = true } }

// call is a call in progress.
type call struct {
	id           uint64
	worker       *worker
	version      id.Version // of the worker when the call began
	queue        *poolQueue
	pieces       []pieceRef
	kinds        map[pieceKind]int
	startedAt    time.Time
	freeInputsAt time.Time // when its inputs may be given up, zero once that was done
	expected     time.Duration
	bytes        int64
}

// pieceRef is a piece in a call.
type pieceRef struct {
	task  *task
	index int
}

// New returns a scheduler without jobs.
func New(self event.Self, servers serverSource, opts ...Option) *Scheduler {
	s := &Scheduler{
		self: self, servers: servers, versions: allVersions{}, queues: map[id.Pool]*poolQueue{}, workers: map[id.Server]*worker{},
		jobs: map[jobKey]*job{}, calls: map[uint64]*call{}, submitters: submitters{}, admission: admission{routes: map[string]*routeDemand{}},
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetCatalog sets the configuration in force.
func (s *Scheduler) SetCatalog(c *catalog.Catalog) {
	s.catalog = c
	for name, l := range s.queues {
		if pool := c.Pool(name); pool != nil && pool.Pieces != nil {
			l.pool = pool
		}
	}
}

// OpenJobs returns the number of jobs that are not ended.
func (s *Scheduler) OpenJobs() int { return len(s.jobs) }

// ActiveCalls returns the number of calls in progress.
func (s *Scheduler) ActiveCalls() int { return len(s.calls) }

// Next returns the time of the next timer.
func (s *Scheduler) Next() time.Time { return s.sweepAt }

// Step handles one event.
func (s *Scheduler) Step(now time.Time, ev event.Event) []event.Action {
	var out actions
	s.detectPause(now, &out)
	switch ev := ev.(type) {
	case event.Receive:
		s.submitters.touch(now, ev)
		s.receive(now, ev, &out)
	case CallEnded:
		s.callEnded(now, ev, &out)
	case FreeFailed:
		out.add(event.Log{Kind: "free", Choice: "failed", Stage: string(ev.Server), Reason: ev.Detail})
	case fleet.ServerChanged:
		s.serverChanged(now, ev, &out)
	case fleet.ServerRemoved:
		s.serverGone(now, ev.Server, &out)
	case leader.Changed:
		s.setLeader(ev.Leader)
	}
	s.handOver(now, &out)
	if !s.sweepAt.IsZero() && !now.Before(s.sweepAt) {
		s.sweep(now, &out)
	}
	s.dispatch(now, &out)
	if s.sweepAt.IsZero() && len(s.jobs)+len(s.calls) > 0 {
		s.sweepAt = now.Add(sweepPeriod)
	}
	return out
}

// detectPause drops everything after a freeze of this process.
func (s *Scheduler) detectPause(now time.Time, out *actions) {
	if !s.lastStep.IsZero() {
		gap := now.Sub(s.lastStep)
		s.submitters.extend(gap)
		if gap > pauseThreshold && len(s.jobs) > 0 {
			s.dropAllJobs(out)
		}
	}
	s.lastStep = now
}

// sweep does what depends on time only: calls that take too long, jobs whose deadline has passed, results to give up,
// and parts that have waited for a worker of their own failure domain.
func (s *Scheduler) sweep(now time.Time, out *actions) {
	s.endOverdue(now, out)
	s.dropSilent(now, out)
	s.freeInputs(now)
	for _, name := range slices.Sorted(maps.Keys(s.queues)) {
		l := s.queues[name]
		s.failInfeasible(now, l, out)
		l.sorted = false
		l.dirty = len(l.tasks) > 0
	}
	idle := s.flushFrees(now, out) && len(s.jobs)+len(s.calls) == 0
	s.sweepAt = now.Add(sweepPeriod)
	if idle {
		s.sweepAt = time.Time{}
	}
}

// actions collects what a step wants done.
type actions []event.Action

func (a *actions) add(more ...event.Action) { *a = append(*a, more...) }

func (s *Scheduler) receive(now time.Time, ev event.Receive, out *actions) {
	switch b := ev.Body.(type) {
	case Submit:
		s.submit(now, jobKey{submitter{ev.From, ev.Incarnation}, b.Ticket}, b, out)
	case Release:
		if j, ok := s.jobs[jobKey{submitter{ev.From, ev.Incarnation}, b.Ticket}]; ok {
			s.endJob(now, j)
		}
	}
}

// submit takes in a job.
func (s *Scheduler) submit(now time.Time, key jobKey, b Submit, out *actions) {
	if _, again := s.jobs[key]; again {
		return
	}
	if s.passive() && !b.Insist {
		s.reply(key, Moved{Ticket: b.Ticket, Leader: s.leader}, out)
		return
	}
	j := newJob(now, key, b)
	for _, stage := range b.Stages {
		if s.queue(stage.Pool) == nil {
			s.reply(key, Failed{Ticket: b.Ticket, Reason: "pool " + string(stage.Pool) + " runs no stages here", After: int64(failRetryAfter)}, out)
			return
		}
	}
	switch {
	case b.PreAccepted:
		j.class = class(b.Class)
	case s.noClasses:
	case !s.accept(now, j, out):
		return
	}
	for _, m := range b.Made {
		s.adoptResult(now, j, m)
	}
	s.jobs[key] = j
	s.submitters[key.submitter] = now
	s.deadlines.Set(j.deadline, key)
	out.add(event.Log{Kind: "job", Request: b.Request, Stage: b.Route, Choice: "accept", Reason: fmt.Sprintf(
		"from=%s class=%d aim=%s left=%s open=%d made=%d", key.node, j.class, time.Duration(b.Aim), time.Duration(b.Left), len(s.jobs), len(b.Made))})
	s.advance(now, j, out)
}

// accept gives a new job its class, or rejects it.
func (s *Scheduler) accept(now time.Time, j *job, out *actions) bool {
	if j.class = s.classify(now, j); j.class != classSecond {
		return true
	}
	after, hopeless := s.infeasible(now, j)
	if !hopeless {
		s.addToBacklog(j)
		return true
	}
	out.add(event.Log{Kind: "job", Request: j.Request, Stage: j.Route, Choice: "reject", Reason: fmt.Sprintf(
		"from=%s after=%s left=%s open=%d", j.key.node, after, time.Duration(j.Left), len(s.jobs))})
	s.reply(j.key, Failed{Ticket: j.Ticket, Reason: "the queue is longer than the time left", After: int64(after)}, out)
	return false
}

// reply sends an answer to the node that submitted a job.
func (s *Scheduler) reply(key jobKey, body event.Body, out *actions) {
	out.add(event.Send{To: key.node, Body: body})
}

func (s *Scheduler) queue(pool id.Pool) *poolQueue {
	if l, ok := s.queues[pool]; ok {
		return l
	}
	if s.catalog == nil {
		return nil
	}
	p := s.catalog.Pool(pool)
	if p == nil || p.Pieces == nil {
		return nil
	}
	l := newPoolQueue(p)
	s.queues[pool] = l
	for _, one := range s.servers.Pool(pool) {
		s.addServer(one)
	}
	return l
}

func (s *Scheduler) addServer(one *fleet.Server) {
	if w, ok := s.workers[one.ID]; ok {
		w.Server = one
		return
	}
	l, ok := s.queues[one.Pool]
	if !ok {
		return
	}
	w := newWorker(one)
	s.workers[one.ID] = w
	l.dirty = true
	l.workers = append(l.workers, w)
	l.cachedMedian = 0
	slices.SortFunc(l.workers, func(a, b *worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

func (s *Scheduler) serverChanged(now time.Time, ev fleet.ServerChanged, out *actions) {
	if ev.Restarted {
		s.resetServer(now, ev.Server.ID, out)
	}
	s.addServer(ev.Server)
}

func (s *Scheduler) serverGone(now time.Time, one *fleet.Server, out *actions) {
	w, ok := s.workers[one.ID]
	if !ok {
		return
	}
	s.resetServer(now, one.ID, out)
	delete(s.workers, one.ID)
	s.queues[w.Pool].removeWorker(w)
}

// advance queues the parts of a job whose inputs are complete, and reports the job if all are done.
func (s *Scheduler) advance(now time.Time, j *job, out *actions) {
	if j.ended {
		return
	}
	for _, p := range j.tasks {
		if p.waiting > 0 && p.predecessorsDone() && !p.inputsAvailable() {
			p.resetInputs(now) // its inputs were given up, because its pieces ran before
		}
	}
	for _, p := range j.tasks {
		if p.waiting == 0 || p.queued || !p.predecessorsDone() {
			continue
		}
		p.readyAt = now
		p.affinity = s.affinityOf(p)
		l := s.queues[p.stage().Pool]
		p.latestStart = s.latestStart(l, p)
		l.enqueue(p)
	}
	if results, done := j.results(); done && !j.done {
		j.done = true
		out.add(event.Log{Kind: "job", Request: j.Request, Stage: j.Route, Choice: "done", Reason: fmt.Sprintf(
			"aim=%s results=%d", j.objective.Sub(now).Round(time.Millisecond), len(results))})
		s.reply(j.key, Done{Ticket: j.Ticket, Results: results}, out)
	}
}

// affinityOf returns the failure domain that a part should run in because of the size of what it reads or makes.
func (s *Scheduler) affinityOf(p *task) id.FailureDomain {
	bytes := map[id.FailureDomain]int64{}
	for _, in := range p.inputs() {
		bytes[in.domain] += in.bytes * int64(len(p.pieces))
	}
	if p.isLast() && p.job.Prefer != "" {
		bytes[p.job.Prefer] += int64(p.stage().Bytes) * int64(len(p.pieces))
	}
	best := id.FailureDomain("")
	for _, d := range slices.Sorted(maps.Keys(bytes)) {
		if bytes[d] >= affinityBytes && bytes[d] > bytes[best] {
			best = d
		}
	}
	return best
}

// endJob gives up a job: what waits is dropped, and its results are freed.
func (s *Scheduler) endJob(now time.Time, j *job) {
	if j.ended {
		return
	}
	j.ended = true
	delete(s.jobs, j.key)
	for _, p := range j.tasks {
		for i := range p.pieces {
			if r := p.pieces[i].result; r != nil {
				r.worker.freeResult(now, r.handle)
			}
		}
	}
}

// failJob ends a job without results.
func (s *Scheduler) failJob(now time.Time, j *job, reason string, after time.Duration, out *actions) {
	if j.ended {
		return
	}
	out.add(event.Log{Kind: "job", Request: j.Request, Stage: j.Route, Choice: "fail", Reason: fmt.Sprintf("%s missing=%v", reason, j.missingByStage())})
	s.reply(j.key, Failed{Ticket: j.Ticket, Reason: reason, After: int64(after)}, out)
	s.endJob(now, j)
}

// dropAllJobs drops everything after a freeze of this process.
func (s *Scheduler) dropAllJobs(out *actions) {
	out.add(event.Log{Kind: "job", Choice: "forget", Reason: fmt.Sprintf("this process stood still; %d jobs dropped", len(s.jobs))})
	for _, key := range s.sortedJobs() {
		s.endJob(s.lastStep, s.jobs[key])
	}
}

func (s *Scheduler) sortedJobs() []jobKey {
	return slices.SortedFunc(maps.Keys(s.jobs), func(a, b jobKey) int {
		return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.ticket, b.ticket), cmp.Compare(a.incarnation, b.incarnation))
	})
}

// endOverdue ends the calls that take too long and the jobs whose deadline has passed.
func (s *Scheduler) endOverdue(now time.Time, out *actions) {
	for _, number := range slices.Sorted(maps.Keys(s.calls)) {
		if c := s.calls[number]; now.Sub(c.startedAt) > c.timeout() {
			s.callBroken(now, c, "no answer in time", out)
		}
	}
	for s.deadlines.Due(now) {
		j, open := s.jobs[s.deadlines.Pop()]
		switch {
		case !open:
		case j.done:
			s.endJob(now, j)
		default:
			s.failJob(now, j, "the deadline has passed", 0, out)
		}
	}
}

// timeout is how long a call may take before its pieces are given to other workers.
func (c *call) timeout() time.Duration {
	return time.Duration(callSlack*float64(c.expected)*max(1, c.worker.slowdown)) + callGrace
}

// flushFrees tells the workers which results they need not keep, and reports whether there is nothing left to tell.
func (s *Scheduler) flushFrees(now time.Time, out *actions) bool {
	idle := true
	expire := !now.Before(s.expireAt)
	if expire {
		s.expireAt = now.Add(expirePeriod)
	}
	for _, name := range slices.Sorted(maps.Keys(s.workers)) {
		w := s.workers[name]
		if expire {
			w.expire(now)
		}
		if handles := w.dueFrees(now, s.queues[w.Pool].pool.Pieces.ResultMemory); len(handles) > 0 {
			out.add(FreeResults{Server: Target{ID: w.ID, Addr: w.Addr}, Handles: handles})
			s.queues[w.Pool].dirty = true
		}
		idle = idle && w.pendingSince.IsZero()
	}
	return idle
}
