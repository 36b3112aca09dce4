// Package membudget bounds what callers' requests and the responses of backend servers take in memory together.
//
// A limit for each request or response is not enough: callers that send bodies without their ends, and a server that sends
// bytes without end, take as many times the limit as there are connections.
package membudget
