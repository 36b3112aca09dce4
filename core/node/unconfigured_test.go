package node_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/node"
)

// TestUnconfigured guards against a node without configuration that rejects a valid request as invalid, or reports a key
// as not run that may have been used through another node.
func TestUnconfigured(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for key, want := range map[string]event.ProblemKind{"": event.ProblemRefused, "loan-1": event.ProblemUnknown} {
		t.Run("key "+key, func(t *testing.T) {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(1, 1))
			n := node.New(event.Self{Node: "n", Incarnation: id.NewIncarnation(rng), FailureDomain: "d0", Region: "south", Rand: rng})
			out := n.Step(now, event.RequestArrived{Request: "r.1", Workspace: "north", Pipeline: "loan", Key: key, Deadline: now.Add(time.Second)})
			g.Expect(out).To(ContainElement(event.Reply{Request: "r.1", End: true, Problem: &event.Problem{
				Kind: want, Detail: "this node has no configuration yet", RetryAfter: time.Second,
			}}))
		})
	}
}
