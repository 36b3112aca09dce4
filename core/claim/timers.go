package claim

import (
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
