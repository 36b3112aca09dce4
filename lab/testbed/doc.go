// Package testbed starts what a deployment needs besides its nodes in one process: the platform stand-in, model runners
// and plain services.
package testbed
