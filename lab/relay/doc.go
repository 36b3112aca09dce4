// Package relay is a fleet of entry nodes without any control, the lower bound that experiments compare with.
//
// A relay calls the stages of a pipeline one after another, each on the next server of the pool.
// It knows no cold servers, keys, versions or failure domains, and it queues nothing.
package relay
