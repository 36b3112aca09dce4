package cli

import (
	"fmt"
	"text/tabwriter"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/lab/probe"
)

// thinCommand measures the latency that a node adds to a single request.
type thinCommand struct {
	Pipeline []string `help:"Pipelines of the deployment kitab." default:"reading-list,tag"`
	Requests int      `help:"Pairs of requests for each pipeline." default:"300"`
	Seed     uint64   `help:"Seed of the stand-ins and nodes." default:"1"`
}

// Run measures each pipeline and prints the quantiles.
func (c *thinCommand) Run(e *env) error {
	table := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "pipeline\trequests\tdirect p50/p95/p99 ms\tnode p50/p95/p99 ms\tadded p50/p95/p99 ms")
	for _, p := range c.Pipeline {
		t, err := probe.MeasureNodeLatency(e.ctx, id.Pipeline(p), c.Requests, c.Seed)
		if err != nil {
			return fmt.Errorf("measuring the added latency: %w", err)
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\n", p, t.Requests, formatMillis(t.Direct), formatMillis(t.Node), formatMillis(t.Added))
	}
	return table.Flush()
}

// configCommand measures how long configuration changes take to be in force on all nodes, and counts stale reads.
type configCommand struct {
	Deployment string `help:"Deployment whose nodes are run." enum:"kitab,vordach" default:"kitab"`
	Changes    int    `help:"Changes in each state of the platform." default:"6"`
	Seed       uint64 `help:"Seed of the stand-ins and nodes." default:"1"`
}

// Run changes the configuration in each state of the platform and prints one line per state.
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
		return fmt.Errorf("measuring configuration changes: %w", err)
	}
	return table.Flush()
}

// formatMillis formats quantiles in milliseconds.
func formatMillis(q [3]time.Duration) string {
	format := func(d time.Duration) string { return fmt.Sprintf("%.2f", float64(d)/float64(time.Millisecond)) }
	return format(q[0]) + "/" + format(q[1]) + "/" + format(q[2])
}
