package admit

import (
	"time"

	"bluebellflow/core/id"
)

// item is a queued task.
type item struct {
	Task
	flow   *flow
	at     time.Time // when it was queued
	latest time.Time // last time at which it may start
	place  int       // index in the heap by latest time
	gone   bool
}

type limitKey struct {
	workspace id.Workspace
	pipeline  id.Pipeline
}

type flowKey struct {
	limitKey
	priority int
}

// flow holds the queued tasks of one workspace, pipeline and priority in the order of their arrival.
type flow struct {
	flowKey
	items  []*item
	weight float64
	tag    float64 // virtual time at which the first task has had its share
	finish float64 // tag of the last task that started
	place  int     // index in the heap of its pipeline, -1 if it is not there
	live   int     // queued tasks
	parked bool    // at its limit; its tasks do not stand in the way of others
}

// trim drops tasks that left the queue by another way and reports whether one is left.
func (f *flow) trim() bool {
	for len(f.items) > 0 && f.items[0].gone {
		f.items[0] = nil
		f.items = f.items[1:]
	}
	return len(f.items) > 0
}

type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].items[0].at.Before(h[j].items[0].at)
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.place = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.place = -1
	return f
}

type latestHeap []*item

func (h latestHeap) Len() int           { return len(h) }
func (h latestHeap) Less(i, j int) bool { return h[i].latest.Before(h[j].latest) }

func (h latestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *latestHeap) Push(x any) {
	it := x.(*item)
	it.place = len(*h)
	*h = append(*h, it)
}

func (h *latestHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.place = -1
	return it
}
