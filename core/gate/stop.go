package gate

import (
	"fmt"
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
)

// stop is the state of a graceful shutdown.
type stop struct {
	began  time.Time // zero before
	next   time.Time
	exited bool
}

type (
	// Drain asks the callers' side to end connections with their next answer.
	Drain struct{ event.Out }
)

// beginStop makes the node unready; it goes on serving what it gets.
func (g *Gate) beginStop(now time.Time, out *actions) {
	if !g.stop.began.IsZero() {
		return
	}
	g.stop.began = now
	out.add(
		event.Log{Kind: "stop", Choice: "begin", Reason: fmt.Sprintf("requests=%d jobs=%d", len(g.requests), g.scheduler.Open())},
		Drain{})
}

// state emits what depends on all packages together: readiness and exit.
func (g *Gate) state(now time.Time) []event.Action {
	var out actions
	ready := g.stop.began.IsZero() && g.loaded()
	if ready != g.ready {
		g.ready = ready
		g.leader.SetReady(ready)
		out.add(event.Ready{Ready: ready}, event.Log{Kind: "ready", Choice: fmt.Sprint(ready)})
	}
	if g.stop.began.IsZero() || g.stop.exited {
		g.stop.next = time.Time{}
		return out
	}
	if g.finished(now) {
		g.stop.exited = true
		out.add(event.Log{Kind: "stop", Choice: "end", Reason: fmt.Sprintf("requests=%d jobs=%d after=%s", len(g.requests), g.scheduler.Open(), now.Sub(g.stop.began))}, event.Exit{})
		return out
	}
	g.stop.next = now.Add(stopPoll)
	return out
}

// finished reports whether a stopping node has nothing left to do, or no time.
func (g *Gate) finished(now time.Time) bool {
	since := now.Sub(g.stop.began)
	if since >= g.bounds.Grace-stopMargin {
		return true
	}
	return since >= balancerLag && len(g.requests) == 0 && g.scheduler.Busy() == 0 && g.scheduler.Open() == 0
}
