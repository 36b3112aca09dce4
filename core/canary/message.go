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
	// Running means that traffic shifts to the new version as the evidence allows.
	Running State = "running"
	// Stopping means that the rollout was stopped, but that some nodes may not know yet.
	Stopping State = "stopping"
	// Done means that all traffic goes to the new version and that the old one has nothing in flight.
	Done State = "done"
	// RolledBack means that no reachable node gives the new version any traffic.
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
	CommandID   string         `json:"order"` // identifies the operator's command, to tell after a lost answer whether it took effect
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
	Deadline time.Time `json:"By"`
}

// Status is a node's view of a rollout.
type Status struct {
	Record
	Applied  int     `json:"applied"` // this node's own share in thousandths
	Stopped  bool    `json:"stopped"`
	Complete bool    `json:"complete"` // the evidence allows more than maxUnprovenShare
	Score    float64 `json:"score"`    // highest score of the tests; the version is bad from 10 (evidence.BadScore) on
}

// Limits on messages from peers.
const (
	maxRollouts = 64
	maxText     = 256
)

// RolloutProgress is the part of Gossip about one rollout.
type RolloutProgress struct {
	Name    string          `protobuf:"bytes,1,opt,name=name"`
	Version uint64          `protobuf:"varint,2,opt,name=version"` // of the object
	Applied int64           `protobuf:"varint,3,opt,name=applied"`
	Stopped bool            `protobuf:"varint,4,opt,name=stopped"`
	Reason  string          `protobuf:"bytes,5,opt,name=reason"`
	Cells   []evidence.Cell `protobuf:"bytes,6,rep,name=cells"`
}

// Gossip tells other nodes the sender's evidence, stops and shares.
type Gossip struct {
	Rollouts []RolloutProgress `protobuf:"bytes,1,rep,name=marks" json:"Marks"`
}

// Check reports a malformed message.
func (g Gossip) Check() error {
	if len(g.Rollouts) > maxRollouts {
		return errors.New("canary: too many rollouts in gossip")
	}
	for _, p := range g.Rollouts {
		if p.Name == "" || len(p.Name) > maxText || len(p.Reason) > maxText || len(p.Cells) > evidence.MaxCells {
			return errors.New("canary: gossip without rollout name or beyond size limits")
		}
		for _, c := range p.Cells {
			if err := c.Check(); err != nil {
				return fmt.Errorf("canary: gossip: %w", err)
			}
		}
	}
	return nil
}
