// Package typename returns the names of Go types that leave the process: in metrics, JSON lines, reports and errors.
package typename
