package httpserver

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// maxLastAccepts bounds how many connections a listener that ends accepts, if more and more arrive. It is the usual size of the queue.
const maxLastAccepts = 4096

// lastAcceptTime bounds the wait for a connection that has left the queue after it was seen there.
const lastAcceptTime = 100 * time.Millisecond

// connListener is a listener that ends without a loss of connections.
type connListener interface {
	net.Listener
	end()
}

// queueListener accepts the connections in its queue before it is closed, because the kernel resets those that are left.
type queueListener struct {
	*net.TCPListener
	ending      atomic.Bool // it accepts only what is in the queue
	lastAccepts int         // attempts to accept a connection since then
}

// Accept returns the next connection, or net.ErrClosed if none is left after end.
func (l *queueListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && l.ending.Load() {
		return l.acceptLast()
	}
	return conn, err
}

// end makes Accept return the connections in the queue, and then close the listener.
func (l *queueListener) end() {
	l.ending.Store(true)
	_ = l.SetDeadline(longPast)
}

// acceptLast returns a connection from the queue, or closes the listener. Time does not count, and an accept whose deadline passes is
// repeated, because the process may not have run for a while, or end was called again.
func (l *queueListener) acceptLast() (net.Conn, error) {
	for l.lastAccepts < maxLastAccepts && l.queued() {
		l.lastAccepts++
		_ = l.SetDeadline(time.Now().Add(lastAcceptTime))
		conn, err := l.TCPListener.Accept()
		if err == nil {
			_ = l.SetDeadline(longPast)
			return conn, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	_ = l.Close()
	return nil, net.ErrClosed
}

// queued reports whether a connection waits to be accepted.
func (l *queueListener) queued() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && n > 0
}

// trackingListener wraps the connections that it accepts.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection.
func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newTrackedConn(conn, l.server), nil
}
