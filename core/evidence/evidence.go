package evidence

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"bluebellflow/core/id"
)

const (
	slotLength    = 2 * time.Second // both versions are compared within a slot and its neighbours
	slotsKept     = 30
	baselineSlots = 15 // slots that the old version's rates are taken from
	allTime       = -1 // slot number of the totals
	latencyWindow = 64 // latencies of the old version kept for a route and a load
	minBaseline   = 16
	loadBins      = 6
	maxRoutes     = 64 // a rollout is judged on; the other results count for all routes together
	// A result is slow if it takes longer than this multiple of the old version's upper quartile at
	// the same load; about one in ten of a usual latency distribution does.
	slowFactor = 1.3
	// coldFactor times that is slow on a cold server. New servers of a good version start cold and then take about
	// twice as long; the old version's servers are warm and give nothing to compare with.
	coldFactor  = 3
	minFailRate = 0.02 // rates of the old version below these cannot be measured on little traffic
	minSlowRate = 0.12
	// EnoughResults is how many results of the new version make the evidence complete while traffic allows to wait for them.
	EnoughResults = 100
	// Each route with at least a tenth of the old version's traffic needs a fifth of the results that are needed in all.
	routeTrafficDivisor = 10
	routeResultsDivisor = 5
)

// BadScore is the score at which a version is bad. Each test is built for a false alarm from any given
// result on with a probability of at most exp(-10), one in 22,000; over a whole rollout of about 3,000
// results the tests are built to stop at most one good version in 200. At 9, one good version in 1,000
// simulated ones was stopped, at 10 none; each further point costs a bad version about one result.
const BadScore = 10.0

// The rates that the tests look for in a bad version.
var (
	badFailRates = [3]float64{0.08, 0.3, 0.9}
	badSlowRates = [3]float64{0.35, 0.6, 0.9}
)

// cell counts the results of both versions; all fields only grow.
type cell struct {
	newN, newFail, newTimed, newSlow uint64
	oldN, oldFail, oldTimed, oldSlow uint64
}

func (c *cell) fields() [8]*uint64 {
	return [8]*uint64{&c.newN, &c.newFail, &c.newTimed, &c.newSlow, &c.oldN, &c.oldFail, &c.oldTimed, &c.oldSlow}
}

// cellKey is a route in a slot; the empty route stands for all routes together.
type cellKey struct {
	route id.Pipeline
	slot  int64
}

// scores are cumulative sums of log-likelihood ratios that never fall below zero, so that a version
// that turns bad late is judged like one that was bad from the start.
type scores [6]float64

// Sample is the result of one attempt.
type Sample struct {
	Route  id.Pipeline
	Took   time.Duration
	Failed bool
	Load   int  // attempts in flight at the server when this one was sent
	Cold   bool // the server was cold then
}

// Cell carries a counter of the sender's incarnation.
type Cell struct {
	Route id.Pipeline `protobuf:"bytes,1,opt,name=route"`
	Slot  int64       `protobuf:"varint,2,opt,name=slot"`
	Count []uint64    `protobuf:"varint,3,rep,name=count"`
}

// Limits of what a peer may send.
const (
	// MaxCells is how many cells one message may carry.
	MaxCells        = 1024
	maxText         = 256
	maxCount        = 1 << 40
	countersPerCell = 8
)

// Check reports a malformed cell.
func (c Cell) Check() error {
	if len(c.Count) != countersPerCell || len(c.Route) > maxText || c.Slot < allTime {
		return errors.New("evidence: bad counter")
	}
	for _, n := range c.Count {
		if n > maxCount {
			return errors.New("evidence: counter out of range")
		}
	}
	return nil
}

// Evidence compares the two versions of a rollout over all nodes.
type Evidence struct {
	byIncarnation map[id.Incarnation]map[cellKey]cell
	totals        map[cellKey]cell
	slotScores    map[cellKey]scores // scores at the end of each slot
	firstSlot     int64              // oldest slot kept
	scoredSlot    int64              // scores are known up to this slot, unless an older one has changed
	baselines     map[binKey]*baseline
	routes        []id.Pipeline // sorted
	topScore      float64
	topRoute      id.Pipeline
}

type binKey struct {
	route id.Pipeline
	bin   int
}

// baseline holds the newest latencies of the old version on a route at a load.
type baseline struct {
	latencies   []time.Duration
	next        int
	sinceUpdate int
	limit       time.Duration
}

// New returns evidence that begins at a time.
func New(now time.Time) *Evidence {
	return &Evidence{
		firstSlot:     slotOf(now),
		byIncarnation: map[id.Incarnation]map[cellKey]cell{}, totals: map[cellKey]cell{},
		slotScores: map[cellKey]scores{}, baselines: map[binKey]*baseline{},
	}
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(slotLength) }

func (r *baseline) add(took time.Duration) {
	if len(r.latencies) < latencyWindow {
		r.latencies = append(r.latencies, took)
	} else {
		r.latencies[r.next] = took
		r.next = (r.next + 1) % latencyWindow
	}
	if r.sinceUpdate++; r.sinceUpdate >= minBaseline/2 && len(r.latencies) >= minBaseline {
		sorted := slices.Sorted(slices.Values(r.latencies))
		r.limit = time.Duration(slowFactor * float64(sorted[len(sorted)*3/4]))
		r.sinceUpdate = 0
	}
}

func binOf(load int) int {
	bin := 0
	for load > 1 && bin < loadBins-1 {
		load /= 2
		bin++
	}
	return bin
}

// limit returns the latency above which a result is slow: that of the old version at the same load, or
// at the next higher one that it has had. At a load that the old version never had there is nothing to compare.
func (e *Evidence) limit(route id.Pipeline, load int) (time.Duration, bool) {
	for bin := binOf(load); bin < loadBins; bin++ {
		if r := e.baselines[binKey{route, bin}]; r != nil && r.limit > 0 {
			return r.limit, true
		}
	}
	return 0, false
}

// Observe counts a result of this node.
func (e *Evidence) Observe(now time.Time, self id.Incarnation, s Sample, isNew bool) {
	limit, comparable := e.limit(s.Route, s.Load)
	if s.Cold {
		limit *= coldFactor
	}
	if !isNew && !s.Failed && !s.Cold {
		key := binKey{s.Route, binOf(s.Load)}
		if e.baselines[key] == nil {
			e.baselines[key] = &baseline{}
		}
		e.baselines[key].add(s.Took)
	}
	var d cell
	n, failed, timed, slow := &d.oldN, &d.oldFail, &d.oldTimed, &d.oldSlow
	if isNew {
		n, failed, timed, slow = &d.newN, &d.newFail, &d.newTimed, &d.newSlow
	}
	*n = 1
	switch {
	case s.Failed:
		*failed = 1
	case comparable: // a failure needs no latency to compare with, a latency does
		*timed = 1
		if s.Took > limit {
			*slow = 1
		}
	}
	slot := slotOf(now)
	for _, p := range [4]cellKey{{"", slot}, {s.Route, slot}, {"", allTime}, {s.Route, allTime}} {
		c := e.byIncarnation[self][p]
		for i, f := range c.fields() {
			*f += *d.fields()[i]
		}
		e.merge(now, self, p, c)
	}
}

// Cells returns the newest counters of an incarnation; they are sent repeatedly because messages get lost.
func (e *Evidence) Cells(now time.Time, inc id.Incarnation) []Cell {
	var out []Cell
	for p, c := range e.byIncarnation[inc] {
		if p.slot != allTime && p.slot < slotOf(now)-2 {
			continue
		}
		var count []uint64
		for _, f := range c.fields() {
			count = append(count, *f)
		}
		out = append(out, Cell{Route: p.route, Slot: p.slot, Count: count})
	}
	slices.SortFunc(out, func(a, b Cell) int { return cmp.Or(cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.Route, b.Route)) })
	return out[:min(len(out), MaxCells)]
}

// Merge takes in the counters of an incarnation.
func (e *Evidence) Merge(now time.Time, inc id.Incarnation, cells []Cell) {
	for _, c := range cells {
		var in cell
		for i, f := range in.fields() {
			*f = c.Count[i]
		}
		e.merge(now, inc, cellKey{c.Route, c.Slot}, in)
	}
}

// merge takes in a counter by maximum.
func (e *Evidence) merge(now time.Time, inc id.Incarnation, p cellKey, c cell) {
	if p.slot != allTime && (p.slot < e.firstSlot || p.slot > slotOf(now)+2) {
		return // too old, or from a clock that is far ahead
	}
	if !e.trackRoute(p.route) {
		return
	}
	of := e.byIncarnation[inc]
	if of == nil {
		of = map[cellKey]cell{}
		e.byIncarnation[inc] = of
	}
	old := of[p]
	if old == c {
		return // counters are sent repeatedly
	}
	sum := e.totals[p]
	for i, f := range old.fields() {
		if v := *c.fields()[i]; v > *f {
			*sum.fields()[i] += v - *f
			*f = v
			if p.slot != allTime {
				e.scoredSlot = min(e.scoredSlot, p.slot-2) // a slot is compared with the next one too
			}
		}
	}
	of[p], e.totals[p] = old, sum
}

// trackRoute remembers a route; a rollout is judged on a bounded number of them.
func (e *Evidence) trackRoute(route id.Pipeline) bool {
	at, known := slices.BinarySearch(e.routes, route)
	if known {
		return true
	}
	if len(e.routes) >= maxRoutes {
		return false
	}
	e.routes = slices.Insert(e.routes, at, route)
	return true
}

// Evaluate returns the highest score and its route. Only slots that have changed are scored again.
func (e *Evidence) Evaluate(now time.Time) (float64, id.Pipeline) {
	last := slotOf(now) + 2 // another node's clock may be ahead
	if e.scoredSlot >= last {
		return e.topScore, e.topRoute
	}
	from := max(e.firstSlot, e.scoredSlot+1)
	e.topScore = 0
	for _, route := range e.routes {
		s := e.slotScores[cellKey{route, from - 1}]
		for slot := from; slot <= last; slot++ {
			s = e.score(s, route, slot)
			e.slotScores[cellKey{route, slot}] = s
		}
		if top := slices.Max(s[:]); top > e.topScore {
			e.topScore, e.topRoute = top, route
		}
	}
	e.scoredSlot = last
	e.dropSlots(last - slotsKept)
	return e.topScore, e.topRoute
}

// dropSlots drops old slots; the old version's rates are needed a little longer than the slot itself.
func (e *Evidence) dropSlots(keep int64) {
	if keep <= e.firstSlot {
		return
	}
	e.firstSlot = keep
	drop := func(p cellKey, _ cell) bool { return p.slot != allTime && p.slot < keep-baselineSlots }
	for _, of := range e.byIncarnation {
		for p, c := range of {
			if drop(p, c) {
				delete(of, p)
			}
		}
	}
	for p, c := range e.totals {
		if drop(p, c) {
			delete(e.totals, p)
		}
	}
	for p := range e.slotScores {
		if p.slot < keep-1 {
			delete(e.slotScores, p)
		}
	}
}

// score adds one slot.
func (e *Evidence) score(s scores, route id.Pipeline, slot int64) scores {
	c := e.totals[cellKey{route, slot}]
	if c.newN == 0 {
		return s
	}
	var long, short cell
	for i := slot - baselineSlots; i <= slot+1; i++ {
		o := e.totals[cellKey{route, i}]
		add(&long, o)
		if i >= slot-1 {
			add(&short, o)
		}
	}
	if long.oldN < minBaseline {
		return s
	}
	fail := max(minFailRate, upperRate(long.oldFail, long.oldN), currentRate(short.oldFail, short.oldN))
	slow := max(minSlowRate, upperRate(long.oldSlow, long.oldTimed), currentRate(short.oldSlow, short.oldTimed))
	for i := range 3 {
		s[i] = max(0, s[i]+logLikelihoodRatio(c.newFail, c.newN, fail, max(badFailRates[i], min(3*fail, 0.9))))
		s[i+3] = max(0, s[i+3]+logLikelihoodRatio(c.newSlow, c.newTimed, slow, max(badSlowRates[i], min(2*slow, 0.9))))
	}
	return s
}

func add(to *cell, c cell) {
	for i, f := range to.fields() {
		*f += *c.fields()[i]
	}
}

// upperRate is a rate plus a margin of about two standard deviations.
func upperRate(k, n uint64) float64 {
	return (float64(k) + 1 + 2*math.Sqrt(float64(k))) / (float64(n) + 2)
}

// currentRate is the rate right now, so that a fault which both versions share is not held against the new
// one; with few results only what was seen counts.
func currentRate(k, n uint64) float64 {
	if k < 2 {
		return 0
	}
	return min(0.95, upperRate(k, n))
}

// logLikelihoodRatio is the log-likelihood ratio of k out of n between a bad and a good rate.
func logLikelihoodRatio(k, n uint64, good, bad float64) float64 {
	if n == 0 || bad < 1.5*good {
		return 0
	}
	return float64(k)*math.Log(bad/good) + float64(n-k)*math.Log((1-bad)/(1-good))
}

// Results returns how many results of the new and of the old version there are.
func (e *Evidence) Results() (fresh, old uint64) {
	all := e.totals[cellKey{"", allTime}]
	return all.newN, all.oldN
}

// LastScore returns the score of the last judgement.
func (e *Evidence) LastScore() float64 { return e.topScore }

// Complete reports whether there are enough results of the new version to give it more than a little traffic.
func (e *Evidence) Complete(enough uint64) bool {
	all := e.totals[cellKey{"", allTime}]
	if all.newN < enough || all.newTimed < enough/2 {
		return false
	}
	for _, route := range e.routes {
		c := e.totals[cellKey{route, allTime}]
		if c.oldN*routeTrafficDivisor >= all.oldN && c.newN < enough/routeResultsDivisor {
			return false
		}
	}
	return true
}
