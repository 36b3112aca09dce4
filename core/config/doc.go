// Package config distributes the configuration: it commits changes on the platform, watches for them, gossips the
// current revision between nodes and fetches changed parts from peers.
//
// A change is accepted when the conditional update of the head object succeeds. The head lists the digest of every
// part. Parts are immutable and identified by digest, so a part may come from any node.
package config
