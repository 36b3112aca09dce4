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
	// rateWindow is the time over which the rate of a route's jobs is smoothed.
	rateWindow = time.Second
	// firstClassLoad is the part of a pool's capacity that first-class jobs may take together.
	firstClassLoad = 0.95
	// priorityFactor multiplies the value of a job for each level of priority above the lowest.
	priorityFactor = 1.5
	// lowestPriority is the priority from which on jobs are not urgent.
	lowestPriority = 4
	// demandGain is the weight of a new job in what is known of its route.
	demandGain = 0.05
	// sharePeriod is how often the capacity is divided anew.
	sharePeriod = 50 * time.Millisecond
	// minRate is the rate below which a route is forgotten, in jobs a second.
	minRate = 0.01
	// minCapacity stands for the capacity of a pool that has none, to divide by.
	minCapacity = 1e-6
	// minRetryAfter and longestAfter bound when the caller of a refused job may come back.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// backlogPeriod is the time between two counts of the second-class jobs.
	backlogPeriod = 10 * time.Millisecond
)

// class orders jobs under overload.
type class uint8

const (
	// classFirst jobs fit into the capacity of their pools.
	classFirst class = iota
	// classSecond jobs run with what first ones leave.
	classSecond
	// classLate jobs have missed their objective.
	classLate
)

// routeDemand is what the jobs of a route ask for.
type routeDemand struct {
	rate            float64 // jobs a second
	updatedAt       time.Time
	value           float64             // of a job
	work            map[id.Pool]float64 // seconds of a worker for a job
	firstClassShare float64             // part of the jobs that are first-class
	credit          float64             // of shares that were not used yet
}

// admission decides which jobs run first when there are more than the pools can do in time. Jobs that bring much for
// little work of the pools that are short come first; the others run with what is left.
type admission struct {
	routes    map[string]*routeDemand
	sharedAt  time.Time
	spare     map[id.Pool]float64 // workers that first-class jobs leave
	backlog   map[id.Pool]float64 // seconds of a worker that second-class jobs still ask for
	backlogAt time.Time           // when ahead was last counted
}

// decay brings a route's rate up to date.
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

// observe takes in the value and the work of a job.
func (d *routeDemand) observe(j *job, work map[id.Pool]float64, fresh bool) {
	gain := demandGain
	if fresh {
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

// jobWork returns the seconds of a worker that a job takes in each pool when calls are full.
func (s *Scheduler) jobWork(j *job) map[id.Pool]float64 {
	out := map[id.Pool]float64{}
	for _, p := range j.tasks {
		l := s.queues[p.stage().Pool]
		out[p.stage().Pool] += float64(len(p.pieces)) * l.cost(kindOf(p)).Seconds()
	}
	return out
}

// shareCapacity gives the capacity of the pools to the routes, those first whose jobs bring most for the work that they take
// from pools which are short.
func (s *Scheduler) shareCapacity(now time.Time) {
	left := map[id.Pool]float64{}
	short := map[id.Pool]float64{} // workers asked for, of the pools that have fewer
	total := map[id.Pool]float64{}
	for name, l := range s.queues {
		total[name] = s.capacity(now, l)
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
			short[pool] += d.rate * seconds
		}
	}
	for pool, load := range short {
		if load <= left[pool] {
			delete(short, pool)
		}
	}
	slices.SortStableFunc(order, func(a, b *routeDemand) int { return cmp.Compare(b.density(short, left), a.density(short, left)) })
	for _, d := range order {
		d.firstClassShare = 1
		for pool := range short {
			if need := d.rate * d.work[pool]; need > 0 {
				d.firstClassShare = min(d.firstClassShare, max(0, left[pool])/need)
			}
		}
		for pool, seconds := range d.work {
			left[pool] -= d.firstClassShare * d.rate * seconds
		}
	}
	s.admission.spare = map[id.Pool]float64{}
	for pool, workers := range total {
		s.admission.spare[pool] = max(0, left[pool]) + (1-firstClassLoad)*workers
	}
}

// infeasible reports whether a second-class job would still wait at its deadline behind the others of its class, and when
// a caller may come back.
func (s *Scheduler) infeasible(now time.Time, j *job) (time.Duration, bool) {
	longest := 0.0
	s.updateBacklog(now)
	for pool := range s.jobWork(j) {
		if work := s.admission.backlog[pool]; work > 0 {
			longest = max(longest, work/max(s.admission.spare[pool], minCapacity))
		}
	}
	over := longest - j.deadline.Sub(now).Seconds() + s.minDuration(j).Seconds()
	if over <= 0 {
		return 0, false
	}
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(min(over, maxRetryAfter.Seconds())*float64(time.Second)))), true
}

// addToBacklog counts a second-class job that was accepted since the last count.
func (s *Scheduler) addToBacklog(j *job) {
	for pool, work := range s.jobWork(j) {
		s.admission.backlog[pool] += work
	}
}

// updateBacklog counts what second-class jobs still ask of each pool. All jobs are looked at now and then only, because
// their number grows with that of the submissions.
func (s *Scheduler) updateBacklog(now time.Time) {
	if s.admission.backlog != nil && now.Sub(s.admission.backlogAt) < backlogPeriod {
		return
	}
	out := map[id.Pool]float64{}
	for _, j := range s.jobs {
		if j.class != classSecond || j.done {
			continue
		}
		for _, p := range j.tasks {
			if p.missing > 0 {
				pool := p.stage().Pool
				out[pool] += float64(p.missing) * s.queues[pool].cost(kindOf(p)).Seconds()
			}
		}
	}
	s.admission.backlog, s.admission.backlogAt = out, now
}

// minDuration returns the least time that the stages of a job take.
func (s *Scheduler) minDuration(j *job) time.Duration {
	longest := time.Duration(0)
	for _, p := range j.tasks {
		if len(p.pieces) > 0 {
			longest = max(longest, s.minDurationFrom(p))
		}
	}
	return longest
}

// minDurationFrom returns the least time from the start of a part to the end of the last one after it.
func (s *Scheduler) minDurationFrom(p *task) time.Duration {
	after := time.Duration(0)
	for _, other := range p.job.tasks {
		if len(other.pieces) > 0 && slices.Contains(other.stage().After, uint32(p.index)) {
			after = max(after, s.minDurationFrom(other))
		}
	}
	l := s.queues[p.stage().Pool]
	return l.pool.Pieces.CallTime + l.pieceTime(kindOf(p)) + after
}

// failInfeasible ends the jobs that wait and cannot end before their deadlines any more.
func (s *Scheduler) failInfeasible(now time.Time, l *poolQueue, out *actions) {
	for _, p := range l.tasks {
		if j := p.job; !j.ended && p.waiting > 0 && now.Add(s.minDurationFrom(p)).After(j.deadline) {
			s.failJob(now, j, "cannot end before its deadline any more", minRetryAfter, out)
		}
	}
}

// density is the value of a job for the part that it takes of the pools which are short.
func (d *routeDemand) density(short, capacity map[id.Pool]float64) float64 {
	part := 0.0
	for _, pool := range slices.Sorted(maps.Keys(short)) { // sums of floats depend on their order
		part += d.work[pool] / max(capacity[pool], minCapacity)
	}
	if part == 0 {
		return math.Inf(1)
	}
	return d.value / part
}

// capacity returns how many workers of a pool are at work, slow ones counted in part.
func (s *Scheduler) capacity(now time.Time, l *poolQueue) float64 {
	sum := 0.0
	for _, w := range l.workers {
		if usable, _ := s.servers.Usable(w.Server); usable && (w.failures == 0 || now.After(w.backoffUntil)) {
			sum += float64(max(1, l.pool.Pieces.MaxCalls)) / max(1, w.slowdown)
		}
	}
	return sum
}
