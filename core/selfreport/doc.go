// Package selfreport keeps what backend servers say of themselves in their responses, and says when they may get requests.
//
// A server in need names the requests per second that it takes from all nodes together. Each node keeps to a share of them,
// which needs no messages, so that the limit holds even while nodes cannot reach each other. If there are more nodes than
// requests to share, some nodes have none; they hear from the others whether the limit still holds, and if these are silent,
// they send a request now and then themselves, one after another.
//
// A server that is leaving gets no requests any more, whatever it says later or its entry in the store says.
//
// A server that turns a request away may want no more from the same node for some time.
//
// Nodes tell each other of limits and of servers that are leaving at once, because a server that is in need answers slowly,
// and some nodes seldom send to it. What a server said belongs to the process that said it, and ends with it.
package selfreport
