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

// FleetFunc creates a fleet of nodes for a run.
type FleetFunc func() experiment.Fleet

// program defines the commands of the lab program.
type program struct {
	Platform   platformCommand   `cmd:"" help:"Serve a stand-in for the platform's object API and VM list."`
	Engine     engineCommand     `cmd:"" help:"Serve a stand-in for a model engine, encoder, retriever or reranker."`
	Service    serviceCommand    `cmd:"" help:"Serve a stand-in for a plain service."`
	Load       loadCommand       `cmd:"" help:"Send load to nodes that run elsewhere and print the outcome."`
	Experiment experimentCommand `cmd:"" help:"Run an experiment file with nodes and stand-ins in this process."`
	Thin       thinCommand       `cmd:"" help:"Measure the latency that a node adds to a single request."`
	Config     configCommand     `cmd:"" help:"Measure how long configuration changes take to be in force on all nodes, and count stale reads."`
	Plot       plotCommand       `cmd:"" help:"Draw the plots of a record as SVG and print its table."`
	Autoscale  autoscaleCommand  `cmd:"" help:"Run the ordering of servers under named load patterns, in virtual time and without a network."`
	Slopes     slopesCommand     `cmd:"" help:"Measure how the cost of nodes grows with the fleet, in virtual time and without a network."`
}

// env holds what commands use besides their flags.
type env struct {
	ctx    context.Context
	out    io.Writer
	log    *log.Logger
	fleets map[string]FleetFunc
}

// Option configures the program.
type Option func(*env)

// WithNodes adds a kind of nodes that experiments can run. The name is a value of the flag --nodes.
func WithNodes(name string, n FleetFunc) Option {
	return func(e *env) { e.fleets[name] = n }
}

// WithOutput sets the writer of the results.
func WithOutput(w io.Writer) Option {
	return func(e *env) { e.out = w }
}

// Main runs the program with the arguments of the process and returns the exit code.
func Main(opts ...Option) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := Run(ctx, os.Args[1:], opts...); err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return 1
	}
	return 0
}

// Run parses the arguments and runs the selected command.
func Run(ctx context.Context, args []string, opts ...Option) error {
	e := &env{
		ctx: ctx, out: os.Stdout, log: log.New(os.Stderr),
		fleets: map[string]FleetFunc{"relay": func() experiment.Fleet { return relay.New() }},
	}
	for _, o := range opts {
		o(e)
	}
	var p program
	exited := false
	parser, err := kong.New(&p,
		kong.Name("lab"),
		kong.Description("Stand-ins for the systems around bluebellflow, and the load and experiment tool."),
		kong.UsageOnError(),
		kong.Writers(e.out, os.Stderr),
		kong.Exit(func(int) { exited = true }),
	)
	if err != nil {
		return fmt.Errorf("command line: %w", err)
	}
	parsed, err := parser.Parse(args)
	if exited { // kong has printed the help
		return nil
	}
	if err != nil {
		return fmt.Errorf("command line: %w", err)
	}
	return parsed.Run(e)
}
