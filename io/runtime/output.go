package runtime

import (
	"io"
	"sync"
	"time"
)

const (
	// flushDelay collects log lines, because each write is a system call.
	flushDelay = 50 * time.Millisecond
	// flushSize is the number of collected bytes at which lines are written at once.
	flushSize = 32 << 10
)

// BufferedWriter is a writer of log lines that writes many of them at once. Its lines reach the writer behind it a little later,
// all of them after Flush.
type BufferedWriter struct {
	out io.Writer

	mu    sync.Mutex
	lines []byte
	timer *time.Timer // runs while lines wait
}

// NewBufferedWriter returns an output in front of a writer.
func NewBufferedWriter(to io.Writer) *BufferedWriter { return &BufferedWriter{out: to} }

// Write takes in lines. Errors of the writer behind it are not reported, because there is nowhere to log them.
func (o *BufferedWriter) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lines = append(o.lines, p...)
	switch {
	case len(o.lines) >= flushSize:
		o.flush()
	case o.timer == nil:
		o.timer = time.AfterFunc(flushDelay, o.Flush)
	}
	return len(p), nil
}

// Flush writes the lines that wait.
func (o *BufferedWriter) Flush() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.flush()
}

func (o *BufferedWriter) flush() {
	if o.timer != nil {
		o.timer.Stop()
		o.timer = nil
	}
	if len(o.lines) > 0 {
		_, _ = o.out.Write(o.lines)
		o.lines = o.lines[:0]
	}
}
