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

// readHeaderTimeout ends connections that never send a request.
const readHeaderTimeout = 10 * time.Second

// Server is one back end of the fleet.
type Server struct {
	VM         event.VM
	Engine     *engine.Engine  // nil for a plain service
	Service    *service.Server // nil for a model runner
	httpServer *http.Server
}

// Environment is the running outside world of a deployment.
type Environment struct {
	Description Description
	Platform    *platform.Platform
	Partition   *netpartition.Partition

	seed            uint64
	mu              sync.Mutex
	servers         map[id.Server]*Server
	retired         []*Server // removed servers, whose counts still matter
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

// Option changes a new fleet.
type Option func(*Environment)

// WithSeed sets the seed of all faults that strike a share.
func WithSeed(seed uint64) Option { return func(f *Environment) { f.seed = seed } }

// WithProfiles sets the figures of the model runners by kind.
func WithProfiles(profile func(engine.Kind) engine.Profile) Option {
	return func(f *Environment) { f.profile = profile }
}

// WithPlatformOptions passes options to the platform.
func WithPlatformOptions(opts ...platform.Option) Option {
	return func(f *Environment) { f.platformOpts = opts }
}

// Start starts the outside world on loopback ports; Close ends it.
func Start(d Description, opts ...Option) (*Environment, error) {
	if err := d.Check(); err != nil {
		return nil, fmt.Errorf("deployment %s: %w", d.Name, err)
	}
	f := &Environment{
		Description: d, Partition: netpartition.New(), seed: 1, profile: engine.ProfileOf,
		servers: map[id.Server]*Server{}, entries: map[string]event.VM{}, effectLogs: map[id.Pool]*service.EffectLog{},
		addedCount: map[id.Pool]int{}, defects: map[id.Version]engine.Defect{}, platformAddrs: map[id.FailureDomain]netip.AddrPort{},
	}
	for _, o := range opts {
		o(f)
	}
	f.Platform = platform.New(append([]platform.Option{platform.WithSeed(f.seed)}, f.platformOpts...)...)
	if err := f.start(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Environment) start() error {
	for _, d := range f.Description.Domains {
		addr, web, err := f.serve(f.Partition.Wrap(d, "", f.Platform.Handler()))
		if err != nil {
			return err
		}
		f.platformAddrs[d] = addr
		f.platformServers = append(f.platformServers, web)
	}
	for _, p := range f.Description.Pools {
		for i := range p.Servers {
			domain := f.Description.Domains[i%len(f.Description.Domains)]
			if _, err := f.Add(p.Name, domain, p.Version, i >= p.Cold); err != nil {
				return err
			}
		}
	}
	return nil
}

// serve starts an HTTP server on a free loopback port.
func (f *Environment) serve(h http.Handler) (netip.AddrPort, *http.Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, fmt.Errorf("listen: %w", err)
	}
	addr, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}, nil, fmt.Errorf("listen: %w", err)
	}
	web := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	f.running.Go(func() { _ = web.Serve(listener) })
	return addr, web, nil
}

// Add starts one more back end of a pool and lists it.
func (f *Environment) Add(pool id.Pool, domain id.FailureDomain, version id.Version, warm bool) (id.Server, error) {
	p, ok := f.Description.Pool(pool)
	if !ok {
		return "", fmt.Errorf("unknown pool %q", pool)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addedCount[pool]++
	name := id.Server(fmt.Sprintf("%s-%d", pool, f.addedCount[pool]))
	s := &Server{}
	handler := f.newBackendLocked(s, name, p, version, warm)
	addr, web, err := f.serve(f.Partition.Wrap("", domain, handler))
	if err != nil {
		s.close()
		return "", err
	}
	s.httpServer = web
	s.VM = event.VM{
		Name: string(name), Kind: "backend", Addr: addr, FailureDomain: domain,
		Region: f.Description.Region, Pool: pool, Version: version,
	}
	f.servers[name] = s
	f.publishVMsLocked()
	return name, nil
}

func (f *Environment) newBackendLocked(s *Server, name id.Server, p Pool, version id.Version, warm bool) http.Handler {
	seed := f.seed ^ xxhash.Sum64String(string(name))
	if p.IsService() {
		ledger := f.effectLogs[p.Name]
		if ledger == nil {
			ledger = service.NewEffectLog()
			f.effectLogs[p.Name] = ledger
		}
		s.Service = service.New(name, version, ledger, service.WithSeed(seed))
		return s.Service.Handler()
	}
	opts := []engine.Option{engine.WithProfile(f.profile(p.Kind)), engine.WithSeed(seed)}
	if warm {
		opts = append(opts, engine.WithWarm())
	}
	if p.Fenced {
		opts = append(opts, engine.WithFences())
	}
	s.Engine = engine.New(name, version, opts...)
	for v, b := range f.defects {
		s.Engine.SetDefect(v, b)
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

// publishVMsLocked gives the platform the present VM list, sorted by name.
func (f *Environment) publishVMsLocked() {
	list := slices.Collect(maps.Values(f.entries))
	for _, s := range f.servers {
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
	f.Platform.SetVMs(list)
}

// SetEntry lists an entry VM, or changes its entry.
func (f *Environment) SetEntry(vm event.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vm.Kind = "entry"
	f.entries[vm.Name] = vm
	f.publishVMsLocked()
}

// RemoveEntry takes an entry VM off the list.
func (f *Environment) RemoveEntry(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.entries, name)
	f.publishVMsLocked()
}

// Remove ends a back end and takes it off the list.
func (f *Environment) Remove(name id.Server) error {
	f.mu.Lock()
	s, ok := f.servers[name]
	if ok {
		delete(f.servers, name)
		f.retired = append(f.retired, s)
		f.publishVMsLocked()
	}
	f.mu.Unlock()
	if !ok {
		return fmt.Errorf("unknown server %q", name)
	}
	s.close()
	return s.httpServer.Close()
}

// Leave announces that a back end leaves, in its reports and, if listed is set, in the VM list.
func (f *Environment) Leave(name id.Server, listed bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[name]
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
		f.publishVMsLocked()
	}
	return nil
}

// PlatformAddr returns the platform's address for nodes of a failure domain.
// Each domain has its own, so that cutting a domain also cuts it from the platform.
func (f *Environment) PlatformAddr(d id.FailureDomain) netip.AddrPort { return f.platformAddrs[d] }

// Servers returns the back ends sorted by name, all pools or one.
func (f *Environment) Servers(pool id.Pool) []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*Server
	for _, name := range slices.Sorted(maps.Keys(f.servers)) {
		if s := f.servers[name]; pool == "" || s.VM.Pool == pool {
			list = append(list, s)
		}
	}
	return list
}

// AllServers returns all back ends of all pools, also those that were removed.
func (f *Environment) AllServers() []*Server {
	present := f.Servers("")
	f.mu.Lock()
	defer f.mu.Unlock()
	return append(present, f.retired...)
}

// Server returns one back end.
func (f *Environment) Server(name id.Server) (*Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[name]
	return s, ok
}

// EffectLog returns the effects of a plain service, nil for a pool that is none.
func (f *Environment) EffectLog(pool id.Pool) *service.EffectLog {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.effectLogs[pool]
}

// SetDefect says how a version is bad, on all present and future model runners.
func (f *Environment) SetDefect(v id.Version, b engine.Defect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.defects[v] = b
	for _, s := range f.servers {
		if s.Engine != nil {
			s.Engine.SetDefect(v, b)
		}
	}
}

// Close ends all back ends and the platform.
func (f *Environment) Close() error {
	f.mu.Lock()
	servers := slices.Collect(maps.Values(f.servers))
	f.mu.Unlock()
	f.Platform.Close()
	var errs []error
	for _, s := range servers {
		s.close()
		errs = append(errs, s.httpServer.Close())
	}
	for _, w := range f.platformServers {
		errs = append(errs, w.Close())
	}
	f.running.Wait()
	return errors.Join(errs...)
}

// VMName returns the identity of the back end, which is the name of its VM.
func (s *Server) VMName() id.Server { return id.Server(s.VM.Name) }
