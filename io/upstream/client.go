package upstream

import (
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
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 250 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection.
	ackTimeout = 2 * time.Second
	// maxIdleConns bounds the idle connections to one server whose connections have no lower limit.
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
	inUse     map[netip.AddrPort]int     // connections by server that are being opened or carry a request
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
	c := &Client{
		vars: new(expvar.Map), memory: membudget.New(defaultMemory),
		idleConns: map[netip.AddrPort][]*conn{}, inUse: map[netip.AddrPort]int{},
	}
	c.dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	for _, o := range opts {
		o(c)
	}
	c.vars.Set("upstream_open", expvar.Func(func() any { idle, inUse := c.countConns(); return idle + inUse }))
	c.vars.Set("upstream_idle", expvar.Func(func() any { idle, _ := c.countConns(); return idle }))
	return c
}

// countConns returns the numbers of idle connections and of those in use.
func (c *Client) countConns() (idle, inUse int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idleConns {
		idle += len(list)
	}
	for _, n := range c.inUse {
		inUse += n
	}
	return idle, inUse
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
