package quarantine

import (
	"errors"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// Verdict says what the entry node does with a request.
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

// Limits of what a peer may send.
const (
	maxNameLen = 256
	maxCounts  = 512 // counters in one message
	maxCount   = 1 << 20
)

// Count is the counter of one incarnation for one fingerprint.
type Count struct {
	Print       id.Fingerprint `protobuf:"varint,1,opt,name=print" json:"print"`
	Incarnation id.Incarnation `protobuf:"bytes,2,opt,name=incarnation" json:"incarnation"`
	Total       uint64         `protobuf:"varint,3,opt,name=total" json:"total"`
	Age         int64          `protobuf:"varint,4,opt,name=age" json:"-"` // nanoseconds since it last grew; clocks may differ
	At          int64          `json:"at"`                                 // the same as a time on the platform, in Unix seconds
}

// Counts spreads counters.
type Counts struct {
	Counts []Count `protobuf:"bytes,1,rep,name=counts"`
	Pull   bool    `protobuf:"varint,2,opt,name=pull"` // the sender is new and wants the receiver's counters
}

// Check reports a malformed message.
func (c Counts) Check() error {
	if len(c.Counts) > maxCounts {
		return errors.New("counts: too many")
	}
	for _, n := range c.Counts {
		if err := n.Incarnation.Check(); err != nil {
			return err
		}
		if n.Age < 0 || n.Total == 0 || n.Total > maxCount {
			return errors.New("counts: bad total or age")
		}
	}
	return nil
}

// RunRequest asks the holder of a fingerprint for the right to run a suspect alone.
type RunRequest struct {
	Request id.Request     `protobuf:"bytes,1,opt,name=request"`
	Print   id.Fingerprint `protobuf:"varint,2,opt,name=print"`
	Counts  []Count        `protobuf:"bytes,3,rep,name=counts"` // what makes it a suspect
}

// Check reports a malformed message.
func (w RunRequest) Check() error {
	if err := checkRequestID(w.Request); err != nil {
		return err
	}
	return Counts{Counts: w.Counts}.Check()
}

// RunReply answers Want. A refusal says when to come back.
type RunReply struct {
	Request id.Request     `protobuf:"bytes,1,opt,name=request"`
	OK      bool           `protobuf:"varint,2,opt,name=ok"`
	Wait    int64          `protobuf:"varint,3,opt,name=wait"` // nanoseconds
	Print   id.Fingerprint `protobuf:"varint,4,opt,name=print"`
}

// Check reports a malformed message.
func (g RunReply) Check() error { return checkRequestID(g.Request) }

// PromiseRequest asks a node to promise that it lets nobody else run the fingerprint for the length of a hold.
type PromiseRequest struct {
	Print id.Fingerprint `protobuf:"varint,1,opt,name=print"`
	Round uint64         `protobuf:"varint,2,opt,name=round"` // of the holder's incarnation
	// Counts tells a node that has not heard of the crash why it is asked.
	Counts []Count `protobuf:"bytes,3,rep,name=counts"`
}

// Check reports a malformed message.
func (h PromiseRequest) Check() error { return Counts{Counts: h.Counts}.Check() }

// PromiseReply answers Hold.
type PromiseReply struct {
	Print id.Fingerprint `protobuf:"varint,1,opt,name=print"`
	Round uint64         `protobuf:"varint,2,opt,name=round"`
	OK    bool           `protobuf:"varint,3,opt,name=ok"`
}

// Check accepts every value.
func (PromiseReply) Check() error { return nil }

// Release ends the promise of a round, or tells the holder that a request's attempt has ended.
type Release struct {
	Print   id.Fingerprint `protobuf:"varint,1,opt,name=print"`
	Round   uint64         `protobuf:"varint,2,opt,name=round"`
	Request id.Request     `protobuf:"bytes,3,opt,name=request"` // set towards the holder
	Counts  []Count        `protobuf:"bytes,4,rep,name=counts"`  // what the attempt has shown
}

// Check reports a malformed message.
func (f Release) Check() error {
	if len(f.Request) > maxNameLen {
		return errors.New("free: bad request name")
	}
	return Counts{Counts: f.Counts}.Check()
}

func checkRequestID(r id.Request) error {
	if r == "" || len(r) > maxNameLen {
		return errors.New("bad request name")
	}
	return nil
}
