// Package scalesim simulates the autoscaling of a pool in virtual time, without a network, under named load patterns. It reports
// the orders, the outcome of the requests and the cost of the servers.
//
// The model has servers with slots and queues, a store, the control service, and nodes that run packages duty and autoscale.
package scalesim
