package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/io/httpclient"
	"bluebellflow/lab/backendapi"
	"bluebellflow/lab/experiment"
	"bluebellflow/lab/netpartition"
	"bluebellflow/lab/testbed"
)

const (
	vmListInterval        = 500 * time.Millisecond // interval between reads of the VM list
	vmListTimeout         = 2 * time.Second
	readHeaderTimeout     = 10 * time.Second
	maxIdleConnsPerServer = 256
	maxRequestBytes       = 1 << 20 // body of a request
	maxOutputBytes        = 8 << 20 // output of a stage
	retryAfter            = "1"     // seconds
	problemBase           = "https://bluebellflow.example/problems/"
	defaultTimeout        = 8 * time.Second // for a request without the header Request-Timeout
)

// Fleet is a set of relays. It implements experiment.Fleet.
type Fleet struct {
	mu    sync.Mutex
	nodes []*node
}

var _ experiment.Fleet = (*Fleet)(nil)

// New returns a fleet without nodes.
func New() *Fleet { return &Fleet{} }

// Start starts as many relays as the deployment has entry VMs.
func (f *Fleet) Start(_ context.Context, s experiment.Setup) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := s.Environment.Description
	for i := range d.Nodes {
		n, err := startNode(id.Node(fmt.Sprintf("relay-%d", i+1)), d.Domains[i%len(d.Domains)], s.Environment)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	return nil
}

// Entries returns the addresses of the running relays by failure domain.
func (f *Fleet) Entries() map[id.FailureDomain][]netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := map[id.FailureDomain][]netip.AddrPort{}
	for _, n := range f.nodes {
		if !n.stopped.Load() {
			list[n.domain] = append(list[n.domain], n.addr)
		}
	}
	return list
}

// Nodes returns the names of all relays.
func (f *Fleet) Nodes() []id.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []id.Node
	for _, n := range f.nodes {
		list = append(list, n.name)
	}
	return list
}

func (f *Fleet) node(name id.Node) (*node, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == name })
	if i < 0 {
		return nil, fmt.Errorf("unknown node %q", name)
	}
	return f.nodes[i], nil
}

// Kill stops a relay immediately and closes its connections.
func (f *Fleet) Kill(name id.Node) error {
	n, err := f.node(name)
	if err != nil {
		return err
	}
	return n.kill()
}

// Stop lets a relay finish its requests and then stops it.
func (f *Fleet) Stop(ctx context.Context, name id.Node) error {
	n, err := f.node(name)
	if err != nil {
		return err
	}
	n.stopped.Store(true)
	return errors.Join(n.httpServer.Shutdown(ctx), n.kill())
}

// SetCut does nothing, because relays do not talk to each other.
func (f *Fleet) SetCut(id.FailureDomain, bool) error { return nil }

// Admin returns status 501, because relays have no administration API.
func (f *Fleet) Admin(context.Context, string, string, []byte) (int, []byte, error) {
	return http.StatusNotImplemented, nil, nil
}

// Close kills all relays.
func (f *Fleet) Close(context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var errs []error
	for _, n := range f.nodes {
		errs = append(errs, n.kill())
	}
	return errors.Join(errs...)
}

// node is one relay.
type node struct {
	name       id.Node
	domain     id.FailureDomain
	env        *testbed.Environment
	addr       netip.AddrPort
	httpServer *http.Server
	client     *http.Client
	stopped    atomic.Bool
	attempts   atomic.Uint64
	stop       context.CancelFunc
	done       sync.WaitGroup

	mu       sync.Mutex
	vms      []event.VM
	rotation map[id.Pool]int
}

func startNode(name id.Node, d id.FailureDomain, env *testbed.Environment) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	addr, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{
		name: name, domain: d, env: env, addr: addr, stop: cancel, rotation: map[id.Pool]int{},
		client: httpclient.New(&http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerServer}),
	}
	r := mux.NewRouter()
	r.HandleFunc("/readyz", n.handleReady).Methods(http.MethodGet)
	r.HandleFunc("/v1/pipelines/{pipeline}", n.handlePipeline).Methods(http.MethodPost)
	n.httpServer = &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	n.done.Go(func() { _ = n.httpServer.Serve(listener) })
	n.done.Go(func() { n.pollVMs(ctx) })
	return n, nil
}

func (n *node) kill() error {
	n.stopped.Store(true)
	n.stop()
	err := n.httpServer.Close()
	n.done.Wait()
	n.client.CloseIdleConnections()
	return err
}

// pollVMs reads the VM list from the platform at a fixed interval.
func (n *node) pollVMs(ctx context.Context) {
	ticker := time.NewTicker(vmListInterval)
	defer ticker.Stop()
	for {
		n.readVMs(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readVMs replaces the VM list; if the read fails, the earlier list stays in use.
func (n *node) readVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/vms", n.env.PlatformAddr(n.domain))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var list struct {
		VMs []event.VM `json:"vms"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&list) != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms = list.VMs
}

// handleReady responds with 503 until the VM list has been read.
func (n *node) handleReady(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.vms) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// nextServer returns the next server of a pool in rotation and skips those that are leaving.
func (n *node) nextServer(pool id.Pool) (event.VM, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []event.VM
	for _, vm := range n.vms {
		if vm.Pool == pool && !vm.Leaving {
			list = append(list, vm)
		}
	}
	if len(list) == 0 {
		return event.VM{}, false
	}
	n.rotation[pool]++
	return list[n.rotation[pool]%len(list)], true
}

// failure is the reason that a stage has no output.
type failure struct {
	kind   event.ProblemKind
	detail string
}

// handlePipeline runs the stages of a pipeline in order.
func (n *node) handlePipeline(w http.ResponseWriter, r *http.Request) {
	p, ok := n.env.Description.Pipeline(id.Pipeline(mux.Vars(r)["pipeline"]))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if !ok || err != nil {
		writeProblem(w, failure{kind: event.ProblemInvalid, detail: "unknown pipeline or bad body"})
		return
	}
	timeout := defaultTimeout
	if seconds, err := strconv.ParseFloat(r.Header.Get("Request-Timeout"), 64); err == nil && seconds > 0 {
		timeout = time.Duration(seconds * float64(time.Second))
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	var prior []byte
	for _, s := range p.Stages {
		out, f := n.runStage(ctx, s, backendapi.RunRequest{Stage: s.Name, Input: body, Prior: prior, Key: r.Header.Get("Idempotency-Key")})
		if f != nil {
			writeProblem(w, *f)
			return
		}
		prior = out
	}
	writeOutput(w, r, prior)
}

// writeOutput writes the final output as JSON or, if the caller accepts it, as an event stream with one part.
func writeOutput(w http.ResponseWriter, r *http.Request, output []byte) {
	if !strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		backendapi.WriteJSON(w, http.StatusOK, struct {
			Output string `json:"output"`
			End    bool   `json:"end"`
		}{string(output), true})
		return
	}
	raw, err := json.Marshal(backendapi.Part{Text: string(output)})
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(w, "event: part\ndata: %s\n\nevent: end\ndata: {}\n\n", raw)
}

// writeProblem writes a failure as a problem document.
func writeProblem(w http.ResponseWriter, f failure) {
	raw, err := json.Marshal(map[string]string{"type": problemBase + string(f.kind), "detail": f.detail})
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/problem+json")
	if f.kind == event.ProblemRefused || f.kind == event.ProblemUnknown {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write(raw)
}

// runStage runs a stage; if an idempotent stage fails, it retries it once on the next server.
func (n *node) runStage(ctx context.Context, s testbed.Stage, run backendapi.RunRequest) ([]byte, *failure) {
	attempts := 1
	if s.Idempotent {
		attempts = 2
	}
	var f *failure
	for range attempts {
		var out []byte
		if out, f = n.runAttempt(ctx, s, run); f == nil {
			return out, nil
		}
	}
	if ctx.Err() != nil && s.Idempotent {
		f.kind = event.ProblemDeadline
	}
	return nil, f
}

// runAttempt sends a stage to one server.
func (n *node) runAttempt(ctx context.Context, s testbed.Stage, run backendapi.RunRequest) ([]byte, *failure) {
	vm, ok := n.nextServer(s.Pool)
	if !ok {
		return nil, &failure{kind: event.ProblemRefused, detail: "no server"}
	}
	run.Attempt = fmt.Sprintf("%s.%d", n.name, n.attempts.Add(1))
	raw, err := json.Marshal(run)
	if err != nil {
		return nil, &failure{kind: event.ProblemFailed, detail: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/run", vm.Addr), bytes.NewReader(raw))
	if err != nil {
		return nil, &failure{kind: event.ProblemFailed, detail: err.Error()}
	}
	req.Header.Set(netpartition.DomainHeader, string(n.domain))
	resp, err := n.client.Do(req)
	if err != nil {
		return nil, unansweredFailure(s, err)
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxOutputBytes))
	switch {
	case err != nil:
		return nil, unansweredFailure(s, err)
	case resp.StatusCode == http.StatusOK:
		return out, nil
	case resp.StatusCode == http.StatusInternalServerError:
		return nil, &failure{kind: event.ProblemFailed, detail: string(out)}
	}
	return nil, &failure{kind: event.ProblemRefused, detail: string(out)}
}

// unansweredFailure returns the failure of an attempt without a complete response: a stage that is not idempotent may
// have taken effect, so its outcome is unknown.
func unansweredFailure(s testbed.Stage, err error) *failure {
	if s.Idempotent {
		return &failure{kind: event.ProblemFailed, detail: err.Error()}
	}
	return &failure{kind: event.ProblemUnknown, detail: err.Error()}
}
