package retry

import (
	"math/rand/v2"
	"time"
)

const (
	minPause = 100 * time.Millisecond
	// maxPause keeps a recovered platform in use within a second, which the bounds of a few seconds need.
	maxPause = time.Second
)

// Timer says when an operation is due again; its zero value is not set.
type Timer struct {
	at       time.Time
	failures int
}

// Fail sets the timer after a failure; pauses double and are spread at random over their upper half.
func (t *Timer) Fail(now time.Time, rng *rand.Rand) {
	pause := maxPause
	if t.failures < 4 {
		pause = minPause << t.failures
	}
	t.failures++
	t.at = now.Add(pause/2 + time.Duration(rng.Int64N(int64(pause/2)+1)))
}

// Set makes the operation due after a pause, without counting a failure.
func (t *Timer) Set(now time.Time, pause time.Duration) { t.at = now.Add(pause) }

// Clear forgets the timer and the failures.
func (t *Timer) Clear() { *t = Timer{} }

// Failures returns the number of failures since the timer was cleared.
func (t *Timer) Failures() int { return t.failures }

// Due reports whether the operation is due, and if so unsets the timer but keeps the count of failures.
func (t *Timer) Due(now time.Time) bool {
	if t.at.IsZero() || t.at.After(now) {
		return false
	}
	t.at = time.Time{}
	return true
}

// Next returns when the operation is due, zero for never.
func (t *Timer) Next() time.Time { return t.at }

// Earliest returns the earliest of the times that are not zero.
func Earliest(times ...time.Time) time.Time {
	var out time.Time
	for _, t := range times {
		if !t.IsZero() && (out.IsZero() || t.Before(out)) {
			out = t
		}
	}
	return out
}
