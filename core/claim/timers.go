package claim

import (
	"container/heap"
	"time"

	"bluebellflow/core/id"
)

// due is a timer of a ticket; it is stale if the ticket has another time by now.
type due struct {
	at      time.Time
	request id.Request
}

// timers is a heap by time.
type timers []due

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push appends a timer, for container/heap.
func (t *timers) Push(x any) { *t = append(*t, x.(due)) }

// Pop removes the last timer, for container/heap.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// timer sets a ticket's next timer; an earlier entry for it becomes stale.
func (c *Claims) timer(t *ticket, at time.Time) {
	if t.phase < running && at.After(t.Deadline) {
		at = t.Deadline
	}
	t.at = at
	heap.Push(&c.timers, due{at: at, request: t.Request.Request})
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
	for len(c.timers) > 0 {
		d := c.timers[0]
		if t := c.tickets[d.request]; t != nil && t.at.Equal(d.at) {
			return d.at
		}
		heap.Pop(&c.timers)
	}
	return time.Time{}
}
