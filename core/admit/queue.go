package admit

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	priorityCount = 8 // number of urgency levels in RFC 9218
	// defaultCapacity limits the queue of a node. At 33 requests per second, the last one waits longer than any deadline.
	defaultCapacity = 1024
	// defaultQuantile is the median, so that a refusal for lack of time is right in at least half of the cases.
	defaultQuantile = 0.5
	// A task counts as aged once it has waited for ageStep times its priority plus one.
	ageStep = 250 * time.Millisecond
	// Every picksPerAged-th pick prefers aged tasks. If every pick did, overload would turn priorities into arrival order.
	picksPerAged = 4
	// maxFlowsTried limits how many flows of a pipeline one search offers to the caller.
	maxFlowsTried = 3
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// fullRetryAfter is the RetryAfter of a full queue whose service rate is unknown.
	fullRetryAfter = time.Second
)

// Task is a request that asks for admission.
type Task struct {
	Request   id.Request
	Workspace id.Workspace
	Pipeline  id.Pipeline
	Stages    []string // remaining stages
	Weight    int      // share of the workspace relative to the other workspaces
	Limit     int      // requests of the workspace and pipeline that may run at once, 0 for no limit
	Priority  int      // urgency of RFC 9218, 0 is the most urgent
	Deadline  time.Time
}

// Kind says what happens to an offered task.
type Kind uint8

const (
	// Admitted means that the request may start now.
	Admitted Kind = iota + 1
	// Queued means that Next or Expired will return the task later.
	Queued
	// Refused means that the request must not run.
	Refused
)

// Decision is the answer to an offered task.
type Decision struct {
	Kind       Kind
	RetryAfter time.Duration // when to try again, for a refused request
	Reason     string        // for the log and the caller
}

// Queue admits requests and orders those that wait. It is not safe for concurrent use.
type Queue struct {
	now       time.Time
	capacity  int
	quantile  float64
	disabled  bool // baseline noadmit
	noAging   bool
	noWeights bool
	noExpiry  bool

	levels        [priorityCount]level
	flows         map[flowKey]*flow
	queued        map[id.Request]*item
	byLatestStart latestStartHeap
	arrivals      []*item // all queued tasks in the order of their arrival, and some removed ones
	picks         int     // calls of Next

	running       map[id.Request]limitKey
	runningCounts map[limitKey]int
	stages        map[stageKey]*stageTimes
	rates         map[id.Pipeline]*rate
	retryBudgets  map[id.Pipeline]*retryBudget
}

// level holds the flows of one priority.
type level struct {
	pipelines   map[id.Pipeline]*flowHeap
	waiting     map[id.Pipeline]int     // tasks of flows that are not parked
	weights     map[id.Pipeline]float64 // sum of the weights of flows with queued tasks
	virtualTime float64                 // of the fair queueing
}

// Option configures a Queue.
type Option func(*Queue)

// WithCapacity limits the number of queued tasks.
func WithCapacity(n int) Option { return func(q *Queue) { q.capacity = n } }

// WithQuantile sets the quantile of the stage durations that estimates use.
func WithQuantile(f float64) Option { return func(q *Queue) { q.quantile = f } }

// WithBaselines disables admission control if names contains "noadmit"; other names are ignored.
func WithBaselines(names ...string) Option {
	return func(q *Queue) { q.disabled = slices.Contains(names, "noadmit") }
}

// WithoutAging disables aging. Tests use it to show that low priorities starve then.
func WithoutAging() Option { return func(q *Queue) { q.noAging = true } }

// WithoutWeights gives all flows the same weight. Tests use it to show that weights are necessary.
func WithoutWeights() Option { return func(q *Queue) { q.noWeights = true } }

// WithoutExpiry keeps tasks that cannot meet their deadline. Tests use it to show that Expired must return them.
func WithoutExpiry() Option { return func(q *Queue) { q.noExpiry = true } }

// New returns an empty Queue.
func New(_ event.Self, opts ...Option) *Queue {
	q := &Queue{
		capacity: defaultCapacity, quantile: defaultQuantile,
		flows: map[flowKey]*flow{}, queued: map[id.Request]*item{}, running: map[id.Request]limitKey{},
		runningCounts: map[limitKey]int{}, stages: map[stageKey]*stageTimes{}, rates: map[id.Pipeline]*rate{},
		retryBudgets: map[id.Pipeline]*retryBudget{},
	}
	for i := range q.levels {
		q.levels[i] = level{pipelines: map[id.Pipeline]*flowHeap{}, waiting: map[id.Pipeline]int{}, weights: map[id.Pipeline]float64{}}
	}
	for _, o := range opts {
		o(q)
	}
	return q
}

// Step sets the current time for the methods that are called without it.
func (q *Queue) Step(now time.Time, _ event.Event) []event.Action {
	q.now = now
	return nil
}

// Len returns the number of queued tasks.
func (q *Queue) Len() int { return len(q.queued) }

// Running returns the number of admitted requests that have not ended.
func (q *Queue) Running() int { return len(q.running) }

// NextExpiry returns when Expired will return the next task, or zero if nothing is queued.
func (q *Queue) NextExpiry() time.Time {
	if len(q.byLatestStart) == 0 || q.noExpiry {
		return time.Time{}
	}
	return q.byLatestStart[0].latestStart
}

// Offer decides whether a new task is admitted, queued or refused.
func (q *Queue) Offer(now time.Time, t Task) Decision {
	q.now = now
	t.Priority = min(max(t.Priority, 0), priorityCount-1)
	key := limitKey{t.Workspace, t.Pipeline}
	if _, again := q.running[t.Request]; again {
		return Decision{Kind: Admitted, Reason: "already admitted"}
	}
	if _, again := q.queued[t.Request]; again {
		return Decision{Kind: Queued, Reason: "already queued"}
	}
	if q.disabled {
		q.start(t.Request, key)
		return Decision{Kind: Admitted, Reason: "no admission control"}
	}
	busy, ahead := q.ahead(t)
	atLimit := t.Limit > 0 && q.runningCounts[key] >= t.Limit
	need := q.Estimate(t.Pipeline, t.Stages)
	left := t.Deadline.Sub(now)
	if left <= 0 || need > left {
		return refuse(need-left, "not enough time for the remaining stages")
	}
	if !busy && !atLimit {
		q.start(t.Request, key)
		return Decision{Kind: Admitted, Reason: "no other request waits"}
	}
	perSecond := q.updateRate(t.Pipeline).perSecond()
	if wait := waitFor(ahead, perSecond); wait+need > left {
		return refuse(wait+need-left, "not enough time left after waiting in the queue")
	}
	if len(q.queued) >= q.capacity {
		wait := waitFor(ahead, perSecond)
		if wait == 0 {
			wait = fullRetryAfter
		}
		return refuse(wait, "queue full")
	}
	q.push(now, t, t.Deadline.Add(-need))
	if atLimit {
		return Decision{Kind: Queued, Reason: "limit of the workspace and pipeline reached"}
	}
	return Decision{Kind: Queued, Reason: "others wait"}
}

// Requeue queues a task again that was admitted but found no server. It becomes the first task of its flow.
func (q *Queue) Requeue(now time.Time, t Task) {
	q.now = now
	t.Priority = min(max(t.Priority, 0), priorityCount-1)
	q.release(t.Request)
	q.push(now, t, t.Deadline.Add(-q.Estimate(t.Pipeline, t.Stages)))
	f := q.queued[t.Request].flow
	f.lastFinishTag -= 1 / f.weight         // the task did not use its share
	if last := len(f.items) - 1; last > 0 { // ahead of the tasks of its flow that arrived later
		it := f.items[last]
		copy(f.items[1:], f.items[:last])
		f.items[0] = it
	}
}

// refuse returns a refusal that asks the caller to try again after the given time, within bounds.
func refuse(after time.Duration, reason string) Decision {
	return Decision{Kind: Refused, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter), Reason: reason}
}

// waitFor returns how long the given number of tasks takes to start. It returns zero if the rate is unknown, because no
// request is refused without measurements.
func waitFor(ahead int, perSecond float64) time.Duration {
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// ahead reports whether tasks of the pipeline wait that are at least as urgent as t, and estimates how many of them
// start before t: all that are more urgent, all of the same flow, and as many of the other flows as their weights allow.
func (q *Queue) ahead(t Task) (busy bool, n int) {
	for p := range t.Priority {
		n += q.levels[p].waiting[t.Pipeline]
	}
	l := &q.levels[t.Priority]
	same := l.waiting[t.Pipeline]
	own, others := 0, l.weights[t.Pipeline]
	if f, ok := q.flows[flowKey{limitKey{t.Workspace, t.Pipeline}, t.Priority}]; ok && f.queued > 0 {
		own = f.queued
		others -= f.weight
	}
	fair := own + int(float64(own+1)*others/float64(max(1, t.Weight)))
	return n+same > 0, n + min(same, fair)
}

// updateRate returns the service rate of a pipeline, advanced to the current time.
func (q *Queue) updateRate(p id.Pipeline) *rate {
	r, ok := q.rates[p]
	if !ok {
		r = &rate{}
		q.rates[p] = r
	}
	if !q.now.IsZero() {
		waiting := 0
		for i := range q.levels {
			waiting += q.levels[i].waiting[p]
		}
		r.advance(q.now, waiting > 0)
	}
	return r
}

// push adds a task to the end of its flow.
func (q *Queue) push(now time.Time, t Task, latest time.Time) {
	key := flowKey{limitKey{t.Workspace, t.Pipeline}, t.Priority}
	f, ok := q.flows[key]
	if !ok {
		f = &flow{flowKey: key, heapIndex: -1}
		q.flows[key] = f
	}
	l := &q.levels[t.Priority]
	if f.queued == 0 {
		f.weight = float64(max(1, t.Weight))
		if q.noWeights {
			f.weight = 1
		}
		l.weights[t.Pipeline] += f.weight
	}
	it := &item{Task: t, flow: f, queuedAt: now, latestStart: latest}
	if latest.Before(now) {
		it.latestStart = now
	}
	f.items = append(f.items, it)
	q.queued[t.Request] = it
	f.queued++
	if !f.parked {
		l.waiting[t.Pipeline]++
	}
	heap.Push(&q.byLatestStart, it)
	q.arrivals = append(q.arrivals, it)
	q.insert(f)
	q.updateRate(t.Pipeline)
	q.compact()
}

// compact drops removed tasks and empty flows if there are many of them.
func (q *Queue) compact() {
	if len(q.arrivals) > 2*len(q.queued)+q.capacity {
		q.arrivals = slices.DeleteFunc(q.arrivals, func(it *item) bool { return it.removed })
	}
	if len(q.flows) > 2*len(q.queued)+q.capacity {
		maps.DeleteFunc(q.flows, func(_ flowKey, f *flow) bool { return f.queued == 0 })
	}
}

// insert adds a flow to the heap of its pipeline unless it is already there, empty, or at its limit and thus parked.
func (q *Queue) insert(f *flow) {
	if f.heapIndex >= 0 || !f.dropRemoved() {
		return
	}
	q.setParked(f, q.atLimit(f))
	if f.parked {
		return
	}
	l := &q.levels[f.priority]
	h, ok := l.pipelines[f.pipeline]
	if !ok {
		h = &flowHeap{}
		l.pipelines[f.pipeline] = h
	}
	f.finishTag = max(l.virtualTime, f.lastFinishTag) + 1/f.weight
	heap.Push(h, f)
}

// setParked changes whether the tasks of a flow count as waiting.
func (q *Queue) setParked(f *flow, parked bool) {
	if f.parked == parked {
		return
	}
	f.parked = parked
	if parked {
		q.levels[f.priority].waiting[f.pipeline] -= f.queued
	} else {
		q.levels[f.priority].waiting[f.pipeline] += f.queued
	}
}

// atLimit reports whether as many requests run as the limit of the flow's first task allows.
func (q *Queue) atLimit(f *flow) bool {
	limit := f.items[0].Limit
	return limit > 0 && q.runningCounts[f.limitKey] >= limit
}

// Next removes the task that starts next among those that fit, counts it as running and returns it.
func (q *Queue) Next(now time.Time, fits func(Task) bool) (Task, bool) {
	q.now = now
	q.picks++
	if q.picks%picksPerAged == 0 && !q.noAging {
		if t, ok := q.nextAged(now, fits); ok {
			return t, true
		}
	}
	for p := range q.levels {
		if t, ok := q.nextFair(&q.levels[p], fits); ok {
			return t, true
		}
	}
	return Task{}, false
}

// nextAged picks the task that has been aged for the longest time.
func (q *Queue) nextAged(now time.Time, fits func(Task) bool) (Task, bool) {
	q.arrivals = slices.DeleteFunc(q.arrivals, func(it *item) bool { return it.removed })
	var best *item
	tried := 0
	var longest time.Duration
	for _, it := range q.arrivals {
		overdue := now.Sub(it.queuedAt) - ageStep*time.Duration(it.Priority+1)
		if overdue <= longest || tried == maxFlowsTried || q.atLimit(it.flow) {
			continue
		}
		if tried++; fits(it.Task) {
			best, longest = it, overdue
		}
	}
	if best == nil {
		return Task{}, false
	}
	return q.dequeue(best), true
}

// nextFair picks the first task of a level that fits, in the order of fair queueing.
func (q *Queue) nextFair(l *level, fits func(Task) bool) (Task, bool) {
	var tried []*flow
	defer func() {
		for _, f := range tried {
			if f.heapIndex < 0 && f.dropRemoved() && !f.parked {
				heap.Push(l.pipelines[f.pipeline], f)
			}
		}
	}()
	triedCounts := map[id.Pipeline]int{}
	for {
		f := q.lowestTag(l, triedCounts)
		if f == nil {
			return Task{}, false
		}
		heap.Remove(l.pipelines[f.pipeline], f.heapIndex)
		if !f.dropRemoved() {
			continue
		}
		if q.atLimit(f) {
			q.setParked(f, true)
			continue
		}
		if it := f.items[0]; fits(it.Task) {
			l.virtualTime = max(l.virtualTime, f.finishTag-1/f.weight)
			return q.dequeue(it), true
		}
		tried = append(tried, f)
		triedCounts[f.pipeline]++
	}
}

// lowestTag returns the flow with the lowest finishTag among the pipelines with fewer than maxFlowsTried tried flows.
func (q *Queue) lowestTag(l *level, triedCounts map[id.Pipeline]int) *flow {
	var best *flow
	for _, p := range slices.Sorted(maps.Keys(l.pipelines)) {
		h := l.pipelines[p]
		for h.Len() > 0 && !(*h)[0].dropRemoved() {
			heap.Pop(h)
		}
		if h.Len() > 0 && triedCounts[p] < maxFlowsTried && (best == nil || (*h)[0].finishTag < best.finishTag) {
			best = (*h)[0]
		}
	}
	return best
}

// dequeue removes a queued task, charges it to its flow and counts it as running.
func (q *Queue) dequeue(it *item) Task {
	f := it.flow
	if f.heapIndex >= 0 {
		heap.Remove(q.levels[f.priority].pipelines[f.pipeline], f.heapIndex)
	}
	f.lastFinishTag = f.finishTag // not virtualTime, which may have passed it while the task waited
	q.remove(it)
	q.start(it.Request, f.limitKey)
	q.insert(f)
	return it.Task
}

// remove removes a task from the queue.
func (q *Queue) remove(it *item) {
	it.removed = true
	delete(q.queued, it.Request)
	if it.heapIndex >= 0 {
		heap.Remove(&q.byLatestStart, it.heapIndex)
	}
	l := &q.levels[it.Priority]
	f := it.flow
	f.queued--
	if !f.parked {
		l.waiting[it.Pipeline]--
	}
	q.updateRate(it.Pipeline)
	if f.dropRemoved() {
		return
	}
	f.parked = false
	l.weights[it.Pipeline] -= f.weight
	if f.heapIndex >= 0 {
		heap.Remove(l.pipelines[f.pipeline], f.heapIndex)
	}
	if f.lastFinishTag <= l.virtualTime {
		delete(q.flows, f.flowKey) // its history no longer affects the order
	}
}

// Expired removes and returns the queued tasks that can no longer meet their deadline.
func (q *Queue) Expired(now time.Time) []Task {
	q.now = now
	if q.noExpiry {
		return nil
	}
	var out []Task
	for len(q.byLatestStart) > 0 && !now.Before(q.byLatestStart[0].latestStart) {
		it := q.byLatestStart[0]
		q.remove(it)
		out = append(out, it.Task)
	}
	return out
}

// start counts a request as running.
func (q *Queue) start(r id.Request, key limitKey) {
	q.running[r] = key
	q.runningCounts[key]++
}

// release stops counting a request as running, so that flows which were at their limit can continue.
func (q *Queue) release(r id.Request) {
	key, ok := q.running[r]
	if !ok {
		return
	}
	delete(q.running, r)
	if q.runningCounts[key]--; q.runningCounts[key] <= 0 {
		delete(q.runningCounts, key)
	}
	for p := range q.levels {
		if f, waits := q.flows[flowKey{key, p}]; waits {
			q.insert(f)
		}
	}
}

// Finish records that a running request has ended, or removes a queued one.
func (q *Queue) Finish(r id.Request) {
	if it, ok := q.queued[r]; ok {
		q.remove(it)
		return
	}
	if key, ok := q.running[r]; ok {
		q.updateRate(key.pipeline).addEnd()
		q.release(r)
	}
}

// Observe records the duration of a stage.
func (q *Queue) Observe(p id.Pipeline, name string, took time.Duration) {
	key := stageKey{p, name}
	s, ok := q.stages[key]
	if !ok {
		s = newStageTimes(q.now)
		q.stages[key] = s
	}
	s.decay(q.now)
	s.observe(took)
}

// Estimate returns the estimated duration of the stages. A stage with too few observations counts as zero.
func (q *Queue) Estimate(p id.Pipeline, stages []string) time.Duration {
	var sum time.Duration
	for _, name := range stages {
		if s, ok := q.stages[stageKey{p, name}]; ok {
			s.decay(q.now)
			sum += s.quantile(q.quantile)
		}
	}
	return sum
}

// SetRetryRatio sets how many retries each success of the pipeline adds to its budget, usually a fraction.
func (q *Queue) SetRetryRatio(p id.Pipeline, ratio float64) {
	q.retryBudget(p).ratio = ratio
}

func (q *Queue) retryBudget(p id.Pipeline) *retryBudget {
	b, ok := q.retryBudgets[p]
	if !ok {
		b = &retryBudget{tokens: initialRetryTokens, ratio: defaultRetryRatio}
		q.retryBudgets[p] = b
	}
	return b
}

// TakeRetry takes one retry from the budget of the pipeline and reports whether there was one.
func (q *Queue) TakeRetry(now time.Time, p id.Pipeline) bool {
	q.now = now
	return q.retryBudget(p).take(now)
}

// RecordSuccess adds to the retry budget of the pipeline.
func (q *Queue) RecordSuccess(p id.Pipeline) {
	b := q.retryBudget(p)
	b.tokens = min(maxRetryTokens, b.tokens+b.ratio)
}
