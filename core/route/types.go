package route

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/permit"
)

// Query describes an attempt that needs a server.
type Query struct {
	Request      id.Request
	Stage        string
	Pool         id.Pool
	Version      id.Version // empty for any version
	PrefixHashes []uint64   // hashes of the prompt's prefixes, shortest first
	Exclude      []id.Server
	Exclusive    bool // only a server on which this node has no other attempt in flight
	Deadline     time.Time
	// LastReason is the reason logged last while the request waits; the same reason is not logged again.
	LastReason string
}

// Decision is the result of a Query.
type Decision uint8

const (
	// Chosen means that the attempt may be dispatched now.
	Chosen Decision = iota + 1
	// Wait means that servers exist but none may take the attempt now; a RetryPlacement event follows.
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
	// Completed means that the whole answer arrived.
	Completed OutcomeKind = iota + 1
	// Errored means that the server answered with an error.
	Errored
	// ConnFailed means that the connection could not be opened or broke.
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
	Start  id.Start // start identity from the answer, empty if there was none
	Tokens int
}

type (
	// RetryPlacement says that waiting work of a pool may find a server now.
	RetryPlacement struct {
		event.Internal
		Pool id.Pool
	}
	// PoolLimits says how many attempts in flight a cold and a warm server of each pool can handle.
	PoolLimits struct {
		event.Internal
		Cold, Warm map[id.Pool]int
	}
	// DomainState says whether a failure domain takes new work, and whether its servers count as cold from now on.
	DomainState struct {
		event.Internal
		Domain id.FailureDomain
		Open   bool
		Cold   bool
	}
)

// Baselines that WithBaselines accepts: simpler placement policies, for comparison.
const (
	RoundRobin  = "roundrobin"
	LeastLoaded = "least"
	TwoChoices  = "twochoices"
	NoLocality  = "nolocality"
)

// Option changes a Router.
type Option func(*Router)

// WithBaselines turns on baselines by name. It also accepts the names of package permit, and ignores unknown names.
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

// WithoutLeavingMarkers ignores leaving markers, for tests that show that they are needed.
func WithoutLeavingMarkers() Option { return func(r *Router) { r.noLeavingMarkers = true } }

// WithoutEjectionBound ejects any number of servers, for tests that show that the bound is needed.
func WithoutEjectionBound() Option { return func(r *Router) { r.noEjectionBound = true } }

// Parameters of the per-server state.
const (
	// historyLength is how many changes of this node's in-flight count are kept to interpret a late load report.
	historyLength = 16
	// maxReportAge is the age up to which a load report is used.
	maxReportAge = 10 * time.Second
	// slowFactor is the multiple of the server's mean service time from which a completion counts as slow.
	slowFactor = 4
	// slowRunLength is how many consecutive slow completions mark a server as cold again; one long prompt alone must not.
	slowRunLength = 2
	// minSamples is the number of completions from which the mean service time is used.
	minSamples = 8
	smoothing  = 0.1 // weight of a new completion in the mean service time
)

// inFlightSample is this node's in-flight count from a time on.
type inFlightSample struct {
	at    time.Time
	count int
}

// server is the router's state of one backend server.
type server struct {
	member.Server
	inFlight         int
	exclusive        bool // an exclusive attempt is in flight
	history          []inFlightSample
	limit            int
	othersInFlight   int       // attempts of other nodes, from the last load report
	reportedAt       time.Time // arrival of the last load report
	measuredAt       time.Time // server time of the last load report
	unreachableSince time.Time // since when load queries have failed, zero while the server answers

	meanServiceTime float64 // moving average in seconds, per token if the stage has tokens
	samples         int
	slowRun         int // consecutive slow completions

	endedStart id.Start  // start whose process has ended, empty once the server answers again
	endedAt    time.Time // when that was noticed

	failures     int // consecutive
	ejections    int // since the last completion
	ejectedUntil time.Time

	cacheEpoch   uint32    // counts the starts, because a new process has an empty prefix cache
	nextCacheSeq uint64    // expected sequence number of the next cache event, 0 if unknown
	cacheGapAt   time.Time // when a gap in the cache events was last seen
}

func (s *server) addInFlight(now time.Time, n int) {
	s.inFlight = max(0, s.inFlight+n)
	if len(s.history) == historyLength {
		s.history = slices.Delete(s.history, 0, 1)
	}
	s.history = append(s.history, inFlightSample{now, s.inFlight})
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
		return // a newer report arrived first
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
		return s.inFlight
	}
	return s.inFlight + s.othersInFlight
}

// recordCompletion updates the mean service time. It reports whether the completion was normal, and whether the server
// counts as cold from now on.
func (s *server) recordCompletion(o Outcome) (normal, cold bool) {
	took := o.Took.Seconds() / float64(max(1, o.Tokens))
	normal = s.samples < minSamples || took < slowFactor*s.meanServiceTime
	if s.samples == 0 {
		s.meanServiceTime = took
	}
	// Slow completions are capped, not ignored, so that the mean of a server that stays slow adapts.
	s.meanServiceTime += smoothing * (min(took, slowFactor*s.meanServiceTime) - s.meanServiceTime)
	s.samples++
	if normal {
		s.slowRun = 0
		return true, false
	}
	s.slowRun++
	return false, s.slowRun == slowRunLength
}
