package system

import (
	"context"
	"io"

	"bluebellflow/core/event"
	"bluebellflow/core/node"
	"bluebellflow/core/settings"
	"bluebellflow/io/admin"
	"bluebellflow/io/lines"
	"bluebellflow/io/runtime"
	"bluebellflow/io/serve"
	"bluebellflow/lab/demo"
)

// System implements cli.System.
type System struct{}

// Check parses a settings tree; the error holds all findings.
func (System) Check(name string, source []byte) error {
	_, err := settings.Parse(name, source)
	return err
}

// Explain returns the effective value of a key and where it comes from.
func (System) Explain(name string, source []byte, q admin.ExplainQuery) (any, error) {
	tree, err := settings.Parse(name, source)
	if err != nil {
		return nil, err
	}
	return tree.Explain(q.Workspace, q.Pipeline, q.FailureDomain, q.Key)
}

// Node parses the settings of one process.
func (System) Node(name string, source []byte) (runtime.Config, error) {
	n, err := settings.ParseNode(name, source)
	if err != nil {
		return runtime.Config{}, err
	}
	return serve.Config(*n), nil
}

// Stepper returns a node's decision logic without any outside.
func (System) Stepper(self event.Self) (runtime.Decider, *lines.Registry, error) {
	return node.New(self), serve.TypeRegistry(), nil
}

// Demo runs both deployments in this process.
func (System) Demo(ctx context.Context, out io.Writer) error { return demo.Run(ctx, out) }
