// Package runtime is a node's event loop: it steps the decision logic and has its actions carried out.
package runtime
