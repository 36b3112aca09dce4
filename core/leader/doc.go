// Package leader chooses the node that schedules work for all nodes.
//
// Every node ranks all nodes in the same order and follows the first one that answers it and may lead; a node that has just
// started leaves the lead to the one that has it. Two nodes may follow different leaders while they cannot reach each
// other; the work of a leader must bear that.
package leader
