// Package loadshare exchanges between nodes the work that their attempts have in progress at each server.
//
// With many nodes, each of them has far fewer than one request at a server, so that its own attempts are a poor estimate of the
// server's load. One node in each failure domain, the relay, adds up the work of the nodes of its domain, exchanges the sums with
// the relays of the other domains, and sends the total to the nodes of its domain. The number of messages thus grows with the
// number of nodes, not with its square, and only sums are sent between failure domains.
//
// The relay is the first node of its domain in an order by size and hash that answers. There is no election: a node that
// receives work of another node relays it, and a node whose relay is silent sends its work to the next one. While no requests of
// known size arrive, nothing is sent.
package loadshare
