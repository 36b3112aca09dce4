package batch

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"bluebellflow/core/catalog"
	"bluebellflow/core/dag"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/selfreport"
)

// Limits of a message; a peer that exceeds them is not a bluebellflow node.
const (
	maxStages = catalog.MaxStages
	maxPieces = 4096
)

// Stage describes a stage of a job.
type Stage struct {
	Pool   id.Pool  `protobuf:"bytes,1,opt,name=pool"`
	After  []uint32 `protobuf:"varint,2,rep,name=after"` // indexes of the stages whose results it reads
	Pieces uint32   `protobuf:"varint,3,opt,name=pieces"`
	Bytes  uint64   `protobuf:"varint,4,opt,name=bytes"` // approximate size of the result of a piece
}

// Submit asks the leader to run the stages of a request. Times are durations in nanoseconds, because the clocks of nodes
// differ.
type Submit struct {
	Ticket      uint64           `protobuf:"varint,1,opt,name=ticket"`
	Request     id.Request       `protobuf:"bytes,2,opt,name=request"`
	Route       string           `protobuf:"bytes,3,opt,name=route"`
	Stages      []Stage          `protobuf:"bytes,4,rep,name=stages"`
	Key         string           `protobuf:"bytes,5,opt,name=key"`
	Left        int64            `protobuf:"varint,6,opt,name=left"` // until the deadline
	Aim         int64            `protobuf:"varint,7,opt,name=aim"`  // until the objective; negative if it is past
	Rest        int64            `protobuf:"varint,8,opt,name=rest"` // expected time from the end of the stages to the first event of the response
	Priority    uint32           `protobuf:"varint,9,opt,name=priority"`
	Value       uint64           `protobuf:"varint,10,opt,name=value"`              // size of the request in tokens
	Prefer      id.FailureDomain `protobuf:"bytes,11,opt,name=prefer"`              // where the last results will be read
	PreAccepted bool             `protobuf:"varint,12,opt,name=again" json:"Again"` // another leader has accepted it, in class Class
	Class       uint32           `protobuf:"varint,13,opt,name=class"`
	Made        []PriorResult    `protobuf:"bytes,14,rep,name=made"`    // results that other leaders have obtained
	Insist      bool             `protobuf:"varint,15,opt,name=insist"` // run it even if this node does not lead
	// RoutePriority is the priority of the route, which orders requests whose callers have the same Priority.
	RoutePriority uint32 `protobuf:"varint,16,opt,name=urgency"`
}

// Check reports whether the message is well formed.
func (s Submit) Check() error {
	if s.Request == "" || len(s.Stages) == 0 || len(s.Stages) > maxStages {
		return fmt.Errorf("submit: invalid request %q with %d stages", s.Request, len(s.Stages))
	}
	if s.Class > uint32(classSecond) {
		return fmt.Errorf("submit: unknown class %d", s.Class)
	}
	for i, stage := range s.Stages {
		if stage.Pool == "" || stage.Pieces > maxPieces || len(stage.After) > len(s.Stages) {
			return fmt.Errorf("submit: invalid stage %d: pool %q, %d pieces", i, stage.Pool, stage.Pieces)
		}
		for _, pred := range stage.After {
			if pred >= uint32(len(s.Stages)) {
				return fmt.Errorf("submit: stage %d depends on stage %d, which does not exist", i, pred)
			}
		}
	}
	if _, err := s.stageOrder(); err != nil {
		return fmt.Errorf("submit: stages %w", err)
	}
	if err := checkPriorResults(s.Made, len(s.Stages), func(stage uint32) uint32 { return s.Stages[stage].Pieces }); err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	return nil
}

// stageOrder returns the indexes of the stages in an order in which each one follows those that it depends on.
func (s Submit) stageOrder() ([]int, error) {
	return dag.Order(len(s.Stages), func(i int) []uint32 { return s.Stages[i].After })
}

// Done answers a Submit: the results of the stages that no other stage follows.
type Done struct {
	Ticket  uint64   `protobuf:"varint,1,opt,name=ticket"`
	Results []Result `protobuf:"bytes,2,rep,name=results"`
}

// Result tells where the result of a piece is kept.
type Result struct {
	Handle string    `protobuf:"bytes,1,opt,name=handle"`
	Server id.Server `protobuf:"bytes,2,opt,name=server"`
}

// Check reports whether the message is well formed.
func (d Done) Check() error {
	if len(d.Results) > maxStages*maxPieces {
		return fmt.Errorf("done: too many results: %d", len(d.Results))
	}
	for _, r := range d.Results {
		if r.Handle == "" {
			return errors.New("done: result without a handle")
		}
	}
	return nil
}

// Failed answers a Submit whose stages will not be completed.
type Failed struct {
	Ticket uint64 `protobuf:"varint,1,opt,name=ticket"`
	Reason string `protobuf:"bytes,2,opt,name=reason"`
	After  int64  `protobuf:"varint,3,opt,name=after"` // time until the caller may retry, in nanoseconds
}

// Check accepts every message.
func (f Failed) Check() error { return nil }

// Release ends a job: its results were read, or its caller has gone.
type Release struct {
	Ticket uint64 `protobuf:"varint,1,opt,name=ticket"`
	Read   bool   `protobuf:"varint,2,opt,name=read"` // the results were used
}

// Check accepts every message.
func (r Release) Check() error { return nil }

// Item is a piece in a call.
type Item struct {
	Request id.Request
	Stage   int
	Piece   int
	Left    time.Duration // until its request's deadline
	Key     string        // for a stage that reads no results
	Inputs  []string      // handles of the results it reads
}

// Reason tells why a piece has no result.
type Reason uint8

const (
	// ReasonLate means that the deadline passed before the server began with the piece.
	ReasonLate Reason = iota + 1
	// ReasonInputMissing means that an input no longer exists.
	ReasonInputMissing
	// ReasonServerFull means that the server has no memory for the result.
	ReasonServerFull
	// ReasonFailed means that the piece failed.
	ReasonFailed
)

// Outcome is the outcome of a piece: the handle of its result, or the reason why there is none.
type Outcome struct {
	Handle string
	Reason Reason
}

type (
	// StartCall asks for a call to a stage server.
	StartCall struct {
		event.Out
		Call    uint64
		Server  Target
		Items   []Item
		Timeout time.Duration
	}
	// CallEnded reports the end of a call. Outcomes is empty if Fail is set.
	CallEnded struct {
		event.In
		Call     uint64
		Outcomes []Outcome
		Fail     event.FailKind
		Detail   string
		Answered bool // the server has answered, and Report is set
		selfreport.Report
	}
	// FreeFailed reports that results could not be freed; the server discards them when they expire.
	FreeFailed struct {
		event.In
		Server id.Server
		Detail string
	}
	// FreeResults tells a server to discard results.
	FreeResults struct {
		event.Out
		Server  Target
		Handles []string
	}
)

// Target identifies a server and its address.
type Target struct {
	ID   id.Server
	Addr netip.AddrPort
}
