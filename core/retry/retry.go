package retry

import (
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 100 * time.Millisecond
	// maxBackoff lets operations resume within a second after the platform recovers; their time limits are a few seconds.
	maxBackoff = time.Second
)

// Timer holds the time of the next attempt of an operation. Its zero value is unset.
type Timer struct {
	at       time.Time
	failures int
}

// Fail counts a failure and sets the timer to the next attempt. Pauses double up to maxPause, with random jitter over
// their upper half.
func (t *Timer) Fail(now time.Time, rng *rand.Rand) {
	pause := maxBackoff
	if t.failures < 4 {
		pause = minBackoff << t.failures
	}
	t.failures++
	t.at = now.Add(pause/2 + time.Duration(rng.Int64N(int64(pause/2)+1)))
}

// Set sets the timer without counting a failure.
func (t *Timer) Set(now time.Time, pause time.Duration) { t.at = now.Add(pause) }

// Clear unsets the timer and resets the number of failures.
func (t *Timer) Clear() { *t = Timer{} }

// Failures returns the number of failures since the timer was cleared.
func (t *Timer) Failures() int { return t.failures }

// Due reports whether the operation is due. If so, it unsets the timer but keeps the number of failures.
func (t *Timer) Due(now time.Time) bool {
	if t.at.IsZero() || t.at.After(now) {
		return false
	}
	t.at = time.Time{}
	return true
}

// Next returns when the operation is due, zero if the timer is unset.
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
