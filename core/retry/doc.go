// Package retry provides a timer for operations that are retried with exponential backoff.
package retry
