// Package scaling measures how the processor, memory and message costs of nodes grow with the size of the fleet.
//
// It steps real nodes in virtual time, without a network. The simulated backend servers answer every attempt after a fixed
// time; they are simpler than those of core/simulation, since only the cost of the nodes is measured.
package scaling
