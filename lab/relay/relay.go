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
	"bluebellflow/lab/backendapi"
	"bluebellflow/lab/experiment"
	"bluebellflow/lab/netpartition"
	"bluebellflow/lab/testbed"
)

const (
	listEvery     = 500 * time.Millisecond // between reads of the VM list
	listTimeout   = 2 * time.Second
	headerTimeout = 10 * time.Second
	idleConns     = 256     // kept connections to one server
	maxBody       = 1 << 20 // bytes of a request
	maxOutput     = 8 << 20 // bytes of a stage's output
	retryAfter    = "1"     // seconds
	problemBase   = "https://bluebellflow.example/problems/"
	defaultTime   = 8 * time.Second // of a request that names no timeout
)

// Fleet is a set of relays; it implements experiment.Fleet.
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

// Entries returns the addresses of the relays that run.
func (f *Fleet) Entries() map[id.FailureDomain][]netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := map[id.FailureDomain][]netip.AddrPort{}
	for _, n := range f.nodes {
		if !n.ended.Load() {
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

// Kill ends a relay and breaks its connections.
func (f *Fleet) Kill(name id.Node) error {
	n, err := f.node(name)
	if err != nil {
		return err
	}
	return n.kill()
}

// Stop lets a relay finish its requests.
func (f *Fleet) Stop(ctx context.Context, name id.Node) error {
	n, err := f.node(name)
	if err != nil {
		return err
	}
	n.ended.Store(true)
	return errors.Join(n.web.Shutdown(ctx), n.kill())
}

// SetCut does nothing, because relays do not talk to each other.
func (f *Fleet) SetCut(id.FailureDomain, bool) error { return nil }

// Admin answers that relays have no administration API.
func (f *Fleet) Admin(context.Context, string, string, []byte) (int, []byte, error) {
	return http.StatusNotImplemented, nil, nil
}

// Close ends all relays.
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
	name   id.Node
	domain id.FailureDomain
	world  *testbed.Environment
	addr   netip.AddrPort
	web    *http.Server
	client *http.Client
	ended  atomic.Bool
	number atomic.Uint64
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu   sync.Mutex
	vms  []event.VM
	turn map[id.Pool]int
}

func startNode(name id.Node, d id.FailureDomain, w *testbed.Environment) (*node, error) {
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
		name: name, domain: d, world: w, addr: addr, stop: cancel, turn: map[id.Pool]int{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}},
	}
	r := mux.NewRouter()
	r.HandleFunc("/readyz", n.ready).Methods(http.MethodGet)
	r.HandleFunc("/v1/pipelines/{pipeline}", n.serve).Methods(http.MethodPost)
	n.web = &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	n.done.Go(func() { _ = n.web.Serve(listener) })
	n.done.Go(func() { n.watch(ctx) })
	return n, nil
}

func (n *node) kill() error {
	n.ended.Store(true)
	n.stop()
	err := n.web.Close()
	n.done.Wait()
	n.client.CloseIdleConnections()
	return err
}

// watch keeps the VM list.
func (n *node) watch(ctx context.Context) {
	ticker := time.NewTicker(listEvery)
	defer ticker.Stop()
	for {
		n.read(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *node) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/vms", n.world.PlatformAddr(n.domain))
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

func (n *node) ready(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.vms) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// pick returns the next server of a pool.
func (n *node) pick(pool id.Pool) (event.VM, bool) {
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
	n.turn[pool]++
	return list[n.turn[pool]%len(list)], true
}

// failure is why a stage has no output.
type failure struct {
	kind   event.ProblemKind
	detail string
}

func (n *node) serve(w http.ResponseWriter, r *http.Request) {
	p, ok := n.world.Description.Pipeline(id.Pipeline(mux.Vars(r)["pipeline"]))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if !ok || err != nil {
		fail(w, failure{kind: event.ProblemInvalid, detail: "unknown pipeline or bad body"})
		return
	}
	timeout := defaultTime
	if seconds, err := strconv.ParseFloat(r.Header.Get("Request-Timeout"), 64); err == nil && seconds > 0 {
		timeout = time.Duration(seconds * float64(time.Second))
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	var prior []byte
	for _, s := range p.Stages {
		out, f := n.stage(ctx, s, backendapi.RunRequest{Stage: s.Name, Input: body, Prior: prior, Key: r.Header.Get("Idempotency-Key")})
		if f != nil {
			fail(w, *f)
			return
		}
		prior = out
	}
	reply(w, r, prior)
}

func reply(w http.ResponseWriter, r *http.Request, output []byte) {
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

func fail(w http.ResponseWriter, f failure) {
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

// stage runs a stage, an idempotent one a second time on another server if the first one fails.
func (n *node) stage(ctx context.Context, s testbed.Stage, run backendapi.RunRequest) ([]byte, *failure) {
	tries := 1
	if s.Idempotent {
		tries = 2
	}
	var f *failure
	for range tries {
		var out []byte
		if out, f = n.attempt(ctx, s, run); f == nil {
			return out, nil
		}
	}
	if ctx.Err() != nil && s.Idempotent {
		f.kind = event.ProblemDeadline
	}
	return nil, f
}

func (n *node) attempt(ctx context.Context, s testbed.Stage, run backendapi.RunRequest) ([]byte, *failure) {
	vm, ok := n.pick(s.Pool)
	if !ok {
		return nil, &failure{kind: event.ProblemRefused, detail: "no server"}
	}
	run.Attempt = fmt.Sprintf("%s.%d", n.name, n.number.Add(1))
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
		return nil, broken(s, err)
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxOutput))
	switch {
	case err != nil:
		return nil, broken(s, err)
	case resp.StatusCode == http.StatusOK:
		return out, nil
	case resp.StatusCode == http.StatusInternalServerError:
		return nil, &failure{kind: event.ProblemFailed, detail: string(out)}
	}
	return nil, &failure{kind: event.ProblemRefused, detail: string(out)}
}

// broken classifies an attempt without an answer.
func broken(s testbed.Stage, err error) *failure {
	if s.Idempotent {
		return &failure{kind: event.ProblemFailed, detail: err.Error()}
	}
	return &failure{kind: event.ProblemUnknown, detail: err.Error()}
}
