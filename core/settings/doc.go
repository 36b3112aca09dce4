// Package settings implements the settings tree: parsing, validation, inheritance, and the parts in which the tree is
// stored and sent to nodes.
//
// A tree is immutable. Workspaces are spread over 256 buckets by a hash of their name, so that a change to one
// workspace parses and transfers only one small part. The package also parses the settings of one node and of one
// gateway process.
package settings
