package batch

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
)

// callRoute is the route under which all calls of a pool are judged; their pieces come from many routes.
const callRoute = "calls"

// versionPolicy says which versions of servers get calls, and takes in how these went.
type versionPolicy interface {
	AllowsCall(now time.Time, pool id.Pool, v id.Version) bool
	Called(pool id.Pool, v id.Version)
	Ended(pool id.Pool, v id.Version)
	Observe(now time.Time, pool id.Pool, v id.Version, s evidence.Sample)
}

// WithVersions restricts calls to the versions that may get them.
func WithVersions(v versionPolicy) Option { return func(s *Scheduler) { s.versions = v } }

// allVersions allows every version.
type allVersions struct{}

func (allVersions) AllowsCall(time.Time, id.Pool, id.Version) bool          { return true }
func (allVersions) Called(id.Pool, id.Version)                              {}
func (allVersions) Ended(id.Pool, id.Version)                               {}
func (allVersions) Observe(time.Time, id.Pool, id.Version, evidence.Sample) {}

// observeVersion tells how a call went. Calls with the same number of pieces are compared, because that decides their time.
func (s *Scheduler) observeVersion(now time.Time, c *call, ev CallEnded) {
	if ev.Fail == event.FailUnsent || ev.Fail == event.FailRejected {
		return
	}
	failed := ev.Fail != 0 || len(ev.Outcomes) != len(c.pieces) ||
		slices.ContainsFunc(ev.Outcomes, func(o Outcome) bool { return o.Reason == ReasonFailed })
	if !failed && !allSucceeded(ev.Outcomes) {
		return // its time says nothing about speed
	}
	s.versions.Observe(now, c.queue.pool.Name, c.version, evidence.Sample{
		Route: callRoute, Took: now.Sub(c.startedAt), Failed: failed, Load: len(c.pieces),
	})
}
