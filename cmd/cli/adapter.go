package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	"bluebellflow/core/event"
	"bluebellflow/io/admin"
	"bluebellflow/io/lines"
	"bluebellflow/io/runtime"
)

// ErrMissing means that a command needs a part that is not in this build.
var ErrMissing = errors.New("not part of this build")

// Finding is one mistake in a settings file.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// String returns the finding in the form that editors understand.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Findings are all mistakes of a settings file.
type Findings []Finding

// Error says how many mistakes there are.
func (f Findings) Error() string { return fmt.Sprintf("%d findings", len(f)) }

// System is what the commands need from the settings and the decision logic. Settings that are not
// valid give an error of type Findings.
type System interface {
	// Check parses a settings tree.
	Check(name string, source []byte) error
	// Explain returns the effective value of a key and where it comes from.
	Explain(name string, source []byte, q admin.Question) (any, error)
	// Node parses the settings of one process and returns the configuration of its node.
	Node(name string, source []byte) (runtime.Config, error)
	// Stepper returns decision logic without any outside, and the types of its events and messages.
	Stepper(self event.Self) (runtime.Decider, *lines.Registry, error)
	// Demo runs nodes and stand-ins in this process and shows what they do.
	Demo(ctx context.Context, out io.Writer) error
}

// Default returns the system of this build.
func Default() System { return missing{} }

// missing stands for settings and decision logic that are not part of the build.
type missing struct{}

func (missing) Check(string, []byte) error { return ErrMissing }

func (missing) Explain(string, []byte, admin.Question) (any, error) { return nil, ErrMissing }

func (missing) Node(string, []byte) (runtime.Config, error) { return runtime.Config{}, ErrMissing }

func (missing) Stepper(event.Self) (runtime.Decider, *lines.Registry, error) {
	return nil, nil, ErrMissing
}

func (missing) Demo(context.Context, io.Writer) error { return ErrMissing }
