// Package probe measures single decisions of whole nodes that the load of an experiment does not show: the latency that a node adds, and the way of a configuration to all nodes.
package probe
