// Package rollout moves the traffic of a pool to the version that an operator has ordered, or takes it back.
//
// The leader of all nodes decides: every node tells it how requests of both versions went, and gets back the share of the
// new version. The outcome is written to the order's status in the store, where every node reads it.
package rollout
