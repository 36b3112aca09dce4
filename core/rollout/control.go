package rollout

import (
	"fmt"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
)

const (
	owner = "rollout"
	// initialShare is the share of a version of which nothing is known, and of which the traffic is not known either.
	initialShare = 20
	// maxUnprovenShare is the largest share of a version without enough evidence.
	maxUnprovenShare = 250
	// evidenceFraction is the part of an order's span in which the evidence should come together.
	evidenceFraction = 0.15
	// minResults is how many results of the new version count as evidence where there is little traffic.
	minResults = 5
	// resultFraction limits the results of the new version that are waited for to a part of the expected traffic.
	resultFraction = 0.04
	// lowTraffic is how many results in most of the span are so few that all that follow may go to the new version: even
	// if it is bad, these are fewer than a bad version may get.
	lowTraffic = 100
	// minRateWindow is how long traffic is counted before its rate counts as known.
	minRateWindow = time.Second
	// stepFraction and leastStep are how long a share holds before the next one, as a part of the span and at least.
	stepFraction = 0.05
	minStep      = time.Second
	// drainReserve is the part of the span that is kept to wait for nodes which do not answer, and for old requests.
	drainReserve = 0.1
	// reportTTL is how long what a node has said counts.
	reportTTL = 3 * time.Second
	// drainConfirmation is how long everything must have gone to the new version before that is written.
	drainConfirmation = 500 * time.Millisecond
)

// steps are the shares of a version with enough evidence, and the part of the span after which each is allowed. Most of the
// traffic moves late, because a version may turn bad at any time and must not have had more than a tenth by then.
var steps = [...]struct {
	share int
	after float64
}{{50, 0}, {100, 0.35}, {250, 0.55}, {500, 0.62}, {fullShare, 0.7}}

// handleReport takes in what a node has seen and answers with the rulings.
func (r *Rollouts) handleReport(now time.Time, ev event.Receive, b Report) []event.Action {
	if r.leader != r.self.Node {
		return nil
	}
	var out []event.Action
	var rulings Decisions
	for _, p := range b.Parts {
		o := r.orders[p.Name]
		if o == nil || o.Target != p.Target || o.state.final() {
			continue
		}
		o.mergeAge(now, p.Age)
		next := o.mergeReport(now, ev, p)
		if p.Stopped && !o.stopped { // by the leader before this one
			o.stop(p.Reason)
			out = append(out, o.log("stop", fmt.Sprintf("from=%s %s", ev.From, p.Reason)))
		}
		rulings.Parts = append(rulings.Parts, Decision{
			Name: o.name, Target: o.Target, Age: o.age(now), Share: int64(o.share), Stopped: o.stopped, Reason: o.reason,
			Next: next,
		})
	}
	if len(rulings.Parts) == 0 {
		return out
	}
	return append(out, event.Send{To: ev.From, Body: rulings})
}

// mergeReport takes in what a node has seen of the order and returns the number of the next result that it should tell.
func (r *rollout) mergeReport(now time.Time, ev event.Receive, p OrderReport) int64 {
	m := r.reports[ev.From]
	if m.incarnation != ev.Incarnation {
		m = nodeReport{incarnation: ev.Incarnation}
	}
	m.at, m.share, m.oldInProgress = now, int(p.Share), int(p.Open)
	for i, one := range p.Results {
		if p.First+int64(i) >= m.nextResult {
			r.evidence.Observe(now.Add(-time.Duration(one.Age)), ev.Incarnation, one.sample(), one.New)
		}
	}
	m.nextResult = max(m.nextResult, p.First+int64(len(p.Results)))
	r.reports[ev.From] = m
	return m.nextResult
}

// decide takes the next decision about an order.
func (r *Rollouts) decide(now time.Time, o *rollout) []event.Action {
	left := o.began.Add(o.Span).Sub(now)
	score, route := o.evidence.Evaluate(now)
	var out []event.Action
	switch {
	case o.stopped:
	case score >= evidence.BadScore:
		o.stop(fmt.Sprintf("worse than before, score=%.1f route=%s", score, route))
		out = append(out, o.log("stop", o.reason+" "+o.counts()))
	case left <= 0 && o.share < fullShare:
		o.stop("the time is over without enough evidence")
		out = append(out, o.log("stop", o.reason+" "+o.counts()))
	}
	switch {
	case o.stopped:
		return append(out, r.writeState(now, o, RolledBack)...)
	case o.state == Ordered:
		return append(out, r.writeState(now, o, Running)...)
	case o.share == fullShare && r.drained(now, o, left):
		return append(out, r.writeState(now, o, Completed)...)
	}
	if next := o.nextShare(now, score); next != o.share {
		out = append(out, o.log("share", fmt.Sprintf("share=%d before=%d score=%.1f left=%s %s", next, o.share, score, left.Round(time.Millisecond), o.counts())))
		o.setShare(next)
		o.shareSince = now
	}
	return out
}

func (r *rollout) counts() string {
	fresh, old := r.evidence.Results()
	return fmt.Sprintf("new=%d old=%d", fresh, old)
}

// nextShare returns the share that the evidence and the time allow.
func (r *rollout) nextShare(now time.Time, score float64) int {
	elapsed := now.Sub(r.began)
	part := float64(elapsed) / float64(max(1, r.Span))
	if score > evidence.BadScore/2 || r.share == fullShare {
		return r.share
	}
	if !r.hasEnoughEvidence(elapsed, part) {
		return r.unprovenShare(elapsed)
	}
	if now.Sub(r.shareSince) < max(minStep, time.Duration(stepFraction*float64(r.Span))) {
		return r.share
	}
	next := 0
	for _, s := range steps {
		if part < s.after || next > r.share {
			break
		}
		next = s.share
	}
	return next // less than in a trial that was short
}

// hasEnoughEvidence reports whether the evidence allows more than a trial. What little traffic there is must do.
func (r *rollout) hasEnoughEvidence(elapsed time.Duration, part float64) bool {
	fresh, old := r.evidence.Results()
	const half = 0.5
	if fresh+old == 0 {
		return part > half
	}
	if r.evidence.Complete(uint64(r.requiredResults(elapsed))) {
		return true
	}
	return part > steps[len(steps)-1].after && fresh >= minResults && fresh+old < lowTraffic
}

// requiredResults returns how many results of the new version are needed.
func (r *rollout) requiredResults(elapsed time.Duration) int {
	expected := r.rate(elapsed) * r.Span.Seconds()
	return min(evidence.EnoughResults, max(minResults, minResults+int(resultFraction*expected)))
}

// rate returns the requests a second.
func (r *rollout) rate(elapsed time.Duration) float64 {
	fresh, old := r.evidence.Results()
	return float64(fresh+old) / max(minRateWindow, elapsed).Seconds()
}

// unprovenShare returns the share that brings enough results in the first part of the span.
func (r *rollout) unprovenShare(elapsed time.Duration) int {
	if elapsed < minRateWindow {
		return max(r.share, initialShare)
	}
	expected := r.rate(elapsed) * r.Span.Seconds() * evidenceFraction
	if expected == 0 {
		return max(r.share, maxUnprovenShare)
	}
	want := int(fullShare * float64(r.requiredResults(elapsed)) / expected)
	return max(r.share, min(maxUnprovenShare, max(initialShare, want)))
}

// drained reports whether all nodes give everything to the new version and have nothing in progress at the old one. Towards
// the end of the span nodes that do not answer are not waited for, and at its end nothing is.
func (r *Rollouts) drained(now time.Time, o *rollout, left time.Duration) bool {
	if left <= 0 {
		return true
	}
	hurry := left < time.Duration(drainReserve*float64(o.Span))
	if !o.allDrained(now) || (!hurry && !o.allReported(now, r.nodes)) {
		o.drainedSince = time.Time{}
		return false
	}
	if o.drainedSince.IsZero() {
		o.drainedSince = now
	}
	return now.Sub(o.drainedSince) >= drainConfirmation
}

// allDrained reports whether the nodes that are heard have nothing to do with the old version any more.
func (r *rollout) allDrained(now time.Time) bool {
	for _, m := range r.reports {
		if now.Sub(m.at) <= reportTTL && (m.share < fullShare || m.oldInProgress > 0) {
			return false
		}
	}
	return len(r.reports) > 0
}

// allReported reports whether all listed nodes are heard.
func (r *rollout) allReported(now time.Time, nodes []id.Node) bool {
	return !slices.ContainsFunc(nodes, func(name id.Node) bool { return now.Sub(r.reports[name].at) > reportTTL })
}

// writeState writes a state to the order's status.
func (r *Rollouts) writeState(now time.Time, o *rollout, s State) []event.Action {
	if o.writing != Ordered || now.Before(o.writeRetry.Next()) {
		return nil
	}
	value, err := r.decoder.RolloutStatus(Status{State: s, Target: o.Target})
	if err != nil {
		return []event.Action{o.log("write", err.Error())}
	}
	o.writing = s
	r.seq++
	r.writes[r.seq] = o
	return []event.Action{
		o.log("write", fmt.Sprintf("state=%s revision=%d", s, o.revision)),
		event.PlatformCall{Owner: owner, Seq: r.seq, Op: event.OpPutStatus, Name: Kind + "/" + o.name, Version: o.revision, Value: value},
	}
}

// handleWriteResult takes in the outcome of a write. After a conflict or a lost answer the store's copy tells what is there.
func (r *Rollouts) handleWriteResult(now time.Time, ev event.PlatformResult) []event.Action {
	o := r.writes[ev.Call.Seq]
	delete(r.writes, ev.Call.Seq)
	if o == nil || o.writing == Ordered {
		return nil
	}
	s := o.writing
	o.writing = Ordered
	if ev.Code != event.CodeOK {
		o.writeRetry.Fail(now, r.self.Rand)
		return []event.Action{o.log("write", fmt.Sprintf("state=%s failed, code=%d", s, ev.Code))}
	}
	o.writeRetry.Clear()
	if len(ev.Objects) > 0 {
		o.revision = max(o.revision, ev.Objects[0].Version)
	}
	if !o.state.final() {
		o.state = s
	}
	return []event.Action{o.log(o.state.String(), o.reason)}
}
