package event

import (
	"net/netip"
	"time"

	"bluebellflow/core/id"
)

// Code is the outcome of a platform operation or an order.
type Code uint8

const (
	// CodeOK means that the operation took effect.
	CodeOK Code = iota + 1
	// CodeConflict means that the version did not match and nothing changed.
	CodeConflict
	// CodeNotFound means that there is no such object.
	CodeNotFound
	// CodeUnavailable means that the operation certainly did not take effect.
	CodeUnavailable
	// CodeUnknown means that no answer came; the operation may have taken effect, now or later.
	CodeUnknown
)

// Op is a kind of platform operation.
type Op uint8

const (
	// OpGet reads one object.
	OpGet Op = iota + 1
	// OpPut writes one object if its version matches; version 0 means that it must not exist.
	OpPut
	// OpList lists names and versions under a prefix.
	OpList
	// OpWatch starts watching a prefix; Changed events follow until the process ends.
	OpWatch
	// OpDelete removes one object if its version matches.
	OpDelete
	// OpPutStatus writes the status of one object if its version matches.
	OpPutStatus
)

// Object is a value on the platform.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

type (
	// Dispatch sends an attempt to a backend server.
	Dispatch struct {
		Out
		Attempt  id.Attempt
		Request  id.Request
		Server   id.Server
		Addr     netip.AddrPort
		Stage    string
		Version  id.Version
		Input    []byte // the caller's body
		Prior    []byte // the output of the stage before
		Offset   int    // first token wanted, to resume a stream
		Stream   bool
		Priority int
		Deadline time.Time
		Key      string // idempotency key passed to the service, empty for none
	}
	// Cancel abandons an attempt.
	Cancel struct {
		Out
		Attempt id.Attempt
		Server  id.Server
		Addr    netip.AddrPort
	}
	// Reply passes a part of an answer, or its end, to the caller.
	Reply struct {
		Out
		Request id.Request
		Data    []byte
		End     bool
		Tokens  int // tokens of the whole answer, at the end of a stream
		Problem *Problem
	}
	// Send sends a message to another node; delivery is not guaranteed.
	Send struct {
		Out
		To   id.Node
		Body Body
	}
	// Reconnect gives up the connection to another node, because nothing comes over it, and opens a new one.
	Reconnect struct {
		Out
		To id.Node
	}
	// PlatformCall is an operation on the platform's object API.
	PlatformCall struct {
		Out
		Owner   string // the package that gets the Result
		Seq     uint64 // the owner's own number for the operation
		Op      Op
		Name    string // object name, or prefix for OpList and OpWatch
		Version uint64 // for OpPut, OpDelete and OpStatus
		Value   []byte // for OpPut and OpStatus
	}
	// Order asks a backend server to load a version or change its role.
	Order struct {
		Out
		Owner   string
		Seq     uint64
		Server  id.Server
		Addr    netip.AddrPort
		Kind    string // "load" or "unload"
		Version id.Version
		Fence   uint64
	}
	// CommandResult ends an operator command.
	CommandResult struct {
		Out
		Number uint64
		Value  any      // encoded as JSON by the administration API; nil if there is a problem
		Fault  *Problem // says what could not be done
	}
	// Log is one structured line: a decision and its reason.
	Log struct {
		Out
		Kind    string // such as "route", "place", "admit", "claim", "move", "config"
		Request id.Request
		Stage   string
		Choice  string
		Reason  string
	}
	// Readiness says whether the balancer may send callers to this node.
	Readiness struct {
		Out
		Ready bool
	}
	// Exit says that nothing is left to do after Stop.
	Exit struct{ Out }
)

// ProblemKind separates what a caller may conclude from an error.
type ProblemKind string

const (
	// ProblemRefused means that the request was not run and had no effect.
	ProblemRefused ProblemKind = "refused"
	// ProblemUnknown means that the request may have had its effect; ask again with the same key.
	ProblemUnknown ProblemKind = "unknown"
	// ProblemFailed means that the request ran and failed.
	ProblemFailed ProblemKind = "failed"
	// ProblemDeadline means that the deadline passed before the whole answer was there; no action was taken.
	ProblemDeadline ProblemKind = "deadline"
	// ProblemCompleted means that an earlier request with the same key took effect, and that its answer is no longer kept.
	ProblemCompleted ProblemKind = "completed"
	// ProblemInvalid means that the request itself is wrong; it was not run.
	ProblemInvalid ProblemKind = "invalid"
)

// Problem is a final answer other than success.
type Problem struct {
	Kind       ProblemKind
	Detail     string
	RetryAfter time.Duration // 0 means that coming back makes no sense
}
