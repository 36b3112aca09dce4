package claim

import (
	"errors"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// State is the state of a claim.
type State uint32

const (
	// Running means that the claimer may have dispatched the request and has not said how it ended.
	Running State = iota + 1
	// Done means that the request ran and its result is known.
	Done
	// Failed means that the service rejected the request and nothing took effect.
	Failed
	// NotDispatched means that the claimer never dispatched the request; the key may be claimed again.
	NotDispatched
	// Unknown means that the request was sent and its outcome is not known.
	Unknown
)

// Verdict says what the entry node does with a request.
type Verdict uint32

const (
	// Granted lets the entry node dispatch the request exactly once.
	Granted Verdict = iota + 1
	// Recorded means that the request ran before; its result comes along unless it was too large.
	Recorded
	// RejectedBefore means that the service rejected the request before and nothing took effect.
	RejectedBefore
	// Mismatch means that the key was used for another request.
	Mismatch
	// Outstanding means that the request may have run or may be running.
	Outstanding
	// Absent means that nothing ran under the key and that it cannot be claimed now.
	Absent
	// NotIssued means that the one-time key was never issued by the incarnation that it names.
	NotIssued

	// The following verdicts travel between nodes and never reach the caller of Ask.

	held      // another claimer holds the claim
	released  // the claimer never dispatched and gives the claim up
	unreached // the writer cannot reach the platform
	forgotten // the claimer does not remember the request
)

// Request asks for the right to run a request under a key.
type Request struct {
	ID          id.Request
	Workspace   id.Workspace
	Key         string
	Fingerprint id.Fingerprint
	Deadline    time.Time
}

// Decided is the answer to Claims.Ask or Claims.Look; each request gets exactly one.
type Decided struct {
	event.Internal
	Request id.Request
	Verdict Verdict
	Result  []byte
	Omitted bool // the request ran, but its result was too large or too old to be kept
}

// Limits of what a peer may send.
const (
	maxNameLen   = 256       // bytes of a node, request or workspace name
	maxKeyLen    = 1 << 10   // bytes of an idempotency key
	maxResultLen = 512 << 10 // bytes of a result in a message; well under wire.MaxMessage
)

// Acquire asks the preferred writer of a shard, or the issuer of a one-time key, for a claim.
// The claimer is the sender of the message.
type Acquire struct {
	Request   id.Request     `protobuf:"bytes,1,opt,name=request"`
	Workspace id.Workspace   `protobuf:"bytes,2,opt,name=workspace"`
	Key       string         `protobuf:"bytes,3,opt,name=key"`
	Print     id.Fingerprint `protobuf:"varint,4,opt,name=print"`
	Left      int64          `protobuf:"varint,5,opt,name=left"` // nanoseconds until the deadline; clocks may differ
	Look      bool           `protobuf:"varint,6,opt,name=look"` // only says what is known of the key and claims nothing
}

// Check reports a malformed message.
func (w Acquire) Check() error {
	if w.Request == "" || len(w.Request) > maxNameLen || len(w.Workspace) > maxNameLen {
		return errors.New("want: bad request or workspace name")
	}
	if w.Key == "" || len(w.Key) > maxKeyLen {
		return errors.New("want: bad key")
	}
	return nil
}

// Reply answers Want and Query.
type Reply struct {
	Request     id.Request     `protobuf:"bytes,1,opt,name=request"` // of the node that asked
	Verdict     Verdict        `protobuf:"varint,2,opt,name=verdict"`
	Result      []byte         `protobuf:"bytes,3,opt,name=result"`
	Omitted     bool           `protobuf:"varint,4,opt,name=omitted"`
	Node        id.Node        `protobuf:"bytes,5,opt,name=node"` // claimer, if the claim is held by another request
	Incarnation id.Incarnation `protobuf:"bytes,6,opt,name=incarnation"`
	Held        id.Request     `protobuf:"bytes,7,opt,name=held"`
}

// Check reports a malformed message.
func (t Reply) Check() error {
	if t.Request == "" || len(t.Request) > maxNameLen || len(t.Held) > maxNameLen || len(t.Node) > maxNameLen {
		return errors.New("told: bad name")
	}
	if t.Verdict < Granted || t.Verdict > forgotten {
		return errors.New("told: unknown verdict")
	}
	if len(t.Result) > maxResultLen {
		return errors.New("told: result too large")
	}
	return nil
}

// Query asks a claimer for the outcome of a request that it runs.
type Query struct {
	Request     id.Request     `protobuf:"bytes,1,opt,name=request"` // of the node that asks
	Held        id.Request     `protobuf:"bytes,2,opt,name=held"`    // of the claimer
	Incarnation id.Incarnation `protobuf:"bytes,3,opt,name=incarnation"`
}

// Check reports a malformed message.
func (q Query) Check() error {
	if q.Request == "" || len(q.Request) > maxNameLen || q.Held == "" || len(q.Held) > maxNameLen {
		return errors.New("query: bad request name")
	}
	return q.Incarnation.Check()
}

// Outcome tells a shard's writer or a key's issuer how a claimed request ended.
// The claimer is the sender of the message.
type Outcome struct {
	Request   id.Request   `protobuf:"bytes,1,opt,name=request"`
	Workspace id.Workspace `protobuf:"bytes,2,opt,name=workspace"`
	Key       string       `protobuf:"bytes,3,opt,name=key"`
	State     State        `protobuf:"varint,4,opt,name=state"`
	Result    []byte       `protobuf:"bytes,5,opt,name=result"`
	Omitted   bool         `protobuf:"varint,6,opt,name=omitted"`
}

// Check reports a malformed message.
func (o Outcome) Check() error {
	if o.Request == "" || len(o.Request) > maxNameLen || len(o.Workspace) > maxNameLen {
		return errors.New("outcome: bad request or workspace name")
	}
	if o.Key == "" || len(o.Key) > maxKeyLen {
		return errors.New("outcome: bad key")
	}
	if o.State < Done || o.State > Unknown {
		return errors.New("outcome: unknown state")
	}
	if len(o.Result) > maxResultLen {
		return errors.New("outcome: result too large")
	}
	return nil
}

// Ack acknowledges an Outcome.
type Ack struct {
	Request id.Request `protobuf:"bytes,1,opt,name=request"`
	State   State      `protobuf:"varint,2,opt,name=state"`
	OK      bool       `protobuf:"varint,3,opt,name=ok"`
}

// Check reports a malformed message.
func (s Ack) Check() error {
	if s.Request == "" || len(s.Request) > maxNameLen {
		return errors.New("stored: bad request name")
	}
	return nil
}
