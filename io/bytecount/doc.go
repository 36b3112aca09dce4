// Package bytecount counts the bytes of connections in a node's metrics.
package bytecount
