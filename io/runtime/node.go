package runtime

import (
	"cmp"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"

	"bluebellflow/core/event"
	"bluebellflow/core/wire"
	"bluebellflow/io/admin"
	"bluebellflow/io/backend"
	"bluebellflow/io/callers"
	"bluebellflow/io/httpserver"
	"bluebellflow/io/membudget"
	"bluebellflow/io/mesh"
	"bluebellflow/io/requestreply"
	"bluebellflow/io/store"
)

const (
	// headerTimeout is the time limit for reading a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an idle HTTP connection is kept open.
	idleTimeout = time.Minute
	// maxHeaderBytes limits the size of a request's headers.
	maxHeaderBytes = 32 << 10
	// shutdownTimeout is how long a stopping node waits for responses in progress.
	shutdownTimeout = 2 * time.Second
	// flushTimeout is how long a stopping node waits for queued messages to peers to be written.
	flushTimeout = 200 * time.Millisecond
)

// ErrKilled is returned by Run if Kill stopped the node before the decision logic exited.
var ErrKilled = errors.New("killed without waiting for requests in progress")

// Config describes one node.
type Config struct {
	// Self is the node's identity; Self.Addr is the address to listen on for peers. Port 0 is replaced
	// by the port chosen before Build is called.
	Self event.Self
	// Build returns the decision logic and the function that resolves a peer's address, which is never called during a step
	// of the decision logic.
	Build func(self event.Self) (Decider, mesh.Resolve)
	// Codec encodes the messages between nodes.
	Codec *wire.Codec
	// Platform is the address of the platform's object API and VM list.
	Platform netip.AddrPort
	// Callers and Admin are the addresses to listen on for callers and operators; an invalid Admin
	// address turns the administration API off.
	Callers, Admin netip.AddrPort
	// TLS holds the paths of the files for mutual TLS between nodes; nil means plain TCP.
	TLS *mesh.TLSFiles
	// Commands and Keys create the events for operators' commands and for requests for one-time keys.
	Commands admin.Commands
	Keys     callers.KeysCommand
	// Limits bound callers' connections; Conns is 0 for as many as the plan allows.
	Limits httpserver.Limits
	// Plan divides the memory and descriptors of the VM; if it is nil, callers are not limited.
	Plan *membudget.Plan
	// MemoryMB is the memory of the VM in megabytes, 0 if it is not known.
	MemoryMB int
	// Clock defaults to SystemClock; without a Logger nothing is logged.
	Clock  Clock
	Logger *log.Logger
	// Options of the packages that execute the actions.
	Store   []store.Option
	Backend []backend.Option
	Mesh    []mesh.Option
	Caller  []callers.Option
}

// Node is one node: its loop and the components that execute the actions. Several nodes can run in one process.
type Node struct {
	loop        *Loop
	vars        *expvar.Map
	mesh        *mesh.Mesh
	store       *store.Client
	backend     *backend.Client
	callers     *callers.Server
	correlator  *requestreply.Correlator // of operators' commands
	httpServers []*httpserver.Server
	addrs       [3]netip.AddrPort // peers, callers, operators
	kill        context.CancelCauseFunc
	killed      context.Context
}

// New opens the listeners of a node; nothing is served before Run.
func New(cfg Config) (*Node, error) {
	if cfg.Build == nil || cfg.Codec == nil {
		return nil, errors.New("config without decision logic or codec")
	}
	n := &Node{vars: new(expvar.Map)}
	n.killed, n.kill = context.WithCancelCause(context.Background())
	clock := cfg.Clock
	if clock == nil {
		clock = SystemClock{}
	}
	var options []mesh.Option
	if cfg.TLS != nil {
		tlsConfig, err := mesh.LoadTLS(*cfg.TLS)
		if err != nil {
			return nil, err
		}
		options = append(options, mesh.WithTLS(tlsConfig))
	}
	// The loop is created only after the decision logic, which needs the address of the peer listener. These functions use
	// n.loop when they are called, which is not before Run.
	deliver := func(ev event.Event) { n.loop.Deliver(ev) }
	report := func(err error) { n.loop.Report(err) }
	options = append(options, mesh.WithVars(n.vars), mesh.WithErrorHandler(report))
	listener, addr, err := listen(cfg.Self.Addr)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	cfg.Self.Addr = addr
	decider, resolve := cfg.Build(cfg.Self)
	n.loop = NewLoop(decider, WithVars(n.vars), WithClock(clock), WithLogger(cfg.Logger))
	n.mesh = mesh.New(cfg.Self, cfg.Codec, resolve, deliver, append(options, cfg.Mesh...)...)
	n.mesh.SetListener(listener)
	n.addrs[0] = addr
	n.store = store.New(cfg.Platform, deliver, append([]store.Option{store.WithVars(n.vars), store.WithErrorHandler(report)}, cfg.Store...)...)
	backendOptions, callerOptions := cfg.Backend, cfg.Caller
	if cfg.Plan != nil {
		responses := membudget.New(cfg.Plan.Responses)
		backendOptions = append([]backend.Option{backend.WithMemory(responses)}, backendOptions...)
		callerOptions = append([]callers.Option{callers.WithMemory(responses)}, callerOptions...)
	}
	n.backend = backend.New(cfg.Self, deliver, append([]backend.Option{
		backend.WithVars(n.vars), backend.WithErrorHandler(report), backend.WithNow(clock.Now),
	}, backendOptions...)...)
	n.correlator = requestreply.New(deliver)
	n.callers = callers.New(cfg.Self, deliver, append([]callers.Option{
		callers.WithVars(n.vars), callers.WithNow(clock.Now), callers.WithBusy(n.loop.Busy), callers.WithKeys(n.correlator, cfg.Keys),
	}, callerOptions...)...)
	if err := n.listenHTTP(cfg, admin.New(n.correlator, cfg.Commands, admin.WithNow(clock.Now))); err != nil {
		_ = listener.Close()
		return nil, err
	}
	versions, _ := decider.(Versions)
	n.loop.SetExecutor(Executors{Platform: n.store, Servers: n.backend, Peers: n.mesh, Callers: n.callers, Operators: n.correlator, Versions: versions})
	n.vars.Set("queue", expvar.Func(func() any { return n.loop.QueueLength() }))
	n.vars.Set("process", expvar.Func(func() any { return ReadProcessStats() }))
	n.vars.Set("requests_open", expvar.Func(func() any { return n.callers.InProgress() }))
	return n, nil
}

func listen(addr netip.AddrPort) (net.Listener, netip.AddrPort, error) {
	if !addr.IsValid() {
		return nil, addr, errors.New("no address")
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return nil, addr, err
	}
	return listener, listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (n *Node) listenHTTP(cfg Config, api *admin.API) error {
	var opts []httpserver.Option
	if cfg.Plan != nil {
		limits := cfg.Limits
		limits.Conns = cmp.Or(limits.Conns, cfg.Plan.CallerConns)
		opts = append(opts, httpserver.WithGuard(httpserver.NewGuard(NewCallerBudget(n.vars, *cfg.Plan), limits,
			httpserver.WithVars(n.vars), httpserver.WithReport(n.loop.Report))))
	}
	callers, err := newHTTPServer(cfg.Callers, n.callers.Handler(), n.loop, opts...)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	n.httpServers = append(n.httpServers, callers)
	n.addrs[1] = callers.Addr()
	if !cfg.Admin.IsValid() {
		return nil
	}
	operators, err := newHTTPServer(cfg.Admin, api.Handler(), n.loop)
	if err != nil {
		_ = callers.Close()
		return fmt.Errorf("listen for operators: %w", err)
	}
	n.httpServers = append(n.httpServers, operators)
	n.addrs[2] = operators.Addr()
	return nil
}

// PeerAddr returns the address at which the node listens for peers.
func (n *Node) PeerAddr() netip.AddrPort { return n.addrs[0] }

// CallerAddr returns the address at which the node listens for callers.
func (n *Node) CallerAddr() netip.AddrPort { return n.addrs[1] }

// AdminAddr returns the address of the administration API; it is invalid if the API is off.
func (n *Node) AdminAddr() netip.AddrPort { return n.addrs[2] }

// Vars returns the node's metrics.
func (n *Node) Vars() *expvar.Map { return n.vars }

// Stop asks the decision logic for a graceful shutdown; Run returns after it.
func (n *Node) Stop() { n.loop.Deliver(event.Stop{}) }

// Kill ends Run with ErrKilled without waiting for requests in progress.
func (n *Node) Kill() { n.kill(ErrKilled) }

// Run serves until the decision logic exits, a component fails, or Kill is called; all components stop
// together.
func (n *Node) Run() error {
	var group run.Group
	addContext(&group, n.runLoop)
	addContext(&group, n.mesh.Run)
	addContext(&group, n.store.Run)
	addContext(&group, n.backend.Run)
	for _, s := range n.httpServers {
		group.Add(s.Serve, func(err error) { s.Stop(stopTimeout(err)) })
	}
	return group.Run()
}

// runLoop runs the event loop and then waits up to flushTimeout until the last messages to peers are written.
func (n *Node) runLoop(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(n.killed, func() { cancel(ErrKilled) })()
	if err := n.loop.Run(ctx); err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		return err
	}
	n.callers.Stop()
	n.correlator.Stop()
	ctx, done := context.WithTimeout(ctx, flushTimeout)
	defer done()
	n.mesh.Flush(ctx)
	return nil
}

// addContext adds a function to a group whose context is canceled when the group stops.
func addContext(group *run.Group, do func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return do(ctx) }, func(error) { cancel() })
}

func newHTTPServer(addr netip.AddrPort, handler http.Handler, loop *Loop, opts ...httpserver.Option) (*httpserver.Server, error) {
	return httpserver.New(addr, &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(ReportWriter(loop), "", 0),
	}, opts...)
}

// stopTimeout returns how long a node waits for responses in progress: not at all after a failure.
func stopTimeout(failure error) time.Duration {
	if failure != nil {
		return 0
	}
	return shutdownTimeout
}

// ReportWriter returns a writer for the error log of an HTTP server; it reports each line to a loop.
func ReportWriter(loop *Loop) io.Writer { return reportWriter{loop} }

// reportWriter reports the lines of an HTTP server's error log to a loop.
type reportWriter struct{ loop *Loop }

// Write reports one line.
func (w reportWriter) Write(line []byte) (int, error) {
	w.loop.Report(fmt.Errorf("HTTP server: %s", line))
	return len(line), nil
}
