// Package watchcache keeps copies of the object kinds of the platform's store that a node needs.
//
// A copy is fed by a list and a watch of the store, and by other nodes when the store cannot be reached. The store has
// one revision counter for all changes, so that of two copies the one with the higher revision is the newer one, and a
// copy never goes back.
package watchcache
