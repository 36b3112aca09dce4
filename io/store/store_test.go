package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/core/event"
	"bluebellflow/io/rawserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds the wait for something that must happen; no test requires it to happen sooner.
const testTimeout = 10 * time.Second

// startClient runs a client against a handler and returns the channels of its events and errors.
func startClient(t *testing.T, handler http.HandlerFunc, opts ...Option) (*Client, chan event.Event, chan error) {
	t.Helper()
	server := httptest.NewServer(handler)
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	// Cleanups run in reverse order: the client stops before the server, whose Close waits for open calls.
	t.Cleanup(server.Close)
	return startClientAt(t, addr, opts...)
}

func startClientAt(t *testing.T, addr netip.AddrPort, opts ...Option) (*Client, chan event.Event, chan error) {
	t.Helper()
	events, errs := make(chan event.Event, 1000), make(chan error, 1000)
	base := []Option{
		WithErrorHandler(func(err error) { errs <- err }), WithBackoff(time.Millisecond),
		WithTiming(testTimeout, testTimeout, time.Hour),
	}
	c := New(addr, func(ev event.Event) { events <- ev }, append(base, opts...)...)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = c.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return c, events, errs
}

// receiveNext returns the next event of type T and skips all others.
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
			t.Fatalf("timed out waiting for %T", want)
		}
	}
}

// respondStatus responds with a status and headers, but to reads of the VM list with an empty list.
func respondStatus(code int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/vms" {
			_, _ = w.Write([]byte(`{"vms":[]}`))
			return
		}
		for i := 0; i+1 < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(code)
	}
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestResultCodes guards against result codes that claim more than is known, above all that a write had no
// effect although it may have had one.
func TestResultCodes(t *testing.T) {
	put := event.PlatformCall{Op: event.OpPut, Name: "a/b", Version: 3, Value: []byte("v")}
	get := event.PlatformCall{Op: event.OpGet, Name: "a/b"}
	list := event.PlatformCall{Op: event.OpList, Name: "a/"}
	cases := map[string]struct {
		call    event.PlatformCall
		handler http.HandlerFunc
		want    event.Code
	}{
		"put":                 {put, respondStatus(200, "ETag", `"4"`), event.CodeOK},
		"put conflict":        {put, respondStatus(412), event.CodeConflict},
		"put too large":       {put, respondStatus(413), event.CodeUnavailable},
		"put rate limited":    {put, respondStatus(429, "Retry-After", "1"), event.CodeUnavailable},
		"put unavailable":     {put, respondStatus(503), event.CodeUnavailable},
		"put server error":    {put, respondStatus(500), event.CodeUnknown},
		"put without version": {put, respondStatus(200), event.CodeUnknown},
		"put invalid version": {put, respondStatus(200, "ETag", "4"), event.CodeUnknown},
		"put redirected":      {put, respondStatus(307, "Location", "/objects/c"), event.CodeUnknown},
		"put no response":     {put, abortConnection, event.CodeUnknown},
		"put over size limit": {event.PlatformCall{Op: event.OpPut, Name: "a", Value: make([]byte, MaxValueBytes+1)}, respondStatus(200, "ETag", `"1"`), event.CodeUnavailable},
		"put invalid name":    {event.PlatformCall{Op: event.OpPut, Name: "a/../b"}, respondStatus(200, "ETag", `"1"`), event.CodeUnavailable},
		"get":                 {get, respondStatus(200, "ETag", `"4"`), event.CodeOK},
		"get missing":         {get, respondStatus(404), event.CodeNotFound},
		"get no response":     {get, abortConnection, event.CodeUnknown},
		"list not JSON":       {list, respondStatus(200), event.CodeUnknown},
		"unknown operation":   {event.PlatformCall{Op: 99, Name: "a"}, respondStatus(200), event.CodeUnavailable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client, events, _ := startClient(t, c.handler)
			client.Do(c.call)
			got := receiveNext[event.PlatformResult](t, events)
			g := NewWithT(t)
			g.Expect(got.Code).To(Equal(c.want))
			g.Expect(got.Call).To(Equal(c.call))
			if c.want == event.CodeOK {
				g.Expect(got.Objects[0].Version).To(Equal(uint64(4)))
			}
		})
	}
}

// TestUnreachable guards against reporting an unknown outcome for a write that never left this process.
func TestUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	addr := netip.MustParseAddrPort(listener.Addr().String())
	g.Expect(listener.Close()).To(Succeed())
	client, events, _ := startClientAt(t, addr)
	client.Do(event.PlatformCall{Op: event.OpPut, Name: "a"})
	g.Expect(receiveNext[event.PlatformResult](t, events).Code).To(Equal(event.CodeUnavailable))
}

// TestRateLimit guards against calls above the platform's rate limit: a call that the limiter does not admit in time is
// not sent and is reported as unavailable.
func TestRateLimit(t *testing.T) {
	var calls atomic.Int32
	client, events, _ := startClient(t, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		respondStatus(200, "ETag", `"1"`)(w, r)
	}, WithRate(1e-6, 1))
	g := NewWithT(t)
	g.Eventually(calls.Load, testTimeout).Should(Equal(int32(1)), "the first read of the VM list uses the only token")
	client.Do(event.PlatformCall{Op: event.OpPut, Name: "a"})
	g.Expect(receiveNext[event.PlatformResult](t, events).Code).To(Equal(event.CodeUnavailable))
	g.Expect(calls.Load()).To(Equal(int32(1)))
}

// TestWatch guards against changes that are missed at the first response, after a gap, after an error and when the
// sequence number decreases because the store is another one.
func TestWatch(t *testing.T) {
	responses := []string{
		`{"seq":5}`,
		`{"seq":7,"changes":[{"name":"p/a","version":2},{"name":"p/b","version":1}]}`,
		`not JSON`,
		`{"seq":9,"gap":true}`,
		`{"seq":1,"changes":[{"name":"","version":1}]}`,
		`{"seq":1}`,
	}
	var afters []string
	client, events, errs := startClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/watch" {
			respondStatus(200)(w, r)
			return
		}
		if len(afters) == len(responses) {
			<-r.Context().Done()
			return
		}
		afters = append(afters, r.URL.Query().Get("after"))
		_, _ = w.Write([]byte(responses[len(afters)-1]))
	})
	client.Do(event.PlatformCall{Op: event.OpWatch, Name: "p/"})
	client.Do(event.PlatformCall{Op: event.OpWatch, Name: "p/"}) // a second watch of the same prefix has no effect
	g := NewWithT(t)
	for _, want := range []event.ObjectChanged{{}, {Name: "p/a", Version: 2}, {Name: "p/b", Version: 1}, {}, {}} {
		g.Expect(receiveNext[event.ObjectChanged](t, events)).To(Equal(want))
	}
	g.Expect(afters).To(Equal([]string{"0", "5", "7", "7", "9", "9"}))
	g.Expect(errs).To(Receive(MatchError(ContainSubstring("decode watch response"))))
	g.Expect(errs).To(Receive(MatchError(ContainSubstring(`invalid object "" with version 1`))))
}

// TestDecodeVMs guards against one invalid entry that hides the leaving markers of all others.
func TestDecodeVMs(t *testing.T) {
	const good = `{"name":"b1","kind":"backend","addr":"127.0.0.1:1","domain":"d","region":"r","pool":"p","leaving":true}`
	for name, bad := range map[string]string{
		"no name": `{"kind":"entry","addr":"127.0.0.1:1","domain":"d"}`, "kind": `{"name":"x","kind":"z","addr":"127.0.0.1:1","domain":"d"}`,
		"address": `{"name":"x","kind":"entry","addr":"nowhere","domain":"d"}`, "no address": `{"name":"x","kind":"entry","domain":"d"}`,
		"no domain": `{"name":"x","kind":"entry","addr":"127.0.0.1:1"}`, "no pool": `{"name":"x","kind":"backend","addr":"127.0.0.1:1","domain":"d"}`,
	} {
		t.Run(name, func(t *testing.T) {
			list, err := decodeVMs(fmt.Appendf(nil, `{"vms":[%s,%s]}`, bad, good))
			g := NewWithT(t)
			g.Expect(err).To(MatchError(ContainSubstring("entry 0")))
			g.Expect(list).To(HaveLen(1))
			g.Expect(list[0].Leaving).To(BeTrue())
		})
	}
	_, err := decodeVMs([]byte(`{}`))
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring(`no field "vms"`)))
}

// FuzzDecode guards against panics on malformed responses and against invalid entries that are passed on.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"vms":[{"name":"b1","kind":"backend","addr":"127.0.0.1:1","domain":"d","pool":"p"}]}`))
	f.Add([]byte(`{"seq":3,"changes":[{"name":"a","version":1}],"gap":true}`))
	f.Add([]byte(`{"objects":[{"name":"a","version":0}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		list, _ := decodeVMs(raw)
		for _, vm := range list {
			if err := checkVM(vm); err != nil {
				t.Fatal(err)
			}
		}
		_, errWatch := decodeWatch(raw)
		_, errList := decodeList(raw)
		_, errVersion := parseVersion(string(raw))
		if errVersion == nil && bytes.ContainsAny(raw, "-+ ") {
			t.Fatalf("invalid version %q is accepted", raw)
		}
		_ = errors.Join(errWatch, errList)
	})
}

// TestVMPollInterval guards against a node of a large fleet that spends its traffic budget on the VM list, and against a
// node that reads the list too rarely to learn of new VMs.
func TestVMPollInterval(t *testing.T) {
	for _, c := range []struct {
		size int
		want time.Duration
	}{
		{0, time.Second},
		{4 << 10, time.Second},
		{40 << 10, 10 * time.Second},
		{8 << 20, 2 * time.Minute},
	} {
		g := NewWithT(t)
		g.Expect(vmPollInterval(time.Second, c.size)).To(Equal(c.want))
	}
}

// BenchmarkDecodeVMs decodes a VM list of the size expected in two years and reports the list's size and the poll interval
// that follows from it.
func BenchmarkDecodeVMs(b *testing.B) {
	var list []event.VM
	for i := range 2240 {
		list = append(list, event.VM{
			Name: fmt.Sprintf("server-%04d", i), Kind: "backend", Pool: "retriever", Version: "v1", FailureDomain: "d00", Region: "r0",
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 200), byte(i % 200)}), 8000),
		})
	}
	raw, err := json.Marshal(map[string][]event.VM{"vms": list})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decodeVMs(raw); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(raw)), "list-bytes")
	b.ReportMetric(vmPollInterval(time.Second, len(raw)).Seconds(), "pause-s")
}

// TestMalformedResponse guards against bytes that are no response and count as the outcome of a write.
func TestMalformedResponse(t *testing.T) {
	for name, begin := range rawserver.Malformed {
		t.Run(name, func(t *testing.T) {
			server, err := rawserver.Start(rawserver.Answer(begin + "ETag: \"4\"\r\nContent-Length: 0\r\n\r\n"))
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			defer func() { _ = server.Close() }()
			client, events, _ := startClientAt(t, server.Addr())
			client.Do(event.PlatformCall{Op: event.OpPut, Name: "a", Version: 3, Value: []byte("v")})
			NewWithT(t).Expect(receiveNext[event.PlatformResult](t, events).Code).To(Equal(event.CodeUnknown))
		})
	}
}
