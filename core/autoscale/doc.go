// Package autoscale decides how many servers each pool has in each failure domain, and orders them from the control service.
//
// Each node reports once a second what its requests ask of the pools that may be scaled: attempts in progress by failure
// domain, requests that wait for a server or were refused for want of one, and the load that servers report. The leader adds
// the reports up to one figure of demand for each pool, in requests in progress, and decides once a second.
//
// Servers are ordered at once if demand that has lasted for about the boot time needs more than there are. Shorter bursts end
// before the servers would start. One server at a time is given up, if the highest demand of a longer time fits into fewer
// servers, with room for the loss of a failure domain and for a burst.
//
// An order is recorded under the lease of package duty for its pool and failure domain before it is sent. The next leader
// continues from the record. An order that the service has not accepted is sent again, and only the latest one.
package autoscale
