// Package gateway serves callers over HTTP and forwards their requests to backend servers, as decided by the decision
// logic (core/proxy).
//
// A Dialect reads and writes the platform's headers, so that this package does not depend on their names.
package gateway
