// Package admin is the administration API of operators under /admin/v1; docs/operators.md describes it.
package admin
