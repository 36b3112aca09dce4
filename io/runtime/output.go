package runtime

import (
	"io"
	"sync"
	"time"
)

const (
	// flushDelay is how long log lines are buffered, because each write is a system call.
	flushDelay = 50 * time.Millisecond
	// flushSize is the number of buffered bytes at which lines are written immediately.
	flushSize = 32 << 10
)

// BufferedWriter buffers log lines for up to flushDelay and writes them to the underlying writer together.
type BufferedWriter struct {
	out io.Writer

	mu    sync.Mutex
	lines []byte
	timer *time.Timer // set while lines are buffered
}

// NewBufferedWriter returns a BufferedWriter that writes to out.
func NewBufferedWriter(out io.Writer) *BufferedWriter { return &BufferedWriter{out: out} }

// Write buffers lines. Errors of the underlying writer are ignored, because there is nowhere to log them.
func (w *BufferedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, p...)
	switch {
	case len(w.lines) >= flushSize:
		w.flush()
	case w.timer == nil:
		w.timer = time.AfterFunc(flushDelay, w.Flush)
	}
	return len(p), nil
}

// Flush writes all buffered lines.
func (w *BufferedWriter) Flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flush()
}

func (w *BufferedWriter) flush() {
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
	if len(w.lines) > 0 {
		_, _ = w.out.Write(w.lines)
		w.lines = w.lines[:0]
	}
}
