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

// leavingGrace is the time after which attempts that still arrive at a leaving engine count as LeavingArrivals.
const leavingGrace = 3 * time.Second

// Engine is one simulated model runner.
type Engine struct {
	name        id.Server
	profile     Profile
	checkFences bool // rejects orders with a stale fence

	mu              sync.Mutex
	rng             *rand.Rand
	defects         map[id.Version]Defect
	readyAt         map[id.Version]time.Time // time at which a loaded version becomes usable
	current         id.Version
	fence           uint64
	starts          int
	start           id.Start
	downUntil       time.Time // connections are reset until this time
	warm            bool
	warmupReset     bool // cold because of ResetWarmup, not of a restart
	coldLimit       int  // attempts in flight above which a cold engine crashes
	coldCompletions int  // completions since coldLimit was last raised
	leavingSince    time.Time
	refusing        bool // rejects new attempts while leaving
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

// Option configures an engine.
type Option func(*Engine)

// WithProfile sets the performance profile of the engine.
func WithProfile(p Profile) Option {
	return func(e *Engine) { e.profile = p }
}

// WithSeed sets the seed of the random numbers that select which attempts a fault affects.
func WithSeed(seed uint64) Option {
	return func(e *Engine) { e.rng = rand.New(rand.NewPCG(seed, 0)) }
}

// WithFences makes the engine reject orders with a stale fence.
func WithFences() Option {
	return func(e *Engine) { e.checkFences = true }
}

// WithWarm makes the engine start warm.
func WithWarm() Option {
	return func(e *Engine) { e.warm = true }
}

// New starts an engine with one loaded version; Close stops it.
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

// Close breaks all attempts in flight and stops the engine.
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

// newStartLocked gives the engine a new start ID, an empty cache and the initial cold limit.
func (e *Engine) newStartLocked() {
	e.starts++
	e.start = id.Start(fmt.Sprintf("%s-%d", e.name, e.starts))
	e.cache.clear()
	e.coldLimit = e.profile.ColdLimit
	e.coldCompletions = 0
}

// breakAttemptsLocked breaks all attempts in flight.
func (e *Engine) breakAttemptsLocked() {
	for _, s := range append(e.running, e.waiting...) {
		e.countWasteLocked(s)
		e.counts.Broken++
		s.finish(broken)
	}
	e.running, e.waiting = nil, nil
	clear(e.byID)
}

// restartLocked breaks all attempts and restarts the engine cold with a new start ID.
func (e *Engine) restartLocked() {
	e.breakAttemptsLocked()
	e.warm, e.warmupReset = false, false
	e.leavingSince, e.refusing = time.Time{}, false
	e.downUntil = time.Now().Add(e.profile.RestartTime)
	e.newStartLocked()
	e.recordLoadLocked()
}

// Restart restarts the engine without prior notice, as after a process crash.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Restarts++
	e.restartLocked()
}

// ResetWarmup makes the engine cold and empties its cache, without a new start ID and without breaking attempts.
func (e *Engine) ResetWarmup() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warm, e.warmupReset = false, true
	e.coldLimit, e.coldCompletions = e.profile.ColdLimit, 0
	e.cache.clear()
	e.recordLoadLocked()
}

// Leave marks the engine as leaving; with refuse it also rejects new attempts.
func (e *Engine) Leave(refuse bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leavingSince.IsZero() {
		e.leavingSince = time.Now()
	}
	e.refusing = refuse
	e.recordLoadLocked()
}

// SetDefect sets the defect of a version.
func (e *Engine) SetDefect(v id.Version, d Defect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.defects[v] = d
}

// SetFaults replaces the injected faults; Down breaks all attempts in flight.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Down {
		e.breakAttemptsLocked()
		e.recordLoadLocked()
	}
}

// Faults returns the injected faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Counts returns the current counters.
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

// Start returns the current start ID.
func (e *Engine) Start() id.Start {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.start
}

// recordLoadLocked stores a load report, which becomes visible to callers after the report lag.
func (e *Engine) recordLoadLocked() {
	now := time.Now()
	e.reports = append(e.reports, backendapi.LoadReport{
		Start: e.start, Version: e.current, Running: len(e.running), Waiting: len(e.waiting),
		Limit: e.profile.MaxBatch, Warm: e.warm, Leaving: !e.leavingSince.IsZero(), At: now.UnixMilli(),
	})
	e.pruneReportsLocked(now)
}

// pruneReportsLocked drops the reports that are older than the one visible to callers.
func (e *Engine) pruneReportsLocked(now time.Time) {
	visible := now.Add(-e.profile.LoadReportLag).UnixMilli()
	for len(e.reports) > 1 && e.reports[1].At <= visible {
		e.reports = e.reports[1:]
	}
}

// Load returns the load report visible to callers, which lags behind the current load.
func (e *Engine) Load() backendapi.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.pruneReportsLocked(now)
	report := e.reports[0]
	report.At = max(report.At, now.Add(-e.profile.LoadReportLag).UnixMilli())
	return report
}

// ApplyOrder applies an order. It returns false for an order rejected because of a stale fence.
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

// unloadLocked removes a version unless it is the last one. If it was current, the lowest remaining version becomes current.
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
