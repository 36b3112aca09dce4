package httpserver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/io/httpserver"
	"bluebellflow/io/membudget"
)

// watchedServer is a server that tells what it reads.
type watchedServer struct {
	*httpserver.Server
	read       chan int // bytes of each read
	held       chan struct{}
	unanswered chan httpserver.Unanswered
	served     chan error
}

// watchedConn tells its reads.
type watchedConn struct {
	net.Conn
	server *watchedServer
}

func (c watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.server.read <- n
		<-c.server.held
	}
	return n, err
}

// startWatched starts a server. While held is open, reads return nothing to it.
func startWatched(t *testing.T, server *http.Server, held chan struct{}, opts ...httpserver.Option) *watchedServer {
	s := &watchedServer{read: make(chan int, 100), held: held, unanswered: make(chan httpserver.Unanswered, 10), served: make(chan error, 1)}
	opts = append(opts, httpserver.WithUnanswered(func(u httpserver.Unanswered) { s.unanswered <- u }))
	var err error
	s.Server, err = httpserver.New(netip.MustParseAddrPort("127.0.0.1:0"), server, opts...)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s.WrapConns(func(conn net.Conn) net.Conn { return watchedConn{conn, s} })
	go func() { s.served <- s.Serve() }()
	return s
}

// released returns a closed channel, for reads that are not held back.
func released() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
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
		s := startWatched(t, &http.Server{Handler: http.HandlerFunc(answer)}, released())
		s.send(t, s.dial(t), part)
		s.stop(t)
		s.expectUnanswered(t, httpserver.ByExit, "head")
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
		s := startWatched(t, &http.Server{Handler: http.HandlerFunc(endless)}, released(), httpserver.WithGuard(guard))
		s.send(t, s.dial(t), request)
		s.expectUnanswered(t, httpserver.ByWriteTimeout, "response")
		s.stop(t)
	})
	t.Run("answered, or nothing sent", func(t *testing.T) {
		s := startWatched(t, &http.Server{Handler: http.HandlerFunc(answer)}, released())
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
