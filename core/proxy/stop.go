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
	// stopPoll is how often a stopping node looks whether its last request has ended.
	stopPoll = 50 * time.Millisecond
	// stopMargin is what a stopping node leaves of its grace for its last answers.
	stopMargin = 300 * time.Millisecond
	// refuseMargin is what is left of the grace when requests are refused that no server has got yet.
	refuseMargin = 800 * time.Millisecond
	// stopRetry is when the caller of such a request may come back, to another node.
	stopRetry = 100 * time.Millisecond
)

// stop is the state of a graceful shutdown.
type stop struct {
	began  time.Time // zero before
	next   time.Time
	closed bool // no new connections are taken
	exited bool
}

type (
	// Drain asks the callers' side to end connections with their next answer.
	Drain struct{ event.Out }
	// Close asks the callers' side to take no new connections and to close those that are not in use.
	Close struct{ event.Out }
)

// beginStop makes the node unready; it goes on serving what it gets.
func (g *Gate) beginStop(now time.Time, out *actions) {
	if !g.stop.began.IsZero() {
		return
	}
	g.stop.began = now
	out.add(
		event.Log{Kind: "stop", Choice: "begin", Reason: fmt.Sprintf("requests=%d jobs=%d", len(g.requests), g.scheduler.OpenJobs())},
		Drain{})
}

// state emits what depends on all packages together: readiness and exit.
func (g *Gate) state(now time.Time) []event.Action {
	var out actions
	ready := g.stop.began.IsZero() && g.loaded()
	if ready != g.ready {
		g.ready = ready
		g.leader.SetReady(ready)
		out.add(event.Readiness{Ready: ready}, event.Log{Kind: "ready", Choice: fmt.Sprint(ready)})
	}
	if g.stop.began.IsZero() || g.stop.exited {
		g.stop.next = time.Time{}
		return out
	}
	g.proceed(now, &out)
	if g.finished(now) {
		g.stop.exited = true
		out.add(event.Log{Kind: "stop", Choice: "end", Reason: fmt.Sprintf("requests=%d jobs=%d after=%s", len(g.requests), g.scheduler.OpenJobs(), now.Sub(g.stop.began))}, event.Exit{})
		return out
	}
	g.stop.next = now.Add(stopPoll)
	return out
}

// proceed goes through the steps of a shutdown.
func (g *Gate) proceed(now time.Time, out *actions) {
	since := now.Sub(g.stop.began)
	if since >= balancerLag && !g.stop.closed {
		g.stop.closed = true
		out.add(Close{})
	}
	if since < g.bounds.Grace-refuseMargin {
		return
	}
	for _, t := range slices.Sorted(maps.Keys(g.requests)) {
		if r := g.requests[t]; r.phase != running && !r.maybe {
			g.refuse(r, http.StatusServiceUnavailable, stopRetry, "this node stops", out)
		}
	}
}

// finished reports whether a stopping node has nothing left to do, or no time.
func (g *Gate) finished(now time.Time) bool {
	since := now.Sub(g.stop.began)
	if since >= g.bounds.Grace-stopMargin {
		return true
	}
	return since >= balancerLag && len(g.requests) == 0 && g.scheduler.ActiveCalls() == 0 && g.scheduler.OpenJobs() == 0
}
