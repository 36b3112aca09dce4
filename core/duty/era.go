package duty

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
)

// changeEra handles that the store has come back from a copy. Revisions and writes of the earlier era mean nothing any more. A
// holder keeps its right until the end, because no other node can take the lease before.
func (l *Leases) changeEra(now time.Time, era uint64) []event.Action {
	if era <= l.era {
		return nil
	}
	before := l.era
	l.era, l.eraSince = era, now
	clear(l.inFlight)
	var out []event.Action
	for _, subject := range slices.SortedFunc(maps.Keys(l.subjects), compareSubjects) {
		s := l.subjects[subject]
		s.copied, s.lastHolder = true, now.Before(l.heldUntil(s))
		s.forgetStored()
		out = append(out, l.log(s, "era", fmt.Sprintf("era=%d before=%d held=%t", era, before, s.lastHolder)), s.changed())
	}
	return out
}

// forgetStored forgets what is stored, and the writes and requests that are based on it.
func (s *lease) forgetStored() {
	s.exists, s.revision, s.stored = false, 0, object{}
	clear(s.attempts)
	s.inFlight, s.requested, s.record = 0, false, nil
	s.retry.Clear()
}

// observeCopy handles an object that was written before the present era of the store, or by a node that had not learned of it. It
// gives nobody a right. A late write of an earlier era may have replaced an object of this era, because revisions are given out
// again; the holder then keeps its right.
func (l *Leases) observeCopy(now time.Time, s *lease) []event.Action {
	s.lastHolder = s.lastHolder && now.Before(l.soleUntil(s)) || now.Before(l.heldUntil(s))
	var out []event.Action
	if !s.copied {
		out = append(out, l.log(s, "replaced", fmt.Sprintf("era=%d holder=%s held=%t", l.era, s.latest.Holder, s.lastHolder)))
	}
	s.copied, s.requested, s.record = true, false, nil
	return append(out, s.changed())
}

// soleUntil returns the time before which no other node can have taken the lease since this node's last confirmed write.
func (l *Leases) soleUntil(s *lease) time.Time {
	wait := eraWait * l.opts.Lease
	return s.lastHeld.Add(wait - wait/marginFraction)
}
