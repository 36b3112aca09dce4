package claim

import (
	"errors"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// State is how far the request that holds a claim has come.
type State uint32

const (
	// Running means that the claimer may have dispatched the request and has not reported its outcome.
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

// Verdict tells the entry node what to do with a request.
type Verdict uint32

const (
	// Granted lets the entry node dispatch the request, and only once.
	Granted Verdict = iota + 1
	// Recorded means that the request ran before; its result is included unless it was dropped or too large to record.
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

	held      // another request holds the claim
	released  // the claimer never dispatched the request and has given the claim up
	unreached // the writer cannot reach the platform
	forgotten // the claimer has no record of the request
)

// Request is a caller's request with an idempotency key.
type Request struct {
	ID          id.Request
	Workspace   id.Workspace
	Key         string
	Fingerprint id.Fingerprint
	Deadline    time.Time
}

// Decided is the answer to Claims.Ask or Claims.Lookup; each request gets exactly one.
type Decided struct {
	event.Internal
	Request id.Request
	Verdict Verdict
	Result  []byte
	Omitted bool // the request ran, but its result was too large or too old to be kept
}

// Limits on the fields of messages from peers.
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
	Left      int64          `protobuf:"varint,5,opt,name=left"` // nanoseconds until the deadline; a duration, because clocks differ between nodes
	Look      bool           `protobuf:"varint,6,opt,name=look"` // only look the key up, without claiming it
}

// Check reports a malformed message.
func (a Acquire) Check() error {
	if a.Request == "" || len(a.Request) > maxNameLen || len(a.Workspace) > maxNameLen {
		return errors.New("acquire: request or workspace name missing or too long")
	}
	if a.Key == "" || len(a.Key) > maxKeyLen {
		return errors.New("acquire: key missing or too long")
	}
	return nil
}

// Reply answers Acquire and Query.
type Reply struct {
	Request     id.Request     `protobuf:"bytes,1,opt,name=request"` // the request that asked
	Verdict     Verdict        `protobuf:"varint,2,opt,name=verdict"`
	Result      []byte         `protobuf:"bytes,3,opt,name=result"`
	Omitted     bool           `protobuf:"varint,4,opt,name=omitted"`
	Node        id.Node        `protobuf:"bytes,5,opt,name=node"` // node of the claimer, if another request holds the claim
	Incarnation id.Incarnation `protobuf:"bytes,6,opt,name=incarnation"`
	Held        id.Request     `protobuf:"bytes,7,opt,name=held"`
}

// Check reports a malformed message.
func (r Reply) Check() error {
	if r.Request == "" || len(r.Request) > maxNameLen || len(r.Held) > maxNameLen || len(r.Node) > maxNameLen {
		return errors.New("reply: request or node name missing or too long")
	}
	if r.Verdict < Granted || r.Verdict > forgotten {
		return errors.New("reply: unknown verdict")
	}
	if len(r.Result) > maxResultLen {
		return errors.New("reply: result too large")
	}
	return nil
}

// Query asks a claimer for the outcome of the request that holds a claim.
type Query struct {
	Request     id.Request     `protobuf:"bytes,1,opt,name=request"` // the request that asks
	Held        id.Request     `protobuf:"bytes,2,opt,name=held"`    // the request that holds the claim
	Incarnation id.Incarnation `protobuf:"bytes,3,opt,name=incarnation"`
}

// Check reports a malformed message.
func (q Query) Check() error {
	if q.Request == "" || len(q.Request) > maxNameLen || q.Held == "" || len(q.Held) > maxNameLen {
		return errors.New("query: request name missing or too long")
	}
	return q.Incarnation.Check()
}

// Outcome tells the writer of a shard, or the issuer of a one-time key, how a claimed request ended.
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
		return errors.New("outcome: request or workspace name missing or too long")
	}
	if o.Key == "" || len(o.Key) > maxKeyLen {
		return errors.New("outcome: key missing or too long")
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
func (a Ack) Check() error {
	if a.Request == "" || len(a.Request) > maxNameLen {
		return errors.New("ack: request name missing or too long")
	}
	return nil
}
