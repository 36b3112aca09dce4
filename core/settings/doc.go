// Package settings holds the settings tree: its syntax, its checks, inheritance, and the parts in which it travels.
//
// A tree is immutable. Workspaces are spread over 256 buckets by a hash of their name, so that a change of one
// workspace parses and transfers one small part.
package settings
