package batch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// submitterTimeout is how long the node of a job may stay silent before its jobs are given up. Nodes ping the leader, and go to
	// another one when it does not answer for about as long.
	submitterTimeout = time.Second
	// stallThreshold is a time between two steps for which the silence of others says nothing.
	stallThreshold = 200 * time.Millisecond
)

// submitter is a process that has submitted jobs.
type submitter struct {
	node        id.Node
	incarnation id.Incarnation
}

// submitters notes when the processes with jobs here were last heard.
type submitters map[submitter]time.Time

// touch takes in a message.
func (o submitters) touch(now time.Time, ev event.Receive) {
	key := submitter{ev.From, ev.Incarnation}
	if _, known := o[key]; known {
		o[key] = now
	}
}

// extend makes up for a time in which this process did not run.
func (o submitters) extend(gap time.Duration) {
	if gap <= stallThreshold {
		return
	}
	for key, heard := range o {
		o[key] = heard.Add(gap)
	}
}

// dropSilent gives up the jobs of processes that have been silent: they have ended, or have gone to a leader that they
// can reach, and nobody reads the results here.
func (s *Scheduler) dropSilent(now time.Time, out *actions) {
	var silent []submitter
	for key, heard := range s.submitters {
		if key.node != s.self.Node && now.Sub(heard) > submitterTimeout {
			silent = append(silent, key)
		}
	}
	slices.SortFunc(silent, func(a, b submitter) int {
		return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.incarnation, b.incarnation))
	})
	for _, key := range silent {
		delete(s.submitters, key)
		count := 0
		for _, one := range s.sortedJobs() {
			if one.submitter == key {
				s.endJob(now, s.jobs[one])
				count++
			}
		}
		if count > 0 {
			out.add(event.Log{Kind: "job", Choice: "drop", Reason: fmt.Sprintf("node=%s silent for more than %s, jobs=%d", key.node, submitterTimeout, count)})
		}
	}
}
