package runtime

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/typename"
)

const (
	// maxQueuedEvents is the queue length at which messages from peers are dropped and new requests are refused.
	// Outcomes of the node's own actions are never dropped, because the decision logic waits for them.
	maxQueuedEvents = 16384
	// maxLoggedEventBytes is the size at which an event logged with a panic is truncated.
	maxLoggedEventBytes = 4096
)

// Decider is the decision logic of a node.
type Decider interface {
	Step(now time.Time, ev event.Event) []event.Action
	Next() time.Time
}

// Versions is implemented by a Decider whose messages to peers carry the newest configuration revision and
// domain-record version that it knows.
type Versions interface {
	Versions() (id.Revision, uint64)
}

// Platform executes operations on the platform's object API; *store.Client implements it.
type Platform interface{ Do(event.PlatformCall) }

// Servers sends attempts and orders to the backend servers; *backend.Client implements it.
type Servers interface {
	Dispatch(event.Dispatch)
	Cancel(event.Cancel)
	Order(event.Order)
	SetServers([]event.VM)
}

// Peers sends messages to the other nodes; *mesh.Mesh implements it. domains is the version of the domain records.
type Peers interface {
	Send(s event.Send, revision id.Revision, domains uint64)
}

// Callers sends replies to callers and reports readiness; *callers.Server implements it.
type Callers interface {
	Reply(event.Reply)
	SetReady(bool)
}

// Operators receives the results of operators' commands; *requestreply.Correlator implements it.
type Operators interface{ Complete(event.CommandResult) }

// Executor executes the actions of the decision logic. Execute must not block; it returns an error for an action of
// unknown type.
type Executor interface{ Execute(event.Action) error }

// Observer is implemented by an Executor that must see each event before the decision logic does.
type Observer interface{ Observe(event.Event) }

// Executors executes the actions of a node that serves pipelines.
type Executors struct {
	Platform  Platform
	Servers   Servers
	Peers     Peers
	Callers   Callers
	Operators Operators
	Versions  Versions // versions sent with messages to peers, nil for none
}

// Execute passes an action to the component that executes it.
func (e Executors) Execute(a event.Action) error {
	switch a := a.(type) {
	case event.Dispatch:
		e.Servers.Dispatch(a)
	case event.Cancel:
		e.Servers.Cancel(a)
	case event.Order:
		e.Servers.Order(a)
	case event.Reply:
		e.Callers.Reply(a)
	case event.Readiness:
		e.Callers.SetReady(a.Ready)
	case event.Send:
		revision, domains := e.versions()
		e.Peers.Send(a, revision, domains)
	case event.PlatformCall:
		e.Platform.Do(a)
	case event.CommandResult:
		e.Operators.Complete(a)
	default:
		return fmt.Errorf("no executor for action %s", typename.Of(a))
	}
	return nil
}

// Observe passes a new VM list to the backend client before the decision logic can send work to those servers.
func (e Executors) Observe(ev event.Event) {
	if vms, ok := ev.(event.VMList); ok {
		e.Servers.SetServers(vms.List)
	}
}

func (e Executors) versions() (id.Revision, uint64) {
	if e.Versions == nil {
		return 0, 0
	}
	return e.Versions.Versions()
}

// StepPanic is the error for a panic of the decision logic.
type StepPanic struct {
	Event event.Event
	Value any
	Stack []byte
}

// Error returns the type of the event that was being handled and the panic value.
func (p *StepPanic) Error() string {
	return fmt.Sprintf("panic in step of %s: %v", typename.Of(p.Event), p.Value)
}

// Loop passes events to the decision logic and its actions to an Executor, all in one goroutine.
type Loop struct {
	decider  Decider
	clock    Clock
	executor Executor
	observer Observer // nil for none
	logger   *log.Logger
	logs     *logWriter
	vars     *expvar.Map

	mu    sync.Mutex
	queue []event.Event
	wake  chan struct{}

	lastNow     time.Time
	longestStep time.Duration
}

// LoopOption changes a loop's defaults.
type LoopOption func(*Loop)

// WithClock replaces SystemClock.
func WithClock(c Clock) LoopOption { return func(l *Loop) { l.clock = c } }

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(logger *log.Logger) LoopOption { return func(l *Loop) { l.logger = logger } }

// WithVars sets the map in which steps and errors are counted.
func WithVars(vars *expvar.Map) LoopOption { return func(l *Loop) { l.vars = vars } }

// NewLoop returns a loop. The executor is set later with SetExecutor, because it delivers events to the loop.
func NewLoop(decider Decider, opts ...LoopOption) *Loop {
	l := &Loop{decider: decider, clock: SystemClock{}, vars: new(expvar.Map), wake: make(chan struct{}, 1)}
	for _, o := range opts {
		o(l)
	}
	l.logs = newLogWriter(l.logger, l.vars)
	return l
}

// SetExecutor sets the executor of actions; it must be called before Run.
func (l *Loop) SetExecutor(executor Executor) {
	l.executor = executor
	l.observer, _ = executor.(Observer)
}

// Deliver queues an event for the decision logic without blocking. A message from a peer is dropped if the queue is full.
func (l *Loop) Deliver(ev event.Event) {
	_, fromPeer := ev.(event.Receive)
	l.mu.Lock()
	if fromPeer && len(l.queue) >= maxQueuedEvents {
		l.mu.Unlock()
		l.vars.Add("events_dropped", 1)
		return
	}
	l.queue = append(l.queue, ev)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// QueueLength returns the number of queued events.
func (l *Loop) QueueLength() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// Busy reports whether the queue is too long to accept new requests.
func (l *Loop) Busy() bool { return l.QueueLength() >= maxQueuedEvents }

// takeQueue removes and returns all queued events.
func (l *Loop) takeQueue() []event.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.queue
	l.queue = nil
	return out
}

// Run handles events until the decision logic returns event.Exit or panics, or the context ends.
func (l *Loop) Run(ctx context.Context) error {
	l.logs.start()
	defer l.logs.stop()
	// The initial Tick lets the decision logic start its first operations and timers.
	exit, err := l.step(event.Tick{})
	for err == nil && !exit {
		events := l.takeQueue()
		for _, ev := range events {
			if exit, err = l.step(ev); exit || err != nil {
				break
			}
		}
		if len(events) == 0 {
			exit, err = l.waitForEvent(ctx)
		}
	}
	return err
}

// waitForEvent waits until an event is queued or the decision logic's next timer expires, and steps an expired timer.
func (l *Loop) waitForEvent(ctx context.Context) (bool, error) {
	var timer <-chan time.Time
	if next := l.decider.Next(); !next.IsZero() {
		left := next.Sub(l.now())
		if left <= 0 {
			return l.step(event.Tick{})
		}
		expired, stopTimer := l.clock.After(left)
		defer stopTimer()
		timer = expired
	}
	select {
	case <-ctx.Done():
		return false, ctx.Err()
	case <-l.wake:
		return false, nil
	case <-timer:
		return l.step(event.Tick{})
	}
}

// now returns the current time. It never goes back, even if the system clock is set back.
func (l *Loop) now() time.Time {
	if now := l.clock.Now(); now.After(l.lastNow) {
		l.lastNow = now
	}
	return l.lastNow
}

// step passes one event to the decision logic and executes the resulting actions.
func (l *Loop) step(ev event.Event) (exit bool, err error) {
	defer func() {
		if value := recover(); value != nil {
			failure := &StepPanic{Event: ev, Value: value, Stack: debug.Stack()}
			l.logs.logPanic(failure)
			err = failure
		}
	}()
	if l.observer != nil {
		l.observer.Observe(ev)
	}
	now := l.now()
	begin := time.Now()
	actions := l.decider.Step(now, ev)
	l.recordStepTime(time.Since(begin))
	for _, a := range actions {
		if internal, ok := event.IsInternal(a); ok {
			if exit, err = l.step(internal); exit || err != nil {
				return exit, err
			}
			continue
		}
		if l.execute(a) {
			return true, nil
		}
	}
	return false, nil
}

func (l *Loop) recordStepTime(elapsed time.Duration) {
	l.vars.Add("steps", 1)
	l.vars.Add("step_ns", elapsed.Nanoseconds())
	if elapsed > l.longestStep {
		l.vars.Add("step_ns_max", (elapsed - l.longestStep).Nanoseconds())
		l.longestStep = elapsed
	}
}

// execute executes an action and reports whether it is Exit.
func (l *Loop) execute(a event.Action) bool {
	switch a := a.(type) {
	case event.Log:
		l.logs.logDecision(a)
	case event.Exit:
		return true
	default:
		if err := l.executor.Execute(a); err != nil {
			l.logs.logError(err)
		}
	}
	return false
}

// Report counts and logs an I/O error, with a limited rate of log lines. It ignores context.Canceled.
func (l *Loop) Report(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	l.logs.logError(err)
}

// formatEvent returns an event as JSON, truncated to maxLoggedEventBytes, for the log line of a panic.
func formatEvent(ev event.Event) string {
	raw, err := json.Marshal(ev)
	if err != nil {
		return fmt.Sprintf("%s, cannot be encoded: %v", typename.Of(ev), err)
	}
	if len(raw) > maxLoggedEventBytes {
		return string(raw[:maxLoggedEventBytes]) + "…"
	}
	return string(raw)
}
