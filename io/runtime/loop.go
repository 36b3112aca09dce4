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
	// maxQueuedEvents is the queue length above which messages of peers are dropped and callers are refused.
	// Outcomes of the node's own actions are never dropped: the decision logic waits for them.
	maxQueuedEvents = 16384
	// maxLoggedEventBytes bounds the event that is logged with a panic, in bytes.
	maxLoggedEventBytes = 4096
)

// Decider is the decision logic of a node.
type Decider interface {
	Step(now time.Time, ev event.Event) []event.Action
	Next() time.Time
}

// Versions is implemented by a decider that stamps its messages with the newest configuration
// revision and domain-record version that it knows.
type Versions interface {
	Versions() (id.Revision, uint64)
}

// Platform carries out platform operations; *store.Client implements it.
type Platform interface{ Do(event.PlatformCall) }

// Servers reaches the backend servers; *backendapi.Client implements it.
type Servers interface {
	Dispatch(event.Dispatch)
	Cancel(event.Cancel)
	Order(event.Order)
	SetServers([]event.VM)
}

// Peers reaches the other nodes; *mesh.Mesh implements it.
type Peers interface {
	Send(s event.Send, revision id.Revision, domains uint64)
}

// Callers receives answers; *callers.Server implements it.
type Callers interface {
	Reply(event.Reply)
	SetReady(bool)
}

// Operators receives the answers to commands; *requestreply.Correlator implements it.
type Operators interface{ Complete(event.CommandResult) }

// Executor carries out the actions of the decision logic. Its method must not block; an error says that an action is
// unknown to it.
type Executor interface{ Execute(event.Action) error }

// Observer is implemented by a carrier that has to see an event before the decision logic does.
type Observer interface{ Observe(event.Event) }

// Executors carry out the actions of a node that serves pipelines.
type Executors struct {
	Platform  Platform
	Servers   Servers
	Peers     Peers
	Callers   Callers
	Operators Operators
	Versions  Versions // stamps messages to peers; nil for none
}

// Execute passes an action to its carrier.
func (c Executors) Execute(a event.Action) error {
	switch a := a.(type) {
	case event.Dispatch:
		c.Servers.Dispatch(a)
	case event.Cancel:
		c.Servers.Cancel(a)
	case event.Order:
		c.Servers.Order(a)
	case event.Reply:
		c.Callers.Reply(a)
	case event.Readiness:
		c.Callers.SetReady(a.Ready)
	case event.Send:
		revision, domains := c.versions()
		c.Peers.Send(a, revision, domains)
	case event.PlatformCall:
		c.Platform.Do(a)
	case event.CommandResult:
		c.Operators.Complete(a)
	default:
		return fmt.Errorf("action %s has no carrier", typename.Of(a))
	}
	return nil
}

// Observe tells the backend client which servers there are before any work is sent to them.
func (c Executors) Observe(ev event.Event) {
	if vms, ok := ev.(event.VMList); ok {
		c.Servers.SetServers(vms.List)
	}
}

func (c Executors) versions() (id.Revision, uint64) {
	if c.Versions == nil {
		return 0, 0
	}
	return c.Versions.Versions()
}

// StepPanic is a panic of the decision logic.
type StepPanic struct {
	Event event.Event
	Value any
	Stack []byte
}

// Error names the event in whose step the panic occurred.
func (p *StepPanic) Error() string {
	return fmt.Sprintf("panic in step of %s: %v", typename.Of(p.Event), p.Value)
}

// Loop steps the decision logic in one goroutine.
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

// WithClock replaces the machine's clock.
func WithClock(c Clock) LoopOption { return func(l *Loop) { l.clock = c } }

// WithLogger replaces the logger, which otherwise discards everything.
func WithLogger(logger *log.Logger) LoopOption { return func(l *Loop) { l.logger = logger } }

// WithVars counts steps and actions in the given map.
func WithVars(vars *expvar.Map) LoopOption { return func(l *Loop) { l.vars = vars } }

// NewLoop returns a loop. The carrier is set later with Carry, because it delivers to the loop.
func NewLoop(decider Decider, opts ...LoopOption) *Loop {
	l := &Loop{decider: decider, clock: SystemClock{}, vars: new(expvar.Map), wake: make(chan struct{}, 1)}
	for _, o := range opts {
		o(l)
	}
	l.logs = newLogWriter(l.logger, l.vars)
	return l
}

// SetExecutor sets who carries out the actions; it must be called before Run.
func (l *Loop) SetExecutor(c Executor) {
	l.executor = c
	l.observer, _ = c.(Observer)
}

// Deliver queues an event for the decision logic without blocking.
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

// Busy reports whether the queue is too long for new requests.
func (l *Loop) Busy() bool { return l.QueueLength() >= maxQueuedEvents }

func (l *Loop) takeQueue() []event.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.queue
	l.queue = nil
	return out
}

// Run steps the decision logic until it asks to exit, panics, or the context ends.
func (l *Loop) Run(ctx context.Context) error {
	l.logs.start()
	defer l.logs.stop()
	// The first step lets the decision logic start its own calls and timers.
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

// waitForEvent waits for the next event or timer; a timer that is due is stepped at once.
func (l *Loop) waitForEvent(ctx context.Context) (bool, error) {
	var timer <-chan time.Time
	if next := l.decider.Next(); !next.IsZero() {
		left := next.Sub(l.now())
		if left <= 0 {
			return l.step(event.Tick{})
		}
		expired, release := l.clock.After(left)
		defer release()
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

// now never goes back, even if the machine's clock is set back.
func (l *Loop) now() time.Time {
	if now := l.clock.Now(); now.After(l.lastNow) {
		l.lastNow = now
	}
	return l.lastNow
}

// step hands one event to the decision logic and carries out what it decides.
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
		if again, ok := event.IsInternal(a); ok {
			if exit, err = l.step(again); exit || err != nil {
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

func (l *Loop) recordStepTime(took time.Duration) {
	l.vars.Add("steps", 1)
	l.vars.Add("step_ns", took.Nanoseconds())
	if took > l.longestStep {
		l.vars.Add("step_ns_max", (took - l.longestStep).Nanoseconds())
		l.longestStep = took
	}
}

// execute carries an action out and reports whether it was Exit.
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

// Report logs an error of a carrier. Repeated errors are logged at a bounded rate and counted.
func (l *Loop) Report(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	l.logs.logError(err)
}

// formatEvent renders an event for the log of a panic.
func formatEvent(ev event.Event) string {
	raw, err := json.Marshal(ev)
	if err != nil {
		return fmt.Sprintf("%s, not encodable: %v", typename.Of(ev), err)
	}
	if len(raw) > maxLoggedEventBytes {
		return string(raw[:maxLoggedEventBytes]) + "…"
	}
	return string(raw)
}
