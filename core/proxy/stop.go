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
	// balancerLag is how long the platform's balancer may go on sending callers to a node that is not ready.
	balancerLag = 3 * time.Second
	// shutdownPollInterval is how often a stopping node looks whether its last request has ended.
	shutdownPollInterval = 50 * time.Millisecond
	// exitMargin is what a stopping node leaves of its grace for its last answers.
	exitMargin = 300 * time.Millisecond
	// refuseMargin is what is left of the grace when requests are refused that no server has got yet.
	refuseMargin = 800 * time.Millisecond
	// shutdownRetryAfter is when the caller of such a request may come back, to another node.
	shutdownRetryAfter = 100 * time.Millisecond
)

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	began    time.Time // zero before
	nextPoll time.Time
	closed   bool // no new connections are taken
	exited   bool
}

type (
	// Drain asks the callers' side to end connections with their next answer.
	Drain struct{ event.Out }
	// Close asks the callers' side to take no new connections and to close those that are not in use.
	Close struct{ event.Out }
)

// beginShutdown makes the node unready; it goes on serving what it gets.
func (g *Gate) beginShutdown(now time.Time, out *actions) {
	if !g.shutdown.began.IsZero() {
		return
	}
	g.shutdown.began = now
	out.add(
		event.Log{Kind: "stop", Choice: "begin", Reason: fmt.Sprintf("requests=%d jobs=%d", len(g.requests), g.scheduler.OpenJobs())},
		Drain{})
}

// updateLifecycle emits what depends on all packages together: readiness and exit.
func (g *Gate) updateLifecycle(now time.Time) []event.Action {
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

// advanceShutdown goes through the steps of a shutdown.
func (g *Gate) advanceShutdown(now time.Time, out *actions) {
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

// shutdownDone reports whether a stopping node has nothing left to do, or no time.
func (g *Gate) shutdownDone(now time.Time) bool {
	since := now.Sub(g.shutdown.began)
	if since >= g.bounds.Grace-exitMargin {
		return true
	}
	return since >= balancerLag && len(g.requests) == 0 && g.scheduler.ActiveCalls() == 0 && g.scheduler.OpenJobs() == 0
}
