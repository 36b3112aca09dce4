package batch

import (
	"maps"
	"math"
	"slices"
	"time"

	"bluebellflow/core/capacity"
	"bluebellflow/core/id"
)

const (
	// objectiveMargin is how long before its objective a job has to end by the estimate, because waits vary.
	objectiveMargin = 200 * time.Millisecond
	// sharedCapacity is the part of a pool's capacity that all flows may use in the order of their arrival.
	sharedCapacity = 0.5
	// minSlowdown bounds the credit that a fast worker gets.
	minSlowdown = 0.5
	// countPeriod is how often the waiting pieces are counted again.
	countPeriod = 20 * time.Millisecond
	// callerPriorityFactor and routePriorityFactor multiply the value of a job for each level of priority above the lowest.
	callerPriorityFactor = 1.25
	routePriorityFactor  = 2.0
	// lowestPriority is the priority (0 is the highest) at and below which the value of a job is not raised.
	lowestPriority = 4
	// minRetryAfter and maxRetryAfter bound the retry delay given to the caller of a rejected job.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// class orders jobs under overload; lower classes run first.
type class uint8

const (
	// classFirst is for jobs that can meet their objectives.
	classFirst class = iota
	// classSecond is for jobs that can only meet their deadlines. They run on the capacity that first-class jobs leave unused.
	classSecond
	// classLate is for tasks that can no longer start early enough for the objective of their job.
	classLate
)

// admission decides which jobs are accepted when the pools cannot complete all of them in time.
type admission struct {
	flows     capacity.Flows
	countedAt time.Time // when the waiting pieces were last counted
	pools     map[id.Pool]capacity.Pool
	retries   retryTimes
}

// newAdmission returns the state before the first job.
func newAdmission() admission {
	return admission{pools: map[id.Pool]capacity.Pool{}, retries: retryTimes{}}
}

// flowKey returns the flow that a job belongs to.
func (j *job) flowKey() capacity.Key { return capacity.Key{Route: j.Route, Priority: j.Priority} }

// weight returns the value of a job, raised by the priorities of its caller and of its route.
func (j *job) weight() float64 {
	byCaller := math.Pow(callerPriorityFactor, float64(max(0, lowestPriority-int(j.Priority))))
	byRoute := math.Pow(routePriorityFactor, float64(max(0, lowestPriority-int(j.RoutePriority))))
	return float64(max(1, j.Value)) * byCaller * byRoute
}

// admit assigns a class to a new job, or rejects it with the time after which its caller may retry.
func (s *Scheduler) admit(now time.Time, j *job) (after time.Duration, accepted bool) {
	s.refreshAdmission(now)
	key, demand := j.flowKey(), s.demandOf(j)
	s.admission.flows.Arrive(now, key, j.weight(), demand)
	waitAs := func(class capacity.Class) waitFunc {
		return func(pool id.Pool, lead time.Duration) time.Duration {
			queue := s.admission.flows.Ahead(now, key, class, pool)
			queue.Lead = lead
			return s.admission.pools[pool].Wait(queue)
		}
	}
	slack := j.objective.Sub(now) - time.Duration(j.Rest) - objectiveMargin
	if s.duration(j, waitAs(capacity.OnTime)) < slack || s.duration(j, s.reserveWait) < slack {
		j.class = classFirst
		s.admission.flows.AcceptOnTime(now, key)
		s.countWaiting(j)
		return 0, true
	}
	excess := s.duration(j, waitAs(capacity.Late)) - j.deadline.Sub(now)
	if excess <= 0 {
		j.class = classSecond
		s.countWaiting(j)
		return 0, true
	}
	return s.admission.retries.reserve(now, key, excess, s.busyTime(demand)), false
}

// reserveWait returns how long a pool takes for all on-time work, as if it could use only a part of its capacity for it. A job
// of any flow that ends in time all the same leaves enough for more urgent ones that arrive meanwhile.
func (s *Scheduler) reserveWait(pool id.Pool, _ time.Duration) time.Duration {
	return s.admission.pools[pool].Wait(capacity.Queue{Waiting: s.admission.flows.Waiting(pool).Scale(1 / sharedCapacity)})
}

// refreshAdmission updates what the pools can do, and counts the waiting pieces, at most once per countPeriod: counting at
// each submission would take time quadratic in the number of jobs.
func (s *Scheduler) refreshAdmission(now time.Time) {
	a := &s.admission
	if !a.countedAt.IsZero() && now.Sub(a.countedAt) < countPeriod {
		return
	}
	a.countedAt = now
	a.flows.ResetWaiting(now)
	for name, q := range s.queues {
		a.pools[name] = s.capacityOf(now, q)
	}
	for _, j := range s.jobs {
		s.countWaiting(j)
	}
}

// countWaiting adds the pieces of a job that do not run yet to the waiting work.
func (s *Scheduler) countWaiting(j *job) {
	if j.done || j.ended {
		return
	}
	class := capacity.OnTime
	if j.class != classFirst {
		class = capacity.Late
	}
	for _, t := range j.tasks {
		if t.waiting > 0 {
			pool := t.stage().Pool
			s.admission.flows.AddWaiting(j.flowKey(), class, pool, s.queues[pool].demand(t).Scale(float64(t.waiting)))
		}
	}
}

// demandOf returns what a job needs from each pool.
func (s *Scheduler) demandOf(j *job) map[id.Pool]capacity.Demand {
	out := map[id.Pool]capacity.Demand{}
	for _, t := range j.tasks {
		pool := t.stage().Pool
		out[pool] = out[pool].Add(s.queues[pool].demand(t).Scale(float64(len(t.pieces))))
	}
	return out
}

// capacityOf returns what the available workers of a pool can do. If all of them get no calls for a moment, because calls have
// failed or because they want none, they count all the same: a pool that cannot do anything would reject every job.
func (s *Scheduler) capacityOf(now time.Time, q *poolQueue) capacity.Pool {
	available, backedOff := capacity.Pool{Hold: q.hold}, capacity.Pool{Hold: q.hold}
	for _, w := range q.workers {
		p := &available
		switch s.availabilityOf(now, w) {
		case gone:
			continue
		case away:
			p = &backedOff
		}
		p.Workers += s.allowedShare(w) * float64(max(1, q.pool.Pieces.MaxCalls)) / max(minSlowdown, w.slowdown)
		p.Memory += q.usableMemory()
		p.Held += w.usedBytes + w.foreign.at(now)
	}
	if available.Workers == 0 {
		return backedOff
	}
	return available
}

// availability tells whether a worker counts towards the capacity of its pool.
type availability uint8

const (
	present availability = iota
	away                 // it gets no calls for a moment
	gone                 // it gets no calls for longer than rejected callers wait
)

func (s *Scheduler) availabilityOf(now time.Time, w *worker) availability {
	usable, _ := s.servers.Usable(w.Server)
	ready := s.readyIn(now, w)
	if s.allowedShare(w) < 1 {
		ready = 0 // a limited worker counts by its limit, whenever its next call is due
	}
	switch {
	case !usable || ready > maxRetryAfter:
		return gone
	case w.failures > 0 && !now.After(w.backoffUntil) || ready > s.queues[w.Pool].pool.Pieces.CallTime:
		return away
	}
	return present
}

// busyTime returns how long a demand keeps the pools busy, for the one that is busy longest.
func (s *Scheduler) busyTime(demand map[id.Pool]capacity.Demand) time.Duration {
	longest := time.Duration(0)
	for pool, d := range demand {
		if workers := s.admission.pools[pool].Workers; workers > 0 {
			longest = max(longest, time.Duration(float64(d.Time)/workers))
		}
	}
	return longest
}

// waitFunc returns how long a pool takes for what goes before a job that reaches it after lead at the earliest.
type waitFunc func(pool id.Pool, lead time.Duration) time.Duration

// duration returns how long the stages of a job take. The pools serve what goes before the job at the same time, so that a
// task only waits for what is left when its inputs are complete.
func (s *Scheduler) duration(j *job, wait waitFunc) time.Duration {
	longest := time.Duration(0)
	leads := make([]time.Duration, len(j.tasks)) // without any wait
	ends := make([]time.Duration, len(j.tasks))
	for _, i := range j.order {
		t := j.tasks[i]
		if len(t.pieces) == 0 {
			continue
		}
		lead, start := time.Duration(0), time.Duration(0)
		for _, pred := range t.stage().After {
			lead, start = max(lead, leads[pred]), max(start, ends[pred])
		}
		start = max(start, wait(t.stage().Pool, lead))
		leads[i], ends[i] = lead+s.shortestRun(t), min(capacity.Never, start+s.shortestRun(t))
		longest = max(longest, ends[i])
	}
	return longest
}

// shortestRun returns the time of a call with one piece of a task.
func (s *Scheduler) shortestRun(t *task) time.Duration {
	q := s.queues[t.stage().Pool]
	return q.pool.Pieces.CallTime + q.pieceTime(kindOf(t))
}

// shortestRest returns the shortest time from the start of a task to the end of the last task that depends on it.
func (s *Scheduler) shortestRest(t *task) time.Duration {
	after := time.Duration(0)
	for _, other := range t.job.tasks {
		if len(other.pieces) > 0 && slices.Contains(other.stage().After, uint32(t.index)) {
			after = max(after, s.shortestRest(other))
		}
	}
	return s.shortestRun(t) + after
}

// failInfeasible fails the jobs with waiting tasks that can no longer complete before their deadlines.
func (s *Scheduler) failInfeasible(now time.Time, q *poolQueue, out *actions) {
	for _, t := range q.tasks {
		if j := t.job; !j.ended && t.waiting > 0 && now.Add(s.shortestRest(t)).After(j.deadline) {
			s.failJob(now, j, "cannot end before its deadline any more", minRetryAfter, out)
		}
	}
}

// retryTimes holds when the last rejected caller of each flow may retry, so that callers do not return together.
type retryTimes map[capacity.Key]time.Time

// reserve returns after which time the caller of a job may retry: not before earliest, when the job could be accepted, and
// not before the callers of its flow that were rejected earlier are served. The job keeps the pools busy for busy.
func (r retryTimes) reserve(now time.Time, key capacity.Key, earliest, busy time.Duration) time.Duration {
	maps.DeleteFunc(r, func(_ capacity.Key, at time.Time) bool { return at.Before(now) })
	at := now.Add(min(maxRetryAfter, max(minRetryAfter, earliest)))
	if last, ok := r[key]; ok && last.Add(busy).After(at) {
		at = last.Add(busy)
	}
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		at = latest
	}
	r[key] = at
	return at.Sub(now)
}
