package event_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
)

// step is an internal event that counts down.
type step struct {
	event.Internal
	left int
}

func count(ev event.Event) []event.Action {
	s, ok := ev.(step)
	if !ok || s.left == 0 {
		return nil
	}
	next := s.left - 1
	if s.left < 0 {
		next = s.left
	}
	return []event.Action{event.Log{Kind: "step"}, step{left: next}}
}

// TestSettle guards against internal actions that are lost or carried out, and against a step that never ends.
func TestSettle(t *testing.T) {
	g := NewWithT(t)
	out := event.Settle(step{left: 3}, event.IsInternal, count)
	g.Expect(out).To(HaveLen(3))
	g.Expect(out).To(HaveEach(event.Log{Kind: "step"}))
	g.Expect(func() { event.Settle(step{left: -1}, event.IsInternal, count) }).To(PanicWith(ContainSubstring("do not end")))
}
