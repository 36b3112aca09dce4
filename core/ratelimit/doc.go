// Package ratelimit enforces rate limits over all nodes by giving each node a fixed share.
//
// A share needs no messages, so that the limits hold even while nodes cannot reach each other.
package ratelimit
