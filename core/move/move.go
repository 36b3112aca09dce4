package move

import (
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

type (
	// Option changes a default of New.
	Option func(*Moves)
	// Moves holds the rollouts that a node knows.
	Moves struct{}
	// Status is the state of one rollout.
	Status struct{}
	// Begin asks for a rollout that is finished or taken back by a given time.
	Begin struct {
		event.Command
		Name     string
		Pool     id.Pool
		From, To id.Version
		By       time.Time
	}
	// Sample is the outcome of one attempt.
	Sample struct {
		Pool     id.Pool
		Version  id.Version
		Pipeline id.Pipeline
		Took     time.Duration
		Failed   bool
		Load     int // attempts of the node in flight when it was sent
	}
)

// New returns the rollouts of a node.
func New(event.Self, ...Option) *Moves { return &Moves{} }

// Step handles one event.
func (*Moves) Step(_ time.Time, ev event.Event) []event.Action {
	if b, ok := ev.(Begin); ok {
		return []event.Action{event.Answer{Number: b.Number, Fault: &event.Problem{Kind: event.Refused, Detail: "rollouts are not decided yet"}}}
	}
	return nil
}

// Next returns the time of the next timer, zero for none.
func (*Moves) Next() time.Time { return time.Time{} }

// Choose returns the version that serves a request, empty for any.
func (*Moves) Choose(time.Time, id.Pool, id.Fingerprint, id.Pipeline) id.Version { return "" }

// Observe takes in the outcome of an attempt.
func (*Moves) Observe(time.Time, Sample) []event.Action { return nil }

// Status returns the rollouts in the order of their names.
func (*Moves) Status() []Status { return nil }
