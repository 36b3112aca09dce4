package cli

import (
	"fmt"
	"text/tabwriter"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/lab/probe"
)

// thinCommand measures what a node adds to the latency of a single request.
type thinCommand struct {
	Pipeline []string `help:"Pipelines of the deployment kitab." default:"reading-list,tag"`
	Requests int      `help:"Pairs of requests for each pipeline." default:"300"`
	Seed     uint64   `help:"Seed of the stand-ins and nodes." default:"1"`
}

// Run prints the quantiles.
func (c *thinCommand) Run(e *env) error {
	table := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "pipeline\trequests\tdirect p50/p95/p99 ms\tnode p50/p95/p99 ms\tadded p50/p95/p99 ms")
	for _, p := range c.Pipeline {
		t, err := probe.MeasureNodeLatency(e.ctx, id.Pipeline(p), c.Requests, c.Seed)
		if err != nil {
			return fmt.Errorf("thin path: %w", err)
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\n", p, t.Requests, formatMillis(t.Direct), formatMillis(t.Node), formatMillis(t.Added))
	}
	return table.Flush()
}

// configCommand measures how long a configuration takes to be in force, and stale reads.
type configCommand struct {
	Deployment string `help:"Whose nodes to run." enum:"kitab,vordach" default:"kitab"`
	Changes    int    `help:"Changes in each state of the platform." default:"6"`
	Seed       uint64 `help:"Seed of the stand-ins and nodes." default:"1"`
}

// Run prints one line for each state of the platform.
func (c *configCommand) Run(e *env) error {
	list, err := probe.MeasurePropagation(e.ctx, c.Deployment, c.Changes, c.Seed)
	table := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "platform\tchanges\taccepted p50/p95/p99 ms\tin force p50/p95/p99 ms\tnot in force"+
		"\treads: stale, failed of all\ttook ms\twith revision: stale, failed of all\ttook ms")
	for _, r := range list {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%d\t%d, %d of %d\t%s\t%d, %d of %d\t%s\n",
			r.Case, r.Changes, formatMillis(r.Accepted), formatMillis(r.InForce), r.TimedOut,
			r.Reads.Stale, r.Reads.Failed, r.Reads.Total, formatMillis(r.Reads.Latency),
			r.WithRevision.Stale, r.WithRevision.Failed, r.WithRevision.Total, formatMillis(r.WithRevision.Latency))
	}
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return table.Flush()
}

func formatMillis(q [3]time.Duration) string {
	text := func(d time.Duration) string { return fmt.Sprintf("%.2f", float64(d)/float64(time.Millisecond)) }
	return text(q[0]) + "/" + text(q[1]) + "/" + text(q[2])
}
