package runtime

import "time"

// Clock tells the time and wakes the loop.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
	// After returns a channel that receives once d has passed, and a function that releases it.
	After(d time.Duration) (<-chan time.Time, func())
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now returns the machine's time.
func (SystemClock) Now() time.Time { return time.Now() }

// After starts a timer.
func (SystemClock) After(d time.Duration) (<-chan time.Time, func()) {
	timer := time.NewTimer(d)
	return timer.C, func() { timer.Stop() }
}
