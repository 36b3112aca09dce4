// Package bytecount counts the bytes that are read from and written to connections, for a node's metrics.
package bytecount
