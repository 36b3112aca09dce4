package runtime

import "time"

// Clock provides the time and timers of a loop.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time after d, and a function that stops the timer.
	After(d time.Duration) (<-chan time.Time, func())
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns the current system time.
func (SystemClock) Now() time.Time { return time.Now() }

// After starts a timer.
func (SystemClock) After(d time.Duration) (<-chan time.Time, func()) {
	timer := time.NewTimer(d)
	return timer.C, func() { timer.Stop() }
}
