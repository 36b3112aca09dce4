// Package fleet tracks the backend servers of a gateway and which of them may get new work.
package fleet
