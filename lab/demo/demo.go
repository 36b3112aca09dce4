package demo

import (
	"context"
	"embed"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	nodes "bluebellflow/lab/embed"
	"bluebellflow/lab/experiment"
	"bluebellflow/lab/load"
)

//go:embed kitab.jsonc vordach.jsonc
var files embed.FS

// ErrViolation means that a guarantee was broken.
var ErrViolation = errors.New("a guarantee was broken")

// deployments are the experiments of the demo, which run side by side.
var deployments = []string{"kitab.jsonc", "vordach.jsonc"}

// Run runs the demo and writes a summary; it returns ErrBroken if an answer was wrong, or an action doubled or lost.
func Run(ctx context.Context, out io.Writer) error {
	_, _ = fmt.Fprintln(out, "Starting two deployments on loopback; servers start cold, so this takes about 25 s.")
	results := make([]experiment.Result, len(deployments))
	group, ctx := errgroup.WithContext(ctx)
	for i, name := range deployments {
		group.Go(func() error {
			result, err := runExperiment(ctx, name)
			results[i] = result
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return summarize(out, results)
}

func runExperiment(ctx context.Context, name string) (experiment.Result, error) {
	source, err := files.ReadFile(name)
	if err != nil {
		return experiment.Result{}, err
	}
	e, err := experiment.Parse(name, source)
	if err != nil {
		return experiment.Result{}, err
	}
	record, err := experiment.New(func() experiment.Fleet { return nodes.New() }).Run(ctx, e)
	if err != nil {
		return experiment.Result{}, fmt.Errorf("%s: %w", name, err)
	}
	return record.Runs[0], nil
}

// describe returns one line about a fault or an operator's call.
func describe(ev experiment.Event) string {
	line := fmt.Sprintf("%5.2fs %s %s", ev.At, ev.Kind, ev.Target)
	if ev.Status != 0 {
		line += fmt.Sprintf(", status %d", ev.Status)
	}
	if ev.Error != "" {
		line += ": " + ev.Error
	}
	return line
}

func summarize(out io.Writer, results []experiment.Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "deployment\trequests\tin time\tlate\trefused\tunknown\tfailed\tbroken off\tdoubled\tlost\twrong\tfalse not run\t")
	broken := 0
	for i, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%d\t", strings.TrimSuffix(deployments[i], ".jsonc"), r.Summary.Requests)
		for _, class := range load.Classes {
			_, _ = fmt.Fprintf(table, "%d\t", r.Summary.Classes[class])
		}
		for _, v := range load.Violations {
			broken += r.Summary.Violations[v]
			_, _ = fmt.Fprintf(table, "%d\t", r.Summary.Violations[v])
		}
		_, _ = fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for i, r := range results {
		for _, ev := range r.Events {
			_, _ = fmt.Fprintln(out, strings.TrimSuffix(deployments[i], ".jsonc"), describe(ev))
		}
		if r.AfterDrain > 0 {
			broken++
			_, _ = fmt.Fprintf(out, "%d attempts reached a drained failure domain more than 3 s after the drain\n", r.AfterDrain)
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d violations", ErrViolation, broken)
	}
	_, _ = fmt.Fprintln(out, "No answer was wrong, no action was doubled or lost, and every refusal was true.")
	return nil
}
