package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/core/event"
	"bluebellflow/io/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// exchangeTimeout bounds an exchange in these tests.
const exchangeTimeout = 2 * time.Second

// rawServer answers each request on a connection with the next of some raw answers, and closes it after the last one.
type rawServer struct {
	listener net.Listener
	conns    atomic.Int64
}

func startServer(t *testing.T, answers ...string) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := &rawServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go serveConn(conn, answers)
		}
	}()
	return s
}

func serveConn(conn net.Conn, answers []string) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for _, raw := range answers {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if _, err := io.WriteString(conn, raw); err != nil {
			return
		}
	}
}

func (s *rawServer) addr() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// exchange sends a request and returns the body of its answer.
func exchange(t *testing.T, c *upstream.Client, addr netip.AddrPort, req *upstream.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	req.Method, req.Target, req.Host, req.Header = http.MethodPost, "/x", "h", http.Header{}
	a, err := c.Do(ctx, addr, req)
	if err != nil {
		return "", err
	}
	raw, err := io.ReadAll(a)
	_ = a.Close()
	return string(raw), err
}

// failKind asserts that an error says how a request failed.
func failKind(g *WithT, err error) event.FailKind {
	var failure *upstream.Error
	g.ExpectWithOffset(1, errors.As(err, &failure)).To(BeTrue(), "%v", err)
	return failure.Kind
}

const (
	ownResponse   = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nId: mine\r\n\r\nfine"
	otherResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nId: other\r\n\r\nother"
)

// TestFailureKinds guards against a request that counts as not run although it may have arrived, or the other way round.
func TestFailureKinds(t *testing.T) {
	cases := map[string]struct {
		answers []string
		gone    bool // nobody listens
		first   time.Duration
		want    event.FailKind
	}{
		"nobody listens":        {gone: true, want: event.FailUnsent},
		"closed without answer": {answers: []string{""}, want: event.FailBroken},
		"half a head":           {answers: []string{"HTTP/1.1 200 OK\r\nContent-"}, want: event.FailBroken},
		"not an answer":         {answers: []string{"hello\r\n\r\n"}, want: event.FailBroken},
		"half a body":           {answers: []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"}, want: event.FailBroken},
		"head without end":      {answers: []string{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20)}, want: event.FailBroken},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startServer(t, one.answers...)
			if one.gone {
				_ = s.listener.Close()
			}
			c := upstream.New()
			defer c.Close()
			_, err := exchange(t, c, s.addr(), &upstream.Request{})
			g.Expect(failKind(g, err)).To(Equal(one.want))
		})
	}
	t.Run("no answer in time", func(t *testing.T) {
		g := NewWithT(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0") // it accepts nothing, but the kernel does
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		c := upstream.New()
		defer c.Close()
		addr := listener.Addr().(*net.TCPAddr).AddrPort()
		_, err = exchange(t, c, addr, &upstream.Request{HeaderDeadline: time.Now().Add(50 * time.Millisecond)})
		g.Expect(failKind(g, err)).To(Equal(event.FailTimeout))
	})
}

// TestSkippedResponses guards against an answer to an earlier request that is taken for the one to this request.
func TestSkippedResponses(t *testing.T) {
	mine := func(resp *http.Response) bool { return resp.Header.Get("Id") == "mine" }
	t.Run("before the answer", func(t *testing.T) {
		g := NewWithT(t)
		s := startServer(t, otherResponse+ownResponse)
		c := upstream.New()
		defer c.Close()
		body, err := exchange(t, c, s.addr(), &upstream.Request{Matches: mine})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("fine"))
	})
	t.Run("only others", func(t *testing.T) {
		g := NewWithT(t)
		s := startServer(t, strings.Repeat(otherResponse, 10))
		c := upstream.New()
		defer c.Close()
		_, err := exchange(t, c, s.addr(), &upstream.Request{Matches: mine})
		g.Expect(failKind(g, err)).To(Equal(event.FailBroken))
	})
	t.Run("after the answer", func(t *testing.T) {
		g := NewWithT(t)
		s := startServer(t, ownResponse+otherResponse, ownResponse)
		c := upstream.New()
		defer c.Close()
		for range 2 {
			body, err := exchange(t, c, s.addr(), &upstream.Request{Matches: mine})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("fine"))
		}
		g.Expect(s.conns.Load()).To(Equal(int64(2)), "a connection with surplus bytes is not used again")
	})
}

// TestConnectionReuse guards against a connection for each request, and against a connection on which something may be under way
// for a request that must not run twice.
func TestConnectionReuse(t *testing.T) {
	cases := map[string]struct {
		once bool
		wait time.Duration
		want int64
	}{
		"at once":                            {false, 0, 1},
		"after a while":                      {false, 200 * time.Millisecond, 1},
		"must not run twice":                 {true, 200 * time.Millisecond, 2},
		"longer than the server may keep it": {false, 1200 * time.Millisecond, 2},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := startServer(t, ownResponse, ownResponse)
			c := upstream.New()
			defer c.Close()
			for i := range 2 {
				if i > 0 {
					time.Sleep(one.wait)
				}
				body, err := exchange(t, c, s.addr(), &upstream.Request{AtMostOnce: one.once})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("fine"))
			}
			g.Expect(s.conns.Load()).To(Equal(one.want))
		})
	}
}
