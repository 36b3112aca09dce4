package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"bluebellflow/core/balance"
	"bluebellflow/core/batch"
	"bluebellflow/core/catalog"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// bootRetry is when a caller may come back to a node that does not know its configuration yet.
	bootRetry = time.Second
	// placeRetry is when a caller may come back for which no server was found.
	placeRetry = time.Second
	// placeWait is how long a request may wait for a server.
	placeWait = 100 * time.Millisecond
	// placePause is the time between two looks for a server.
	placePause = 20 * time.Millisecond
	// maxSends bounds the sends of a request that servers did not run.
	maxSends = 4
	// leastLeft is the time below which nothing is sent any more.
	leastLeft = 10 * time.Millisecond
	// firstLimit bounds the wait for an answer that may be asked for elsewhere, as a share of the route's objective.
	firstLimit = 2.5
	// shortestFirst keeps that bound above the time of a usual answer.
	shortestFirst = 250 * time.Millisecond
	// stuckAfter is how long a server may leave a request of a route without an answer before others are preferred, as a
	// multiple of the objective.
	stuckAfter = 1.5
)

// phase says what a request waits for.
type phase uint8

const (
	staging phase = iota + 1 // the results of its stages
	placing                  // a server
	running                  // the end of its answer
)

// request is a request without a final answer.
type request struct {
	Facts
	ticket    Ticket
	route     *catalog.Route
	pool      *catalog.Pool
	workspace id.Workspace
	priority  int
	arrived   time.Time
	aim       time.Time
	deadline  time.Time
	phase     phase
	inputs    []string
	job       uint64 // the leader's work for it, 0 for none
	leader    id.Node
	submitted time.Time
	restarts  int       // times that its stages were asked for again
	moves     int       // times that they went on at another leader
	moved     *handover // what the leader before had had made, nil for none

	waiting time.Time // when it began to wait for a server
	server  id.Server
	print   id.Fingerprint // of workspace and content, the same when the caller asks again
	version id.Version     // of the server
	start   id.Start       // of the server's process
	load    int            // requests of this node there when it was sent
	cold    bool           // the server was cold then
	sent    time.Time
	sends   int
	ran     int // servers that may have run it
	avoid   []id.Server
	began   bool
	maybe   bool // it may have run
}

// arrive takes in a caller's request.
func (g *Gate) arrive(now time.Time, ev Arrive, out *actions) {
	r := &request{Facts: ev.Facts, ticket: ev.Ticket, arrived: now}
	if g.catalog == nil || !g.loaded() {
		g.answer(r, http.StatusServiceUnavailable, bootRetry, "the configuration is not known yet", out)
		return
	}
	r.route = g.catalog.Route(r.Host, r.Path)
	if r.route == nil {
		g.answer(r, http.StatusNotFound, 0, fmt.Sprintf("no route, config=%d", g.catalog.Version()), out)
		return
	}
	if !g.authorize(r) {
		g.answer(r, http.StatusUnauthorized, 0, fmt.Sprintf("unknown key, config=%d", g.catalog.Version()), out)
		return
	}
	if len(r.Pieces) != 0 && len(r.Pieces) != len(r.route.Stages) {
		g.answer(r, http.StatusBadRequest, 0, fmt.Sprintf("pieces for %d stages, route has %d", len(r.Pieces), len(r.route.Stages)), out)
		return
	}
	r.pool = g.catalog.Pool(g.target(r))
	if r.pool == nil {
		g.answer(r, http.StatusServiceUnavailable, placeRetry, "the route's pool is not configured", out)
		return
	}
	patience := r.route.Timeout
	if r.Patience > 0 {
		patience = min(patience, r.Patience)
	}
	r.print = fingerprint(fmt.Sprintf("%s %016x", r.workspace, uint64(r.Print)))
	if ban := g.guard.Refuses(now, r.print); ban > 0 {
		g.answer(r, http.StatusServiceUnavailable, ban, fmt.Sprintf("it crashes servers, print=%016x", uint64(r.print)), out)
		return
	}
	r.deadline = now.Add(patience)
	r.aim = now.Add(r.route.LatencyObjective)
	g.requests[r.ticket] = r
	g.retries.Request(now, r.pool.Name)
	g.timers.Set(r.deadline, r.ticket)
	out.add(event.Log{Kind: "request", Request: r.Name, Stage: r.route.Name, Choice: "accept", Reason: fmt.Sprintf(
		"config=%d workspace=%s priority=%d left=%s in=%d out=%d pieces=%v", g.catalog.Version(), r.workspace, r.priority, patience, r.In, r.Out, r.Pieces)})
	if g.staged(r) {
		g.submit(now, r, out)
		return
	}
	g.place(now, r, out)
}

// authorize finds the workspace of a request and reports whether the request is allowed.
func (g *Gate) authorize(r *request) bool {
	r.priority = r.route.Priority
	if !g.catalog.KeyRequired() {
		return true
	}
	ws := g.catalog.Workspace(r.Key)
	if ws == nil {
		return r.route.Anonymous
	}
	r.workspace = ws.Name
	if ws.Priority != catalog.NoPriority {
		r.priority = ws.Priority
	}
	return true
}

// place looks for a server and forwards the request to it.
func (g *Gate) place(now time.Time, r *request, out *actions) {
	if r.phase != placing {
		r.phase = placing
		r.waiting = now
	}
	if r.deadline.Sub(now) < leastLeft {
		g.giveUp(now, r, "the time left does not suffice", out)
		return
	}
	s, reason := g.pick(now, r)
	if s == nil {
		if now.Sub(r.waiting) >= placeWait || r.maybe {
			g.giveUp(now, r, reason, out)
			return
		}
		g.timers.Set(now.Add(placePause), r.ticket)
		return
	}
	g.balance.Start(now, s, g.query(r))
	g.rollouts.Began(r.pool.Name, s.Version)
	r.phase, r.server, r.sent, r.began = running, s.ID, now, false
	r.version, r.start, r.load, r.cold = s.Version, s.Start, g.balance.Inflight(s.ID), s.Cold(now)
	r.sends++
	out.add(event.Log{Kind: "place", Request: r.Name, Stage: r.route.Name, Choice: string(s.ID), Reason: fmt.Sprintf("send=%d %s", r.sends, reason)})
	f := Forward{
		Ticket: r.ticket, Server: batch.Target{ID: s.ID, Addr: s.Addr}, Keyed: g.catalog.KeyRequired(), Workspace: r.workspace, Until: r.deadline,
		Inputs: r.inputs, Once: r.route.AtMostOnce(), Hold: r.ran+1 < r.route.MaxAttempts || r.route.AtMostOnce(),
	}
	if !r.route.AtMostOnce() && r.ran+1 < r.route.MaxAttempts {
		f.First = now.Add(max(shortestFirst, time.Duration(firstLimit*float64(r.route.LatencyObjective))))
	}
	out.add(f)
}

// ended takes in the end of a forwarded request.
func (g *Gate) ended(now time.Time, ev Ended, out *actions) {
	r, ok := g.requests[ev.Ticket]
	if !ok || r.phase != running {
		return
	}
	took := now.Sub(r.sent)
	bad := ev.Status >= http.StatusInternalServerError
	g.balance.End(now, r.server, r.sent, balance.Outcome{
		Fail: ev.Fail, ServerError: bad, Took: took, Began: ev.Began, Load: ev.Load, LoadKnown: ev.Known, Moved: ev.Moved,
	})
	g.rollouts.Ended(r.pool.Name, r.version)
	g.observe(now, r, ev.Result)
	out.add(event.Log{Kind: "end", Request: r.Name, Stage: r.route.Name, Choice: outcome(ev.Result), Reason: fmt.Sprintf(
		"server=%s took=%s since=%s %s", r.server, took.Round(time.Millisecond), now.Sub(r.arrived).Round(time.Millisecond), ev.Detail)})
	if ev.Fail == 0 {
		g.guard.Answered(r.print)
	}
	if ev.Fail == 0 && !ev.Held {
		g.finish(r, ev.Status < http.StatusBadRequest, out)
		return
	}
	if ev.Fail == event.FailBroken && !ev.Began {
		g.guard.Broken(now, r.print, r.server, r.start)
	}
	if !ev.Fail.NotRun() {
		r.ran++
		r.maybe = true
	}
	switch {
	case ev.Began:
		out.add(Cut{Ticket: r.ticket})
		g.finish(r, false, out)
	case ev.Inputs && g.staged(r):
		g.restage(now, r, "an input was gone", out)
	case g.mayRepeat(now, r, ev.Result):
		r.avoid = append(r.avoid, r.server)
		g.place(now, r, out)
	case ev.Held:
		out.add(Deliver{Ticket: r.ticket})
		g.finish(r, false, out)
	default:
		g.giveUp(now, r, ev.Detail, out)
	}
}

func outcome(res Result) string {
	if res.Fail == 0 {
		return fmt.Sprint(res.Status)
	}
	names := map[event.FailKind]string{
		event.FailUnsent: "unsent", event.FailBroken: "broken", event.FailTimeout: "timeout",
		event.FailRejected: "rejected", event.FailError: "error",
	}
	return names[res.Fail]
}

// mayRepeat reports whether a request may be sent to another server.
func (g *Gate) mayRepeat(now time.Time, r *request, res Result) bool {
	if r.deadline.Sub(now) < leastLeft || r.sends >= maxSends {
		return false
	}
	if res.Fail == event.FailUnsent {
		return true // nothing has arrived anywhere
	}
	if !res.Fail.NotRun() && (r.route.AtMostOnce() || r.ran >= r.route.MaxAttempts) {
		return false
	}
	return g.retries.Take(now, r.pool.Name)
}

// giveUp gives a request its final answer. It says "not run" only if that is certain.
func (g *Gate) giveUp(now time.Time, r *request, reason string, out *actions) {
	status := http.StatusServiceUnavailable
	if r.maybe {
		status = http.StatusBadGateway
		if r.deadline.Sub(now) < leastLeft {
			status = http.StatusGatewayTimeout
		}
	}
	g.refuse(r, status, placeRetry, reason, out)
}

func (g *Gate) refuse(r *request, status int, after time.Duration, reason string, out *actions) {
	g.answer(r, status, after, reason, out)
	g.finish(r, false, out)
}

// answer sends an answer of the gateway itself.
func (g *Gate) answer(r *request, status int, after time.Duration, reason string, out *actions) {
	if status != http.StatusServiceUnavailable {
		after = 0
	}
	stage := ""
	if r.route != nil {
		stage = r.route.Name
	}
	out.add(
		event.Log{Kind: "request", Request: r.Name, Stage: stage, Choice: fmt.Sprintf("refuse %d", status), Reason: fmt.Sprintf("after=%s %s", after, reason)},
		Refuse{Ticket: r.ticket, Status: status, After: after, Reason: reason})
}

// finish forgets a request.
func (g *Gate) finish(r *request, read bool, out *actions) {
	delete(g.requests, r.ticket)
	g.release(r, read, out)
}

// left handles a caller that has gone.
func (g *Gate) left(now time.Time, t Ticket, out *actions) {
	r, ok := g.requests[t]
	if !ok {
		return
	}
	out.add(event.Log{Kind: "request", Request: r.Name, Stage: r.route.Name, Choice: "left", Reason: fmt.Sprintf(
		"phase=%d since=%s", r.phase, now.Sub(r.arrived).Round(time.Millisecond))})
	if r.phase == running {
		g.balance.End(now, r.server, r.sent, balance.Outcome{Fail: event.FailRejected})
		g.rollouts.Ended(r.pool.Name, r.version)
	}
	g.finish(r, false, out)
}

// hasBegun notes the first part of an answer; the inputs of the request were read before.
func (g *Gate) hasBegun(now time.Time, t Ticket, out *actions) {
	r, ok := g.requests[t]
	if !ok || r.phase != running || r.began {
		return
	}
	r.began = true
	g.balance.ResponseStarted(r.server, r.sent)
	g.learnFirst(r.route.Name, now.Sub(r.sent))
	if r.route.Kind == catalog.Stream {
		g.rollouts.Observe(now, r.pool.Name, r.version, g.sample(r, now.Sub(r.sent)))
	}
	g.release(r, true, out)
}

// due handles the timer of a request.
func (g *Gate) due(now time.Time, t Ticket, out *actions) {
	r, ok := g.requests[t]
	if !ok {
		return
	}
	switch {
	case r.phase == placing:
		g.place(now, r, out)
	case r.phase == staging && !now.Before(r.stagesEnd()):
		g.giveUp(now, r, "the stages were not done in time", out)
	case r.phase == staging:
		g.submitAgain(now, r, out)
	}
}

// learnFirst remembers how long the servers of a route take to begin an answer.
func (g *Gate) learnFirst(route string, took time.Duration) {
	old, ok := g.firsts[route]
	if !ok {
		old = took
	}
	g.firsts[route] = old + (took-old)/8
}

// staged reports whether a request has stages to run before it.
func (g *Gate) staged(r *request) bool {
	return slices.ContainsFunc(r.Pieces, func(n int) bool { return n > 0 })
}
