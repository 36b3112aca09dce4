package gateway_test

import (
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/batch"
	"bluebellflow/core/event"
	"bluebellflow/core/proxy"
)

// chunkedHead is the head of a stream that is incomplete unless it ends with lastChunk.
const (
	chunkedHead = streamHead + "Transfer-Encoding: chunked\r\n\r\n"
	lastChunk   = "0\r\n\r\n"
)

// numberedEvents returns the events with some numbers.
func numberedEvents(numbers ...int) string {
	out := ""
	for _, n := range numbers {
		out += fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n)
	}
	return out
}

// chunk returns a part of a stream as one chunk.
func chunk(part string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(part), part) }

// relayed is what a caller gets of a stream that several servers send.
type relayed struct {
	body  string
	whole bool
	ended []proxy.Ended // results of all attempts
	vars  *expvar.Map
}

// relayResumed sends a request through a gateway to servers that give raw responses. Each one continues what the one before
// it broke off, if that can be continued.
func relayResumed(t *testing.T, query string, responses ...string) relayed {
	var servers []netip.AddrPort
	for _, response := range responses {
		servers = append(servers, listen(t, func(conn net.Conn) { _, _ = io.WriteString(conn, response) }))
	}
	results := make(chan proxy.Ended, len(responses))
	sent := 0
	f := newFront(t, func(f *front, ev event.Event) {
		next := proxy.Forward{Resumable: true, Server: batch.Target{ID: "s"}, Until: time.Now().Add(testTimeout)}
		switch ev := ev.(type) {
		case proxy.Arrive:
			next.Ticket = ev.Ticket
		case proxy.Ended:
			results <- ev
			if ev.Fail == 0 {
				return
			}
			if sent == len(servers) {
				_ = f.Execute(proxy.Abort{Ticket: ev.Ticket})
				return
			}
			next.Ticket, next.Resume, next.LastEventID = ev.Ticket, true, ev.LastEventID
		default:
			return
		}
		next.Server.Addr = servers[sent]
		sent++
		_ = f.Execute(next)
	})
	resp, err := http.Get(f.http.URL + query)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	out := relayed{body: string(raw), whole: err == nil, vars: f.vars}
	for len(results) > 0 {
		out.ended = append(out.ended, <-results)
	}
	return out
}

// TestResumedStream guards against a stream with a missing, repeated or divided event, or one that looks complete although it is
// not, after a server broke it off and another one has continued it.
func TestResumedStream(t *testing.T) {
	three := chunkedHead + chunk(numberedEvents(1, 2, 3))
	rest := chunkedHead + chunk(numberedEvents(4, 5)) + lastChunk
	all := numberedEvents(1, 2, 3, 4, 5)
	crlf, cr := strings.ReplaceAll(all, "\n", "\r\n"), strings.ReplaceAll(all, "\n", "\r")
	cases := map[string]struct {
		responses []string
		want      string
		whole     bool
	}{
		"CRLF":                   {[]string{chunkedHead + chunk(crlf) + chunk("id: 6\r\nd"), chunkedHead + chunk(numberedEvents(6)) + lastChunk}, crlf + numberedEvents(6), true},
		"CR":                     {[]string{chunkedHead + chunk(cr) + chunk("id: 6\rd"), chunkedHead + chunk(numberedEvents(6)) + lastChunk}, cr + numberedEvents(6), true},
		"after an event":         {[]string{three, rest}, all, true},
		"inside an event":        {[]string{three + chunk("id: 4\ndata: ev"), rest}, all, true},
		"inside a chunk":         {[]string{three + "ff\r\nid: 4\ndata: event 4\n", rest}, all, true},
		"twice":                  {[]string{three, chunkedHead + chunk(numberedEvents(4)+"id: 5"), chunkedHead + chunk(numberedEvents(5)) + lastChunk}, all, true},
		"after the last event":   {[]string{chunkedHead + chunk(all), chunkedHead + lastChunk}, all, true},
		"with a length":          {[]string{streamHead + "Content-Length: 999\r\n\r\n" + numberedEvents(1, 2, 3), rest}, all, true},
		"length of whole events": {[]string{streamHead + "Content-Length: 70\r\n\r\n" + numberedEvents(1, 2, 3) + "id: 4", rest}, all, true},
		"before the next event":  {[]string{three, chunkedHead, rest}, all, true},
		"a comment before it":    {[]string{three, chunkedHead + chunk(": hello\n\n"+numberedEvents(4, 5)) + lastChunk}, numberedEvents(1, 2, 3) + ": hello\n\n" + numberedEvents(4, 5), true},
		"known gaps":             {[]string{chunkedHead + chunk(numberedEvents(10, 20)), chunkedHead + chunk(numberedEvents(30)) + lastChunk}, numberedEvents(10, 20, 30), true},

		"from the beginning":        {[]string{three, chunkedHead + chunk(all) + lastChunk}, numberedEvents(1, 2, 3), false},
		"the last event again":      {[]string{three, chunkedHead + chunk(numberedEvents(3, 4, 5)) + lastChunk}, numberedEvents(1, 2, 3), false},
		"an event is missing":       {[]string{three, chunkedHead + chunk(numberedEvents(5)) + lastChunk}, numberedEvents(1, 2, 3), false},
		"a repeated event later":    {[]string{three, chunkedHead + chunk(numberedEvents(4, 4, 5)) + lastChunk}, numberedEvents(1, 2, 3, 4), false},
		"an event without id":       {[]string{three, chunkedHead + chunk("data: x\n\n") + lastChunk}, numberedEvents(1, 2, 3), false},
		"no id, known gaps":         {[]string{chunkedHead + chunk(numberedEvents(10, 20)), chunkedHead + chunk("data: x\n\n") + lastChunk}, numberedEvents(10, 20), false},
		"a comment, no length":      {[]string{three, streamHead + "\r\n: hello\n\n"}, numberedEvents(1, 2, 3) + ": hello\n\n", false},
		"after one without id":      {[]string{three + chunk("data: x\n\n"), rest}, numberedEvents(1, 2, 3) + "data: x\n\n", false},
		"a repeated event at first": {[]string{chunkedHead + chunk(numberedEvents(1, 2, 2)), rest}, numberedEvents(1, 2), false},
		"no event, no length":       {[]string{three, streamHead + "\r\n"}, numberedEvents(1, 2, 3), false},
		"another type":              {[]string{three, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}, numberedEvents(1, 2, 3), false},
		"an error":                  {[]string{three, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno"}, numberedEvents(1, 2, 3), false},
		"no response":               {[]string{three, ""}, numberedEvents(1, 2, 3), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := relayResumed(t, "", c.responses...)
			g.Expect(got.body).To(Equal(c.want))
			g.Expect(got.whole).To(Equal(c.whole), "%+v", got.ended)
			finished, givenUp := got.vars.Get("streams_resumed_finished"), got.vars.Get("streams_given_up")
			if !c.whole {
				g.Expect(finished).To(BeNil())
				g.Expect(givenUp).To(HaveField("String()", "1"))
				return
			}
			g.Expect(got.ended).To(HaveLen(len(c.responses)))
			g.Expect(finished).To(HaveField("String()", "1"))
			g.Expect(givenUp).To(BeNil())
		})
	}
}

// TestCallerResumes guards against a stream that repeats events which its caller has named, and against losing the name if the
// stream breaks off before the next event.
func TestCallerResumes(t *testing.T) {
	rest := chunkedHead + chunk(numberedEvents(4, 5)) + lastChunk
	t.Run("nothing was passed on", func(t *testing.T) {
		got := relayResumed(t, "/?after=3", chunkedHead+chunk(": hello\n\n"), rest)
		NewWithT(t).Expect(got.whole).To(BeTrue())
		NewWithT(t).Expect(got.ended[0].LastEventID).To(Equal("3"))
		NewWithT(t).Expect(got.body).To(Equal(": hello\n\n" + numberedEvents(4, 5)))
	})
	t.Run("an event that the caller has", func(t *testing.T) {
		f := newFront(t, func(f *front, ev event.Event) {
			switch ev := ev.(type) {
			case proxy.Arrive:
				_ = f.Execute(proxy.Forward{Ticket: ev.Ticket, Resumable: true, Until: time.Now().Add(testTimeout), Server: batch.Target{
					ID: "s", Addr: listen(t, func(conn net.Conn) {
						_, _ = io.WriteString(conn, chunkedHead+chunk(numberedEvents(1, 2, 3, 4))+lastChunk)
					}),
				}})
			case proxy.Ended:
				NewWithT(t).Expect(ev.Began).To(BeFalse())
				_ = f.Execute(proxy.Refuse{Ticket: ev.Ticket, Status: http.StatusBadGateway})
			}
		})
		resp, err := http.Get(f.http.URL + "/?after=3")
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		NewWithT(t).Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	})
}
