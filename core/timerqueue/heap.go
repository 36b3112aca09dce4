package timerqueue

import (
	"container/heap"
	"time"
)

// Heap holds timers, each with a key that says what it is for. Its zero value is empty.
type Heap[K any] struct{ list timers[K] }

type timer[K any] struct {
	at  time.Time
	key K
}

// Set adds a timer; earlier ones for the same key stay.
func (h *Heap[K]) Set(at time.Time, key K) { heap.Push(&h.list, timer[K]{at, key}) }

// Len returns the number of timers.
func (h *Heap[K]) Len() int { return len(h.list) }

// Due reports whether the earliest timer is due.
func (h *Heap[K]) Due(now time.Time) bool { return len(h.list) > 0 && !h.list[0].at.After(now) }

// Peek returns the earliest timer; the heap must not be empty.
func (h *Heap[K]) Peek() (time.Time, K) { return h.list[0].at, h.list[0].key }

// Pop takes the earliest timer off and returns its key; the heap must not be empty.
func (h *Heap[K]) Pop() K { return heap.Pop(&h.list).(timer[K]).key }

// Next returns the time of the earliest timer, zero for none.
func (h *Heap[K]) Next() time.Time {
	if len(h.list) == 0 {
		return time.Time{}
	}
	return h.list[0].at
}

// timers implements heap.Interface.
type timers[K any] []timer[K]

func (t timers[K]) Len() int           { return len(t) }
func (t timers[K]) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers[K]) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push appends a timer, for container/heap.
func (t *timers[K]) Push(x any) { *t = append(*t, x.(timer[K])) }

// Pop removes the last timer, for container/heap.
func (t *timers[K]) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
