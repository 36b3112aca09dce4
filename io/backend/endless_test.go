package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/io/rawserver"
)

// heapBytes returns the size of the reachable heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestEndlessResponses lets a server send bytes that are no response to many attempts. It guards against a node that runs out of
// memory because the bytes are bounded for each attempt only.
func TestEndlessResponses(t *testing.T) {
	const (
		attempts  = 64
		maxBytes  = 100 << 20 // of the reachable heap
		sentBytes = 4 << 20   // to each attempt, after which the server stalls; less than an output may have
	)
	for name, c := range map[string]struct {
		first, filler string
		stream        bool
	}{
		"header":             {"HTTP/1.1 200 OK\r\nA: ", "x", false},
		"short header lines": {"HTTP/1.1 200 OK\r\n", "a:\r\n", false},
		"output":             {"HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n", "x", false},
		"output in chunks":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n", false},
		"event":              {"HTTP/1.1 200 OK\r\n\r\ndata: ", "x", true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			filler := strings.Repeat(c.filler, 16<<10/len(c.filler))
			var sent atomic.Int64 // connections on which everything was sent, or no more is read
			server, err := rawserver.Start(func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return // no attempt
				}
				_, err := io.WriteString(conn, c.first)
				for n := 0; err == nil && n < sentBytes; n += len(filler) {
					_ = conn.SetWriteDeadline(time.Now().Add(time.Second)) // the client has stopped reading
					_, err = io.WriteString(conn, filler)
				}
				sent.Add(1)
				_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
			})
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = server.Close() }()
			client, events := startClient(t)
			before := heapBytes()
			for i := range attempts {
				d := newDispatch(server.Addr(), c.stream)
				d.Attempt, d.Deadline = id.Attempt(i+1), time.Now().Add(3*time.Second)
				client.Dispatch(d)
			}
			var ended []event.Event // on a busy machine some attempts end before they are sent
			g.Eventually(func() bool {
				for len(events) > 0 {
					ended = append(ended, <-events)
				}
				return sent.Load() == attempts || len(ended) == attempts
			}, testTimeout, time.Millisecond).Should(BeTrue())
			g.Expect(heapBytes()-before).To(BeNumerically("<", maxBytes), "bytes kept of %d responses", attempts)
			for len(ended) < attempts {
				_, end := waitForEnd(t, events)
				ended = append(ended, end)
			}
			for _, end := range ended {
				g.Expect(end).To(BeAssignableToTypeOf(event.AttemptFailed{}))
			}
		})
	}
}
