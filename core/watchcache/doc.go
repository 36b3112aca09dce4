// Package watchcache caches the object kinds of the platform's store that a node needs.
//
// The copy of a kind is filled by a list and a watch of the store, and by other nodes while the store is unreachable. The
// store has one revision counter for all changes: of two copies of an era, the one with the higher revision is newer, and a copy
// never returns to an older revision of its era.
//
// The store may come back from a copy that lacks its latest changes. It then begins a new era, in which it gives revisions out
// again. Everything from the store and from peers belongs to an era: the copies of a lower era are replaced whatever their
// revisions, and messages of a lower era are ignored.
//
// A kind is settled once the store has been reachable for SettleTime, and no sooner than that after its first list in an era.
// Deletions seen before that may be objects that expired while the store was unreachable, or that it has lost.
package watchcache
