package httpclient

import (
	"cmp"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a connection whose reader sees io.EOF only if the server has ended it, not if it was reset or timed out.
//
// The kernel reports a failed connection once, to the reader or to the writer. If it tells the writer of a request, the reader sees an
// ordinary end, and a response that ends with its connection looks complete.
type Conn struct {
	net.Conn
	ended    atomic.Bool // the reader has seen the end
	writing  sync.Mutex  // held during a write
	writeErr error       // of the first failed write
}

// NewConn returns a Conn on top of a TCP connection.
func NewConn(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// errEnded is returned by writes to a connection that the server has ended.
var errEnded = errors.New("server has ended the connection")

// Write writes to the connection. It fails once the reader has seen the end of the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.writeErr = cmp.Or(c.writeErr, err)
	case c.ended.Load():
		err = errEnded
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the server has ended the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.stopWriting(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// stopWriting ends a write in progress and all later ones. It returns the error with which a write failed before the server ended the
// connection. Where the server has ended it before, a reset shows as EPIPE.
func (c *Conn) stopWriting() error {
	c.ended.Store(true)
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return c.writeErr
}
