// Package requestreply hands commands to the decision logic and waits for their answers.
package requestreply
