// Package wire encodes and decodes the messages between nodes: a protobuf envelope with a typed body of a decision package.
package wire
