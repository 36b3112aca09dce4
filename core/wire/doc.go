// Package wire encodes the messages between nodes: one protobuf envelope around the typed bodies of the decision packages.
package wire
