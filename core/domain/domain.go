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

// owner names this package in platform operations.
const owner = "domain"

const (
	// watchersPerDomain is the number of nodes of a failure domain that watch the records, so that one may fail.
	watchersPerDomain = 2
	// defaultRampDuration is how long a restored domain counts as ramping.
	defaultRampDuration = 30 * time.Second
	// defaultTimeout bounds the time until a restore gets its answer.
	defaultTimeout = 10 * time.Second
	// provisionalAfter is how long a drain waits for the platform before it becomes provisional. It leaves most of the
	// bound of 3 s for the way to all nodes.
	provisionalAfter = 500 * time.Millisecond
	// gossipInterval is the pause between two messages that compare records with a peer.
	gossipInterval = 400 * time.Millisecond
	// repeatDuration is how long a drain is repeated to all nodes of this domain with every comparison. Comparisons with
	// one peer at a time missed the bound of 3 s in 1 of 25,000 schedules with three of eight messages lost.
	repeatDuration = 2 * time.Second
	// compareInterval bounds how often a message that shows a newer version is answered by a comparison.
	compareInterval = 100 * time.Millisecond
	// pollInterval is how often a watcher reads the records without being told of a change.
	pollInterval = 10 * time.Second
	// callTimeout is the time after which a platform operation without a result counts as lost.
	callTimeout = 5 * time.Second
)

// Drain takes a failure domain out of service; it is answered by event.CommandResult with Outcome as its value.
type Drain struct {
	event.Command
	Domain id.FailureDomain
	By     string
}

// Restore brings a failure domain back into service; it is answered by event.CommandResult with Outcome as its value.
type Restore struct {
	event.Command
	Domain id.FailureDomain
	By     string
}

// Outcome is the answer to a command that left the domain in the state that was asked for.
type Outcome struct {
	Domain      id.FailureDomain `json:"domain"`
	State       State            `json:"state"`
	Epoch       uint64           `json:"epoch"`
	By          string           `json:"by"`          // whose change it is
	Won         bool             `json:"won"`         // this command made the change, and it is committed
	Provisional bool             `json:"provisional"` // in force on reachable nodes, to be committed later
}

// Changed tells the packages of a node that a failure domain is in another state.
type Changed struct {
	event.Internal
	Domain id.FailureDomain
	State  State
}

// Option changes a Domains.
type Option func(*Domains)

// WithRamp sets how long a restored domain counts as ramping.
func WithRamp(d time.Duration) Option { return func(s *Domains) { s.rampDuration = d } }

// WithTimeout sets how long a restore may wait for the platform.
func WithTimeout(d time.Duration) Option { return func(s *Domains) { s.timeout = d } }

// WithKnownDomains rejects commands for domains that the function does not know.
func WithKnownDomains(known func(id.FailureDomain) bool) Option {
	return func(s *Domains) { s.known = known }
}

// WithoutConditionalUpdate takes a version conflict for success. It exists to show that the proofs notice.
func WithoutConditionalUpdate() Option { return func(s *Domains) { s.noConditionalUpdate = true } }

// WithoutGossip tells peers nothing. It exists to show that the proofs notice.
func WithoutGossip() Option { return func(s *Domains) { s.noGossip = true } }

// WithoutMerge takes every record that arrives. It exists to show that the proofs notice.
func WithoutMerge() Option { return func(s *Domains) { s.noMerge = true } }

// Domains holds the states of all failure domains as one node knows them.
type Domains struct {
	self                event.Self
	rampDuration        time.Duration
	timeout             time.Duration
	known               func(id.FailureDomain) bool
	noConditionalUpdate bool
	noGossip            bool
	noMerge             bool

	view         *member.View
	records      map[id.FailureDomain]Record
	rampEnd      map[id.FailureDomain]time.Time // end of the ramp
	announced    map[id.FailureDomain]State     // last state that the other packages heard of
	recentDrains map[id.FailureDomain]time.Time // when a drain was learned, while it is still repeated
	version      uint64
	hash         uint64 // of the records, 0 if it has to be computed again
	ready        bool

	lastCall     uint64
	calls        map[uint64]pendingCall
	out          []event.Action
	started      bool
	gossip       retry.Timer
	gossipRounds int
	comparedAt   time.Time
	read         readState
	commit       commitState
}

// purpose says which part of the package waits for a platform operation.
type purpose uint8

const (
	purposeReadRecords purpose = iota + 1
	purposeReadBase
	purposePut
)

type pendingCall struct {
	purpose purpose
	expires time.Time
}

// New returns a Domains in which every domain is active.
func New(self event.Self, opts ...Option) *Domains {
	s := &Domains{
		self:         self,
		rampDuration: defaultRampDuration,
		timeout:      defaultTimeout,
		known:        func(id.FailureDomain) bool { return true },
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

// Version rises with every change of a record. Nodes with the same records have the same version.
func (s *Domains) Version() uint64 { return s.version }

// Ready reports whether the records come from the platform or from a node that has heard from it.
func (s *Domains) Ready() bool { return s.ready }

// Records returns all records, sorted by domain.
func (s *Domains) Records() []Record {
	out := make([]Record, 0, len(s.records))
	for _, d := range sortedKeys(s.records) {
		out = append(out, s.records[d])
	}
	return out
}

// Step handles an event.
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
		s.handleReceive(now, ev)
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

// Next returns the time of the next timer.
func (s *Domains) Next() time.Time {
	next := retry.Earliest(
		s.gossip.Next(), s.read.retry.Next(), s.read.poll.Next(), s.commit.retry.Next(), s.commit.nextDeadline(),
	)
	for _, one := range s.calls {
		next = retry.Earliest(next, one.expires)
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

// expireCalls takes operations without a result as lost, in the order in which they were made.
func (s *Domains) expireCalls(now time.Time) {
	var late []uint64
	for seq, one := range s.calls {
		if !one.expires.After(now) {
			late = append(late, seq)
		}
	}
	slices.Sort(late)
	for _, seq := range late {
		s.handleResult(now, event.PlatformResult{Call: event.PlatformCall{Owner: owner, Seq: seq}, Code: event.CodeUnknown})
	}
}

func (s *Domains) log(choice, format string, args ...any) {
	s.out = append(s.out, event.Log{Kind: owner, Choice: choice, Reason: fmt.Sprintf(format, args...)})
}

// announce tells the other packages if a domain is in another state than they know.
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

// merge keeps the better of two records and spreads it if it is new here. It reports whether it is.
func (s *Domains) merge(now time.Time, r Record) bool {
	old := s.records[r.Domain]
	better := compare(r, old) > 0
	if !better && (!s.noMerge || r == old) {
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
		// The writer's clock may be ahead of this one; the ramp must not become longer by that.
		start := r.changedAt()
		if start.After(now) {
			start = now
		}
		if end := start.Add(s.rampDuration); end.After(now) {
			s.rampEnd[r.Domain] = end
		}
	}
	s.log(r.verb(), "domain %s, epoch %d, by %s, provisional %t", r.Domain, r.Epoch, r.By, r.Provisional)
	s.announce(now, r.Domain)
	return better
}

// versionWeight is what a record adds to the version; a better record of the same domain has a larger weight, except
// between two provisional drains of the same epoch, which the sums compare.
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
