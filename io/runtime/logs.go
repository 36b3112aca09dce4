package runtime

import (
	"expvar"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"bluebellflow/core/event"
)

const (
	// logQueueSize bounds the lines that wait for the log's output.
	logQueueSize = 4096
	// errorsPerSecond and reportBurst bound the logged errors of carriers: a backend server that is
	// down fails several polls a second.
	errorsPerSecond = 5
	errorBurst      = 20
	// linesPerSecond and lineBurst bound the lines of decisions. A gateway that serves a hundred requests a second writes
	// about five hundred; more cost it the processor time that its callers need.
	linesPerSecond = 1000
	lineBurst      = 2 * logQueueSize
	// logFlushTimeout is how long the end of a process waits for a blocked log output.
	logFlushTimeout = 2 * time.Second
)

// logWriter writes log lines in a goroutine of its own, because a blocked standard error must not
// hold up the decision logic. Lines beyond the queue are dropped and counted.
type logWriter struct {
	logger       *log.Logger
	vars         *expvar.Map
	errorLimiter *rate.Limiter // of errors
	lineLimiter  *rate.Limiter // of decisions
	lines        chan func()
	stopOnce     sync.Once
	stopping     chan struct{}
	done         chan struct{}

	suppressed atomic.Int64 // decisions without a line since the last one that had one
}

func newLogWriter(logger *log.Logger, vars *expvar.Map) *logWriter {
	if logger == nil {
		logger = log.New(io.Discard)
	}
	return &logWriter{
		logger: logger, vars: vars, errorLimiter: rate.NewLimiter(errorsPerSecond, errorBurst),
		lineLimiter: rate.NewLimiter(linesPerSecond, lineBurst),
		lines:       make(chan func(), logQueueSize), stopping: make(chan struct{}), done: make(chan struct{}),
	}
}

func (w *logWriter) start() {
	go func() {
		defer close(w.done)
		for {
			select {
			case write := <-w.lines:
				write()
			case <-w.stopping:
				w.drain()
				return
			}
		}
	}()
}

// drain writes what is queued when the loop ends.
func (w *logWriter) drain() {
	for {
		select {
		case write := <-w.lines:
			write()
		default:
			return
		}
	}
}

func (w *logWriter) stop() {
	w.stopOnce.Do(func() { close(w.stopping) })
	timer := time.NewTimer(logFlushTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *logWriter) enqueue(write func()) {
	select {
	case w.lines <- write:
	default:
		w.vars.Add("log_lines_dropped", 1)
	}
}

// logDecision logs a decision, within the budget of lines. The first line after others were left out says how many.
func (w *logWriter) logDecision(a event.Log) {
	if !w.lineLimiter.Allow() {
		w.vars.Add("log_lines_suppressed", 1)
		w.suppressed.Add(1)
		return
	}
	if missing := w.suppressed.Swap(0); missing > 0 {
		w.enqueue(func() { w.logger.Warn("log", "choice", "suppress", "lines", missing) })
	}
	w.enqueue(func() {
		w.logger.Info(a.Kind, "request", a.Request, "stage", a.Stage, "choice", a.Choice, "reason", a.Reason)
	})
}

func (w *logWriter) logError(err error) {
	w.vars.Add("errors", 1)
	if !w.errorLimiter.Allow() {
		return
	}
	w.enqueue(func() { w.logger.Warn("carrier", "error", err) })
}

// logPanic logs a failed step. It waits for room in the queue, because the process ends after it.
func (w *logWriter) logPanic(p *StepPanic) {
	timer := time.NewTimer(logFlushTimeout)
	defer timer.Stop()
	write := func() {
		w.logger.Error("panic in step", "panic", p.Value, "event", formatEvent(p.Event), "stack", string(p.Stack))
	}
	select {
	case w.lines <- write:
	case <-timer.C:
	}
}
