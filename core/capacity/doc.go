// Package capacity estimates how long work waits for a pool of stage servers.
//
// Two things may bind a pool: the time of its workers, of which each call takes a fixed part that its pieces share, and the
// memory in which the workers keep results until they are read. Both are accounted for in a Demand. What already waits is
// ranked by urgency, so that a piece waits only for what is at least as urgent, and for the more urgent work that arrives
// meanwhile.
package capacity
