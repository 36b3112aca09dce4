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
	// silence is how long the node of a job may stay silent before its jobs are given up. Nodes ping the leader, and go to
	// another one when it does not answer for about as long.
	silence = time.Second
	// stall is a time between two steps for which the silence of others says nothing.
	stall = 200 * time.Millisecond
)

// owner is a process that has submitted jobs.
type owner struct {
	node        id.Node
	incarnation id.Incarnation
}

// owners notes when the processes with jobs here were last heard.
type owners map[owner]time.Time

// hear takes in a message.
func (o owners) hear(now time.Time, ev event.Receive) {
	key := owner{ev.From, ev.Incarnation}
	if _, known := o[key]; known {
		o[key] = now
	}
}

// excuse makes up for a time in which this process did not run.
func (o owners) excuse(gap time.Duration) {
	if gap <= stall {
		return
	}
	for key, heard := range o {
		o[key] = heard.Add(gap)
	}
}

// dropSilent gives up the jobs of processes that have been silent: they have ended, or have gone to a leader that they
// can reach, and nobody reads the results here.
func (s *Scheduler) dropSilent(now time.Time, out *actions) {
	var silent []owner
	for key, heard := range s.owners {
		if key.node != s.self.Node && now.Sub(heard) > silence {
			silent = append(silent, key)
		}
	}
	slices.SortFunc(silent, func(a, b owner) int {
		return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.incarnation, b.incarnation))
	})
	for _, key := range silent {
		delete(s.owners, key)
		count := 0
		for _, one := range s.sortedJobs() {
			if one.owner == key {
				s.end(now, s.jobs[one])
				count++
			}
		}
		if count > 0 {
			out.add(event.Log{Kind: "job", Choice: "drop", Reason: fmt.Sprintf("node=%s silent for more than %s, jobs=%d", key.node, silence, count)})
		}
	}
}
