package sendtrack

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"

	"bluebellflow/io/httpclient"
)

// errSealed is returned by writes to a connection that Tracker.Seal has sealed.
var errSealed = errors.New("connection sealed after its request failed")

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// WrapDial returns a dialer whose connections count the bytes written to them, as a Tracker requires.
func WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
}

// conn counts the bytes that the kernel accepted and rejects writes once it is sealed.
type conn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	writing bool
	sealed  bool
}

// Write writes to the underlying connection, or returns errSealed once the connection is sealed.
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

// seal rejects further writes and reports whether more than base bytes were written or a write is in progress.
func (c *conn) seal(base int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writing || c.written > base
}

// Tracker records the connections that the transport uses for one request.
type Tracker struct {
	mu     sync.Mutex
	conns  []trackedConn
	reused bool // the last connection was used before
}

// trackedConn is a connection and the number of bytes written to it before the request.
type trackedConn struct {
	conn          *conn
	writtenBefore int64
}

// WithTracker returns a context for one request and the tracker of that request.
func WithTracker(ctx context.Context) (context.Context, *Tracker) {
	t := &Tracker{}
	trace := &httptrace.ClientTrace{GotConn: t.gotConn}
	return httptrace.WithClientTrace(ctx, trace), t
}

func (t *Tracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reused = info.Reused
	used := info.Conn
	if wrapped, ok := used.(*httpclient.Conn); ok {
		used = wrapped.NetConn()
	}
	c, ok := used.(*conn)
	if !ok {
		// The connection does not count bytes, so the request must be assumed to be sent.
		t.conns = append(t.conns, trackedConn{})
		return
	}
	t.conns = append(t.conns, trackedConn{conn: c, writtenBefore: c.bytesWritten()})
}

// Reused reports whether the request was sent on a connection that had carried another one.
func (t *Tracker) Reused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// Seal makes later writes of a failed request fail and reports whether any byte of the request may have left this process.
// Without the seal, the transport's write goroutine could still send a request that timed out and was reported as unsent.
func (t *Tracker) Seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := false
	for _, tracked := range t.conns {
		if tracked.conn == nil || tracked.conn.seal(tracked.writtenBefore) {
			sent = true
		}
	}
	return sent
}
