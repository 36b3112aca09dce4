package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/io/httpclient"
	"bluebellflow/lab/experiment"
	"bluebellflow/lab/load"
	"bluebellflow/lab/testbed"
)

// loadCommand sends load to nodes that run elsewhere.
type loadCommand struct {
	Node       []netip.AddrPort `help:"Address of a node's callers' interface; may be given several times." required:""`
	Service    []netip.AddrPort `help:"Address of a service stand-in whose effects are checked; may be given several times."`
	Deployment string           `help:"Deployment whose mix of requests is sent." enum:"kitab,vordach" default:"kitab"`
	Seed       uint64           `help:"Seed of the arrivals." default:"1"`
	Rate       float64          `help:"Requests per second." default:"20"`
	Length     time.Duration    `help:"Length of the run." default:"10s"`
	BurstAt    time.Duration    `help:"Start of the burst."`
	BurstRate  float64          `help:"Additional requests per second in the burst; 0 for none."`
	BurstFor   time.Duration    `help:"Length of the burst." default:"3s"`
}

// Run sends the load and prints a summary as JSON.
func (c *loadCommand) Run(e *env) error {
	d, err := testbed.DescriptionByName(c.Deployment)
	if err != nil {
		return err
	}
	shape := load.Shape{Length: c.Length, Rate: c.Rate}
	if c.BurstRate > 0 {
		shape.Bursts = []load.Burst{{At: c.BurstAt, Length: c.BurstFor, Rate: c.BurstRate}}
	}
	plan, err := load.Plan(c.Seed, shape, load.Mix(d), d.Workspaces)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	balancer := load.NewReadyBalancer(func() []netip.AddrPort { return c.Node })
	balancer.Poll(ctx)
	done := make(chan error, 1)
	go func() { done <- balancer.Run(ctx) }()
	var opts []load.Option
	if len(c.Service) > 0 {
		opts = append(opts, load.WithOracle(effectOracle{ctx: ctx, services: c.Service, logError: e.log.Error}))
	}
	summary := load.Summarize(load.New(balancer, opts...).Run(ctx, plan))
	cancel()
	if err := <-done; err != nil {
		return err
	}
	encoder := json.NewEncoder(e.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(summary); err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	return nil
}

// effectOracle reads the effects of a request from the service stand-ins, one address per service.
type effectOracle struct {
	ctx      context.Context //nolint:containedctx // load.Oracle takes no context; the context of the command ends the calls.
	services []netip.AddrPort
	logError func(msg any, keyvals ...any)
}

// EffectCount returns the number of effects in all services.
func (o effectOracle) EffectCount(a load.Arrival) int {
	total := 0
	for _, s := range o.services {
		count, err := o.fetchCount(s, xxhash.Sum64(a.Body))
		if err != nil {
			o.logError("reading the effects failed", "service", s, "error", err)
		}
		total += count
	}
	return total
}

// fetchCount returns the number of effects that a service recorded for the hash of a request body.
func (o effectOracle) fetchCount(s netip.AddrPort, bodyHash uint64) (int, error) {
	url := fmt.Sprintf("http://%s/lab/effects/%d", s, bodyHash)
	req, err := http.NewRequestWithContext(o.ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, err
	}
	resp, err := httpclient.Default.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var n int
	return n, json.NewDecoder(resp.Body).Decode(&n)
}

// experimentCommand runs an experiment file.
type experimentCommand struct {
	File    string   `arg:"" help:"Experiment file, JSON with comments." type:"existingfile"`
	Nodes   string   `help:"Kind of nodes to run; relay is a baseline without any control." default:"bluebellflow"`
	Out     string   `help:"Directory for the record and the plots." default:"." type:"path"`
	Repeats int      `help:"Overrides the repeats of the file."`
	Policy  []string `help:"Overrides the policies of the file; may be given several times."`
}

// Run runs the experiment, prints the table, and writes the record and the plots.
func (c *experimentCommand) Run(e *env) error {
	src, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	x, err := experiment.Parse(filepath.Base(c.File), src)
	if err != nil {
		return err
	}
	if c.Repeats > 0 {
		x.Repeats = c.Repeats
	}
	if len(c.Policy) > 0 {
		x.Policies = c.Policy
	}
	newFleet, ok := e.fleets[c.Nodes]
	if !ok {
		return fmt.Errorf("unknown kind of nodes %q", c.Nodes)
	}
	rec, err := experiment.New(newFleet, experiment.WithLog(e.log.Infof)).Run(e.ctx, x)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	path := filepath.Join(c.Out, x.Name+".json")
	if err := writeRecord(path, rec); err != nil {
		return err
	}
	e.log.Info("written", "record", path)
	return writeResults(e, rec, c.Out)
}

func writeRecord(path string, rec experiment.Record) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("record: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return rec.Write(file)
}

// writeResults prints the table of a record and draws its plots.
func writeResults(e *env, rec experiment.Record, dir string) error {
	if err := rec.Table(e.out); err != nil {
		return err
	}
	paths, err := rec.Plot(dir)
	for _, p := range paths {
		e.log.Info("written", "plot", p)
	}
	return err
}

// plotCommand draws the plots of a record.
type plotCommand struct {
	Record string `arg:"" help:"Record of an experiment." type:"existingfile"`
	Out    string `help:"Directory for the plots." default:"." type:"path"`
}

// Run draws the plots and prints the table.
func (c *plotCommand) Run(e *env) error {
	file, err := os.Open(c.Record)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	defer func() { _ = file.Close() }()
	rec, err := experiment.ReadRecord(io.Reader(file))
	if err != nil {
		return err
	}
	return writeResults(e, rec, c.Out)
}
