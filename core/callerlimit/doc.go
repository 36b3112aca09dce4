// Package callerlimit decides which callers' connections are refused or closed first when connections or memory run out.
//
// It decides only under pressure: below the limits every connection is admitted, whatever its address, because a load
// balancer makes the callers behind it look like one. Requests that may be running are never broken off.
package callerlimit
