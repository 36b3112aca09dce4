package route

import (
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// unreachablePenalty ranks an unreachable server behind all others; it is tried only if nothing else is left.
	unreachablePenalty = 10
	// minUnreachable is how many servers of another failure domain must be unreachable, with no load report from the
	// domain since, before all its servers count as unreachable. Load queries to other domains are too rare to find out
	// about a partition server by server.
	minUnreachable = 2
	// unreachableWindow is how long ago the first of them may have stopped answering.
	unreachableWindow = 5 * time.Second
)

// Unreachable says that a backend server does not answer load queries; attempts on it may never end.
type Unreachable struct {
	event.Internal
	Server id.Server
}

// handleLoadQueryFailure marks a server as unreachable, and with it its failure domain if domainUnreachable holds.
func (r *Router) handleLoadQueryFailure(now time.Time, ev event.LoadQueryFailed) []event.Action {
	s, ok := r.servers[ev.Server]
	if !ok {
		return nil
	}
	out := []event.Action{Unreachable{Server: ev.Server}}
	if !s.unreachableSince.IsZero() {
		return out
	}
	s.unreachableSince = now
	if s.FailureDomain == r.self.FailureDomain || ev.Refused || !r.domainUnreachable(now, s.FailureDomain) {
		return out
	}
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		if o := r.servers[name]; o.FailureDomain == s.FailureDomain && o.unreachableSince.IsZero() {
			o.unreachableSince = now
			out = append(out, Unreachable{Server: name})
		}
	}
	return append(out, event.Log{Kind: "place", Choice: string(s.FailureDomain), Reason: "the failure domain cannot be reached"})
}

// domainUnreachable reports whether at least minUnreachable servers of a domain are unreachable, and no server of it has
// reported since the first of them stopped answering.
func (r *Router) domainUnreachable(now time.Time, d id.FailureDomain) bool {
	count, first, lastReport := 0, now, time.Time{}
	for _, s := range r.servers {
		if s.FailureDomain != d {
			continue
		}
		if !s.unreachableSince.IsZero() && now.Sub(s.unreachableSince) <= unreachableWindow {
			count++
			if s.unreachableSince.Before(first) {
				first = s.unreachableSince
			}
		}
		if s.reportedAt.After(lastReport) {
			lastReport = s.reportedAt
		}
	}
	return count >= minUnreachable && lastReport.Before(first)
}
