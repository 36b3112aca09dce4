// Package rollout shifts the traffic of a pool to the version that an operator has ordered, or rolls it back.
//
// The leader of the nodes decides: every node reports the results of both versions to it and receives the share of
// traffic for the new version. The leader writes the outcome to the order's status in the store, where every node reads it.
package rollout
