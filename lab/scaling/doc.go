// Package scaling measures what nodes cost as the fleet grows, by running pure nodes in virtual time.
//
// The stand-ins for backend servers here answer every attempt after a fixed time. They are simpler than those of core/prove,
// because only the cost of the nodes is measured.
package scaling
