package selfreport

import (
	"fmt"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

// Process identifies the process of a server.
type Process struct {
	Server id.Server
	Start  id.Start // empty if unknown
}

// state is what the process of a server has said of itself.
type state struct {
	start   id.Start
	report  Report
	limitAt time.Time // when the limit was last named
}

// Tracker keeps the reports of the servers of one node.
type Tracker struct {
	states map[id.Server]*state
}

// New returns a tracker that knows of no report.
func New() *Tracker { return &Tracker{states: map[id.Server]*state{}} }

// Next returns zero, for no timer.
func (t *Tracker) Next() time.Time { return time.Time{} }

// Step handles one event.
func (t *Tracker) Step(_ time.Time, ev event.Event) []event.Action {
	switch ev := ev.(type) {
	case fleet.ServerChanged:
		if ev.Restarted {
			delete(t.states, ev.Server.ID)
		}
	case fleet.ServerRemoved:
		delete(t.states, ev.Server.ID)
	}
	return nil
}

// Observe records the report in the response to a request that was sent to a process at the given time. A response to a
// request from before the server named its limit does not end the limit.
func (t *Tracker) Observe(now time.Time, p Process, sent time.Time, r Report) []event.Action {
	s, known := t.states[p.Server]
	if !known || s.start != p.Start {
		s = &state{start: p.Start}
		t.states[p.Server] = s
	}
	old := s.report
	if !r.Limited && sent.Before(s.limitAt) {
		r.Limited, r.Rate = old.Limited, old.Rate
	}
	if r.Limited {
		s.limitAt = now
	}
	r.Leaving = r.Leaving || old.Leaving
	s.report = r
	return s.logChanges(p, old)
}

// logChanges returns a line for each part of a server's report that differs from the one before.
func (s *state) logChanges(p Process, old Report) []event.Action {
	var out []event.Action
	add := func(changed bool, choice string) {
		if changed {
			out = append(out, event.Log{Kind: "report", Stage: string(p.Server), Choice: choice, Reason: fmt.Sprintf("start=%s", p.Start)})
		}
	}
	add(s.report.limit() != old.limit(), s.report.limit())
	add(s.report.Leaving && !old.Leaving, "leaving")
	add(s.report.Pause > 0, "pause "+s.report.Pause.String())
	return out
}
