package batch

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
)

// callRoute is the route under which samples of all calls of a pool are reported; their pieces belong to many routes.
const callRoute = "calls"

// versionPolicy decides which server versions may get calls, and receives a sample of each call.
type versionPolicy interface {
	AllowsCall(now time.Time, pool id.Pool, v id.Version) bool
	CountCall(pool id.Pool, v id.Version)
	RequestEnded(pool id.Pool, v id.Version)
	Observe(now time.Time, pool id.Pool, v id.Version, s evidence.Sample)
	SimilarLoad(now time.Time, pool id.Pool) bool
}

// WithVersions restricts calls to the server versions that the policy allows.
func WithVersions(v versionPolicy) Option { return func(s *Scheduler) { s.versions = v } }

// allVersions allows every version.
type allVersions struct{}

func (allVersions) AllowsCall(time.Time, id.Pool, id.Version) bool          { return true }
func (allVersions) CountCall(id.Pool, id.Version)                           {}
func (allVersions) RequestEnded(id.Pool, id.Version)                        {}
func (allVersions) Observe(time.Time, id.Pool, id.Version, evidence.Sample) {}
func (allVersions) SimilarLoad(time.Time, id.Pool) bool                     { return false }

// observeVersion reports a sample of a call. Its load is the number of pieces, because the duration depends on it and only
// calls with the same load are compared. A call counts as rejected if the server ran none of it, or gave no result for a piece
// of it although the piece did not fail.
func (s *Scheduler) observeVersion(now time.Time, c *call, ev CallEnded) {
	sample := evidence.Sample{Route: callRoute, Took: now.Sub(c.startedAt), Load: len(c.pieces)}
	switch {
	case ev.Fail == event.FailUnsent:
		return
	case ev.Fail == event.FailRejected:
		sample.Rejected = true
	case ev.Fail != 0 || len(ev.Outcomes) != len(c.pieces):
		sample.Failed = true
	case slices.ContainsFunc(ev.Outcomes, func(o Outcome) bool { return o.Reason == ReasonFailed }):
		sample.Failed = true
	default:
		sample.Rejected = !allSucceeded(ev.Outcomes)
	}
	if sample.Rejected && (ev.Leaving || !s.versions.SimilarLoad(now, c.queue.pool.Name)) {
		return // the server may have had no room for it
	}
	s.versions.Observe(now, c.queue.pool.Name, c.version, sample)
}
