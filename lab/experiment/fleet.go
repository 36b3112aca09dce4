package experiment

import (
	"context"
	"net/netip"

	"bluebellflow/core/id"
	"bluebellflow/lab/testbed"
)

// Setup configures the nodes of one run.
type Setup struct {
	Environment *testbed.Environment // provides platform addresses, backend servers and pipelines
	Policy      string               // one of Experiment.Policies
	Seed        uint64
}

// Metered is implemented by fleets that provide the metrics of their nodes, by node and metric name.
type Metered interface {
	Metrics() map[id.Node]map[string]int64
}

// Fleet starts and controls the nodes that an experiment measures.
// A value serves a single run: Start is the first call and Close the last.
type Fleet interface {
	// Start starts the nodes and lists them with Environment.SetEntry; they need not be ready when it returns.
	Start(ctx context.Context, s Setup) error
	// Entries returns the addresses at which the running nodes accept callers, by failure domain.
	Entries() map[id.FailureDomain][]netip.AddrPort
	// Nodes returns all nodes in a fixed order.
	Nodes() []id.Node
	// Kill stops a node abruptly, as a crash would.
	Kill(n id.Node) error
	// Stop shuts a node down gracefully and returns once it has stopped.
	Stop(ctx context.Context, n id.Node) error
	// SetCut disconnects the nodes of a failure domain from those of the other domains, or reconnects them.
	// Links to backend servers and to the platform are cut by Environment.Partition.
	SetCut(d id.FailureDomain, cut bool) error
	// Admin sends a request for a path below /admin/v1/ to any running node.
	Admin(ctx context.Context, method, path string, body []byte) (status int, answer []byte, err error)
	// Close stops all nodes.
	Close(ctx context.Context) error
}
