// Package lines encodes events and actions as JSON lines, to drive the decision logic over a pipe.
package lines
