// Package membudget bounds what callers' requests and the responses of backend servers take in memory together.
//
// A limit for each request or response is not enough: with callers that never complete their bodies, or a server that sends without
// end, the memory taken is that limit times the number of connections.
package membudget
