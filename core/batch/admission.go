package batch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"bluebellflow/core/id"
)

const (
	// rateWindow is the time constant of the exponential decay of a route's job rate.
	rateWindow = time.Second
	// firstClassLoad is the fraction of a pool's capacity that first-class jobs may use.
	firstClassLoad = 0.95
	// priorityFactor multiplies the value of a job for each level of priority above the lowest.
	priorityFactor = 1.5
	// lowestPriority is the priority (0 is the highest) at and below which the value of a job is not raised.
	lowestPriority = 4
	// demandGain is the weight of a new job in the moving averages of its route.
	demandGain = 0.05
	// sharePeriod is how often the capacity is shared out again.
	sharePeriod = 50 * time.Millisecond
	// minRate is the rate below which a route is removed, in jobs per second.
	minRate = 0.01
	// minCapacity replaces a capacity of zero in divisions.
	minCapacity = 1e-6
	// minRetryAfter and maxRetryAfter bound the retry delay given to the caller of a rejected job.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// backlogPeriod is how often the work of the second-class jobs is counted again.
	backlogPeriod = 10 * time.Millisecond
)

// class orders jobs under overload; lower classes run first.
type class uint8

const (
	// classFirst is for jobs that fit into the capacity of their pools.
	classFirst class = iota
	// classSecond is for jobs that run on the capacity that first-class jobs leave unused.
	classSecond
	// classLate is for tasks that can no longer start early enough for the objective of their job.
	classLate
)

// routeDemand holds moving averages of the jobs of a route.
type routeDemand struct {
	rate            float64 // jobs per second
	updatedAt       time.Time
	value           float64             // per job
	work            map[id.Pool]float64 // seconds of calls per job
	firstClassShare float64             // fraction of the jobs that are first-class
	credit          float64             // accumulated share; a first-class job takes 1
}

// admission decides which jobs run first when the pools cannot complete all of them in time. Jobs with a high value per
// work in overloaded pools come first; the others run on the remaining capacity.
type admission struct {
	routes    map[string]*routeDemand
	sharedAt  time.Time
	spare     map[id.Pool]float64 // capacity that first-class jobs leave unused, in calls at once
	backlog   map[id.Pool]float64 // seconds of calls that second-class jobs still need
	backlogAt time.Time           // when the jobs were last counted
}

// decay updates the rate for the time since the last update.
func (d *routeDemand) decay(now time.Time) {
	if !d.updatedAt.IsZero() {
		d.rate *= math.Exp(-float64(now.Sub(d.updatedAt)) / float64(rateWindow))
	}
	d.updatedAt = now
}

// classify counts a job and returns its class.
func (s *Scheduler) classify(now time.Time, j *job) class {
	d, known := s.admission.routes[j.Route]
	if !known {
		d = &routeDemand{work: map[id.Pool]float64{}, firstClassShare: 1}
		s.admission.routes[j.Route] = d
	}
	d.decay(now)
	d.rate += 1 / rateWindow.Seconds()
	d.observe(j, s.jobWork(j), !known)
	if now.Sub(s.admission.sharedAt) >= sharePeriod {
		s.admission.sharedAt = now
		s.shareCapacity(now)
	}
	if d.credit = min(2, d.credit+d.firstClassShare); d.credit >= 1 {
		d.credit--
		return classFirst
	}
	return classSecond
}

// observe updates the moving averages with the value and the work of a job.
func (d *routeDemand) observe(j *job, work map[id.Pool]float64, isNew bool) {
	gain := demandGain
	if isNew {
		gain = 1
	}
	value := float64(max(1, j.Value)) * math.Pow(priorityFactor, float64(lowestPriority-min(lowestPriority, int(j.Priority))))
	d.value += gain * (value - d.value)
	for pool := range d.work {
		d.work[pool] -= gain * d.work[pool]
	}
	for pool, seconds := range work {
		d.work[pool] += gain * seconds
	}
}

// jobWork returns the seconds of calls that a job takes in each pool when calls are full.
func (s *Scheduler) jobWork(j *job) map[id.Pool]float64 {
	out := map[id.Pool]float64{}
	for _, t := range j.tasks {
		q := s.queues[t.stage().Pool]
		out[t.stage().Pool] += float64(len(t.pieces)) * q.cost(kindOf(t)).Seconds()
	}
	return out
}

// shareCapacity assigns the capacity of the pools to the routes, in descending order of value per work in overloaded
// pools.
func (s *Scheduler) shareCapacity(now time.Time) {
	left := map[id.Pool]float64{}
	scarce := map[id.Pool]float64{} // capacity needed; pools with enough capacity are removed below
	total := map[id.Pool]float64{}
	for name, q := range s.queues {
		total[name] = s.capacity(now, q)
		left[name] = firstClassLoad * total[name]
	}
	var order []*routeDemand
	for _, route := range slices.Sorted(maps.Keys(s.admission.routes)) {
		d := s.admission.routes[route]
		if d.decay(now); d.rate < minRate {
			delete(s.admission.routes, route)
			continue
		}
		order = append(order, d)
		for pool, seconds := range d.work {
			scarce[pool] += d.rate * seconds
		}
	}
	for pool, load := range scarce {
		if load <= left[pool] {
			delete(scarce, pool)
		}
	}
	slices.SortStableFunc(order, func(a, b *routeDemand) int { return cmp.Compare(b.density(scarce, left), a.density(scarce, left)) })
	for _, d := range order {
		d.firstClassShare = 1
		for pool := range scarce {
			if needed := d.rate * d.work[pool]; needed > 0 {
				d.firstClassShare = min(d.firstClassShare, max(0, left[pool])/needed)
			}
		}
		for pool, seconds := range d.work {
			left[pool] -= d.firstClassShare * d.rate * seconds
		}
	}
	s.admission.spare = map[id.Pool]float64{}
	for pool, capacity := range total {
		s.admission.spare[pool] = max(0, left[pool]) + (1-firstClassLoad)*capacity
	}
}

// infeasible reports whether a second-class job cannot meet its deadline behind the others of its class. If so, it returns
// the time after which the caller may retry.
func (s *Scheduler) infeasible(now time.Time, j *job) (time.Duration, bool) {
	longest := 0.0
	s.updateBacklog(now)
	for pool := range s.jobWork(j) {
		if work := s.admission.backlog[pool]; work > 0 {
			longest = max(longest, work/max(s.admission.spare[pool], minCapacity))
		}
	}
	excess := longest - j.deadline.Sub(now).Seconds() + s.minDuration(j).Seconds()
	if excess <= 0 {
		return 0, false
	}
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(min(excess, maxRetryAfter.Seconds())*float64(time.Second)))), true
}

// addToBacklog adds the work of a second-class job that was accepted since the last count.
func (s *Scheduler) addToBacklog(j *job) {
	for pool, work := range s.jobWork(j) {
		s.admission.backlog[pool] += work
	}
}

// updateBacklog counts the work that second-class jobs still need from each pool, at most once per backlogPeriod: counting
// all jobs at each submission would take time quadratic in their number.
func (s *Scheduler) updateBacklog(now time.Time) {
	if s.admission.backlog != nil && now.Sub(s.admission.backlogAt) < backlogPeriod {
		return
	}
	out := map[id.Pool]float64{}
	for _, j := range s.jobs {
		if j.class != classSecond || j.done {
			continue
		}
		for _, t := range j.tasks {
			if t.missing > 0 {
				pool := t.stage().Pool
				out[pool] += float64(t.missing) * s.queues[pool].cost(kindOf(t)).Seconds()
			}
		}
	}
	s.admission.backlog, s.admission.backlogAt = out, now
}

// minDuration returns the shortest time in which the stages of a job can run.
func (s *Scheduler) minDuration(j *job) time.Duration {
	longest := time.Duration(0)
	for _, t := range j.tasks {
		if len(t.pieces) > 0 {
			longest = max(longest, s.minDurationFrom(t))
		}
	}
	return longest
}

// minDurationFrom returns the shortest time from the start of a task to the end of the last task that depends on it.
func (s *Scheduler) minDurationFrom(t *task) time.Duration {
	after := time.Duration(0)
	for _, other := range t.job.tasks {
		if len(other.pieces) > 0 && slices.Contains(other.stage().After, uint32(t.index)) {
			after = max(after, s.minDurationFrom(other))
		}
	}
	q := s.queues[t.stage().Pool]
	return q.pool.Pieces.CallTime + q.pieceTime(kindOf(t)) + after
}

// failInfeasible fails the jobs with waiting tasks that can no longer complete before their deadlines.
func (s *Scheduler) failInfeasible(now time.Time, q *poolQueue, out *actions) {
	for _, t := range q.tasks {
		if j := t.job; !j.ended && t.waiting > 0 && now.Add(s.minDurationFrom(t)).After(j.deadline) {
			s.failJob(now, j, "cannot end before its deadline any more", minRetryAfter, out)
		}
	}
}

// density returns the value of a job per fraction of the overloaded pools that it uses.
func (d *routeDemand) density(scarce, capacity map[id.Pool]float64) float64 {
	fraction := 0.0
	for _, pool := range slices.Sorted(maps.Keys(scarce)) { // sorted, because the sum of floats depends on their order
		fraction += d.work[pool] / max(capacity[pool], minCapacity)
	}
	if fraction == 0 {
		return math.Inf(1)
	}
	return d.value / fraction
}

// capacity returns the number of calls that the available workers of a pool run at once, each divided by the worker's
// slowdown.
func (s *Scheduler) capacity(now time.Time, q *poolQueue) float64 {
	sum := 0.0
	for _, w := range q.workers {
		if usable, _ := s.servers.Usable(w.Server); usable && (w.failures == 0 || now.After(w.backoffUntil)) {
			sum += float64(max(1, q.pool.Pieces.MaxCalls)) / max(1, w.slowdown)
		}
	}
	return sum
}
