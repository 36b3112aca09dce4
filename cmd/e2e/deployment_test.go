package e2e_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/lab/embed"
	"bluebellflow/lab/testbed"
)

const (
	// eventuallyTimeout limits the wait for a condition that must become true. No assertion depends on a shorter time.
	eventuallyTimeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 100 * time.Millisecond
	// maxOutput limits the output of a process that is kept, in bytes; the rest is dropped.
	maxOutput = 4 << 20
)

// nodeSettings holds the settings of one process, as docs/settings.md describes them.
type nodeSettings struct {
	Name     id.Node          `json:"name"`
	Domain   id.FailureDomain `json:"domain"`
	Region   id.Region        `json:"region"`
	Peer     netip.AddrPort   `json:"peer"`
	Caller   netip.AddrPort   `json:"caller"`
	Admin    netip.AddrPort   `json:"admin"`
	Platform netip.AddrPort   `json:"platform"`
	TLS      *tlsFiles        `json:"tls,omitempty"`
}

// deployment is a set of nodes, each in a process of its own. The platform and the backend servers run in the test process.
type deployment struct {
	t       *testing.T
	dir     string
	program string
	testbed *testbed.Environment
	nodes   []*process

	authority *authority
}

// process is a node's settings and the process that runs it.
type process struct {
	nodeSettings
	settingsFile string
	cmd          *exec.Cmd
	log          *output
	done         chan struct{} // closed after cmd.Wait has returned
}

// output keeps the first maxOutput bytes that a process writes.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write keeps what fits and discards the rest, so that the process never blocks on a write.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.buf.Write(p[:min(len(p), maxOutput-o.buf.Len())])
	return len(p), nil
}

// tail returns the last lines of the kept output.
func (o *output) tail(lines int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := strings.Split(strings.TrimSpace(o.buf.String()), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// startDeployment builds the program, starts the stand-ins and all nodes, applies the settings and waits until the nodes
// are ready.
func startDeployment(t *testing.T, desc testbed.Description) *deployment {
	t.Helper()
	g := NewWithT(t)
	d := &deployment{t: t, dir: t.TempDir()}
	d.program = filepath.Join(d.dir, "bluebellflow")
	built, err := exec.CommandContext(t.Context(), "go", "build", "-o", d.program, "bluebellflow/cmd/bluebellflow").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(built))
	d.testbed, err = testbed.Start(desc)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = d.testbed.Close() })
	t.Cleanup(d.killAll)
	d.authority = newAuthority(d, "authority")
	for i := range desc.Nodes {
		d.addNode(i)
	}
	source, err := embed.Settings(desc)
	g.Expect(err).NotTo(HaveOccurred())
	tree := d.writeFile("settings.json", source)
	d.eventually("the settings are applied", func() error {
		_, err := d.runCommand(d.nodes[0], "apply", tree)
		return err
	})
	for _, p := range d.nodes {
		d.waitReady(p)
	}
	return d
}

func (d *deployment) writeFile(name string, source []byte) string {
	d.t.Helper()
	path := filepath.Join(d.dir, name)
	NewWithT(d.t).Expect(os.WriteFile(path, source, 0o600)).To(Succeed())
	return path
}

// addNode writes the settings of another node and starts it.
func (d *deployment) addNode(index int) *process {
	d.t.Helper()
	domains := d.testbed.Description.Domains
	domain := domains[index%len(domains)]
	p := &process{nodeSettings: nodeSettings{
		Name: id.Node(fmt.Sprintf("%s-%d", domain, index/len(domains)+1)), Domain: domain, Region: d.testbed.Description.Region,
		Peer: d.freeAddr(), Caller: d.freeAddr(), Admin: d.freeAddr(), Platform: d.testbed.PlatformAddr(domain),
	}}
	p.TLS = d.authority.issue(string(p.Name))
	raw, err := json.Marshal(p.nodeSettings)
	NewWithT(d.t).Expect(err).NotTo(HaveOccurred())
	p.settingsFile = d.writeFile(string(p.Name)+".json", raw)
	d.nodes = append(d.nodes, p)
	d.testbed.SetEntry(event.VM{Name: string(p.Name), Addr: p.Peer, FailureDomain: domain, Region: p.Region})
	d.startProcess(p)
	return p
}

// freeAddr returns an address with an unused port. It is not on 127.0.0.1, because outgoing connections take their
// ephemeral ports there and could take the port of a node that is down. Each port is returned only once, so that no other
// test gets the port of a node that is down.
func (d *deployment) freeAddr() netip.AddrPort {
	d.t.Helper()
	allocated.Lock()
	defer allocated.Unlock()
	for {
		listener, err := net.Listen("tcp", "127.0.1.1:0")
		NewWithT(d.t).Expect(err).NotTo(HaveOccurred())
		addr := listener.Addr().(*net.TCPAddr).AddrPort()
		_ = listener.Close()
		if !allocated.ports.Has(addr.Port()) {
			allocated.ports.Add(addr.Port())
			return addr
		}
	}
}

// allocated holds the ports that freeAddr has returned in this process.
var allocated = struct {
	sync.Mutex
	ports id.Set[uint16]
}{ports: id.NewSet[uint16]()}

// startProcess starts the process of a node that is not running.
func (d *deployment) startProcess(p *process) {
	d.t.Helper()
	p.log, p.done = &output{}, make(chan struct{})
	p.cmd = exec.Command(d.program, "serve", p.settingsFile)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	NewWithT(d.t).Expect(p.cmd.Start()).To(Succeed())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
}

// killAll kills the processes that are still running and logs the end of their output if the test has failed.
func (d *deployment) killAll() {
	for _, p := range d.nodes {
		_ = p.cmd.Process.Kill()
		<-p.done
		if d.t.Failed() {
			d.t.Logf("%s ended with %v:\n%s", p.Name, p.cmd.ProcessState, p.log.tail(15))
		}
	}
}

// signal sends a signal to one process.
func (d *deployment) signal(p *process, s syscall.Signal) {
	d.t.Helper()
	NewWithT(d.t).Expect(p.cmd.Process.Signal(s)).To(Succeed())
}

// waitExit waits until a process has ended and returns its exit code, or -1 if it was killed by a signal.
func (d *deployment) waitExit(p *process) int {
	d.t.Helper()
	select {
	case <-p.done:
	case <-time.After(eventuallyTimeout):
		d.t.Fatalf("%s does not end:\n%s", p.Name, p.log.tail(15))
	}
	return p.cmd.ProcessState.ExitCode()
}

// eventually waits until the condition returns no error.
func (d *deployment) eventually(what string, condition func() error) {
	d.t.Helper()
	for until := time.Now().Add(eventuallyTimeout); ; time.Sleep(pollInterval) {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(until) {
			d.t.Fatalf("%s: %v", what, err)
		}
	}
}

// waitReady waits until a node reports that it accepts requests.
func (d *deployment) waitReady(p *process) {
	d.t.Helper()
	d.eventually(string(p.Name)+" is ready", func() error {
		return p.expectStatus("/readyz", http.StatusOK)
	})
}

// expectStatus sends a GET request to a node's caller address and returns an error unless it is answered with the wanted
// status.
func (p *process) expectStatus(path string, want int) error {
	resp, err := http.Get(fmt.Sprintf("http://%s%s", p.Caller, path))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != want {
		return fmt.Errorf("%s: status %d, not %d: %s", path, resp.StatusCode, want, text)
	}
	return nil
}

// commandResult is the output and the exit code of an operator's command.
type commandResult struct {
	code   int
	stdout string
	stderr string
}

// runCommand runs an operator's command against a node. It returns an error if the exit code is not 0.
func (d *deployment) runCommand(p *process, args ...string) (commandResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, d.program, append([]string{"--node", "http://" + p.Admin.String()}, args...)...)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	o := commandResult{code: cmd.ProcessState.ExitCode(), stdout: out.String(), stderr: errs.String()}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return o, fmt.Errorf("%v: exit code %d: %s", args, o.code, o.stderr)
	}
	return o, err
}
