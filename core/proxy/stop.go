package proxy

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"bluebellflow/core/event"
)

const (
	// balancerLag is how long the platform's load balancer may still send callers to a node that is not ready.
	balancerLag = 3 * time.Second
	// shutdownPollInterval is how often a stopping node checks whether its last request has ended.
	shutdownPollInterval = 50 * time.Millisecond
	// exitMargin is the part of the grace period that is left for the last responses when the node exits.
	exitMargin = 300 * time.Millisecond
	// refuseMargin is the part of the grace period that is left when requests that no server has received are refused.
	refuseMargin = 800 * time.Millisecond
	// shutdownRetryAfter is the Retry-After of these requests; another node will serve them.
	shutdownRetryAfter = 100 * time.Millisecond
)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	began    time.Time // zero if the node is not stopping
	nextPoll time.Time
	closed   bool // no new connections are accepted
	exited   bool
}

type (
	// Drain tells the HTTP server to close connections after their next response.
	Drain struct{ event.Out }
	// Close tells the HTTP server to accept no new connections and to close idle ones.
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

// advanceShutdown closes the listener after balancerLag, and refuses waiting requests at the end of the grace period.
func (g *Gateway) advanceShutdown(now time.Time, out *actions) {
	since := now.Sub(g.shutdown.began)
	if since >= balancerLag && !g.shutdown.closed {
		g.shutdown.closed = true
		out.add(Close{})
	}
	if since < g.bounds.Grace-refuseMargin {
		return
	}
	for _, t := range slices.Sorted(maps.Keys(g.requests)) {
		if r := g.requests[t]; r.phase != running && !r.mayHaveRun {
			g.refuse(r, http.StatusServiceUnavailable, shutdownRetryAfter, "this node stops", out)
		}
	}
}

// shutdownDone reports whether a stopping node has no work left, or no time.
func (g *Gateway) shutdownDone(now time.Time) bool {
	since := now.Sub(g.shutdown.began)
	if since >= g.bounds.Grace-exitMargin {
		return true
	}
	return since >= balancerLag && len(g.requests) == 0 && g.scheduler.ActiveCalls() == 0 && g.scheduler.OpenJobs() == 0
}
