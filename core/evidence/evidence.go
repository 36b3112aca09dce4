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
	baselineSlots = 15 // slots over which the old version's rates are measured
	allTime       = -1 // slot number of the totals
	latencyWindow = 64 // latencies of the old version kept per route and load bin
	minBaseline   = 16 // results of the old version needed for a comparison
	loadBins      = 6
	maxRoutes     = 64 // routes scored separately; results of further routes count only towards all routes together
	// slowFactor is the multiple of the old version's upper quartile at the same load above which a result is slow. In a
	// typical latency distribution this holds for about one result in ten.
	slowFactor = 1.3
	// coldFactor multiplies the latency limit on a cold server. New servers of a good version start cold and take about
	// twice as long; the old version's servers are warm, so their latencies are no baseline for a cold server.
	coldFactor = 3
	// Lower bounds of the old version's rates, because lower rates cannot be measured on little traffic.
	minFailRate = 0.02
	minSlowRate = 0.12
	// minRejectRate is higher than minFailRate, because sound servers reject what comes in a burst.
	minRejectRate = 0.05
	// EnoughResults is the number of results of the new version that makes the evidence complete if there is enough
	// traffic to wait for them.
	EnoughResults = 100
	// Each route with at least a tenth of the old version's traffic needs a fifth of the results that are needed in total.
	routeTrafficDivisor = 10
	routeResultsDivisor = 5
)

// BadScore is the score at which a version is bad. It bounds the probability that a test raises a false
// alarm from any given result on to exp(-10), one in 22,000, and aims to stop at most one good version in
// 200 over a rollout of about 3,000 results. In 1,000 simulated rollouts of good versions, a score of 9
// stopped one and a score of 10 none. Each further point lets a bad version serve about one more result.
const BadScore = 10.0

// The rates of failures, slow results and rejections of a bad version that the tests compare with the old version's rates.
var (
	badFailRates   = [3]float64{0.08, 0.3, 0.9}
	badSlowRates   = [3]float64{0.35, 0.6, 0.9}
	badRejectRates = [3]float64{0.2, 0.5, 0.9}
)

// cell counts the results of both versions on a route in a slot. No field ever decreases.
type cell struct {
	newN, newFail, newTimed, newSlow uint64
	oldN, oldFail, oldTimed, oldSlow uint64
	newRejected, oldRejected         uint64 // not among the results
}

func (c *cell) fields() [countersPerCell]*uint64 {
	return [countersPerCell]*uint64{
		&c.newN, &c.newFail, &c.newTimed, &c.newSlow, &c.oldN, &c.oldFail, &c.oldTimed, &c.oldSlow, &c.newRejected, &c.oldRejected,
	}
}

// cellKey identifies a cell by route and slot. The empty route stands for all routes together.
type cellKey struct {
	route id.Pipeline
	slot  int64
}

// scores are CUSUM statistics: cumulative sums of log-likelihood ratios that never fall below zero, so that
// a version that turns bad late is detected as fast as one that is bad from the start. The first three test
// for failures, the next for slow results, the last for rejections.
type scores [9]float64

// Sample is the result of one attempt.
type Sample struct {
	Route  id.Pipeline
	Took   time.Duration
	Failed bool
	// Rejected is set if the server did not run the attempt although nothing shows that it had to reject it. Such an attempt
	// is no result.
	Rejected bool
	Load     int  // attempts in flight at the server when this one was sent
	Cold     bool // whether the server was cold at that time
}

// Cell carries the sender's counters for a route and slot.
type Cell struct {
	Route id.Pipeline `protobuf:"bytes,1,opt,name=route"`
	Slot  int64       `protobuf:"varint,2,opt,name=slot"`
	Count []uint64    `protobuf:"varint,3,rep,name=count"`
}

// Limits on messages from peers.
const (
	// MaxCells is the maximum number of cells in a message.
	MaxCells        = 1024
	maxText         = 256
	maxCount        = 1 << 40
	countersPerCell = 10
	// minCounters is the number of counters that earlier builds send.
	minCounters = 8
)

// Check reports a malformed cell.
func (c Cell) Check() error {
	if len(c.Count) < minCounters || len(c.Count) > countersPerCell || len(c.Route) > maxText || c.Slot < allTime {
		return errors.New("evidence: malformed cell")
	}
	for _, n := range c.Count {
		if n > maxCount {
			return errors.New("evidence: counter out of range")
		}
	}
	return nil
}

// Evidence accumulates the results of all nodes and compares the two versions of a rollout.
type Evidence struct {
	byIncarnation map[id.Incarnation]map[cellKey]cell
	totals        map[cellKey]cell
	slotScores    map[cellKey]scores // scores at the end of each slot
	firstSlot     int64              // oldest slot kept
	scoredSlot    int64              // slots up to this one need no new score
	baselines     map[binKey]*baseline
	routes        []id.Pipeline // sorted
	topScore      float64
	topRoute      id.Pipeline
}

type binKey struct {
	route id.Pipeline
	bin   int
}

// baseline holds the latest latencies of the old version on a route in a load bin.
type baseline struct {
	latencies   []time.Duration
	next        int           // index of the oldest latency once the window is full
	sinceUpdate int           // latencies added since limit was computed
	limit       time.Duration // latency above which a result is slow, 0 if not known yet
}

// New returns evidence for a rollout that begins now.
func New(now time.Time) *Evidence {
	return &Evidence{
		firstSlot:     slotOf(now),
		byIncarnation: map[id.Incarnation]map[cellKey]cell{}, totals: map[cellKey]cell{},
		slotScores: map[cellKey]scores{}, baselines: map[binKey]*baseline{},
	}
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(slotLength) }

func (b *baseline) add(took time.Duration) {
	if len(b.latencies) < latencyWindow {
		b.latencies = append(b.latencies, took)
	} else {
		b.latencies[b.next] = took
		b.next = (b.next + 1) % latencyWindow
	}
	if b.sinceUpdate++; b.sinceUpdate >= minBaseline/2 && len(b.latencies) >= minBaseline {
		sorted := slices.Sorted(slices.Values(b.latencies))
		b.limit = time.Duration(slowFactor * float64(sorted[len(sorted)*3/4]))
		b.sinceUpdate = 0
	}
}

// binOf returns the bin of a load: its base-2 logarithm, at most loadBins-1.
func binOf(load int) int {
	bin := 0
	for load > 1 && bin < loadBins-1 {
		load /= 2
		bin++
	}
	return bin
}

// limit returns the latency above which a result is slow. It derives from the old version's latencies in the same
// load bin, or in the next higher bin with a baseline. It returns false if the old version has had no such load.
func (e *Evidence) limit(route id.Pipeline, load int) (time.Duration, bool) {
	for bin := binOf(load); bin < loadBins; bin++ {
		if b := e.baselines[binKey{route, bin}]; b != nil && b.limit > 0 {
			return b.limit, true
		}
	}
	return 0, false
}

// Observe counts a result that the node of the given incarnation has observed.
func (e *Evidence) Observe(now time.Time, inc id.Incarnation, s Sample, isNew bool) {
	if s.Rejected {
		d := cell{oldRejected: 1}
		if isNew {
			d = cell{newRejected: 1}
		}
		e.count(now, inc, s.Route, d)
		return
	}
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
	case comparable: // failures always count, latencies only if there is a limit to compare them with
		*timed = 1
		if s.Took > limit {
			*slow = 1
		}
	}
	e.count(now, inc, s.Route, d)
}

// count adds counters of a route to those of an incarnation.
func (e *Evidence) count(now time.Time, inc id.Incarnation, route id.Pipeline, d cell) {
	slot := slotOf(now)
	for _, key := range [4]cellKey{{"", slot}, {route, slot}, {"", allTime}, {route, allTime}} {
		c := e.byIncarnation[inc][key]
		for i, f := range c.fields() {
			*f += *d.fields()[i]
		}
		e.merge(now, inc, key, c)
	}
}

// Cells returns the totals and the latest slots of an incarnation. They are sent repeatedly because messages can be lost.
func (e *Evidence) Cells(now time.Time, inc id.Incarnation) []Cell {
	var out []Cell
	for key, c := range e.byIncarnation[inc] {
		if key.slot != allTime && key.slot < slotOf(now)-2 {
			continue
		}
		var count []uint64
		for _, f := range c.fields() {
			count = append(count, *f)
		}
		out = append(out, Cell{Route: key.route, Slot: key.slot, Count: count})
	}
	slices.SortFunc(out, func(a, b Cell) int { return cmp.Or(cmp.Compare(a.Slot, b.Slot), cmp.Compare(a.Route, b.Route)) })
	return out[:min(len(out), MaxCells)]
}

// Merge adds the counters received from another incarnation.
func (e *Evidence) Merge(now time.Time, inc id.Incarnation, cells []Cell) {
	for _, c := range cells {
		var in cell
		for i, n := range c.Count {
			*in.fields()[i] = n
		}
		e.merge(now, inc, cellKey{c.Route, c.Slot}, in)
	}
}

// merge raises the counters of a cell to those received; counters that are not higher have no effect.
func (e *Evidence) merge(now time.Time, inc id.Incarnation, key cellKey, c cell) {
	if key.slot != allTime && (key.slot < e.firstSlot || key.slot > slotOf(now)+2) {
		return // too old, or from a node whose clock is far ahead
	}
	if !e.trackRoute(key.route) {
		return
	}
	cells := e.byIncarnation[inc]
	if cells == nil {
		cells = map[cellKey]cell{}
		e.byIncarnation[inc] = cells
	}
	old := cells[key]
	if old == c {
		return // counters are sent repeatedly
	}
	sum := e.totals[key]
	for i, f := range old.fields() {
		if v := *c.fields()[i]; v > *f {
			*sum.fields()[i] += v - *f
			*f = v
			if key.slot != allTime {
				e.scoredSlot = min(e.scoredSlot, key.slot-2) // the slot before is compared with this one too
			}
		}
	}
	cells[key], e.totals[key] = old, sum
}

// trackRoute adds a route to those scored separately. It returns false if there are too many.
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

// Evaluate returns the highest score and its route. It scores only new slots and those affected by new counters.
func (e *Evidence) Evaluate(now time.Time) (float64, id.Pipeline) {
	last := slotOf(now) + 2 // clocks of other nodes may be ahead
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

// dropSlots drops the slots before keep. Their counters stay for another baselineSlots slots, as the baseline of later ones.
func (e *Evidence) dropSlots(keep int64) {
	if keep <= e.firstSlot {
		return
	}
	e.firstSlot = keep
	drop := func(key cellKey, _ cell) bool { return key.slot != allTime && key.slot < keep-baselineSlots }
	for _, cells := range e.byIncarnation {
		for key, c := range cells {
			if drop(key, c) {
				delete(cells, key)
			}
		}
	}
	for key, c := range e.totals {
		if drop(key, c) {
			delete(e.totals, key)
		}
	}
	for key := range e.slotScores {
		if key.slot < keep-1 {
			delete(e.slotScores, key)
		}
	}
}

// score returns the scores after a slot, given those before it.
func (e *Evidence) score(s scores, route id.Pipeline, slot int64) scores {
	c := e.totals[cellKey{route, slot}]
	if c.newN+c.newRejected == 0 {
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
	rejected := max(minRejectRate, upperRate(long.oldRejected, long.oldN+long.oldRejected), currentRate(short.oldRejected, short.oldN+short.oldRejected))
	for i := range 3 {
		s[i] = max(0, s[i]+logLikelihoodRatio(c.newFail, c.newN, fail, max(badFailRates[i], min(3*fail, 0.9))))
		s[i+3] = max(0, s[i+3]+logLikelihoodRatio(c.newSlow, c.newTimed, slow, max(badSlowRates[i], min(2*slow, 0.9))))
		s[i+6] = max(0, s[i+6]+logLikelihoodRatio(c.newRejected, c.newN+c.newRejected, rejected, max(badRejectRates[i], min(2*rejected, 0.9))))
	}
	return s
}

func add(to *cell, c cell) {
	for i, f := range to.fields() {
		*f += *c.fields()[i]
	}
}

// upperRate estimates the rate of k out of n, plus a margin of about two standard deviations.
func upperRate(k, n uint64) float64 {
	return (float64(k) + 1 + 2*math.Sqrt(float64(k))) / (float64(n) + 2)
}

// currentRate returns the upper rate of the old version in the slot and its neighbours, so that a fault which both
// versions share does not count against the new one. It returns 0 for fewer than two failed or slow results.
func currentRate(k, n uint64) float64 {
	if k < 2 {
		return 0
	}
	return min(0.95, upperRate(k, n))
}

// logLikelihoodRatio returns the log-likelihood ratio of k out of n between a bad and a good rate. It returns 0 if the
// rates are too close to tell apart.
func logLikelihoodRatio(k, n uint64, good, bad float64) float64 {
	if n == 0 || bad < 1.5*good {
		return 0
	}
	return float64(k)*math.Log(bad/good) + float64(n-k)*math.Log((1-bad)/(1-good))
}

// Results returns the number of results of the new and of the old version.
func (e *Evidence) Results() (newN, oldN uint64) {
	all := e.totals[cellKey{"", allTime}]
	return all.newN, all.oldN
}

// LastScore returns the highest score of the last call to Evaluate.
func (e *Evidence) LastScore() float64 { return e.topScore }

// Complete reports whether there are enough results of the new version, in total and on each route with much traffic,
// to give it more than a small share.
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
