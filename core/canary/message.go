package canary

import (
	"errors"
	"fmt"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
)

// State is the state of a rollout.
type State string

const (
	// Running means that traffic shifts as the evidence allows.
	Running State = "running"
	// Stopping means that the version is bad and that nodes may still have to learn of it.
	Stopping State = "stopping"
	// Done means that all traffic goes to the new version and that the old one has nothing in flight.
	Done State = "done"
	// RolledBack means that all nodes heard from give the new version no traffic.
	RolledBack State = "back"
)

// Record is the content of a rollout's object.
type Record struct {
	Name        string         `json:"name"`
	Pool        id.Pool        `json:"pool"`
	From        id.Version     `json:"from"`
	To          id.Version     `json:"to"`
	Deadline    time.Time      `json:"by"`
	Began       time.Time      `json:"began"`
	CommandID   string         `json:"order"` // identifies the operator's command, to read back a lost answer
	State       State          `json:"state"`
	Share       int            `json:"share"` // thousandths
	Fence       uint64         `json:"fence"`
	Holder      id.Node        `json:"holder"`
	Incarnation id.Incarnation `json:"incarnation"`
	Renewed     time.Time      `json:"renewed"`
	Reason      string         `json:"reason,omitempty"`
}

// Sample is the result of one attempt.
type Sample struct {
	Pool    id.Pool
	Version id.Version
	evidence.Sample
}

// Begin is an operator's command to start a rollout.
type Begin struct {
	event.Command
	Name     string
	Pool     id.Pool
	From     id.Version
	To       id.Version
	Deadline time.Time
}

// Status is what a node knows of a rollout.
type Status struct {
	Record
	Applied  int     `json:"applied"` // this node's own share in thousandths
	Stopped  bool    `json:"stopped"`
	Complete bool    `json:"complete"` // the evidence allows more than the first steps
	Score    float64 `json:"score"`    // highest score of the tests; the version is bad at 10
}

// Limits of what a peer may send.
const (
	maxRollouts = 64
	maxText     = 256
)

// RolloutProgress is what a node knows of a rollout.
type RolloutProgress struct {
	Name    string          `protobuf:"bytes,1,opt,name=name"`
	Version uint64          `protobuf:"varint,2,opt,name=version"` // of the object
	Applied int64           `protobuf:"varint,3,opt,name=applied"`
	Stopped bool            `protobuf:"varint,4,opt,name=stopped"`
	Reason  string          `protobuf:"bytes,5,opt,name=reason"`
	Cells   []evidence.Cell `protobuf:"bytes,6,rep,name=cells"`
}

// Gossip spreads evidence, stops and shares.
type Gossip struct {
	Rollouts []RolloutProgress `protobuf:"bytes,1,rep,name=marks"`
}

// Check reports a malformed message.
func (b Gossip) Check() error {
	if len(b.Rollouts) > maxRollouts {
		return errors.New("beat: too many rollouts")
	}
	for _, m := range b.Rollouts {
		if m.Name == "" || len(m.Name) > maxText || len(m.Reason) > maxText || len(m.Cells) > evidence.MaxCells {
			return errors.New("beat: bad rollout")
		}
		for _, c := range m.Cells {
			if err := c.Check(); err != nil {
				return fmt.Errorf("beat: %w", err)
			}
		}
	}
	return nil
}
