// Package leader elects the node that schedules work for all nodes.
//
// All nodes rank the candidates in the same order. Each node follows the highest-ranked candidate that answers its pings
// and is ready to lead. A node that has just started does not replace the current leader.
//
// There is no consensus: nodes that cannot reach each other may follow different leaders, and the work of a leader must
// tolerate that.
package leader
