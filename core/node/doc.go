// Package node composes all decision packages into one node: events go into Step, actions come out.
package node
