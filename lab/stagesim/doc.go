// Package stagesim simulates the batched stages of requests, with simulated servers and virtual time.
//
// It compares policies of package batch on the same arrivals, without a network and much faster than in real time.
package stagesim
