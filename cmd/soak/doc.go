// Package soak contains a test that runs gateways as separate processes, injects faults according to a random plan, and
// checks the guarantees of the system from what callers and servers see.
package soak
