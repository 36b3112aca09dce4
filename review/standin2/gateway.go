package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is the gateway, as the build line of the deploy file leaves it.
const program = "target/bluebellflow"

// gateway is a process of the system.
type gateway struct {
	name, zone, front, ready, settings string
	cmd                                *exec.Cmd
	done                               chan struct{}
	exitErr                            error
}

// The ports of freeAddr lie below the ephemeral ports, because an outgoing connection could take the port of a process that is
// not started yet.
const minPort, maxPort = 12_000, 30_000

var allocated = map[int]bool{}

// freeAddr returns an address that nobody listens on, each one only once.
func freeAddr() string {
	for {
		port := minPort + rand.IntN(maxPort-minPort)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if allocated[port] {
			continue
		}
		allocated[port] = true
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
}

// newGateway writes the settings of a gateway as deploy/gateway.json fills them in for a small deployment.
func newGateway(dir, name, zone, storeAddr string) (*gateway, error) {
	g := &gateway{name: name, zone: zone, front: freeAddr(), ready: freeAddr(), settings: filepath.Join(dir, name+".json")}
	text := fmt.Sprintf(`{
  "name": %q, "domain": %q, "region": "r", "peer": %q, "caller": %q, "ready": %q, "metrics": %q, "store": %q,
  "memory": 284, "descriptors": 4100, "cores": 0.4,
  "bounds": {
    "grace": "8s", "cold": { "over": 1.5, "slack": 5 }, "retry": { "ratio": 0.2, "slack": 58, "span": "10s" }
  }
}`, name, zone, freeAddr(), g.front, g.ready, freeAddr(), storeAddr)
	return g, os.WriteFile(g.settings, []byte(text), 0o600)
}

// start starts the process, whose log goes to a file beside its settings.
func (g *gateway) start() error {
	log, err := os.OpenFile(g.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "gateway", g.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.cmd, g.done = cmd, done
	go func() {
		g.exitErr = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// running reports whether the process has not ended.
func (g *gateway) running() bool {
	select {
	case <-g.done:
		return false
	default:
		return true
	}
}

// peakMemory returns the most memory that the process has had resident.
func (g *gateway) peakMemory() string {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	for line := range strings.Lines(string(raw)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strings.TrimSpace(text)
		}
	}
	return "unknown"
}

// stop ends the process.
func (g *gateway) stop() {
	if g.cmd == nil {
		return
	}
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	<-g.done
}

// isReady asks the process once whether it is ready.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all processes are ready.
func awaitReady(gateways []*gateway) error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, g := range gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(gateways) {
			return nil
		}
	}
	return fmt.Errorf("the gateways did not become ready")
}
