package claim

import "time"

// setTimer sets a ticket's next timer; an earlier entry for it becomes stale.
func (c *Claims) setTimer(t *localRequest, at time.Time) {
	if t.phase < running && at.After(t.Deadline) {
		at = t.Deadline
	}
	t.timerAt = at
	c.timers.Set(at, t.Request.ID)
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
		if t := c.requests[request]; t != nil && t.timerAt.Equal(at) {
			return at
		}
		c.timers.Pop()
	}
	return time.Time{}
}
