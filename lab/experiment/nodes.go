package experiment

import (
	"context"
	"net/netip"

	"bluebellflow/core/id"
	"bluebellflow/lab/testbed"
)

// Setup is what the nodes of one run are started with.
type Setup struct {
	Environment *testbed.Environment // platform addresses by failure domain, back ends, pipelines
	Policy      string               // a policy of the experiment file
	Seed        uint64
}

// Metered is implemented by fleets whose nodes count their work; the names are those of the nodes' metrics.
type Metered interface {
	Metrics() map[id.Node]map[string]int64
}

// Fleet starts and controls the nodes that an experiment measures.
// One value is used for one run: Start first, Close last.
type Fleet interface {
	// Start starts the nodes and lists them with World.SetEntry; they need not be ready when it returns.
	Start(ctx context.Context, s Setup) error
	// Entries returns the addresses of the callers' interface by failure domain, of nodes that run.
	Entries() map[id.FailureDomain][]netip.AddrPort
	// Nodes returns the nodes in a fixed order.
	Nodes() []id.Node
	// Kill ends a node at once, as a crash does.
	Kill(n id.Node) error
	// Stop stops a node gracefully and returns when it has ended.
	Stop(ctx context.Context, n id.Node) error
	// SetCut separates the nodes of a failure domain from the nodes of the others, or connects them again.
	// The back ends and the platform are cut by World.Partition.
	SetCut(d id.FailureDomain, cut bool) error
	// Admin makes a call below /admin/v1/ on any running node.
	Admin(ctx context.Context, method, path string, body []byte) (status int, answer []byte, err error)
	// Close ends all nodes.
	Close(ctx context.Context) error
}
