package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/proxy"
	"bluebellflow/io/rawserver"
)

const (
	// endlessRequests is the number of requests that wait for a faulty server at a time.
	endlessRequests = 128
	// maxEndlessMemory is what all their answers may take in memory, in bytes. The smallest nodes have 184 MB.
	maxEndlessMemory = 40 << 20
	// endlessBytes is how much the faulty server sends at the most before it stalls; less than any limit for one answer.
	endlessBytes = 1000 << 10
	// callerTimeout is how long callers wait; it exceeds the time in which the bytes are sent.
	callerTimeout = 3 * time.Second
)

// heapBytes returns the size of the reachable heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestEndlessAnswers lets a server answer many requests with bytes that are no answer. It guards against a node that runs out of
// memory, with the requests of other callers, because the bytes are bounded for each answer only.
func TestEndlessAnswers(t *testing.T) {
	lines := "" // different names, each of which takes a header of its own
	for i := range 100 {
		lines += fmt.Sprintf("%c%c:\r\n", 'a'+i/10, 'a'+i%10)
	}
	for name, c := range map[string]struct{ first, filler string }{
		"status line":           {"HTTP/1.1 200 ", "x"},
		"header value":          {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"short header lines":    {"HTTP/1.1 200 OK\r\n", lines},
		"the same header":       {"HTTP/1.1 200 OK\r\n", "a:\n"},
		"body of a length":      {"HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", "x"},
		"body in chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		"chunk extension":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10;", "x"},
		"trailer":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"},
		"unframed body":         {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"failure":               {"HTTP/1.1 500 Internal Server Error\r\n\r\n", "x"},
		"event":                 {streamHead + "\r\ndata: ", "x"},
		"event, in chunks":      {streamHead + "Transfer-Encoding: chunked\r\n\r\n", "8\r\ndata: xx\r\n"},
		"lines of one event":    {streamHead + "\r\n", "data: x\n"},
		"informational answers": {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			filler := strings.Repeat(c.filler, max(1, 4096/len(c.filler)))
			var sent atomic.Int64 // connections on which everything was sent, or no more is read
			faulty, err := rawserver.Start(func(conn net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, err := io.WriteString(conn, c.first)
				for n := 0; err == nil && n < endlessBytes; n += len(filler) {
					_ = conn.SetWriteDeadline(time.Now().Add(time.Second)) // the gateway has stopped reading
					_, err = io.WriteString(conn, filler)
				}
				sent.Add(1)
				_, _ = io.Copy(io.Discard, conn) // until the gateway closes the connection
			})
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = faulty.Close() }()
			sound := listen(t, func(conn net.Conn) { _, _ = io.WriteString(conn, streamHead+"\r\n"+wholeEvents) })
			f := newFront(t, func(f *front, ev event.Event) {
				switch ev := ev.(type) {
				case proxy.Arrive:
					if ev.Name == "/sound" {
						f.forward(ev.Ticket, sound)
						return
					}
					f.forward(ev.Ticket, faulty.Addr())
				case proxy.Ended:
					if ev.Fail != 0 {
						_ = f.Execute(proxy.Refuse{Ticket: ev.Ticket, Status: http.StatusBadGateway})
					}
				}
			})
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			before := heapBytes()
			var callers sync.WaitGroup
			for range endlessRequests {
				callers.Go(func() {
					resp, err := (&http.Client{Transport: transport, Timeout: callerTimeout}).Get(f.http.URL + "/endless")
					if err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					}
				})
			}
			callersDone := make(chan struct{})
			go func() {
				defer close(callersDone)
				callers.Wait()
			}()
			g.Eventually(func() bool {
				select {
				case <-callersDone:
					return true // on a busy machine some give up before their requests are sent
				default:
					return sent.Load() == endlessRequests
				}
			}, testTimeout, time.Millisecond).Should(BeTrue())
			g.Expect(heapBytes()-before).To(BeNumerically("<", maxEndlessMemory), "bytes kept of %d answers", endlessRequests)
			resp, err := http.Get(f.http.URL + "/sound")
			g.Expect(err).NotTo(HaveOccurred())
			raw, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(raw)).To(Equal(wholeEvents))
			g.Eventually(callersDone, testTimeout).Should(BeClosed())
		})
	}
}
