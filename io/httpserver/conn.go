package httpserver

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"time"

	"bluebellflow/core/callerlimit"
)

const (
	// freeHeaderBytes and freeHeaderLines are part of membudget.ConnBytes.
	freeHeaderBytes, freeHeaderLines = 4 << 10, 64
	// headerTextFactor is the memory that a header takes as a multiple of its length. The shortest element of a list has four bytes;
	// it takes 16 once it is parsed, 8 as a key, and as much again while the lists grow.
	headerTextFactor = 12
	// headerLineBytes is what a header line takes in memory besides its text: an entry of a map, a slice and two strings, twice
	// because the headers are copied for the server.
	headerLineBytes = 256
	// writePieceBytes is the size of the piece of a response that has to be written within the write timeout.
	writePieceBytes = 16 << 10
)

// guardedConn is a caller's connection.
type guardedConn struct {
	*trackedConn
	guard *Guard
	id    callerlimit.Conn
	taken int64 // of the budget; guard.mu protects it

	inHeader    atomic.Bool // a header is being read or expected
	headerBytes int
	headerLines int
	complete    bool // the request has arrived
}

// headerCost returns what the header takes in memory beyond that of an ordinary request.
func (c *guardedConn) headerCost() int64 {
	if c.headerBytes <= freeHeaderBytes && c.headerLines <= freeHeaderLines {
		return 0
	}
	return int64(headerTextFactor*c.headerBytes + headerLineBytes*c.headerLines)
}

// Read reads from the connection. It counts what is read of a header, and fails if there is no memory for it.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.trackedConn.Read(p)
	if n == 0 || !c.inHeader.Load() {
		return n, err
	}
	c.headerBytes += n
	c.headerLines += bytes.Count(p[:n], []byte{'\n'})
	if c.headerLines > c.guard.limits.Lines {
		c.endBy(ByGuard)
		return 0, errHeaderLines
	}
	if cost := c.headerCost(); cost > 0 && !c.guard.hold(c, cost) {
		c.endBy(ByGuard)
		return 0, errMemory
	}
	return n, err
}

// Write writes to the connection. Each piece has to be written within the write timeout, so that a caller that does not read
// holds nothing for longer.
func (c *guardedConn) Write(p []byte) (int, error) {
	written := 0
	for {
		piece := p[written:min(len(p), written+writePieceBytes)]
		if err := c.SetWriteDeadline(time.Now().Add(c.guard.limits.Write)); err != nil {
			return written, err
		}
		n, err := c.trackedConn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close closes the connection and returns what it has taken.
func (c *guardedConn) Close() error {
	c.guard.mu.Lock()
	c.guard.remove(c)
	c.guard.mu.Unlock()
	return c.trackedConn.Close()
}

// headerComplete records that the headers of a request have arrived, or reports false if the connection was evicted. If there is a
// body, it sets a read deadline, which also bounds the read of a body that the handler leaves unread.
func (c *guardedConn) headerComplete(r *http.Request) bool {
	c.inHeader.Store(false)
	if r.ContentLength == 0 {
		return c.run()
	}
	_ = c.SetReadDeadline(time.Now().Add(c.guard.limits.Stall))
	return c.guard.setPhase(c, callerlimit.Reading)
}

// run records that a request has arrived completely, or reports false if the connection was evicted.
func (c *guardedConn) run() bool {
	c.complete = true
	return c.guard.setPhase(c, callerlimit.Running)
}

// releaseRequest returns the memory of the request. Unless it has arrived completely, the connection is in phase Reading until the
// server makes it idle, because a part of the body may be unread. Otherwise its phase stays Running, because the response is buffered.
func (c *guardedConn) releaseRequest() {
	c.guard.hold(c, 0)
	c.headerBytes, c.headerLines = 0, 0
	if !c.complete {
		c.guard.setPhase(c, callerlimit.Reading)
	}
	c.complete = false
}

// expectHeader records that all requests have been answered.
func (c *guardedConn) expectHeader() {
	c.inHeader.Store(true)
	c.guard.setPhase(c, callerlimit.Idle)
}
