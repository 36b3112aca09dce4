package claim

import "time"

// setTimer sets the next timer of a request, which replaces the one set before. While the request waits for a verdict, the
// timer is due at its deadline at the latest.
func (c *Claims) setTimer(lr *localRequest, at time.Time) {
	if lr.phase < running && at.After(lr.Deadline) {
		at = lr.Deadline
	}
	lr.timerAt = at
	c.timers.Set(at, lr.ID)
}

// Next returns the time of the next timer.
func (c *Claims) Next() time.Time {
	at := c.nextTimer()
	if at.IsZero() || (!c.nextDelayed.IsZero() && c.nextDelayed.Before(at)) {
		return c.nextDelayed
	}
	return at
}

func (c *Claims) nextTimer() time.Time {
	for c.timers.Len() > 0 {
		at, request := c.timers.Peek()
		if lr := c.requests[request]; lr != nil && lr.timerAt.Equal(at) {
			return at
		}
		c.timers.Pop()
	}
	return time.Time{}
}
