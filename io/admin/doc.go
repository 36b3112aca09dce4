// Package admin serves the administration API for operators under /admin/v1; docs/operators.md describes it.
package admin
