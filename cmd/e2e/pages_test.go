package e2e_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/cmd/cli"
)

// root is the repository, whose pages are tested.
const root = "../.."

// notRun lists the commands of the pages that are not run, with the reason.
var notRun = map[string]string{
	"go run ./cmd/bluebellflow demo": "the demo runs two deployments for half a minute",
	"go test bluebellflow/...":       "it would run this test again",
	"bluebellflow serve node.json":   "README.md shows the same command, which is run",
}

// refused lists the commands of the pages that end with an exit code other than 0, with the reason.
var refused = map[string]int{
	// The line before it on the page has begun a rollout of this name.
	"bluebellflow move llm-v2 --pool llm --from v1 --to v2 --finish-by 2026-06-01T18:00:00Z": cli.ExitInvalid,
}

// commandsOf returns the commands of a page: the indented lines that begin with the name of a program.
func commandsOf(g *WithT, page string) []string {
	raw, err := os.ReadFile(filepath.Join(root, page))
	g.Expect(err).NotTo(HaveOccurred())
	text := strings.ReplaceAll(string(raw), "\\\n", "")
	var out []string
	for _, m := range regexp.MustCompile(`(?m)^    ((?:curl|bluebellflow|go|lab) .*)$`).FindAllStringSubmatch(text, -1) {
		out = append(out, strings.Join(strings.Fields(m[1]), " "))
	}
	return out
}

// site is a directory with the example files, in which the commands of the pages run.
type site struct {
	d     *deployment
	ports map[string]string // port on the pages to the port in use
}

var loopback = regexp.MustCompile(`127\.0\.0\.1:\d+`)

// local gives every address of the pages an unused port.
func (s *site) local(text string) string {
	return loopback.ReplaceAllStringFunc(text, func(addr string) string {
		if s.ports[addr] == "" {
			s.ports[addr] = s.d.free().String()
		}
		return s.ports[addr]
	})
}

// fill replaces programs and placeholders of a command.
func (s *site) fill(command, revision string) string {
	for from, to := range map[string]string{
		"go run ./cmd/bluebellflow": "bluebellflow", "go run ./cmd/lab": "lab",
		"2026-06-01T18:00:00Z": time.Now().Add(time.Hour).UTC().Format(time.RFC3339),
		`"41"`:                 `"` + revision + `"`, "--expect 41": "--expect " + revision,
	} {
		command = strings.ReplaceAll(command, from, to)
	}
	return s.local(command)
}

// shell prepares a command line with the built programs and the addresses of the pages.
func (s *site) shell(ctx context.Context, line, node string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, "sh", "-c", "exec "+line)
	cmd.Dir = s.d.dir
	cmd.Env = append(os.Environ(), "PATH="+s.d.dir+":"+os.Getenv("PATH"), "USER=eva",
		"BLUEBELLFLOW_NODE="+s.local("http://127.0.0.1:8081"), "NODE="+node)
	return cmd
}

// TestPages guards against commands on the pages that do not work.
func TestPages(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	d := &deployment{t: t, dir: t.TempDir()}
	s := &site{d: d, ports: map[string]string{}}
	built, err := exec.CommandContext(t.Context(), "go", "build", "-o", d.dir,
		"bluebellflow/cmd/bluebellflow", "bluebellflow/cmd/lab").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(built))
	g.Expect(os.MkdirAll(filepath.Join(d.dir, "docs/example"), 0o700)).To(Succeed())
	for _, name := range []string{"settings.json", "node.json", "vms.json"} {
		raw, err := os.ReadFile(filepath.Join(root, "docs/example", name))
		g.Expect(err).NotTo(HaveOccurred())
		d.write("docs/example/"+name, []byte(s.local(string(raw))))
		d.write(name, []byte(s.local(string(raw))))
	}
	t.Cleanup(d.end)
	total := 0
	for _, page := range []struct{ name, node string }{
		{"README.md", ""}, {"docs/callers.md", "http://127.0.0.1:8080"}, {"docs/operators.md", "http://127.0.0.1:8081"},
	} {
		commands := commandsOf(g, page.name)
		g.Expect(commands).NotTo(BeEmpty(), page.name)
		for _, command := range commands {
			if _, ok := notRun[command]; ok {
				continue
			}
			total++
			s.run(command, s.local(page.node))
		}
	}
	t.Logf("%d commands", total)
}

// run runs one command until it has the expected end; a server that was started just before may not listen yet,
// and a node that has just started refuses requests for some seconds.
func (s *site) run(command, node string) {
	s.d.t.Helper()
	if line, ok := strings.CutSuffix(command, " &"); ok {
		s.background(s.fill(line, ""))
		return
	}
	s.d.eventually(command, func() error {
		revision := "1"
		if strings.Contains(command, "41") {
			raw, _ := s.shell(s.d.t.Context(), "bluebellflow --json status", node).Output()
			if m := regexp.MustCompile(`"revision":(\d+)`).FindSubmatch(raw); m != nil {
				revision = string(m[1])
			}
		}
		ctx, cancel := context.WithTimeout(s.d.t.Context(), patience)
		defer cancel()
		cmd := s.shell(ctx, s.fill(command, revision), node)
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != refused[command] {
			return fmt.Errorf("exit code %d: %s", code, out)
		}
		if strings.Contains(string(out), "urn:bluebellflow:problems/") {
			return fmt.Errorf("problem: %s", out)
		}
		return nil
	})
}

// background starts a command that runs until the test ends.
func (s *site) background(line string) {
	s.d.t.Helper()
	p := &process{log: &output{}, done: make(chan struct{})}
	p.Name = "south-a-1"
	p.cmd = s.shell(context.Background(), line, "")
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	NewWithT(s.d.t).Expect(p.cmd.Start()).To(Succeed())
	s.d.nodes = append(s.d.nodes, p)
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
}
