package cli

import (
	"context"
	"io"

	"bluebellflow/core/event"
	"bluebellflow/io/admin"
	"bluebellflow/io/gateway"
	"bluebellflow/io/lines"
	"bluebellflow/io/runtime"
)

// System gives the commands access to the settings and the decision logic. Invalid settings result in an error of type
// settings.Findings.
type System interface {
	// Check parses a settings tree.
	Check(name string, source []byte) error
	// Explain returns the effective value of a key and where it comes from.
	Explain(name string, source []byte, q admin.ExplainQuery) (any, error)
	// Node parses the settings of one process and returns the configuration of its node.
	Node(name string, source []byte) (runtime.Config, error)
	// Gateway parses the settings of one gateway process and returns the configuration of its node and its memory limit
	// in megabytes.
	Gateway(name string, source []byte) (gateway.Config, int, error)
	// PromptPart returns the number that identifies the prompt part of the given name.
	PromptPart(name string) uint64
	// Stepper returns a node's decision logic without I/O, and the types of its events and messages.
	Stepper(self event.Self) (runtime.Decider, *lines.Registry, error)
	// Demo runs nodes and stand-ins in this process and writes what they do to out.
	Demo(ctx context.Context, out io.Writer) error
}
