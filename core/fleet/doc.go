// Package fleet knows the backend servers of a gateway: which there are, and which may get new work.
package fleet
