// Package scalesim runs the autoscaling of nodes against a model of a pool in virtual time, without a network, under named
// load patterns. It tells what was ordered, what requests got and what the servers cost.
//
// The model has servers with slots and queues, a store, the control service, and nodes that run packages duty and autoscale.
package scalesim
