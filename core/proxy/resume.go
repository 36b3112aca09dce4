package proxy

import (
	"fmt"
	"slices"
	"time"

	"bluebellflow/core/catalog"
	"bluebellflow/core/denylist"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/selfreport"
)

const (
	// maxResumedRuns bounds how many servers may run the rest of a stream. Without it a request that crashes servers late in its
	// stream would crash one after another, because servers that have ended do not count as attempts.
	maxResumedRuns = 2
	// maxResumeWait is how long a broken stream waits for a server, or for the news that an earlier one has ended. Callers abandon a
	// stream after 2 s or more, and a caller that can resume by itself should be able to do so soon.
	maxResumeWait = 500 * time.Millisecond
	// maxRefusedConns bounds the processes that are remembered because they refused a connection.
	maxRefusedConns = 256
)

// resumption is the state of a stream that broke off after part of it had reached the caller.
type resumption struct {
	broken      bool      // it broke off, so that only the rest of the stream may follow
	lastEventID string    // of the last event that was passed on
	brokeAt     time.Time // when it broke off last
	until       time.Time // when its caller is expected to have abandoned it
	sends       int       // since it broke off last
	runs        int       // sends of the rest that a server may have run
	needsRetry  bool      // the next send takes a retry from the retry budget
}

// resumable reports whether the streams of a route may be continued by another server.
func resumable(r *catalog.Route) bool { return r.Kind == catalog.Stream && r.Resumable }

// resumeOrAbort continues a stream that has begun and failed on another server, or aborts it.
func (g *Gateway) resumeOrAbort(now time.Time, r *request, res Result, out *actions) {
	if !resumable(r.route) {
		out.add(Abort{Ticket: r.ticket})
		g.finish(r, false, out)
		return
	}
	if res.Began && !res.CanResume || !res.Began && !r.resume.broken {
		g.abandonStream(r, "the stream cannot be joined: "+res.Detail, out)
		return
	}
	r.recordBreak(now, res)
	if reason := g.resumeRefusal(now, r); reason != "" {
		g.abandonStream(r, reason, out)
		return
	}
	out.add(event.Log{Kind: "resume", Request: r.Name, Stage: r.route.Name, Choice: "begin", Reason: fmt.Sprintf(
		"event=%q server=%s runs=%d sends=%d left=%s %s", r.resume.lastEventID, r.server, r.runs, r.resume.sends, r.resume.until.Sub(now).Round(time.Millisecond), res.Detail)})
	if g.hasStages(r) && (r.job == 0 || res.InputsGone) {
		g.rerunStages(now, r, "the stream broke off after its inputs were released", out)
		return
	}
	g.place(now, r, out)
}

// recordBreak records that an attempt of a stream failed, and after which event the stream continues.
func (r *request) recordBreak(now time.Time, res Result) {
	if r.resume.broken && !res.Fail.NotRun() {
		r.resume.runs++
	}
	if !res.InputsGone {
		r.avoid = append(r.avoid, r.server)
		r.resume.needsRetry = res.Fail != event.FailUnsent
	}
	if r.resume.broken && !r.began {
		return // nothing was passed on since the stream broke off
	}
	r.resume.broken, r.resume.brokeAt, r.resume.lastEventID, r.resume.sends = true, now, res.LastEventID, 0
	r.resume.until = r.deadline
	if abandoned := now.Add(r.route.CallerTimeout - res.SinceEvent); r.route.CallerTimeout > 0 && abandoned.Before(r.deadline) {
		r.resume.until = abandoned
	}
	r.objectiveAt = now.Add(r.route.LatencyObjective) // stages run last for a request whose objective has passed
}

// resumeRefusal returns why a broken stream may not be resumed, and an empty string if it may.
func (g *Gateway) resumeRefusal(now time.Time, r *request) string {
	needed := minTimeLeft
	if g.hasStages(r) && r.job == 0 {
		needed = max(needed, g.expectedFirstByte(r.route.Name))
	}
	if left, reason := g.crashRefusal(now, r); left > 0 {
		return reason
	}
	switch {
	case r.trial:
		return "the request is suspected of crashing servers"
	case r.resume.runs >= maxResumedRuns:
		return fmt.Sprintf("resumed on %d servers", r.resume.runs)
	case r.resume.sends >= maxSends:
		return fmt.Sprintf("sent %d times", r.resume.sends)
	case r.resume.until.Sub(now) < needed:
		return "not enough time left"
	}
	return ""
}

// placeResumed sends a request whose stream broke off to another server, or waits for one until maxResumeWait has passed.
func (g *Gateway) placeResumed(now time.Time, r *request, out *actions) {
	if reason := g.resumeRefusal(now, r); reason != "" {
		g.abandonStream(r, reason, out)
		return
	}
	if runs := g.countedRuns(r); runs >= r.route.MaxAttempts {
		g.waitToResume(now, r, fmt.Sprintf("run on %d servers, of which at most %d may run it", runs, r.route.MaxAttempts), out)
		return
	}
	s, reason := g.pickServer(now, r)
	switch {
	case s == nil:
		g.waitToResume(now, r, reason, out)
	case r.resume.needsRetry && !g.retryLimiter.Take(now, r.pool.Name):
		g.abandonStream(r, "no retry is left", out)
	default:
		r.resume.sends++
		r.resume.needsRetry = false
		g.send(now, r, s, reason, out)
	}
}

// waitToResume lets a broken stream wait until it is placed again.
func (g *Gateway) waitToResume(now time.Time, r *request, reason string, out *actions) {
	if now.Sub(r.placingSince) >= maxResumeWait {
		g.abandonStream(r, reason, out)
		return
	}
	g.timers.Set(now.Add(placePollInterval), r.ticket)
}

// abandonStream aborts a stream that is not resumed.
func (g *Gateway) abandonStream(r *request, reason string, out *actions) {
	out.add(
		event.Log{Kind: "resume", Request: r.Name, Stage: r.route.Name, Choice: "abort", Reason: fmt.Sprintf("event=%q runs=%d %s", r.resume.lastEventID, r.runs, reason)},
		Abort{Ticket: r.ticket})
	g.finish(r, false, out)
}

// logResumed logs that the rest of a stream has begun, or that the stream is complete.
func (g *Gateway) logResumed(now time.Time, r *request, choice string, out *actions) {
	if r.resume.broken {
		out.add(event.Log{Kind: "resume", Request: r.Name, Stage: r.route.Name, Choice: choice, Reason: fmt.Sprintf(
			"event=%q server=%s after=%s", r.resume.lastEventID, r.server, now.Sub(r.resume.brokeAt).Round(time.Millisecond))})
	}
}

// setResume sets the fields of a Forward by which it continues a stream that broke off.
func (r *request) setResume(f *Forward) {
	f.Resumable = resumable(r.route)
	if r.resume.broken {
		f.Resume, f.LastEventID, f.First, f.Hold = true, r.resume.lastEventID, r.resume.until, false
	}
}

// process returns the process of the server that the request was sent to last.
func (r *request) process() selfreport.Process {
	return selfreport.Process{Server: r.server, Start: r.start}
}

// countedRuns returns how many servers may have run a request, without those that have ended.
func (g *Gateway) countedRuns(r *request) int {
	counted := id.NewSet[id.Server]()
	for _, p := range r.ranOn {
		if !g.processEnded(p) {
			counted.Add(p.Server)
		}
	}
	return len(counted)
}

// processEnded reports whether the process of a server is known to have ended: the server has restarted or left the store, or
// has refused a connection of some node.
func (g *Gateway) processEnded(p selfreport.Process) bool {
	s := g.fleet.Server(p.Server)
	return s == nil || s.Start != p.Start || slices.Contains(g.refusedConns, p) || g.crashGuard.HasEnded(denylist.Process(p))
}

// recordRefusedConn records that a server has refused a connection, which means that its process has ended.
func (g *Gateway) recordRefusedConn(p selfreport.Process) {
	if slices.Contains(g.refusedConns, p) {
		return
	}
	if len(g.refusedConns) == maxRefusedConns {
		g.refusedConns = g.refusedConns[1:]
	}
	g.refusedConns = append(g.refusedConns, p)
}
