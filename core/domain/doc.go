// Package domain holds the states of failure domains: drain, restore, and the merge of what different nodes know.
//
// A change is a conditional update of one object on the platform. A node that cannot reach the platform accepts a
// drain as provisional, spreads it at once and commits it later; a restore adds work and therefore needs the platform.
package domain
