// Package load is an open-loop load generator for the callers' interface.
//
// Requests are sent at their planned time however slow the answers are, and latency counts from that time,
// so a slow system cannot hide its delays by slowing down the generator.
package load
