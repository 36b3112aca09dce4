package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/io/rawserver"
	"bluebellflow/io/upstream"
)

const (
	refusal       = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nId: mine\r\n\r\n"
	refusalNoID   = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	otherComplete = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nId: first\r\n\r\nfine"
)

// matchID is a Matches function by the header Id, which some responses lack.
func matchID(id string) func(*http.Response) upstream.Match {
	return func(resp *http.Response) upstream.Match {
		switch resp.Header.Get("Id") {
		case id:
			return upstream.MatchOwn
		case "":
			return upstream.MatchUnknown
		}
		return upstream.MatchOther
	}
}

// startFaulty starts a server whose first connection answers the first request with first, and the second one with a refusal
// that it repeats from before; it runs that request all the same. Other connections answer with ownResponse.
func startFaulty(t *testing.T, first, repeated string) *rawserver.Server {
	t.Helper()
	var conns atomic.Int64
	return start(t, func(conn net.Conn) {
		if conns.Add(1) > 1 {
			serveConn(conn, []string{ownResponse})
			return
		}
		br := bufio.NewReader(conn)
		for _, raw := range []string{first, repeated + ownResponse} {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, raw)
		}
	})
}

// TestRepeatedRefusal guards against a refusal that a server writes once more on a kept connection and that is taken for the
// response to the next request, which the server runs.
func TestRepeatedRefusal(t *testing.T) {
	for name, c := range map[string]struct{ first, firstID, repeated string }{
		"no id":                         {refusalNoID, "first", refusalNoID},
		"no id, own attempt before":     {refusalNoID, "mine", refusalNoID},
		"second attempt of a request":   {refusal, "mine", refusal},
		"request that has run, refused": {ownResponse, "mine", refusal},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startFaulty(t, c.first, c.repeated)
			client := upstream.New()
			defer client.Close()
			_, err := exchange(t, client, s.Addr(), &upstream.Request{ID: c.firstID, Matches: matchID(c.firstID)})
			g.Expect(err).NotTo(HaveOccurred())
			body, err := exchange(t, client, s.Addr(), &upstream.Request{ID: "mine", AtMostOnce: true, Matches: matchID("mine")})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("fine"))
		})
	}
	t.Run("no id after a response with one", func(t *testing.T) {
		g := NewWithT(t)
		s := startFaulty(t, otherComplete, refusalNoID)
		client := upstream.New()
		defer client.Close()
		_, err := exchange(t, client, s.Addr(), &upstream.Request{ID: "first", Matches: matchID("first")})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = exchange(t, client, s.Addr(), &upstream.Request{ID: "mine", AtMostOnce: true, Matches: matchID("mine")})
		g.Expect(err).To(HaveOccurred())
		g.Expect(failKind(g, err)).To(Equal(event.FailBroken), "the request may have run")
	})
}

// TestResponseWithoutID guards against refusals on new connections that are not taken for what they are, and against new
// connections for requests whose ids differ.
func TestResponseWithoutID(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, refusalNoID)
	client := upstream.New()
	defer client.Close()
	_, err := exchange(t, client, s.Addr(), &upstream.Request{ID: "mine", Matches: matchID("mine")})
	g.Expect(err).NotTo(HaveOccurred())

	s = startServer(t, otherComplete, ownResponse)
	for _, id := range []string{"first", "mine"} {
		_, err := exchange(t, client, s.Addr(), &upstream.Request{ID: id, Matches: matchID(id)})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(s.Conns()).To(Equal(int64(1)))
}
