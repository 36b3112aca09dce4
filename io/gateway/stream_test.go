package gateway_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/proxy"
)

const (
	streamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	wholeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
)

// TestStreamEnd guards against a stream that looks complete although it ended inside an event, which means that its server
// broke it off, and against the loss of one that has neither a length nor chunks and ends with its connection.
func TestStreamEnd(t *testing.T) {
	cases := map[string]struct {
		response string
		want     string // body of a complete stream, empty for one that is broken off
		fail     event.FailKind
	}{
		"unframed, whole":                {streamHead + "\r\n" + wholeEvents, wholeEvents, 0},
		"unframed, inside an event":      {streamHead + "\r\n" + wholeEvents + "id: 3\nda", "", event.FailBroken},
		"unframed, in the first event":   {streamHead + "\r\nid: 1\nda", "", event.FailBroken},
		"unframed, before the first":     {streamHead + "\r\n", "", event.FailBroken},
		"with a length, whole":           {streamHead + "Content-Length: 30\r\n\r\n" + wholeEvents, wholeEvents, 0},
		"with a length, inside an event": {streamHead + "Content-Length: 29\r\n\r\n" + wholeEvents[:29], "", event.FailBroken},
		"in chunks, whole":               {streamHead + "Transfer-Encoding: chunked\r\n\r\n1e\r\n" + wholeEvents + "\r\n0\r\n\r\n", wholeEvents, 0},
		"in chunks, inside an event":     {streamHead + "Transfer-Encoding: chunked\r\n\r\n1d\r\n" + wholeEvents[:29] + "\r\n0\r\n\r\n", "", event.FailBroken},
		"one more line end":              {streamHead + "Content-Length: 31\r\n\r\n" + wholeEvents + "\n", wholeEvents + "\n", 0},
		"a comment after the last event": {streamHead + "\r\n" + wholeEvents + ": done\n", wholeEvents + ": done\n", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			body, ended, err := relay(t, c.response)
			g.Expect(ended.Fail).To(Equal(c.fail))
			if c.want == "" {
				g.Expect(err).To(HaveOccurred(), "the stream looks complete: %q", body)
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal(c.want))
		})
	}
}

// TestRefusedConn guards against losing the sign that a server's process has ended: it refuses connections.
func TestRefusedConn(t *testing.T) {
	_, ended, _ := relayTo(t, closedAddr(t))
	NewWithT(t).Expect(ended.Fail).To(Equal(event.FailUnsent))
	NewWithT(t).Expect(ended.ConnRefused).To(BeTrue())
}

// relay sends a request through a gateway to a server that gives a raw response and closes the connection.
func relay(t *testing.T, response string) (body string, ended proxy.Ended, err error) {
	return relayTo(t, listen(t, func(conn net.Conn) { _, _ = io.WriteString(conn, response) }))
}

// relayTo sends a request through a gateway to a server. It returns what the caller gets, and the result that is reported.
func relayTo(t *testing.T, server netip.AddrPort) (body string, ended proxy.Ended, err error) {
	return relayRequest(t, server, http.MethodGet, nil)
}

// relayRequest does the same for a request with the given method and body.
func relayRequest(t *testing.T, server netip.AddrPort, method string, upload io.Reader) (body string, ended proxy.Ended, err error) {
	results := make(chan proxy.Ended, 1)
	f := newFront(t, func(f *front, ev event.Event) {
		switch ev := ev.(type) {
		case proxy.Arrive:
			f.forward(ev.Ticket, server)
		case proxy.Ended:
			results <- ev
			switch {
			case ev.Held:
				_ = f.Execute(proxy.Deliver{Ticket: ev.Ticket})
			case ev.Fail != 0:
				_ = f.Execute(proxy.Abort{Ticket: ev.Ticket})
			}
		}
	})
	req, err := http.NewRequest(method, f.http.URL, upload)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", <-results, err
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return string(raw), <-results, err
}

// TestBrokenStream guards against the text or the head of another response in the middle of a stream that has begun and broke
// off, and against such a stream that looks complete, whatever the decision logic asks for.
func TestBrokenStream(t *testing.T) {
	for name, act := range map[string]func(*front, proxy.Ticket, netip.AddrPort){
		"another server": func(f *front, ticket proxy.Ticket, next netip.AddrPort) { f.forward(ticket, next) },
		"held response":  func(f *front, ticket proxy.Ticket, _ netip.AddrPort) { _ = f.Execute(proxy.Deliver{Ticket: ticket}) },
		"refusal": func(f *front, ticket proxy.Ticket, _ netip.AddrPort) {
			_ = f.Execute(proxy.Refuse{Ticket: ticket, Status: http.StatusServiceUnavailable})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			first := listen(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, streamHead+"Transfer-Encoding: chunked\r\n\r\n1e\r\n"+wholeEvents+"\r\n")
			})
			next := listen(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 8\r\n\r\nan error")
			})
			f := newFront(t, func(f *front, ev event.Event) {
				switch ev := ev.(type) {
				case proxy.Arrive:
					f.forward(ev.Ticket, first)
				case proxy.Ended:
					if ev.Held {
						_ = f.Execute(proxy.Deliver{Ticket: ev.Ticket})
						return
					}
					act(f, ev.Ticket, next)
				}
			})
			resp, err := http.Get(f.http.URL)
			g.Expect(err).NotTo(HaveOccurred())
			raw, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			g.Expect(err).To(HaveOccurred(), "the stream looks complete")
			g.Expect(string(raw)).To(Equal(wholeEvents))
		})
	}
}
