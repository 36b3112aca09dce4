// Package callers serves the HTTP interface for callers; docs/callers.md describes it.
package callers
