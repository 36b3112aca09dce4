// Package runtime implements a node's event loop, which passes events to the decision logic and executes the resulting
// actions.
package runtime
