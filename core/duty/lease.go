package duty

import (
	"encoding/json"
	"fmt"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/retry"
)

const (
	// marginFraction is the part of the lease that the holder leaves unused, for clocks that run at different rates and for the
	// time that a call takes to reach the service.
	marginFraction = 6
	// unreleasedWait is how long, in lease times, a recent holder waits if the holder has not released the lease. The holder may
	// have acted until the end of its lease, and the recent holder must not act until a whole lease after that.
	unreleasedWait = 2
	// eraWait is how long, in lease times, a node waits in a new era of the store. Whoever held the lease when the store was restored
	// may act until the end of it, and a recent holder must not act until a whole lease after that.
	eraWait = 2
	// eraShift is the position of the era in a token. It leaves more tokens to an era than the store can lose revisions.
	eraShift = 32
	// maxEra bounds the era in a token, which stays below maxToken.
	maxEra = 1 << 29
)

// lease is this node's view of one subject.
type lease struct {
	subject  Subject
	exists   bool // the object exists
	revision uint64
	stored   object    // the last content seen
	seenAt   time.Time // when it was first seen, or when the object was found to be deleted
	maxToken uint64    // the highest token seen

	copied     bool      // the object was not written in the present era of the store, or was replaced by a write of an earlier one
	latest     object    // the last content seen that was written in the era in which it was seen; it may be later than stored
	latestAt   time.Time // when it was first seen
	lastHolder bool      // this node is known to be the last holder before the object was copied

	attempts  map[uint64]time.Time // starts of writes that may have taken effect or may still do so, by number
	inFlight  uint64               // number of the write in progress, 0 for none
	requested bool                 // record is to be written
	record    []byte
	heldFrom  time.Time // start of the last confirmed write if this node holds the lease, zero otherwise
	heldToken uint64
	lastHeld  time.Time // the last time that was in heldFrom
	outdated  bool      // the service has seen a higher token, so that the next write takes a new one
	releasing bool      // a write that releases the lease may have taken effect
	calls     int       // calls to the service in progress
	retry     retry.Timer
}

// owned reports whether the object was last written by this process, in the present era of the store.
func (l *Leases) owned(s *lease) bool {
	return s.exists && !s.copied && s.stored.Holder == l.self.Node && s.stored.Incarnation == l.self.Incarnation
}

// heldUntil returns when this node must stop acting for a subject, zero if it does not hold the lease.
func (l *Leases) heldUntil(s *lease) time.Time {
	if s.heldFrom.IsZero() || s.releasing || s.outdated {
		return time.Time{}
	}
	return s.heldFrom.Add(l.opts.Lease - l.opts.Lease/marginFraction)
}

// writableAt returns the earliest time at which this node may write the object. What the object says of its holder counts only if it
// was written in the present era of the store.
func (l *Leases) writableAt(s *lease) time.Time {
	switch {
	case s.copied && s.lastHolder:
		return time.Time{}
	case s.copied:
		return l.copiedAt(s).Add(eraWait * l.opts.Lease)
	case l.owned(s), s.seenAt.IsZero():
		return time.Time{}
	case !s.exists:
		return s.seenAt.Add(l.opts.Lease)
	case s.stored.Released && l.heldRecently(s):
		return s.seenAt.Add(l.opts.Lease)
	case l.heldRecently(s):
		return s.seenAt.Add(unreleasedWait * l.opts.Lease)
	case s.stored.Released:
		return time.Time{}
	}
	return s.seenAt.Add(l.opts.Lease)
}

// copiedAt returns when a copied object was first seen, or when this node learned of the present era if that was later. Every
// forgotten write was made before.
func (l *Leases) copiedAt(s *lease) time.Time {
	if s.seenAt.After(l.eraSince) {
		return s.seenAt
	}
	return l.eraSince
}

// heldRecently reports whether this node was a recent holder when the object was first seen. The list in the object lacks holders
// that the store has forgotten.
func (l *Leases) heldRecently(s *lease) bool {
	return s.stored.heldRecently(l.self.Node) || !s.lastHeld.IsZero() && s.seenAt.Before(s.lastHeld.Add(retention*l.opts.Lease))
}

// mustRelease reports whether the object should be released. It is also released after the lease has ended, because a node that
// has just seen the object for the first time waits for a whole lease.
func (l *Leases) mustRelease(s *lease) bool {
	return !l.active() && l.owned(s) && !s.stored.Released && !s.heldFrom.IsZero()
}

// advance starts the write that is due, if any.
func (l *Leases) advance(now time.Time, s *lease) []event.Action {
	if !l.loaded || s.inFlight != 0 || now.Before(s.retry.Next()) {
		return nil
	}
	if l.mustRelease(s) {
		if s.calls > 0 {
			return nil // a call in progress may still arrive
		}
		next := s.stored
		next.Released = true
		s.releasing = true
		return l.write(now, s, next)
	}
	if !s.requested || !l.active() || now.Before(l.writableAt(s)) {
		return nil
	}
	return l.write(now, s, l.nextObject(now, s))
}

// nextObject returns the content by which this node takes or renews the lease.
func (l *Leases) nextObject(now time.Time, s *lease) object {
	last, seenAt := s.latest, s.latestAt
	if !last.exists() && s.exists {
		last, seenAt = s.stored, s.seenAt // this process has seen no more than the copy
	}
	next := object{Holder: l.self.Node, Incarnation: l.self.Incarnation, Era: l.era, Token: last.Token, Record: s.record}
	elapsed := now.Sub(seenAt)
	switch {
	case !last.exists():
	case last.Holder != l.self.Node:
		next.Recent = last.recentWithHolder(elapsed, l.opts.Lease)
	default:
		next.Recent = last.recentAfter(elapsed, l.opts.Lease)
	}
	if !l.owned(s) || s.outdated {
		next.Token = l.nextToken(s)
	}
	return next
}

// nextToken returns a token that is higher than all earlier ones, also than those that this node has not seen and the store has
// forgotten. For this it has the era of the store in its upper bits, and the revision on which the write is conditional, which
// increases within an era. Tokens only count up where the store has no eras.
func (l *Leases) nextToken(s *lease) uint64 {
	if l.era == 0 {
		return s.maxToken + 1
	}
	return max(s.maxToken, min(l.era, maxEra)<<eraShift+s.version()) + 1
}

// version returns the revision on which the next write is conditional, 0 if the object must not exist.
func (s *lease) version() uint64 {
	if !s.exists {
		return 0
	}
	return s.revision
}

// write starts a write of the object.
func (l *Leases) write(now time.Time, s *lease, next object) []event.Action {
	l.writes++
	next.Write = l.writes
	value, err := json.Marshal(next)
	if err != nil {
		s.requested = false
		return []event.Action{l.log(s, "write", err.Error())}
	}
	s.inFlight = next.Write
	s.attempts[next.Write] = now
	l.inFlight[next.Write] = s
	return []event.Action{event.PlatformCall{
		Owner: owner, Seq: next.Write, Op: event.OpPut, Name: Kind + "/" + s.subject.String(), Version: s.version(), Value: value,
	}}
}

// handleResult handles the result of a write.
func (l *Leases) handleResult(now time.Time, ev event.PlatformResult) []event.Action {
	s := l.inFlight[ev.Call.Seq]
	delete(l.inFlight, ev.Call.Seq)
	if s == nil {
		return nil
	}
	s.inFlight = 0
	switch {
	case ev.Code == event.CodeOK && len(ev.Objects) > 0:
		s.retry.Clear()
		return l.observe(now, s, ev.Objects[0].Version, ev.Call.Value)
	case ev.Code == event.CodeConflict && len(ev.Objects) > 0 && len(ev.Objects[0].Value) > 0:
		delete(s.attempts, ev.Call.Seq)
		s.retry.Set(now, 0)
		return l.observe(now, s, ev.Objects[0].Version, ev.Objects[0].Value)
	case ev.Code == event.CodeConflict, ev.Code == event.CodeNotFound, ev.Code == event.CodeUnavailable:
		delete(s.attempts, ev.Call.Seq) // it has not taken effect and never will
	}
	s.retry.Fail(now, l.self.Rand)
	return []event.Action{l.log(s, "write", fmt.Sprintf("failed, code=%d failures=%d", ev.Code, s.retry.Failures()))}
}

// observe records a revision of the object. If this process has written it, the lease counts from the start of that write.
func (l *Leases) observe(now time.Time, s *lease, revision uint64, raw []byte) []event.Action {
	if revision <= s.revision {
		return nil
	}
	o, err := decodeObject(raw)
	present := o.Era == l.era
	switch {
	case err != nil: // it is taken over like that of another node
		o, present = object{Holder: unknownHolder, Token: s.maxToken}, !s.copied
	case o.Era > l.era: // a write succeeds only after this node has learned of that era
		o, present = object{Holder: unknownHolder, Token: o.Token}, false
	}
	before := s.stored
	s.exists, s.revision, s.stored, s.seenAt = true, revision, o, now
	s.maxToken = max(s.maxToken, o.Token)
	start, confirmed := s.attempts[o.Write]
	clear(s.attempts) // all were conditional on an earlier revision
	if !present {
		return l.observeCopy(now, s)
	}
	s.copied, s.lastHolder, s.latest, s.latestAt = false, false, o, now
	if !confirmed || !l.owned(s) {
		var out []event.Action
		if o.Token != before.Token || o.Released != before.Released {
			out = append(out, l.log(s, "holder", fmt.Sprintf("holder=%s token=%d released=%t before=%s", o.Holder, o.Token, o.Released, before.Holder)))
		}
		return append(out, l.lose(s)...)
	}
	s.heldFrom, s.heldToken, s.lastHeld, s.releasing = start, o.Token, start, false
	if o.Released {
		s.heldFrom = time.Time{}
		return []event.Action{l.log(s, "release", fmt.Sprintf("token=%d", o.Token)), Held{Subject: s.subject, Token: o.Token}}
	}
	s.outdated = s.outdated && o.Token == before.Token
	s.requested, s.record = false, nil
	var out []event.Action
	if o.Token != before.Token {
		out = append(out, l.log(s, "take", fmt.Sprintf("token=%d before=%s released=%t waited=%s recent=%v",
			o.Token, before.Holder, before.Released, now.Sub(start), o.Recent)))
	}
	return append(out, Held{Subject: s.subject, Token: o.Token, Held: true}, Recorded{Subject: s.subject, Token: o.Token, Record: o.Record})
}

// lose ends the lease, and drops the requests that are based on an earlier record, after the object was written by another
// process or deleted.
func (l *Leases) lose(s *lease) []event.Action {
	var out []event.Action
	if !s.heldFrom.IsZero() {
		out = append(out, Held{Subject: s.subject})
	}
	s.heldFrom, s.releasing, s.requested, s.record = time.Time{}, false, false, nil
	return append(out, s.changed())
}

// changed reports the last known content.
func (s *lease) changed() Changed {
	return Changed{Subject: s.subject, Holder: s.latest.Holder, Record: s.latest.Record}
}

// handleDeleted handles the deletion of the object. maxToken is kept, so that tokens never decrease. An object that only the copy
// lacks, from which the store has come back, gives no reason to end the lease of its holder.
func (l *Leases) handleDeleted(now time.Time, s *lease) []event.Action {
	s.exists, s.seenAt = false, now
	s.stored = object{}
	clear(s.attempts)
	if s.copied {
		return nil
	}
	s.latest = object{}
	return append([]event.Action{l.log(s, "deleted", "")}, l.lose(s)...)
}

func (l *Leases) log(s *lease, choice, reason string) event.Log {
	return event.Log{Kind: "duty", Stage: s.subject.String(), Choice: choice, Reason: reason}
}
