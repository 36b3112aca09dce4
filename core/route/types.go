package route

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/permit"
)

// Query describes the attempt that needs a server.
type Query struct {
	Request      id.Request
	Stage        string
	Pool         id.Pool
	Version      id.Version // empty for any version
	PrefixHashes []uint64   // hashes of the prompt's prefixes, shortest first
	Exclude      []id.Server
	Exclusive    bool // only a server on which this node has nothing else in flight
	Deadline     time.Time
	// LastReason is why the request is waiting already; it is not logged again at each look.
	LastReason string
}

// Decision says what came of a Query.
type Decision uint8

const (
	// Chosen means that the attempt may be dispatched now.
	Chosen Decision = iota + 1
	// Wait means that servers exist but none may take the attempt now; a Room event follows.
	Wait
	// NoServer means that no server of the pool and version may be used.
	NoServer
)

// Choice is the answer to a Query.
type Choice struct {
	Decision Decision
	Server   member.Server
	Reason   string
}

// OutcomeKind says how an attempt ended.
type OutcomeKind uint8

const (
	// Completed means that the end mark arrived.
	Completed OutcomeKind = iota + 1
	// Errored means that the server answered with an error.
	Errored
	// ConnFailed means that the connection could not be made or broke.
	ConnFailed
	// Rejected means that the server did not run the attempt.
	Rejected
	// Cancelled means that this node abandoned the attempt; it says nothing about the server.
	Cancelled
)

// Outcome is the end of an attempt.
type Outcome struct {
	Kind   OutcomeKind
	Took   time.Duration
	Start  id.Start // as in the answer, empty if there was none
	Tokens int
}

type (
	// RetryPlacement says that waiting work of a pool may fit now.
	RetryPlacement struct {
		event.Internal
		Pool id.Pool
	}
	// PoolLimits tells how many attempts in flight a cold and a warm server of each pool can handle.
	PoolLimits struct {
		event.Internal
		Cold, Warm map[id.Pool]int
	}
	// DomainState tells whether a failure domain takes new work, and whether its servers count as cold from now on.
	DomainState struct {
		event.Internal
		Domain id.FailureDomain
		Open   bool
		Cold   bool
	}
)

// Names of the baselines that Baselines accepts.
const (
	RoundRobin  = "roundrobin"
	LeastLoaded = "least"
	TwoChoices  = "twochoices"
	NoLocality  = "nolocality"
)

// Option changes a Router.
type Option func(*Router)

// WithBaselines turns on baselines by name; package permit's names are accepted as well, unknown names are ignored.
func WithBaselines(names ...string) Option {
	return func(r *Router) {
		for _, name := range names {
			r.baselines.Add(name)
			for _, b := range []permit.Baseline{permit.StaticDivision, permit.TimedRamp, permit.NoPermit} {
				if name == string(b) {
					r.permitOptions = append(r.permitOptions, permit.WithBaseline(b))
				}
			}
		}
	}
}

// WithoutLeavingMarkers ignores leaving markers, for the proof that they matter.
func WithoutLeavingMarkers() Option { return func(r *Router) { r.noLeavingMarkers = true } }

// WithoutEjectionBound ejects any number of servers, for the proof that the bound matters.
func WithoutEjectionBound() Option { return func(r *Router) { r.noEjectionBound = true } }

// Limits of the per-server record.
const (
	// historyLength is how many changes of the own in-flight count are kept to interpret a lagging report.
	historyLength = 16
	// maxReportAge is how long a load report counts.
	maxReportAge = 10 * time.Second
	// slowFactor times its own history is the service time that marks a server as cold again.
	slowFactor = 4
	// slowRunLength is how many slow completions in a row make a sign; one long prompt alone must not.
	slowRunLength = 2
	// minSamples is how many completions make a history.
	minSamples = 8
	smoothing  = 0.1
)

type inFlightSample struct {
	at    time.Time
	count int
}

// server is what the router knows about one backend server.
type server struct {
	member.Server
	inflight         int
	exclusive        bool // an attempt that must be alone runs
	history          []inFlightSample
	limit            int
	othersInFlight   int       // attempts of other nodes, from the last load report
	reportedAt       time.Time // arrival of the last load report
	measuredAt       time.Time // server time of the last load report
	unreachableSince time.Time // since when it has not answered load queries, zero if it has

	meanServiceTime float64 // smoothed service time, for each token if the stage has tokens
	samples         int
	slowRun         int // slow completions in a row

	endedStart id.Start  // a start that has ended; the next one has not reported yet
	endedAt    time.Time // when that was seen

	failures     int // in a row
	ejections    int
	ejectedUntil time.Time // until when the server is put aside

	cacheEpoch   uint32 // counts the starts, because a new process has an empty cache
	nextCacheSeq uint64
	cacheGapAt   time.Time // when cache events were last missed
}

func (s *server) addInFlight(now time.Time, n int) {
	s.inflight = max(0, s.inflight+n)
	if len(s.history) == historyLength {
		s.history = slices.Delete(s.history, 0, 1)
	}
	s.history = append(s.history, inFlightSample{now, s.inflight})
}

// ownInFlightAt returns how many of this node's attempts were in flight at an earlier time.
func (s *server) ownInFlightAt(at time.Time) int {
	for i := len(s.history) - 1; i >= 0; i-- {
		if !s.history[i].at.After(at) {
			return s.history[i].count
		}
	}
	if len(s.history) == historyLength {
		return s.history[0].count
	}
	return 0
}

func (s *server) applyReport(now time.Time, ev event.LoadReport) {
	if ev.At.Before(s.measuredAt) {
		return // overtaken by a newer one
	}
	s.measuredAt = ev.At
	s.othersInFlight = max(0, ev.Running+ev.Waiting-s.ownInFlightAt(ev.At))
	s.reportedAt = now
	s.unreachableSince = time.Time{}
	s.limit = ev.Limit
}

// load estimates all attempts in flight on the server.
func (s *server) load(now time.Time) int {
	if now.Sub(s.reportedAt) > maxReportAge {
		return s.inflight
	}
	return s.inflight + s.othersInFlight
}

// recordCompletion takes in a completion and reports whether it was normal and whether it is a sign of a cold server.
func (s *server) recordCompletion(o Outcome) (normal, sign bool) {
	took := o.Took.Seconds() / float64(max(1, o.Tokens))
	normal = s.samples < minSamples || took < slowFactor*s.meanServiceTime
	if s.samples == 0 {
		s.meanServiceTime = took
	}
	// Slow completions count up to the factor, so that a server that stays slow becomes its own new history.
	s.meanServiceTime += smoothing * (min(took, slowFactor*s.meanServiceTime) - s.meanServiceTime)
	s.samples++
	if normal {
		s.slowRun = 0
		return true, false
	}
	s.slowRun++
	return false, s.slowRun == slowRunLength
}
