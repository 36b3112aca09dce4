package callers_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/core/event"
	"bluebellflow/io/callers"
	"bluebellflow/io/problem"
	"bluebellflow/io/requestreply"
	"bluebellflow/io/sse"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds each wait for an expected event; no assertion depends on a shorter time.
const testTimeout = 10 * time.Second

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testServer is a Server whose decision logic is replaced by a function of the test.
type testServer struct {
	server *callers.Server
	http   *httptest.Server
	events chan event.Event
}

func startServer(t *testing.T, decide func(s *callers.Server, ev event.Event), opts ...callers.Option) *testServer {
	t.Helper()
	s := &testServer{events: make(chan event.Event, 100)}
	deliver := func(ev event.Event) {
		s.events <- ev
		if decide != nil {
			decide(s.server, ev)
		}
	}
	self := event.Self{Node: "n1", Incarnation: "00112233445566778899aabbccddeeff"}
	base := []callers.Option{callers.WithNow(func() time.Time { return epoch }), callers.WithLimits(100, 10, 8*time.Second)}
	s.server = callers.New(self, deliver, append(base, opts...)...)
	s.http = httptest.NewServer(s.server.Handler())
	t.Cleanup(s.http.Close)
	return s
}

// call sends a request and returns the response and its body.
func (s *testServer) call(t *testing.T, method, path, body string, headers ...string) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequest(method, s.http.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	resp, err := s.http.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, raw
}

// replyWith returns a decision function that answers every request with the given replies.
func replyWith(replies ...event.Reply) func(*callers.Server, event.Event) {
	return func(s *callers.Server, ev event.Event) {
		arrived, ok := ev.(event.RequestArrived)
		if !ok {
			return
		}
		for _, r := range replies {
			r.Request = arrived.Request
			s.Reply(r)
		}
	}
}

func expectProblem(t *testing.T, resp *http.Response, raw []byte, status int, kind event.ProblemKind) problem.Document {
	t.Helper()
	g := NewWithT(t)
	var doc problem.Document
	g.Expect(json.Unmarshal(raw, &doc)).To(Succeed(), string(raw))
	g.Expect(resp.StatusCode).To(Equal(status), string(raw))
	g.Expect(resp.Header.Get("Content-Type")).To(Equal(problem.ContentType))
	g.Expect(doc.Type).To(Equal(problem.TypePrefix + string(kind)))
	return doc
}

// TestRequestArrived guards against request headers that are lost on the way to the decision logic.
func TestRequestArrived(t *testing.T) {
	s := startServer(t, replyWith(event.Reply{Data: []byte("ou")}, event.Reply{Data: []byte("t"), End: true, Tokens: 2}))
	resp, raw := s.call(t, "POST", "/v1/pipelines/quotes", "body",
		"Bluebellflow-Workspace", "wien", "Idempotency-Key", `"k1"`, "Priority", "u=1, i", "Request-Timeout", "1.5")
	g := NewWithT(t)
	var arrived event.Event
	g.Expect(s.events).To(Receive(&arrived))
	request := resp.Header.Get("Bluebellflow-Request")
	g.Expect(arrived).To(Equal(event.RequestArrived{
		Request: "00112233445566778899aabbccddeeff.1", Workspace: "wien", Pipeline: "quotes", Priority: 1,
		Deadline: epoch.Add(1500 * time.Millisecond), Key: "k1", Body: []byte("body"),
	}))
	g.Expect(request).To(Equal("00112233445566778899aabbccddeeff.1"))
	g.Expect(raw).To(MatchJSON(`{"request":"` + request + `","output":"out","tokens":2,"end":true}`))
}

// TestBinaryOutput guards against output that is not UTF-8 text and is changed by the JSON encoding.
func TestBinaryOutput(t *testing.T) {
	s := startServer(t, replyWith(event.Reply{Data: []byte{0xff, 0}, End: true}))
	_, raw := s.call(t, "POST", "/v1/pipelines/p", "", "Bluebellflow-Workspace", "w")
	NewWithT(t).Expect(string(raw)).To(ContainSubstring(`"output":"/wA=","encoding":"base64"`))
}

// TestStream guards against an end event that is missing, or present after a problem.
func TestStream(t *testing.T) {
	part := event.Reply{Data: []byte("a\nb")}
	for name, c := range map[string]struct {
		last event.Reply
		want string
	}{
		"end":     {event.Reply{End: true, Tokens: 3}, "end"},
		"problem": {event.Reply{Problem: &event.Problem{Kind: event.ProblemFailed}, End: true}, "problem"},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, replyWith(part, c.last))
			resp, raw := s.call(t, "POST", "/v1/pipelines/p", "", "Bluebellflow-Workspace", "w", "Accept", "text/event-stream")
			g := NewWithT(t)
			g.Expect(resp.Header.Get("Content-Type")).To(Equal("text/event-stream"))
			events, err := sse.NewParser(1 << 10).Feed(raw)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(events).To(HaveLen(2))
			g.Expect(events[0]).To(Equal(sse.Event{Name: "part", Data: []byte(`{"text":"a\nb"}`)}))
			g.Expect(events[1].Name).To(Equal(c.want))
		})
	}
}

// TestProblems guards against a status or Retry-After that misleads callers about the outcome.
func TestProblems(t *testing.T) {
	for kind, status := range map[event.ProblemKind]int{
		event.ProblemRefused: 503, event.ProblemUnknown: 409, event.ProblemFailed: 502, event.ProblemDeadline: 504, event.ProblemInvalid: 400,
	} {
		for _, accept := range []string{"application/json", "text/event-stream"} {
			t.Run(string(kind)+" "+accept, func(t *testing.T) {
				s := startServer(t, replyWith(event.Reply{Problem: &event.Problem{Kind: kind, Detail: "why", RetryAfter: 1200 * time.Millisecond}}))
				resp, raw := s.call(t, "POST", "/v1/pipelines/p", "", "Bluebellflow-Workspace", "w", "Accept", accept)
				doc := expectProblem(t, resp, raw, status, kind)
				g := NewWithT(t)
				g.Expect(doc.Detail).To(Equal("why"))
				g.Expect(doc.Instance).To(Equal(resp.Header.Get("Bluebellflow-Request")))
				g.Expect(resp.Header.Get("Retry-After")).To(Equal("2"))
			})
		}
	}
}

// TestRejects guards against malformed requests that reach the decision logic.
func TestRejects(t *testing.T) {
	const path = "/v1/pipelines/p"
	cases := map[string]struct {
		method, path, body string
		headers            []string
		status             int
		detail             string
	}{
		"no workspace":       {"POST", path, "", nil, 400, "Bluebellflow-Workspace: missing"},
		"bad workspace":      {"POST", path, "", []string{"Bluebellflow-Workspace", "a b"}, 400, "not allowed"},
		"two workspaces":     {"POST", path, "", []string{"Bluebellflow-Workspace", "a", "Bluebellflow-Workspace", "b"}, 400, "more than once"},
		"long pipeline":      {"POST", "/v1/pipelines/" + strings.Repeat("p", 200), "", nil, 400, "pipeline: 200 bytes"},
		"urgency":            {"POST", path, "", []string{"Bluebellflow-Workspace", "w", "Priority", "u=8"}, 400, "Priority"},
		"timeout":            {"POST", path, "", []string{"Bluebellflow-Workspace", "w", "Request-Timeout", "1e9"}, 400, "Request-Timeout"},
		"zero timeout":       {"POST", path, "", []string{"Bluebellflow-Workspace", "w", "Request-Timeout", "0"}, 400, "Request-Timeout"},
		"long timeout":       {"POST", path, "", []string{"Bluebellflow-Workspace", "w", "Request-Timeout", "99999"}, 400, "limit 3600"},
		"unterminated key":   {"POST", path, "", []string{"Bluebellflow-Workspace", "w", "Idempotency-Key", `"x`}, 400, "Idempotency-Key"},
		"long key":           {"POST", path, "", []string{"Bluebellflow-Workspace", "w", "Idempotency-Key", strings.Repeat("x", 300)}, 400, "limit 255"},
		"unacceptable":       {"POST", path, "", []string{"Bluebellflow-Workspace", "w", "Accept", "image/png"}, 406, "Accept"},
		"large body":         {"POST", path, strings.Repeat("x", 101), []string{"Bluebellflow-Workspace", "w"}, 413, "larger than 100 bytes"},
		"unknown path":       {"POST", "/v2/x", "", nil, 404, "/v2/x"},
		"wrong method":       {"GET", path, "", nil, 405, "GET"},
		"keys not supported": {"POST", "/v1/keys", "", nil, 501, "issues no keys"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, nil)
			resp, raw := s.call(t, c.method, c.path, c.body, c.headers...)
			doc := expectProblem(t, resp, raw, c.status, event.ProblemInvalid)
			g := NewWithT(t)
			g.Expect(doc.Detail).To(ContainSubstring(c.detail))
			g.Expect(s.events).To(BeEmpty())
		})
	}
}

// TestBusy guards against an overloaded node that accepts further requests, or that refuses them with the wrong problem.
func TestBusy(t *testing.T) {
	s := startServer(t, nil, callers.WithBusy(func() bool { return true }))
	resp, raw := s.call(t, "POST", "/v1/pipelines/p", "", "Bluebellflow-Workspace", "w")
	expectProblem(t, resp, raw, 503, event.ProblemRefused)
	// A request with a key may have run earlier, so the response must not say that it was not run.
	resp, raw = s.call(t, "POST", "/v1/pipelines/p", "", "Bluebellflow-Workspace", "w", "Idempotency-Key", "k")
	expectProblem(t, resp, raw, 409, event.ProblemUnknown)
	NewWithT(t).Expect(s.events).To(BeEmpty())
}

// TestCallerDisconnected guards against work for a caller that has disconnected.
func TestCallerDisconnected(t *testing.T) {
	s := startServer(t, nil)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.http.URL+"/v1/pipelines/p", bytes.NewReader(nil))
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Bluebellflow-Workspace", "w")
	done := make(chan error, 1)
	go func() {
		_, err := s.http.Client().Do(req) //nolint:bodyclose // the request is canceled
		done <- err
	}()
	var arrived event.Event
	g.Eventually(s.events, testTimeout).Should(Receive(&arrived))
	cancel()
	g.Eventually(s.events, testTimeout).Should(Receive(Equal(event.CallerDisconnected{Request: arrived.(event.RequestArrived).Request})))
	g.Expect(errors.Is(<-done, context.Canceled)).To(BeTrue())
	s.server.Reply(event.Reply{Request: arrived.(event.RequestArrived).Request, End: true}) // must not block or panic
	g.Eventually(s.server.InProgress, testTimeout).Should(BeZero())
}

type keysCommand struct {
	event.Command
	count int
}

// TestKeys guards against a wrong number of issued keys, and against keys that the decision logic has not issued.
func TestKeys(t *testing.T) {
	var correlator *requestreply.Correlator
	correlator = requestreply.New(func(ev event.Event) {
		c := ev.(keysCommand)
		correlator.Complete(event.CommandResult{Number: c.Number, Value: make([]string, c.count)})
	})
	s := startServer(t, nil, callers.WithKeys(correlator, func(n uint64, count int) event.Event {
		return keysCommand{event.Command{Number: n}, count}
	}))
	for body, want := range map[string]string{"": `{"keys":[""]}`, `{"count":2}`: `{"keys":["",""]}`} {
		_, raw := s.call(t, "POST", "/v1/keys", body)
		NewWithT(t).Expect(raw).To(MatchJSON(want))
	}
	for _, body := range []string{"x", `{"count":0}`, `{"count":1001}`, strings.Repeat(" ", 1000)} {
		resp, raw := s.call(t, "POST", "/v1/keys", body)
		expectProblem(t, resp, raw, 400, event.ProblemInvalid)
	}
}

// TestHealth guards against a load balancer that sends callers to a node that is not ready.
func TestHealth(t *testing.T) {
	s := startServer(t, nil)
	g := NewWithT(t)
	for _, ready := range []bool{false, true, false} {
		s.server.SetReady(ready)
		resp, _ := s.call(t, "GET", "/readyz", "")
		g.Expect(resp.StatusCode == http.StatusOK).To(Equal(ready))
		alive, _ := s.call(t, "GET", "/healthz", "")
		g.Expect(alive.StatusCode).To(Equal(http.StatusOK))
	}
	_, raw := s.call(t, "GET", "/debug/vars", "")
	g.Expect(json.Valid(raw)).To(BeTrue())
}

// TestStop guards against a request that gets no response because the event loop, which decides about it, has ended.
func TestStop(t *testing.T) {
	t.Run("arrived before", func(t *testing.T) {
		s := startServer(t, func(s *callers.Server, _ event.Event) { s.Stop() })
		resp, raw := s.call(t, "POST", "/v1/pipelines/quotes", "body", "Bluebellflow-Workspace", "wien", "Idempotency-Key", `"k1"`)
		expectProblem(t, resp, raw, http.StatusConflict, event.ProblemUnknown)
	})
	t.Run("arrives later", func(t *testing.T) {
		s := startServer(t, nil)
		s.server.Stop()
		resp, raw := s.call(t, "POST", "/v1/pipelines/quotes", "body", "Bluebellflow-Workspace", "wien")
		expectProblem(t, resp, raw, http.StatusServiceUnavailable, event.ProblemRefused)
		NewWithT(t).Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	})
}

// TestCallerLeaves lets callers end their side of the connection and read on. It guards against a 200 with an empty body, or a
// stream that looks whole, which net/http sends when a handler returns before it has sent a response.
func TestCallerLeaves(t *testing.T) {
	for name, c := range map[string]struct{ headers, awaited string }{
		"before the response": {"", ""},
		"before the stream":   {"Accept: text/event-stream\r\n", ""},
		"in the stream":       {"Accept: text/event-stream\r\n", "part one"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startServer(t, func(s *callers.Server, ev event.Event) {
				if arrived, ok := ev.(event.RequestArrived); ok && c.awaited != "" {
					s.Reply(event.Reply{Request: arrived.Request, Data: []byte(c.awaited)})
				}
			})
			conn, err := net.Dial("tcp", s.http.Listener.Addr().String())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /v1/pipelines/p HTTP/1.1\r\nHost: h\r\nBluebellflow-Workspace: w\r\n"+c.headers+"Content-Length: 2\r\n\r\nin")
			g.Expect(err).NotTo(HaveOccurred())
			g.Eventually(s.events, testTimeout).Should(Receive(BeAssignableToTypeOf(event.RequestArrived{})))
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
			g.Eventually(s.events, testTimeout).Should(Receive(BeAssignableToTypeOf(event.CallerDisconnected{})))
			if c.awaited == "" {
				g.Expect(got).NotTo(ContainSubstring("200 OK\r\nBluebellflow-Request"), "a response that nobody gave")
			}
			g.Expect(got).NotTo(HaveSuffix("\r\n0\r\n\r\n"), "it looks whole")
			g.Expect(got).NotTo(ContainSubstring("Content-Length: 0"))
		})
	}
}
