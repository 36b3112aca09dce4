package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// maxHeaderBytes bounds the status line and headers of an answer, in bytes.
const maxHeaderBytes = 64 << 10

// errHeaderTooLarge means that the head of an answer does not end.
var errHeaderTooLarge = errors.New("answer's head is too large")

// conn is a connection to a server; one request at a time uses it.
type conn struct {
	net.Conn
	addr            netip.AddrPort
	br              *bufio.Reader
	headerBytesLeft int           // bytes that may still be read before the body
	idleSince       time.Time     // since when it has been unused
	idleTimeout     time.Duration // how long the server keeps it when it is unused
	idleTimer       *time.Timer   // closes it when it has been unused for long
}

func newConn(raw net.Conn, addr netip.AddrPort) *conn {
	c := &conn{Conn: raw, addr: addr, idleTimeout: defaultIdleTimeout}
	c.br = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read bounds what is read before the body of an answer.
func (c *conn) Read(p []byte) (int, error) {
	if c.headerBytesLeft <= 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(p)
	c.headerBytesLeft -= n
	return n, err
}

// reusable reports whether the server has neither closed the connection nor sent anything on it.
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
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// describe describes the connection of a request that failed, as a hint whether the server may have closed it before.
func (c *conn) describe(reused bool) string {
	if !reused {
		return "new connection"
	}
	return fmt.Sprintf("connection last used %s before, kept for %s", time.Since(c.idleSince).Round(time.Millisecond), c.idleTimeout)
}
