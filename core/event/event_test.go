package event_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
)

// countdownStep is an internal event that counts down.
type countdownStep struct {
	event.Internal
	remaining int
}

func countdown(ev event.Event) []event.Action {
	s, ok := ev.(countdownStep)
	if !ok || s.remaining == 0 {
		return nil
	}
	next := s.remaining - 1
	if s.remaining < 0 {
		next = s.remaining
	}
	return []event.Action{event.Log{Kind: "step"}, countdownStep{remaining: next}}
}

// TestPropagate guards against internal actions that are lost or carried out, and against a step that never ends.
func TestPropagate(t *testing.T) {
	g := NewWithT(t)
	out := event.Propagate(countdownStep{remaining: 3}, event.IsInternal, countdown)
	g.Expect(out).To(HaveLen(3))
	g.Expect(out).To(HaveEach(event.Log{Kind: "step"}))
	g.Expect(func() { event.Propagate(countdownStep{remaining: -1}, event.IsInternal, countdown) }).To(PanicWith(ContainSubstring("do not end")))
}
