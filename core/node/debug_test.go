package node_test

import (
	"fmt"
	"testing"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/prove"
)

var debugHook = func(s *system) {}

func TestDebug(t *testing.T) {
	names := map[id.Request]bool{}
	debugHook = func(s *system) {
		outside := s.Outside
		s.World.Outside = func(w *prove.World, from id.Node, a event.Action) {
			switch a := a.(type) {
			case event.Log:
				if a.Kind == "guard" || a.Kind == "crash" || names[a.Request] {
					fmt.Println(w.Now.Sub(prove.Epoch), from, a.Kind, a.Request, a.Stage, a.Choice, "|", a.Reason)
				}
			case event.Dispatch:
				if string(a.Input) == "poison" {
					names[a.Request] = true
					fmt.Println(w.Now.Sub(prove.Epoch), from, "dispatch", a.Request, a.Stage, a.Server, a.Attempt)
				}
			}
			outside(w, from, a)
		}
	}
	s := runFaults(15, faults[0], faults[14])
	fmt.Println(s.callers.Tally(), s.backends.Crashes)
	debugHook = func(s *system) {}
}
