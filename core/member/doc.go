// Package member holds a node's view of the other nodes and of the backend servers.
//
// Nodes send heartbeats to all nodes of their own failure domain and to a few nodes of each other domain. A heartbeat
// relays the age of the last sign of life of further nodes, so that every node knows every other one.
package member
