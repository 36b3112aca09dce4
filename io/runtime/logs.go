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
	// logQueueSize limits the log lines that are queued for output.
	logQueueSize = 4096
	// errorsPerSecond and errorBurst limit the I/O errors that are logged: a backend server that is down causes several
	// failed polls a second.
	errorsPerSecond = 5
	errorBurst      = 20
	// linesPerSecond and lineBurst limit the decisions that are logged. A gateway that serves a hundred requests a second
	// logs about five hundred; more lines would take CPU time away from requests.
	linesPerSecond = 1000
	lineBurst      = 2 * logQueueSize
	// logFlushTimeout is how long a stopping process waits for a blocked log output.
	logFlushTimeout = 2 * time.Second
)

// logWriter writes log lines in a separate goroutine, because a blocked standard error must not delay the decision
// logic. Lines that do not fit into the queue are dropped and counted.
type logWriter struct {
	logger       *log.Logger
	vars         *expvar.Map
	errorLimiter *rate.Limiter // for I/O errors
	lineLimiter  *rate.Limiter // for decisions
	lines        chan func()
	stopOnce     sync.Once
	stopping     chan struct{}
	done         chan struct{}

	suppressed atomic.Int64 // decisions not logged since the last logged one
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

// drain writes the lines that are still queued when the loop ends.
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

// logDecision logs a decision unless the rate limit is exceeded. The next decision that is logged is preceded by the
// number of suppressed ones.
func (w *logWriter) logDecision(a event.Log) {
	if !w.lineLimiter.Allow() {
		w.vars.Add("log_lines_suppressed", 1)
		w.suppressed.Add(1)
		return
	}
	if count := w.suppressed.Swap(0); count > 0 {
		w.enqueue(func() { w.logger.Warn("log", "choice", "suppress", "lines", count) })
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

// logPanic logs a panic of the decision logic. It waits for space in the queue, because the process ends afterwards.
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
