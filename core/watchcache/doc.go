// Package watchcache caches the object kinds of the platform's store that a node needs.
//
// The copy of a kind is filled by a list and a watch of the store, and by other nodes while the store is unreachable. The
// store has one revision counter for all changes: of two copies, the one with the higher revision is newer, and a copy
// never returns to an older revision.
//
// A kind is settled once the store has been reachable for SettleTime. Deletions seen before that may be objects that
// expired while the store was unreachable.
package watchcache
