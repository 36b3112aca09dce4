package soak_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/platform/standin"
)

const (
	// eventuallyTimeout limits the wait for a condition that must become true.
	eventuallyTimeout = 20 * time.Second
	// stopTimeout is how long a process may take to stop: its grace period of 6 s and a margin for a busy machine.
	stopTimeout = 8 * time.Second
)

var zones = []string{"a", "b", "c"}

// node is a gateway's settings and the process that runs it.
type node struct {
	name, zone, callerAddr, readyAddr, settingsFile string
	storeProxy                                      *proxy // to the store
	peerProxy                                       *proxy // from other nodes
	logFile                                         *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// harness runs the platform in the test process, gateways as separate processes, and callers.
type harness struct {
	*standin.Fleet
	t             *testing.T
	g             *WithT
	rng           *rand.Rand
	program       string
	dir           string
	nodes         []*node
	serverProxies map[string]*proxy // to each server
	caller        *standin.Caller
	control       *standin.Control
	began         time.Time

	mu              sync.Mutex
	events          bytes.Buffer // lines written by logEvent
	freezes         []freezeSpan
	unexpectedExits []string  // processes that exited by themselves with an error
	mayReturnUntil  time.Time // until when a holder may return within the lease
}

// tightConns is a limit of connections of which each of six nodes has one, because three more may have joined unseen.
const tightConns = 9

// newConfig returns the first configuration. With even seeds, plain services accept so few connections that every node is near
// its limit.
func newConfig(seed uint64) standin.Config {
	c := standin.Example()
	for i := range c.Services {
		if c.Services[i].Name == standin.ServiceLoans && seed%2 == 0 {
			c.Services[i].MaxConns = tightConns
		}
	}
	return c
}

// freezeSpan is a time span in which a node's process was frozen.
type freezeSpan struct {
	callerAddr string
	began, end time.Time // end is zero until the process is thawed
}

// newHarness starts a fleet whose servers are reached through proxies, and two gateways in each zone.
func newHarness(t *testing.T, program string, seed uint64) *harness {
	g := NewWithT(t)
	h := &harness{t: t, g: g, rng: rand.New(rand.NewPCG(seed, 1)), program: program, serverProxies: map[string]*proxy{}, began: time.Now()}
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	g.Expect(err).NotTo(HaveOccurred())
	h.dir = dir
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d, logs in %s, events:\n%s", seed, h.dir, h.eventLog())
			return
		}
		_ = os.RemoveAll(dir)
	})
	h.Fleet, err = standin.NewFleet(seed, newConfig(seed), nil, nil)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(h.Close)
	h.Recorder.SetDelayPredicate(h.mayBeDelayed)
	h.Recorder.SetLateTolerance(standin.LateTolerance{Runs: 20, Share: 0.05})
	for _, service := range standin.Example().Services {
		for _, zone := range zones {
			h.addServer(seed, service.Name, zone, oldVersion)
		}
	}
	h.startControl()
	for i := range 2 * len(zones) {
		h.addNode(fmt.Sprintf("n%d", i), zones[i%len(zones)])
	}
	h.caller = standin.NewCaller(h.Fleet, fmt.Sprintf("s%d-", seed))
	t.Cleanup(h.caller.Close)
	return h
}

func (h *harness) addServer(seed uint64, service, zone, version string) *standin.Server {
	name := service + "-" + zone
	if version != oldVersion {
		name += "-" + version
	}
	addr := h.freeAddr()
	proxy, err := newProxy(func() string { return addr })
	h.g.Expect(err).NotTo(HaveOccurred())
	h.t.Cleanup(proxy.close)
	h.serverProxies[name] = proxy
	s := h.NewServer(seed, standin.ServerSpec{ID: name, Service: service, Zone: zone, Version: version, Addr: addr, AdvertisedAddr: proxy.addr()})
	h.g.Expect(s.Start()).To(Succeed())
	return s
}

// The ports of freeAddr are minPort to maxPort-1. They lie below the ephemeral ports, because an outgoing connection could
// take the port of a server that is not started yet.
const (
	minPort = 12_000
	maxPort = 30_000
)

// freeAddr returns an unused address, each one only once. It does not test the address by listening on it: a process that
// another subtest forks at that moment would keep the listener open for longer, and the address could not be used.
func (h *harness) freeAddr() string {
	allocated.Lock()
	defer allocated.Unlock()
	for {
		addr := fmt.Sprintf("127.0.2.1:%d", minPort+rand.IntN(maxPort-minPort))
		if allocated.addrs[addr] {
			continue
		}
		allocated.addrs[addr] = true
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return addr
		}
		_ = conn.Close()
	}
}

// allocated holds the addresses that freeAddr has tried in this process.
var allocated = struct {
	sync.Mutex
	addrs map[string]bool
}{addrs: map[string]bool{}}

func (h *harness) addNode(name, zone string) {
	storeProxy, err := newProxy(func() string { return h.Store.Addr().String() })
	h.g.Expect(err).NotTo(HaveOccurred())
	h.t.Cleanup(storeProxy.close)
	peerAddr := h.freeAddr()
	peerProxy, err := newProxy(func() string { return peerAddr })
	h.g.Expect(err).NotTo(HaveOccurred())
	h.t.Cleanup(peerProxy.close)
	n := &node{peerProxy: peerProxy, name: name, zone: zone, callerAddr: h.freeAddr(), readyAddr: h.freeAddr(), storeProxy: storeProxy, settingsFile: filepath.Join(h.dir, name+".json")}
	raw, err := json.Marshal(map[string]any{
		"name": name, "domain": zone, "peer": peerAddr, "advertise": peerProxy.addr(), "caller": n.callerAddr, "ready": n.readyAddr, "store": storeProxy.addr(), "memory": 200, "cores": 1,
		"duties": h.dutySettings(),
		"bounds": map[string]any{
			"grace": "6s", "cold": map[string]any{"over": 1.5, "slack": 5}, "retry": map[string]any{"ratio": 0.2, "slack": 58, "span": "10s"},
		},
	})
	h.g.Expect(err).NotTo(HaveOccurred())
	h.g.Expect(os.WriteFile(n.settingsFile, raw, 0o600)).To(Succeed())
	n.logFile, err = os.Create(filepath.Join(h.dir, name+".log"))
	h.g.Expect(err).NotTo(HaveOccurred())
	h.nodes = append(h.nodes, n)
	h.t.Cleanup(func() {
		h.kill(n)
		_ = n.logFile.Close()
	})
	h.start(n)
}

// start starts a node's process, and records it as an unexpected exit if the process ends with an error by itself.
func (h *harness) start(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = exec.Command(h.program, "gateway", n.settingsFile)
	n.cmd.Stdout, n.cmd.Stderr = n.logFile, n.logFile
	h.g.Expect(n.cmd.Start()).To(Succeed())
	cmd, done := n.cmd, make(chan struct{})
	n.done = done
	go func() {
		err := cmd.Wait()
		if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && !status.Signaled() && status.ExitStatus() != 0 {
			h.mu.Lock()
			h.unexpectedExits = append(h.unexpectedExits, fmt.Sprintf("%s exited: %v", n.name, err))
			h.mu.Unlock()
		}
		close(done)
	}()
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s) // fails if the process has ended
}

func (n *node) exited() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// kill kills a node's process with SIGKILL.
func (h *harness) kill(n *node) {
	n.signal(syscall.SIGKILL)
	<-n.exited()
}

// terminate stops a node's process with SIGTERM, and reports whether it ended within stopTimeout. If not, it is killed.
func (h *harness) terminate(n *node) bool {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited():
		return true
	case <-time.After(stopTimeout):
		h.kill(n)
		return false
	}
}

// isReady checks the readiness endpoint of a node as a load balancer does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + n.readyAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *harness) waitReady() {
	for _, n := range h.nodes {
		h.g.Eventually(n.isReady, eventuallyTimeout, 50*time.Millisecond).Should(BeTrue(), n.name)
	}
}

// freeze suspends a node's process with SIGSTOP until thaw.
func (h *harness) freeze(n *node) {
	h.mu.Lock()
	h.freezes = append(h.freezes, freezeSpan{callerAddr: n.callerAddr, began: time.Now()})
	h.mu.Unlock()
	n.signal(syscall.SIGSTOP)
}

// thaw resumes a frozen process with SIGCONT.
func (h *harness) thaw(n *node) {
	n.signal(syscall.SIGCONT)
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.freezes {
		if f := &h.freezes[i]; f.callerAddr == n.callerAddr && f.end.IsZero() {
			f.end = time.Now()
		}
	}
}

// mayBeDelayed reports whether a request may have waited for a frozen node.
func (h *harness) mayBeDelayed(s standin.SentRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.freezes {
		if f.callerAddr == s.NodeAddr && (f.end.IsZero() || s.At.Before(f.end)) && s.Deadline.After(f.began) {
			return true
		}
	}
	return false
}

// logEvent adds a line with the time since the start to the event log.
func (h *harness) logEvent(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = fmt.Fprintf(&h.events, "%7.3f %s\n", time.Since(h.began).Seconds(), fmt.Sprintf(format, args...))
}

func (h *harness) eventLog() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.events.String()
}
