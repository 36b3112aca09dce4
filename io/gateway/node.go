package gateway

import (
	"cmp"
	"context"
	"expvar"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/oklog/run"
	"golang.org/x/time/rate"

	"bluebellflow/core/autoscale"
	"bluebellflow/core/batch"
	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/proxy"
	"bluebellflow/core/usage"
	"bluebellflow/core/watchcache"
	"bluebellflow/core/wire"
	"bluebellflow/io/httpserver"
	"bluebellflow/io/membudget"
	"bluebellflow/io/mesh"
	"bluebellflow/io/requestreply"
	"bluebellflow/io/runtime"
	"bluebellflow/io/upstream"
)

const (
	// headerTimeout is the time limit for reading a request's headers.
	headerTimeout = 5 * time.Second
	// maxHeaderBytes limits the size of a request's headers; the configuration may set a lower limit.
	maxHeaderBytes = 64 << 10
	// shutdownTimeout is how long a stopping node waits for responses in progress.
	shutdownTimeout = 200 * time.Millisecond
	// idleCheckInterval is the time between two checks for idle caller connections.
	idleCheckInterval = time.Second
	// guardReportInterval is the least time between two log lines about callers outside the limits, at all addresses together.
	guardReportInterval = time.Second
	// unansweredPerSecond and unansweredBurst limit the log lines about unanswered requests, of which a server that fails causes many.
	unansweredPerSecond = 50
	unansweredBurst     = 500
	// flushTimeout is how long a stopping node waits for queued messages to peers to be written.
	flushTimeout = 100 * time.Millisecond
)

// Store is a client of the platform's store. Its methods must not block; results are delivered as events.
type Store interface {
	Do(event.PlatformCall)
	Follow(watchcache.Follow)
	Unfollow(kind string)
	Run(ctx context.Context) error
}

// Workers is a client of the backend servers, which run stages. Its methods must not block; results are delivered as events.
type Workers interface {
	Run(batch.StartCall)
	Free(batch.FreeResults)
}

// Control is a client of the operator's control service. Call must not block; the result is delivered as an event.
type Control interface {
	Call(duty.Call)
	Run(ctx context.Context) error
}

// Config describes one gateway node. Port 0 in an address is replaced by a free one.
type Config struct {
	Self event.Self // Self.Addr is the address to listen on for peers
	// Advertise is the address at which peers reach Self.Addr; invalid if it is the same.
	Advertise netip.AddrPort
	Decoder   proxy.Decoder
	Bounds    proxy.Bounds
	Codec     *wire.Codec
	Dialect   Dialect
	// NewStore and NewWorkers return the clients of the platform's store and of the backend servers.
	NewStore   func(deliver func(event.Event), vars *expvar.Map, report func(error)) Store
	NewWorkers func(client *upstream.Client, deliver func(event.Event)) Workers
	// NewControl returns the client of the control service; nil if there are no duties.
	NewControl func(deliver func(event.Event), vars *expvar.Map) Control
	// Callers, Ready and Metrics are the addresses to listen on; an invalid Metrics address turns metrics off.
	Callers, Ready, Metrics netip.AddrPort
	// Limits bound callers' connections; Conns is 0 for as many as the plan allows.
	Limits httpserver.Limits
	// Plan divides the memory and descriptors of the VM; if it is nil, callers' connections are not limited.
	Plan   *membudget.Plan
	Logger *log.Logger
}

// Node is one running gateway.
type Node struct {
	loop        *runtime.Loop
	vars        *expvar.Map
	mesh        *mesh.Mesh
	store       Store
	server      *Server
	client      *upstream.Client
	workers     Workers
	control     Control               // nil without duties
	held        map[duty.Subject]bool // leases that this node holds
	logger      *log.Logger
	httpServers []*httpserver.Server
	correlator  *requestreply.Correlator // of operators' commands

	unansweredLines *rate.Limiter
}

// NewNode opens the listeners of a node; nothing is served before Run.
func NewNode(cfg Config) (*Node, error) {
	n := &Node{
		vars: new(expvar.Map), logger: cfg.Logger, held: map[duty.Subject]bool{},
		unansweredLines: rate.NewLimiter(unansweredPerSecond, unansweredBurst),
	}
	if n.logger == nil {
		n.logger = log.New(io.Discard)
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Self.Addr))
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	cfg.Self.Addr = addrOf(listener)
	if cfg.Advertise.IsValid() {
		cfg.Self.Addr = cfg.Advertise
	}
	decider := proxy.New(cfg.Self, cfg.Decoder, cfg.Bounds)
	n.loop = runtime.NewLoop(decider, runtime.WithVars(n.vars), runtime.WithLogger(cfg.Logger))
	n.mesh = mesh.New(cfg.Self, cfg.Codec, decider.Resolve, n.loop.Deliver,
		mesh.WithVars(n.vars), mesh.WithErrorHandler(n.loop.Report), mesh.WithTiming(mesh.LowLatencyTiming()))
	n.mesh.SetListener(listener)
	options := []upstream.Option{upstream.WithVars(n.vars)}
	if cfg.Plan != nil {
		options = append(options, upstream.WithMemory(membudget.New(cfg.Plan.Responses)))
	}
	n.client = upstream.New(options...)
	n.server = New(cfg.Dialect, n.client, n.loop.Deliver, WithVars(n.vars), WithUnanswered(n.logUnanswered))
	n.store = cfg.NewStore(n.loop.Deliver, n.vars, n.loop.Report)
	n.workers = cfg.NewWorkers(n.client, n.loop.Deliver)
	n.correlator = requestreply.New(n.loop.Deliver)
	if cfg.NewControl != nil {
		n.control = cfg.NewControl(n.loop.Deliver, n.vars)
	}
	n.loop.SetExecutor(n)
	n.vars.Set("requests_open", expvar.Func(func() any { return n.server.InProgress() }))
	n.vars.Set("process", expvar.Func(func() any { return runtime.ReadProcessStats() }))
	if err := n.listen(cfg); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return n, nil
}

func addrOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// CallerAddr returns the address at which the node listens for callers.
func (n *Node) CallerAddr() netip.AddrPort { return n.httpServers[0].Addr() }

// ReadyAddr returns the address of the readiness check for the load balancer.
func (n *Node) ReadyAddr() netip.AddrPort { return n.httpServers[1].Addr() }

// MetricsAddr returns the address of the metrics and of ExplainPath, if Config.Metrics is valid.
func (n *Node) MetricsAddr() netip.AddrPort { return n.httpServers[2].Addr() }

// listen opens the listeners for callers, the load balancer and metrics.
func (n *Node) listen(cfg Config) error {
	guard := n.newGuards(cfg)
	routes := mux.NewRouter()
	routes.HandleFunc("/readyz", n.server.ServeReadiness).Methods(http.MethodGet, http.MethodHead)
	metrics := mux.NewRouter()
	metrics.HandleFunc("/debug/vars", n.serveMetrics).Methods(http.MethodGet)
	metrics.HandleFunc(ExplainPath, n.serveExplain).Methods(http.MethodPost)
	for _, endpoint := range []struct {
		name    string
		addr    netip.AddrPort
		callers bool
		handler http.Handler
	}{
		{"callers", cfg.Callers, true, n.server},
		{"the load balancer", cfg.Ready, false, routes},
		{"metrics", cfg.Metrics, false, metrics},
	} {
		if !endpoint.addr.IsValid() {
			continue
		}
		options := guard(endpoint.callers)
		if endpoint.callers {
			options = append(options, httpserver.WithUnanswered(n.server.ReportConn))
		}
		s, err := newHTTPServer(endpoint.addr, endpoint.handler, n.loop, options...)
		if err != nil {
			for _, open := range n.httpServers {
				_ = open.Close()
			}
			return fmt.Errorf("listen for %s: %w", endpoint.name, err)
		}
		n.httpServers = append(n.httpServers, s)
	}
	n.httpServers[0].BeforeClose(n.server.ReportUnanswered)
	return nil
}

// newGuards returns a function that returns the options with the guard of one HTTP server, either that for callers or another one.
// All guards share one budget.
func (n *Node) newGuards(cfg Config) func(callers bool) []httpserver.Option {
	if cfg.Plan == nil {
		return func(bool) []httpserver.Option { return nil }
	}
	budget := runtime.NewCallerBudget(n.vars, *cfg.Plan)
	sometimes := rate.Sometimes{Interval: guardReportInterval}
	report := func(err error) { sometimes.Do(func() { n.loop.Report(err) }) }
	return func(callers bool) []httpserver.Option {
		limits := cfg.Limits
		if limits.Conns = cfg.Plan.OtherConns; callers {
			limits.Conns = cmp.Or(cfg.Limits.Conns, cfg.Plan.CallerConns)
		}
		guard := httpserver.NewGuard(budget, limits, httpserver.WithVars(n.vars), httpserver.WithReport(report))
		return []httpserver.Option{httpserver.WithGuard(guard)}
	}
}

// logUnanswered logs a request without a complete response, with a limited rate of log lines.
func (n *Node) logUnanswered(r OpenRequest) {
	if !n.unansweredLines.Allow() {
		n.vars.Add("unanswered_suppressed", 1)
		return
	}
	n.logger.Warn("unanswered", "request", r.Name, "choice", r.Progress, "reason", r.Reason())
}

// Reloaded records for log lines that the operator asked the process to reload its settings.
func (n *Node) Reloaded() { n.server.Reloaded() }

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = io.WriteString(w, n.vars.String()+"\n")
}

// Execute executes an action of the decision logic.
func (n *Node) Execute(a event.Action) error {
	switch a := a.(type) {
	case event.Send:
		n.mesh.Send(a, 0, 0)
	case event.Reconnect:
		n.mesh.Reconnect(a.To)
	case event.PlatformCall:
		n.store.Do(a)
	case watchcache.Follow:
		n.store.Follow(a)
	case watchcache.Unfollow:
		n.store.Unfollow(a.Kind)
	case proxy.StoreEra:
		n.setStoreEra(a)
	case event.Readiness:
		n.server.SetReady(a.Ready)
	case proxy.Close:
		go n.httpServers[0].Drain(func() { n.loop.Deliver(proxy.Closed{}) })
	case event.CommandResult:
		n.correlator.Complete(a)
	case batch.StartCall:
		n.workers.Run(a)
	case batch.FreeResults:
		n.workers.Free(a)
	case duty.Call, duty.Held, usage.Reported, autoscale.Ordered, autoscale.Measured:
		n.executeDuty(a)
	default:
		return n.server.Execute(a)
	}
	return nil
}

func (n *Node) setStoreEra(a proxy.StoreEra) {
	for name, value := range map[string]int64{"store_era": int64(a.Era), "store_era_changes": int64(a.Changes)} {
		v := new(expvar.Int)
		v.Set(value)
		n.vars.Set(name, v)
	}
}

// Stop asks the decision logic for a graceful shutdown; Run returns after it.
func (n *Node) Stop() { n.loop.Deliver(event.Stop{}) }

// Run serves until the decision logic exits or a component fails; all components stop together.
func (n *Node) Run() error {
	var group run.Group
	components := []func(context.Context) error{n.runLoop, n.mesh.Run, n.store.Run, n.closeIdleConns}
	if n.control != nil {
		components = append(components, n.control.Run)
	}
	for _, do := range components {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return do(ctx) }, func(error) { cancel() })
	}
	for _, s := range n.httpServers {
		group.Add(s.Serve, func(error) { s.Stop(shutdownTimeout) })
	}
	defer n.client.Close()
	return group.Run()
}

// runLoop runs the event loop, and then waits up to flushTimeout until the last messages to peers are written.
func (n *Node) runLoop(ctx context.Context) error {
	err := n.loop.Run(ctx)
	n.server.Stop()
	if err != nil {
		return err
	}
	ctx, done := context.WithTimeout(ctx, flushTimeout)
	defer done()
	n.mesh.Flush(ctx)
	return nil
}

// closeIdleConns closes callers' connections that exceed the idle timeout of the configuration, until the context ends.
func (n *Node) closeIdleConns(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.httpServers[0].CloseIdle(n.server.limits.Load().IdleTime)
		}
	}
}

func newHTTPServer(addr netip.AddrPort, handler http.Handler, loop *runtime.Loop, opts ...httpserver.Option) (*httpserver.Server, error) {
	return httpserver.New(addr, &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(runtime.ReportWriter(loop), "", 0),
	}, opts...)
}
