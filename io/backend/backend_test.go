package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/core/event"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds each wait for an expected event; no assertion depends on a shorter time.
const testTimeout = 10 * time.Second

const incarnation = "00112233445566778899aabbccddeeff"

func startClient(t *testing.T) (*Client, chan event.Event) {
	t.Helper()
	events := make(chan event.Event, 1000)
	self := event.Self{Node: "n1", Incarnation: incarnation, FailureDomain: "d1"}
	base := []Option{WithControlTimeout(testTimeout), WithPolling(time.Millisecond, 1e6)}
	c := New(self, func(ev event.Event) { events <- ev }, base...)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = c.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return c, events
}

func serve(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func newDispatch(addr netip.AddrPort, stream bool) event.Dispatch {
	return event.Dispatch{
		Attempt: 7, Server: "s1", Addr: addr, Stage: "generate", Version: "v1", Input: []byte("in"), Prior: []byte("pr"),
		Stream: stream, Priority: 2, Key: "k", Deadline: time.Now().Add(testTimeout),
	}
}

// waitForEnd waits for the event that ends an attempt, and returns the output before it and the event.
func waitForEnd(t *testing.T, events chan event.Event) ([]event.AttemptOutput, event.Event) {
	t.Helper()
	var parts []event.AttemptOutput
	for {
		var got event.Event
		NewWithT(t).Eventually(events, testTimeout).Should(Receive(&got))
		part, ok := got.(event.AttemptOutput)
		if !ok {
			return parts, got
		}
		parts = append(parts, part)
	}
}

// receiveNext waits for an event of type T and skips all others.
func receiveNext[T event.Event](t *testing.T, events <-chan event.Event) T {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case ev := <-events:
			if got, ok := ev.(T); ok {
				return got
			}
		case <-timeout:
			var want T
			t.Fatalf("no %T arrived in time", want)
		}
	}
}

// TestRun guards against fields that are lost on the way to the server or back.
func TestRun(t *testing.T) {
	var body map[string]any
	var timeout string
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		timeout = r.Header.Get("Request-Timeout")
		_ = json.NewDecoder(r.Body).Decode(&body)
		w.Header().Set("Bluebellflow-Start", "st")
		w.Header().Set("Bluebellflow-Took", "12.5")
		w.Header().Set("Bluebellflow-Leaving", "1")
		_, _ = w.Write([]byte("output"))
	})
	client, events := startClient(t)
	client.Dispatch(newDispatch(addr, false))
	_, end := waitForEnd(t, events)
	g := NewWithT(t)
	g.Expect(end).To(Equal(event.AttemptDone{Attempt: 7, Data: []byte("output"), Start: "st", Took: 12500 * time.Microsecond, Leaving: true}))
	g.Expect(body).To(Equal(map[string]any{
		"attempt": incarnation + ".7", "stage": "generate", "version": "v1", "input": "aW4=", "prior": "cHI=",
		"offset": 0.0, "stream": false, "priority": 2.0, "key": "k",
	}))
	g.Expect(timeout).To(MatchRegexp(`^\d+\.\d{3}$`))
}

func respondText(s string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, s) }
}

func respondStatus(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Bluebellflow-Start", "st")
		w.WriteHeader(code)
	}
}

// respondTruncated announces a longer body than it sends.
func respondTruncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
}

// TestFailures guards against a failure kind that promises more than is known: an attempt that may have taken effect must
// not be reported as unsent, rejected or without effect.
func TestFailures(t *testing.T) {
	const part = "event: part\ndata: {\"seq\":0,\"tokens\":1,\"text\":\"a\"}\n\n"
	cases := map[string]struct {
		handler http.HandlerFunc
		stream  bool
		want    event.FailKind
	}{
		"429":                    {respondStatus(429), false, event.FailRejected},
		"503":                    {respondStatus(503), false, event.FailRejected},
		"500":                    {respondStatus(500), false, event.FailError},
		"400 guarantees nothing": {respondStatus(400), false, event.FailBroken},
		"502 guarantees nothing": {respondStatus(502), false, event.FailBroken},
		"redirect":               {respondStatus(307), false, event.FailBroken},
		"connection closed":      {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false, event.FailBroken},
		"truncated":              {respondTruncated, false, event.FailBroken},
		"too large":              {respondText(strings.Repeat("x", MaxOutputBytes+1)), false, event.FailBroken},
		"stream without end":     {respondText(part), true, event.FailBroken},
		"stream 503":             {respondStatus(503), true, event.FailRejected},
		"part is not JSON":       {respondText("event: part\ndata: x\n\n"), true, event.FailBroken},
		"part without tokens":    {respondText("event: part\ndata: {\"seq\":0}\n\n"), true, event.FailBroken},
		"negative sequence":      {respondText("event: part\ndata: {\"seq\":-1,\"tokens\":1}\n\n"), true, event.FailBroken},
		"end with bad time":      {respondText("event: end\ndata: {\"tokens\":1,\"took\":-1}\n\n"), true, event.FailBroken},
		"endless event":          {respondText("data: " + strings.Repeat("x", maxEventBytes+1)), true, event.FailBroken},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client, events := startClient(t)
			client.Dispatch(newDispatch(serve(t, c.handler), c.stream))
			_, end := waitForEnd(t, events)
			NewWithT(t).Expect(end).To(HaveField("Kind", c.want))
		})
	}
}

// TestUnsent guards against reporting an attempt as possibly run although it never reached a server.
func TestUnsent(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	addr := netip.MustParseAddrPort(listener.Addr().String())
	g.Expect(listener.Close()).To(Succeed())
	client, events := startClient(t)
	client.Dispatch(newDispatch(addr, false))
	_, end := waitForEnd(t, events)
	g.Expect(end).To(HaveField("Kind", event.FailUnsent))
	late := newDispatch(addr, false)
	late.Deadline = time.Now().Add(-time.Second)
	client.Dispatch(late)
	_, end = waitForEnd(t, events)
	g.Expect(end).To(HaveField("Reason", ContainSubstring("deadline passed")))
}

// TestTimeout guards against reporting a slow server as a broken connection.
func TestTimeout(t *testing.T) {
	addr := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	client, events := startClient(t)
	kind := event.FailUnsent
	// On a busy machine a short deadline may pass before the attempt is sent.
	for wait := 50 * time.Millisecond; kind == event.FailUnsent && wait < testTimeout; wait *= 2 {
		d := newDispatch(addr, false)
		d.Deadline = time.Now().Add(wait)
		client.Dispatch(d)
		_, end := waitForEnd(t, events)
		kind = end.(event.AttemptFailed).Kind
	}
	NewWithT(t).Expect(kind).To(Equal(event.FailTimeout))
}

// TestStream guards against tokens that are lost, repeated or joined across a gap when the parts of a read are batched.
func TestStream(t *testing.T) {
	addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		out := bufio.NewWriter(w)
		for _, seq := range []int{4, 5, 6, 9} {
			fmt.Fprintf(out, "event: part\ndata: {\"seq\":%d,\"tokens\":1,\"text\":\"%d\"}\n\n", seq, seq)
		}
		fmt.Fprint(out, "event: end\ndata: {\"tokens\":10,\"took\":3}\n\n")
		_ = out.Flush()
	})
	client, events := startClient(t)
	client.Dispatch(newDispatch(addr, true))
	outputs, end := waitForEnd(t, events)
	g := NewWithT(t)
	g.Expect(outputs).To(Equal([]event.AttemptOutput{
		{Attempt: 7, Seq: 4, Tokens: 3, Data: []byte("456")}, {Attempt: 7, Seq: 9, Tokens: 1, Data: []byte("9")},
	}))
	g.Expect(end).To(Equal(event.AttemptDone{Attempt: 7, Tokens: 10, Took: 3 * time.Millisecond}))
}

// TestCancel guards against a server that continues a cancelled attempt, and against a cancellation that is reported as a
// crash of the server.
func TestCancel(t *testing.T) {
	running, cancelled := make(chan struct{}), make(chan string, 1)
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- r.URL.Path
			w.WriteHeader(http.StatusNoContent)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		close(running)
		<-r.Context().Done()
	})
	client, events := startClient(t)
	g := NewWithT(t)
	client.Dispatch(newDispatch(addr, false))
	g.Eventually(running, testTimeout).Should(BeClosed())
	client.Cancel(event.Cancel{Attempt: 7, Server: "s1", Addr: addr})
	g.Eventually(cancelled, testTimeout).Should(Receive(Equal("/v1/run/" + incarnation + ".7")))
	g.Eventually(client.attempts.Active, testTimeout).Should(BeZero())
	g.Expect(events).To(BeEmpty())
}

// TestOrder guards against reporting an order that may have taken effect as one without effect, or the reverse.
func TestOrder(t *testing.T) {
	for code, want := range map[int]event.Code{
		200: event.CodeOK, 409: event.CodeConflict, 429: event.CodeUnavailable, 503: event.CodeUnavailable, 500: event.CodeUnknown,
	} {
		t.Run(http.StatusText(code), func(t *testing.T) {
			client, events := startClient(t)
			order := event.Order{Owner: "move", Seq: 4, Server: "s1", Addr: serve(t, respondStatus(code)), Kind: "load", Version: "v2", Fence: 9}
			client.Order(order)
			_, end := waitForEnd(t, events)
			NewWithT(t).Expect(end).To(Equal(event.OrderResult{Order: order, Code: want}))
		})
	}
}

// TestPolling guards against load and cache events that are lost or repeated, and against cache queries to servers without
// cache events.
func TestPolling(t *testing.T) {
	afters := make(chan string, 1000)
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/load" {
			_, _ = io.WriteString(w, `{"start":"st","version":"v1","running":1,"waiting":2,"limit":3,"warm":true,"leaving":true,"at":1500}`)
			return
		}
		afters <- r.URL.Query().Get("after")
		if r.URL.Query().Get("after") == "0" {
			_, _ = io.WriteString(w, `{"start":"st","seq":5,"added":["18446744073709551615"],"gone":["1"]}`)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	})
	client, events := startClient(t)
	client.SetServers([]event.VM{
		{Name: "s1", Kind: "backend", Addr: addr, FailureDomain: "d1"}, {Name: "n2", Kind: "entry", Addr: addr, FailureDomain: "d1"},
	})
	g := NewWithT(t)
	g.Eventually(events, testTimeout).Should(Receive(Equal(event.LoadReport{
		Server: "s1", Start: "st", Version: "v1", Running: 1, Waiting: 2, Limit: 3, Warm: true, Leaving: true, At: time.UnixMilli(1500),
	})))
	update := receiveNext[event.CacheUpdate](t, events)
	g.Expect(update.Seq).To(Equal(uint64(5)))
	g.Expect(update.Added).To(Equal([]uint64{math.MaxUint64}))
	g.Expect(update.Gone).To(Equal([]uint64{1}))
	g.Eventually(afters, testTimeout).Should(Receive(Equal("0")))
	g.Eventually(afters, testTimeout).Should(Receive(Equal("6")))
	receiveNext[event.LoadReport](t, events)
	receiveNext[event.LoadReport](t, events)
	g.Expect(afters).To(BeEmpty(), "a server that responded with 404 is not queried again")
	client.SetServers(nil)
}

// TestPollingLimit guards against thousands of servers in other failure domains that use up the polls of the own one.
func TestPollingLimit(t *testing.T) {
	client := New(event.Self{FailureDomain: "d1"}, nil, WithPolling(time.Second, 8))
	list := []event.VM{{Name: "local", Kind: "backend", FailureDomain: "d1"}}
	for i := range 1000 {
		list = append(list, event.VM{Name: fmt.Sprint("remote", i), Kind: "backend", FailureDomain: "d2"})
	}
	client.SetServers(list)
	now := time.Unix(1000, 0)
	polled := map[string]int{}
	for range 20 {
		for _, d := range client.dueTargets(now, 100) {
			polled[string(d.name)]++
			d.target.inFlight = false
		}
		now = now.Add(time.Second)
	}
	g := NewWithT(t)
	g.Expect(polled["local"]).To(Equal(20))
	g.Expect(len(polled)).To(BeNumerically("<=", 1+8/2+20), "a burst of 8 polls, then 2 per second, each of two calls")
}

// TestDecodeRejects guards against malformed reports that would mislead routing.
func TestDecodeRejects(t *testing.T) {
	for name, raw := range map[string]string{
		"not JSON": "x", "no start": `{"at":1}`, "no time": `{"start":"s"}`, "negative": `{"start":"s","at":1,"running":-1}`,
		"huge": `{"start":"s","at":1,"limit":99999999}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeLoad([]byte(raw))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring("decode load")))
		})
	}
	for name, raw := range map[string]string{
		"not JSON": "x", "no start": `{}`, "no sequence": `{"start":"s","added":["1"]}`, "bad hash": `{"start":"s","seq":1,"gone":["-1"]}`,
	} {
		t.Run("cache "+name, func(t *testing.T) {
			_, err := decodeCache([]byte(raw))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring("decode cache")))
		})
	}
}

// FuzzDecode guards against a panic on any response of a backend server, and against values out of range.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"seq":0,"tokens":1,"text":"a","took":1.5}`), "12.5")
	f.Add([]byte(`{"start":"s","at":1e300,"seq":18446744073709551615,"added":["1"]}`), "NaN")
	f.Fuzz(func(t *testing.T, raw []byte, took string) {
		g := NewWithT(t)
		if p, err := decodePart(raw); err == nil {
			g.Expect(p.Seq + p.Tokens).To(BeNumerically(">", 0))
		}
		if d, err := decodeEnd(raw); err == nil {
			g.Expect(d.Took).To(BeNumerically(">=", 0))
		}
		if r, err := decodeLoad(raw); err == nil {
			g.Expect(r.Running).To(BeNumerically(">=", 0))
		}
		_, _ = decodeCache(raw)
		if d, err := parseMillis(took); err == nil {
			g.Expect(d).To(BeNumerically(">=", 0))
		}
	})
}
