package event

import (
	"net/netip"
	"time"

	"bluebellflow/core/id"
)

// Code is the outcome of a platform operation or of an order to a backend server.
type Code uint8

const (
	// CodeOK means that the operation took effect.
	CodeOK Code = iota + 1
	// CodeConflict means that the version did not match and that nothing changed.
	CodeConflict
	// CodeNotFound means that the object does not exist.
	CodeNotFound
	// CodeUnavailable means that the operation was not carried out.
	CodeUnavailable
	// CodeUnknown means that no response arrived; the operation may have taken effect or may still do so.
	CodeUnknown
)

// Op is the kind of a platform operation.
type Op uint8

const (
	// OpGet reads one object.
	OpGet Op = iota + 1
	// OpPut writes one object if its version matches; version 0 means that it must not exist.
	OpPut
	// OpList lists names and versions under a prefix.
	OpList
	// OpWatch starts watching a prefix; ObjectChanged events follow until the process ends.
	OpWatch
	// OpDelete removes one object if its version matches.
	OpDelete
	// OpPutStatus writes the status of one object if its version matches.
	OpPutStatus
)

// Object is an object in the platform's store.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

type (
	// Dispatch sends an attempt of a request's stage to a backend server.
	Dispatch struct {
		Out
		Attempt  id.Attempt
		Request  id.Request
		Server   id.Server
		Addr     netip.AddrPort
		Stage    string
		Version  id.Version
		Input    []byte // body of the caller's request
		Prior    []byte // output of the previous stage
		Offset   int    // index of the first token to return when a stream is resumed
		Stream   bool
		Priority int
		Deadline time.Time
		Key      string // idempotency key for the service, empty for none
	}
	// Cancel cancels an attempt that is in progress.
	Cancel struct {
		Out
		Attempt id.Attempt
		Server  id.Server
		Addr    netip.AddrPort
	}
	// Reply sends a part of the response, or its end, to the caller.
	Reply struct {
		Out
		Request id.Request
		Data    []byte
		End     bool
		Tokens  int // tokens of the whole response, set at the end of a stream
		Problem *Problem
	}
	// Send sends a message to another node; delivery is not guaranteed.
	Send struct {
		Out
		To   id.Node
		Body Body
	}
	// Reconnect replaces the connection to another node from which no messages arrive.
	Reconnect struct {
		Out
		To id.Node
	}
	// PlatformCall requests an operation on the platform's object API.
	PlatformCall struct {
		Out
		Owner   string // package that handles the PlatformResult
		Seq     uint64 // sequence number of the operation, chosen by its owner
		Op      Op
		Name    string // object name; a prefix for OpList and OpWatch
		Version uint64 // for OpPut, OpDelete and OpPutStatus
		Value   []byte // for OpPut and OpPutStatus
		Era     uint64 // of the store, in which Version was read; set by the node
	}
	// Order tells a backend server to load or unload a version.
	Order struct {
		Out
		Owner   string
		Seq     uint64
		Server  id.Server
		Addr    netip.AddrPort
		Kind    string // "load" or "unload"
		Version id.Version
		Fence   uint64 // fencing token
	}
	// CommandResult is the result of an operator command.
	CommandResult struct {
		Out
		Number uint64
		Value  any      // encoded as JSON by the administration API; nil if the command failed
		Fault  *Problem // reason of a failure, nil on success
	}
	// Log writes a structured log entry: a decision and its reason.
	Log struct {
		Out
		Kind    string // such as "route", "place", "admit", "claim", "move", "config"
		Request id.Request
		Stage   string
		Choice  string
		Reason  string
	}
	// Readiness sets whether the load balancer may send callers to this node.
	Readiness struct {
		Out
		Ready bool
	}
	// Exit reports that the shutdown requested by Stop is complete.
	Exit struct{ Out }
)

// ProblemKind tells a caller whether a failed request was run and had an effect.
type ProblemKind string

const (
	// ProblemRefused means that the request was not run and had no effect.
	ProblemRefused ProblemKind = "refused"
	// ProblemUnknown means that the request may have had its effect; the caller should retry it with the same key.
	ProblemUnknown ProblemKind = "unknown"
	// ProblemFailed means that the request ran and failed.
	ProblemFailed ProblemKind = "failed"
	// ProblemDeadline means that the deadline passed before the response was complete; no action stage was run.
	ProblemDeadline ProblemKind = "deadline"
	// ProblemCompleted means that an earlier request with the same key took effect and that its response is no longer stored.
	ProblemCompleted ProblemKind = "completed"
	// ProblemInvalid means that the request is malformed; it was not run.
	ProblemInvalid ProblemKind = "invalid"
)

// Problem is the final response to a request that did not succeed.
type Problem struct {
	Kind       ProblemKind
	Detail     string
	RetryAfter time.Duration // 0 if a retry is pointless
}
