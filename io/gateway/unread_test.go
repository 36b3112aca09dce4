package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/catalog"
	"bluebellflow/core/event"
	"bluebellflow/core/proxy"
)

// TestRefusalBeforeBody guards against a node that reads the body of a request which it is going to refuse, and against a
// request that is run without its body because a configuration was loaded meanwhile.
func TestRefusalBeforeBody(t *testing.T) {
	for name, c := range map[string]struct {
		action func(proxy.Ticket) event.Action
		status int
	}{
		"refused": {func(t proxy.Ticket) event.Action { return proxy.Refuse{Ticket: t, Status: http.StatusNotFound} }, http.StatusNotFound},
		"admitted meanwhile": {func(t proxy.Ticket) event.Action {
			return proxy.Forward{Ticket: t, Until: time.Now().Add(testTimeout)}
		}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			known, err := catalog.New(catalog.Config{Version: 1})
			g.Expect(err).NotTo(HaveOccurred())
			gone := make(chan struct{}, 1)
			f := newFront(t, func(f *front, ev event.Event) {
				switch ev := ev.(type) {
				case proxy.Arrive:
					_ = f.Execute(c.action(ev.Ticket))
				case proxy.Disconnected:
					gone <- struct{}{}
				}
			})
			g.Expect(f.Execute(proxy.Limit{Limits: catalog.Limits{BodyBytes: 1000}, Catalog: known})).To(Succeed())
			conn, err := net.Dial("tcp", f.http.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
			_, err = io.WriteString(conn, "POST /unknown HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			g.Expect(err).NotTo(HaveOccurred())
			_ = resp.Body.Close()
			g.Expect(resp.StatusCode).To(Equal(c.status))
			if c.status == http.StatusServiceUnavailable {
				g.Eventually(gone, testTimeout).Should(Receive(), "the decision logic is not told")
			}
		})
	}
}
