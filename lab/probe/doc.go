// Package probe measures properties of complete nodes that the load of an experiment does not show: the latency that
// a node adds to a request, and the propagation of configuration changes to all nodes.
package probe
