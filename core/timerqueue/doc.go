// Package timerqueue provides a priority queue of timers.
package timerqueue
