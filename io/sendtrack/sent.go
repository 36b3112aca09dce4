package sendtrack

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errSealed is what a write gets after Seal has declared its request unsent.
var errSealed = errors.New("connection sealed: its request was declared unsent")

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// WrapDial wraps a dialer so that a Tracker can count what is written to its connections.
func WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
}

// conn counts the bytes that the kernel accepted and refuses writes once it is sealed.
type conn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	writing bool
	sealed  bool
}

// Write passes bytes on unless the connection is sealed.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writing = true
	c.mu.Unlock()

	n, err := c.Conn.Write(p)

	c.mu.Lock()
	c.written += int64(n)
	c.writing = false
	c.mu.Unlock()
	return n, err
}

func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops further writes and reports whether anything was, or is being, written beyond base.
func (c *conn) seal(base int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writing || c.written > base
}

// Tracker follows one request over all connections that the transport tries for it.
type Tracker struct {
	mu    sync.Mutex
	conns []trackedConn
}

type trackedConn struct {
	conn          *conn
	writtenBefore int64
}

// WithTracker returns a context for a request and the tracker that follows it.
func WithTracker(ctx context.Context) (context.Context, *Tracker) {
	t := &Tracker{}
	trace := &httptrace.ClientTrace{GotConn: t.gotConn}
	return httptrace.WithClientTrace(ctx, trace), t
}

func (t *Tracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		// Without a count the request must be taken as sent.
		t.conns = append(t.conns, trackedConn{})
		return
	}
	t.conns = append(t.conns, trackedConn{conn: c, writtenBefore: c.bytesWritten()})
}

// Seal reports whether any byte of a failed request may have left this process. If it reports
// false, later writes are refused: a request that times out may otherwise still be written by
// the transport's own goroutine after the caller was told that it was not sent.
func (t *Tracker) Seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := false
	for _, u := range t.conns {
		if u.conn == nil || u.conn.seal(u.writtenBefore) {
			sent = true
		}
	}
	return sent
}
