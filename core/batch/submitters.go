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
	// submitterTimeout is how long a submitter may be silent before its jobs are dropped. Nodes ping the leader, and follow
	// another one if it does not answer for about as long.
	submitterTimeout = time.Second
	// minPause is the gap between two steps above which this process was stalled and could not receive messages; the
	// gap does not count as silence of the submitters.
	minPause = 200 * time.Millisecond
)

// submitter identifies a process that has submitted jobs.
type submitter struct {
	node        id.Node
	incarnation id.Incarnation
}

// submitters holds the time of the last message from each process with jobs on this node.
type submitters map[submitter]time.Time

// touch records a message of a known submitter.
func (m submitters) touch(now time.Time, ev event.Receive) {
	key := submitter{ev.From, ev.Incarnation}
	if _, known := m[key]; known {
		m[key] = now
	}
}

// compensatePause shifts the times of the last messages by a gap in which this process did not run.
func (m submitters) compensatePause(gap time.Duration) {
	if gap <= minPause {
		return
	}
	for key, heard := range m {
		m[key] = heard.Add(gap)
	}
}

// dropSilent ends the jobs of silent submitters. They have ended or follow a leader that they can reach, so nobody waits
// for the results.
func (s *Scheduler) dropSilent(now time.Time, out *actions) {
	var silent []submitter
	for sub, heard := range s.submitters {
		if sub.node != s.self.Node && now.Sub(heard) > submitterTimeout {
			silent = append(silent, sub)
		}
	}
	slices.SortFunc(silent, func(a, b submitter) int {
		return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.incarnation, b.incarnation))
	})
	for _, sub := range silent {
		delete(s.submitters, sub)
		count := 0
		for _, key := range s.sortedJobs() {
			if key.submitter == sub {
				s.endJob(now, s.jobs[key])
				count++
			}
		}
		if count > 0 {
			out.add(event.Log{Kind: "job", Choice: "drop", Reason: fmt.Sprintf("node=%s silent for more than %s, jobs=%d", sub.node, submitterTimeout, count)})
		}
	}
}
