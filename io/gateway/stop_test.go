package gateway_test

import (
	"bufio"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/batch"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
	"bluebellflow/io/gateway"
	"bluebellflow/io/upstream"
)

// testTimeout bounds each wait for an expected event; no assertion depends on a shorter time.
const testTimeout = 10 * time.Second

// dialect reads only the name of a request and the event after which it resumes a stream, and takes each response for one of a server.
type dialect struct{ gateway.Dialect }

func (dialect) RequestInfo(r *http.Request) (proxy.RequestInfo, error) {
	return proxy.RequestInfo{Name: id.Request(r.URL.Path), LastEventID: r.URL.Query().Get("after")}, nil
}

func (dialect) SetRefusalHeaders(http.Header, id.Request) {}

func (dialect) SetRequestHeaders(http.Header, proxy.Forward, time.Duration) {}

func (dialect) Matches(id.Request, *http.Response) upstream.Match { return upstream.MatchOwn }

func (dialect) ResponseInfo(*http.Response) gateway.ResponseInfo {
	return gateway.ResponseInfo{Sealed: true}
}

// front is a gateway server whose decision logic is replaced by a function.
type front struct {
	*gateway.Server
	http       *httptest.Server
	unanswered chan gateway.OpenRequest
	vars       *expvar.Map
}

func newFront(t *testing.T, decide func(f *front, ev event.Event)) *front {
	f := &front{unanswered: make(chan gateway.OpenRequest, 1), vars: new(expvar.Map)}
	f.Server = gateway.New(dialect{}, upstream.New(), func(ev event.Event) { decide(f, ev) },
		gateway.WithVars(f.vars), gateway.WithUnanswered(f.reportUnanswered))
	f.http = httptest.NewServer(f.Server)
	t.Cleanup(f.http.Close)
	return f
}

// reportUnanswered keeps the first request that is reported.
func (f *front) reportUnanswered(r gateway.OpenRequest) {
	select {
	case f.unanswered <- r:
	default:
	}
}

// forward sends a request to a server.
func (f *front) forward(t proxy.Ticket, addr netip.AddrPort) {
	_ = f.Execute(proxy.Forward{Ticket: t, Server: batch.Target{ID: "s", Addr: addr}, Hold: true, Until: time.Now().Add(testTimeout)})
}

// get returns the response to a request, whose body has been read.
func (f *front) get(t *testing.T) *http.Response {
	client := &http.Client{Timeout: testTimeout}
	resp, err := client.Get(f.http.URL)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp
}

// listen starts a server that handles its only connection after it has read a request.
func listen(t *testing.T, handle func(net.Conn)) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			handle(conn)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// closedAddr returns an address that refuses connections.
func closedAddr(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	_ = listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// expectRefused asserts that a response says that the request has not run, and when to come back.
func expectRefused(t *testing.T, resp *http.Response) {
	NewWithT(t).Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	NewWithT(t).Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
}

// TestRequestAfterLoop guards against a request that gets no response, or is sent to a server, because the event loop, which
// decides about it, has ended; and against saying of one that ran that it did not.
func TestRequestAfterLoop(t *testing.T) {
	t.Run("undecided", func(t *testing.T) {
		f := newFront(t, func(f *front, ev event.Event) {
			if _, ok := ev.(proxy.Arrive); ok {
				f.Stop()
			}
		})
		expectRefused(t, f.get(t))
	})
	t.Run("arrives later", func(t *testing.T) {
		f := newFront(t, func(*front, event.Event) {})
		f.Stop()
		expectRefused(t, f.get(t))
	})
	t.Run("the decision to forward it is queued", func(t *testing.T) {
		for range 20 { // the outcome must not depend on the order in which the server sees both
			received := make(chan struct{}, 1)
			addr := listen(t, func(net.Conn) { received <- struct{}{} })
			f := newFront(t, func(f *front, ev event.Event) {
				if ev, ok := ev.(proxy.Arrive); ok {
					f.forward(ev.Ticket, addr)
					f.Stop()
				}
			})
			expectRefused(t, f.get(t))
			NewWithT(t).Expect(received).NotTo(Receive())
		}
	})
	t.Run("the refusal is queued", func(t *testing.T) {
		f := newFront(t, func(f *front, ev event.Event) {
			if ev, ok := ev.(proxy.Arrive); ok {
				_ = f.Execute(proxy.Refuse{Ticket: ev.Ticket, Status: http.StatusNotFound})
				f.Stop()
			}
		})
		NewWithT(t).Expect(f.get(t).StatusCode).To(Equal(http.StatusNotFound))
	})
	t.Run("a server is running it", func(t *testing.T) {
		var f *front
		addr := listen(t, func(conn net.Conn) {
			f.Stop()
			_, _ = io.Copy(io.Discard, conn) // until the gateway closes the connection
		})
		f = newFront(t, func(f *front, ev event.Event) {
			if ev, ok := ev.(proxy.Arrive); ok {
				f.forward(ev.Ticket, addr)
			}
		})
		NewWithT(t).Expect(f.get(t).StatusCode).To(Equal(http.StatusBadGateway))
		NewWithT(t).Expect((<-f.unanswered).Progress).To(Equal("forwarded"))
	})
	for name, c := range map[string]struct {
		status int
		again  bool // it is sent to a server that refuses connections before the loop ends
	}{
		"an error response is held back":               {http.StatusInternalServerError, false},
		"an error response was held back, and dropped": {http.StatusBadGateway, true},
	} {
		t.Run(name, func(t *testing.T) {
			failing := listen(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno")
			})
			closed := closedAddr(t)
			f := newFront(t, func(f *front, ev event.Event) {
				switch ev := ev.(type) {
				case proxy.Arrive:
					f.forward(ev.Ticket, failing)
				case proxy.Ended:
					if c.again && ev.Held {
						f.forward(ev.Ticket, closed)
						return
					}
					f.Stop()
				}
			})
			NewWithT(t).Expect(f.get(t).StatusCode).To(Equal(c.status))
		})
	}
}
