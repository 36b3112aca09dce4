package batch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// submitterTimeout is how long a submitter may be silent before its jobs are dropped. Nodes ping the leader, and follow
	// another one if it does not answer for about as long.
	submitterTimeout = time.Second
	// minPause is the gap between two steps above which this process was paused and could not receive messages; the gap
	// does not count as silence of the submitters.
	minPause = 200 * time.Millisecond
)

// submitter identifies a process that has submitted jobs.
type submitter struct {
	node        id.Node
	incarnation id.Incarnation
}

// submitters holds the time of the last message from each process with jobs on this node.
type submitters map[submitter]time.Time

// droppedJob is a job that was dropped because its submitter was silent.
type droppedJob struct {
	ticket   uint64
	class    class
	deadline time.Time
}

// notifyDropped tells a submitter that was silent for a while which of its jobs were dropped, so that it submits them again.
func (s *Scheduler) notifyDropped(now time.Time, ev event.Receive, out *actions) {
	sub := submitter{ev.From, ev.Incarnation}
	jobs, ok := s.dropped[sub]
	if !ok {
		return
	}
	delete(s.dropped, sub)
	for _, j := range jobs {
		if now.Before(j.deadline) {
			out.add(event.Send{To: sub.node, Body: Moved{Ticket: j.ticket, Leader: s.self.Node, Accepted: true, Class: uint32(j.class)}})
		}
	}
}

// forgetDropped removes the dropped jobs of submitters that have not returned before the deadline of any of them.
func (s *Scheduler) forgetDropped(now time.Time) {
	maps.DeleteFunc(s.dropped, func(_ submitter, jobs []droppedJob) bool {
		return !slices.ContainsFunc(jobs, func(j droppedJob) bool { return now.Before(j.deadline) })
	})
}

// touch records a message of a known submitter.
func (m submitters) touch(now time.Time, ev event.Receive) {
	key := submitter{ev.From, ev.Incarnation}
	if _, known := m[key]; known {
		m[key] = now
	}
}

// compensatePause shifts the times of the last messages by a gap in which this process was paused.
func (m submitters) compensatePause(gap time.Duration) {
	if gap <= minPause {
		return
	}
	for key, heard := range m {
		m[key] = heard.Add(gap)
	}
}

// dropSilent ends the jobs of silent submitters. Most of them have ended or follow a leader that they can reach, so that
// nobody waits for the results; the others are told when they are heard again.
func (s *Scheduler) dropSilent(now time.Time, out *actions) {
	s.forgetDropped(now)
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
				j := s.jobs[key]
				s.dropped[sub] = append(s.dropped[sub], droppedJob{key.ticket, j.class, j.deadline})
				s.endJob(now, j)
				count++
			}
		}
		if count > 0 {
			out.add(event.Log{Kind: "job", Choice: "drop", Reason: fmt.Sprintf("node=%s silent for more than %s, jobs=%d", sub.node, submitterTimeout, count)})
		}
	}
}
