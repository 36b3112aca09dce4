package engine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/lab/backendapi"
)

// leavingBound is the time after which a leaving engine should get no new attempts.
const leavingBound = 3 * time.Second

// Engine is one model runner.
type Engine struct {
	name    id.Server
	profile Profile
	fenced  bool // checks the fences of orders

	mu       sync.Mutex
	rng      *rand.Rand
	bad      map[id.Version]Defect
	ready    map[id.Version]time.Time // when a loaded version can be used
	current  id.Version
	fence    uint64
	starts   int
	start    id.Start
	down     time.Time // connections are reset until then
	warm     bool
	chilled  bool
	bears    int // attempts in flight that a cold engine bears now
	round    int // completions since bears was raised
	leaving  time.Time
	refuse   bool // a leaving engine that takes no attempts any more
	running  []*sequence
	waiting  []*sequence
	byID     map[string]*sequence
	cache    *cache
	reports  []backendapi.LoadReport
	faults   Faults
	counts   Counts
	versions map[id.Version]VersionCounts
	wake     chan struct{}
	stop     chan struct{}
	done     chan struct{}
}

// Option changes a new engine.
type Option func(*Engine)

// WithProfile sets the figures of the engine.
func WithProfile(p Profile) Option {
	return func(e *Engine) { e.profile = p }
}

// WithSeed sets the seed of the faults that strike a share of the attempts.
func WithSeed(seed uint64) Option {
	return func(e *Engine) { e.rng = rand.New(rand.NewPCG(seed, 0)) }
}

// WithFences makes the engine refuse orders with an old fence.
func WithFences() Option {
	return func(e *Engine) { e.fenced = true }
}

// WithWarm starts the engine warm.
func WithWarm() Option {
	return func(e *Engine) { e.warm = true }
}

// New returns a running engine that has one version loaded; Close ends it.
func New(name id.Server, version id.Version, opts ...Option) *Engine {
	e := &Engine{
		name:     name,
		profile:  ProfileOf(Generate),
		rng:      rand.New(rand.NewPCG(1, 0)),
		bad:      map[id.Version]Defect{},
		ready:    map[id.Version]time.Time{version: {}},
		current:  version,
		byID:     map[string]*sequence{},
		versions: map[id.Version]VersionCounts{},
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	for _, o := range opts {
		o(e)
	}
	e.cache = newCache(e.profile)
	e.beginLocked()
	if e.warm {
		e.bears = e.profile.MaxBatch
	}
	e.recordLocked()
	go e.loop()
	return e
}

// Close breaks all attempts and ends the engine.
func (e *Engine) Close() {
	e.mu.Lock()
	select {
	case <-e.stop:
	default:
		close(e.stop)
	}
	e.breakLocked()
	e.mu.Unlock()
	<-e.done
}

// beginLocked gives the engine a new start identity.
func (e *Engine) beginLocked() {
	e.starts++
	e.start = id.Start(fmt.Sprintf("%s-%d", e.name, e.starts))
	e.cache.clear()
	e.bears = e.profile.ColdLimit
	e.round = 0
}

// breakLocked breaks every attempt in flight.
func (e *Engine) breakLocked() {
	for _, s := range append(e.running, e.waiting...) {
		e.wasteLocked(s)
		e.counts.Broken++
		s.finish(endBroken)
	}
	e.running, e.waiting = nil, nil
	clear(e.byID)
}

// restartLocked breaks all attempts and starts the engine cold with a new identity.
func (e *Engine) restartLocked() {
	e.breakLocked()
	e.warm, e.chilled = false, false
	e.leaving, e.refuse = time.Time{}, false
	e.down = time.Now().Add(e.profile.RestartTime)
	e.beginLocked()
	e.recordLocked()
}

// Restart restarts the engine without notice, as after a crash of its process.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Restarts++
	e.restartLocked()
}

// ResetWarmup makes the engine cold under the same start identity and breaks nothing.
func (e *Engine) ResetWarmup() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warm, e.chilled = false, true
	e.bears, e.round = e.profile.ColdLimit, 0
	e.cache.clear()
	e.recordLocked()
}

// Leave announces that the engine leaves; with refuse it also takes no new attempts.
func (e *Engine) Leave(refuse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving.IsZero() {
		e.leaving = time.Now()
	}
	e.refuse = refuse
	e.recordLocked()
}

// SetDefect says how a version is bad.
func (e *Engine) SetDefect(v id.Version, b Defect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bad[v] = b
}

// SetFaults replaces the faults; going down breaks all attempts.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Down {
		e.breakLocked()
		e.recordLocked()
	}
}

// Faults returns the faults in force.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Counts returns the work so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Versions = make(map[string]VersionCounts, len(e.versions))
	for v, n := range maps.All(e.versions) {
		c.Versions[string(v)] = n
	}
	return c
}

// Start returns the present start identity.
func (e *Engine) Start() id.Start {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.start
}

// recordLocked keeps a load report, so that callers see it after the lag.
func (e *Engine) recordLocked() {
	now := time.Now()
	e.reports = append(e.reports, backendapi.LoadReport{
		Start: e.start, Version: e.current, Running: len(e.running), Waiting: len(e.waiting),
		Limit: e.profile.MaxBatch, Warm: e.warm, Leaving: !e.leaving.IsZero(), At: now.UnixMilli(),
	})
	e.pruneLocked(now)
}

// pruneLocked drops the reports that are older than the one that callers see.
func (e *Engine) pruneLocked(now time.Time) {
	seen := now.Add(-e.profile.LoadReportLag).UnixMilli()
	for len(e.reports) > 1 && e.reports[1].At <= seen {
		e.reports = e.reports[1:]
	}
}

// Load returns the load report that callers see.
func (e *Engine) Load() backendapi.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.pruneLocked(now)
	report := e.reports[0]
	report.At = max(report.At, now.Add(-e.profile.LoadReportLag).UnixMilli())
	return report
}

// ApplyOrder carries out an order and reports whether its fence was new enough.
func (e *Engine) ApplyOrder(o backendapi.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		e.counts.StaleOrders++
		if e.fenced {
			return false
		}
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case backendapi.OrderLoad:
		if _, ok := e.ready[o.Version]; !ok {
			e.ready[o.Version] = time.Now().Add(e.profile.LoadTime)
		}
		e.current = o.Version
	case backendapi.OrderUnload:
		e.unloadLocked(o.Version)
	}
	e.recordLocked()
	return true
}

// unloadLocked removes a version unless it is the last one.
func (e *Engine) unloadLocked(v id.Version) {
	if len(e.ready) < 2 {
		return
	}
	delete(e.ready, v)
	if e.current != v {
		return
	}
	for other := range e.ready {
		if e.current == v || other < e.current {
			e.current = other
		}
	}
}
