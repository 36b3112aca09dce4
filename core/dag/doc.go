// Package dag orders things that depend on each other.
package dag
