package request

import (
	"time"

	"bluebellflow/core/admit"
	"bluebellflow/core/canary"
	"bluebellflow/core/claim"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/quarantine"
	"bluebellflow/core/route"
	"bluebellflow/core/settings"
	"bluebellflow/core/timerqueue"
)

type router interface {
	Place(now time.Time, attempt id.Attempt, q route.Query) (route.Choice, []event.Action)
	End(now time.Time, attempt id.Attempt, o route.Outcome) []event.Action
	Warm(server id.Server) bool
	InFlight(server id.Server) int
}

type queue interface {
	Offer(now time.Time, t admit.Task) admit.Decision
	Next(now time.Time, fits func(admit.Task) bool) (admit.Task, bool)
	Requeue(now time.Time, t admit.Task)
	Finish(r id.Request)
	Expired(now time.Time) []admit.Task
	Observe(p id.Pipeline, stage string, took time.Duration)
	Estimate(p id.Pipeline, stages []string) time.Duration
	TakeRetry(now time.Time, p id.Pipeline) bool
	RecordSuccess(p id.Pipeline)
}

type claims interface {
	Lookup(now time.Time, r claim.Request) []event.Action
	Ask(now time.Time, r claim.Request) []event.Action
	RecordOutcome(now time.Time, r id.Request, s claim.State, result []byte) []event.Action
}

type guard interface {
	Ask(now time.Time, r id.Request, fp id.Fingerprint) []event.Action
	RecordCrash(now time.Time, fp id.Fingerprint, server id.Server, start id.Start) []event.Action
	Finish(now time.Time, r id.Request, fp id.Fingerprint) []event.Action
	CrashCount(now time.Time, fp id.Fingerprint) uint64
}

type versions interface {
	Choose(now time.Time, pool id.Pool, fp id.Fingerprint, p id.Pipeline) id.Version
	Fallback(pool id.Pool) id.Version
	Loaded() bool
	Observe(now time.Time, s canary.Sample)
}

type settingsSource interface {
	Tree() *settings.Tree
	Revision() id.Revision
}

// Dependencies are the components that make decisions for Requests.
type Dependencies struct {
	Router   router
	Queue    queue
	Claims   claims
	Guard    guard // the crash guard of package quarantine
	Versions versions
	Settings settingsSource
}

// Requests is the table of the open requests of a node. It is not safe for concurrent use.
type Requests struct {
	self         event.Self
	deps         Dependencies
	open         map[id.Request]*openRequest
	attempts     map[id.Attempt]*attemptState
	waiting      map[id.Pool][]id.Request // requests that no server has room for, in order of arrival
	crashWatches map[id.Server][]crashWatch
	timers       timerqueue.Heap[id.Request] // timers of requests that have ended are ignored when they fire
	lastAttempt  id.Attempt
	serverStarts map[id.Server]id.Start // last known start identity of each server
	counters     Counters
	exitAt       time.Time // when the process exits whatever is open, zero if it is not stopping

	skipOrderCheck, keepAbandoned bool
}

// Counters are totals since the process started.
type Counters struct {
	Opened    uint64 `json:"opened"`    // requests accepted for processing
	Answered  uint64 `json:"answered"`  // complete answers
	Problems  uint64 `json:"problems"`  // final answers other than success
	Attempts  uint64 `json:"attempts"`  // dispatches
	Retries   uint64 `json:"retries"`   // dispatches after a failed attempt
	Hedges    uint64 `json:"hedges"`    // second attempts, sent while a slow one still runs
	Abandoned uint64 `json:"abandoned"` // messages of abandoned attempts that were discarded
	Gaps      uint64 `json:"gaps"`      // streams aborted because a part was missing
}

// New returns an empty request table.
func New(self event.Self, deps Dependencies, opts ...Option) *Requests {
	r := &Requests{
		self: self, deps: deps,
		open:         map[id.Request]*openRequest{},
		attempts:     map[id.Attempt]*attemptState{},
		waiting:      map[id.Pool][]id.Request{},
		crashWatches: map[id.Server][]crashWatch{},
		serverStarts: map[id.Server]id.Start{},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// SetExit sets when the process exits whatever is open. Requests that might last longer are refused from now on.
func (r *Requests) SetExit(at time.Time) { r.exitAt = at }

// OpenCount returns the number of requests without a final answer, and of answered ones whose action is still pending.
func (r *Requests) OpenCount() int { return len(r.open) }

// Counters returns the totals since the process started.
func (r *Requests) Counters() Counters { return r.counters }

// Next returns the time of the next timer, or the zero time if there is none.
func (r *Requests) Next() time.Time { return r.timers.Next() }

// Step handles one event.
func (r *Requests) Step(now time.Time, ev event.Event) []event.Action {
	var out actions
	switch ev := ev.(type) {
	case event.RequestArrived:
		r.handleArrive(now, ev, &out)
	case event.CallerDisconnected:
		r.handleDisconnect(now, ev.Request, &out)
	case event.AttemptOutput:
		r.handleOutput(now, ev, &out)
	case event.AttemptDone:
		r.handleDone(now, ev, &out)
	case event.AttemptFailed:
		r.handleFailed(now, ev, &out)
	case event.LoadReport:
		r.handleStart(now, ev.Server, ev.Start, &out)
	case event.LoadQueryFailed:
		r.handleServerDown(now, ev, &out)
	case route.Unreachable:
		r.handleUnreachable(now, ev.Server, &out)
	case member.ServerChanged:
		if ev.Server.Start != "" {
			r.handleStart(now, ev.Server.ID, ev.Server.Start, &out)
		}
	case member.ServerRemoved:
		delete(r.serverStarts, ev.Server)
		delete(r.crashWatches, ev.Server)
	case quarantine.Decided:
		r.handleGuardDecision(now, ev, &out)
	case claim.Decided:
		r.handleClaimDecision(now, ev, &out)
	case route.RetryPlacement:
		r.handleRoom(now, ev.Pool, &out)
		r.admitQueued(now, &out)
	case event.Tick:
		r.handleTick(now, &out)
	}
	return out
}

// actions collects the event.Action values of one step, as distinct from stages of kind settings.Action.
type actions []event.Action

func (a *actions) add(more ...event.Action) { *a = append(*a, more...) }

func (a *actions) log(kind string, o *openRequest, choice, reason string) {
	stage := ""
	if o.stage < len(o.plan.Stages) {
		stage = o.plan.Stages[o.stage].Name
	}
	a.add(event.Log{Kind: kind, Request: o.arrival.Request, Stage: stage, Choice: choice, Reason: reason})
}
