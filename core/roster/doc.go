// Package roster keeps the list of gateway nodes in the platform's store, so that they find each other.
package roster
