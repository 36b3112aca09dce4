package node

import (
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/route"
	"bluebellflow/core/settings"
)

// maxKeys is the largest number of one-time keys that one command may request.
const maxKeys = 1000

type (
	// Status requests the state of the system as this node sees it.
	Status struct {
		event.Command
		Seen id.Revision // newest revision that the operator has seen; the answer waits until this node has it
	}
	// ListRollouts requests the rollouts that the node knows.
	ListRollouts struct{ event.Command }
	// Explain requests the effective value of a setting and the ancestor that it is inherited from.
	Explain struct {
		event.Command
		Workspace id.Workspace
		Pipeline  id.Pipeline
		Domain    id.FailureDomain
		Key       string
		Seen      id.Revision
	}
	// IssueKeys requests one-time keys.
	IssueKeys struct {
		event.Command
		Count int
	}
	// ReadConfig requests the configuration in force.
	ReadConfig struct {
		event.Command
		Seen id.Revision
	}
)

// Configuration is the answer to ReadConfig.
type Configuration struct {
	Revision id.Revision       `json:"revision"`
	Parts    map[string][]byte `json:"parts"`
}

func (n *Node) explain(ev Explain) event.Action {
	found, err := n.config.Tree().Explain(ev.Workspace, ev.Pipeline, ev.Domain, ev.Key)
	if err != nil {
		return event.CommandResult{Number: ev.Number, Fault: &event.Problem{Kind: event.ProblemInvalid, Detail: err.Error()}}
	}
	return event.CommandResult{Number: ev.Number, Value: found}
}

func (n *Node) issueKeys(now time.Time, ev IssueKeys) event.Action {
	if ev.Count < 1 || ev.Count > maxKeys {
		return event.CommandResult{Number: ev.Number, Fault: &event.Problem{Kind: event.ProblemInvalid, Detail: "count: want 1 to 1000"}}
	}
	return event.CommandResult{Number: ev.Number, Value: n.claims.IssueKeys(now, ev.Count)}
}

// poolLimits returns how many attempts a cold and a warm server of each pool can handle.
func poolLimits(tree *settings.Tree) route.PoolLimits {
	limits := route.PoolLimits{Cold: map[id.Pool]int{}, Warm: map[id.Pool]int{}}
	for _, name := range tree.Pools() {
		if p, ok := tree.Pool(name); ok {
			limits.Cold[name] = p.Cold
			limits.Warm[name] = p.Warm
		}
	}
	return limits
}
