package route

import (
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// unreachablePenalty puts a server that cannot be reached behind all others; it is tried only if nothing else is left.
	unreachablePenalty = 10
	// minUnreachable is how many servers of another failure domain must be unreachable, with none heard since, before
	// all of the domain count as unreachable. Far servers are asked too seldom to learn of a cut from each.
	minUnreachable = 2
	// unreachableWindow is how long ago the first of them may have failed to answer.
	unreachableWindow = 5 * time.Second
)

// Unreachable says that a backend server does not answer load queries; attempts on it may never end.
type Unreachable struct {
	event.Internal
	Server id.Server
}

// handleLoadQueryFailure notes that a server did not answer a load query.
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

// domainUnreachable reports whether enough servers of a domain are unreachable and none was heard since the first of them.
func (r *Router) domainUnreachable(now time.Time, d id.FailureDomain) bool {
	count, first, heard := 0, now, time.Time{}
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
		if s.reportedAt.After(heard) {
			heard = s.reportedAt
		}
	}
	return count >= minUnreachable && heard.Before(first)
}
