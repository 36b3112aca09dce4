// Package simulation is a deterministic simulator for tests: virtual time, a network and a platform with faults, and nodes
// that handle one event at a time.
//
// It does not model performance. The seed determines the order of events, and which messages are lost or repeated.
package simulation
