package duty

import (
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/retry"
	"bluebellflow/core/watchcache"
)

const (
	owner = "duty"
	// unknownHolder is used as the holder of an object that cannot be decoded.
	unknownHolder id.Node = "?"
	// minCallTime is the least time that must be left of the lease for a call to be made.
	minCallTime = 200 * time.Millisecond
	// rateFraction is the part of the service's rate that one node uses, because a previous holder may have used some of it
	// within the same second. burstFraction is the part of the rate that may be used at once.
	rateFraction  = 0.7
	burstFraction = 0.1
)

// Options holds the settings of the leases, which must be the same on all nodes.
type Options struct {
	Lease          time.Duration
	CallsPerSecond float64 // accepted by the service from all nodes together
}

// Leases holds this node's view of all subjects.
type Leases struct {
	self     event.Self
	opts     Options
	limiter  *rate.Limiter
	leading  bool
	stopping bool
	loaded   bool // the objects have been loaded
	era      uint64
	eraSince time.Time // when this node learned of the era
	subjects map[Subject]*lease
	inFlight map[uint64]*lease // by number of the write
	calls    map[uint64]*lease // calls to the service in progress, by number
	writes   uint64
	lastCall uint64
}

// New returns leases that are not held.
func New(self event.Self, opts Options) *Leases {
	burst := max(1, int(opts.CallsPerSecond*burstFraction))
	return &Leases{
		self: self, opts: opts, limiter: rate.NewLimiter(rate.Limit(opts.CallsPerSecond*rateFraction), burst),
		subjects: map[Subject]*lease{}, inFlight: map[uint64]*lease{}, calls: map[uint64]*lease{},
	}
}

// active reports whether this node should hold leases.
func (l *Leases) active() bool { return l.leading && !l.stopping }

// SetLeading sets whether this node ranks first among the nodes. Only such a node takes leases. If several nodes rank themselves
// first, conditional writes to the store decide which one holds a lease. A node that no longer ranks first releases its leases.
func (l *Leases) SetLeading(now time.Time, leading bool) []event.Action {
	l.leading = leading
	return l.advanceAll(now)
}

// Active reports whether this node ranks first and is not stopping. Otherwise its requests to write are dropped.
func (l *Leases) Active() bool { return l.active() }

// Loaded reports whether the objects of all subjects have been loaded.
func (l *Leases) Loaded() bool { return l.loaded }

// Holds returns the fencing token of a subject if this node holds its lease now.
func (l *Leases) Holds(now time.Time, subject Subject) (token uint64, ok bool) {
	s := l.subjects[subject]
	if s == nil || !l.active() || !now.Before(l.heldUntil(s)) {
		return 0, false
	}
	return s.heldToken, true
}

// Record returns the last known record of a subject, written by any node. There is none if the object does not exist. If the store
// has come back from a copy, the record is the one that this node has seen before, until the object is written again.
func (l *Leases) Record(subject Subject) (record []byte, ok bool) {
	s := l.subjects[subject]
	if s == nil || !s.latest.exists() {
		return nil, false
	}
	return s.latest.Record, true
}

// StaleSince reports whether another node may have written a record, and acted on it, that this node has not seen and the store has
// forgotten. If so, every such record was written before since.
func (l *Leases) StaleSince(subject Subject) (since time.Time, stale bool) {
	s := l.subjects[subject]
	if s == nil {
		return l.eraSince, l.era > 0
	}
	return l.copiedAt(s), s.copied && !s.lastHolder
}

// NewRecord returns the request to write a record that was computed from the present one.
func (l *Leases) NewRecord(subject Subject, record []byte) WriteRecord {
	w := WriteRecord{Subject: subject, Record: record, era: l.era}
	if s := l.subjects[subject]; s != nil {
		w.base = s.revision
	}
	return w
}

// Call returns a call that may be made now for a subject. If the rate limit does not allow one yet, ok is false and retryAt is the
// time of the next attempt. If the lease is not held or ends too soon, ok is false and retryAt is zero; the caller then takes or
// renews the lease by a WriteRecord.
func (l *Leases) Call(now time.Time, subject Subject, body []byte) (c Call, retryAt time.Time, ok bool) {
	token, ok := l.Holds(now, subject)
	if !ok {
		return Call{}, time.Time{}, false
	}
	s := l.subjects[subject]
	until := l.heldUntil(s)
	if until.Sub(now) < minCallTime {
		return Call{}, time.Time{}, false
	}
	r := l.limiter.ReserveN(now, 1)
	if delay := r.DelayFrom(now); delay > 0 {
		r.CancelAt(now)
		return Call{}, now.Add(delay), false
	}
	l.lastCall++
	l.calls[l.lastCall] = s
	s.calls++
	return Call{Subject: subject, Token: token, Number: l.lastCall, Until: until, Body: body}, time.Time{}, true
}

// Releasing reports whether a lease is still to be released, which a stopping node waits for.
func (l *Leases) Releasing() bool {
	for _, s := range l.subjects {
		if l.mustRelease(s) {
			return true
		}
	}
	return false
}

// Next returns the time of the next timer, zero for none.
func (l *Leases) Next() time.Time {
	var out time.Time
	for _, s := range l.subjects {
		out = retry.Earliest(out, s.retry.Next())
		if s.requested && l.active() && s.inFlight == 0 {
			out = retry.Earliest(out, l.writableAt(s))
		}
	}
	return out
}

// Step handles one event.
func (l *Leases) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	switch ev := ev.(type) {
	case watchcache.KindLoaded:
		l.loaded = l.loaded || ev.Kind == Kind
	case watchcache.EraLearned:
		out = l.changeEra(now, ev.Era)
	case watchcache.EraChanged:
		out = l.changeEra(now, ev.Era)
	case watchcache.ObjectChanged:
		if ev.Kind == Kind {
			out = l.observe(now, l.subject(parseSubject(ev.Object.Name)), ev.Object.Revision, ev.Object.Spec)
		}
	case watchcache.ObjectDeleted:
		if ev.Kind == Kind {
			out = l.handleDeleted(now, l.subject(parseSubject(ev.Name)))
		}
	case event.PlatformResult:
		if ev.Call.Owner == owner {
			out = l.handleResult(now, ev)
		}
	case WriteRecord:
		out = l.handleRequest(ev)
	case CallResult:
		out = l.handleCallResult(now, ev)
	case event.Stop:
		l.stopping = true
	}
	return append(out, l.advanceAll(now)...)
}

// handleRequest accepts a request to write a record, unless the object has changed since the request was made.
func (l *Leases) handleRequest(ev WriteRecord) []event.Action {
	if ev.Subject.Check() != nil || !l.active() {
		return nil
	}
	s := l.subject(ev.Subject)
	if ev.era != l.era || ev.base != s.revision {
		return []event.Action{s.changed()}
	}
	s.requested, s.record = true, ev.Record
	return nil
}

// handleCallResult handles the end of a call to the service.
func (l *Leases) handleCallResult(now time.Time, ev CallResult) []event.Action {
	s := l.calls[ev.Number]
	delete(l.calls, ev.Number)
	if s == nil {
		return nil
	}
	s.calls--
	switch ev.Outcome {
	case Throttled:
		l.limiter.ReserveN(now, l.limiter.Burst()) // nodes before this one may have used up the rate
	case Outdated:
		s.outdated = true
		return []event.Action{l.log(s, "outdated", ev.Detail)}
	}
	return nil
}

// advanceAll starts the writes that are due.
func (l *Leases) advanceAll(now time.Time) []event.Action {
	var out []event.Action
	for _, subject := range slices.SortedFunc(maps.Keys(l.subjects), compareSubjects) {
		s := l.subjects[subject]
		if !l.active() {
			s.requested, s.record = false, nil
		}
		s.retry.Due(now)
		out = append(out, l.advance(now, s)...)
	}
	return out
}

func (l *Leases) subject(subject Subject) *lease {
	s := l.subjects[subject]
	if s == nil {
		s = &lease{subject: subject, attempts: map[uint64]time.Time{}, copied: l.era > 0}
		l.subjects[subject] = s
	}
	return s
}

// parseSubject returns the subject whose object has the given name.
func parseSubject(name string) Subject {
	duty, rest, _ := strings.Cut(name, separator)
	return Subject{Duty: Duty(duty), Name: rest}
}

func compareSubjects(a, b Subject) int { return strings.Compare(a.String(), b.String()) }
