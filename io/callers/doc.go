// Package callers is the HTTP interface of callers; docs/callers.md describes it.
package callers
