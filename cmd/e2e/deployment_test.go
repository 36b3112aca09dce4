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
	// patience bounds the wait for something that must happen; nothing is asserted about shorter times.
	patience = 60 * time.Second
	// pollEvery is how often a condition is looked at.
	pollEvery = 100 * time.Millisecond
	// maxOutput bounds the kept output of a process in bytes; the rest of a long log is dropped.
	maxOutput = 4 << 20
)

// nodeFile holds the settings of one process, as docs/settings.md describes them.
type nodeFile struct {
	Name     id.Node          `json:"name"`
	Domain   id.FailureDomain `json:"domain"`
	Region   id.Region        `json:"region"`
	Peer     netip.AddrPort   `json:"peer"`
	Caller   netip.AddrPort   `json:"caller"`
	Admin    netip.AddrPort   `json:"admin"`
	Platform netip.AddrPort   `json:"platform"`
	TLS      *tlsFiles        `json:"tls,omitempty"`
}

// deployment is the outside world in this process, and one process for each node.
type deployment struct {
	t       *testing.T
	dir     string
	program string
	world   *testbed.Environment
	nodes   []*process

	authority *authority
}

// process is a node's settings and the process that runs with them.
type process struct {
	nodeFile
	path string
	cmd  *exec.Cmd
	log  *output
	done chan struct{} // closed after the process has ended and was waited for
}

// output keeps the first part of what a process writes.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write keeps what fits and takes the rest too, so that the process is never blocked.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.buf.Write(p[:min(len(p), maxOutput-o.buf.Len())])
	return len(p), nil
}

// tail returns the last lines.
func (o *output) tail(lines int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := strings.Split(strings.TrimSpace(o.buf.String()), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// start builds the program, starts the stand-ins and all nodes, and applies the settings.
func start(t *testing.T, described testbed.Description) *deployment {
	t.Helper()
	g := NewWithT(t)
	d := &deployment{t: t, dir: t.TempDir()}
	d.program = filepath.Join(d.dir, "bluebellflow")
	built, err := exec.CommandContext(t.Context(), "go", "build", "-o", d.program, "bluebellflow/cmd/bluebellflow").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(built))
	d.world, err = testbed.Start(described)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = d.world.Close() })
	t.Cleanup(d.end)
	d.authority = newAuthority(d, "authority")
	for i := range described.Nodes {
		d.add(i)
	}
	source, err := embed.Settings(described)
	g.Expect(err).NotTo(HaveOccurred())
	tree := d.write("settings.json", source)
	d.eventually("the settings are applied", func() error {
		_, err := d.command(d.nodes[0], "apply", tree)
		return err
	})
	for _, p := range d.nodes {
		d.ready(p)
	}
	return d
}

func (d *deployment) write(name string, source []byte) string {
	d.t.Helper()
	path := filepath.Join(d.dir, name)
	NewWithT(d.t).Expect(os.WriteFile(path, source, 0o600)).To(Succeed())
	return path
}

// add writes the settings of one more node and starts it.
func (d *deployment) add(number int) *process {
	d.t.Helper()
	domains := d.world.Description.Domains
	domain := domains[number%len(domains)]
	p := &process{nodeFile: nodeFile{
		Name: id.Node(fmt.Sprintf("%s-%d", domain, number/len(domains)+1)), Domain: domain, Region: d.world.Description.Region,
		Peer: d.free(), Caller: d.free(), Admin: d.free(), Platform: d.world.PlatformAddr(domain),
	}}
	p.TLS = d.authority.issue(string(p.Name))
	raw, err := json.Marshal(p.nodeFile)
	NewWithT(d.t).Expect(err).NotTo(HaveOccurred())
	p.path = d.write(string(p.Name)+".json", raw)
	d.nodes = append(d.nodes, p)
	d.world.SetEntry(event.VM{Name: string(p.Name), Addr: p.Peer, FailureDomain: domain, Region: p.Region})
	d.run(p)
	return p
}

// free returns an unused port. Nodes have a loopback address of their own, because connections take their
// local ports on 127.0.0.1 and could take that of a node that is down. A port is given out once, because
// another test could get that of a node that is down.
func (d *deployment) free() netip.AddrPort {
	d.t.Helper()
	given.Lock()
	defer given.Unlock()
	for {
		listener, err := net.Listen("tcp", "127.0.1.1:0")
		NewWithT(d.t).Expect(err).NotTo(HaveOccurred())
		addr := listener.Addr().(*net.TCPAddr).AddrPort()
		_ = listener.Close()
		if !given.ports.Has(addr.Port()) {
			given.ports.Add(addr.Port())
			return addr
		}
	}
}

// given holds the ports that the tests of this process have got.
var given = struct {
	sync.Mutex
	ports id.Set[uint16]
}{ports: id.NewSet[uint16]()}

// run starts a process for a node that has none.
func (d *deployment) run(p *process) {
	d.t.Helper()
	p.log, p.done = &output{}, make(chan struct{})
	p.cmd = exec.Command(d.program, "serve", p.path)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	NewWithT(d.t).Expect(p.cmd.Start()).To(Succeed())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
}

// end kills the processes that still run, each by its own id, and shows their logs after a failure.
func (d *deployment) end() {
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

// exit waits for the end of a process and returns its exit code, -1 after a signal that ended it.
func (d *deployment) exit(p *process) int {
	d.t.Helper()
	select {
	case <-p.done:
	case <-time.After(patience):
		d.t.Fatalf("%s does not end:\n%s", p.Name, p.log.tail(15))
	}
	return p.cmd.ProcessState.ExitCode()
}

// eventually waits until the condition holds.
func (d *deployment) eventually(what string, holds func() error) {
	d.t.Helper()
	for until := time.Now().Add(patience); ; time.Sleep(pollEvery) {
		err := holds()
		if err == nil {
			return
		}
		if time.Now().After(until) {
			d.t.Fatalf("%s: %v", what, err)
		}
	}
}

// ready waits until a node says that it takes callers.
func (d *deployment) ready(p *process) {
	d.t.Helper()
	d.eventually(string(p.Name)+" is ready", func() error {
		return p.status("/readyz", http.StatusOK)
	})
}

// status asks a node's interface for callers and returns an error for another status.
func (p *process) status(path string, want int) error {
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

// outcome is what an operator's command wrote and how it ended.
type outcome struct {
	code   int
	out    string
	errors string
}

// command runs an operator's command against a node; the error is that of a command that did not exit with 0.
func (d *deployment) command(p *process, args ...string) (outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	cmd := exec.CommandContext(ctx, d.program, append([]string{"--node", "http://" + p.Admin.String()}, args...)...)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	o := outcome{code: cmd.ProcessState.ExitCode(), out: out.String(), errors: errs.String()}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return o, fmt.Errorf("%v: exit code %d: %s", args, o.code, o.errors)
	}
	return o, err
}
