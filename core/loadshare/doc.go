// Package loadshare tells the nodes what work other nodes have in progress at each server.
//
// With many nodes, each of them has far fewer than one request at a server, so that the work of its own attempts says little of the
// load there. One node in each failure domain, the relay, adds up the work of the nodes of its domain, exchanges the sums with the
// relays of the other domains, and tells the nodes of its domain the sum of all. So the messages grow with the number of nodes, not
// with its square, and only sums cross the border of a failure domain.
//
// The relay is the first node of its domain in an order by size and hash that answers. There is no election: whoever is told of
// work relays it, and a node whose relay is silent tells the next one. While no requests of known size arrive, nothing is sent.
package loadshare
