package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/cmd/cli"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/settings"
	"bluebellflow/core/wire"
	"bluebellflow/io/admin"
	"bluebellflow/io/gateway"
	"bluebellflow/io/lines"
	"bluebellflow/io/mesh"
	"bluebellflow/io/problem"
	"bluebellflow/io/rawserver"
	"bluebellflow/io/runtime"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// eventuallyTimeout limits the wait for a condition that must become true. No assertion depends on a shorter time.
const eventuallyTimeout = 10 * time.Second

// fakeSystem reports a finding for settings that contain "bad". Its decision logic exits on event.Stop unless ignoresStop
// is set.
type fakeSystem struct {
	platform    netip.AddrPort
	ignoresStop bool
}

var finding = settings.Finding{File: "f", Line: 3, Column: 5, Message: "unknown key"}

func (fakeSystem) Check(_ string, source []byte) error {
	if strings.Contains(string(source), "bad") {
		return settings.Findings{finding}
	}
	return nil
}

func (fakeSystem) Explain(_ string, _ []byte, q admin.ExplainQuery) (any, error) {
	return map[string]string{"key": q.Key, "value": "8s"}, nil
}

func (f fakeSystem) Node(_ string, source []byte) (runtime.Config, error) {
	if strings.Contains(string(source), "bad") {
		return runtime.Config{}, settings.Findings{finding}
	}
	local := netip.MustParseAddrPort("127.0.0.1:0")
	return runtime.Config{
		Self: event.Self{Node: "n1", Addr: local}, Codec: wire.New(nil), Platform: f.platform, Callers: local,
		Build: func(event.Self) (runtime.Decider, mesh.Resolve) {
			return f, func(id.Node) (netip.AddrPort, bool) { return netip.AddrPort{}, false }
		},
	}, nil
}

func (f fakeSystem) Gateway(_ string, source []byte) (gateway.Config, int, error) {
	return gateway.Config{Self: event.Self{Node: "n1", Addr: f.platform}}, 0, fakeSystem{}.Check("", source)
}

func (f fakeSystem) Step(_ time.Time, ev event.Event) []event.Action {
	if _, stop := ev.(event.Stop); stop && !f.ignoresStop {
		return []event.Action{event.Exit{}}
	}
	return nil
}

func (fakeSystem) Next() time.Time { return time.Time{} }

func (f fakeSystem) Stepper(event.Self) (runtime.Decider, *lines.Registry, error) {
	return f, lines.New(nil, nil), nil
}

func (fakeSystem) PromptPart(name string) uint64 { return uint64(len(name)) }

func (fakeSystem) Demo(_ context.Context, out io.Writer) error {
	_, err := io.WriteString(out, "demo\n")
	return err
}

// syncBuffer is an output that may be read while the command writes to it.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// runCommand runs one command and returns its exit code, standard output and standard error.
func runCommand(system cli.System, input string, args ...string) (code int, out, errs string) {
	var stdout, stderr syncBuffer
	code = cli.Main(args, cli.Streams{In: strings.NewReader(input), Out: &stdout, Err: &stderr}, system)
	return code, stdout.String(), stderr.String()
}

func settingsFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestLocal guards against changes of the exit codes and outputs that operators' scripts rely on.
func TestLocal(t *testing.T) {
	good, bad := settingsFile(t, "{}"), settingsFile(t, "bad")
	stopEvent := `{"at":"2026-01-01T00:00:00Z","type":"event.Stop"}`
	cases := map[string]struct {
		system cli.System
		input  string
		args   []string
		code   int
		want   string
	}{
		"help":             {fakeSystem{}, "", []string{"--help"}, cli.ExitDone, "Exit codes"},
		"command help":     {fakeSystem{}, "", []string{"drain", "--help"}, cli.ExitDone, "loses a race"},
		"no command":       {fakeSystem{}, "", nil, cli.ExitUsage, "see bluebellflow --help"},
		"unknown flag":     {fakeSystem{}, "", []string{"status", "--nothing"}, cli.ExitUsage, "--nothing"},
		"check":            {fakeSystem{}, "", []string{"check", good}, cli.ExitDone, "no findings"},
		"check findings":   {fakeSystem{}, "", []string{"check", bad}, cli.ExitInvalid, "f:3:5: unknown key"},
		"check JSON":       {fakeSystem{}, "", []string{"check", "--json", bad}, cli.ExitInvalid, `[{"file":"f","line":3,"column":5,"message":"unknown key"}]`},
		"check no file":    {fakeSystem{}, "", []string{"check", good + "x"}, cli.ExitInvalid, "no such file"},
		"explain":          {fakeSystem{}, "", []string{"explain", good, "--key", "deadline"}, cli.ExitDone, "value  8s"},
		"serve findings":   {fakeSystem{}, "", []string{"serve", bad}, cli.ExitInvalid, "unknown key"},
		"gateway findings": {fakeSystem{}, "", []string{"gateway", bad}, cli.ExitInvalid, "unknown key"},
		"step":             {fakeSystem{}, stopEvent, []string{"step"}, cli.ExitDone, `"type":"event.Exit"`},
		"step bad input":   {fakeSystem{}, "x", []string{"step"}, cli.ExitInvalid, "line 1"},
		"demo":             {fakeSystem{}, "", []string{"demo"}, cli.ExitDone, "demo"},
		"move without end": {fakeSystem{}, "", []string{"move", "m", "--pool=p", "--from=a", "--to=b"}, cli.ExitUsage, "finish-by"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			code, out, errs := runCommand(c.system, c.input, c.args...)
			g := NewWithT(t)
			g.Expect(out + errs).To(ContainSubstring(c.want))
			g.Expect(code).To(Equal(c.code))
		})
	}
}

// TestRemote guards against commands that send the node another request than the operator asked for.
func TestRemote(t *testing.T) {
	path := settingsFile(t, "{}")
	cases := map[string]struct {
		args                []string
		method, path, body  string
		header, headerValue string
	}{
		"apply":   {[]string{"apply", path, "--expect", "7"}, "PUT", "/admin/v1/config", "{}", "If-Match", `"7"`},
		"status":  {[]string{"status", "--seen", "7"}, "GET", "/admin/v1/status", "", "Bluebellflow-Revision", "7"},
		"explain": {[]string{"explain", "--workspace=w", "--key=k"}, "GET", "/admin/v1/explain?key=k&workspace=w", "", "", ""},
		"drain":   {[]string{"drain", "linz", "--by", "eva"}, "POST", "/admin/v1/domains/linz/drain", `{"by":"eva"}`, "", ""},
		"restore": {[]string{"restore", "linz", "--by", "eva"}, "POST", "/admin/v1/domains/linz/restore", `{"by":"eva"}`, "", ""},
		"explain-route": {
			[]string{"explain-route", "--host=h", "--path=/chat/", "--in=900", "--out=80", "--part=a1:800", "--part=b:100"},
			"POST", "/admin/v1/explain-route",
			`{"host":"h","path":"/chat/","in":900,"out":80,"prompt":[{"ID":2,"Tokens":800},{"ID":1,"Tokens":100}]}`, "", "",
		},
		"move": {
			[]string{"move", "m", "--pool=p", "--from=a", "--to=b", "--finish-by=2026-06-01T18:00:00Z"},
			"POST", "/admin/v1/moves",
			`{"name":"m","pool":"p","from":"a","to":"b","by":"2026-06-01T18:00:00Z"}`, "", "",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var got *http.Request
			var body []byte
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				got = r
				body, _ = io.ReadAll(r.Body)
				_, _ = io.WriteString(w, `{"revision":8,"nodes":[{"name":"n1","up":true},{"name":"n2","note":"a\nb"}]}`)
			}))
			defer node.Close()
			code, out, errs := runCommand(fakeSystem{}, "", append(c.args, "--node", node.URL)...)
			g.Expect(code).To(Equal(cli.ExitDone), errs)
			g.Expect(got.Method + " " + got.URL.String()).To(Equal(c.method + " " + c.path))
			g.Expect(string(body)).To(Equal(c.body))
			if c.header != "" {
				g.Expect(got.Header.Get(c.header)).To(Equal(c.headerValue))
			}
			g.Expect(out).To(Equal("revision  8\n\nnodes\nNAME  NOTE  UP\nn1          true\nn2    a b   \n"))
			_, out, _ = runCommand(fakeSystem{}, "", append(c.args, "--json", "--node", node.URL)...)
			g.Expect(json.Valid([]byte(out))).To(BeTrue())
		})
	}
}

// TestRemoteFailures guards against exit codes that let an operator take a command for refused although it may have taken
// effect.
func TestRemoteFailures(t *testing.T) {
	problemHandler := func(kind event.ProblemKind, status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			problem.New(event.Problem{Kind: kind, Detail: "why", RetryAfter: time.Second}, status, "").Write(w)
		}
	}
	cases := map[string]struct {
		handler http.HandlerFunc
		code    int
		want    string
	}{
		"conflict":     {problemHandler(event.ProblemRefused, 409), cli.ExitRefused, "why (try again after 1 s)"},
		"invalid":      {problemHandler(event.ProblemInvalid, 422), cli.ExitInvalid, "why"},
		"unknown":      {problemHandler(event.ProblemUnknown, 504), cli.ExitUnknown, "why"},
		"failed":       {problemHandler(event.ProblemFailed, 502), cli.ExitFailed, "why"},
		"unsupported":  {problemHandler(event.ProblemInvalid, 501), cli.ExitInvalid, "why"},
		"no problem":   {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, cli.ExitFailed, "without a problem document"},
		"not JSON":     {func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }, cli.ExitFailed, "not JSON"},
		"closed early": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, cli.ExitUnknown, "EOF"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			node := httptest.NewServer(c.handler)
			defer node.Close()
			code, _, errs := runCommand(fakeSystem{}, "", "drain", "linz", "--by", "eva", "--node", node.URL)
			g := NewWithT(t)
			g.Expect(errs).To(ContainSubstring(c.want))
			g.Expect(code).To(Equal(c.code))
		})
	}
	for name, begin := range rawserver.Malformed {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			node, err := rawserver.Start(rawserver.Answer(begin + "Content-Length: 2\r\n\r\n{}"))
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = node.Close() }()
			code, _, _ := runCommand(fakeSystem{}, "", "drain", "linz", "--by", "eva", "--node", "http://"+node.Addr().String())
			g.Expect(code).To(Equal(cli.ExitUnknown))
		})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listener.Close()).To(Succeed())
	code, _, _ := runCommand(fakeSystem{}, "", "drain", "linz", "--by", "eva", "--node", "http://"+listener.Addr().String())
	g.Expect(code).To(Equal(cli.ExitUnreachable))
}

// TestServe guards against a graceful stop that ends with an error, and against a second signal that does not end the
// node at once.
func TestServe(t *testing.T) {
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"vms":[]}`) }))
	defer platform.Close()
	addr := netip.MustParseAddrPort(platform.Listener.Addr().String())
	for name, c := range map[string]struct {
		ignoresStop bool
		signals     int
		code        int
	}{
		"graceful": {false, 1, cli.ExitDone},
		"at once":  {true, 2, cli.ExitFailed},
	} {
		t.Run(name, func(t *testing.T) {
			signals := make(chan os.Signal, 2)
			var out, errs syncBuffer
			streams := cli.Streams{Out: &out, Err: &errs, Signals: func() <-chan os.Signal { return signals }}
			path, result := settingsFile(t, "{}"), make(chan int, 1)
			go func() { result <- cli.Main([]string{"serve", path}, streams, fakeSystem{addr, c.ignoresStop}) }()
			g := NewWithT(t)
			g.Eventually(errs.String, eventuallyTimeout).Should(ContainSubstring("msg=serve node=n1"))
			for range c.signals {
				signals <- syscall.SIGTERM
			}
			g.Eventually(result, eventuallyTimeout).Should(Receive(Equal(c.code)))
		})
	}
}

// TestEarlySignal guards against a signal that ends a process without notice, because it comes when the process listens
// already, and before it has subscribed.
func TestEarlySignal(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = taken.Close() }()
	for name, system := range map[string]fakeSystem{
		"serve":   {},
		"gateway": {platform: netip.MustParseAddrPort(taken.Addr().String())}, // the node cannot listen
	} {
		t.Run(name, func(t *testing.T) {
			signals := make(chan os.Signal, 1)
			signals <- syscall.SIGTERM
			subscribed := false
			var out, errs syncBuffer
			streams := cli.Streams{Out: &out, Err: &errs, Signals: func() <-chan os.Signal {
				subscribed = true
				NewWithT(t).Expect(errs.String()+out.String()).NotTo(ContainSubstring("node=n1"), "the node has been created")
				return signals
			}}
			cli.Main([]string{name, settingsFile(t, "{}")}, streams, system)
			NewWithT(t).Expect(subscribed).To(BeTrue())
		})
	}
}
