// Package proxy is the decision logic of a gateway node: it forwards callers' requests to backend servers.
//
// A Gate composes the packages that keep the copies of the store, the fleet, the leader and the stages, and it holds
// the requests that are open on its node.
package proxy
