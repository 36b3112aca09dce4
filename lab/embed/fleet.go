package embed

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"bluebellflow/core/admit"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/node"
	"bluebellflow/core/route"
	"bluebellflow/core/settings"
	"bluebellflow/io/admin"
	"bluebellflow/io/httpclient"
	"bluebellflow/io/mesh"
	"bluebellflow/io/runtime"
	"bluebellflow/io/serve"
	"bluebellflow/lab/experiment"
)

const (
	// defaultSettleTime is how long a fleet needs when all nodes start at once: a permit holder first waits until the
	// permits of a possible predecessor have expired, and then the servers are warmed up.
	defaultSettleTime = 10 * time.Second
	// applyInterval and applyTimeout control the attempts to apply the initial settings.
	applyInterval = 200 * time.Millisecond
	applyTimeout  = 10 * time.Second
	// maxResponseBytes is the largest response of the administration API that is read.
	maxResponseBytes = 64 << 20
)

// Fleet is a set of complete nodes in this process. It implements experiment.Fleet.
type Fleet struct {
	logger     *log.Logger
	settleTime time.Duration

	mu    sync.Mutex
	nodes []*member
	setup experiment.Setup
	cut   id.Set[id.FailureDomain]
}

var _ experiment.Fleet = (*Fleet)(nil)

// Option configures a Fleet.
type Option func(*Fleet)

// WithLogger sets the logger of all nodes.
func WithLogger(l *log.Logger) Option { return func(f *Fleet) { f.logger = l } }

// WithoutSettling makes Start return once the settings are applied, without waiting for the servers to warm up.
func WithoutSettling() Option { return func(f *Fleet) { f.settleTime = 0 } }

// New returns a fleet without nodes.
func New(opts ...Option) *Fleet {
	f := &Fleet{cut: id.NewSet[id.FailureDomain](), settleTime: defaultSettleTime}
	for _, o := range opts {
		o(f)
	}
	return f
}

// member is one node and the state of its run.
type member struct {
	name    id.Node
	domain  id.FailureDomain
	node    *runtime.Node
	done    chan struct{}
	err     error
	stopped bool
}

// Start starts the deployment's nodes, applies its settings and waits for the settle time.
func (f *Fleet) Start(ctx context.Context, s experiment.Setup) error {
	f.setup = s
	source, err := Settings(s.Environment.Description)
	if err != nil {
		return err
	}
	d := s.Environment.Description
	started := time.Now()
	for i := range d.Nodes {
		domain := d.Domains[i%len(d.Domains)]
		if err := f.startNode(id.Node(fmt.Sprintf("%s-%d", domain, i/len(d.Domains)+1)), domain, uint64(i)); err != nil {
			return err
		}
	}
	if err := f.applySettings(ctx, source); err != nil {
		return err
	}
	return sleep(ctx, time.Until(started.Add(f.settleTime)))
}

// sleep waits for d and returns early, with an error, when the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(max(d, 0)):
		return nil
	}
}

// startNode starts one node, and adds it to the fleet and to the VM list.
func (f *Fleet) startNode(name id.Node, domain id.FailureDomain, index uint64) error {
	loopback := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	s := settings.NewNode()
	s.Name, s.FailureDomain, s.Region = name, domain, f.setup.Environment.Description.Region
	s.Peer, s.Caller, s.Admin, s.Platform = loopback, loopback, loopback, f.setup.Environment.PlatformAddr(domain)
	cfg := serve.Config(*s, policyOptions(f.setup.Policy)...)
	cfg.Self.Rand = rand.New(rand.NewPCG(f.setup.Seed, index))
	cfg.Self.Incarnation = id.NewIncarnation(cfg.Self.Rand)
	cfg.Logger = f.logger
	build := cfg.Build
	cfg.Build = func(self event.Self) (runtime.Decider, mesh.Resolve) {
		decider, resolve := build(self)
		return &partitionedDecider{Decider: decider, fleet: f, domain: domain}, resolve
	}
	running, err := runtime.New(cfg)
	if err != nil {
		return fmt.Errorf("node %s: %w", name, err)
	}
	m := &member{name: name, domain: domain, node: running, done: make(chan struct{})}
	go func() {
		defer close(m.done)
		m.err = running.Run()
	}()
	f.mu.Lock()
	f.nodes = append(f.nodes, m)
	f.mu.Unlock()
	f.setup.Environment.SetEntry(event.VM{
		Name: string(name), Addr: running.PeerAddr(), FailureDomain: domain, Region: f.setup.Environment.Description.Region,
	})
	return nil
}

// policyOptions returns the options that turn on the baseline named by a policy; "default" names none and is the complete system.
func policyOptions(policy string) []node.Option {
	return []node.Option{
		node.WithRoute(route.WithBaselines(policy)),
		node.WithAdmit(admit.WithBaselines(policy)),
	}
}

// applySettings writes the initial settings through the administration API, and retries until they are accepted.
func (f *Fleet) applySettings(ctx context.Context, source []byte) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for {
		status, answer, err := f.Admin(ctx, http.MethodPut, "config", source)
		if err == nil && status/100 == 2 {
			return nil
		}
		if sleep(ctx, applyInterval) != nil {
			return fmt.Errorf("applying the initial settings: status %d, %s: %w", status, answer, errors.Join(err, ctx.Err()))
		}
	}
}

// Entries returns the callers' addresses of the running nodes by failure domain.
func (f *Fleet) Entries() map[id.FailureDomain][]netip.AddrPort {
	out := map[id.FailureDomain][]netip.AddrPort{}
	for _, m := range f.running() {
		out[m.domain] = append(out[m.domain], m.node.CallerAddr())
	}
	return out
}

// running returns the nodes that were neither killed nor stopped.
func (f *Fleet) running() []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.nodes), func(m *member) bool { return m.stopped })
}

// Nodes returns the names of all nodes.
func (f *Fleet) Nodes() []id.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []id.Node
	for _, m := range f.nodes {
		out = append(out, m.name)
	}
	return out
}

// markStopped marks a running node as stopped and returns it, so that only one caller ends it.
func (f *Fleet) markStopped(name id.Node) (*member, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.nodes {
		if m.name == name && !m.stopped {
			m.stopped = true
			return m, nil
		}
	}
	return nil, fmt.Errorf("no running node %q", name)
}

// Kill ends a node immediately.
func (f *Fleet) Kill(name id.Node) error {
	m, err := f.markStopped(name)
	if err != nil {
		return err
	}
	m.node.Kill()
	<-m.done
	return nil
}

// Stop stops a node gracefully and then removes it from the VM list.
func (f *Fleet) Stop(ctx context.Context, name id.Node) error {
	m, err := f.markStopped(name)
	if err != nil {
		return err
	}
	m.node.Stop()
	select {
	case <-m.done:
		f.setup.Environment.RemoveEntry(string(name))
		return m.err
	case <-ctx.Done():
		m.node.Kill()
		<-m.done
		return fmt.Errorf("node %s did not stop: %w", name, ctx.Err())
	}
}

// SetCut disconnects the nodes of a failure domain from all others, or reconnects them.
func (f *Fleet) SetCut(d id.FailureDomain, cut bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cut {
		f.cut.Add(d)
	} else {
		f.cut.Delete(d)
	}
	return nil
}

// blocked reports whether a node of the domain cannot reach a peer.
func (f *Fleet) blocked(from id.FailureDomain, peer id.Node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.cut) == 0 {
		return false
	}
	for _, m := range f.nodes {
		if m.name == peer {
			return m.domain != from && (f.cut.Has(from) || f.cut.Has(m.domain))
		}
	}
	return false
}

// Admin calls the administration API of the first running node.
func (f *Fleet) Admin(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	running := f.running()
	if len(running) == 0 {
		return 0, nil, errors.New("no node is running")
	}
	url := fmt.Sprintf("http://%s%s/%s", running[0].node.AdminAddr(), admin.Prefix, path)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := httpclient.Default.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, answer, err
}

// Metrics returns the integer metrics of the running nodes.
func (f *Fleet) Metrics() map[id.Node]map[string]int64 {
	out := map[id.Node]map[string]int64{}
	for _, m := range f.running() {
		counters := map[string]int64{}
		m.node.Vars().Do(func(kv expvar.KeyValue) {
			if n, ok := kv.Value.(*expvar.Int); ok {
				counters[kv.Key] = n.Value()
			}
		})
		out[m.name] = counters
	}
	return out
}

// AdminAddrs returns the addresses of the administration API of the running nodes.
func (f *Fleet) AdminAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range f.running() {
		out = append(out, m.node.AdminAddr())
	}
	return out
}

// Close kills all running nodes.
func (f *Fleet) Close(context.Context) error {
	for _, m := range f.running() {
		if err := f.Kill(m.name); err != nil {
			return err
		}
	}
	return nil
}

// partitionedDecider wraps a node's decision logic and drops messages that a simulated network partition blocks.
type partitionedDecider struct {
	runtime.Decider
	fleet  *Fleet
	domain id.FailureDomain
}

// Versions forwards to the wrapped decider if it implements runtime.Versions.
func (d *partitionedDecider) Versions() (id.Revision, uint64) {
	if v, ok := d.Decider.(runtime.Versions); ok {
		return v.Versions()
	}
	return 0, 0
}

// Step drops messages from and to unreachable nodes.
func (d *partitionedDecider) Step(now time.Time, ev event.Event) []event.Action {
	if m, ok := ev.(event.Receive); ok && d.fleet.blocked(d.domain, m.From) {
		return nil
	}
	return slices.DeleteFunc(d.Decider.Step(now, ev), func(a event.Action) bool {
		m, ok := a.(event.Send)
		return ok && d.fleet.blocked(d.domain, m.To)
	})
}
