package proxy

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"bluebellflow/core/batch"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// leaderPollInterval is the time between two attempts to find a leader.
	leaderPollInterval = 50 * time.Millisecond
	// maxLeaderWait is how long after its arrival, or after its stream broke off, a request may wait for a leader.
	maxLeaderWait = 1500 * time.Millisecond
	// maxHandovers is how often a job is handed over before this node insists that its own leader runs it.
	maxHandovers = 8
	// maxRestarts bounds how often the stages of a request are submitted again.
	maxRestarts = 3
	// defaultFirstByte is the expected time to the first part of a response before one was measured.
	defaultFirstByte = 120 * time.Millisecond
	// outputTokenWeight is the cost of an output token in prompt tokens.
	outputTokenWeight = 10
)

// submit submits the stages of a request to the leader, or waits for a leader.
func (g *Gateway) submit(now time.Time, r *request, out *actions) {
	r.phase = staging
	leader := g.leader.Leader()
	if leader == "" {
		if now.Sub(r.waitingSince()) >= maxLeaderWait {
			g.giveUp(now, r, "no node schedules the stages", out)
			return
		}
		g.timers.Set(now.Add(leaderPollInterval), r.ticket)
		return
	}
	g.submitTo(now, r, leader, out)
}

// submitTo submits the stages of a request to a node.
func (g *Gateway) submitTo(now time.Time, r *request, leader id.Node, out *actions) {
	g.lastJob++
	r.job, r.leader = g.lastJob, leader
	g.jobs[r.job] = r
	g.timers.Set(r.stagesDeadline(), r.ticket)
	s := batch.Submit{
		Ticket: r.job, Request: r.Name, Route: r.route.Name, Key: r.PieceKey,
		Left: int64(r.stagesDeadline().Add(-g.expectedFirstByte(r.route.Name)).Sub(now)), Aim: int64(r.objectiveAt.Sub(now)), Rest: int64(g.expectedFirstByte(r.route.Name)),
		Priority: uint32(max(0, r.priority)), Value: uint64(r.In + outputTokenWeight*r.Out), Insist: r.handovers >= maxHandovers,
		RoutePriority: uint32(max(0, r.route.Priority)),
	}
	r.handover.addTo(now, &s)
	for i, stage := range r.route.Stages {
		batchStage := batch.Stage{Pool: stage.Pool, Pieces: uint32(r.Pieces[i]), Bytes: uint64(stage.ResultBytes)}
		for _, before := range stage.After {
			batchStage.After = append(batchStage.After, uint32(before))
		}
		s.Stages = append(s.Stages, batchStage)
	}
	if server, _ := g.balancer.Pick(now, g.serverQuery(now, r)); server != nil {
		s.Prefer = server.Domain
	}
	out.add(
		event.Log{Kind: "stages", Request: r.Name, Stage: r.route.Name, Choice: string(leader), Reason: fmt.Sprintf("restarts=%d prefer=%s", r.restarts, s.Prefer)},
		event.Send{To: leader, Body: s})
}

// retrySubmit submits a request that has no job, because there was no leader or its job was handed over.
func (g *Gateway) retrySubmit(now time.Time, r *request, out *actions) {
	if r.job == 0 {
		g.submit(now, r, out)
	}
}

// waitingSince returns when the caller began to wait for the stages: when the request arrived, or its stream broke off.
func (r *request) waitingSince() time.Time {
	if r.resume.broken {
		return r.resume.brokeAt
	}
	return r.arrived
}

// stagesDeadline returns the time by which the stages must be done: the request's deadline, or the end of the route's
// CallerTimeout if that is earlier.
func (r *request) stagesDeadline() time.Time {
	if r.resume.broken {
		return r.resume.until
	}
	if callerTimeoutAt := r.arrived.Add(r.route.CallerTimeout); r.route.CallerTimeout > 0 && callerTimeoutAt.Before(r.deadline) {
		return callerTimeoutAt
	}
	return r.deadline
}

// rerunStages releases the job of a request and submits its stages again, at most maxRestarts times.
func (g *Gateway) rerunStages(now time.Time, r *request, reason string, out *actions) {
	g.release(r, false, out)
	r.restarts++
	if r.restarts > maxRestarts || r.deadline.Sub(now) < g.expectedFirstByte(r.route.Name) {
		g.giveUp(now, r, reason, out)
		return
	}
	r.inputs, r.handover = nil, nil
	g.submit(now, r, out)
}

// stagingRequest returns the request that waits for a job of a leader, nil for none.
func (g *Gateway) stagingRequest(from id.Node, job uint64) *request {
	r, ok := g.jobs[job]
	if !ok || r.phase != staging || r.leader != from {
		return nil
	}
	return r
}

// stagesDone forwards a request whose stages are done.
func (g *Gateway) stagesDone(now time.Time, ev event.Receive, b batch.Done, out *actions) {
	r := g.stagingRequest(ev.From, b.Ticket)
	if r == nil {
		out.add(event.Send{To: ev.From, Body: batch.Release{Ticket: b.Ticket}})
		return
	}
	for _, result := range b.Results {
		r.inputs = append(r.inputs, result.Handle)
	}
	g.place(now, r, out)
}

// handover is the progress of a job that a leader handed over.
type handover struct {
	batch.Moved
	at time.Time // when the message arrived
}

// addTo adds the class and the finished results of the job to a message that submits it again.
func (h *handover) addTo(now time.Time, s *batch.Submit) {
	if h == nil {
		return
	}
	s.PreAccepted, s.Class = h.Accepted, h.Class
	age := int64(now.Sub(h.at))
	for _, m := range h.Made {
		if m.Handle != "" && m.Left <= age {
			continue // the server has dropped the result
		}
		m.Left -= age
		s.Made = append(s.Made, m)
	}
}

// stagesMoved submits the stages of a request to the leader that the previous one follows. If the nodes
// do not agree on a leader, it retries after leaderPollInterval, and after maxHandovers it insists on the leader that this
// node follows.
func (g *Gateway) stagesMoved(now time.Time, ev event.Receive, b batch.Moved, out *actions) {
	r := g.stagingRequest(ev.From, b.Ticket)
	if r == nil {
		return
	}
	g.forgetJob(r)
	if r.handover == nil || b.Accepted {
		r.handover = &handover{Moved: b, at: now}
	}
	r.handovers++
	if r.handovers == 1 && b.Leader != ev.From && g.leader.Alive(now, b.Leader) {
		g.submitTo(now, r, b.Leader, out)
		return
	}
	g.timers.Set(now.Add(leaderPollInterval), r.ticket)
}

// stagesFailed refuses a request whose stages failed.
func (g *Gateway) stagesFailed(now time.Time, ev event.Receive, b batch.Failed, out *actions) {
	r := g.stagingRequest(ev.From, b.Ticket)
	if r == nil {
		return
	}
	g.forgetJob(r)
	if r.mayHaveRun {
		g.giveUp(now, r, b.Reason, out)
		return
	}
	g.refuse(r, http.StatusServiceUnavailable, time.Duration(b.After), b.Reason, out)
}

// release tells the leader that the stage results of a request are no longer needed, and whether a server has read them.
func (g *Gateway) release(r *request, read bool, out *actions) {
	if r.job == 0 {
		return
	}
	out.add(event.Send{To: r.leader, Body: batch.Release{Ticket: r.job, Read: read}})
	g.forgetJob(r)
}

func (g *Gateway) forgetJob(r *request) {
	delete(g.jobs, r.job)
	r.job = 0
}

// leaderChanged resubmits the stages of the requests whose leader is no longer alive.
func (g *Gateway) leaderChanged(now time.Time, out *actions) {
	for _, job := range slices.Sorted(maps.Keys(g.jobs)) {
		r := g.jobs[job]
		if r.phase == staging && !g.leader.Alive(now, r.leader) {
			g.rerunStages(now, r, "the leader that scheduled the stages is gone", out)
		}
	}
}
