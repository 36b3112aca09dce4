package upstream_test

import (
	"expvar"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/connlimit"
	"bluebellflow/core/event"
	"bluebellflow/io/rawserver"
	"bluebellflow/io/upstream"
)

// startLimited starts a server that accepts a number of connections, and counts and resets those above it without reading from
// them.
func startLimited(t *testing.T, maxConns int64) (s *rawserver.Server, resets *atomic.Int64) {
	return startResetting(t, maxConns, func() {})
}

// startResetting does the same, and calls onReset after each reset.
func startResetting(t *testing.T, maxConns int64, onReset func()) (s *rawserver.Server, resets *atomic.Int64) {
	var open atomic.Int64
	resets = new(atomic.Int64)
	return start(t, func(conn net.Conn) {
		defer open.Add(-1)
		if open.Add(1) > maxConns {
			resets.Add(1)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			onReset()
			return
		}
		serveConn(conn, []string{ownResponse, ownResponse, ownResponse})
		_, _ = conn.Read(make([]byte, 1)) // until the client closes
	}), resets
}

// TestResetAtAccept guards against a request that counts as possibly run although its connection was reset before the server
// read from it, and before the shortest wait between the opening of a connection and the first write had passed.
func TestResetAtAccept(t *testing.T) {
	const attempts, shortestWait = 50, 2 * time.Millisecond
	for name, body := range map[string]string{"small": "x", "large": strings.Repeat("x", 1<<20)} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			resetAt := make(chan time.Time, 1)
			s, _ := startResetting(t, 0, func() { resetAt <- time.Now() })
			c := upstream.New()
			defer c.Close()
			for range attempts {
				began := time.Now()
				_, err := exchange(t, c, s.Addr(), &upstream.Request{AtMostOnce: true, Body: []byte(body), Limit: connlimit.Limit{Conns: 1}})
				kind := failKind(g, err)
				// A busy machine may accept the connection after the wait.
				if reset := <-resetAt; reset.Sub(began) < shortestWait {
					g.Expect(kind).To(Equal(event.FailUnsent))
				}
			}
		})
	}
}

// TestLimitOfManyClients guards against idle connections of many clients that take all connections of a server, so that it
// resets new ones, and against idle connections beside those in use.
func TestLimitOfManyClients(t *testing.T) {
	const clients, maxConns, rounds = 60, 40, 3
	g := NewWithT(t)
	s, resets := startLimited(t, maxConns)
	var all []*upstream.Client
	var vars expvar.Map
	for range clients {
		c := upstream.New(upstream.WithVars(&vars))
		defer c.Close()
		all = append(all, c)
	}
	for i := range clients * rounds {
		var wg sync.WaitGroup
		for range 2 { // one of them has no share
			wg.Go(func() {
				_, err := exchange(t, all[i%clients], s.Addr(), &upstream.Request{AtMostOnce: true, Limit: connlimit.Limit{Conns: 1}})
				g.Expect(err).NotTo(HaveOccurred())
			})
		}
		wg.Wait()
	}
	g.Expect(resets.Load()).To(BeZero())
	g.Expect(vars.Get("upstream_open").String()).To(Equal("1"), "of the last client, which has counted last")
}
