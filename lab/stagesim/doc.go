// Package stagesim plays the batched stages of requests on servers that are simulated, with a clock of its own.
//
// It compares policies of package batch on the same arrivals, without a network and in a fraction of the time.
package stagesim
