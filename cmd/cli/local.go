package cli

import (
	cryptorand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"

	"github.com/charmbracelet/log"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/settings"
	"bluebellflow/io/admin"
	"bluebellflow/io/runtime"
)

// readFile reads a settings file.
func readFile(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &exitError{ExitInvalid, err}
	}
	return raw, nil
}

// writeFindings writes the findings that an error contains, if any, and returns the error.
func (e *env) writeFindings(err error) error {
	var findings settings.Findings
	if !errors.As(err, &findings) {
		return err
	}
	if e.json {
		return errors.Join(findings, e.write(findings))
	}
	for _, f := range findings {
		_, _ = fmt.Fprintln(e.streams.Out, f)
	}
	return findings
}

type checkCommand struct {
	File string `arg:"" help:"Settings file, JSON with comments."`
}

// Run checks a settings file.
func (c *checkCommand) Run(e *env) error {
	source, err := readFile(c.File)
	if err != nil {
		return err
	}
	if err := e.system.Check(c.File, source); err != nil {
		return e.writeFindings(err)
	}
	if e.json {
		return e.write(settings.Findings{})
	}
	_, err = fmt.Fprintln(e.streams.Out, c.File+": no findings")
	return err
}

type explainCommand struct {
	File      string           `arg:"" help:"Settings file; without it the node is asked." optional:""`
	Workspace id.Workspace     `help:"Workspace."`
	Pipeline  id.Pipeline      `help:"Pipeline."`
	Domain    id.FailureDomain `help:"Failure domain."`
	Key       string           `help:"Setting; without it all are shown."`
}

// Run shows the effective value of a setting of a file or of a running node.
func (c *explainCommand) Run(e *env) error {
	q := admin.ExplainQuery{Workspace: c.Workspace, Pipeline: c.Pipeline, FailureDomain: c.Domain, Key: c.Key}
	if c.File == "" {
		return e.explainRemote(q)
	}
	source, err := readFile(c.File)
	if err != nil {
		return err
	}
	value, err := e.system.Explain(c.File, source, q)
	if err != nil {
		return e.writeFindings(err)
	}
	return e.write(value)
}

type serveCommand struct {
	File  string `arg:"" help:"Settings of this process: name, failure domain, region, addresses, platform."`
	Level string `help:"Lowest level that is logged." enum:"debug,info,warn,error" default:"info"`
}

// Run serves requests until the node has stopped.
func (c *serveCommand) Run(e *env) error {
	reloads := subscribeReloads()
	source, err := readFile(c.File)
	if err != nil {
		return err
	}
	cfg, err := e.system.Node(c.File, source)
	if err != nil {
		return e.writeFindings(err)
	}
	level, err := log.ParseLevel(c.Level)
	if err != nil {
		return &exitError{ExitUsage, err}
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewWithOptions(e.streams.Err, log.Options{ReportTimestamp: true, Formatter: log.LogfmtFormatter, Level: level})
	}
	if err := initSelf(&cfg.Self); err != nil {
		return err
	}
	setMemoryLimit(cfg.MemoryMB)
	signals := e.streams.Signals()
	node, err := runtime.New(cfg)
	if err != nil {
		return err
	}
	cfg.Logger.Info("serve", "node", cfg.Self.Node, "incarnation", cfg.Self.Incarnation,
		"callers", addrText(node.CallerAddr()), "admin", addrText(node.AdminAddr()), "peers", addrText(node.PeerAddr()))
	ended := make(chan struct{})
	defer close(ended)
	go stopOnSignal(node, signals, ended)
	go logReloads(cfg.Logger, reloads, ended, func() {})
	return node.Run()
}

// addrText formats an address; the invalid address of a listener that is not in use is "off".
func addrText(addr netip.AddrPort) string {
	if !addr.IsValid() {
		return "off"
	}
	return addr.String()
}

// initSelf sets the random source and the incarnation of a process if they are unset.
func initSelf(self *event.Self) error {
	if self.Rand == nil {
		var seed [32]byte
		if _, err := cryptorand.Read(seed[:]); err != nil {
			return fmt.Errorf("read random seed: %w", err)
		}
		self.Rand = rand.New(rand.NewChaCha8(seed))
	}
	if self.Incarnation == "" {
		self.Incarnation = id.NewIncarnation(self.Rand)
	}
	return nil
}

// stopOnSignal stops a node gracefully at the first signal and kills it at the second.
func stopOnSignal(node *runtime.Node, signals <-chan os.Signal, ended <-chan struct{}) {
	for _, stop := range []func(){node.Stop, node.Kill} {
		select {
		case <-ended:
			return
		case <-signals:
			stop()
		}
	}
}

type demoCommand struct{}

// Run runs the demo.
func (c *demoCommand) Run(e *env) error { return e.system.Demo(e.ctx, e.streams.Out) }

type stepCommand struct {
	Name   id.Node          `help:"Name of the node." default:"node"`
	Domain id.FailureDomain `help:"Failure domain of the node." default:"domain"`
	Region id.Region        `help:"Region of the node." default:"region"`
	Addr   netip.AddrPort   `help:"Peer address of the node." default:"127.0.0.1:7000"`
	Seed   uint64           `help:"Seed of all random choices." default:"1"`
}

// Run passes the events on standard input to the decision logic and writes its actions to standard output.
func (c *stepCommand) Run(e *env) error {
	rng := rand.New(rand.NewPCG(c.Seed, c.Seed))
	self := event.Self{
		Node: c.Name, Incarnation: id.NewIncarnation(rng), FailureDomain: c.Domain, Region: c.Region, Addr: c.Addr, Rand: rng,
	}
	decider, registry, err := e.system.Stepper(self)
	if err != nil {
		return err
	}
	if err := registry.Run(decider, e.streams.In, e.streams.Out); err != nil {
		return &exitError{ExitInvalid, err}
	}
	return nil
}
