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
	// leaderPollInterval is the time between two looks for a leader.
	leaderPollInterval = 50 * time.Millisecond
	// maxLeaderWait is how long a request may wait for a leader.
	maxLeaderWait = 1500 * time.Millisecond
	// maxHandovers is how often a request is handed over before it insists on the leader that this node follows.
	maxHandovers = 8
	// maxRestarts bounds how often the stages of a request are asked for again.
	maxRestarts = 3
	// defaultFirstByte is the expected time to the first event before there was one.
	defaultFirstByte = 120 * time.Millisecond
	// outputTokenWeight is how many tokens of the prompt a token of the answer weighs.
	outputTokenWeight = 10
)

// submit asks the leader for the stages of a request.
func (g *Gate) submit(now time.Time, r *request, out *actions) {
	r.phase = staging
	leader := g.leader.Leader()
	if leader == "" {
		if now.Sub(r.arrived) >= maxLeaderWait {
			g.giveUp(now, r, "no node schedules the stages", out)
			return
		}
		g.timers.Set(now.Add(leaderPollInterval), r.ticket)
		return
	}
	g.submitTo(now, r, leader, out)
}

// submitTo asks a node for the stages of a request.
func (g *Gate) submitTo(now time.Time, r *request, leader id.Node, out *actions) {
	g.lastJob++
	r.job, r.leader, r.submitted = g.lastJob, leader, now
	g.jobs[r.job] = r
	g.timers.Set(r.stagesDeadline(), r.ticket)
	s := batch.Submit{
		Ticket: r.job, Request: r.Name, Route: r.route.Name, Key: r.PieceKey,
		Left: int64(r.stagesDeadline().Add(-g.expectedFirstByte(r.route.Name)).Sub(now)), Aim: int64(r.objectiveAt.Sub(now)), Rest: int64(g.expectedFirstByte(r.route.Name)),
		Priority: uint32(max(0, r.priority)), Value: uint64(r.In + outputTokenWeight*r.Out), Insist: r.handovers >= maxHandovers,
	}
	r.handover.addTo(now, &s)
	for i, stage := range r.route.Stages {
		one := batch.Stage{Pool: stage.Pool, Pieces: uint32(r.Pieces[i]), Bytes: uint64(stage.ResultBytes)}
		for _, before := range stage.After {
			one.After = append(one.After, uint32(before))
		}
		s.Stages = append(s.Stages, one)
	}
	if model, _ := g.balancer.Pick(now, g.serverQuery(r)); model != nil {
		s.Prefer = model.Domain
	}
	out.add(
		event.Log{Kind: "stages", Request: r.Name, Stage: r.route.Name, Choice: string(leader), Reason: fmt.Sprintf("restarts=%d prefer=%s", r.restarts, s.Prefer)},
		event.Send{To: leader, Body: s})
}

func (g *Gate) expectedFirstByte(route string) time.Duration {
	if d, ok := g.firstByteTimes[route]; ok {
		return d
	}
	return defaultFirstByte
}

// retrySubmit submits a request that found no leader.
func (g *Gate) retrySubmit(now time.Time, r *request, out *actions) {
	if r.job == 0 {
		g.submit(now, r, out)
	}
}

// stagesDeadline returns when nobody waits for the stages of the request any more.
func (r *request) stagesDeadline() time.Time {
	if leaves := r.arrived.Add(r.route.CallerTimeout); r.route.CallerTimeout > 0 && leaves.Before(r.deadline) {
		return leaves
	}
	return r.deadline
}

// rerunStages runs the stages of a request once more.
func (g *Gate) rerunStages(now time.Time, r *request, reason string, out *actions) {
	g.release(r, false, out)
	r.restarts++
	if r.restarts > maxRestarts || r.deadline.Sub(now) < g.expectedFirstByte(r.route.Name) {
		g.giveUp(now, r, reason, out)
		return
	}
	r.inputs, r.handover = nil, nil
	g.submit(now, r, out)
}

// stagingRequest returns the request of a job that its leader has not answered yet.
func (g *Gate) stagingRequest(from id.Node, job uint64) *request {
	r, ok := g.jobs[job]
	if !ok || r.phase != staging || r.leader != from {
		return nil
	}
	return r
}

// stagesDone continues a request whose stages are done.
func (g *Gate) stagesDone(now time.Time, ev event.Receive, b batch.Done, out *actions) {
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

// handover is what a leader has had made for a request before it handed the request over.
type handover struct {
	batch.Moved
	at time.Time
}

// addTo adds what was made to a job for the next leader.
func (h *handover) addTo(now time.Time, s *batch.Submit) {
	if h == nil {
		return
	}
	s.PreAccepted, s.Class = h.Accepted, h.Class
	age := int64(now.Sub(h.at))
	for _, m := range h.Made {
		if m.Handle != "" && m.Left <= age {
			continue // its server has forgotten it
		}
		m.Left -= age
		s.Made = append(s.Made, m)
	}
}

// stagesMoved submits a request to the leader that the former one follows. If the two do not agree, this node waits for
// them, and in the end insists.
func (g *Gate) stagesMoved(now time.Time, ev event.Receive, b batch.Moved, out *actions) {
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

// stagesFailed ends a request whose stages will not be done. It has not reached a server that runs it.
func (g *Gate) stagesFailed(now time.Time, ev event.Receive, b batch.Failed, out *actions) {
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

// release tells the leader that the results of a request are not needed any more.
func (g *Gate) release(r *request, read bool, out *actions) {
	if r.job == 0 {
		return
	}
	out.add(event.Send{To: r.leader, Body: batch.Release{Ticket: r.job, Read: read}})
	g.forgetJob(r)
}

func (g *Gate) forgetJob(r *request) {
	delete(g.jobs, r.job)
	r.job = 0
}

// leaderChanged submits the requests again whose leader does not answer any more.
func (g *Gate) leaderChanged(now time.Time, out *actions) {
	for _, job := range slices.Sorted(maps.Keys(g.jobs)) {
		r := g.jobs[job]
		if r.phase == staging && !g.leader.Alive(now, r.leader) {
			g.rerunStages(now, r, "the node that scheduled the stages is gone", out)
		}
	}
}
