// Package quarantine limits the damage done by requests that crash the backend servers that run them.
//
// Crashes are counted by the request's fingerprint, in a grow-only counter for each incarnation, and gossiped to all
// nodes. A request with one crash is a suspect: over all nodes, only one request with its fingerprint runs at a time. A
// request with two crashes is refused. One node coordinates the suspects of a fingerprint: it lets the next one run once
// all nodes have promised to let no other coordinator run one.
package quarantine
