// Package mesh carries messages between nodes: one yamux session for each pair, over TCP or mutual TLS.
package mesh
