package claim

import "time"

// timer sets a ticket's next timer; an earlier entry for it becomes stale.
func (c *Claims) timer(t *ticket, at time.Time) {
	if t.phase < running && at.After(t.Deadline) {
		at = t.Deadline
	}
	t.at = at
	c.timers.Set(at, t.Request.ID)
}

// Next returns the time of the next timer.
func (c *Claims) Next() time.Time {
	at := c.nextTicket()
	if at.IsZero() || (!c.pacedNext.IsZero() && c.pacedNext.Before(at)) {
		return c.pacedNext
	}
	return at
}

func (c *Claims) nextTicket() time.Time {
	for c.timers.Len() > 0 {
		at, request := c.timers.Peek()
		if t := c.tickets[request]; t != nil && t.at.Equal(at) {
			return at
		}
		c.timers.Pop()
	}
	return time.Time{}
}
