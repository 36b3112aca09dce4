package usage

import (
	"errors"
	"fmt"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	maxNameLength = 256
	// maxWindows and maxWorkspaces limit the lists in one message.
	maxWindows    = 64
	maxWorkspaces = 20_000
	// maxWindow bounds the number of a window. Windows of a second reach it after 30,000 years.
	maxWindow = 1 << 40
)

// Count is the number of requests of a workspace in a window.
type Count struct {
	Workspace id.Workspace `protobuf:"bytes,1,opt,name=workspace"`
	Requests  uint64       `protobuf:"varint,2,opt,name=requests"`
}

// WindowCounts holds all that the sender has counted in a window so far.
type WindowCounts struct {
	Window int64   `protobuf:"varint,1,opt,name=window"`
	Counts []Count `protobuf:"bytes,2,rep,name=counts"`
}

// Counts tells the leader and the next node in rank what the sender has counted. Windows that have not changed after message
// Since are left out, so that it completes the counts of a receiver that has all counts up to message Since.
type Counts struct {
	Seq      uint64         `protobuf:"varint,1,opt,name=seq"`
	Sent     int64          `protobuf:"varint,2,opt,name=sent"`     // nanoseconds since the start of the sender's process
	Clock    int64          `protobuf:"varint,3,opt,name=clock"`    // the sender's clock, in nanoseconds since the start of 1970
	Complete int64          `protobuf:"varint,4,opt,name=complete"` // the sender will count nothing more up to this window; 0 for none
	Windows  []WindowCounts `protobuf:"bytes,5,rep,name=windows"`
	Since    uint64         `protobuf:"varint,6,opt,name=since"`
}

// Check reports whether the message is well formed.
func (c Counts) Check() error {
	if len(c.Windows) > maxWindows || c.Sent < 0 || c.Clock < 0 || c.Complete < 0 || c.Complete > maxWindow {
		return fmt.Errorf("counts: %d windows, or a time out of range", len(c.Windows))
	}
	for _, w := range c.Windows {
		if w.Window < 0 || w.Window > maxWindow || len(w.Counts) > maxWorkspaces {
			return fmt.Errorf("counts: window %d with %d workspaces", w.Window, len(w.Counts))
		}
		for _, n := range w.Counts {
			if n.Workspace == "" || len(n.Workspace) > maxNameLength {
				return errors.New("counts: workspace missing or too long")
			}
		}
	}
	return nil
}

// Ack answers a Counts message.
type Ack struct {
	Seq  uint64 `protobuf:"varint,1,opt,name=seq"`  // the last message up to which all counts are known, 0 for none
	Sent int64  `protobuf:"varint,2,opt,name=sent"` // that of the answered message
	Time int64  `protobuf:"varint,3,opt,name=time"` // true time of its receipt in nanoseconds since the start of 1970; 0 if unknown
	Next int64  `protobuf:"varint,4,opt,name=next"` // counts of earlier windows are no longer needed
}

// Check reports whether the message is well formed.
func (a Ack) Check() error {
	if a.Sent < 0 || a.Time < 0 || a.Next < 0 || a.Next > maxWindow {
		return errors.New("answer to counts: value out of range")
	}
	return nil
}

type (
	// CountsSent reports that this node sends its counts to some nodes, so that other packages can send their own reports at
	// the same time.
	CountsSent struct {
		event.Internal
		To []id.Node
	}
	// Reported tells the I/O packages the outcome of a report, for metrics.
	Reported struct {
		event.Out
		Window   int64
		Repeated bool // the report may have been sent before
		Late     bool // its time is over and it was not accepted
	}
)
