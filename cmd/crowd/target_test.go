package crowd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/lab/embed"
	"bluebellflow/lab/testbed"
	"bluebellflow/platform/standin"
)

const (
	// gatewayMemoryMB is the memory of the smallest VM in megabytes, which the settings of the gateway name.
	gatewayMemoryMB = 136
	// serveMemoryMB is the bound for serve in megabytes. VMs have 136 to 536 MB; it is the default where the settings name none.
	serveMemoryMB = 256
	// descriptorLimit is the number of descriptors that the process may open, of which reservedDescriptors are for files.
	descriptorLimit, reservedDescriptors = 600, 200
	// idleDescriptors is the highest number of descriptors that the process may have open when a crowd begins.
	idleDescriptors = 150
	// answerTimeout limits the wait for the start of a process, or for the answer to an ordinary request.
	answerTimeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
)

// path is a path to which a crowd sends requests.
type path struct {
	name, addr, method, target, host, headers string
}

// target is a process under test.
type target struct {
	program  string
	args     []string
	memoryMB int
	paths    []path
	ordinary func() error // sends one ordinary request

	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	log  *output
}

// output keeps the beginning of what a process writes.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

const maxOutput = 64 << 10

// Write keeps what fits and discards the rest.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.buf.Write(p[:min(len(p), maxOutput-o.buf.Len())])
	return len(p), nil
}

// String returns the last lines of what was kept.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(o.buf.String()), "\n")
	return strings.Join(lines[max(0, len(lines)-10):], "\n")
}

func (t *target) start(tb *testing.T) {
	t.log, t.done = &output{}, make(chan struct{})
	t.cmd = exec.Command("/bin/sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$@"`, descriptorLimit), "sh", t.program}, t.args...)...)
	t.cmd.Stdout, t.cmd.Stderr = t.log, t.log
	NewWithT(tb).Expect(t.cmd.Start()).To(Succeed())
	cmd, done := t.cmd, t.done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

func (t *target) stop() {
	_ = t.cmd.Process.Kill()
	<-t.done
}

func (t *target) exited() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// prepare starts the process again if the crowd before has ended it or left it with too much memory, and waits until it
// answers an ordinary request and has closed the connections of the crowd before. The peak of its memory is counted from
// now on.
func (t *target) prepare(tb *testing.T) {
	g := NewWithT(tb)
	if t.exited() || t.status("VmRSS:") > t.memoryMB<<20/2 {
		t.stop()
		t.start(tb)
	}
	g.Expect(t.awaitAnswer()).To(Succeed(), "%s", t.log)
	g.Eventually(t.descriptors, answerTimeout, pollInterval).Should(BeNumerically("<=", idleDescriptors), "descriptors")
	const resetPeak = "5" // proc_pid_clear_refs(5)
	g.Expect(os.WriteFile(t.proc("clear_refs"), []byte(resetPeak), 0o600)).To(Succeed())
}

// awaitAnswer sends ordinary requests until one is answered.
func (t *target) awaitAnswer() error {
	for until := time.Now().Add(answerTimeout); ; time.Sleep(pollInterval) {
		err := t.ordinary()
		if err == nil || t.exited() || time.Now().After(until) {
			return err
		}
	}
}

func (t *target) proc(file string) string {
	return filepath.Join("/proc", strconv.Itoa(t.cmd.Process.Pid), file)
}

// peakMemory returns the largest resident memory in bytes since prepare.
func (t *target) peakMemory() int { return t.status("VmHWM:") }

// status returns a figure of the process in bytes, 0 if the process has ended.
func (t *target) status(field string) int {
	raw, _ := os.ReadFile(t.proc("status"))
	_, rest, _ := strings.Cut(string(raw), field)
	kilobytes := 0
	_, _ = fmt.Sscan(rest, &kilobytes)
	return kilobytes << 10
}

// descriptors returns the number of open descriptors.
func (t *target) descriptors() int {
	entries, _ := os.ReadDir(t.proc("fd"))
	return len(entries)
}

// watchDescriptors counts the open descriptors until the returned function is called, which returns their largest number.
func (t *target) watchDescriptors() func() int {
	stop, peak := make(chan struct{}), make(chan int)
	go func() {
		highest := 0
		for {
			highest = max(highest, t.descriptors())
			select {
			case <-stop:
				peak <- highest
				return
			case <-time.After(pollInterval):
			}
		}
	}()
	return func() int {
		close(stop)
		return <-peak
	}
}

// freeAddr returns an address with an unused port, apart from the ports of outgoing connections on 127.0.0.1.
func freeAddr(t *testing.T) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.3.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// writeSettings writes settings to a file and returns its name.
func writeSettings(t *testing.T, settings any) string {
	raw, ok := settings.([]byte)
	if !ok {
		var err error
		raw, err = json.Marshal(settings)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
	}
	name := filepath.Join(t.TempDir(), "settings.json")
	NewWithT(t).Expect(os.WriteFile(name, raw, 0o600)).To(Succeed())
	return name
}

// startGateway starts a gateway and stand-ins of its platform.
func startGateway(t *testing.T, program string) *target {
	config := standin.Example()
	fleet, err := standin.NewFleet(1, config, []string{"a"}, map[string]int{standin.ServiceModels: 2, standin.ServiceLoans: 2})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(fleet.Close)
	callers := standin.NewCaller(fleet, "c")
	t.Cleanup(callers.Close)
	addr, ready := freeAddr(t).String(), freeAddr(t).String()
	file := writeSettings(t, map[string]any{
		"name": "n", "domain": "a", "peer": freeAddr(t), "caller": addr, "ready": ready, "store": fleet.Store.Addr(), "memory": gatewayMemoryMB,
		"bounds": map[string]any{
			"grace": "6s", "cold": map[string]any{"over": 1.5, "slack": 5}, "retry": map[string]any{"ratio": 0.2, "slack": 58, "span": "10s"},
		},
	})
	const headers = "Request-Id: crowd\r\nAuthorization: Bearer key-tunis\r\nToken-Counts: 1000,4000\r\n"
	out := &target{
		program: program, args: []string{"gateway", file}, memoryMB: gatewayMemoryMB,
		paths: []path{
			{"route", addr, http.MethodPost, "/ask/x", "answers.example", headers},
			{"no route", addr, http.MethodPost, "/x", "unknown.example", headers},
			{"readiness", ready, http.MethodGet, "/readyz", "n", ""},
		},
		ordinary: func() error {
			ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
			defer cancel()
			got := callers.Do(ctx, addr, standin.Request{Route: config.Route(standin.RouteLook), Tenant: "tunis", Key: "key-tunis"})
			if !got.OK() {
				return fmt.Errorf("status %d, error %w", got.Status, got.Err)
			}
			return nil
		},
	}
	out.start(t)
	t.Cleanup(out.stop)
	return out
}

// startServe starts a node of the product's own way to run, and stand-ins of what is around it.
func startServe(t *testing.T, program string) *target {
	g := NewWithT(t)
	d := testbed.Kitab()
	d.Nodes = 1
	environment, err := testbed.Start(d)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = environment.Close() })
	peer, addr, admin := freeAddr(t), freeAddr(t).String(), freeAddr(t).String()
	domain := d.Domains[0]
	environment.SetEntry(event.VM{Name: "n", Addr: peer, FailureDomain: domain, Region: d.Region})
	file := writeSettings(t, map[string]any{
		"name": "n", "domain": domain, "region": d.Region, "peer": peer, "caller": addr, "admin": admin, "platform": environment.PlatformAddr(domain),
	})
	const headers = "Bluebellflow-Workspace: gafsa\r\nAccept: text/event-stream\r\n"
	out := &target{
		program: program, args: []string{"serve", file}, memoryMB: serveMemoryMB,
		paths: []path{
			{"route", addr, http.MethodPost, "/v1/pipelines/reading-list", "n", headers},
			{"no route", addr, http.MethodPost, "/x", "n", headers},
			{"readiness", addr, http.MethodGet, "/readyz", "n", ""},
		},
		ordinary: func() error { return serveRequest(addr) },
	}
	out.start(t)
	t.Cleanup(out.stop)
	source, err := embed.Settings(d)
	g.Expect(err).NotTo(HaveOccurred())
	tree := writeSettings(t, source)
	g.Eventually(func() error {
		return exec.Command(program, "--node", "http://"+admin, "apply", tree).Run()
	}, answerTimeout, pollInterval).Should(Succeed())
	return out
}

// serveRequest sends an ordinary request to a node of the product's own way to run.
func serveRequest(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/pipelines/reading-list", strings.NewReader(`{"tokens":4}`))
	if err != nil {
		return err
	}
	req.Header.Set("Bluebellflow-Workspace", "gafsa")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return err
}
