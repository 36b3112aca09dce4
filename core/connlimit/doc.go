// Package connlimit decides how many connections a node may have to a server that limits the connections of all nodes
// together, which idle connections it closes, and when a request may be written to a new connection.
//
// Nodes exchange no messages about connections: each node keeps to its share of the limit.
package connlimit
