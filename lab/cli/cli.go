package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/log"

	"bluebellflow/lab/experiment"
	"bluebellflow/lab/relay"
)

// FleetFunc returns a new fleet of nodes for a run.
type FleetFunc func() experiment.Fleet

// program is the command line.
type program struct {
	Platform   platformCommand   `cmd:"" help:"Serve a stand-in of the platform's object API and VM list."`
	Engine     engineCommand     `cmd:"" help:"Serve a stand-in of a model engine, encoder, retriever or reranker."`
	Service    serviceCommand    `cmd:"" help:"Serve a stand-in of a plain service."`
	Load       loadCommand       `cmd:"" help:"Send load to nodes that run elsewhere and print the outcome."`
	Experiment experimentCommand `cmd:"" help:"Run an experiment file with nodes and stand-ins in this process."`
	Thin       thinCommand       `cmd:"" help:"Measure the latency that a node adds to a single request."`
	Config     configCommand     `cmd:"" help:"Measure the way of configuration changes to all nodes, and stale reads."`
	Plot       plotCommand       `cmd:"" help:"Draw the plots of a record as SVG and print its table."`
	Slopes     slopesCommand     `cmd:"" help:"Measure what nodes cost as the fleet grows, with pure nodes in virtual time."`
}

// env is what commands get besides their flags.
type env struct {
	ctx    context.Context
	out    io.Writer
	log    *log.Logger
	fleets map[string]FleetFunc
}

// Option changes the program.
type Option func(*env)

// WithNodes adds a kind of nodes that experiments can run, under the name for the flag --nodes.
func WithNodes(name string, n FleetFunc) Option {
	return func(e *env) { e.fleets[name] = n }
}

// WithOutput sets where results are written.
func WithOutput(w io.Writer) Option {
	return func(e *env) { e.out = w }
}

// Main runs the program with the process's arguments and returns its exit code.
func Main(opts ...Option) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := Run(ctx, os.Args[1:], opts...); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return 1
	}
	return 0
}

// Run runs one command.
func Run(ctx context.Context, args []string, opts ...Option) error {
	e := &env{
		ctx: ctx, out: os.Stdout, log: log.New(os.Stderr),
		fleets: map[string]FleetFunc{"relay": func() experiment.Fleet { return relay.New() }},
	}
	for _, o := range opts {
		o(e)
	}
	var p program
	ended := false
	parser, err := kong.New(&p,
		kong.Name("lab"),
		kong.Description("Stand-ins for the systems around bluebellflow, and the load and experiment tool."),
		kong.UsageOnError(),
		kong.Writers(e.out, os.Stderr),
		kong.Exit(func(int) { ended = true }),
	)
	if err != nil {
		return fmt.Errorf("command line: %w", err)
	}
	parsed, err := parser.Parse(args)
	if ended { // the help was printed
		return nil
	}
	if err != nil {
		return fmt.Errorf("command line: %w", err)
	}
	return parsed.Run(e)
}
