// Package quarantine contains requests that crash the backend servers that run them.
//
// Crashes are counted by the request's fingerprint, in grow-only counters for each incarnation, and
// spread to all nodes. After one crash the request runs alone over all nodes, after two it is refused.
package quarantine
