package duty

import (
	"errors"
	"fmt"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// Kind is the kind of the lease objects in the store.
const Kind = "duties"

// maxNameLength bounds the name of a subject.
const maxNameLength = 512

// Duty is a kind of call to the control service. Its text is part of the names of objects in the store. Each duty needs a path in
// the client that carries out Call.
type Duty string

// Usage is the duty to report how many requests of each workspace servers have begun to run. It has one subject, without a
// name.
const Usage Duty = "usage"

// Scale is the duty to order servers. Each pair of pool and failure domain is a subject.
const Scale Duty = "scale"

// Subject is what one node at a time is responsible for. Name distinguishes the subjects of a duty.
type Subject struct {
	Duty Duty
	Name string
}

// separator stands between the duty and the name of a subject in the name of its object.
const separator = "."

// String returns the name of the subject's object in the store.
func (s Subject) String() string {
	if s.Name == "" {
		return string(s.Duty)
	}
	return string(s.Duty) + separator + s.Name
}

// Check returns an error if the subject cannot name an object.
func (s Subject) Check() error {
	if s.Duty == "" || len(s.String()) > maxNameLength {
		return fmt.Errorf("subject %q: no duty, or too long", s)
	}
	return nil
}

type (
	// WriteRecord requests to write a record under the lease of a subject, which is taken or renewed by the write. Recorded
	// follows once the write is confirmed, or Changed if another node has written instead. A later request for the same
	// subject replaces one that has not been started. Requests of a node that may not hold the lease yet wait; those of a
	// node that does not lead are dropped. Leases.NewRecord returns requests; Changed follows as well if the object has changed
	// since then, because the new record was computed from the earlier one.
	WriteRecord struct {
		event.Internal
		Subject Subject
		Record  []byte
		era     uint64 // of the store when the request was made
		base    uint64 // revision of the object at that time
	}
	// Recorded reports that the store holds a record of this node. The node may have lost the lease again if the confirmation
	// came late, which Leases.Holds shows.
	Recorded struct {
		event.Internal
		Subject Subject
		Token   uint64
		Record  []byte
	}
	// Changed reports that another node, or an earlier process of this node, has written the object of a subject, or that the
	// object was read for the first time or deleted, or that the store has come back from a copy. Requests to write that were based
	// on the earlier record are dropped.
	Changed struct {
		event.Internal
		Subject Subject
		Holder  id.Node
		Record  []byte
	}
	// Call makes a call to the control service. It must not be sent after Until, and no byte of it may arrive later. CallResult
	// follows in any case.
	Call struct {
		event.Out
		Subject Subject
		Token   uint64
		Number  uint64 // identifies the call within the process
		Until   time.Time
		Body    []byte // sent as it is
	}
	// CallResult reports the end of a Call.
	CallResult struct {
		event.In
		Subject    Subject
		Number     uint64
		Outcome    Outcome
		RetryAfter time.Duration // 0 if the service names none
		Detail     string
	}
	// Held reports to the I/O packages that this node has taken, renewed or lost the lease of a subject.
	Held struct {
		event.Out
		Subject Subject
		Token   uint64
		Held    bool
	}
)

// Outcome is the result of a call to the control service.
type Outcome uint8

const (
	// Accepted means that the service has carried out the call.
	Accepted Outcome = iota + 1
	// Throttled means that the service refused the call because of its rate limit.
	Throttled
	// Outdated means that the service refused the call because it has seen a higher token.
	Outdated
	// Rejected means that the service refused the call and will refuse it again.
	Rejected
	// Failed means that there was no response, or that the service could not carry out the call; it may have arrived.
	Failed
)

// String returns the name of the outcome in log lines and metrics.
func (o Outcome) String() string {
	return [...]string{"none", "accepted", "throttled", "outdated", "rejected", "failed"}[min(o, Failed)]
}

// errNoHolder means that an object does not name its holder and a valid token.
var errNoHolder = errors.New("lease without a holder or with an invalid token")
