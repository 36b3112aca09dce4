package httpserver_test

import (
	"bufio"
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
	"bluebellflow/io/membudget"
)

// watchedServer is a server that tells what it reads.
type watchedServer struct {
	*httpserver.Server
	read        chan int                      // bytes of each read
	held        atomic.Pointer[chan struct{}] // reads return nothing until it is closed, nil for at once
	states      chan http.ConnState           // idle and closed
	beforeWrite atomic.Pointer[func()]
	onIdle      func()                        // called before the server waits for the next request
	late        atomic.Pointer[chan struct{}] // reads do not begin until it is closed, nil for at once
	unanswered  chan httpserver.Unanswered
	served      chan error
}

// watchedConn tells its reads, and calls beforeWrite.
type watchedConn struct {
	net.Conn
	server *watchedServer
}

func (c watchedConn) Read(p []byte) (int, error) {
	if late := c.server.late.Load(); late != nil {
		<-*late
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.server.read <- n
		if held := c.server.held.Load(); held != nil {
			<-*held
		}
	}
	return n, err
}

// SyscallConn returns the descriptor of the connection.
func (c watchedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c watchedConn) Write(p []byte) (int, error) {
	if before := c.server.beforeWrite.Swap(nil); before != nil {
		(*before)()
	}
	return c.Conn.Write(p)
}

func startWatched(t *testing.T, server *http.Server, opts ...httpserver.Option) *watchedServer {
	s := &watchedServer{read: make(chan int, 100), states: make(chan http.ConnState, 100), onIdle: func() {}, unanswered: make(chan httpserver.Unanswered, 10), served: make(chan error, 1)}
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			s.onIdle()
		}
		if state == http.StateIdle || state == http.StateClosed {
			s.states <- state
		}
	}
	opts = append(opts, httpserver.WithUnanswered(func(u httpserver.Unanswered) { s.unanswered <- u }))
	var err error
	s.Server, err = httpserver.New(netip.MustParseAddrPort("127.0.0.1:0"), server, opts...)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s.WrapConns(func(conn net.Conn) net.Conn { return watchedConn{conn, s} })
	go func() { s.served <- s.Serve() }()
	return s
}

// holdReads lets reads return nothing until the returned function is called.
func (s *watchedServer) holdReads() (release func()) {
	held := make(chan struct{})
	s.held.Store(&held)
	return func() { close(held) }
}

// send sends part of a request, and returns when the server has read it.
func (s *watchedServer) send(t *testing.T, conn net.Conn, part string) {
	g := NewWithT(t)
	_, err := io.WriteString(conn, part)
	g.Expect(err).NotTo(HaveOccurred())
	for read := 0; read < len(part); {
		n := 0
		g.Eventually(s.read, testTimeout).Should(Receive(&n))
		read += n
	}
}

// expectState waits for the next state of a connection, which is idle or closed.
func (s *watchedServer) expectState(t *testing.T, state http.ConnState) {
	t.Helper()
	NewWithT(t).Eventually(s.states, testTimeout).Should(Receive(Equal(state)))
}

func (s *watchedServer) dial(t *testing.T) net.Conn {
	conn, err := net.Dial("tcp", s.Addr().String())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

// readResponse reads the response to request.
func readResponse(t *testing.T, conn net.Conn) *http.Response {
	g := NewWithT(t)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("abc"))
	return resp
}

func (s *watchedServer) stop(t *testing.T) {
	s.Stop(0)
	NewWithT(t).Eventually(s.served, testTimeout).Should(Receive(BeNil()))
}

// expectUnanswered asserts that one request was reported.
func (s *watchedServer) expectUnanswered(t *testing.T, by httpserver.Cause, progress string) {
	t.Helper()
	var u httpserver.Unanswered
	NewWithT(t).Eventually(s.unanswered, testTimeout).Should(Receive(&u))
	u.Age = 0
	NewWithT(t).Expect(u).To(Equal(httpserver.Unanswered{By: by, Progress: progress}))
}

// TestUnanswered guards against a request that ends with its connection before a handler has seen it, or after, without notice.
func TestUnanswered(t *testing.T) {
	part := request[:20]
	t.Run("exit", func(t *testing.T) {
		s := startWatched(t, &http.Server{Handler: http.HandlerFunc(answer)})
		s.send(t, s.dial(t), part)
		s.stop(t)
		s.expectUnanswered(t, httpserver.ByExit, "head")
	})
	t.Run("exit, not read", func(t *testing.T) {
		s := startWatched(t, &http.Server{Handler: http.HandlerFunc(answer)})
		late := make(chan struct{})
		s.late.Store(&late)
		_, err := io.WriteString(s.dial(t), request)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		s.stop(t)
		close(late)
		s.expectUnanswered(t, httpserver.ByExit, "unread")
	})
	t.Run("response is not read", func(t *testing.T) {
		guard := httpserver.NewGuard(membudget.New(1<<20), httpserver.Limits{Conns: 1, Stall: testTimeout, Write: 50 * time.Millisecond, Lines: 100})
		endless := func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := w.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		}
		s := startWatched(t, &http.Server{Handler: http.HandlerFunc(endless)}, httpserver.WithGuard(guard))
		s.send(t, s.dial(t), request)
		s.expectUnanswered(t, httpserver.ByWriteTimeout, "response")
		s.stop(t)
	})
	t.Run("answered, or nothing sent", func(t *testing.T) {
		s := startWatched(t, &http.Server{Handler: http.HandlerFunc(answer)})
		s.dial(t)
		conn := s.dial(t)
		s.send(t, conn, request)
		readResponse(t, conn)
		malformed := s.dial(t)
		s.send(t, malformed, "x\r\n\r\n")
		_, _ = io.Copy(io.Discard, malformed)
		s.stop(t)
		NewWithT(t).Expect(s.unanswered).NotTo(Receive())
	})
}

// closeDuringRequest answers one request on a connection. While the server reads a second one, it calls closeIdle, which is to close
// connections that are idle. A request that was read before the server knows of it is answered if keeps is set, and not handled
// otherwise.
func closeDuringRequest(t *testing.T, closeIdle func(*watchedServer), keeps bool, opts ...httpserver.Option) {
	t.Run("part of the next head was read", func(t *testing.T) {
		g := NewWithT(t)
		s := startWatched(t, &http.Server{Handler: http.HandlerFunc(answer), ReadHeaderTimeout: testTimeout}, opts...)
		conn := s.dial(t)
		s.send(t, conn, request)
		readResponse(t, conn)
		s.expectState(t, http.StateIdle)
		s.send(t, conn, request[:20])
		closeIdle(s)
		_, err := io.WriteString(conn, request[20:])
		g.Expect(err).NotTo(HaveOccurred())
		readResponse(t, conn)
		s.stop(t)
		g.Expect(s.unanswered).NotTo(Receive())
	})
	t.Run("the next request is read after the close", func(t *testing.T) {
		g := NewWithT(t)
		handled := make(chan struct{}, 2)
		s := startWatched(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handled <- struct{}{}
			answer(w, r)
		})}, opts...)
		conn := s.dial(t)
		s.send(t, conn, request)
		readResponse(t, conn)
		g.Eventually(handled, testTimeout).Should(Receive())
		s.expectState(t, http.StateIdle)
		release := s.holdReads()
		s.send(t, conn, request)
		closeIdle(s)
		release()
		if keeps {
			readResponse(t, conn)
			s.stop(t)
			return
		}
		s.expectState(t, http.StateClosed)
		s.stop(t)
		g.Expect(handled).NotTo(Receive(), "a request without a connection is handled")
	})
}

// closeBeforeRead answers one request on a connection. While a second one has arrived and was not read, it calls closeIdle.
func closeBeforeRead(t *testing.T, closeIdle func(*watchedServer), opts ...httpserver.Option) {
	t.Run("the next request was not read", func(t *testing.T) {
		s := startWatched(t, &http.Server{Handler: http.HandlerFunc(answer)}, opts...)
		late := make(chan struct{})
		s.onIdle = func() { s.late.Store(&late) }
		conn := s.dial(t)
		s.send(t, conn, request)
		readResponse(t, conn)
		s.expectState(t, http.StateIdle)
		_, err := io.WriteString(conn, request)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		closeIdle(s)
		close(late)
		readResponse(t, conn)
		s.stop(t)
	})
}

// TestDrainDuringRequest guards against a drain that closes a connection as idle of which it has read part of a request, and against
// running a request whose connection it has closed.
func TestDrainDuringRequest(t *testing.T) {
	drain := func(s *watchedServer) { s.Drain(func() {}) }
	closeDuringRequest(t, drain, true)
	closeBeforeRead(t, drain)
}

// TestIdleTimeoutDuringRequest guards against the same faults of an idle timeout, which a configuration can lower, and against a
// connection that a single byte keeps open.
func TestIdleTimeoutDuringRequest(t *testing.T) {
	closeIdle := func(s *watchedServer) { s.CloseIdle(time.Nanosecond) }
	closeDuringRequest(t, closeIdle, true)
	closeBeforeRead(t, closeIdle)
	t.Run("no request", func(t *testing.T) {
		s := startWatched(t, &http.Server{Handler: http.HandlerFunc(answer)})
		conn := s.dial(t)
		s.send(t, conn, request)
		readResponse(t, conn)
		s.expectState(t, http.StateIdle)
		s.CloseIdle(0)
		s.CloseIdle(time.Minute)
		NewWithT(t).Consistently(s.states, 20*time.Millisecond).ShouldNot(Receive())
		s.CloseIdle(time.Nanosecond)
		s.expectState(t, http.StateClosed)
		s.stop(t)
	})
	t.Run("a head that does not arrive", func(t *testing.T) {
		s := startWatched(t, &http.Server{Handler: http.HandlerFunc(answer), ReadHeaderTimeout: 50 * time.Millisecond})
		conn := s.dial(t)
		s.send(t, conn, request)
		readResponse(t, conn)
		s.expectState(t, http.StateIdle)
		s.send(t, conn, request[:1])
		NewWithT(t).Eventually(func() int {
			s.CloseIdle(time.Nanosecond)
			return len(s.unanswered)
		}, testTimeout).Should(Equal(1))
		s.expectUnanswered(t, httpserver.ByReadTimeout, "head")
		s.stop(t)
	})
}

// TestDrainDuringResponse guards against a connection that stays open after a response whose head was sent before the drain, and
// against a caller that uses a connection again because the response did not say that it is closed.
func TestDrainDuringResponse(t *testing.T) {
	for name, flush := range map[string]bool{"head sent": true, "head not sent": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			entered, release := make(chan struct{}), make(chan struct{})
			s := startWatched(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				if flush {
					_ = http.NewResponseController(w).Flush()
				}
				close(entered)
				<-release
				_, _ = w.Write(body)
			})})
			conn := s.dial(t)
			s.send(t, conn, request)
			<-entered
			empty := make(chan struct{})
			s.Drain(func() { close(empty) })
			close(release)
			resp := readResponse(t, conn)
			g.Expect(resp.Close).To(Equal(!flush))
			g.Eventually(empty, testTimeout).Should(BeClosed())
			s.stop(t)
		})
	}
}
