package gateway_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/proxy"
	"bluebellflow/io/rawserver"
)

// TestCallerLeaves lets callers end their side of the connection and read on. It guards against a 200 with an empty body, or a
// stream that looks whole, which net/http sends when a handler returns before it has sent a response.
func TestCallerLeaves(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, c := range map[string]struct {
		response string // of the server, which stalls after it
		awaited  string // what the caller gets before it leaves
	}{
		"nothing sent yet":        {"", ""},
		"part of a head":          {"HTTP/1.1 200 OK\r\nContent-Le", ""},
		"part of a body":          {"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nhello", ""},
		"part of the first event": {streamHead + "\r\nid: 1\nda", ""},
		"part of a stream":        {streamHead + "\r\n" + wholeEvents, "id: 2\ndata: b\n\n"},
		"part of a longer body":   {"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 100<<10), "xxx"},
		"undecided":               {"-", ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			asked, left := make(chan struct{}, 1), make(chan struct{}, 1)
			server, err := rawserver.Start(func(conn net.Conn) {
				_, _ = io.WriteString(conn, c.response)
				asked <- struct{}{}
				_, _ = io.Copy(io.Discard, conn) // until the gateway closes the connection
			})
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = server.Close() }()
			f := newFront(t, func(f *front, ev event.Event) {
				switch ev := ev.(type) {
				case proxy.Arrive:
					if c.response == "-" {
						asked <- struct{}{}
						return
					}
					f.forward(ev.Ticket, server.Addr())
				case proxy.Disconnected:
					left <- struct{}{}
				}
			})
			conn, err := net.Dial("tcp", f.http.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, request)
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(asked, testTimeout).Should(Receive())
			_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
			got := ""
			for buf := make([]byte, 1<<10); !strings.Contains(got, c.awaited); {
				n, err := conn.Read(buf)
				g.Expect(err).NotTo(HaveOccurred())
				got += string(buf[:n])
			}
			g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
			rest, _ := io.ReadAll(conn)
			got += string(rest)
			g.Eventually(left, testTimeout).Should(Receive())
			if c.awaited == "" {
				g.Expect(got).To(BeEmpty(), "an answer that nobody gave")
				return
			}
			g.Expect(got).To(ContainSubstring("chunked"))
			g.Expect(got).NotTo(HaveSuffix("0\r\n\r\n"), "it looks whole")
		})
	}
}
