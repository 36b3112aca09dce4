package gateway

import (
	"context"
	"net/http"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
)

const (
	// lastResponseTime is how long after Stop a server may complete its response.
	lastResponseTime = 100 * time.Millisecond
	// stopRetryAfter is the Retry-After of requests that a stopped server refuses; another node will serve them.
	stopRetryAfter = 100 * time.Millisecond
)

// Stop tells the server that no more decisions will come. Requests that were not sent to a server are refused from now on,
// and those without a complete response are ended after lastResponseTime.
func (s *Server) Stop() { s.stop() }

// attemptContext returns a context that ends at a deadline, when the caller disconnects, or lastResponseTime after Stop.
func (x *exchange) attemptContext(deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(x.r.Context(), deadline)
	release := context.AfterFunc(x.server.stopped, func() { time.AfterFunc(lastResponseTime, cancel) })
	return ctx, func() {
		release()
		cancel()
	}
}

// end ends an exchange about which no more decisions will come, with the last decision if there is one.
func (x *exchange) end() {
	select {
	case a := <-x.actions:
		if x.execute(a) {
			return
		}
	default:
	}
	switch {
	case x.held != nil:
		x.sendHeld()
	case x.mayHaveRun:
		x.server.reportUnanswered(x)
		x.refuse(proxy.Refuse{Status: http.StatusBadGateway})
	default:
		x.refuse(proxy.Refuse{Status: http.StatusServiceUnavailable, After: stopRetryAfter})
	}
}

// progress is how far the gateway has got with a request.
type progress int32

const (
	reading   progress = iota // its head or body is being read
	undecided                 // the decision logic has not chosen a server yet
	forwarded                 // it was sent to a server
)

// String returns the name of the progress in log lines.
func (p progress) String() string { return [...]string{"reading", "undecided", "forwarded"}[p] }

// OpenRequest describes a request in progress.
type OpenRequest struct {
	Name     id.Request // empty if it is not known yet
	Progress string
	Age      time.Duration
}

// describe returns a description of the exchange.
func (x *exchange) describe() OpenRequest {
	r := OpenRequest{Progress: progress(x.progress.Load()).String(), Age: time.Since(x.start)}
	if r.Progress != reading.String() {
		r.Name = x.info.Name
	}
	return r
}

// ReportUnanswered reports all requests in progress as unanswered, because their connections are about to be closed.
func (s *Server) ReportUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.inProgress {
		s.reportUnanswered(x)
	}
}

// reportUnanswered counts and reports a request that gets no complete response of a server although it was sent to one, or
// none at all.
func (s *Server) reportUnanswered(x *exchange) {
	s.vars.Add("requests_unanswered", 1)
	s.onUnanswered(x.describe())
}
