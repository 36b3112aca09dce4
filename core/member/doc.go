// Package member maintains a node's view of the other nodes and of the backend servers.
//
// A node sends heartbeats to all nodes of its own failure domain and to a few nodes of each other domain. A heartbeat also
// relays how long ago other nodes were last heard from, so that every node learns of every other one. Node records and the
// markers of leaving backend servers spread by gossip: heartbeats carry digests, and a node queries what it lacks.
package member
