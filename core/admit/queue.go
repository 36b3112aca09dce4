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
	priorities = 8 // RFC 9218
	// defaultCapacity bounds the queue of a node; at 33 requests a second it holds more than any deadline allows.
	defaultCapacity = 1024
	// defaultQuantile makes a refusal for lack of time right in at least half of the cases.
	defaultQuantile = 0.5
	// ageStep times the priority plus one is how long a task waits before it counts as aged.
	ageStep = 250 * time.Millisecond
	// picksPerAged is how often an aged task goes first; with every pick, overload would turn priorities into arrival order.
	picksPerAged = 4
	// maxFlowsTried is how many flows of a pipeline are offered to the caller in one search.
	maxFlowsTried = 3
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// fullRetryAfter is the answer of a full queue whose service rate is unknown.
	fullRetryAfter = time.Second
)

// Task is a request that wants to start.
type Task struct {
	Request   id.Request
	Workspace id.Workspace
	Pipeline  id.Pipeline
	Stages    []string // remaining stages
	Weight    int
	Limit     int // requests of the workspace and pipeline that may run at once, 0 for any number
	Priority  int // RFC 9218 urgency
	Deadline  time.Time
}

// Kind says what happens to an offered task.
type Kind uint8

const (
	// Admitted means that the request may start now.
	Admitted Kind = iota + 1
	// Queued means that Next or Expired will hand the task back.
	Queued
	// Refused means that the request is not run.
	Refused
)

// Decision is the answer to an offered task.
type Decision struct {
	Kind       Kind
	RetryAfter time.Duration
	Reason     string
}

// Queue admits requests and orders those that wait.
type Queue struct {
	now       time.Time
	capacity  int
	quantile  float64
	disabled  bool // baseline noadmit
	noAging   bool
	noWeights bool
	noExpiry  bool

	levels        [priorities]level
	flows         map[flowKey]*flow
	queued        map[id.Request]*item
	byLatestStart latestStartHeap
	arrivals      []*item // all queued tasks in the order of their arrival, with some that are gone
	picks         int

	running       map[id.Request]limitKey
	runningCounts map[limitKey]int
	stages        map[stageKey]*stageTimes
	rates         map[id.Pipeline]*rate
	retryBudgets  map[id.Pipeline]*retryBudget
}

// level holds the flows of one priority by pipeline, and the virtual time of their fair order.
type level struct {
	pipelines   map[id.Pipeline]*flowHeap
	waiting     map[id.Pipeline]int     // tasks of flows that are not parked
	weights     map[id.Pipeline]float64 // sum over the flows that wait
	virtualTime float64
}

// Option changes a Queue.
type Option func(*Queue)

// WithCapacity bounds the number of queued tasks.
func WithCapacity(n int) Option { return func(q *Queue) { q.capacity = n } }

// WithQuantile sets the quantile of the stage times that estimates use.
func WithQuantile(f float64) Option { return func(q *Queue) { q.quantile = f } }

// WithBaselines turns on the baseline "noadmit"; other names are ignored.
func WithBaselines(names ...string) Option {
	return func(q *Queue) { q.disabled = slices.Contains(names, "noadmit") }
}

// WithoutAging lets low priorities starve, for the proof that aging is needed.
func WithoutAging() Option { return func(q *Queue) { q.noAging = true } }

// WithoutWeights treats all flows alike, for the proof that weights are needed.
func WithoutWeights() Option { return func(q *Queue) { q.noWeights = true } }

// WithoutExpiry keeps tasks that cannot meet their deadline, for the proof that they must be handed back.
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

// Step tells the queue the time, because some of its methods do not carry it.
func (q *Queue) Step(now time.Time, _ event.Event) []event.Action {
	q.now = now
	return nil
}

// Len returns the number of queued tasks.
func (q *Queue) Len() int { return len(q.queued) }

// Running returns the number of admitted requests that have not ended.
func (q *Queue) Running() int { return len(q.running) }

// NextExpiry returns when Expired has something to hand back, zero if nothing is queued.
func (q *Queue) NextExpiry() time.Time {
	if len(q.byLatestStart) == 0 || q.noExpiry {
		return time.Time{}
	}
	return q.byLatestStart[0].latestStart
}

// Offer decides about a new task.
func (q *Queue) Offer(now time.Time, t Task) Decision {
	q.now = now
	t.Priority = min(max(t.Priority, 0), priorities-1)
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
		return Decision{Kind: Admitted, Reason: "nothing waits"}
	}
	perSecond := q.updateRate(t.Pipeline).perSecond()
	if wait := waitFor(ahead, perSecond); wait+need > left {
		return refuse(wait+need-left, "not enough time after the queue")
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
		return Decision{Kind: Queued, Reason: "limit of the workspace and pipeline"}
	}
	return Decision{Kind: Queued, Reason: "others wait"}
}

// Requeue puts a task back that was admitted but found no server; it goes ahead of the other tasks of its flow.
func (q *Queue) Requeue(now time.Time, t Task) {
	q.now = now
	t.Priority = min(max(t.Priority, 0), priorities-1)
	q.release(t.Request)
	q.push(now, t, t.Deadline.Add(-q.Estimate(t.Pipeline, t.Stages)))
	f := q.queued[t.Request].flow
	f.lastFinishTag -= 1 / f.weight         // it had no share
	if last := len(f.items) - 1; last > 0 { // ahead of later arrivals of its flow
		it := f.items[last]
		copy(f.items[1:], f.items[:last])
		f.items[0] = it
	}
}

func refuse(after time.Duration, reason string) Decision {
	return Decision{Kind: Refused, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter), Reason: reason}
}

// waitFor returns zero if the rate is unknown, because a refusal needs evidence.
func waitFor(ahead int, perSecond float64) time.Duration {
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// ahead reports whether others wait that are as urgent, and estimates how many tasks of the pipeline start before t:
// all that are more urgent, those of its own flow, and of other flows what their weights give them meanwhile.
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

// updateRate brings the service rate of a pipeline up to date.
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

// compact drops what tasks that left have left behind, now and then.
func (q *Queue) compact() {
	if len(q.arrivals) > 2*len(q.queued)+q.capacity {
		q.arrivals = slices.DeleteFunc(q.arrivals, func(it *item) bool { return it.removed })
	}
	if len(q.flows) > 2*len(q.queued)+q.capacity {
		maps.DeleteFunc(q.flows, func(_ flowKey, f *flow) bool { return f.queued == 0 })
	}
}

// insert puts a flow into the heap of its pipeline unless it is there or empty; a flow at its limit is parked.
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

func (q *Queue) atLimit(f *flow) bool {
	limit := f.items[0].Limit
	return limit > 0 && q.runningCounts[f.limitKey] >= limit
}

// Next hands out the task that starts next among those that fit, and counts it as running.
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

// nextAged picks the task that has waited longest beyond what its priority asks for.
func (q *Queue) nextAged(now time.Time, fits func(Task) bool) (Task, bool) {
	q.arrivals = slices.DeleteFunc(q.arrivals, func(it *item) bool { return it.removed })
	var oldest *item
	tried := 0
	var most time.Duration
	for _, it := range q.arrivals {
		beyond := now.Sub(it.queuedAt) - ageStep*time.Duration(it.Priority+1)
		if beyond <= most || tried == maxFlowsTried || q.atLimit(it.flow) {
			continue
		}
		if tried++; fits(it.Task) {
			oldest, most = it, beyond
		}
	}
	if oldest == nil {
		return Task{}, false
	}
	return q.dequeue(oldest), true
}

// nextFair searches one level in fair order.
func (q *Queue) nextFair(l *level, fits func(Task) bool) (Task, bool) {
	var tried []*flow
	defer func() {
		for _, f := range tried {
			if f.heapIndex < 0 && f.dropRemoved() && !f.parked {
				heap.Push(l.pipelines[f.pipeline], f)
			}
		}
	}()
	counts := map[id.Pipeline]int{}
	for {
		f := q.lowestTag(l, counts)
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
		counts[f.pipeline]++
	}
}

// lowestTag returns the flow with the lowest tag among pipelines that were not tried too often.
func (q *Queue) lowestTag(l *level, tried map[id.Pipeline]int) *flow {
	var best *flow
	for _, p := range slices.Sorted(maps.Keys(l.pipelines)) {
		h := l.pipelines[p]
		for h.Len() > 0 && !(*h)[0].dropRemoved() {
			heap.Pop(h)
		}
		if h.Len() > 0 && tried[p] < maxFlowsTried && (best == nil || (*h)[0].finishTag < best.finishTag) {
			best = (*h)[0]
		}
	}
	return best
}

// dequeue starts a queued task and charges its flow.
func (q *Queue) dequeue(it *item) Task {
	f := it.flow
	if f.heapIndex >= 0 {
		heap.Remove(q.levels[f.priority].pipelines[f.pipeline], f.heapIndex)
	}
	f.lastFinishTag = f.finishTag // not the clock, which may have passed the flow while its first task waited
	q.remove(it)
	q.start(it.Request, f.limitKey)
	q.insert(f)
	return it.Task
}

// remove takes a task out of the queue.
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
		delete(q.flows, f.flowKey) // its past is worth nothing any more
	}
}

// Expired hands back the queued tasks that can no longer meet their deadline.
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

func (q *Queue) start(r id.Request, key limitKey) {
	q.running[r] = key
	q.runningCounts[key]++
}

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

// Finish notes that a request ended, or that a queued one was dropped.
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

// Observe records how long a stage took.
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

// Estimate returns how long the stages take; stages without enough evidence count nothing.
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

// SetRetryRatio sets the part of a retry that each success of the pipeline allows.
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
