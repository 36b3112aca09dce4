package node_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/node"
	"bluebellflow/core/typename"
)

func outerNames[T any](values []T) []string {
	var out []string
	for _, v := range values {
		out = append(out, typename.Of(v))
	}
	return out
}

// TestOuterNames guards against a renamed Go type that changes the name of an operator command or a message body outside
// the process. A renamed type needs an entry in the table of package typename; the names here stay.
func TestOuterNames(t *testing.T) {
	g := NewWithT(t)
	g.Expect(outerNames(node.Commands())).To(Equal([]string{
		"node.Status",
		"node.Explain",
		"node.Issue",
		"node.Read",
		"config.Apply",
		"domain.Drain",
		"domain.Restore",
		"move.Begin",
	}))
	// The administration API gives this command, which Commands leaves out.
	g.Expect(typename.Of(node.ListRollouts{})).To(Equal("node.Moves"))
	g.Expect(outerNames(node.Bodies())).To(Equal([]string{
		"member.Beat",
		"member.Ask",
		"member.Tell",
		"config.Have",
		"config.Ask",
		"config.Offer",
		"config.Fetch",
		"config.Supply",
		"domain.Sum",
		"domain.Records",
		"claim.Want",
		"claim.Told",
		"claim.Query",
		"claim.Outcome",
		"claim.Stored",
		"crash.Counts",
		"crash.Want",
		"crash.Given",
		"crash.Hold",
		"crash.Held",
		"crash.Free",
		"permit.Need",
		"permit.Grant",
		"permit.State",
		"permit.Query",
		"permit.Holding",
		"move.Beat",
		"move.Ask",
		"move.Told",
		"node.Ask",
		"node.Tell",
	}))
}
