package upstream

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/io/httpclient"
	"bluebellflow/io/membudget"
)

// maxIDs bounds the requests of a connection that are remembered. Copies of responses arrive before that many others.
const maxIDs = 32

// maxHeaderBytes bounds the status line and headers of a response.
const maxHeaderBytes = 64 << 10

// maxHeaderLines bounds the lines of a response header. A short line takes many times its length in memory.
const maxHeaderLines = 512

// errHeaderTooLarge means that a response header does not end within maxHeaderBytes and maxHeaderLines.
var errHeaderTooLarge = errors.New("response header is too large")

// conn is a connection to a server. It carries one request at a time.
type conn struct {
	*httpclient.Conn
	addr        netip.AddrPort
	opening     time.Duration // how long it took to open
	br          *bufio.Reader
	header      *headerLimit  // of the header that is being read, nil while the body is read
	idleSince   time.Time     // when the previous exchange ended
	idleTimeout time.Duration // how long it may stay idle
	idleTimer   *time.Timer   // closes it after idleTimeout
	ids         []uint64      // hashes of the IDs of the last requests, oldest first
}

// headerLimit bounds what is read of a response header.
type headerLimit struct {
	memory *membudget.Share
	bytes  int // bytes read so far
	lines  int // lines that have ended
	line   int // bytes of the last line
	ended  bool
}

// add counts bytes that were read, and reports whether the header is within its limits. It counts no lines of what follows the
// header.
func (l *headerLimit) add(p []byte) bool {
	l.bytes += len(p)
	for _, b := range p {
		switch {
		case l.ended || b == '\r':
		case b != '\n':
			l.line++
		default:
			l.ended = l.line == 0 && l.lines > 0
			l.lines++
			l.line = 0
		}
	}
	return l.bytes <= maxHeaderBytes && l.lines <= maxHeaderLines && l.memory.Keep(l.bytes)
}

// rememberID records the ID of a request that is sent on the connection.
func (c *conn) rememberID(id string) {
	if id == "" {
		return
	}
	if len(c.ids) == maxIDs {
		c.ids = c.ids[1:]
	}
	c.ids = append(c.ids, xxhash.Sum64String(id))
}

// hasSent reports whether a request with the same ID was sent on the connection lately.
func (c *conn) hasSent(id string) bool {
	return id != "" && slices.Contains(c.ids, xxhash.Sum64String(id))
}

func newConn(raw net.Conn, addr netip.AddrPort) *conn {
	c := &conn{Conn: httpclient.NewConn(raw), addr: addr, idleTimeout: defaultIdleTimeout}
	c.br = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read reads from the connection, or returns errHeaderTooLarge if the response header exceeds its limits.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.header != nil && !c.header.add(p[:n]) {
		return 0, errHeaderTooLarge
	}
	return n, err
}

// ErrClosedUnused means that a server closed a new connection before anything was written to it. A reset is how servers reject
// connections above their limit.
var ErrClosedUnused = errors.New("server closed a new connection before the request was written")

// settle waits for the given time and returns ErrClosedUnused if the server closes the new connection meanwhile.
func (c *conn) settle(d time.Duration) error {
	if d <= 0 {
		return nil
	}
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.br.Peek(1)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrClosedUnused, cmp.Or(err, errUnexpectedData))
	}
	return c.SetReadDeadline(time.Time{})
}

// errUnexpectedData means that a server has sent something before the request.
var errUnexpectedData = errors.New("data before the request")

// reusable reports whether the server has neither closed an idle connection nor sent unexpected data on it.
func (c *conn) reusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = control.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// describe returns a description of the connection for the error of a failed request. It shows whether the server may have
// closed an idle connection.
func (c *conn) describe(reused bool) string {
	if !reused {
		return "new connection"
	}
	return fmt.Sprintf("reused connection, previous exchange ended %s ago, idle timeout %s", time.Since(c.idleSince).Round(time.Millisecond), c.idleTimeout)
}
