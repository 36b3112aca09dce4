// Package gateway serves callers over HTTP and forwards their requests to backend servers, as the decision logic says.
//
// What headers mean is left to a Dialect, so that the package knows no platform's names.
package gateway
