// Package alarm provides a priority queue of timers.
package alarm
