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
	// rateSpan is the time over which the rate of a route's jobs is smoothed.
	rateSpan = time.Second
	// fullLoad is the part of a pool's capacity that first-class jobs may take together.
	fullLoad = 0.95
	// urgency multiplies the value of a job for each level of priority above the lowest.
	urgency = 1.5
	// lowestPriority is the priority from which on jobs are not urgent.
	lowestPriority = 4
	// valueGain is the weight of a new job in what is known of its route.
	valueGain = 0.05
	// sharePeriod is how often the capacity is divided anew.
	sharePeriod = 50 * time.Millisecond
	// leastRate is the rate below which a route is forgotten, in jobs a second.
	leastRate = 0.01
	// leastWorkers stands for the capacity of a pool that has none, to divide by.
	leastWorkers = 1e-6
	// shortestAfter and longestAfter bound when the caller of a refused job may come back.
	shortestAfter = 500 * time.Millisecond
	longestAfter  = 5 * time.Second
	// countPeriod is the time between two counts of the second-class jobs.
	countPeriod = 10 * time.Millisecond
)

// class orders jobs under overload.
type class uint8

const (
	// first jobs fit into the capacity of their pools.
	first class = iota
	// second jobs run with what first ones leave.
	second
	// late jobs have missed their objective.
	late
)

// demand is what the jobs of a route ask for.
type demand struct {
	rate  float64 // jobs a second
	at    time.Time
	value float64             // of a job
	work  map[id.Pool]float64 // seconds of a worker for a job
	share float64             // part of the jobs that are first-class
	sum   float64             // of shares that were not used yet
}

// admission decides which jobs run first when there are more than the pools can do in time. Jobs that bring much for
// little work of the pools that are short come first; the others run with what is left.
type admission struct {
	routes  map[string]*demand
	at      time.Time
	spare   map[id.Pool]float64 // workers that first-class jobs leave
	ahead   map[id.Pool]float64 // seconds of a worker that second-class jobs still ask for
	counted time.Time           // when ahead was last counted
}

// decay brings a route's rate up to date.
func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		d.rate *= math.Exp(-float64(now.Sub(d.at)) / float64(rateSpan))
	}
	d.at = now
}

// admit counts a job and returns its class.
func (s *Scheduler) admit(now time.Time, j *job) class {
	d, known := s.admission.routes[j.Route]
	if !known {
		d = &demand{work: map[id.Pool]float64{}, share: 1}
		s.admission.routes[j.Route] = d
	}
	d.decay(now)
	d.rate += 1 / rateSpan.Seconds()
	d.learn(j, s.work(j), !known)
	if now.Sub(s.admission.at) >= sharePeriod {
		s.admission.at = now
		s.divide(now)
	}
	if d.sum = min(2, d.sum+d.share); d.sum >= 1 {
		d.sum--
		return first
	}
	return second
}

// learn takes in the value and the work of a job.
func (d *demand) learn(j *job, work map[id.Pool]float64, fresh bool) {
	gain := valueGain
	if fresh {
		gain = 1
	}
	value := float64(max(1, j.Value)) * math.Pow(urgency, float64(lowestPriority-min(lowestPriority, int(j.Priority))))
	d.value += gain * (value - d.value)
	for pool := range d.work {
		d.work[pool] -= gain * d.work[pool]
	}
	for pool, seconds := range work {
		d.work[pool] += gain * seconds
	}
}

// work returns the seconds of a worker that a job takes in each pool when calls are full.
func (s *Scheduler) work(j *job) map[id.Pool]float64 {
	out := map[id.Pool]float64{}
	for _, p := range j.parts {
		l := s.lines[p.stage().Pool]
		out[p.stage().Pool] += float64(len(p.pieces)) * l.cost(kindOf(p)).Seconds()
	}
	return out
}

// divide gives the capacity of the pools to the routes, those first whose jobs bring most for the work that they take
// from pools which are short.
func (s *Scheduler) divide(now time.Time) {
	left := map[id.Pool]float64{}
	short := map[id.Pool]float64{} // workers asked for, of the pools that have fewer
	total := map[id.Pool]float64{}
	for name, l := range s.lines {
		total[name] = s.capacity(now, l)
		left[name] = fullLoad * total[name]
	}
	var order []*demand
	for _, route := range slices.Sorted(maps.Keys(s.admission.routes)) {
		d := s.admission.routes[route]
		if d.decay(now); d.rate < leastRate {
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
	slices.SortStableFunc(order, func(a, b *demand) int { return cmp.Compare(b.density(short, left), a.density(short, left)) })
	for _, d := range order {
		d.share = 1
		for pool := range short {
			if need := d.rate * d.work[pool]; need > 0 {
				d.share = min(d.share, max(0, left[pool])/need)
			}
		}
		for pool, seconds := range d.work {
			left[pool] -= d.share * d.rate * seconds
		}
	}
	s.admission.spare = map[id.Pool]float64{}
	for pool, workers := range total {
		s.admission.spare[pool] = max(0, left[pool]) + (1-fullLoad)*workers
	}
}

// hopeless reports whether a second-class job would still wait at its deadline behind the others of its class, and when
// a caller may come back.
func (s *Scheduler) hopeless(now time.Time, j *job) (time.Duration, bool) {
	longest := 0.0
	s.countSecondClass(now)
	for pool := range s.work(j) {
		if work := s.admission.ahead[pool]; work > 0 {
			longest = max(longest, work/max(s.admission.spare[pool], leastWorkers))
		}
	}
	over := longest - j.deadline.Sub(now).Seconds() + s.shortest(j).Seconds()
	if over <= 0 {
		return 0, false
	}
	return min(longestAfter, max(shortestAfter, time.Duration(min(over, longestAfter.Seconds())*float64(time.Second)))), true
}

// expect counts a second-class job that was accepted since the last count.
func (s *Scheduler) expect(j *job) {
	for pool, work := range s.work(j) {
		s.admission.ahead[pool] += work
	}
}

// countSecondClass counts what second-class jobs still ask of each pool. All jobs are looked at now and then only, because
// their number grows with that of the submissions.
func (s *Scheduler) countSecondClass(now time.Time) {
	if s.admission.ahead != nil && now.Sub(s.admission.counted) < countPeriod {
		return
	}
	out := map[id.Pool]float64{}
	for _, j := range s.jobs {
		if j.class != second || j.done {
			continue
		}
		for _, p := range j.parts {
			if p.missing > 0 {
				pool := p.stage().Pool
				out[pool] += float64(p.missing) * s.lines[pool].cost(kindOf(p)).Seconds()
			}
		}
	}
	s.admission.ahead, s.admission.counted = out, now
}

// shortest returns the least time that the stages of a job take.
func (s *Scheduler) shortest(j *job) time.Duration {
	longest := time.Duration(0)
	for _, p := range j.parts {
		if len(p.pieces) > 0 {
			longest = max(longest, s.shortestFrom(p))
		}
	}
	return longest
}

// shortestFrom returns the least time from the start of a part to the end of the last one after it.
func (s *Scheduler) shortestFrom(p *part) time.Duration {
	after := time.Duration(0)
	for _, other := range p.job.parts {
		if len(other.pieces) > 0 && slices.Contains(other.stage().After, uint32(p.index)) {
			after = max(after, s.shortestFrom(other))
		}
	}
	l := s.lines[p.stage().Pool]
	return l.pool.Pieces.CallTime + l.item(kindOf(p)) + after
}

// giveUp ends the jobs that wait and cannot end before their deadlines any more.
func (s *Scheduler) giveUp(now time.Time, l *line, out *actions) {
	for _, p := range l.parts {
		if j := p.job; !j.ended && p.open > 0 && now.Add(s.shortestFrom(p)).After(j.deadline) {
			s.fail(now, j, "cannot end before its deadline any more", shortestAfter, out)
		}
	}
}

// density is the value of a job for the part that it takes of the pools which are short.
func (d *demand) density(short, capacity map[id.Pool]float64) float64 {
	part := 0.0
	for _, pool := range slices.Sorted(maps.Keys(short)) { // sums of floats depend on their order
		part += d.work[pool] / max(capacity[pool], leastWorkers)
	}
	if part == 0 {
		return math.Inf(1)
	}
	return d.value / part
}

// capacity returns how many workers of a pool are at work, slow ones counted in part.
func (s *Scheduler) capacity(now time.Time, l *line) float64 {
	sum := 0.0
	for _, w := range l.workers {
		if usable, _ := s.servers.Usable(w.Server); usable && (w.failures == 0 || now.After(w.rest)) {
			sum += float64(max(1, l.pool.Pieces.MaxCalls)) / max(1, w.factor)
		}
	}
	return sum
}
