package httpserver_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/io/httpserver"
	"bluebellflow/io/membudget"
)

const (
	smallVM, smallVMDescriptors = 136, 2870 // the smallest VM
	maxBody                     = 4 << 20   // of the configuration
	// responseTimeout bounds the wait for a response. With the race detector, a million chunks take more than ten seconds on a
	// busy machine.
	responseTimeout = time.Minute
)

// guarded is a running server with a guard, whose handler answers with the length of the body.
type guarded struct {
	*httpserver.Server
	budget *membudget.Budget
	guard  *httpserver.Guard
	total  int64
}

func startGuarded(tb testing.TB, plan membudget.Plan, opts ...httpserver.GuardOption) *guarded {
	s := &guarded{budget: membudget.New(plan.Callers), total: plan.Callers}
	s.guard = httpserver.NewGuard(s.budget, httpserver.Limits{Conns: plan.CallerConns, Stall: testTimeout, Write: testTimeout, Lines: 4096}, opts...)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := httpserver.ReadBody(w, r, maxBody)
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &large):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, httpserver.ErrBusy):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusRequestTimeout)
		}
		_, _ = fmt.Fprint(w, len(body))
	})
	var err error
	s.Server, err = httpserver.New(netip.MustParseAddrPort("127.0.0.1:0"), &http.Server{Handler: handler, MaxHeaderBytes: 64 << 10}, httpserver.WithGuard(s.guard))
	NewWithT(tb).Expect(err).NotTo(HaveOccurred())
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	tb.Cleanup(func() {
		s.Stop(0)
		<-served
	})
	return s
}

func (s *guarded) dial(tb testing.TB) net.Conn {
	conn, err := net.Dial("tcp", s.Addr().String())
	NewWithT(tb).Expect(err).NotTo(HaveOccurred())
	tb.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(responseTimeout))
	return conn
}

// expectResponse sends a request and expects a status and a body.
func (s *guarded) expectResponse(t *testing.T, request string, status int, body string) {
	t.Helper()
	g := NewWithT(t)
	conn := s.dial(t)
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, request) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	raw, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(status))
	g.Expect(string(raw)).To(Equal(body))
}

func post(headers string) string { return "POST / HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" }

// TestInsideLimits guards against a request inside the limits that is refused in calm on the smallest VM, whatever its size.
func TestInsideLimits(t *testing.T) {
	s := startGuarded(t, membudget.Divide(smallVM, smallVMDescriptors))
	body := strings.Repeat("x", maxBody)
	length := fmt.Sprintf("Content-Length: %d\r\n", maxBody)
	for name, c := range map[string]struct {
		request, answer string
		status          int
	}{
		"no body":           {post(""), "0", http.StatusOK},
		"body":              {post(length) + body, fmt.Sprint(maxBody), http.StatusOK},
		"body and headers":  {post(strings.Repeat("a:\r\n", 3200)+length) + body, fmt.Sprint(maxBody), http.StatusOK},
		"body in chunks":    {post("Transfer-Encoding: chunked\r\n") + strings.Repeat("4\r\nabcd\r\n", maxBody/4) + "0\r\n\r\n", fmt.Sprint(maxBody), http.StatusOK},
		"larger, not read":  {post(fmt.Sprintf("Content-Length: %d\r\n", maxBody+1)), "0", http.StatusRequestEntityTooLarge},
		"larger, in chunks": {post("Transfer-Encoding: chunked\r\n") + "400001\r\n" + body + "x\r\n0\r\n\r\n", "0", http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) { s.expectResponse(t, c.request, c.status, c.answer) })
	}
	NewWithT(t).Eventually(s.budget.Left, testTimeout).Should(Equal(s.total), "memory is not returned")
}

// TestMemoryOfBodies guards against unfinished bodies that keep other requests from being served, and memory that is not
// returned.
func TestMemoryOfBodies(t *testing.T) {
	g := NewWithT(t)
	plan := membudget.Plan{Callers: 4 * maxBody, CallerConns: 100}
	reports := make(chan error, 100)
	s := startGuarded(t, plan, httpserver.WithReport(func(err error) { reports <- err }))
	unused := make(chan struct{}, 1)
	s.budget.OnUnused(func() {
		select {
		case unused <- struct{}{}:
		default: // the guard waits for the function
		}
	})
	var crowd []net.Conn
	for range 20 {
		conn := s.dial(t)
		go func() {
			_, _ = io.WriteString(conn, post(fmt.Sprintf("Content-Length: %d\r\n", maxBody))+strings.Repeat("x", maxBody-1))
		}()
		crowd = append(crowd, conn)
	}
	g.Eventually(reports, testTimeout).Should(Receive(MatchError(ContainSubstring("callers outside the limits"))))
	s.expectResponse(t, post("Content-Length: 3\r\n")+"abc", http.StatusOK, "3")
	for _, conn := range crowd {
		_ = conn.Close()
	}
	g.Eventually(unused, testTimeout).Should(Receive())
	g.Eventually(s.guard.Conns, testTimeout).Should(BeZero())
	g.Expect(s.budget.Left()).To(Equal(s.total))
}

// TestConnections guards against silent connections that keep others from being served.
func TestConnections(t *testing.T) {
	g := NewWithT(t)
	s := startGuarded(t, membudget.Plan{Callers: maxBody, CallerConns: 10})
	for range 30 {
		s.dial(t)
	}
	s.expectResponse(t, post("Content-Length: 3\r\n")+"abc", http.StatusOK, "3")
	g.Expect(s.guard.Conns()).To(BeNumerically("<=", 10))
}

// TestUnreadResponse guards against callers that do not read, and hold their responses for as long as they like.
func TestUnreadResponse(t *testing.T) {
	g := NewWithT(t)
	failed := make(chan error, 1)
	handler := func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				failed <- err
				return
			}
		}
	}
	guard := httpserver.NewGuard(membudget.New(1<<20), httpserver.Limits{Conns: 1, Stall: testTimeout, Write: 50 * time.Millisecond, Lines: 100})
	server, err := httpserver.New(netip.MustParseAddrPort("127.0.0.1:0"), &http.Server{Handler: http.HandlerFunc(handler)}, httpserver.WithGuard(guard))
	g.Expect(err).NotTo(HaveOccurred())
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	conn, err := net.Dial("tcp", server.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, post(""))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(failed, testTimeout).Should(Receive(MatchError(os.ErrDeadlineExceeded)))
	server.Stop(0)
	g.Expect(<-served).To(Succeed())
}

// FuzzRequest guards against requests that end the process, or whose memory is not returned.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		post("Content-Length: 3\r\n") + "abc" + post(""),
		post("Transfer-Encoding: chunked\r\nTrailer: A\r\n") + "1;a=b\r\nx\r\n0\r\nA: b\r\n\r\n" + post(""),
		post(strings.Repeat("a:\r\n", 5000)),
		post("Content-Length: 9999999999\r\nExpect: 100-continue\r\n"),
		post("Content-Length: 5000\r\n") + strings.Repeat("x", 4999),
		strings.Repeat(post(""), 50),
		"GET /\x00 HTTP/9.9\r\n:\r\n\n",
	} {
		f.Add([]byte(seed))
	}
	s := startGuarded(f, membudget.Plan{Callers: 1 << 20, CallerConns: 100})
	f.Fuzz(func(t *testing.T, raw []byte) {
		conn := s.dial(t)
		_, _ = conn.Write(raw) // the server may close the connection
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		g := NewWithT(t)
		g.Eventually(s.guard.Conns, testTimeout).Should(BeZero())
		g.Expect(s.budget.Left()).To(Equal(s.total))
	})
}

// TestUnsetLimits guards against a server that serves nobody, because a limit of its guard is not set.
func TestUnsetLimits(t *testing.T) {
	for name, unset := range map[string]func(*httpserver.Limits){
		"connections": func(l *httpserver.Limits) { l.Conns = 0 },
		"stall":       func(l *httpserver.Limits) { l.Stall = 0 },
		"write":       func(l *httpserver.Limits) { l.Write = 0 },
		"lines":       func(l *httpserver.Limits) { l.Lines = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			limits := httpserver.Limits{Conns: 1, Stall: testTimeout, Write: testTimeout, Lines: 1}
			unset(&limits)
			guard := httpserver.NewGuard(membudget.New(1<<20), limits)
			_, err := httpserver.New(netip.MustParseAddrPort("127.0.0.1:0"), &http.Server{}, httpserver.WithGuard(guard))
			NewWithT(t).Expect(err).To(MatchError("limits for callers: " + name + ": 0 is not above 0"))
		})
	}
}
