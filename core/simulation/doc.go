// Package simulation is the harness of the proofs: virtual time, a network and a platform with faults, and nodes that are stepped one event at a time.
//
// It makes no claim about performance; it only orders events, drops them and repeats them as its seed says.
package simulation
