// Package usage counts how many requests of each workspace servers begin to run, and reports the counts of fixed windows of
// true time to the control service.
//
// Each node counts the requests that it forwards. It sends cumulative counts to the leader and to the next node in rank, so
// that repeated or reordered messages change nothing. The leader closes a window when all nodes have reported it completely,
// or after a time limit. It records the bytes of the report under the lease of package duty before it sends them; the next
// holder repeats recorded bytes and never computes a window again.
//
// True time is the median of the clocks of all nodes. The leader measures them by the messages with counts and tells each
// node the true time. Between these messages a node's time advances by its monotonic clock, so that jumps of its clock have
// no effect.
package usage
