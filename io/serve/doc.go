// Package serve assembles a node from the decision logic and the packages that execute its actions.
package serve
