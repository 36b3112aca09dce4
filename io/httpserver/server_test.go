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
	"go.uber.org/goleak"

	"bluebellflow/io/httpserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// testTimeout bounds each wait for an expected event.
	testTimeout = 10 * time.Second
	request     = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
)

// testServer is a running server.
type testServer struct {
	*httpserver.Server
	accepted chan struct{} // receives a value for each connection
	served   chan error    // result of Serve
}

func start(t *testing.T, handler http.HandlerFunc) *testServer {
	s := &testServer{accepted: make(chan struct{}, 10), served: make(chan error, 1)}
	state := func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.accepted <- struct{}{}
		}
	}
	var err error
	s.Server, err = httpserver.New(netip.MustParseAddrPort("127.0.0.1:0"), &http.Server{Handler: handler, ConnState: state})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	go func() { s.served <- s.Serve() }()
	return s
}

func answer(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

// connect opens a connection and sends the beginning of a request. It returns when the server has accepted the connection.
func connect(t *testing.T, s *testServer, sent string) net.Conn {
	g := NewWithT(t)
	conn, err := net.Dial("tcp", s.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, sent)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(s.accepted, testTimeout).Should(Receive())
	return conn
}

// finish sends the rest of a request and expects its answer, after which the connection is closed.
func finish(t *testing.T, conn net.Conn, rest string) {
	g := NewWithT(t)
	_, err := io.WriteString(conn, rest)
	g.Expect(err).NotTo(HaveOccurred())
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	br := bufio.NewReader(conn)
	resp, err := http.ReadResponse(br, nil)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("abc"))
	_, err = br.ReadByte()
	g.Expect(err).To(MatchError(io.EOF))
}

// TestDrain guards against a server that closes connections without an answer to a request whose end it reads after it has
// stopped accepting connections, and against a drain whose end is not reported because another one followed.
func TestDrain(t *testing.T) {
	for name, sent := range map[string]int{"nothing sent": 0, "part of the head": 20, "head": len(request) - 3, "part of the body": len(request) - 1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := start(t, answer)
			conn := connect(t, s, request[:sent])
			empty := make(chan struct{})
			s.Drain(func() { close(empty) })
			g.Expect(net.Dial("tcp", s.Addr().String())).Error().To(HaveOccurred(), "connections are accepted")
			g.Consistently(empty, 20*time.Millisecond).ShouldNot(BeClosed())
			finish(t, conn, request[sent:])
			g.Eventually(empty, testTimeout).Should(BeClosed())
			s.Stop(testTimeout)
			g.Eventually(s.served, testTimeout).Should(Receive(BeNil()))
		})
	}
	t.Run("twice", func(t *testing.T) {
		g := NewWithT(t)
		s := start(t, answer)
		conn := connect(t, s, request[:1])
		empty := make(chan struct{}, 2)
		for range cap(empty) {
			s.Drain(func() { empty <- struct{}{} })
		}
		finish(t, conn, request[1:])
		for range cap(empty) {
			g.Eventually(empty, testTimeout).Should(Receive())
		}
		s.Stop(testTimeout)
		g.Eventually(s.served, testTimeout).Should(Receive(BeNil()))
	})
	t.Run("idle connections are closed", func(t *testing.T) {
		g := NewWithT(t)
		s := start(t, answer)
		resp, err := http.Post("http://"+s.Addr().String(), "text/plain", nil)
		g.Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		empty := make(chan struct{})
		s.Drain(func() { close(empty) })
		g.Eventually(empty, testTimeout).Should(BeClosed())
		s.Stop(testTimeout)
		g.Eventually(s.served, testTimeout).Should(Receive(BeNil()))
	})
}

// TestStop guards against a stop that does not end because a request does not, and against closing its connection without
// notice.
func TestStop(t *testing.T) {
	g := NewWithT(t)
	entered, release := make(chan struct{}), make(chan struct{})
	s := start(t, func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	})
	defer close(release)
	noticed := false
	s.BeforeClose(func() { noticed = true })
	conn := connect(t, s, request)
	<-entered
	s.Stop(50 * time.Millisecond)
	g.Expect(noticed).To(BeTrue())
	g.Eventually(s.served, testTimeout).Should(Receive(BeNil()))
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	_, err := conn.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
}

// queueServer is a server that waits after its first accept, so that connections stay in the queue of its listener.
type queueServer struct {
	*httpserver.Server
	accept chan struct{} // closed to go on
	served chan error
	conns  []net.Conn // on each of which a request was sent
}

func startQueue(t *testing.T, conns int) *queueServer {
	g := NewWithT(t)
	s := &queueServer{accept: make(chan struct{}), served: make(chan error, 1), conns: make([]net.Conn, conns)}
	accepted := make(chan struct{}, conns)
	server := &http.Server{Handler: http.HandlerFunc(answer), ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			accepted <- struct{}{}
			<-s.accept
		}
	}}
	var err error
	s.Server, err = httpserver.New(netip.MustParseAddrPort("127.0.0.1:0"), server)
	g.Expect(err).NotTo(HaveOccurred())
	go func() { s.served <- s.Serve() }()
	for i := range s.conns {
		s.conns[i], err = net.Dial("tcp", s.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = s.conns[i].Close() })
		_, err = io.WriteString(s.conns[i], request)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(accepted, testTimeout).Should(Receive())
	return s
}

// expectAnswers asserts that each request is answered.
func (s *queueServer) expectAnswers(t *testing.T) {
	t.Helper()
	for _, conn := range s.conns {
		finish(t, conn, "")
	}
}

// TestQueuedConnections guards against a server that closes its listener while connections wait to be accepted, on which callers have
// sent requests, also if it accepts them late because it gets no processor time.
func TestQueuedConnections(t *testing.T) {
	for name, late := range map[string]time.Duration{"at once": pause, "late": 6 * pause} {
		t.Run(name, func(t *testing.T) {
			s := startQueue(t, 4)
			go s.Stop(testTimeout)
			NewWithT(t).Consistently(s.served, late).ShouldNot(Receive())
			close(s.accept)
			s.expectAnswers(t)
			NewWithT(t).Eventually(s.served, testTimeout).Should(Receive(BeNil()))
		})
	}
}

// TestRepeatedDrain guards against a second drain that makes the listener close before its queue is empty.
func TestRepeatedDrain(t *testing.T) {
	for range 10 {
		s := startQueue(t, 50)
		go s.Drain(func() {})
		time.Sleep(5 * time.Millisecond)
		close(s.accept)
		for range 300 {
			go s.Drain(func() {})
		}
		s.expectAnswers(t)
		s.Stop(testTimeout)
		NewWithT(t).Eventually(s.served, testTimeout).Should(Receive(BeNil()))
	}
}
