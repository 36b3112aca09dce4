// Package event defines the interface of a node's decision logic: its input events and its output actions.
//
// Decision packages implement Step(now, event) []Action. They are deterministic state machines: they start no goroutines,
// do no I/O and read no clock.
package event
