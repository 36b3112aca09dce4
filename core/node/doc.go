// Package node combines the decision packages into one node. Step takes an event and returns the resulting actions.
package node
