package upstream

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
	// defaultIdleTimeout is how long a connection is kept unused if the server does not say how long it keeps it.
	defaultIdleTimeout = 900 * time.Millisecond
	// idleTimeoutMargin is how much earlier than the server this side gives an unused connection up.
	idleTimeoutMargin = 400 * time.Millisecond
	// maxIdleTimeout bounds the time that an unused connection is kept.
	maxIdleTimeout = 20 * time.Second
	// maxIdleAtMostOnce is how long a connection may have been unused for a request that must not run twice.
	maxIdleAtMostOnce = 50 * time.Millisecond
	// dialTimeout is how long a connection may take to open.
	dialTimeout = 250 * time.Millisecond
	// ackTimeout is how long sent bytes may stay without acknowledgement before a connection counts as broken.
	ackTimeout = 2 * time.Second
	// maxIdleConns bounds the unused connections to one server.
	maxIdleConns = 8
)

// Client sends requests over connections that it keeps for a while.
type Client struct {
	dialer net.Dialer
	vars   *expvar.Map

	mu        sync.Mutex
	idleConns map[netip.AddrPort][]*conn // the one used last comes last
	closed    bool
}

// Option changes a client's defaults.
type Option func(*Client)

// WithVars counts connections and failures in the given map.
func WithVars(vars *expvar.Map) Option { return func(c *Client) { c.vars = vars } }

// New returns a client without connections.
func New(opts ...Option) *Client {
	c := &Client{vars: new(expvar.Map), idleConns: map[netip.AddrPort][]*conn{}}
	c.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	for _, o := range opts {
		o(c)
	}
	return c
}

// setUserTimeout bounds how long the kernel waits for acknowledgements, because a connection across a partition would
// otherwise hang.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Close closes the unused connections; those in use are closed when their answers end.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for addr, list := range c.idleConns {
		for _, one := range list {
			one.idleTimer.Stop()
			_ = one.Close()
		}
		delete(c.idleConns, addr)
	}
}

// getIdle returns an unused connection to a server, or nil.
func (c *Client) getIdle(addr netip.AddrPort, fresh bool) *conn {
	for {
		one := c.popIdle(addr)
		if one == nil {
			return nil
		}
		one.idleTimer.Stop()
		age := time.Since(one.idleSince)
		if age < one.idleTimeout && (!fresh || age < maxIdleAtMostOnce) && one.reusable() {
			c.vars.Add("upstream_reused", 1)
			return one
		}
		_ = one.Close()
		if fresh {
			return nil // the others have been unused for longer
		}
	}
}

func (c *Client) popIdle(addr netip.AddrPort) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idleConns[addr]
	if len(list) == 0 {
		return nil
	}
	one := list[len(list)-1]
	c.setIdle(addr, list[:len(list)-1])
	return one
}

func (c *Client) setIdle(addr netip.AddrPort, list []*conn) {
	if len(list) == 0 {
		delete(c.idleConns, addr)
		return
	}
	c.idleConns[addr] = list
}

// putIdle keeps a connection for later requests.
func (c *Client) putIdle(one *conn) {
	one.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idleConns[one.addr]) >= maxIdleConns {
		_ = one.Close()
		return
	}
	one.idleTimer = time.AfterFunc(one.idleTimeout, func() { c.closeExpired(one) })
	c.idleConns[one.addr] = append(c.idleConns[one.addr], one)
}

// closeExpired closes a connection that is still unused.
func (c *Client) closeExpired(one *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idleConns[one.addr]
	for i, other := range list {
		if other == one {
			c.setIdle(one.addr, append(list[:i:i], list[i+1:]...))
			_ = one.Close()
			return
		}
	}
}

func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	c.vars.Add("upstream_dialed", 1)
	raw, err := c.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		c.vars.Add("upstream_dial_failed", 1)
		return nil, err
	}
	return newConn(raw, addr), nil
}
