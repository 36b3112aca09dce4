// Package soak holds a test that runs gateways as separate processes, does to them what a drawn plan says, and checks the
// promises of the system from what callers and servers see.
package soak
