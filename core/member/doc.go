// Package member holds a node's view of the other nodes and of the backend servers.
package member
