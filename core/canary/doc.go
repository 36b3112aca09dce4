// Package canary shifts a pool's traffic from one version to another in steps, as far as the results of the new version
// allow, and rolls bad versions back.
//
// A rollout is an object on the platform. One node at a time holds its lease and is its controller, which alone raises the
// share of the new version. Every node can stop a rollout: nodes exchange results and stops by gossip.
package canary
