package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"bluebellflow/core/settings"
)

// The exit codes of the program; docs/operators.md lists them.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitRefused     = 4
	ExitUnknown     = 5
	ExitUnreachable = 6
)

const description = `Serves multi-stage model pipelines, and gives operators control over a running system.

Exit codes: 0 done, 1 failed, 2 wrong use, 3 invalid settings or request, 4 refused or conflict,
5 outcome unknown, 6 node unreachable.`

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

// Error returns the message without the code.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// Streams holds the standard streams and the signals of the process.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
	// Signals subscribes to the signals that ask the process to stop. After the call they no longer terminate it.
	Signals func() <-chan os.Signal
}

// StandardStreams returns the streams and signals of this process.
func StandardStreams() Streams {
	return Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Signals: func() <-chan os.Signal {
		signals := make(chan os.Signal, 2)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		return signals
	}}
}

// commands defines the flags and commands of the program.
type commands struct {
	Node string `help:"Address of a node's administration API." default:"http://127.0.0.1:8081" env:"BLUEBELLFLOW_NODE" placeholder:"URL"`
	JSON bool   `name:"json" help:"Write JSON instead of tables."`

	Serve   serveCommand   `cmd:"" help:"Run a node. SIGTERM stops it gracefully; a second one ends it at once. SIGHUP is only logged."`
	Gateway gatewayCommand `cmd:"" help:"Run a gateway node on a platform. SIGTERM stops it gracefully."`
	Check   checkCommand   `cmd:"" help:"Check a settings file and list all findings with their positions."`
	Explain explainCommand `cmd:"" help:"Show the effective value of a setting and where it comes from."`
	Route   routeCommand   `cmd:"" name:"explain-route" help:"Show where a gateway node would send a request now, and why. --node is its metrics address."`
	Apply   applyCommand   `cmd:"" help:"Commit a settings file as the new configuration."`
	Status  statusCommand  `cmd:"" help:"Show nodes, revisions, failure domains and moves."`
	Drain   drainCommand   `cmd:"" help:"Take a failure domain out of service."`
	Restore restoreCommand `cmd:"" help:"Bring a failure domain back into service."`
	Move    moveCommand    `cmd:"" help:"Begin a version rollout."`
	Demo    demoCommand    `cmd:"" help:"Run a small system in one process and show what it does."`
	Step    stepCommand    `cmd:"" help:"Drive the decision logic over a pipe: events in, actions out, as JSON lines."`
}

// env is passed to every command.
type env struct {
	ctx     context.Context
	streams Streams
	system  System
	node    string
	json    bool
}

// kongExit is the panic value that carries the exit code requested by kong, for example after --help.
type kongExit int

// Main runs one command and returns the process's exit code.
func Main(args []string, streams Streams, system System) (code int) {
	defer func() {
		switch value := recover().(type) {
		case nil:
		case kongExit:
			code = int(value)
		default:
			panic(value)
		}
	}()
	var flags commands
	parser, err := kong.New(&flags, kong.Name("bluebellflow"), kong.Description(description), kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { panic(kongExit(code)) }), kong.UsageOnError())
	if err != nil {
		return report(streams, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return report(streams, &exitError{ExitUsage, fmt.Errorf("%w; see bluebellflow --help", err)})
	}
	e := &env{ctx: context.Background(), streams: streams, system: system, node: flags.Node, json: flags.JSON}
	return report(streams, parsed.Run(e))
}

// report writes an error to standard error and returns the exit code for it.
func report(streams Streams, err error) int {
	if err == nil {
		return ExitDone
	}
	var findings settings.Findings
	if errors.As(err, &findings) {
		return ExitInvalid // writeFindings has written them
	}
	_, _ = fmt.Fprintln(streams.Err, "bluebellflow:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}
