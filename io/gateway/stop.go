package gateway

import (
	"context"
	"net/http"
	"time"

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
		x.server.reportUnanswered(x, causeExit)
		x.refuse(proxy.Refuse{Status: http.StatusBadGateway})
	default:
		x.refuse(proxy.Refuse{Status: http.StatusServiceUnavailable, After: stopRetryAfter})
	}
}
