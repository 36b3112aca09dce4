package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"bluebellflow/core/balance"
	"bluebellflow/core/batch"
	"bluebellflow/core/catalog"
	"bluebellflow/core/connlimit"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/selfreport"
)

const (
	// bootRetryAfter is the Retry-After of a node that has not loaded its configuration yet.
	bootRetryAfter = time.Second
	// placeRetryAfter is the Retry-After if no server was found.
	placeRetryAfter = time.Second
	// minReadyRetryAfter is the least Retry-After if all servers want no requests for some time. The greatest is
	// placeRetryAfter, because other nodes may send to them earlier.
	minReadyRetryAfter = 100 * time.Millisecond
	// maxPlaceWait is how long a request may wait for a server.
	maxPlaceWait = 100 * time.Millisecond
	// placePollInterval is the time between two attempts to find a server.
	placePollInterval = 20 * time.Millisecond
	// maxSends bounds how often a request is sent, counting the sends that no server ran.
	maxSends = 4
	// minTimeLeft is the time before the deadline after which a request is no longer sent.
	minTimeLeft = 10 * time.Millisecond
	// firstByteFactor bounds the wait for the first part of a response if another server may be tried, as a multiple of the
	// route's objective.
	firstByteFactor = 2.5
	// minFirstByteLimit keeps that bound above the time of a normal response.
	minFirstByteLimit = 250 * time.Millisecond
	// stuckFactor is how long a server may leave a request without a response before other servers are preferred, as a
	// multiple of the route's objective.
	stuckFactor = 1.5
)

// phase is what a request waits for.
type phase uint8

const (
	staging phase = iota + 1 // the results of its stages
	placing                  // a free server
	running                  // the end of its response
)

// request is the state of an open request.
type request struct {
	RequestInfo
	ticket      Ticket
	route       *catalog.Route
	pool        *catalog.Pool
	workspace   id.Workspace
	priority    int
	arrived     time.Time
	objectiveAt time.Time
	deadline    time.Time
	phase       phase
	inputs      []string
	job         uint64    // ticket of its batch job, 0 for none
	leader      id.Node   // schedules the job
	restarts    int       // how often its stages were submitted again
	handovers   int       // how often its job was handed over to another leader
	handover    *handover // progress of the job at the previous leader, nil for none

	placingSince time.Time        // start of the wait for a server
	connCheck    *connlimit.Check // of the servers for the last attempt to place it
	server       id.Server        // the server that it was sent to last
	crashKeys    []id.Fingerprint // identify its content and the shared parts of its prompt
	trial        bool             // sent although it was refused, to learn whether it still crashes servers
	version      id.Version       // of the server
	start        id.Start         // of the server's process
	load         int              // open requests of this node at the server, including this one
	cold         bool             // the server was cold when the request was sent
	sent         time.Time
	sends        int
	runs         int                  // sends that a server may have run
	avoid        []id.Server          // tried before
	began        bool                 // the response has begun
	beganAt      time.Time            // when it began
	beganStatus  int                  // its status
	proven       bool                 // the response has gone on for provingTime
	mayHaveRun   bool                 // a server may have run it
	ranOn        []selfreport.Process // processes that may have run it
	resume       resumption
}

// handleArrive validates a caller's request and starts its stages, or forwards it if it has none.
func (g *Gateway) handleArrive(now time.Time, ev Arrive, out *actions) {
	r := &request{RequestInfo: ev.RequestInfo, ticket: ev.Ticket, arrived: now}
	if g.catalog == nil || !g.loaded() {
		g.sendRefusal(r, http.StatusServiceUnavailable, bootRetryAfter, "the configuration is not known yet", out)
		return
	}
	r.route = g.catalog.Route(r.Host, r.Path)
	if r.route == nil {
		g.sendRefusal(r, http.StatusNotFound, 0, fmt.Sprintf("no route, config=%d", g.catalog.Version()), out)
		return
	}
	if !g.authorize(r) {
		g.sendRefusal(r, http.StatusUnauthorized, 0, fmt.Sprintf("unknown key, config=%d", g.catalog.Version()), out)
		return
	}
	if err := r.route.Problem; err != nil {
		g.sendRefusal(r, http.StatusServiceUnavailable, placeRetryAfter, err.Error(), out)
		return
	}
	if len(r.Pieces) != 0 && len(r.Pieces) != len(r.route.Stages) {
		g.sendRefusal(r, http.StatusBadRequest, 0, fmt.Sprintf("pieces for %d stages, route has %d", len(r.Pieces), len(r.route.Stages)), out)
		return
	}
	r.pool = g.catalog.Pool(g.choosePool(r))
	if r.pool == nil {
		g.sendRefusal(r, http.StatusServiceUnavailable, placeRetryAfter, "the route's pool is not configured", out)
		return
	}
	patience := r.route.Timeout
	if r.Patience > 0 {
		patience = min(patience, r.Patience)
	}
	r.crashKeys = crashKeys(r)
	if left, reason := g.crashRefusal(now, r); left > 0 {
		g.sendRefusal(r, http.StatusServiceUnavailable, left, reason, out)
		return
	}
	if g.rejectsArrival(now, r, patience) {
		g.sendRefusal(r, http.StatusServiceUnavailable, shutdownRetryAfter, shutdownReason, out)
		return
	}
	r.deadline = now.Add(patience)
	r.objectiveAt = now.Add(r.route.LatencyObjective)
	g.requests[r.ticket] = r
	g.retryLimiter.CountRequest(now, r.pool.Name)
	g.timers.Set(r.deadline, r.ticket)
	out.add(event.Log{Kind: "request", Request: r.Name, Stage: r.route.Name, Choice: "accept", Reason: fmt.Sprintf(
		"config=%d workspace=%s priority=%d left=%s in=%d out=%d pieces=%v", g.catalog.Version(), r.workspace, r.priority, patience, r.In, r.Out, r.Pieces)})
	if g.hasStages(r) {
		g.submit(now, r, out)
		return
	}
	g.place(now, r, out)
}

// authorize determines the workspace and the priority of a request and reports whether its caller may use the route.
func (g *Gateway) authorize(r *request) bool {
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

// place forwards a request to a server. If there is none, it polls until maxPlaceWait has passed.
func (g *Gateway) place(now time.Time, r *request, out *actions) {
	if r.phase != placing {
		r.phase = placing
		r.placingSince = now
	}
	if r.resume.broken {
		g.placeResumed(now, r, out)
		return
	}
	if r.deadline.Sub(now) < minTimeLeft {
		g.giveUp(now, r, "not enough time left", out)
		return
	}
	if g.stopsBeforeResponse(now, r) {
		g.refuse(r, http.StatusServiceUnavailable, shutdownRetryAfter, shutdownReason, out)
		return
	}
	if left, reason := g.crashRefusal(now, r); left > 0 && !r.mayHaveRun {
		g.refuse(r, http.StatusServiceUnavailable, left, reason, out)
		return
	}
	s, reason := g.pickServer(now, r)
	g.reportConnLimit(now, r, s, out)
	if s == nil {
		g.waitForServer(now, r, reason, out)
		return
	}
	g.send(now, r, s, reason, out)
}

// send forwards a request to a server.
func (g *Gateway) send(now time.Time, r *request, s *fleet.Server, reason string, out *actions) {
	g.startTrial(now, r, out)
	g.balancer.Start(now, s, g.serverQuery(now, r))
	g.rollouts.RequestStarted(r.pool.Name, s.Version)
	r.phase, r.server, r.sent, r.began, r.proven = running, s.ID, now, false, false
	r.version, r.start, r.load, r.cold = s.Version, s.Start, g.balancer.Inflight(s.ID), s.Cold(now)
	r.sends++
	out.add(event.Log{Kind: "place", Request: r.Name, Stage: r.route.Name, Choice: string(s.ID), Reason: fmt.Sprintf("send=%d %s", r.sends, reason)})
	f := Forward{
		Ticket: r.ticket, Server: batch.Target{ID: s.ID, Addr: s.Addr}, Keyed: g.catalog.KeyRequired(), Workspace: r.workspace, Until: r.deadline,
		Inputs: r.inputs, Once: r.route.AtMostOnce(), Hold: r.runs+1 < r.route.MaxAttempts || r.route.AtMostOnce(),
		Conns:  g.connLimits.Limit(s.ID, r.pool.MaxConns),
		Placed: g.balancer.Placed(),
	}
	if !r.route.AtMostOnce() && r.runs+1 < r.route.MaxAttempts {
		f.First = now.Add(max(minFirstByteLimit, time.Duration(firstByteFactor*float64(r.route.LatencyObjective))))
	}
	r.setResume(&f)
	out.add(f)
}

// waitForServer lets a request wait until it is placed again, or gives it up: at once if no server will take it in time.
func (g *Gateway) waitForServer(now time.Time, r *request, reason string, out *actions) {
	left := r.placingSince.Add(maxPlaceWait).Sub(now)
	if ready := g.balancer.ReadyIn(now, g.serverQuery(now, r)); ready > left && !r.mayHaveRun {
		g.countUnplaced(r)
		g.refuse(r, http.StatusServiceUnavailable, min(max(ready, minReadyRetryAfter), placeRetryAfter), reason, out)
		return
	}
	if left <= 0 || r.mayHaveRun {
		g.countUnplaced(r)
		g.giveUp(now, r, reason, out)
		return
	}
	g.timers.Set(now.Add(placePollInterval), r.ticket)
}

// handleEnded handles the end of a forwarded request: it finishes the request, sends it again or refuses it.
func (g *Gateway) handleEnded(now time.Time, ev Ended, out *actions) {
	r, ok := g.requests[ev.Ticket]
	if !ok || r.phase != running {
		return
	}
	took := now.Sub(r.sent)
	serverError := ev.Status >= http.StatusInternalServerError
	g.balancer.End(now, r.server, r.sent, balance.Outcome{
		Fail: ev.Fail, ServerError: serverError, Took: took, Moved: ev.Moved, ConnRejected: ev.ConnRejected,
		Load: ev.Load, LoadKnown: ev.LoadKnown && !r.began, // a response reports the load at its begin
		Events: ev.Events,
	})
	g.rollouts.RequestEnded(r.pool.Name, r.version)
	g.reportOutcome(now, r, ev.Result)
	g.countRun(now, r, ev.Fail)
	out.add(event.Log{Kind: "end", Request: r.Name, Stage: r.route.Name, Choice: outcomeName(ev.Result), Reason: fmt.Sprintf(
		"server=%s took=%s since=%s %s", r.server, took.Round(time.Millisecond), now.Sub(r.arrived).Round(time.Millisecond), ev.Detail)})
	g.observeReport(now, r, ev.Result, out)
	g.recordCrashEvidence(now, r, ev.Result, out)
	if ev.Fail == 0 && !ev.Held {
		g.recordDurations(now, r)
		g.logResumed(now, r, "end", out)
		g.finish(r, ev.Status < http.StatusBadRequest, out)
		return
	}
	if !ev.Fail.NotRun() {
		r.runs++
		r.mayHaveRun = true
		r.ranOn = append(r.ranOn, r.process())
	}
	switch {
	case ev.Began || r.began || r.resume.broken:
		g.resumeOrAbort(now, r, ev.Result, out)
	case ev.InputsGone && g.hasStages(r):
		g.rerunStages(now, r, "the server no longer held an input", out)
	case g.mayRetry(now, r, ev.Result):
		r.avoid = append(r.avoid, r.server)
		g.place(now, r, out)
	case ev.Held:
		out.add(Deliver{Ticket: r.ticket})
		g.finish(r, false, out)
	default:
		g.giveUp(now, r, ev.Detail, out)
	}
}

// mayRetry reports whether a request may be sent to another server, and takes a retry from the budget if needed.
func (g *Gateway) mayRetry(now time.Time, r *request, res Result) bool {
	if r.deadline.Sub(now) < minTimeLeft || r.sends >= maxSends {
		return false
	}
	if left, _ := g.crashRefusal(now, r); left > 0 {
		return false
	}
	if res.Fail == event.FailUnsent {
		return true // nothing reached the server, so that no retry is counted
	}
	if !res.Fail.NotRun() && (r.trial || r.route.AtMostOnce() || r.runs >= r.route.MaxAttempts) {
		return false
	}
	return g.retryLimiter.Take(now, r.pool.Name)
}

// giveUp refuses a request. The status is 503 only if certainly no server ran it.
func (g *Gateway) giveUp(now time.Time, r *request, reason string, out *actions) {
	if r.resume.broken {
		g.abandonStream(r, reason, out)
		return
	}
	status := http.StatusServiceUnavailable
	if r.mayHaveRun {
		status = http.StatusBadGateway
		if r.deadline.Sub(now) < minTimeLeft {
			status = http.StatusGatewayTimeout
		}
	}
	g.refuse(r, status, placeRetryAfter, reason, out)
}

// refuse refuses a request and closes it.
func (g *Gateway) refuse(r *request, status int, after time.Duration, reason string, out *actions) {
	g.sendRefusal(r, status, after, reason, out)
	g.finish(r, false, out)
}

// sendRefusal refuses a request without closing it. Only a 503 gets a Retry-After.
func (g *Gateway) sendRefusal(r *request, status int, after time.Duration, reason string, out *actions) {
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

// finish closes a request and releases its stages.
func (g *Gateway) finish(r *request, read bool, out *actions) {
	delete(g.requests, r.ticket)
	g.release(r, read, out)
}

// handleDisconnect closes the request of a caller that has disconnected.
func (g *Gateway) handleDisconnect(now time.Time, t Ticket, out *actions) {
	r, ok := g.requests[t]
	if !ok {
		return
	}
	out.add(event.Log{Kind: "request", Request: r.Name, Stage: r.route.Name, Choice: "left", Reason: fmt.Sprintf(
		"phase=%d since=%s", r.phase, now.Sub(r.arrived).Round(time.Millisecond))})
	if r.phase == running {
		g.balancer.End(now, r.server, r.sent, balance.Outcome{Fail: event.FailRejected})
		g.countRun(now, r, event.FailBroken)
		g.rollouts.RequestEnded(r.pool.Name, r.version)
	}
	g.finish(r, false, out)
}

// handleBegan handles the first part of a response. The server has read the inputs by then, so they are released. If a stream is
// resumed later, its stages run again: keeping the results until its end would take more memory than stage servers have.
func (g *Gateway) handleBegan(now time.Time, ev Began, out *actions) {
	r, ok := g.requests[ev.Ticket]
	if !ok || r.phase != running || r.began {
		return
	}
	r.began = true
	g.balancer.ResponseStarted(now, r.server, r.sent, ev.Report)
	out.add(g.reports.Observe(now, r.process(), r.sent, ev.Report)...)
	g.observeLoad(r, ev.Report)
	r.beganAt, r.beganStatus = now, ev.Status
	g.countBegun(now, r, ev.Status)
	g.timers.Set(now.Add(provingTime), r.ticket)
	if !r.resume.broken {
		g.durationsOf(r.route.Name).firstByte.observe(now.Sub(r.sent))
	}
	g.logResumed(now, r, "joined", out)
	if r.route.Kind == catalog.Stream && ev.Status < http.StatusMultipleChoices {
		g.rollouts.Observe(now, r.pool.Name, r.version, g.sample(r, now.Sub(r.sent)))
	}
	g.release(r, true, out)
}

// handleTimer handles an expired timer of a request.
func (g *Gateway) handleTimer(now time.Time, t Ticket, out *actions) {
	r, ok := g.requests[t]
	if !ok {
		return
	}
	switch {
	case r.phase == running:
		g.proveSound(now, r, out)
	case r.phase == placing:
		g.place(now, r, out)
	case r.phase == staging && !now.Before(r.stagesDeadline()):
		g.giveUp(now, r, "the stages did not finish in time", out)
	case r.phase == staging:
		g.retrySubmit(now, r, out)
	}
}

// hasStages reports whether a request has stages that run before it.
func (g *Gateway) hasStages(r *request) bool {
	return slices.ContainsFunc(r.Pieces, func(n int) bool { return n > 0 })
}
