// Package lines encodes events and actions as JSON lines, so that a process can drive the decision logic over a pipe.
package lines
