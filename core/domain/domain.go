package domain

import (
	"fmt"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/retry"
)

// owner identifies this package in platform operations and log entries.
const owner = "domain"

const (
	// watchersPerDomain is the number of nodes of a failure domain that watch the records, so that one may fail.
	watchersPerDomain = 2
	// rampDuration is how long a restored domain counts as ramping up.
	rampDuration = 30 * time.Second
	// defaultTimeout is how long a restore may take until it is answered.
	defaultTimeout = 10 * time.Second
	// provisionalAfter is how long a drain waits for the platform before it is accepted provisionally. A drain must
	// reach all nodes within 3 s, so most of that time is left for its propagation.
	provisionalAfter = 500 * time.Millisecond
	// gossipInterval is the interval at which a node compares its records with those of a peer.
	gossipInterval = 400 * time.Millisecond
	// repeatDuration is how long a learned drain is sent again, at every gossip interval, to all nodes of this node's
	// failure domain. With comparisons alone, which reach one peer at a time, the bound of 3 s was missed in 1 of 25,000
	// schedules with three of eight messages lost.
	repeatDuration = 2 * time.Second
	// compareInterval is the minimum time between two comparisons caused by messages that carry a newer version.
	compareInterval = 100 * time.Millisecond
	// pollInterval is how often a watcher reads the records even if no change was announced.
	pollInterval = 10 * time.Second
	// callTimeout is the time after which the outcome of a platform operation without a result counts as unknown.
	callTimeout = 5 * time.Second
)

// Drain is the command to take a failure domain out of service. It is answered by event.CommandResult with an Outcome value.
type Drain struct {
	event.Command
	Domain id.FailureDomain
	By     string
}

// Restore is the command to bring a failure domain back into service. It is answered by event.CommandResult with an Outcome
// value.
type Restore struct {
	event.Command
	Domain id.FailureDomain
	By     string
}

// Outcome is the answer to a command after which the domain is in the requested state.
type Outcome struct {
	Domain      id.FailureDomain `json:"domain"`
	State       State            `json:"state"`
	Epoch       uint64           `json:"epoch"`
	By          string           `json:"by"`          // the operator who made the change
	Won         bool             `json:"won"`         // this command made the change, and the change is committed
	Provisional bool             `json:"provisional"` // in force on reachable nodes, to be committed later
}

// Changed tells the other packages of the node that the state of a failure domain has changed.
type Changed struct {
	event.Internal
	Domain id.FailureDomain
	State  State
}

// Option configures a Domains.
type Option func(*Domains)

// WithTimeout sets how long a restore may wait for the platform before it is answered with an error.
func WithTimeout(d time.Duration) Option { return func(s *Domains) { s.timeout = d } }

// WithoutConditionalUpdate treats a version conflict as success. It exists to show that the tests notice the missing
// mechanism.
func WithoutConditionalUpdate() Option { return func(s *Domains) { s.noConditionalUpdate = true } }

// WithoutGossip sends nothing to peers and ignores what they send. It exists to show that the tests notice the missing
// mechanism.
func WithoutGossip() Option { return func(s *Domains) { s.noGossip = true } }

// WithoutMerge accepts every record that arrives, even an outdated one. It exists to show that the tests notice the
// missing mechanism.
func WithoutMerge() Option { return func(s *Domains) { s.noMerge = true } }

// Domains holds the states of all failure domains as known to one node.
type Domains struct {
	self                event.Self
	timeout             time.Duration
	noConditionalUpdate bool
	noGossip            bool
	noMerge             bool

	view         *member.View
	records      map[id.FailureDomain]Record
	rampEnd      map[id.FailureDomain]time.Time
	announced    map[id.FailureDomain]State     // state last announced to the other packages, if any
	recentDrains map[id.FailureDomain]time.Time // when a drain was learned, for drains that are still repeated
	version      uint64
	hash         uint64 // hash of the records, 0 if it has to be recomputed
	ready        bool

	lastSeq      uint64
	calls        map[uint64]pendingCall
	out          []event.Action
	started      bool
	gossip       retry.Timer
	gossipRounds int
	comparedAt   time.Time
	read         readState
	commit       commitState
}

// purpose identifies what a platform operation was started for.
type purpose uint8

const (
	purposeReadRecords purpose = iota + 1
	purposeReadBase
	purposePut
)

// pendingCall is a platform operation without a result yet.
type pendingCall struct {
	purpose purpose
	expires time.Time
}

// New returns a Domains in which every domain is active.
func New(self event.Self, opts ...Option) *Domains {
	s := &Domains{
		self:         self,
		timeout:      defaultTimeout,
		records:      map[id.FailureDomain]Record{},
		rampEnd:      map[id.FailureDomain]time.Time{},
		announced:    map[id.FailureDomain]State{},
		recentDrains: map[id.FailureDomain]time.Time{},
		calls:        map[uint64]pendingCall{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// State returns the state of a domain; a domain that was never drained is active.
func (s *Domains) State(now time.Time, d id.FailureDomain) State {
	r, ok := s.records[d]
	switch {
	case !ok:
		return Active
	case r.Drained:
		return Drained
	case now.Before(s.rampEnd[d]):
		return Ramping
	}
	return Active
}

// Version increases with every change of a record. Nodes with the same records have the same version.
func (s *Domains) Version() uint64 { return s.version }

// Ready reports whether the node has learned the records from the platform or from a node that is ready.
func (s *Domains) Ready() bool { return s.ready }

// Records returns all records, sorted by domain.
func (s *Domains) Records() []Record {
	out := make([]Record, 0, len(s.records))
	for _, d := range sortedKeys(s.records) {
		out = append(out, s.records[d])
	}
	return out
}

// Step handles an event and returns the resulting actions.
func (s *Domains) Step(now time.Time, ev event.Event) []event.Action {
	if !s.started {
		s.started = true
		s.gossip.Set(now, time.Duration(s.self.Rand.Int64N(int64(gossipInterval))))
		s.readRecords(now)
	}
	switch ev := ev.(type) {
	case member.ViewChanged:
		s.handleView(now, ev.View)
	case event.ObjectChanged:
		if ev.Name == "" || ev.Name == objectName {
			s.readRecords(now)
		}
	case event.PlatformResult:
		s.handleResult(now, ev)
	case event.Receive:
		s.handleMessage(now, ev)
	case Drain:
		s.handleCommand(now, task{number: ev.Number, domain: ev.Domain, by: ev.By, drain: true})
	case Restore:
		s.handleCommand(now, task{number: ev.Number, domain: ev.Domain, by: ev.By})
	}
	s.runTimers(now)
	out := s.out
	s.out = nil
	return out
}

// Next returns when the next timer is due.
func (s *Domains) Next() time.Time {
	next := retry.Earliest(
		s.gossip.Next(), s.read.retry.Next(), s.read.poll.Next(), s.commit.retry.Next(), s.commit.nextDeadline(),
	)
	for _, call := range s.calls {
		next = retry.Earliest(next, call.expires)
	}
	for _, end := range s.rampEnd {
		next = retry.Earliest(next, end)
	}
	return next
}

func (s *Domains) runTimers(now time.Time) {
	s.expireCalls(now)
	if s.gossip.Due(now) {
		s.gossip.Set(now, gossipInterval)
		s.gossipToPeer()
		s.repeatDrains(now)
	}
	if s.read.retry.Due(now) {
		s.readRecords(now)
	}
	if s.read.poll.Due(now) {
		s.read.poll.Set(now, pollInterval)
		s.readRecords(now)
	}
	s.runCommitTimers(now)
	for _, d := range sortedKeys(s.rampEnd) {
		if !now.Before(s.rampEnd[d]) {
			delete(s.rampEnd, d)
			s.announce(now, d)
		}
	}
}

// expireCalls gives operations that have timed out an unknown outcome, in the order in which they were started.
func (s *Domains) expireCalls(now time.Time) {
	var expired []uint64
	for seq, call := range s.calls {
		if !call.expires.After(now) {
			expired = append(expired, seq)
		}
	}
	slices.Sort(expired)
	for _, seq := range expired {
		s.handleResult(now, event.PlatformResult{Call: event.PlatformCall{Owner: owner, Seq: seq}, Code: event.CodeUnknown})
	}
}

func (s *Domains) log(choice, format string, args ...any) {
	s.out = append(s.out, event.Log{Kind: owner, Choice: choice, Reason: fmt.Sprintf(format, args...)})
}

// announce tells the other packages the state of a domain if it has changed since the last announcement.
func (s *Domains) announce(now time.Time, d id.FailureDomain) {
	state := s.State(now, d)
	last, ok := s.announced[d]
	if !ok {
		last = Active
	}
	if state != last {
		s.announced[d] = state
		s.out = append(s.out, Changed{Domain: d, State: state})
	}
}

// merge replaces the record of a domain if the given record takes precedence, and reports whether it does. The caller
// then sends it to other nodes.
func (s *Domains) merge(now time.Time, r Record) bool {
	old := s.records[r.Domain]
	newer := compare(r, old) > 0
	if !newer && (!s.noMerge || r == old) {
		return false
	}
	s.records[r.Domain] = r
	s.version += versionWeight(r) - versionWeight(old)
	s.hash = 0
	delete(s.rampEnd, r.Domain)
	delete(s.recentDrains, r.Domain)
	if r.Drained {
		s.recentDrains[r.Domain] = now
	} else {
		// The clock of the node that made the change may be ahead, which must not prolong the ramp.
		start := r.changedAt()
		if start.After(now) {
			start = now
		}
		if end := start.Add(rampDuration); end.After(now) {
			s.rampEnd[r.Domain] = end
		}
	}
	s.log(r.verb(), "domain %s, epoch %d, by %s, provisional %t", r.Domain, r.Epoch, r.By, r.Provisional)
	s.announce(now, r.Domain)
	return newer
}

// versionWeight returns what a record contributes to the version. Of two records of a domain, the one that takes
// precedence weighs more. Two provisional drains of the same epoch weigh the same; a difference between them
// shows only in the digest.
func versionWeight(r Record) uint64 {
	if r.Epoch == 0 {
		return 0
	}
	w := 4 * r.Epoch
	if r.Drained {
		w += 2
	}
	if !r.Provisional {
		w++
	}
	return w
}
