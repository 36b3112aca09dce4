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
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/core/event"
	"bluebellflow/io/rawserver"
	"bluebellflow/io/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// exchangeTimeout bounds one exchange in these tests.
const exchangeTimeout = 2 * time.Second

// start starts a server for a test.
func start(t *testing.T, serve func(net.Conn)) *rawserver.Server {
	t.Helper()
	s, err := rawserver.Start(serve)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// startServer starts a server that responds to each request on a connection with the next of its raw responses and closes
// the connection after the last one.
func startServer(t *testing.T, responses ...string) *rawserver.Server {
	t.Helper()
	return start(t, func(conn net.Conn) { serveConn(conn, responses) })
}

// serveConn reads requests from a connection and responds to each with the next of the raw responses.
func serveConn(conn net.Conn, responses []string) {
	br := bufio.NewReader(conn)
	for _, raw := range responses {
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

// exchange sends a request and returns the body of the response.
func exchange(t *testing.T, c *upstream.Client, addr netip.AddrPort, req *upstream.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	req.Method, req.Target, req.Host, req.Header = http.MethodPost, "/x", "h", http.Header{}
	resp, err := c.Do(ctx, addr, req)
	if err != nil {
		return "", err
	}
	raw, err := io.ReadAll(resp)
	_ = resp.Close()
	return string(raw), err
}

// failKind asserts that an error is an upstream.Error and returns its kind.
func failKind(g *WithT, err error) event.FailKind {
	var failure *upstream.Error
	g.ExpectWithOffset(1, errors.As(err, &failure)).To(BeTrue(), "%v", err)
	return failure.Kind
}

const (
	ownResponse   = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nId: mine\r\n\r\nfine"
	otherResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nId: other\r\n\r\nother"
)

// TestFailureKinds guards against a failed request that is reported as unsent although it may have arrived, or the other
// way round.
func TestFailureKinds(t *testing.T) {
	cases := map[string]struct {
		responses []string
		gone      bool // no server listens
		first     time.Duration
		want      event.FailKind
	}{
		"no listener":         {gone: true, want: event.FailUnsent},
		"closed, no response": {responses: []string{""}, want: event.FailBroken},
		"incomplete header":   {responses: []string{"HTTP/1.1 200 OK\r\nContent-"}, want: event.FailBroken},
		"not a response":      {responses: []string{"hello\r\n\r\n"}, want: event.FailBroken},
		"incomplete body":     {responses: []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"}, want: event.FailBroken},
		"header too large":    {responses: []string{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<20)}, want: event.FailBroken},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startServer(t, tc.responses...)
			if tc.gone {
				_ = s.Close()
			}
			c := upstream.New()
			defer c.Close()
			_, err := exchange(t, c, s.Addr(), &upstream.Request{})
			g.Expect(failKind(g, err)).To(Equal(tc.want))
		})
	}
	t.Run("header timeout", func(t *testing.T) {
		g := NewWithT(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0") // the kernel opens connections, but nothing accepts them
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		c := upstream.New()
		defer c.Close()
		addr := listener.Addr().(*net.TCPAddr).AddrPort()
		_, err = exchange(t, c, addr, &upstream.Request{HeaderDeadline: time.Now().Add(50 * time.Millisecond)})
		g.Expect(failKind(g, err)).To(Equal(event.FailTimeout))
	})
}

// matchMine is a Matches function that takes every response for another request's unless its Id is "mine".
func matchMine(resp *http.Response) upstream.Match {
	if resp.Header.Get("Id") == "mine" {
		return upstream.MatchOwn
	}
	return upstream.MatchOther
}

// TestSkippedResponses guards against taking the response to an earlier request for the response to this one.
func TestSkippedResponses(t *testing.T) {
	matches := matchMine
	t.Run("before the response", func(t *testing.T) {
		g := NewWithT(t)
		s := startServer(t, otherResponse+ownResponse)
		c := upstream.New()
		defer c.Close()
		body, err := exchange(t, c, s.Addr(), &upstream.Request{Matches: matches})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("fine"))
	})
	t.Run("no own response", func(t *testing.T) {
		g := NewWithT(t)
		s := startServer(t, strings.Repeat(otherResponse, 10))
		c := upstream.New()
		defer c.Close()
		_, err := exchange(t, c, s.Addr(), &upstream.Request{Matches: matches})
		g.Expect(failKind(g, err)).To(Equal(event.FailBroken))
	})
	t.Run("after the response", func(t *testing.T) {
		g := NewWithT(t)
		s := startServer(t, ownResponse+otherResponse, ownResponse)
		c := upstream.New()
		defer c.Close()
		for range 2 {
			body, err := exchange(t, c, s.Addr(), &upstream.Request{Matches: matches})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("fine"))
		}
		g.Expect(s.Conns()).To(Equal(int64(2)), "a connection with unread bytes is not reused")
	})
}

// TestConnectionReuse guards against a new connection for each request, and against reusing a connection that the server
// may be closing for a request that must not run twice.
func TestConnectionReuse(t *testing.T) {
	cases := map[string]struct {
		once bool
		wait time.Duration
		want int64
	}{
		"immediately":                  {false, 0, 1},
		"after a while":                {false, 200 * time.Millisecond, 1},
		"must not run twice":           {true, 200 * time.Millisecond, 2},
		"longer than the idle timeout": {false, 1200 * time.Millisecond, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := startServer(t, ownResponse, ownResponse)
			c := upstream.New()
			defer c.Close()
			for i := range 2 {
				if i > 0 {
					time.Sleep(tc.wait)
				}
				body, err := exchange(t, c, s.Addr(), &upstream.Request{AtMostOnce: tc.once})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("fine"))
			}
			g.Expect(s.Conns()).To(Equal(tc.want))
		})
	}
}
