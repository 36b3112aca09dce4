// Package timerqueue holds timers in the order of their times.
package timerqueue
