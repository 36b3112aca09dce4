package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/io/rawserver"
)

// TestCutResponses lets a server stop at each byte of its response and close the connection. It guards against an attempt that
// counts as done with an empty or short output, and against one that counts as not run.
func TestCutResponses(t *testing.T) {
	const events = "event: part\ndata: {\"seq\":0,\"tokens\":1,\"text\":\"a\"}\n\nevent: end\ndata: {\"tokens\":1,\"took\":5}\n\n"
	for name, c := range map[string]struct {
		head, body string
		stream     bool
	}{
		"length": {"HTTP/1.1 200 OK|Content-Type: text/plain|Content-Length: 5||", "hello", false},
		"chunks": {"HTTP/1.1 200 OK|Transfer-Encoding: chunked||", "5\r\nhello\r\n0\r\n\r\n", false},
		"stream": {"HTTP/1.1 200 OK|Content-Type: text/event-stream||", events[:len(events)-1], true},
	} {
		for lineEnd, ends := range map[string]string{"CRLF": "\r\n", "LF": "\n"} {
			t.Run(name+", "+lineEnd, func(t *testing.T) {
				g := NewWithT(t)
				whole := strings.ReplaceAll(c.head, "|", ends) + c.body
				var sent atomic.Int64 // bytes of the response that are sent
				server, err := rawserver.Start(func(conn net.Conn) {
					req, err := http.ReadRequest(bufio.NewReader(conn))
					if err == nil && req.URL.Path == "/v1/run" {
						_, _ = io.Copy(io.Discard, io.LimitReader(req.Body, req.ContentLength))
						_, _ = io.WriteString(conn, whole[:sent.Load()])
					}
				})
				g.Expect(err).NotTo(HaveOccurred())
				defer func() { _ = server.Close() }()
				client, events := startClient(t)
				for cut := range len(whole) {
					sent.Store(int64(cut))
					client.Dispatch(newDispatch(server.Addr(), c.stream))
					_, end := waitForEnd(t, events)
					failed, ok := end.(event.AttemptFailed)
					g.Expect(ok).To(BeTrue(), "cut after %d bytes: %+v", cut, end)
					g.Expect(failed.Kind).To(Equal(event.FailBroken), "cut after %d bytes", cut)
				}
			})
		}
	}
}

// TestMalformedResponse guards against bytes that are no response and count as the output of an attempt or the outcome of an order.
func TestMalformedResponse(t *testing.T) {
	for name, begin := range rawserver.Malformed {
		t.Run(name, func(t *testing.T) {
			server, err := rawserver.Start(rawserver.Answer(begin + "Content-Length: 2\r\n\r\nok"))
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			defer func() { _ = server.Close() }()
			client, events := startClient(t)
			client.Dispatch(newDispatch(server.Addr(), false))
			_, end := waitForEnd(t, events)
			NewWithT(t).Expect(end).To(HaveField("Kind", event.FailBroken))
			client.Order(event.Order{Server: "s1", Addr: server.Addr()})
			NewWithT(t).Expect(receiveNext[event.OrderResult](t, events).Code).To(Equal(event.CodeUnknown))
		})
	}
}
