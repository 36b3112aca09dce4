// Package proxy implements the decision logic of a gateway node, which forwards callers' requests to backend servers.
//
// A Gateway combines the packages that cache the store's objects, track the fleet, follow the leader and schedule stages,
// and it holds the open requests of its node.
package proxy
