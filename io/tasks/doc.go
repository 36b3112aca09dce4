// Package tasks runs a bounded number of goroutines that are canceled and awaited together.
package tasks
