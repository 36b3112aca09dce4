package node_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/node"
	"bluebellflow/core/simulation"
)

// TestLateRequestsAtStop guards against a stopping node that takes a request which may last longer than its grace period, and
// exits without an answer to it.
func TestLateRequestsAtStop(t *testing.T) {
	const grace = 6 * time.Second // requests have a deadline of 4 s
	for name, after := range map[string]time.Duration{"early": time.Second, "in the middle": 2500 * time.Millisecond, "late": 4500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSystemWith(1, node.WithGrace(grace))
			to := nodeName(0, 1)
			for _, server := range s.backends.Servers {
				server.TokenInterval = 450 * time.Millisecond // a stream takes 3.6 s
			}
			s.stop(to)
			for range int(after / time.Second) {
				s.send(to) // keeps the node from exiting before its grace period ends
				s.Run(time.Second)
			}
			s.Run(after - after.Truncate(time.Second))
			answer, action := s.send(to), s.send(to)
			s.Run(grace)
			g.Expect(s.Exited(to)).To(BeTrue())
			g.Expect(s.callers.Check(time.Second)).To(BeEmpty())
			if after < grace-4*time.Second {
				return
			}
			for _, req := range []*simulation.SentRequest{answer, action} {
				g.Expect(req.End).NotTo(BeNil())
				g.Expect(req.End.Problem).NotTo(BeNil())
				g.Expect(req.End.Problem.Kind).To(BeElementOf(event.ProblemRefused, event.ProblemUnknown))
				g.Expect(req.EndedAt.Sub(req.At)).To(BeNumerically("<", 100*time.Millisecond), "told at once")
			}
		})
	}
}
