// Package load is an open-loop load generator for the callers' interface.
//
// Each request is sent at its planned time regardless of outstanding answers, and latency is measured from that time.
// A slow system therefore cannot hide its delays by slowing down the generator (coordinated omission).
package load
