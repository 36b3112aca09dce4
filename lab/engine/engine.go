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

// leavingGrace is the time after which a leaving engine should get no new attempts.
const leavingGrace = 3 * time.Second

// Engine is one model runner.
type Engine struct {
	name        id.Server
	profile     Profile
	checkFences bool // checks the fences of orders

	mu              sync.Mutex
	rng             *rand.Rand
	defects         map[id.Version]Defect
	readyAt         map[id.Version]time.Time // when a loaded version can be used
	current         id.Version
	fence           uint64
	starts          int
	start           id.Start
	downUntil       time.Time // connections are reset until then
	warm            bool
	warmupReset     bool
	coldLimit       int // attempts in flight that a cold engine bears now
	coldCompletions int // completions since bears was raised
	leavingSince    time.Time
	refusing        bool // a leaving engine that takes no attempts any more
	running         []*sequence
	waiting         []*sequence
	byID            map[string]*sequence
	cache           *cache
	reports         []backendapi.LoadReport
	faults          Faults
	counts          Counts
	versions        map[id.Version]VersionCounts
	wake            chan struct{}
	stop            chan struct{}
	done            chan struct{}
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
	return func(e *Engine) { e.checkFences = true }
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
		defects:  map[id.Version]Defect{},
		readyAt:  map[id.Version]time.Time{version: {}},
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
	e.newStartLocked()
	if e.warm {
		e.coldLimit = e.profile.MaxBatch
	}
	e.recordLoadLocked()
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
	e.breakAttemptsLocked()
	e.mu.Unlock()
	<-e.done
}

// newStartLocked gives the engine a new start identity.
func (e *Engine) newStartLocked() {
	e.starts++
	e.start = id.Start(fmt.Sprintf("%s-%d", e.name, e.starts))
	e.cache.clear()
	e.coldLimit = e.profile.ColdLimit
	e.coldCompletions = 0
}

// breakAttemptsLocked breaks every attempt in flight.
func (e *Engine) breakAttemptsLocked() {
	for _, s := range append(e.running, e.waiting...) {
		e.countWasteLocked(s)
		e.counts.Broken++
		s.finish(broken)
	}
	e.running, e.waiting = nil, nil
	clear(e.byID)
}

// restartLocked breaks all attempts and starts the engine cold with a new identity.
func (e *Engine) restartLocked() {
	e.breakAttemptsLocked()
	e.warm, e.warmupReset = false, false
	e.leavingSince, e.refusing = time.Time{}, false
	e.downUntil = time.Now().Add(e.profile.RestartTime)
	e.newStartLocked()
	e.recordLoadLocked()
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
	e.warm, e.warmupReset = false, true
	e.coldLimit, e.coldCompletions = e.profile.ColdLimit, 0
	e.cache.clear()
	e.recordLoadLocked()
}

// Leave announces that the engine leaves; with refuse it also takes no new attempts.
func (e *Engine) Leave(refuse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leavingSince.IsZero() {
		e.leavingSince = time.Now()
	}
	e.refusing = refuse
	e.recordLoadLocked()
}

// SetDefect says how a version is bad.
func (e *Engine) SetDefect(v id.Version, b Defect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.defects[v] = b
}

// SetFaults replaces the faults; going down breaks all attempts.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Down {
		e.breakAttemptsLocked()
		e.recordLoadLocked()
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

// recordLoadLocked keeps a load report, so that callers see it after the lag.
func (e *Engine) recordLoadLocked() {
	now := time.Now()
	e.reports = append(e.reports, backendapi.LoadReport{
		Start: e.start, Version: e.current, Running: len(e.running), Waiting: len(e.waiting),
		Limit: e.profile.MaxBatch, Warm: e.warm, Leaving: !e.leavingSince.IsZero(), At: now.UnixMilli(),
	})
	e.pruneReportsLocked(now)
}

// pruneReportsLocked drops the reports that are older than the one that callers see.
func (e *Engine) pruneReportsLocked(now time.Time) {
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
	e.pruneReportsLocked(now)
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
		if e.checkFences {
			return false
		}
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case backendapi.OrderLoad:
		if _, ok := e.readyAt[o.Version]; !ok {
			e.readyAt[o.Version] = time.Now().Add(e.profile.LoadTime)
		}
		e.current = o.Version
	case backendapi.OrderUnload:
		e.unloadLocked(o.Version)
	}
	e.recordLoadLocked()
	return true
}

// unloadLocked removes a version unless it is the last one.
func (e *Engine) unloadLocked(v id.Version) {
	if len(e.readyAt) < 2 {
		return
	}
	delete(e.readyAt, v)
	if e.current != v {
		return
	}
	for other := range e.readyAt {
		if e.current == v || other < e.current {
			e.current = other
		}
	}
}
