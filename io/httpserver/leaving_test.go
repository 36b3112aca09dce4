package httpserver_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/io/httpserver"
)

// gatedConn waits at a gate before it reads a request. Reads of a single byte, by which net/http watches a connection, pass.
type gatedConn struct {
	net.Conn
	gate *atomic.Pointer[chan struct{}]
}

func (c gatedConn) Read(p []byte) (int, error) {
	if gate := c.gate.Load(); gate != nil && len(p) > 1 {
		<-*gate
	}
	return c.Conn.Read(p)
}

func (c gatedConn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }

// pause is longer than an idle connection waits for its last read.
const pause = 50 * time.Millisecond

// pausedConn lets a read deadline in the near future pass before the read begins, as if the process got no processor time.
type pausedConn struct{ *net.TCPConn }

func (c pausedConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if left := time.Until(t); left > 0 && left < pause {
		time.Sleep(pause)
	}
	return err
}

// closeUnread answers one request on a connection, and calls closeIdle while a second one lies unread in the socket.
func closeUnread(t *testing.T, closeIdle func(*httpserver.Server)) {
	closeUnreadOf(t, func(conn net.Conn) net.Conn { return conn }, closeIdle)
}

// closeUnreadOf does the same on a wrapper of the connection.
func closeUnreadOf(t *testing.T, wrap func(net.Conn) net.Conn, closeIdle func(*httpserver.Server)) {
	g := NewWithT(t)
	var gate atomic.Pointer[chan struct{}]
	closed := make(chan struct{})
	idle := make(chan http.ConnState, 10)
	s, err := httpserver.New(netip.MustParseAddrPort("127.0.0.1:0"), &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answer(w, r)
			gate.Store(&closed)
		}),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				idle <- state
			}
		},
	})
	g.Expect(err).NotTo(HaveOccurred())
	s.WrapConns(func(conn net.Conn) net.Conn { return gatedConn{wrap(conn), &gate} })
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()

	conn, err := net.Dial("tcp", s.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, err = io.WriteString(conn, request)
	g.Expect(err).NotTo(HaveOccurred())
	readResponse(t, conn)
	g.Eventually(idle, testTimeout).Should(Receive())
	_, err = io.WriteString(conn, request)
	g.Expect(err).NotTo(HaveOccurred())
	closeIdle(s)
	close(closed)
	readResponse(t, conn)
	s.Stop(testTimeout)
	g.Eventually(served, testTimeout).Should(Receive(BeNil()))
}

// TestUnreadRequest guards against a server that closes a connection as idle although a request has arrived on it that it has not read.
func TestUnreadRequest(t *testing.T) {
	t.Run("drain", func(t *testing.T) {
		closeUnread(t, func(s *httpserver.Server) { s.Drain(func() {}) })
	})
	t.Run("idle timeout", func(t *testing.T) {
		closeUnread(t, func(s *httpserver.Server) { s.CloseIdle(time.Nanosecond) })
	})
	t.Run("deadline passed before the last read", func(t *testing.T) {
		wrap := func(conn net.Conn) net.Conn { return pausedConn{conn.(*net.TCPConn)} }
		closeUnreadOf(t, wrap, func(s *httpserver.Server) { s.Drain(func() {}) })
	})
}
