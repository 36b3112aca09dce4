package batch

import (
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/selfreport"
)

// serverReports keeps what servers say of themselves in the responses to calls.
type serverReports interface {
	Observe(now time.Time, p selfreport.Process, sent time.Time, r selfreport.Report) []event.Action
}

// WithReports passes what servers say of themselves to r.
func WithReports(r serverReports) Option { return func(s *Scheduler) { s.reports = r } }

// noReports ignores all reports.
type noReports struct{}

func (noReports) Observe(time.Time, selfreport.Process, time.Time, selfreport.Report) []event.Action {
	return nil
}
