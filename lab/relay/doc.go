// Package relay implements a fleet of minimal entry nodes, the baseline that experiments compare policies with.
//
// A relay calls the stages of a pipeline one after another, each on the next server of the pool.
// It has no queue, ignores cold servers, versions and failure domains, and passes idempotency keys on without checking them.
package relay
