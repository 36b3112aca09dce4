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
	// eventuallyTimeout bounds a wait for something that must happen.
	eventuallyTimeout = 20 * time.Second
	// stopTimeout is how long a process may take to stop: its grace of 6 s and a margin for the machine.
	stopTimeout = 8 * time.Second
)

var zones = []string{"a", "b", "c"}

// node is a gateway's settings and the process that runs with them.
type node struct {
	name, zone, callerAddr, readyAddr, settingsFile string
	storeProxy                                      *proxy // to the store
	peerProxy                                       *proxy // from other nodes
	logFile                                         *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// harness is the platform in this process, gateways as processes of their own, and callers.
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
	began         time.Time

	mu              sync.Mutex
	events          bytes.Buffer // what the plan did
	freezes         []freezeSpan
	unexpectedExits []string // processes that ended by themselves
}

// freezeSpan is a time in which a node's process stood still.
type freezeSpan struct {
	callerAddr string
	began, end time.Time // end is zero while it lasts
}

// newHarness starts a fleet whose servers are reached through proxies, and two gateways in each zone.
func newHarness(t *testing.T, program string, seed uint64) *harness {
	g := NewWithT(t)
	w := &harness{t: t, g: g, rng: rand.New(rand.NewPCG(seed, 1)), program: program, serverProxies: map[string]*proxy{}, began: time.Now()}
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	g.Expect(err).NotTo(HaveOccurred())
	w.dir = dir
	t.Cleanup(func() {
		if !t.Failed() {
			_ = os.RemoveAll(dir)
		}
	})
	w.Fleet, err = standin.NewFleet(seed, standin.Example(), nil, nil)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(w.Close)
	w.Recorder.SetDelayPredicate(w.mayBeDelayed)
	w.Recorder.SetLateTolerance(standin.LateTolerance{Runs: 20, Share: 0.05})
	for _, service := range standin.Example().Services {
		for _, zone := range zones {
			w.addServer(seed, service.Name, zone, oldVersion)
		}
	}
	for i := range 2 * len(zones) {
		w.addNode(fmt.Sprintf("n%d", i), zones[i%len(zones)])
	}
	w.caller = standin.NewCaller(w.Fleet, fmt.Sprintf("s%d-", seed))
	t.Cleanup(w.caller.Close)
	return w
}

func (w *harness) addServer(seed uint64, service, zone, version string) *standin.Server {
	name := service + "-" + zone
	if version != oldVersion {
		name += "-" + version
	}
	addr := w.freeAddr()
	path, err := newProxy(func() string { return addr })
	w.g.Expect(err).NotTo(HaveOccurred())
	w.t.Cleanup(path.close)
	w.serverProxies[name] = path
	s := w.NewServer(seed, standin.ServerSpec{ID: name, Service: service, Zone: zone, Version: version, Addr: addr, AdvertisedAddr: path.addr()})
	w.g.Expect(s.Start()).To(Succeed())
	return s
}

// firstPort and lastPort are below the ports that connections take for themselves, which would otherwise take that of a
// server that is not started yet.
const (
	minPort = 12_000
	maxPort = 30_000
)

// freeAddr returns an unused address, each once. It does not listen there to find out: a process that is being forked for
// another world would hold the listener for a moment longer, and the address could not be used.
func (w *harness) freeAddr() string {
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

// allocated holds the addresses that were tried for the worlds of this process.
var allocated = struct {
	sync.Mutex
	addrs map[string]bool
}{addrs: map[string]bool{}}

func (w *harness) addNode(name, zone string) {
	link, err := newProxy(func() string { return w.Store.Addr().String() })
	w.g.Expect(err).NotTo(HaveOccurred())
	w.t.Cleanup(link.close)
	peer := w.freeAddr()
	peers, err := newProxy(func() string { return peer })
	w.g.Expect(err).NotTo(HaveOccurred())
	w.t.Cleanup(peers.close)
	n := &node{peerProxy: peers, name: name, zone: zone, callerAddr: w.freeAddr(), readyAddr: w.freeAddr(), storeProxy: link, settingsFile: filepath.Join(w.dir, name+".json")}
	raw, err := json.Marshal(map[string]any{
		"name": name, "domain": zone, "peer": peer, "advertise": peers.addr(), "caller": n.callerAddr, "ready": n.readyAddr, "store": link.addr(), "memory": 200, "cores": 1,
		"bounds": map[string]any{
			"grace": "6s", "cold": map[string]any{"over": 1.5, "slack": 5}, "retry": map[string]any{"ratio": 0.2, "slack": 58, "span": "10s"},
		},
	})
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(os.WriteFile(n.settingsFile, raw, 0o600)).To(Succeed())
	n.logFile, err = os.Create(filepath.Join(w.dir, name+".log"))
	w.g.Expect(err).NotTo(HaveOccurred())
	w.nodes = append(w.nodes, n)
	w.t.Cleanup(func() {
		w.kill(n)
		_ = n.logFile.Close()
	})
	w.start(n)
}

// start starts a node's process. One that ends by itself breaks a promise.
func (w *harness) start(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = exec.Command(w.program, "gateway", n.settingsFile)
	n.cmd.Stdout, n.cmd.Stderr = n.logFile, n.logFile
	w.g.Expect(n.cmd.Start()).To(Succeed())
	cmd, done := n.cmd, make(chan struct{})
	n.done = done
	go func() {
		err := cmd.Wait()
		if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && !status.Signaled() && status.ExitStatus() != 0 {
			w.mu.Lock()
			w.unexpectedExits = append(w.unexpectedExits, fmt.Sprintf("%s ended: %v", n.name, err))
			w.mu.Unlock()
		}
		close(done)
	}()
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s) // it may have ended
}

func (n *node) exited() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// kill ends a node's process at once.
func (w *harness) kill(n *node) {
	n.signal(syscall.SIGKILL)
	<-n.exited()
}

// terminate asks a node's process to stop, and reports whether it did so within its grace.
func (w *harness) terminate(n *node) bool {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited():
		return true
	case <-time.After(stopTimeout):
		w.kill(n)
		return false
	}
}

// isReady asks as a load balancer does.
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

func (w *harness) waitReady() {
	for _, n := range w.nodes {
		w.g.Eventually(n.isReady, eventuallyTimeout, 50*time.Millisecond).Should(BeTrue(), n.name)
	}
}

// freeze stops a node's process, and thaw lets it go on.
func (w *harness) freeze(n *node) {
	w.mu.Lock()
	w.freezes = append(w.freezes, freezeSpan{callerAddr: n.callerAddr, began: time.Now()})
	w.mu.Unlock()
	n.signal(syscall.SIGSTOP)
}

func (w *harness) thaw(n *node) {
	n.signal(syscall.SIGCONT)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.freezes {
		if f := &w.freezes[i]; f.callerAddr == n.callerAddr && f.end.IsZero() {
			f.end = time.Now()
		}
	}
}

// mayBeDelayed reports whether a request may have waited for a node that stood still.
func (w *harness) mayBeDelayed(s standin.SentRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.freezes {
		if f.callerAddr == s.NodeAddr && (f.end.IsZero() || s.At.Before(f.end)) && s.Deadline.After(f.began) {
			return true
		}
	}
	return false
}

// logEvent notes what the plan does.
func (w *harness) logEvent(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(&w.events, "%7.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *harness) eventLog() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.events.String()
}
