package usage

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// closeFraction is the part of Options.Late after which a window is closed although some nodes have not reported it. Nodes
	// that are cut off or paused for a shorter time are still included. The remaining time is for retries, and for the next holder
	// if this one fails.
	closeFraction = 0.65
	// minorityCloseFraction is that part if at most half of the nodes have reported the window, or if this node has only just become
	// the leader or only just heard from most nodes again. It may have been cut off, and another leader may have more reports.
	minorityCloseFraction = 0.85
	// silentTime is the time without a message after which a node counts as silent.
	silentTime = 2500 * time.Millisecond
	// minCloseTime is the least time after the end of a window at which it may be closed as complete, because nodes that have
	// just started may not be listed earlier.
	minCloseTime = time.Second
	// maxOpen bounds the reports in a record.
	maxOpen = 64
)

// record is the state that is written to the store under the lease.
type record struct {
	Next int64        `json:"next"` // the first window that is not closed
	Open []openReport `json:"open,omitempty"`
}

// openReport is a report that may not have been accepted yet.
type openReport struct {
	Window int64  `json:"window"`
	Body   []byte `json:"body"` // encoded as base64, so that the store returns the same bytes
}

// delivery is the progress of sending a report.
type delivery struct {
	call     uint64 // number of the call in progress, 0 for none
	attempts int
	accepted bool
	own      bool // this process has closed the window, so that no other one has sent the report
	retry    time.Time
}

// maxRetryDelay is the longest delay between two attempts to send a report, and minRetryDelay the shortest.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
)

// recorded returns the record in the store.
func (u *Usage) recorded() record {
	var r record
	if raw, ok := u.leases.Record(subject); ok {
		if err := json.Unmarshal(raw, &r); err != nil || r.Next < 0 || r.Next > maxWindow || len(r.Open) > maxOpen {
			return record{}
		}
	}
	return r
}

// nextWindow returns the first window whose report is not recorded.
func (u *Usage) nextWindow() int64 { return u.record.Next }

// report closes the windows that are due, and sends the recorded reports.
func (u *Usage) report(now time.Time) []event.Action {
	u.checkMajority(now)
	if !u.leases.Active() || !u.leases.Loaded() || !u.clock.synced || u.requested {
		return nil
	}
	u.record = u.recorded() // the event Changed or Recorded may not have been handled yet
	next, out := u.closeDue(now)
	if next.Next > u.record.Next && len(next.Open) > 0 {
		return append(out, u.write(next)...)
	}
	return append(out, u.sendOpen(now, next)...)
}

// closeDue returns the record with the reports of the windows that are due, and without those that are accepted or too late.
func (u *Usage) closeDue(now time.Time) (record, []event.Action) {
	var out []event.Action
	next := record{Next: u.record.Next}
	if next.Next == 0 {
		next.Next = u.window(u.clock.offset) // in which this process started
	}
	next.Next = max(next.Next, u.firstUnreported())
	current := u.clock.at(now)
	for _, o := range u.record.Open {
		s := u.sending[o.Window]
		switch {
		case s != nil && s.accepted:
		case current > u.end(o.Window)+u.opts.Late:
			if s == nil || s.attempts > 0 {
				out = append(out, event.Log{Kind: "usage", Choice: "late", Reason: fmt.Sprintf("window=%d", o.Window)}, Reported{Window: o.Window, Late: true})
			}
			u.sending[o.Window] = &delivery{accepted: true} // so that it is logged once
		default:
			next.Open = append(next.Open, o)
		}
	}
	for current >= u.end(next.Next) && len(next.Open) < maxOpen {
		if current > u.end(next.Next)+u.opts.Late {
			next.Next = max(next.Next+1, u.window(current-u.opts.Late)) // nobody could report these windows in time
			continue
		}
		o, closed, ok := u.closeWindow(now, next.Next)
		out = append(out, closed...)
		if !ok {
			break
		}
		next.Open = append(next.Open, o)
		next.Next++
	}
	return next, out
}

// firstUnreported returns the first window that no holder can have closed in a record that the store has forgotten, 0 if it has
// forgotten none. Earlier windows are not closed again, because the counts would differ from those that were reported. The second
// half of minCloseTime covers the difference of the nodes' times.
func (u *Usage) firstUnreported() int64 {
	since, stale := u.leases.StaleSince(subject)
	if !stale {
		return 0
	}
	return u.window(u.clock.at(since) - minCloseTime/2)
}

// closeWindow returns the report of a window, if all nodes have reported it or the time for that is over.
func (u *Usage) closeWindow(now time.Time, window int64) (openReport, []event.Action, bool) {
	since := u.clock.at(now) - u.end(window)
	done := u.nodesComplete(now, window)
	fraction := closeFraction
	if 2*done <= len(u.nodes) || now.Sub(u.minorityAt) < 2*sendInterval {
		fraction = minorityCloseFraction
	}
	incomplete := done < len(u.nodes) || since < minCloseTime
	if incomplete && since < time.Duration(fraction*float64(u.opts.Late)) {
		return openReport{}, nil, false
	}
	counts := u.sum(window)
	body, err := u.encoder.UsageReport(window, counts)
	if err != nil {
		return openReport{}, []event.Action{event.Log{Kind: "usage", Choice: "encode", Reason: err.Error()}}, false
	}
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	u.sending[window] = &delivery{own: true}
	return openReport{Window: window, Body: body}, []event.Action{event.Log{Kind: "usage", Choice: "close", Reason: fmt.Sprintf(
		"window=%d workspaces=%d requests=%d complete=%d/%d after=%s", window, len(counts), total, done, len(u.nodes), since.Round(time.Millisecond))}}, true
}

// nodesComplete returns the number of nodes that have reported a window completely.
func (u *Usage) nodesComplete(now time.Time, window int64) int {
	done := map[id.Node]bool{u.self.Node: u.complete(now) >= window}
	for p, n := range u.received {
		done[p.node] = done[p.node] || n.complete >= window
	}
	count := 0
	for _, name := range u.nodes {
		if done[name] {
			count++
		}
	}
	return count
}

// checkMajority records the time if this node has heard from at most half of the nodes, including itself.
func (u *Usage) checkMajority(now time.Time) {
	heard := map[id.Node]bool{u.self.Node: true}
	for p, n := range u.received {
		heard[p.node] = heard[p.node] || now.Sub(n.at) < silentTime
	}
	count := 0
	for _, name := range u.nodes {
		if heard[name] {
			count++
		}
	}
	if 2*count <= len(u.nodes) {
		u.minorityAt = now
	}
}

// sum returns the counts of all nodes in a window.
func (u *Usage) sum(window int64) map[id.Workspace]uint64 {
	out := map[id.Workspace]uint64{}
	if t := u.own[window]; t != nil {
		for name, n := range t.requests {
			out[name] += n
		}
	}
	for _, c := range u.received {
		for name, n := range c.windows[window] {
			out[name] += n
		}
	}
	return out
}

// write returns the request to write the record, which precedes the first attempt to send its reports, and takes or renews the
// lease.
func (u *Usage) write(r record) []event.Action {
	raw, err := json.Marshal(r)
	if err != nil {
		return []event.Action{event.Log{Kind: "usage", Choice: "encode", Reason: err.Error()}}
	}
	u.requested = true
	return []event.Action{u.leases.NewRecord(subject, raw)}
}

// sendOpen sends the recorded reports that are not accepted yet. next is the record to write if the lease has to be renewed.
func (u *Usage) sendOpen(now time.Time, next record) []event.Action {
	var out []event.Action
	for _, o := range u.record.Open {
		s := u.sending[o.Window]
		if s == nil {
			s = &delivery{}
			u.sending[o.Window] = s
		}
		if s.accepted || s.call != 0 || now.Before(s.retry) {
			continue
		}
		c, retryAt, ok := u.leases.Call(now, subject, o.Body)
		switch {
		case ok:
			s.call = c.Number
			s.attempts++
			u.calls[c.Number] = o.Window
			out = append(out, event.Log{Kind: "usage", Choice: "send", Reason: fmt.Sprintf("window=%d token=%d attempt=%d own=%t", o.Window, c.Token, s.attempts, s.own)}, c)
		case retryAt.IsZero():
			return append(out, u.write(next)...)
		default:
			s.retry = retryAt
		}
	}
	return out
}

// handleResult handles the outcome of a report.
func (u *Usage) handleResult(now time.Time, ev duty.CallResult) []event.Action {
	window, ok := u.calls[ev.Number]
	delete(u.calls, ev.Number)
	s := u.sending[window]
	if !ok || s == nil {
		return nil
	}
	s.call = 0
	log := event.Log{Kind: "usage", Choice: ev.Outcome.String(), Reason: fmt.Sprintf("window=%d attempt=%d %s", window, s.attempts, ev.Detail)}
	switch ev.Outcome {
	case duty.Accepted:
		s.accepted = true
		return []event.Action{log, Reported{Window: window, Repeated: !s.own || s.attempts > 1}}
	case duty.Rejected:
		s.accepted = true // sending it again would not help
		return []event.Action{log}
	}
	delay := min(maxRetryDelay, minRetryDelay<<min(s.attempts, 8))
	s.retry = now.Add(max(ev.RetryAfter, delay/2+time.Duration(u.self.Rand.Int64N(int64(delay/2)))))
	return []event.Action{log}
}

// applyRecord applies the record in the store, which was written by this process if own is true. Reports of windows that another
// node has closed replace those of this node.
func (u *Usage) applyRecord(own bool) {
	u.requested = false
	u.record = u.recorded()
	for w, s := range u.sending {
		closed := slices.ContainsFunc(u.record.Open, func(o openReport) bool { return o.Window == w })
		if !closed && s.call == 0 {
			delete(u.sending, w)
		}
		s.own = s.own && own
	}
}
