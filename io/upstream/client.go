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

	"bluebellflow/io/membudget"
)

const (
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
	// defaultIdleTimeout is how long a connection may stay idle if the server sends no Keep-Alive timeout.
	defaultIdleTimeout = 900 * time.Millisecond
	// idleTimeoutMargin is how much earlier than the server the client closes an idle connection.
	idleTimeoutMargin = 400 * time.Millisecond
	// maxIdleTimeout bounds the time that a connection may stay idle.
	maxIdleTimeout = 20 * time.Second
	// maxIdleAtMostOnce is the maximum idle time of a connection that is reused for a request that must not run twice.
	maxIdleAtMostOnce = 50 * time.Millisecond
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 250 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection.
	ackTimeout = 2 * time.Second
	// maxIdleConns bounds the idle connections to one server.
	maxIdleConns = 8
	// defaultMemory is the size in bytes of what the responses in progress may keep in memory together.
	defaultMemory = 16 << 20
)

// Client sends requests over connections that it keeps open for reuse.
type Client struct {
	dialer net.Dialer
	vars   *expvar.Map
	memory *membudget.Budget

	mu        sync.Mutex
	idleConns map[netip.AddrPort][]*conn // by server, the most recently used one last
	closed    bool
}

// Option configures a Client.
type Option func(*Client)

// WithVars counts connections and failures in the given map.
func WithVars(vars *expvar.Map) Option { return func(c *Client) { c.vars = vars } }

// WithMemory bounds the bytes that the responses in progress may keep in memory together.
func WithMemory(b *membudget.Budget) Option { return func(c *Client) { c.memory = b } }

// New returns a client that has no open connections.
func New(opts ...Option) *Client {
	c := &Client{vars: new(expvar.Map), memory: membudget.New(defaultMemory), idleConns: map[netip.AddrPort][]*conn{}}
	c.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	for _, o := range opts {
		o(c)
	}
	return c
}

// setUserTimeout bounds how long the kernel waits for acknowledgements. Without it, a connection would hang during a network
// partition.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Close closes the idle connections. Those in use are closed at the end of their responses.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for addr, list := range c.idleConns {
		for _, cn := range list {
			cn.idleTimer.Stop()
			_ = cn.Close()
		}
		delete(c.idleConns, addr)
	}
}

// getIdle returns an idle connection that can be reused for a request, or nil. For an at-most-once request it accepts only a
// connection that was idle for less than maxIdleAtMostOnce.
func (c *Client) getIdle(addr netip.AddrPort, req *Request) *conn {
	for {
		cn := c.popIdle(addr)
		if cn == nil {
			return nil
		}
		cn.idleTimer.Stop()
		age := time.Since(cn.idleSince)
		if age < cn.idleTimeout && (!req.AtMostOnce || age < maxIdleAtMostOnce) && !cn.hasSent(req.ID) && cn.reusable() {
			c.vars.Add("upstream_reused", 1)
			return cn
		}
		_ = cn.Close()
		if req.AtMostOnce {
			return nil // the others have been idle for longer
		}
	}
}

// popIdle removes and returns the most recently used idle connection to a server, or returns nil.
func (c *Client) popIdle(addr netip.AddrPort) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idleConns[addr]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.setIdle(addr, list[:len(list)-1])
	return cn
}

func (c *Client) setIdle(addr netip.AddrPort, list []*conn) {
	if len(list) == 0 {
		delete(c.idleConns, addr)
		return
	}
	c.idleConns[addr] = list
}

// putIdle keeps a connection for reuse, or closes it if the client is closed or has maxIdleConns of them.
func (c *Client) putIdle(cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idleConns[cn.addr]) >= maxIdleConns {
		_ = cn.Close()
		return
	}
	cn.idleTimer = time.AfterFunc(cn.idleTimeout, func() { c.closeExpired(cn) })
	c.idleConns[cn.addr] = append(c.idleConns[cn.addr], cn)
}

// closeExpired closes a connection if it is still idle.
func (c *Client) closeExpired(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idleConns[cn.addr]
	for i, other := range list {
		if other == cn {
			c.setIdle(cn.addr, append(list[:i:i], list[i+1:]...))
			_ = cn.Close()
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
