// Package roster maintains the list of gateway nodes in the platform's store, through which nodes find each other.
package roster
