package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/io/rawserver"
	"bluebellflow/io/upstream"
)

// startEndless starts a server that sends first, and then repeats filler until its connection is closed.
func startEndless(t *testing.T, first, filler string) *rawserver.Server {
	t.Helper()
	return start(t, func(conn net.Conn) {
		_, err := io.WriteString(conn, first)
		for err == nil {
			_, err = io.WriteString(conn, filler)
		}
	})
}

// TestEndlessHeader guards against a request that reads bytes which never become a response until its deadline, while the
// server sends them as fast as it can.
func TestEndlessHeader(t *testing.T) {
	const maxDuration = exchangeTimeout / 2
	cases := map[string]struct{ first, filler string }{
		"status line":             {"HTTP/1.1 ", "2"},
		"reason":                  {"HTTP/1.1 200 ", "k"},
		"header name":             {"HTTP/1.1 200 OK\r\n", "X"},
		"header value":            {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":                 {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"informational responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":             {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"other responses":         {"", otherResponse},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startEndless(t, tc.first, tc.filler)
			c := upstream.New()
			defer c.Close()
			began := time.Now()
			_, err := exchange(t, c, s.Addr(), &upstream.Request{Matches: matchMine})
			g.Expect(failKind(g, err)).To(Equal(event.FailBroken))
			g.Expect(time.Since(began)).To(BeNumerically("<", maxDuration))
		})
	}
}

// TestHeaderLines guards against a header of very many short lines, which takes many times its length in memory, and against
// counting lines of the body.
func TestHeaderLines(t *testing.T) {
	const allowed, many = 500, 600
	for name, c := range map[string]struct {
		response string
		want     bool // it is accepted
	}{
		"many":                  {"HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", many) + "Content-Length: 0\r\n\r\n", false},
		"many, line feeds only": {"HTTP/1.1 200 OK\n" + strings.Repeat("a:\n", many) + "Content-Length: 0\n\n", false},
		"as many as allowed":    {"HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", allowed) + "Content-Length: 0\r\n\r\n", true},
		"lines of the body":     {"HTTP/1.1 200 OK\r\nContent-Length: 600\r\n\r\n" + strings.Repeat("\n", many), true},
		"after others":          {strings.Repeat("HTTP/1.1 100 Continue\r\na:\r\n\r\n", 5) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := start(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, c.response)
				_, _ = io.Copy(io.Discard, conn) // until the client closes
			})
			client := upstream.New()
			defer client.Close()
			_, err := exchange(t, client, s.Addr(), &upstream.Request{})
			g.Expect(err == nil).To(Equal(c.want), "%v", err)
		})
	}
}

// TestCloseOfStalledBody guards against the end of an exchange that waits for the rest of a body which does not come: a caller
// that closes a response wants to go on, for example with another server.
func TestCloseOfStalledBody(t *testing.T) {
	const maxDuration = exchangeTimeout / 4
	g := NewWithT(t)
	closed := make(chan struct{})
	s := start(t, func(conn net.Conn) {
		defer close(closed)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 10\r\n\r\nhalf")
		_, _ = io.Copy(io.Discard, conn) // until the client closes
	})
	c := upstream.New()
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	resp, err := c.Do(ctx, s.Addr(), &upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	g.Expect(err).NotTo(HaveOccurred())
	began := time.Now()
	g.Expect(resp.Close()).To(Succeed())
	g.Expect(time.Since(began)).To(BeNumerically("<", maxDuration))
	g.Eventually(closed).Should(BeClosed(), "the connection is not reused")
}
