package gateway_test

import (
	"io"
	"net"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/catalog"
	"bluebellflow/core/event"
	"bluebellflow/core/proxy"
	"bluebellflow/io/gateway"
)

// TestUnanswered guards against a connection that is closed without a complete response, and of which no log line says why, or how
// far the request had got.
func TestUnanswered(t *testing.T) {
	const request = "POST /named HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
	stream := streamHead + "Transfer-Encoding: chunked\r\n\r\n1e\r\n" + wholeEvents + "\r\n"
	for name, c := range map[string]struct {
		sent     string // by the caller
		response string // of the server, empty if none is chosen
		awaited  string // what the caller waits for before it leaves
		breakOff bool   // the server closes the connection after its response
		want     gateway.OpenRequest
	}{
		"caller leaves while its body is read": {request[:len(request)-1], "", "", false, gateway.OpenRequest{Cause: "caller", Progress: "reading"}},
		"caller leaves, undecided":             {request, "", "", false, gateway.OpenRequest{Name: "/named", Cause: "caller", Progress: "undecided"}},
		"caller leaves, forwarded":             {request, "HTTP/1.1 200 OK\r\n", "", false, gateway.OpenRequest{Name: "/named", Cause: "caller", Progress: "forwarded"}},
		"caller leaves a stream":               {request, stream, "id: 2\ndata: b\n\n", false, gateway.OpenRequest{Name: "/named", Cause: "caller", Progress: "responding", Events: 2}},
		"server breaks off a stream":           {request, stream, "id: 2\ndata: b\n\n", true, gateway.OpenRequest{Name: "/named", Cause: "aborted", Progress: "responding", Events: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			reached := make(chan struct{}, 1)
			server := listen(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, c.response)
				reached <- struct{}{}
				if !c.breakOff {
					_, _ = io.Copy(io.Discard, conn) // until the gateway closes the connection
				}
			})
			f := newFront(t, func(f *front, ev event.Event) {
				switch ev := ev.(type) {
				case proxy.Arrive:
					if c.response != "" {
						f.forward(ev.Ticket, server)
						return
					}
					reached <- struct{}{}
				case proxy.Ended:
					_ = f.Execute(proxy.Abort{Ticket: ev.Ticket})
				}
			})
			g.Expect(f.Execute(proxy.Limit{Limits: catalog.Limits{BodyBytes: 1000}})).To(Succeed())
			conn, err := net.Dial("tcp", f.http.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, c.sent)
			g.Expect(err).NotTo(HaveOccurred())
			if c.want.Name != "" {
				g.Eventually(reached, testTimeout).Should(Receive())
			} else {
				g.Eventually(f.InProgress, testTimeout).Should(Equal(1))
			}
			got := ""
			for buf := make([]byte, 1<<10); !strings.Contains(got, c.awaited); {
				n, err := conn.Read(buf)
				g.Expect(err).NotTo(HaveOccurred())
				got += string(buf[:n])
			}
			if !c.breakOff {
				_ = conn.Close()
			}
			var r gateway.OpenRequest
			g.Eventually(f.unanswered, testTimeout).Should(Receive(&r))
			g.Expect(r.Recent).To(HavePrefix("config="))
			g.Expect(r.Reason()).To(HavePrefix("by=" + c.want.Cause + " age="))
			g.Expect(f.vars.Get("unanswered_" + c.want.Cause).String()).To(Equal("1"))
			r.Age, r.Recent, r.Detail = 0, "", ""
			g.Expect(r).To(Equal(c.want))
		})
	}
}
