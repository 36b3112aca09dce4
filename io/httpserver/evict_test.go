package httpserver_test

import (
	"expvar"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/io/httpserver"
	"bluebellflow/io/membudget"
)

// fullGuard is a guard that has to close or to refuse a connection for each one above its limit.
type fullGuard struct {
	*httpserver.Guard
	vars *expvar.Map
}

func newFullGuard(conns int) *fullGuard {
	g := &fullGuard{vars: new(expvar.Map)}
	limits := httpserver.Limits{Conns: conns, Stall: testTimeout, Write: testTimeout, Lines: 100}
	g.Guard = httpserver.NewGuard(membudget.New(1<<20), limits, httpserver.WithVars(g.vars))
	return g
}

// count returns how many connections were closed or refused.
func (g *fullGuard) count() int64 {
	n := int64(0)
	for _, name := range []string{"callers_closed", "callers_refused_connections"} {
		if v, ok := g.vars.Get(name).(*expvar.Int); ok {
			n += v.Value()
		}
	}
	return n
}

// exceed opens a connection above the limit from a local address, and returns when another one was closed for it or it was refused.
func (g *fullGuard) exceed(t *testing.T, s *watchedServer, ip string) {
	before := g.count()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: testTimeout}
	conn, err := dialer.Dial("tcp", s.Addr().String())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = conn.Close() })
	NewWithT(t).Eventually(g.count, testTimeout).Should(Equal(before + 1))
}

// TestEvictionDuringRequest guards against a guard that closes a connection as idle of which part of a request was read, or runs a
// request whose connection it has closed.
func TestEvictionDuringRequest(t *testing.T) {
	var guard *fullGuard
	exceed := func(s *watchedServer) { guard.exceed(t, s, "127.0.0.1") }
	withGuard := func(s *httpserver.Server) {
		guard = newFullGuard(1)
		httpserver.WithGuard(guard.Guard)(s)
	}
	closeDuringRequest(t, exceed, false, withGuard)
	closeBeforeRead(t, exceed, withGuard)
}

// hookedBody calls atEnd before it tells the end of the body.
type hookedBody struct {
	io.ReadCloser
	atEnd func()
}

func (b hookedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.atEnd()
	}
	return n, err
}

// crowded starts a server that handles /wait until its end, and all other requests with handle. It returns a connection for the
// second. Of all its connections, which come from one address, only that one may be closed for a caller at another address.
func crowded(t *testing.T, handle http.HandlerFunc) (*fullGuard, *watchedServer, net.Conn) {
	guard := newFullGuard(2)
	waiting, release := make(chan struct{}), make(chan struct{})
	s := startWatched(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			close(waiting)
			<-release
			return
		}
		handle(w, r)
	})}, httpserver.WithGuard(guard.Guard))
	t.Cleanup(func() { close(release) })
	s.send(t, s.dial(t), "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-waiting
	return guard, s, s.dial(t)
}

const otherAddr = "127.0.0.2"

// TestEvictionAfterBody guards against running a request whose connection the guard closes when its body was read.
func TestEvictionAfterBody(t *testing.T) {
	g := NewWithT(t)
	exceed, read := make(chan struct{}), make(chan error, 1)
	exceeded := make(chan struct{})
	guard, s, conn := crowded(t, func(w http.ResponseWriter, r *http.Request) {
		r.Body = hookedBody{r.Body, func() {
			close(exceed)
			<-exceeded
		}}
		_, err := httpserver.ReadBody(w, r, 100)
		read <- err
	})
	s.send(t, conn, request)
	<-exceed
	guard.exceed(t, s, otherAddr)
	close(exceeded)
	g.Expect(<-read).To(HaveOccurred())
	s.stop(t)
}

// TestEvictionBeforeResponse guards against the loss of a response that is buffered when the guard closes its connection.
func TestEvictionBeforeResponse(t *testing.T) {
	guard, s, conn := crowded(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := httpserver.ReadBody(w, r, 100)
		_, _ = w.Write(body)
	})
	exceed := func() { guard.exceed(t, s, otherAddr) }
	s.beforeWrite.Store(&exceed)
	s.send(t, conn, request)
	readResponse(t, conn)
	s.stop(t)
}
