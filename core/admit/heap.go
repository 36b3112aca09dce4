package admit

import (
	"time"

	"bluebellflow/core/id"
)

// item is a queued task.
type item struct {
	Task
	flow        *flow
	queuedAt    time.Time
	latestStart time.Time // latest start that can meet the deadline
	heapIndex   int       // index in Queue.byLatestStart, -1 if it is not there
	removed     bool      // no longer queued, but possibly still in flow.items or Queue.arrivals
}

// limitKey identifies the requests that share a limit on how many of them run at once.
type limitKey struct {
	workspace id.Workspace
	pipeline  id.Pipeline
}

// flowKey identifies a flow.
type flowKey struct {
	limitKey
	priority int
}

// flow is a flow of weighted fair queueing: the queued tasks of one workspace, pipeline and priority, in order.
type flow struct {
	flowKey
	items         []*item
	weight        float64
	finishTag     float64 // virtual finish time of the first task
	lastFinishTag float64 // finishTag of the last task that started
	heapIndex     int     // index in the flowHeap of its pipeline, -1 if it is not there
	queued        int     // number of queued tasks
	parked        bool    // at its limit, so that its tasks do not count as waiting
}

// dropRemoved drops removed tasks from the front and reports whether a task is left.
func (f *flow) dropRemoved() bool {
	for len(f.items) > 0 && f.items[0].removed {
		f.items[0] = nil
		f.items = f.items[1:]
	}
	return len(f.items) > 0
}

// flowHeap is a heap of flows with the lowest finishTag first, and of equal ones the longest waiting task.
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

// latestStartHeap is a heap of tasks with the earliest latestStart first.
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
