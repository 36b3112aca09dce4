package quarantine

import (
	"errors"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// Verdict tells the entry node what to do with a request.
type Verdict uint8

const (
	// Run lets the request run like any other.
	Run Verdict = iota + 1
	// Alone lets the request run once, on a server with nothing else from this node in flight.
	Alone
	// Refuse means that the request was not run and must not run now.
	Refuse
)

// Decided is the answer to Guard.Ask; each request gets exactly one.
type Decided struct {
	event.Internal
	Request    id.Request
	Verdict    Verdict
	RetryAfter time.Duration // for Refuse
	Until      time.Time     // for Alone: the attempt must have ended by then
}

// Limits on the fields of messages from peers.
const (
	maxNameLen = 256 // bytes
	maxCounts  = 512 // counters in one message
	maxCount   = 1 << 20
)

// Count is the counter of one incarnation for one fingerprint.
type Count struct {
	Print       id.Fingerprint `protobuf:"varint,1,opt,name=print" json:"print"`
	Incarnation id.Incarnation `protobuf:"bytes,2,opt,name=incarnation" json:"incarnation"`
	Total       uint64         `protobuf:"varint,3,opt,name=total" json:"total"`
	Age         int64          `protobuf:"varint,4,opt,name=age" json:"-"` // nanoseconds since it last grew; a duration, because clocks differ between nodes
	At          int64          `json:"at"`                                 // when it last grew, in Unix seconds, for the platform object
}

// Counts sends counters to another node.
type Counts struct {
	Counts []Count `protobuf:"bytes,1,rep,name=counts"`
	Pull   bool    `protobuf:"varint,2,opt,name=pull"` // the sender has started recently and asks for the receiver's counters
}

// Check reports a malformed message.
func (c Counts) Check() error {
	if len(c.Counts) > maxCounts {
		return errors.New("counts: too many counters")
	}
	for _, n := range c.Counts {
		if err := n.Incarnation.Check(); err != nil {
			return err
		}
		if n.Age < 0 || n.Total == 0 || n.Total > maxCount {
			return errors.New("counts: total or age out of range")
		}
	}
	return nil
}

// RunRequest asks the coordinator of a fingerprint for the right to run a suspect alone.
type RunRequest struct {
	Request id.Request     `protobuf:"bytes,1,opt,name=request"`
	Print   id.Fingerprint `protobuf:"varint,2,opt,name=print"`
	Counts  []Count        `protobuf:"bytes,3,rep,name=counts"` // the crashes that make it a suspect
}

// Check reports a malformed message.
func (r RunRequest) Check() error {
	if err := checkRequestID(r.Request); err != nil {
		return err
	}
	return Counts{Counts: r.Counts}.Check()
}

// RunReply answers RunRequest. A refusal tells when to retry.
type RunReply struct {
	Request id.Request     `protobuf:"bytes,1,opt,name=request"`
	OK      bool           `protobuf:"varint,2,opt,name=ok"`
	Wait    int64          `protobuf:"varint,3,opt,name=wait"` // nanoseconds until a retry, after a refusal
	Print   id.Fingerprint `protobuf:"varint,4,opt,name=print"`
}

// Check reports a malformed message.
func (r RunReply) Check() error { return checkRequestID(r.Request) }

// PromiseRequest asks a node to promise that it lets no other coordinator run the fingerprint for the promise duration.
type PromiseRequest struct {
	Print id.Fingerprint `protobuf:"varint,1,opt,name=print"`
	Round uint64         `protobuf:"varint,2,opt,name=round"` // counted by the coordinator's incarnation
	// Counts tells a node that does not know of the crash why it is asked.
	Counts []Count `protobuf:"bytes,3,rep,name=counts"`
}

// Check reports a malformed message.
func (p PromiseRequest) Check() error { return Counts{Counts: p.Counts}.Check() }

// PromiseReply answers PromiseRequest.
type PromiseReply struct {
	Print id.Fingerprint `protobuf:"varint,1,opt,name=print"`
	Round uint64         `protobuf:"varint,2,opt,name=round"`
	OK    bool           `protobuf:"varint,3,opt,name=ok"`
}

// Check accepts every value.
func (PromiseReply) Check() error { return nil }

// Release ends the promise of a round, or tells the coordinator that a request no longer needs its turn.
type Release struct {
	Print   id.Fingerprint `protobuf:"varint,1,opt,name=print"`
	Round   uint64         `protobuf:"varint,2,opt,name=round"`
	Request id.Request     `protobuf:"bytes,3,opt,name=request"` // set only in a message to the coordinator, which ignores Round
	Counts  []Count        `protobuf:"bytes,4,rep,name=counts"`  // the crashes known after the attempt
}

// Check reports a malformed message.
func (r Release) Check() error {
	if len(r.Request) > maxNameLen {
		return errors.New("release: request name too long")
	}
	return Counts{Counts: r.Counts}.Check()
}

func checkRequestID(r id.Request) error {
	if r == "" || len(r) > maxNameLen {
		return errors.New("request name missing or too long")
	}
	return nil
}
