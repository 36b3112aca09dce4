// Package autoscale decides how many servers each pool has in each failure domain, and orders them from the control service.
//
// Each node reports about once a second the demand of its requests on the pools that may be scaled: attempts in progress by
// failure domain, requests that wait for a server or were refused because none was available, and the load that servers report.
// The leader adds up the reports to one demand for each pool, in requests in progress, and decides once a second.
//
// Servers are ordered at once if demand that has lasted for about the boot time exceeds the capacity. Shorter bursts end before
// the servers would start. Servers are given up one at a time, if the highest demand of the last 45 s fits into fewer servers,
// with room for the loss of a failure domain and for a burst.
//
// An order is recorded under the lease of package duty for its pool and failure domain before it is sent. The next leader
// continues from the record. An order that the service has not accepted is sent again, and only the latest one.
package autoscale
