// Package relay implements a fleet of entry nodes without any control, as the baseline that experiments compare with.
//
// A relay calls the stages of a pipeline one after another, each on the next server of the pool.
// It ignores cold servers, keys, versions and failure domains, and it has no queue.
package relay
