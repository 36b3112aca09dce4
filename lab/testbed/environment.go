package testbed

import (
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/lab/engine"
	"bluebellflow/lab/netpartition"
	"bluebellflow/lab/platform"
	"bluebellflow/lab/service"
)

// readHeaderTimeout closes connections that send no request headers.
const readHeaderTimeout = 10 * time.Second

// Server is a running backend server: a model runner or a plain service.
type Server struct {
	VM         event.VM
	Engine     *engine.Engine  // nil for a plain service
	Service    *service.Server // nil for a model runner
	httpServer *http.Server
}

// Environment is the running platform and backend servers of a deployment.
type Environment struct {
	Description Description
	Platform    *platform.Platform
	Partition   *netpartition.Partition

	seed            uint64
	mu              sync.Mutex
	servers         map[id.Server]*Server
	retired         []*Server // removed servers; their counts remain part of the results
	entries         map[string]event.VM
	effectLogs      map[id.Pool]*service.EffectLog
	addedCount      map[id.Pool]int
	defects         map[id.Version]engine.Defect
	platformAddrs   map[id.FailureDomain]netip.AddrPort
	platformServers []*http.Server
	running         sync.WaitGroup
	profile         func(engine.Kind) engine.Profile
	platformOpts    []platform.Option
}

// Option configures a new environment.
type Option func(*Environment)

// WithSeed sets the seed of all faults that affect a random share of the calls.
func WithSeed(seed uint64) Option { return func(e *Environment) { e.seed = seed } }

// WithProfiles sets the function that returns the performance profile of a kind of model runner.
func WithProfiles(profile func(engine.Kind) engine.Profile) Option {
	return func(e *Environment) { e.profile = profile }
}

// WithPlatformOptions sets additional options of the platform.
func WithPlatformOptions(opts ...platform.Option) Option {
	return func(e *Environment) { e.platformOpts = opts }
}

// Start starts the platform and all backend servers on loopback ports. Close stops them.
func Start(d Description, opts ...Option) (*Environment, error) {
	if err := d.Check(); err != nil {
		return nil, fmt.Errorf("deployment %s: %w", d.Name, err)
	}
	e := &Environment{
		Description: d, Partition: netpartition.New(), seed: 1, profile: engine.ProfileOf,
		servers: map[id.Server]*Server{}, entries: map[string]event.VM{}, effectLogs: map[id.Pool]*service.EffectLog{},
		addedCount: map[id.Pool]int{}, defects: map[id.Version]engine.Defect{}, platformAddrs: map[id.FailureDomain]netip.AddrPort{},
	}
	for _, o := range opts {
		o(e)
	}
	e.Platform = platform.New(append([]platform.Option{platform.WithSeed(e.seed)}, e.platformOpts...)...)
	if err := e.start(); err != nil {
		return nil, errors.Join(err, e.Close())
	}
	return e, nil
}

func (e *Environment) start() error {
	for _, d := range e.Description.Domains {
		addr, server, err := e.serve(e.Partition.Wrap(d, "", e.Platform.Handler()))
		if err != nil {
			return err
		}
		e.platformAddrs[d] = addr
		e.platformServers = append(e.platformServers, server)
	}
	for _, p := range e.Description.Pools {
		for i := range p.Servers {
			domain := e.Description.Domains[i%len(e.Description.Domains)]
			if _, err := e.Add(p.Name, domain, p.Version, i >= p.Cold); err != nil {
				return err
			}
		}
	}
	return nil
}

// serve starts an HTTP server on a free loopback port.
func (e *Environment) serve(h http.Handler) (netip.AddrPort, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, fmt.Errorf("listen: %w", err)
	}
	addr, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}, nil, fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	e.running.Go(func() { _ = server.Serve(listener) })
	return addr, server, nil
}

// Add starts another backend server of a pool and adds it to the VM list.
func (e *Environment) Add(pool id.Pool, domain id.FailureDomain, version id.Version, warm bool) (id.Server, error) {
	p, ok := e.Description.Pool(pool)
	if !ok {
		return "", fmt.Errorf("unknown pool %q", pool)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addedCount[pool]++
	name := id.Server(fmt.Sprintf("%s-%d", pool, e.addedCount[pool]))
	s := &Server{}
	handler := e.newBackendLocked(s, name, p, version, warm)
	addr, server, err := e.serve(e.Partition.Wrap("", domain, handler))
	if err != nil {
		s.close()
		return "", err
	}
	s.httpServer = server
	s.VM = event.VM{
		Name: string(name), Kind: "backend", Addr: addr, FailureDomain: domain,
		Region: e.Description.Region, Pool: pool, Version: version,
	}
	e.servers[name] = s
	e.publishVMsLocked()
	return name, nil
}

func (e *Environment) newBackendLocked(s *Server, name id.Server, p Pool, version id.Version, warm bool) http.Handler {
	seed := e.seed ^ xxhash.Sum64String(string(name))
	if p.IsService() {
		effects := e.effectLogs[p.Name]
		if effects == nil {
			effects = service.NewEffectLog()
			e.effectLogs[p.Name] = effects
		}
		s.Service = service.New(name, version, effects, service.WithSeed(seed))
		return s.Service.Handler()
	}
	opts := []engine.Option{engine.WithProfile(e.profile(p.Kind)), engine.WithSeed(seed)}
	if warm {
		opts = append(opts, engine.WithWarm())
	}
	if p.Fenced {
		opts = append(opts, engine.WithFences())
	}
	s.Engine = engine.New(name, version, opts...)
	for v, defect := range e.defects {
		s.Engine.SetDefect(v, defect)
	}
	return s.Engine.Handler()
}

func (s *Server) close() {
	if s.Engine != nil {
		s.Engine.Close()
	}
	if s.Service != nil {
		s.Service.Close()
	}
}

// publishVMsLocked passes the current VM list to the platform, sorted by name.
func (e *Environment) publishVMsLocked() {
	list := slices.Collect(maps.Values(e.entries))
	for _, s := range e.servers {
		list = append(list, s.VM)
	}
	slices.SortFunc(list, func(a, b event.VM) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	})
	e.Platform.SetVMs(list)
}

// SetEntry adds an entry VM to the VM list or replaces the one of the same name.
func (e *Environment) SetEntry(vm event.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	vm.Kind = "entry"
	e.entries[vm.Name] = vm
	e.publishVMsLocked()
}

// RemoveEntry removes an entry VM from the VM list.
func (e *Environment) RemoveEntry(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.entries, name)
	e.publishVMsLocked()
}

// Remove stops a backend server and removes it from the VM list.
func (e *Environment) Remove(name id.Server) error {
	e.mu.Lock()
	s, ok := e.servers[name]
	if ok {
		delete(e.servers, name)
		e.retired = append(e.retired, s)
		e.publishVMsLocked()
	}
	e.mu.Unlock()
	if !ok {
		return fmt.Errorf("unknown server %q", name)
	}
	s.close()
	return s.httpServer.Close()
}

// Leave announces that a backend server is leaving, in its load reports and, if listed is set, also in the VM list.
func (e *Environment) Leave(name id.Server, listed bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.servers[name]
	if !ok {
		return fmt.Errorf("unknown server %q", name)
	}
	if s.Engine != nil {
		s.Engine.Leave(false)
	} else {
		s.Service.Leave(false)
	}
	if listed {
		s.VM.Leaving = true
		e.publishVMsLocked()
	}
	return nil
}

// PlatformAddr returns the platform's address for the nodes of a failure domain.
// Each domain has its own address, so that a partition of the domain also cuts its nodes off from the platform.
func (e *Environment) PlatformAddr(d id.FailureDomain) netip.AddrPort { return e.platformAddrs[d] }

// Servers returns the backend servers of a pool, or of all pools if pool is empty, sorted by name.
func (e *Environment) Servers(pool id.Pool) []*Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []*Server
	for _, name := range slices.Sorted(maps.Keys(e.servers)) {
		if s := e.servers[name]; pool == "" || s.VM.Pool == pool {
			list = append(list, s)
		}
	}
	return list
}

// AllServers returns the backend servers of all pools, including removed ones.
func (e *Environment) AllServers() []*Server {
	current := e.Servers("")
	e.mu.Lock()
	defer e.mu.Unlock()
	return append(current, e.retired...)
}

// Server returns the backend server with the given name.
func (e *Environment) Server(name id.Server) (*Server, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.servers[name]
	return s, ok
}

// EffectLog returns the effects recorded by a pool of plain services, or nil for any other pool.
func (e *Environment) EffectLog(pool id.Pool) *service.EffectLog {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.effectLogs[pool]
}

// SetDefect sets the defect of a version on all current and future model runners.
func (e *Environment) SetDefect(v id.Version, defect engine.Defect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.defects[v] = defect
	for _, s := range e.servers {
		if s.Engine != nil {
			s.Engine.SetDefect(v, defect)
		}
	}
}

// Close stops all backend servers and the platform.
func (e *Environment) Close() error {
	e.mu.Lock()
	servers := slices.Collect(maps.Values(e.servers))
	e.mu.Unlock()
	e.Platform.Close()
	var errs []error
	for _, s := range servers {
		s.close()
		errs = append(errs, s.httpServer.Close())
	}
	for _, server := range e.platformServers {
		errs = append(errs, server.Close())
	}
	e.running.Wait()
	return errors.Join(errs...)
}

// VMName returns the name of the server's VM, which is also the identity of the server.
func (s *Server) VMName() id.Server { return id.Server(s.VM.Name) }
