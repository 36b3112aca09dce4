// Package event is the boundary of a node's decision logic: the events that go in and the actions that come out.
//
// Decision packages implement Step(now, event) []Action. They start no goroutine, do no I/O and read no clock.
package event
