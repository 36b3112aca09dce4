package runtime

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/wire"
	"bluebellflow/io/admin"
	"bluebellflow/io/mesh"
)

type textMessage struct {
	Text string `protobuf:"bytes,1,opt,name=text"`
}

func (textMessage) Check() error { return nil }

type statusCommand struct{ event.Command }

// startServices starts fakes of the platform and of a backend server, and returns their addresses.
func startServices(t testing.TB) (platform, server netip.AddrPort) {
	t.Helper()
	platformServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"vms":[]}`) }))
	backendServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "output") }))
	t.Cleanup(func() { platformServer.Close(); backendServer.Close() })
	return netip.MustParseAddrPort(platformServer.Listener.Addr().String()), netip.MustParseAddrPort(backendServer.Listener.Addr().String())
}

// forwardToServer returns decision logic that sends every request to one server and, after Stop, exits once all
// requests are answered.
func forwardToServer(server netip.AddrPort) func(event.Self) (Decider, mesh.Resolve) {
	return func(event.Self) (Decider, mesh.Resolve) {
		open := map[id.Attempt]id.Request{}
		var last id.Attempt
		stopping := false
		step := func(now time.Time, ev event.Event) []event.Action {
			var out []event.Action
			switch ev := ev.(type) {
			case event.Tick:
				out = append(out, event.Readiness{Ready: true})
			case event.RequestArrived:
				last++
				open[last] = ev.Request
				out = append(out, event.Dispatch{Attempt: last, Server: "s", Addr: server, Deadline: now.Add(testTimeout)})
			case event.AttemptDone:
				out = append(out, event.Reply{Request: open[ev.Attempt], Data: ev.Data, End: true})
				delete(open, ev.Attempt)
			case statusCommand:
				out = append(out, event.CommandResult{Number: ev.Number, Value: "fine"})
			case event.Stop:
				stopping = true
			}
			if stopping && len(open) == 0 {
				out = append(out, event.Exit{})
			}
			return out
		}
		return funcDecider{step: step}, func(id.Node) (netip.AddrPort, bool) { return netip.AddrPort{}, false }
	}
}

func newConfig(platform netip.AddrPort, name int, build func(event.Self) (Decider, mesh.Resolve)) Config {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	return Config{
		Self:  event.Self{Node: id.Node(fmt.Sprint("n", name)), Incarnation: id.Incarnation(fmt.Sprintf("%032x", name)), Addr: local},
		Build: build, Codec: wire.New(map[uint32]event.Body{1: textMessage{}}), Platform: platform, Callers: local, Admin: local,
		Commands: admin.Commands{Status: func(n uint64, _ id.Revision) event.Event { return statusCommand{event.Command{Number: n}} }},
	}
}

// startNode starts a node and returns a channel that receives the result of Run.
func startNode(t testing.TB, cfg Config) (*Node, <-chan error) {
	t.Helper()
	n, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ended, result := make(chan struct{}), make(chan error, 1)
	go func() { result <- n.Run(); close(ended) }()
	t.Cleanup(func() { n.Kill(); <-ended })
	return n, result
}

func post(client *http.Client, n *Node) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.CallerAddr().String()+"/v1/pipelines/p", strings.NewReader("in"))
	if err != nil {
		return "", err
	}
	req.Header.Set("Bluebellflow-Workspace", "w")
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

// TestNode guards against components of a node that do not work together, and against a graceful shutdown that
// interrupts a request.
func TestNode(t *testing.T) {
	g := NewWithT(t)
	platform, _ := startServices(t)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	backendServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "output")
	}))
	defer backendServer.Close()
	n, result := startNode(t, newConfig(platform, 1, forwardToServer(netip.MustParseAddrPort(backendServer.Listener.Addr().String()))))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()

	answers := make(chan string, 1)
	go func() {
		raw, _ := post(client, n)
		answers <- raw
	}()
	g.Eventually(arrived, testTimeout).Should(Receive())
	resp, err := client.Get("http://" + n.AdminAddr().String() + "/admin/v1/status")
	g.Expect(err).NotTo(HaveOccurred())
	raw, err := io.ReadAll(resp.Body)
	g.Expect(errors.Join(err, resp.Body.Close())).To(Succeed())
	g.Expect(string(raw)).To(MatchJSON(`"fine"`))

	n.Stop()
	g.Expect(result).NotTo(Receive(), "a request is still in progress")
	close(release)
	g.Eventually(answers, testTimeout).Should(Receive(ContainSubstring(`"output":"output"`)))
	g.Eventually(result, testTimeout).Should(Receive(BeNil()))
	g.Expect(n.Vars().Get("attempts_done").String()).To(Equal("1"))
}

// TestKill guards against a Kill, as on a second stop signal, that waits for requests in progress.
func TestKill(t *testing.T) {
	platform, server := startServices(t)
	n, result := startNode(t, newConfig(platform, 1, forwardToServer(server)))
	n.Kill()
	NewWithT(t).Eventually(result, testTimeout).Should(Receive(MatchError(ErrKilled)))
}

// TestNodesInOneProcess guards against state shared between the nodes of one process.
func TestNodesInOneProcess(t *testing.T) {
	g := NewWithT(t)
	platform, server := startServices(t)
	var mu sync.Mutex
	addrs := map[id.Node]netip.AddrPort{}
	received := map[id.Node]int{}
	resolve := func(name id.Node) (netip.AddrPort, bool) {
		mu.Lock()
		defer mu.Unlock()
		addr, ok := addrs[name]
		return addr, ok
	}
	const count = 9
	var nodes []*Node
	for i := range count {
		build := func(self event.Self) (Decider, mesh.Resolve) {
			forwarder, _ := forwardToServer(server)(self)
			return funcDecider{step: func(now time.Time, ev event.Event) []event.Action {
				if _, ok := ev.(event.Receive); ok {
					mu.Lock()
					received[self.Node]++
					mu.Unlock()
				}
				if _, ok := ev.(event.VMList); !ok {
					return forwarder.Step(now, ev)
				}
				var out []event.Action
				for to := range count {
					out = append(out, event.Send{To: id.Node(fmt.Sprint("n", to)), Body: textMessage{Text: "hello"}})
				}
				return out
			}}, resolve
		}
		n, _ := startNode(t, newConfig(platform, i, build))
		mu.Lock()
		addrs[id.Node(fmt.Sprint("n", i))] = n.PeerAddr()
		mu.Unlock()
		nodes = append(nodes, n)
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, n := range nodes {
		raw, err := post(client, n)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(raw).To(ContainSubstring(`"end":true`))
	}
	g.Eventually(func() int {
		mu.Lock()
		defer mu.Unlock()
		complete := 0
		for _, messages := range received {
			if messages >= count-1 {
				complete++
			}
		}
		return complete
	}, testTimeout).Should(Equal(count))
	for _, n := range nodes {
		g.Expect(n.Vars().Get("requests").String()).To(Equal("1"))
	}
}

// TestNewRejects guards against a node that starts with an invalid configuration, or whose error does not name the
// cause.
func TestNewRejects(t *testing.T) {
	g := NewWithT(t)
	platform, server := startServices(t)
	_, err := New(Config{})
	g.Expect(err).To(MatchError(ContainSubstring("without decision logic")))
	good := newConfig(platform, 1, forwardToServer(server))
	for want, invalidate := range map[string]func(*Config){
		"listen for peers":     func(c *Config) { c.Self.Addr = netip.AddrPort{} },
		"listen for callers":   func(c *Config) { c.Callers = netip.AddrPort{} },
		"listen for operators": func(c *Config) { c.Admin = platform },
		"load certificate":     func(c *Config) { c.TLS = &mesh.TLSFiles{Certificate: "missing"} },
	} {
		bad := good
		invalidate(&bad)
		_, err := New(bad)
		g.Expect(err).To(MatchError(ContainSubstring(want)))
	}
}

// BenchmarkRequest measures a caller's request to a backend server through a node with trivial decision logic.
func BenchmarkRequest(b *testing.B) {
	platform, server := startServices(b)
	n, _ := startNode(b, newConfig(platform, 1, forwardToServer(server)))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := post(client, n); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDirectRequest measures the same request sent directly to the backend server, for comparison with
// BenchmarkRequest.
func BenchmarkDirectRequest(b *testing.B) {
	_, server := startServices(b)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	for b.Loop() {
		resp, err := client.Post("http://"+server.String()+"/", "text/plain", strings.NewReader("in"))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
