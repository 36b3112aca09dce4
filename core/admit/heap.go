package admit

import (
	"time"

	"bluebellflow/core/id"
)

// item is a queued task.
type item struct {
	Task
	flow        *flow
	queuedAt    time.Time // when it was queued
	latestStart time.Time // last time at which it may start
	heapIndex   int       // index in the heap by latest time
	removed     bool
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
	items         []*item
	weight        float64
	finishTag     float64 // virtual time at which the first task has had its share
	lastFinishTag float64 // tag of the last task that started
	heapIndex     int     // index in the heap of its pipeline, -1 if it is not there
	queued        int     // queued tasks
	parked        bool    // at its limit; its tasks do not stand in the way of others
}

// dropRemoved drops tasks that left the queue by another way and reports whether one is left.
func (f *flow) dropRemoved() bool {
	for len(f.items) > 0 && f.items[0].removed {
		f.items[0] = nil
		f.items = f.items[1:]
	}
	return len(f.items) > 0
}

type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].finishTag != h[j].finishTag {
		return h[i].finishTag < h[j].finishTag
	}
	return h[i].items[0].queuedAt.Before(h[j].items[0].queuedAt)
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.heapIndex = -1
	return f
}

type latestStartHeap []*item

func (h latestStartHeap) Len() int           { return len(h) }
func (h latestStartHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }

func (h latestStartHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *latestStartHeap) Push(x any) {
	it := x.(*item)
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

func (h *latestStartHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.heapIndex = -1
	return it
}
