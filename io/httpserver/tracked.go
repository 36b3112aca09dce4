package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// connState says which part of a request a connection is in.
type connState int32

const (
	connWaiting  connState = iota // no byte of the next request was read
	connLeaving                   // the same, and the connection is closed as soon as there is nothing more to read
	connReading                   // the head of a request is being read
	connHandling                  // the handler is running
	connAnswered                  // the handler has returned, and the response may be buffered
	connAborted                   // the handler has panicked
	connClosed
)

// lastReadTime is how long a connection that is closed as idle waits for a request that is on its way.
const lastReadTime = 5 * time.Millisecond

// longPast is a deadline that ends a read at once.
var longPast = time.Unix(1, 0)

// backgroundReadBytes is the size of the reads by which net/http watches a connection while a handler runs. What such a read returns
// belongs to the next request.
const backgroundReadBytes = 1

// trackedConn is a caller's connection. It knows whether a request is in progress on it, and why it was closed.
type trackedConn struct {
	net.Conn
	server *Server

	state     atomic.Int32 // a connState
	since     atomic.Int64 // Unix time in nanoseconds at which it began to wait, or to read a request
	readAhead atomic.Bool  // part of the next request was read while a handler ran
	used      atomic.Bool  // a request was handled
	wrote     atomic.Bool  // something was written since the head of the request began
	writeErr  atomic.Bool  // a write has failed
	endedBy   atomic.Int32 // a Cause; the first one counts

	mu          sync.Mutex // protects changes to and from connLeaving, and the read deadline
	leavingBy   Cause      // why the connection is in connLeaving
	idleWaiting bool       // net/http has set the deadline for the first bytes of the next request
}

func newTrackedConn(conn net.Conn, s *Server) *trackedConn {
	c := &trackedConn{Conn: conn, server: s}
	c.since.Store(time.Now().UnixNano())
	return c
}

// connHolder is a connection that wraps a trackedConn.
type connHolder interface{ tracked() *trackedConn }

func (c *trackedConn) tracked() *trackedConn { return c }

// trackedOf returns the connection that net/http got from a Server, nil for another one.
func trackedOf(conn net.Conn) *trackedConn {
	if h, ok := conn.(connHolder); ok {
		return h.tracked()
	}
	return nil
}

// Read reads from the connection, and records that a request has begun.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && connState(c.state.Load()) == connLeaving {
		n, err = c.lastRead(p)
	}
	if n > 0 && !c.recordRead(len(p)) {
		return 0, net.ErrClosed // what was read is not handled, because the connection was closed before
	}
	if err != nil {
		c.endBy(readCause(err, len(p)))
	}
	return n, err
}

// lastRead reads what has arrived on a connection that is to be closed as idle, and closes it if there is nothing. The goroutine that
// reads closes it, so that a request whose bytes have arrived is never dropped.
func (c *trackedConn) lastRead(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n = c.readArrived(p)
	}
	if n > 0 {
		return n, nil
	}
	if c.state.CompareAndSwap(int32(connLeaving), int32(connClosed)) {
		c.endBy(c.leavingBy)
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// readArrived reads without waiting, and returns 0 if nothing has arrived. A read that ends by its deadline may not have looked into
// the socket: the runtime handles expired timers before it looks for arrived data, and it may not have run for a while.
func (c *trackedConn) readArrived(p []byte) (n int) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Read(func(fd uintptr) bool {
		n, _ = syscall.Read(int(fd), p)
		return true
	})
	return max(0, n)
}

// stay makes a connection that was to be closed as idle stay open, because a request has begun. It reports false if the connection was
// closed before.
func (c *trackedConn) stay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.CompareAndSwap(int32(connLeaving), int32(connReading)) {
		return false
	}
	return c.Conn.SetReadDeadline(time.Time{}) == nil
}

// SetReadDeadline sets the deadline of reads, unless the connection is to be closed as idle.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordDeadline()
	if connState(c.state.Load()) == connLeaving {
		t = longPast
	}
	return c.Conn.SetReadDeadline(t)
}

// recordDeadline records that a request has begun if net/http sets a second deadline on an idle connection. It does so when it has the
// first bytes of a request, which it may have read together with the previous one. The caller must hold c.mu.
func (c *trackedConn) recordDeadline() {
	state := connState(c.state.Load())
	if !c.used.Load() || state != connWaiting && state != connLeaving {
		return
	}
	if c.idleWaiting && c.state.CompareAndSwap(int32(state), int32(connReading)) {
		c.wrote.Store(false)
		c.since.Store(time.Now().UnixNano())
	}
	c.idleWaiting = true
}

// recordRead records a read into a buffer of the given size, or reports false if the connection was closed before.
func (c *trackedConn) recordRead(size int) bool {
	switch connState(c.state.Load()) {
	case connWaiting, connLeaving:
		c.wrote.Store(false)
		c.since.Store(time.Now().UnixNano())
		return c.state.CompareAndSwap(int32(connWaiting), int32(connReading)) || c.stay()
	case connHandling, connAnswered:
		if size == backgroundReadBytes {
			c.readAhead.Store(true)
		}
	case connClosed:
		return false
	}
	return true
}

// Write writes to the connection.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr.Store(true)
		c.endBy(writeCause(err))
	}
	return n, err
}

// CloseWrite closes the writing side of the connection, if it supports that.
func (c *trackedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection, and reports a request that is left without a complete response.
func (c *trackedConn) Close() error {
	if old := connState(c.state.Swap(int32(connClosed))); old != connClosed {
		closing := c.server.closing()
		c.endBy(closing)
		if closing != 0 && (old == connWaiting || old == connLeaving) && c.unread() {
			c.report(Unanswered{Progress: "unread"})
		}
		c.reportUnanswered(old)
	}
	return c.Conn.Close()
}

// closeIdle closes the connection if it has been used, and no byte of the next request has arrived. The goroutine that waits for the
// request does so.
func (c *trackedConn) closeIdle(cause Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used.Load() && c.state.CompareAndSwap(int32(connWaiting), int32(connLeaving)) {
		c.leavingBy = cause
		_ = c.Conn.SetReadDeadline(longPast)
	}
}

// closeWaiting closes the connection at once if no byte of a request was read or waits to be read, and reports whether it did. What is
// read later is not handled.
func (c *trackedConn) closeWaiting(cause Cause) bool {
	if c.unread() || !c.state.CompareAndSwap(int32(connWaiting), int32(connClosed)) && !c.state.CompareAndSwap(int32(connLeaving), int32(connClosed)) {
		return false
	}
	c.endBy(cause)
	_ = c.Conn.Close()
	return true
}

// unread reports whether the caller has sent bytes that were not read, as happens on a busy machine.
func (c *trackedConn) unread() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// requestBegan returns when the request began that waits to be read, or is being read.
func (c *trackedConn) requestBegan(now time.Time) time.Time {
	if connState(c.state.Load()) == connWaiting {
		return now
	}
	return c.changedAt()
}

// changedAt returns when the connection began to wait, or the request began.
func (c *trackedConn) changedAt() time.Time { return time.Unix(0, c.since.Load()) }

// expired reports whether the connection has been in its state for longer than a time, 0 for no limit.
func (c *trackedConn) expired(now time.Time, longest time.Duration) bool {
	return longest > 0 && now.Sub(c.changedAt()) > longest
}

// closeExpired closes the connection if it has been idle for longer than idleTime, or the head of a request did not arrive within
// headTime; 0 stands for no limit.
func (c *trackedConn) closeExpired(now time.Time, idleTime, headTime time.Duration) {
	switch connState(c.state.Load()) {
	case connWaiting:
		if c.expired(now, idleTime) {
			c.closeIdle(ByIdleTimeout)
		}
	case connReading:
		if c.expired(now, headTime) && c.state.CompareAndSwap(int32(connReading), int32(connClosed)) {
			c.endBy(ByReadTimeout)
			c.reportUnanswered(connReading)
			_ = c.Conn.Close()
		}
	}
}

// beginRequest records that a handler begins, or reports false if the connection was closed before.
func (c *trackedConn) beginRequest() bool {
	c.readAhead.Store(false)
	c.used.Store(true)
	if c.changeState(connHandling) {
		return true
	}
	c.reportUnanswered(connReading)
	return false
}

// endRequest records that a handler has ended. net/http closes the connection before, if a write fails.
func (c *trackedConn) endRequest(returned bool) {
	if !returned {
		c.changeState(connAborted)
		return
	}
	if !c.changeState(connAnswered) {
		c.reportUnanswered(connAnswered)
	}
}

// becomeIdle records that the response was written.
func (c *trackedConn) becomeIdle() {
	c.since.Store(time.Now().UnixNano())
	if c.readAhead.Load() {
		c.wrote.Store(false)
		c.changeState(connReading)
		return
	}
	c.mu.Lock()
	c.idleWaiting = false
	c.mu.Unlock()
	c.changeState(connWaiting)
}

// changeState changes the state, or reports false if the connection is closed.
func (c *trackedConn) changeState(to connState) bool {
	for {
		old := c.state.Load()
		if connState(old) == connClosed {
			return false
		}
		if c.state.CompareAndSwap(old, int32(to)) {
			return true
		}
	}
}

// endBy records why the connection ends, unless a cause is known already.
func (c *trackedConn) endBy(cause Cause) {
	if cause != 0 {
		c.endedBy.CompareAndSwap(0, int32(cause))
	}
}

// reportUnanswered reports a request whose head was not complete and which net/http has not rejected, or whose response could not be
// written. A handler knows of all others.
func (c *trackedConn) reportUnanswered(state connState) {
	age := time.Since(c.changedAt())
	switch {
	case state == connReading && !c.wrote.Load():
		c.report(Unanswered{Progress: "head", Age: age})
	case state == connAnswered && c.writeErr.Load():
		c.report(Unanswered{Progress: "response", Age: age})
	}
}

// report reports an unanswered request with the cause.
func (c *trackedConn) report(u Unanswered) {
	if c.server.onUnanswered == nil {
		return
	}
	u.By = Cause(c.endedBy.Load())
	c.server.onUnanswered(u)
}

// track makes an HTTP server record the state of its connections, and close them after their responses during a drain.
func (s *Server) track(server *http.Server) {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(net.Conn)
		c := trackedOf(conn)
		if !c.beginRequest() {
			panic(http.ErrAbortHandler)
		}
		returned := false
		defer func() { c.endRequest(returned) }()
		writer := closingWriter{w, s}
		next.ServeHTTP(writer, r)
		writer.announceClose()
		returned = true
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	hook := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		s.trackState(trackedOf(conn), state)
		if hook != nil {
			hook(conn, state)
		}
	}
}
