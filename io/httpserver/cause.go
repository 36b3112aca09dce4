package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// Cause says why a connection was closed.
type Cause int32

// Causes, of which 0 stands for none.
const (
	ByCaller       Cause = iota + 1 // it has closed the connection, or its side of it
	ByReadTimeout                   // a request did not arrive in time
	ByWriteTimeout                  // a response was not read in time
	ByIdleTimeout
	ByDrain
	ByGuard // it was closed to make room
	ByExit
)

// String returns the name of the cause in log lines and metrics.
func (c Cause) String() string {
	return [...]string{"server", "caller", "read_timeout", "write_timeout", "idle", "drain", "guard", "exit"}[c]
}

// Unanswered describes a request that no handler saw, or whose response could not be written, when its connection was closed.
type Unanswered struct {
	By       Cause
	Progress string        // "unread" if it lay in the socket during a stop, "head" if no handler has seen it, "response" if its response could not be written
	Age      time.Duration // since its first byte was read, 0 if none was
}

// WithUnanswered sets a function that is told of requests that no handler reports, when their connections are closed. It must not
// call the server.
func WithUnanswered(f func(Unanswered)) Option { return func(s *Server) { s.onUnanswered = f } }

// ClosedBy returns why the connection of a request was closed, 0 if that is not known.
func ClosedBy(r *http.Request) Cause {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	if c := trackedOf(conn); c != nil {
		return Cause(c.endedBy.Load())
	}
	return 0
}

// readCause returns the cause for a failed read into a buffer of the given size. net/http ends its own background reads by a deadline.
func readCause(err error, size int) Cause {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET):
		return ByCaller
	case errors.Is(err, os.ErrDeadlineExceeded) && size != backgroundReadBytes:
		return ByReadTimeout
	}
	return 0
}

// writeCause returns the cause for a failed write.
func writeCause(err error) Cause {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ByWriteTimeout
	case errors.Is(err, syscall.EPIPE), errors.Is(err, syscall.ECONNRESET):
		return ByCaller
	}
	return 0
}
