// Package retry holds the timer of an operation that is tried again with growing pauses.
package retry
