// Package requestreply passes commands to the decision logic and waits for their results.
package requestreply
