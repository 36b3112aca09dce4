// Package alarm holds timers in the order of their times.
package alarm
