package proxy

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"bluebellflow/core/catalog"
	"bluebellflow/core/event"
)

const (
	// balancerLag is how long the platform's load balancer may still send callers to a node that is not ready: it asks once
	// a second, and takes a node out after two misses.
	balancerLag = 2500 * time.Millisecond
	// shutdownPollInterval is how often a stopping node checks whether its last request has ended.
	shutdownPollInterval = 50 * time.Millisecond
	// exitMargin is the part of the grace period that is left for the last responses when the node exits.
	exitMargin = 300 * time.Millisecond
	// minRunTime is the least time before the exit in which a request is still sent to a server.
	minRunTime = 500 * time.Millisecond
	// shutdownRetryAfter is the Retry-After of requests that a stopping node refuses; another node will serve them.
	shutdownRetryAfter = 100 * time.Millisecond
	// shutdownReason is the reason of these refusals in the log.
	shutdownReason = "this node stops"
)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	began    time.Time // zero if the node is not stopping
	nextPoll time.Time
	closed   bool // no new connections are accepted
	idle     bool // no connection is open
	exited   bool
}

type (
	// Drain tells the HTTP server to close connections after their next response.
	Drain struct{ event.Out }
	// Close tells the HTTP server to accept no new connections and to close each one as soon as it is idle. Closed follows.
	Close struct{ event.Out }
)

// beginShutdown makes the node unready. It continues to serve the requests that arrive.
func (g *Gateway) beginShutdown(now time.Time, out *actions) {
	if !g.shutdown.began.IsZero() {
		return
	}
	g.shutdown.began = now
	out.add(
		event.Log{Kind: "stop", Choice: "begin", Reason: fmt.Sprintf("requests=%d jobs=%d", len(g.requests), g.scheduler.OpenJobs())},
		Drain{})
}

// updateLifecycle emits changes of readiness and the steps of a shutdown, which depend on the state of all modules.
func (g *Gateway) updateLifecycle(now time.Time) []event.Action {
	var out actions
	ready := g.shutdown.began.IsZero() && g.loaded()
	if ready != g.ready {
		g.ready = ready
		g.leader.SetReady(ready)
		out.add(event.Readiness{Ready: ready}, event.Log{Kind: "ready", Choice: fmt.Sprint(ready)})
	}
	if g.shutdown.began.IsZero() || g.shutdown.exited {
		g.shutdown.nextPoll = time.Time{}
		return out
	}
	g.advanceShutdown(now, &out)
	if g.shutdownDone(now) {
		g.shutdown.exited = true
		out.add(event.Log{Kind: "stop", Choice: "end", Reason: fmt.Sprintf("requests=%d jobs=%d after=%s", len(g.requests), g.scheduler.OpenJobs(), now.Sub(g.shutdown.began))}, event.Exit{})
		return out
	}
	g.shutdown.nextPoll = now.Add(shutdownPollInterval)
	return out
}

// advanceShutdown closes the listener after balancerLag, and refuses waiting requests that could not end in time.
func (g *Gateway) advanceShutdown(now time.Time, out *actions) {
	if now.Sub(g.shutdown.began) >= balancerLag && !g.shutdown.closed {
		g.shutdown.closed = true
		out.add(Close{})
	}
	for _, t := range slices.Sorted(maps.Keys(g.requests)) {
		if r := g.requests[t]; r.phase != running && g.stopsBeforeResponse(now, r) {
			g.refuse(r, http.StatusServiceUnavailable, shutdownRetryAfter, shutdownReason, out)
		}
	}
}

// rejectsArrival reports whether a stopping node refuses a request that arrives now, because it comes after the listener was
// closed, or might not end before the exit. No request lasts longer than its patience. An unsafe one is taken only if it
// certainly ends, because nobody could tell its caller whether it has run; another one if it would rarely last longer.
func (g *Gateway) rejectsArrival(now time.Time, r *request, patience time.Duration) bool {
	longest := patience
	if r.route.Kind != catalog.Unsafe {
		longest = min(patience, g.durationsOf(r.route.Name).total.bound(maxDeviations))
	}
	return g.shutdown.closed || g.stopsWithin(now, longest)
}

// stopsBeforeResponse reports whether the node would often exit before the end of a request that no server has run, if it
// were sent to a server now. The limit is lower than for an arrival, because its stages would have to run again.
func (g *Gateway) stopsBeforeResponse(now time.Time, r *request) bool {
	response := min(g.durationsOf(r.route.Name).response.bound(1), r.deadline.Sub(now))
	return !r.mayHaveRun && g.stopsWithin(now, max(minRunTime, response))
}

// stopsWithin reports whether the node exits earlier than d from now.
func (g *Gateway) stopsWithin(now time.Time, d time.Duration) bool {
	exitAt := g.shutdown.began.Add(g.bounds.Grace - exitMargin)
	return !g.shutdown.began.IsZero() && now.Add(d).After(exitAt)
}

// shutdownDone reports whether a stopping node has no work left, or no time.
func (g *Gateway) shutdownDone(now time.Time) bool {
	since := now.Sub(g.shutdown.began)
	if since >= g.bounds.Grace-exitMargin {
		return true
	}
	return g.shutdown.idle && len(g.requests) == 0 && g.scheduler.ActiveCalls() == 0 && g.scheduler.OpenJobs() == 0 && !g.releasing()
}
