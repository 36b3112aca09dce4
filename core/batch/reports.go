package batch

import (
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/selfreport"
)

// serverReports keeps what servers say of themselves in the responses to calls, and tells when they may get calls.
type serverReports interface {
	Observe(now time.Time, p selfreport.Process, sent time.Time, r selfreport.Report) []event.Action
	ReadyAt(time.Time, *fleet.Server, selfreport.Senders) (time.Time, string)
	CountRequest(time.Time, *fleet.Server)
	Limit(*fleet.Server) (rate float64, limited bool)
}

// WithReports passes what servers say of themselves to r, and calls them only when r allows it.
func WithReports(r serverReports) Option { return func(s *Scheduler) { s.reports = r } }

// noReports ignores all reports.
type noReports struct{}

func (noReports) Observe(time.Time, selfreport.Process, time.Time, selfreport.Report) []event.Action {
	return nil
}

func (noReports) ReadyAt(time.Time, *fleet.Server, selfreport.Senders) (time.Time, string) {
	return time.Time{}, ""
}

func (noReports) CountRequest(time.Time, *fleet.Server) {}

func (noReports) Limit(*fleet.Server) (float64, bool) { return 0, false }

// usable reports whether a worker takes calls now or before long.
func (s *Scheduler) usable(now time.Time, w *worker) bool {
	usable, _ := s.servers.Usable(w.Server)
	return usable && s.readyIn(now, w) <= s.queues[w.Pool].pool.Pieces.CallTime
}

// allowedShare returns the part of its time in which a worker may run full calls, by the limit that it has named.
func (s *Scheduler) allowedShare(w *worker) float64 {
	rate, limited := s.reports.Limit(w.Server)
	if !limited {
		return 1
	}
	p := s.queues[w.Pool].pool.Pieces
	full := p.CallTime + time.Duration(p.MaxBatch)*p.PieceTime
	return min(1, rate*full.Seconds())
}

// readyIn returns how long a worker gets no calls because of what it said of itself. Only the leader calls it.
func (s *Scheduler) readyIn(now time.Time, w *worker) time.Duration {
	at, _ := s.reports.ReadyAt(now, w.Server, selfreport.OneNode)
	return max(0, at.Sub(now))
}
