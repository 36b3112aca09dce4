// Package admit decides when a request may start, in which order waiting requests start, and which are refused early.
package admit
