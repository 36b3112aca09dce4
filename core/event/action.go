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
	// CodeMissing means that there is no such object.
	CodeMissing
	// CodeUnavailable means that the operation certainly did not take effect.
	CodeUnavailable
	// CodeLost means that no answer came; the operation may have taken effect, now or later.
	CodeLost
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
	// OpStatus writes the status of one object if its version matches.
	OpStatus
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
	// Relink gives up the connection to another node, because nothing comes over it, and opens a new one.
	Relink struct {
		Out
		To id.Node
	}
	// Call is an operation on the platform's object API.
	Call struct {
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
	// Answer ends an operator command.
	Answer struct {
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
	// Ready says whether the balancer may send callers to this node.
	Ready struct {
		Out
		Ready bool
	}
	// Exit says that nothing is left to do after Stop.
	Exit struct{ Out }
)

// ProblemKind separates what a caller may conclude from an error.
type ProblemKind string

const (
	// Refused means that the request was not run and had no effect.
	Refused ProblemKind = "refused"
	// Unknown means that the request may have had its effect; ask again with the same key.
	Unknown ProblemKind = "unknown"
	// Failed means that the request ran and failed.
	Failed ProblemKind = "failed"
	// Deadline means that the deadline passed before the whole answer was there; no action was taken.
	Deadline ProblemKind = "deadline"
	// Completed means that an earlier request with the same key took effect, and that its answer is no longer kept.
	Completed ProblemKind = "completed"
	// Invalid means that the request itself is wrong; it was not run.
	Invalid ProblemKind = "invalid"
)

// Problem is a final answer other than success.
type Problem struct {
	Kind       ProblemKind
	Detail     string
	RetryAfter time.Duration // 0 means that coming back makes no sense
}
