// Package config distributes the configuration: it commits changes on the platform, watches for them, spreads the
// revision among the nodes and pulls changed parts from peers.
//
// A change is accepted when the conditional update of the head object has succeeded. The head names the digest of
// every part, and the parts are immutable, so a part may come from any node.
package config
