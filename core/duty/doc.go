// Package duty decides when this node may make calls to the operator's control service that only one node at a time may make.
//
// Each subject, such as all usage reports or the size of one pool in one failure domain, has an object of kind Kind in the
// store. It names the holder, its fencing token, the most recent holders and a record of what the holder is about to do. It is
// written only under the condition of its revision. A write gives its writer the lease for Options.Lease, minus a margin,
// counted from the start of the write by the writer's monotonic clock. Another node takes over after it has seen the object
// unchanged for the whole lease, or at once if the holder has released it. A paused or partitioned holder thus stops by itself.
//
// Before other packages act, they emit the WriteRecord that Leases.NewRecord returns, and wait for Recorded. Then they emit the
// Call that Leases.Call returns, which the I/O packages carry out. The lease is taken and renewed only by these writes, because
// calls to the store incur a charge.
package duty
