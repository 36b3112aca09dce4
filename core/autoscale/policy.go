package autoscale

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"bluebellflow/core/catalog"
	"bluebellflow/core/id"
)

const (
	// decideInterval is the time between two measurements and decisions.
	decideInterval = time.Second
	// maxBurst is longer than a burst of 3 to 6 s, which ends before new servers could serve.
	maxBurst = 6500 * time.Millisecond
	// burstFactor is the demand in a burst as a multiple of that before it.
	burstFactor = 1.7
	// raiseFactor is the ratio of the ordered capacity to the needed one, so that demand that keeps growing does not cause an order
	// every second.
	raiseFactor = 1.15
	// peakTime is the time whose highest demand must fit into fewer servers before one is given up. It covers four waves of 11 s.
	peakTime = 45 * time.Second
	// lowerInterval is the least time between two orders that give up a server of a pool: the other servers have to read the shared
	// prompt parts again that it had cached.
	lowerInterval = 6 * time.Second
	// bootMargin is the time after Scale.Boot until a server that has not started counts as missing.
	bootMargin = 4 * time.Second
	// lossTime is how long servers must be missing. The entry of a server may be lost for a moment.
	lossTime = 3 * time.Second
	// forgetTime is how long the highest number of servers counts as the ordered one if there was no order. A rollout may have
	// added servers temporarily.
	forgetTime = 5 * time.Minute
	// A failure domain counts as cut off if it has less than unusedFraction of the mean number of requests per server, provided
	// that this mean is at least minUsed.
	unusedFraction = 0.1
	minUsed        = 0.5
)

// sample is a measurement of a pool.
type sample struct {
	at       time.Time
	demand   float64
	complete bool
}

// domain holds a pool's servers in a failure domain.
type domain struct {
	name      id.FailureDomain
	ordered   int  // servers that it should have: the last order, or an estimate before the first one
	known     bool // ordered was decided by this process or recorded by an earlier leader
	ready     int
	cold      int // of those that are ready
	draining  int
	evacuated bool

	fullAt   time.Time     // when there were last as many ready servers as ordered
	history  []observation // of the last peakTime
	expected int           // servers that were ordered and may still be starting
	startBy  time.Time     // when they should have started
}

// observation is the state of a failure domain at a time.
type observation struct {
	at      time.Time
	ready   int
	running float64
}

// pool holds what the decision about a pool depends on.
type pool struct {
	scale        catalog.Scale
	slots        float64 // of a server, on average
	samples      []sample
	lastComplete float64 // the last complete demand
	domains      map[id.FailureDomain]*domain
	raisedAt     time.Time
	loweredAt    time.Time
	changedAt    time.Time // when a domain was last evacuated, short of servers or waiting for some
	replaced     int       // servers that were ordered in place of missing ones and are still there
}

// order is a number of servers that is to be ordered. reason has the inputs of the decision.
type order struct {
	domain  id.FailureDomain
	desired int
	before  int
	reason  string
}

func newPool() *pool { return &pool{domains: map[id.FailureDomain]*domain{}} }

// domain returns a failure domain, which is added if it is new.
func (p *pool) domain(name id.FailureDomain) *domain {
	d := p.domains[name]
	if d == nil {
		d = &domain{name: name}
		p.domains[name] = d
	}
	return d
}

// sorted returns the failure domains by name.
func (p *pool) sorted() []*domain {
	return slices.SortedFunc(maps.Values(p.domains), func(a, b *domain) int { return cmp.Compare(a.name, b.name) })
}

// add adds a measurement, and forgets those older than peakTime.
func (p *pool) add(now time.Time, m measured) {
	total := m.total(func(name id.FailureDomain) int {
		if d := p.domains[name]; d != nil {
			return d.ready
		}
		return 0
	})
	demand := m.estimate(total, p.lastComplete)
	if m.complete() {
		p.lastComplete = demand
	}
	old := now.Add(-peakTime)
	if m.majority() {
		p.samples = append(p.samples, sample{now, demand, m.complete()})
	}
	p.samples = slices.DeleteFunc(p.samples, func(s sample) bool { return !s.at.After(old) })
	for _, d := range p.domains {
		d.history = append(d.history, observation{now, d.ready, m.running[d.name]})
		d.history = slices.DeleteFunc(d.history, func(s observation) bool { return !s.at.After(old) })
		d.estimateOrdered(now)
		if d.evacuated || d.missing(now) > 0 || d.starting(now) > 0 {
			p.changedAt = now
		}
	}
}

// estimateOrdered sets the number of servers that should be present, before the first order, to the highest recent one.
func (d *domain) estimateOrdered(now time.Time) {
	if d.ready >= d.ordered {
		d.fullAt = now
	}
	switch {
	case d.known:
	case now.Sub(d.fullAt) > forgetTime:
		d.ordered = d.recent(now)
	default:
		d.ordered = max(d.ordered, d.ready)
	}
}

// starting returns the number of servers that were ordered and may still be starting.
func (d *domain) starting(now time.Time) int {
	if now.After(d.startBy) {
		return 0
	}
	return min(d.expected, max(0, d.ordered-d.recent(now)))
}

// recent returns the highest number of ready servers within lossTime.
func (d *domain) recent(now time.Time) int {
	n := d.ready
	for _, s := range d.history {
		if now.Sub(s.at) < lossTime {
			n = max(n, s.ready)
		}
	}
	return n
}

// missing returns the number of servers that are ordered, but neither present nor starting.
func (d *domain) missing(now time.Time) int {
	return max(0, d.ordered-d.recent(now)-d.starting(now))
}

// capacity returns the servers that a failure domain has or will have soon.
func (d *domain) capacity(now time.Time) int {
	if d.evacuated {
		return 0
	}
	return min(d.ordered, d.recent(now)) + d.starting(now)
}

// running returns the median of the attempts in progress over a time.
func (d *domain) running(now time.Time, over time.Duration) float64 {
	var values []float64
	for _, s := range d.history {
		if now.Sub(s.at) < over {
			values = append(values, s.running)
		}
	}
	return median(values)
}

// sustainTime returns the span over which the sustained demand is the median: the value that was exceeded for half of that span.
func (p *pool) sustainTime() time.Duration { return 2 * max(p.scale.Boot, maxBurst) }

// sustained returns the sustained demand, or false if it has been measured for too short a time.
func (p *pool) sustained(now time.Time) (float64, bool) {
	var values []float64
	for _, s := range p.samples {
		if now.Sub(s.at) < p.sustainTime() {
			values = append(values, s.demand)
		}
	}
	return median(values), time.Duration(len(values))*decideInterval >= p.sustainTime()/2
}

// lasting returns the lowest demand within maxBurst. The median lags behind it while demand rises.
func (p *pool) lasting(now time.Time) float64 {
	lowest := math.Inf(1)
	for _, s := range p.samples {
		if now.Sub(s.at) < maxBurst {
			lowest = min(lowest, s.demand)
		}
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return lowest
}

// peak returns the highest demand within peakTime, and whether the measurements cover that time and were all complete.
func (p *pool) peak() (float64, bool) {
	highest, complete := 0.0, true
	for _, s := range p.samples {
		highest = max(highest, s.demand)
		complete = complete && s.complete
	}
	return highest, complete && time.Duration(len(p.samples))*decideInterval >= peakTime-2*decideInterval
}

// cutOff returns the failure domains that get hardly any requests while others do, probably because the nodes cannot reach them.
func (p *pool) cutOff(now time.Time) id.Set[id.FailureDomain] {
	out := id.NewSet[id.FailureDomain]()
	running, servers := 0.0, 0
	for _, d := range p.domains {
		running += d.running(now, maxBurst)
		servers += d.ready
	}
	mean := running / float64(max(1, servers))
	for _, d := range p.domains {
		if d.ready > 0 && mean >= minUsed && d.running(now, maxBurst) < unusedFraction*mean*float64(d.ready) {
			out.Add(d.name)
		}
	}
	return out
}

// decide returns the orders that are to be made now, and records them as made.
func (p *pool) decide(now time.Time) []order {
	sustained, ok := p.sustained(now)
	if !ok || p.slots == 0 {
		return nil
	}
	if orders := p.raise(now, sustained); len(orders) > 0 {
		return orders
	}
	return p.lower(now, sustained)
}

// raise returns the orders that the sustained demand or the minimum requires.
func (p *pool) raise(now time.Time, sustained float64) []order {
	cutOff := p.cutOff(now)
	available, orderedTotal := 0, 0
	before := map[*domain]int{}
	for _, d := range p.sorted() {
		before[d] = d.ordered
		for d.ordered < p.scale.Min && (d.known || p.seenLong(now, d)) {
			p.grow(now, d)
		}
		orderedTotal += d.ordered
		if !cutOff.Has(d.name) {
			available += d.capacity(now)
		}
	}
	availableBefore := available
	goal := 0
	if serversFor(sustained*burstFactor, p.slots) > available {
		goal = serversFor(max(sustained, p.lasting(now))*burstFactor*raiseFactor, p.slots)
	}
	for available < goal {
		d := p.growthTarget(now, cutOff)
		if d == nil {
			break
		}
		p.grow(now, d)
		available++
		if available <= orderedTotal {
			p.replaced++
		}
	}
	var out []order
	for _, d := range p.sorted() {
		if d.ordered != before[d] {
			p.raisedAt = now
			out = append(out, order{d.name, d.ordered, before[d], fmt.Sprintf("raise sustained=%.1f available=%d goal=%d cutoff=%t %s", sustained, availableBefore, goal, cutOff.Has(d.name), p.describe(now, d))})
		}
	}
	return out
}

// seenLong reports whether a failure domain has been observed for peakTime. Before that its list of servers may be incomplete, and
// an order of the minimum could remove servers.
func (p *pool) seenLong(now time.Time, d *domain) bool {
	return len(d.history) > 0 && now.Sub(d.history[0].at) >= peakTime-2*decideInterval
}

// grow orders another server.
func (p *pool) grow(now time.Time, d *domain) {
	starting := d.starting(now)
	d.ordered++
	d.expected, d.startBy, d.known = starting+1, now.Add(p.scale.Boot+bootMargin), true
}

// growthTarget returns the failure domain that should get the next server: the one with the fewest servers, if possible among
// those without missing servers. It returns nil if no failure domain may get any. A failure domain where most servers are missing
// gets none, because new ones would probably not start either.
func (p *pool) growthTarget(now time.Time, cutOff id.Set[id.FailureDomain]) *domain {
	var best *domain
	rank := func(d *domain) int { return min(1, d.missing(now)) }
	for _, d := range p.sorted() {
		switch {
		case d.evacuated, cutOff.Has(d.name), d.ordered >= p.scale.Max, 2*d.missing(now) > d.ordered:
		case best == nil || cmp.Or(cmp.Compare(rank(d), rank(best)), cmp.Compare(d.capacity(now), best.capacity(now))) < 0:
			best = d
		}
	}
	return best
}

// lower returns the order that gives up a server if the highest demand fits into the others. In the last peakTime no server may
// have been ordered or missing. Above the maximum a server is given up in any case.
func (p *pool) lower(now time.Time, sustained float64) []order {
	if now.Sub(p.loweredAt) < lowerInterval {
		return nil
	}
	var most *domain
	total, largest := 0, 0
	for _, d := range p.sorted() {
		total += d.capacity(now)
		if d.ordered > p.scale.Min && (most == nil || d.ordered > most.ordered) {
			most = d
		}
	}
	if most == nil {
		return nil
	}
	for _, d := range p.domains {
		left := d.capacity(now)
		if d == most {
			left--
		}
		largest = max(largest, left)
	}
	if len(p.domains) == 1 {
		largest = 0 // no other failure domain could take over
	}
	if p.replaced > 0 {
		largest = 0 // replacements are given up without the reserve, because the number before the loss had none either
	}
	peak, complete := p.peak()
	stable := complete && now.Sub(p.raisedAt) >= peakTime && now.Sub(p.changedAt) >= peakTime
	left := total - 1 - largest
	if most.ordered <= p.scale.Max && (!stable || float64(left)*p.slots < peak*burstFactor) {
		return nil
	}
	most.ordered--
	most.known, p.loweredAt, p.replaced = true, now, max(0, p.replaced-1)
	return []order{{most.name, most.ordered, most.ordered + 1, fmt.Sprintf("lower peak=%.1f sustained=%.1f left=%d replaced=%d %s",
		peak, sustained, left, p.replaced, p.describe(now, most))}}
}

// describe formats the inputs of a decision about a failure domain.
func (p *pool) describe(now time.Time, d *domain) string {
	demand, complete := 0.0, false
	if n := len(p.samples); n > 0 {
		demand, complete = p.samples[n-1].demand, p.samples[n-1].complete
	}
	return fmt.Sprintf("demand=%.1f complete=%t slots=%.3g ready=%d cold=%d draining=%d starting=%d missing=%d evacuated=%t",
		demand, complete, p.slots, d.ready, d.cold, d.draining, d.starting(now), d.missing(now), d.evacuated)
}
