// Package mesh sends messages between nodes over one yamux session for each pair of nodes, on TCP or mutual TLS.
package mesh
