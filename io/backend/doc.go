// Package backend is the client of backend servers: attempts, cancellations, load reports, cache events and orders.
package backend
