package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxIDs bounds the requests of a connection that are remembered. Copies of responses arrive before that many others.
const maxIDs = 32

// maxHeaderBytes bounds the status line and headers of a response.
const maxHeaderBytes = 64 << 10

// errHeaderTooLarge means that a response header does not end within maxHeaderBytes.
var errHeaderTooLarge = errors.New("response header is too large")

// conn is a connection to a server. It carries one request at a time.
type conn struct {
	net.Conn
	addr            netip.AddrPort
	br              *bufio.Reader
	headerBytesLeft int           // bytes that may still be read before the response body
	idleSince       time.Time     // when the previous exchange ended
	idleTimeout     time.Duration // how long it may stay idle
	idleTimer       *time.Timer   // closes it after idleTimeout
	ids             []uint64      // hashes of the IDs of the last requests, oldest first
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
	c := &conn{Conn: raw, addr: addr, idleTimeout: defaultIdleTimeout}
	c.br = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read reads from the connection, or returns errHeaderTooLarge if the response header exceeds its limit.
func (c *conn) Read(p []byte) (int, error) {
	if c.headerBytesLeft <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(p)
	c.headerBytesLeft -= n
	return n, err
}

// reusable reports whether the server has neither closed an idle connection nor sent unexpected data on it.
func (c *conn) reusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
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
