package capacity

import (
	"cmp"
	"slices"
	"time"

	"bluebellflow/core/id"
)

const (
	// valueGain is the weight of a new job in the moving averages of its flow.
	valueGain = 0.05
	// minRate is the rate below which a flow without waiting work is forgotten, in jobs per second.
	minRate = 0.01
)

// Key identifies a flow: the jobs of a route whose callers have the same priority.
type Key struct {
	Route    string
	Priority uint32 // of the caller, 0 is the highest
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Priority, other.Priority), cmp.Compare(k.Route, other.Route))
}

// Class orders the work of a flow; lower classes are served first.
type Class uint8

const (
	// OnTime is for work that meets its objective.
	OnTime Class = iota
	// Late is for work that only meets its deadline. It runs on the capacity that all on-time work leaves unused.
	Late
	classes
)

// flow is the recent and the waiting work of a key.
type flow struct {
	key      Key
	arrivals rate
	onTime   rate                        // of the arrivals that were accepted to meet their objective
	value    float64                     // average of a job
	demand   map[id.Pool]Demand          // average of a job
	waiting  [classes]map[id.Pool]Demand // pieces that do not run yet
}

// Flows holds the work of all flows, and the order in which they get the capacity of the pools: the flow with the highest
// value for its demand of a pool comes first there.
type Flows struct {
	flows []*flow // by key
}

// Arrive counts a job with its value and its demand.
func (f *Flows) Arrive(now time.Time, key Key, value float64, demand map[id.Pool]Demand) {
	fl := f.get(key)
	gain := valueGain
	if fl.arrivals.updatedAt.IsZero() {
		gain = 1
	}
	fl.arrivals.count(now)
	fl.value += gain * (value - fl.value)
	for pool, old := range fl.demand {
		fl.demand[pool] = old.Scale(1 - gain)
	}
	for pool, d := range demand {
		fl.demand[pool] = fl.demand[pool].Add(d.Scale(gain))
	}
}

// get returns the flow of a key.
func (f *Flows) get(key Key) *flow {
	i, found := f.find(key)
	if !found {
		fl := &flow{key: key, demand: map[id.Pool]Demand{}}
		for c := range fl.waiting {
			fl.waiting[c] = map[id.Pool]Demand{}
		}
		f.flows = slices.Insert(f.flows, i, fl)
	}
	return f.flows[i]
}

func (f *Flows) find(key Key) (int, bool) {
	return slices.BinarySearchFunc(f.flows, key, func(fl *flow, k Key) int { return fl.key.compare(k) })
}

// AcceptOnTime counts a job that was accepted to meet its objective.
func (f *Flows) AcceptOnTime(now time.Time, key Key) {
	f.get(key).onTime.count(now)
}

// AddWaiting adds pieces that wait for a worker.
func (f *Flows) AddWaiting(key Key, class Class, pool id.Pool, d Demand) {
	fl := f.get(key)
	fl.waiting[class][pool] = fl.waiting[class][pool].Add(d)
}

// ResetWaiting removes all waiting pieces, so that they can be counted again, and forgets the flows whose jobs have ceased.
func (f *Flows) ResetWaiting(now time.Time) {
	f.flows = slices.DeleteFunc(f.flows, func(fl *flow) bool { return fl.arrivals.at(now) < minRate })
	for _, fl := range f.flows {
		for c := range fl.waiting {
			clear(fl.waiting[c])
		}
	}
}

// Ahead returns what goes before a new job of a flow at a pool.
func (f *Flows) Ahead(now time.Time, key Key, class Class, pool id.Pool) Queue {
	i, found := f.find(key)
	if !found {
		return Queue{}
	}
	var q Queue
	own := f.flows[i]
	for _, fl := range f.flows {
		before := fl.precedes(own, pool)
		if class == Late { // the on-time work of all flows goes before it
			q.Waiting = q.Waiting.Add(fl.waiting[OnTime][pool])
			q.Rate = q.Rate.Add(fl.demand[pool].Scale(fl.onTime.at(now)))
		}
		if before || fl == own {
			q.Waiting = q.Waiting.Add(fl.waiting[class][pool])
		}
		if before && class == OnTime {
			q.Rate = q.Rate.Add(fl.demand[pool].Scale(fl.arrivals.at(now)))
		}
	}
	return q
}

// Waiting returns the on-time work of all flows that waits for a pool.
func (f *Flows) Waiting(pool id.Pool) Demand {
	var sum Demand
	for _, fl := range f.flows {
		sum = sum.Add(fl.waiting[OnTime][pool])
	}
	return sum
}

// precedes reports whether a flow gets the capacity of a pool before another one.
func (fl *flow) precedes(other *flow, pool id.Pool) bool {
	if fl == other {
		return false
	}
	return cmp.Or(cmp.Compare(other.density(pool), fl.density(pool)), fl.key.compare(other.key)) < 0
}

// density returns the value of a job for each second of a worker that it takes, 0 if it takes none.
func (fl *flow) density(pool id.Pool) float64 {
	if fl.demand[pool].Time <= 0 {
		return 0
	}
	return fl.value / fl.demand[pool].Time.Seconds()
}
