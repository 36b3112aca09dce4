// Package domain keeps the states of failure domains: it drains and restores domains, and merges the records of
// different nodes.
//
// A change is a conditional update of one object on the platform. A node that cannot reach the platform accepts a
// drain provisionally, sends it to the other nodes at once and commits it later. A restore brings new work to a domain
// and therefore needs the platform.
package domain
