package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"

	"bluebellflow/core/id"
	"bluebellflow/lab/engine"
	"bluebellflow/lab/netpartition"
	"bluebellflow/lab/platform"
	"bluebellflow/lab/service"
)

const (
	readHeaderTimeout = 10 * time.Second // closes connections that send no request
	shutdownTimeout   = 5 * time.Second  // for requests in flight when the program stops
)

// listenFlags holds the flags of every command that runs a server.
type listenFlags struct {
	Addr   netip.AddrPort   `help:"Address to listen on." default:"127.0.0.1:0"`
	Domain id.FailureDomain `help:"Failure domain of this server, for POST /lab/cut."`
}

// serve runs the server until the context ends. The endpoint /lab/cut is not affected by the partition.
func (l listenFlags) serve(e *env, name string, h http.Handler) error {
	partition := netpartition.New()
	routes := http.NewServeMux()
	routes.Handle("/lab/cut", partition.Control())
	routes.Handle("/", partition.Wrap("", l.Domain, h))
	listener, err := net.Listen("tcp", l.Addr.String())
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	server := &http.Server{Handler: routes, ReadHeaderTimeout: readHeaderTimeout}
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	e.log.Info("serving", "what", name, "addr", listener.Addr())
	var group run.Group
	group.Add(func() error { return server.Serve(listener) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = errors.Join(server.Shutdown(ctx), server.Close())
	})
	group.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	if err := group.Run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// platformCommand serves a stand-in for the platform.
type platformCommand struct {
	listenFlags
	Writes float64 `help:"Conditional updates per second." default:"300"`
	Reads  float64 `help:"Other calls per second." default:"2000"`
	Seed   uint64  `help:"Seed of the faults that affect a random share of the calls." default:"1"`
}

// Run serves until the program is stopped.
func (c *platformCommand) Run(e *env) error {
	p := platform.New(platform.WithRates(c.Writes, c.Reads), platform.WithSeed(c.Seed))
	defer p.Close()
	return c.serve(e, "platform", p.Handler())
}

// engineCommand serves a stand-in for an engine.
type engineCommand struct {
	listenFlags
	Name    id.Server   `help:"Name of the server." default:"engine-1"`
	Kind    engine.Kind `help:"Kind of work." enum:"generate,encode,retrieve,rerank" default:"generate"`
	Version id.Version  `help:"Version that is loaded." default:"v1"`
	Warm    bool        `help:"Start warm."`
	Fenced  bool        `help:"Reject orders with a stale fencing token."`
	Seed    uint64      `help:"Seed of the faults that affect a random share of the attempts." default:"1"`
}

// Run serves until the program is stopped.
func (c *engineCommand) Run(e *env) error {
	opts := []engine.Option{engine.WithProfile(engine.ProfileOf(c.Kind)), engine.WithSeed(c.Seed)}
	if c.Warm {
		opts = append(opts, engine.WithWarm())
	}
	if c.Fenced {
		opts = append(opts, engine.WithFences())
	}
	s := engine.New(c.Name, c.Version, opts...)
	defer s.Close()
	return c.serve(e, "engine", s.Handler())
}

// serviceCommand serves a stand-in for a plain service.
type serviceCommand struct {
	listenFlags
	Name    id.Server     `help:"Name of the server." default:"service-1"`
	Version id.Version    `help:"Version of the service." default:"v1"`
	Took    time.Duration `help:"Service time of one call." default:"20ms"`
	Limit   int           `help:"Concurrent calls; further ones are answered with 429." default:"16"`
	Seed    uint64        `help:"Seed of the faults that affect a random share of the calls." default:"1"`
}

// Run serves until the program is stopped.
func (c *serviceCommand) Run(e *env) error {
	s := service.New(c.Name, c.Version, service.NewEffectLog(),
		service.WithServiceTime(c.Took), service.WithLimit(c.Limit), service.WithSeed(c.Seed))
	defer s.Close()
	return c.serve(e, "service", s.Handler())
}
