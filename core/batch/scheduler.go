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
	// sweepPeriod is the time between two sweeps while there are jobs or calls.
	sweepPeriod = 20 * time.Millisecond
	// expirePeriod is how often results that their servers have discarded are removed.
	expirePeriod = 250 * time.Millisecond
	// maxTries is how often a piece may fail before its job fails.
	maxTries = 5
	// maxRecomputes is how often a job may compute lost results again before it fails.
	maxRecomputes = 3
	// failRetryAfter is the retry delay given to a caller whose stages failed.
	failRetryAfter = 500 * time.Millisecond
	// A call times out after callSlack times its expected duration plus callGrace.
	callSlack = 2.5
	callGrace = 300 * time.Millisecond
	// maxPause is the gap between two steps above which this process must have been paused. Its jobs are then stale,
	// because their submitters have turned to another node in the meantime.
	maxPause = 1500 * time.Millisecond
)

// serverSource lists the servers of a pool and reports which of them may be used.
type serverSource interface {
	Pool(id.Pool) []*fleet.Server
	Usable(*fleet.Server) (bool, string)
}

// Scheduler schedules the stages of all jobs that were submitted to this node.
type Scheduler struct {
	self       event.Self
	servers    serverSource
	versions   versionPolicy
	reports    serverReports
	catalog    *catalog.Catalog
	queues     map[id.Pool]*poolQueue
	workers    map[id.Server]*worker
	jobs       map[jobKey]*job
	calls      map[uint64]*call
	lastCall   uint64
	leader     id.Node   // the leader that this node follows, empty for none
	leadsSince time.Time // when this node began to lead
	submitters submitters
	dropped    map[submitter][]droppedJob // of submitters that are silent
	deadlines  timerqueue.Heap[jobKey]    // deadlines of jobs
	admission  admission
	lastStep   time.Time
	sweepAt    time.Time // zero if there are no jobs, calls or results to free
	expireAt   time.Time
	fifo       bool // baseline for comparisons: order of arrival
	noClasses  bool // baseline for comparisons: all jobs are first-class
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithoutClasses makes all jobs first-class under overload, as a baseline for comparisons.
func WithoutClasses() Option { return func(s *Scheduler) { s.noClasses = true } }

// WithFIFO runs pieces in the order in which their inputs were complete, as a baseline for comparisons.
func WithFIFO() Option { return func(s *Scheduler) { s.fifo = true } }

// call is a call in progress.
type call struct {
	id           uint64
	worker       *worker
	version      id.Version // the worker's version at the start of the call
	queue        *poolQueue
	pieces       []pieceRef
	kinds        map[pieceKind]int
	startedAt    time.Time
	freeInputsAt time.Time // when its inputs may be freed early, zero once they were considered
	expected     time.Duration
	bytes        int64
}

// pieceRef identifies a piece of a task.
type pieceRef struct {
	task  *task
	index int
}

// New returns a scheduler without jobs.
func New(self event.Self, servers serverSource, opts ...Option) *Scheduler {
	s := &Scheduler{
		self: self, servers: servers, versions: allVersions{}, reports: noReports{}, queues: map[id.Pool]*poolQueue{}, workers: map[id.Server]*worker{},
		jobs: map[jobKey]*job{}, calls: map[uint64]*call{}, submitters: submitters{}, dropped: map[submitter][]droppedJob{}, admission: newAdmission(),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetCatalog sets the current configuration.
func (s *Scheduler) SetCatalog(c *catalog.Catalog) {
	s.catalog = c
	for name, q := range s.queues {
		if pool := c.Pool(name); pool != nil && pool.Pieces != nil {
			q.pool = pool
		}
	}
}

// OpenJobs returns the number of jobs that have not ended.
func (s *Scheduler) OpenJobs() int { return len(s.jobs) }

// ActiveCalls returns the number of calls in progress.
func (s *Scheduler) ActiveCalls() int { return len(s.calls) }

// Next returns the time of the next timer.
func (s *Scheduler) Next() time.Time { return s.sweepAt }

// Step handles one event.
func (s *Scheduler) Step(now time.Time, ev event.Event) []event.Action {
	var out actions
	s.handlePause(now, &out)
	switch ev := ev.(type) {
	case event.Receive:
		s.submitters.touch(now, ev)
		s.notifyDropped(now, ev, &out)
		s.receive(now, ev, &out)
	case CallEnded:
		s.callEnded(now, ev, &out)
	case FreeFailed:
		out.add(event.Log{Kind: "free", Choice: "failed", Stage: string(ev.Server), Reason: ev.Detail})
	case fleet.ServerChanged:
		s.serverChanged(now, ev, &out)
	case fleet.ServerRemoved:
		s.serverRemoved(now, ev.Server, &out)
	case leader.Changed:
		s.setLeader(now, ev.Leader)
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

// handlePause handles a pause of this process: it does not count as silence of the submitters, and all jobs are dropped if
// it was longer than maxPause.
func (s *Scheduler) handlePause(now time.Time, out *actions) {
	if !s.lastStep.IsZero() {
		gap := now.Sub(s.lastStep)
		s.submitters.compensatePause(gap)
		if gap > maxPause && len(s.jobs) > 0 {
			s.dropAllJobs(out)
		}
	}
	s.lastStep = now
}

// sweep does the periodic work: it ends calls that take too long and jobs that are past their deadline or cannot meet it,
// drops the jobs of silent submitters, frees results, and lets dispatch look again at tasks that wait for a worker of
// their preferred failure domain.
func (s *Scheduler) sweep(now time.Time, out *actions) {
	s.endOverdue(now, out)
	s.dropSilent(now, out)
	s.freeInputs(now)
	for _, name := range slices.Sorted(maps.Keys(s.queues)) {
		q := s.queues[name]
		s.failInfeasible(now, q, out)
		q.sorted = false
		q.dirty = len(q.tasks) > 0
	}
	idle := s.flushFrees(now, out) && len(s.jobs)+len(s.calls) == 0
	s.sweepAt = now.Add(sweepPeriod)
	if idle {
		s.sweepAt = time.Time{}
	}
}

// actions collects the actions of a step.
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

// submit accepts, rejects or redirects a new job.
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

// accept admits a new job, or tells its submitter that it is rejected.
func (s *Scheduler) accept(now time.Time, j *job, out *actions) bool {
	after, ok := s.admit(now, j)
	if ok {
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
	if q, ok := s.queues[pool]; ok {
		return q
	}
	if s.catalog == nil {
		return nil
	}
	p := s.catalog.Pool(pool)
	if p == nil || p.Pieces == nil {
		return nil
	}
	q := newPoolQueue(p)
	s.queues[pool] = q
	s.admission.countedAt = time.Time{} // the admission has to look at the new pool
	for _, server := range s.servers.Pool(pool) {
		s.addServer(server)
	}
	return q
}

func (s *Scheduler) addServer(server *fleet.Server) {
	if w, ok := s.workers[server.ID]; ok {
		w.Server = server
		return
	}
	q, ok := s.queues[server.Pool]
	if !ok {
		return
	}
	w := newWorker(server)
	s.workers[server.ID] = w
	q.dirty = true
	q.workers = append(q.workers, w)
	q.cachedMedian = 0
	slices.SortFunc(q.workers, func(a, b *worker) int {
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

func (s *Scheduler) serverRemoved(now time.Time, server *fleet.Server, out *actions) {
	w, ok := s.workers[server.ID]
	if !ok {
		return
	}
	s.resetServer(now, server.ID, out)
	delete(s.workers, server.ID)
	s.queues[w.Pool].removeWorker(w)
}

// advance queues the tasks of a job whose inputs are complete, and sends the results if all tasks are done.
func (s *Scheduler) advance(now time.Time, j *job, out *actions) {
	if j.ended {
		return
	}
	for _, t := range j.tasks {
		if t.waiting > 0 && t.predecessorsDone() && !t.inputsAvailable() {
			t.resetInputs(now) // the inputs were freed after the task had run for the first time
		}
	}
	for _, t := range j.tasks {
		if t.waiting == 0 || t.queued || !t.predecessorsDone() {
			continue
		}
		t.readyAt = now
		t.affinity = s.affinityOf(t)
		q := s.queues[t.stage().Pool]
		t.latestStart = s.latestStart(q, t)
		q.enqueue(t)
	}
	if results, done := j.results(); done && !j.done {
		j.done = true
		out.add(event.Log{Kind: "job", Request: j.Request, Stage: j.Route, Choice: "done", Reason: fmt.Sprintf(
			"aim=%s results=%d", j.objective.Sub(now).Round(time.Millisecond), len(results))})
		s.reply(j.key, Done{Ticket: j.Ticket, Results: results}, out)
	}
}

// affinityOf returns the failure domain in which a task should run because of the size of its inputs or results.
func (s *Scheduler) affinityOf(t *task) id.FailureDomain {
	bytes := map[id.FailureDomain]int64{}
	for _, in := range t.inputs() {
		bytes[in.domain] += in.bytes * int64(len(t.pieces))
	}
	if t.isLast() && t.job.Prefer != "" {
		bytes[t.job.Prefer] += int64(t.stage().Bytes) * int64(len(t.pieces))
	}
	best := id.FailureDomain("")
	for _, d := range slices.Sorted(maps.Keys(bytes)) {
		if bytes[d] >= affinityBytes && bytes[d] > bytes[best] {
			best = d
		}
	}
	return best
}

// endJob removes a job and frees its results; its waiting pieces are not run.
func (s *Scheduler) endJob(now time.Time, j *job) {
	if j.ended {
		return
	}
	j.ended = true
	delete(s.jobs, j.key)
	for _, t := range j.tasks {
		for i := range t.pieces {
			if r := t.pieces[i].result; r != nil {
				r.worker.freeResult(now, r.handle)
			}
		}
	}
}

// failJob ends a job and tells its submitter why it failed.
func (s *Scheduler) failJob(now time.Time, j *job, reason string, after time.Duration, out *actions) {
	if j.ended {
		return
	}
	out.add(event.Log{Kind: "job", Request: j.Request, Stage: j.Route, Choice: "fail", Reason: fmt.Sprintf("%s missing=%v", reason, j.missingByStage())})
	s.reply(j.key, Failed{Ticket: j.Ticket, Reason: reason, After: int64(after)}, out)
	s.endJob(now, j)
}

// dropAllJobs ends all jobs without an answer, after a long pause of this process.
func (s *Scheduler) dropAllJobs(out *actions) {
	out.add(event.Log{Kind: "job", Choice: "forget", Reason: fmt.Sprintf("process was paused; %d jobs dropped", len(s.jobs))})
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
	for _, callID := range slices.Sorted(maps.Keys(s.calls)) {
		if c := s.calls[callID]; now.Sub(c.startedAt) > c.timeout() {
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

// timeout returns how long a call may take before its pieces are given to other workers.
func (c *call) timeout() time.Duration {
	return time.Duration(callSlack*float64(c.expected)*max(1, c.worker.slowdown)) + callGrace
}

// flushFrees tells the workers which results to discard, and reports whether none are left to discard.
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
		q := s.queues[w.Pool]
		if results := w.dueFrees(now, q.pool.Pieces.ResultMemory); len(results) > 0 {
			free := FreeResults{Server: Target{ID: w.ID, Addr: w.Addr}}
			for _, r := range results {
				free.Handles = append(free.Handles, r.handle)
				q.learnHold(now.Sub(r.since), r.bytes)
			}
			out.add(free)
			q.dirty = true
		}
		idle = idle && w.pendingSince.IsZero()
	}
	return idle
}
