package watchcache

import (
	"slices"
	"time"

	"bluebellflow/core/id"
)

const (
	// pollInterval is how often a node asks a source for changes.
	pollInterval = 250 * time.Millisecond
	// answerTimeout is how long a source may leave polls unanswered before the next one is polled.
	answerTimeout = 400 * time.Millisecond
	// sourceTimeout is how long no source may confirm that the store answers it before a node follows the store itself. If all
	// nodes did so at once, each short disturbance of the leader would cost the store several calls for each node.
	sourceTimeout = time.Second
	// sourceReturnDelay is how long sources must have confirmed without interruption before the node stops following the store
	// itself.
	sourceReturnDelay = time.Second
	// primaryPollInterval is how often a node polls the primary source while it relies on an alternate.
	primaryPollInterval = time.Second
)

// sources are the nodes from which a node can take changes instead of from the store. One is polled at a time: the primary,
// or an alternate while the primary does not confirm that the store answers it.
type sources struct {
	primary         id.Node
	alternates      []id.Node
	polled          id.Node
	polledSince     time.Time // when polled was chosen or has confirmed last
	failed          int       // sources that have failed since one has confirmed
	failingSince    time.Time // since when no source has confirmed, zero if the polled one has
	confirmedSince  time.Time // since when sources have confirmed without interruption, zero if none does
	everConfirmed   bool
	nextPoll        time.Time
	nextPrimaryPoll time.Time
}

// set replaces the sources. This node is not one of its own alternates.
func (s *sources) set(now time.Time, self, primary id.Node, alternates []id.Node) {
	s.alternates = slices.DeleteFunc(slices.Clone(alternates), func(n id.Node) bool { return n == self || n == primary })
	if primary == s.primary && (s.polled == primary || slices.Contains(s.alternates, s.polled)) {
		return
	}
	s.primary, s.polled, s.polledSince = primary, primary, now
	s.failed, s.failingSince, s.confirmedSince = 0, now, time.Time{}
	s.nextPoll = now
}

// poll returns the sources to poll now.
func (s *sources) poll(now time.Time) []id.Node {
	if now.Before(s.nextPoll) {
		return nil
	}
	if now.Sub(s.polledSince) >= answerTimeout && !s.failingSince.IsZero() {
		s.next(now)
	}
	if s.failingSince.IsZero() {
		s.failingSince = now // until the reply
	}
	s.nextPoll = now.Add(pollInterval)
	out := []id.Node{s.polled}
	if s.polled != s.primary && !now.Before(s.nextPrimaryPoll) {
		s.nextPrimaryPoll = now.Add(primaryPollInterval)
		out = append(out, s.primary)
	}
	return out
}

// next makes the source after the polled one the one to poll.
func (s *sources) next(now time.Time) {
	all := append([]id.Node{s.primary}, s.alternates...)
	s.failed++
	s.polled = all[(slices.Index(all, s.polled)+1)%len(all)]
	s.polledSince = now
	if s.polled != s.primary {
		s.nextPrimaryPoll = now.Add(primaryPollInterval)
	}
}

// reply records a source's reply and reports whether it decides if the store is reachable. A confirmation does; another reply does
// only if all sources have failed since the last confirmation.
func (s *sources) reply(now time.Time, from id.Node, up bool) bool {
	if up && (from == s.polled || from == s.primary) {
		s.polled, s.polledSince, s.failed, s.failingSince, s.everConfirmed = from, now, 0, time.Time{}, true
		if s.confirmedSince.IsZero() {
			s.confirmedSince = now
		}
		return true
	}
	if from != s.polled {
		return false
	}
	s.confirmedSince = time.Time{}
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
	s.next(now)
	if s.failed <= len(s.alternates) {
		s.nextPoll = now
		return false
	}
	return true
}

// silent reports whether no source has confirmed for so long that this node has to follow the store itself.
func (s *sources) silent(now time.Time) bool {
	return !s.failingSince.IsZero() && now.Sub(s.failingSince) >= sourceTimeout
}

// reliable reports whether sources have confirmed for so long that this node need not follow the store any more.
func (s *sources) reliable(now time.Time) bool {
	return !s.confirmedSince.IsZero() && now.Sub(s.confirmedSince) >= sourceReturnDelay
}
