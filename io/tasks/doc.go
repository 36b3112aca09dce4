// Package tasks runs a bounded number of goroutines that end together.
package tasks
