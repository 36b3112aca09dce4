// Package ratelimit bounds rates that hold for all nodes together, by a fixed share for each node.
//
// A share needs no messages, so that the bound holds also while nodes cannot reach each other.
package ratelimit
