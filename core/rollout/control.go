package rollout

import (
	"fmt"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/id"
	"bluebellflow/core/watchcache"
)

const (
	owner = "rollout"
	// initialShare is the share of a new version before the request rate is known.
	initialShare = 20
	// maxUnprovenShare is the largest share of a version without enough evidence.
	maxUnprovenShare = 250
	// evidenceFraction is the fraction of the span within which a new version should get the required results.
	evidenceFraction = 0.15
	// minResults is the number of results of the new version that is required even at little traffic.
	minResults = 5
	// resultFraction is the fraction of the expected traffic by which the required results may exceed minResults.
	resultFraction = 0.04
	// lowTraffic is the number of results of both versions below which all traffic may go to the new version late in the
	// span without complete evidence. At so little traffic, even a bad version stays within the number of requests that
	// a bad version may get.
	lowTraffic = 100
	// minRateWindow is how long requests must be counted before their rate is known.
	minRateWindow = time.Second
	// A share holds for stepFraction of the span, and for minStep at least, before the next step.
	stepFraction = 0.05
	minStep      = time.Second
	// drainReserve is the last fraction of the span, in which the leader waits only for requests at the old version and
	// no longer for nodes that do not answer.
	drainReserve = 0.1
	// reportTTL is how long a node's report stays valid.
	reportTTL = 3 * time.Second
	// drainConfirmation is how long the old version must have been drained before the rollout is completed.
	drainConfirmation = 500 * time.Millisecond
)

// steps are the shares of a version with enough evidence, and the fraction of the span after which each is allowed. Most
// traffic shifts late, because a version may turn bad at any time and must not have had more than a tenth of the traffic
// by then.
var steps = [...]struct {
	share int
	after float64
}{{50, 0}, {100, 0.35}, {250, 0.55}, {500, 0.62}, {fullShare, 0.7}}

// handleReport merges a node's report and replies with the leader's decisions.
func (r *Rollouts) handleReport(now time.Time, ev event.Receive, b Report) []event.Action {
	if r.leader != r.self.Node {
		return nil
	}
	var out []event.Action
	var decisions Decisions
	for _, p := range b.Parts {
		o := r.orders[p.Name]
		if o == nil || o.Target != p.Target {
			continue
		}
		out = append(out, o.adopt(ev.From, State(p.State))...)
		if o.state.final() {
			continue
		}
		o.mergeAge(now, p.Age)
		next := o.mergeReport(now, ev, p)
		if p.Stopped && !o.stopped { // an earlier leader has stopped it
			o.stop(p.Reason)
			out = append(out, o.log("stop", fmt.Sprintf("from=%s %s", ev.From, p.Reason)))
		}
		decisions.Parts = append(decisions.Parts, Decision{
			Name: o.name, Target: o.Target, Age: o.age(now), Share: int64(o.share), Stopped: o.stopped, Reason: o.reason,
			Next: next,
		})
	}
	if len(decisions.Parts) == 0 {
		return out
	}
	return append(out, event.Send{To: ev.From, Body: decisions})
}

// mergeReport merges a node's report on the order and returns the number of the first result that it should send next.
func (r *rollout) mergeReport(now time.Time, ev event.Receive, p OrderReport) int64 {
	m := r.reports[ev.From]
	if m.incarnation != ev.Incarnation {
		m = nodeReport{incarnation: ev.Incarnation}
	}
	m.at, m.share, m.oldInProgress = now, int(p.Share), int(p.Open)
	for i, res := range p.Results {
		if p.First+int64(i) >= m.nextResult {
			r.evidence.Observe(now.Add(-time.Duration(res.Age)), ev.Incarnation, res.sample(), res.New)
		}
	}
	m.nextResult = max(m.nextResult, p.First+int64(len(p.Results)))
	r.reports[ev.From] = m
	return m.nextResult
}

// decide makes the leader's next decision about an order.
func (r *Rollouts) decide(now time.Time, o *rollout) []event.Action {
	if o.state.final() {
		return r.writeState(now, o, o.state) // the store has forgotten it
	}
	left := o.began.Add(o.Span).Sub(now)
	score, route := o.evidence.Evaluate(now)
	var out []event.Action
	switch {
	case o.stopped:
	case score >= evidence.BadScore:
		o.stop(fmt.Sprintf("worse than the old version, score=%.1f route=%s", score, route))
		out = append(out, o.log("stop", o.reason+" "+o.counts()))
	case left <= 0 && o.share < fullShare:
		o.stop("the time for the rollout ended without enough evidence")
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
	newN, oldN := r.evidence.Results()
	return fmt.Sprintf("new=%d old=%d", newN, oldN)
}

// nextShare returns the share that the evidence and the time allow.
func (r *rollout) nextShare(now time.Time, score float64) int {
	elapsed := now.Sub(r.began)
	fraction := float64(elapsed) / float64(max(1, r.Span))
	if score > evidence.BadScore/2 || r.share == fullShare {
		return r.share
	}
	if !r.hasEnoughEvidence(elapsed, fraction) {
		return r.unprovenShare(elapsed)
	}
	if now.Sub(r.shareSince) < max(minStep, time.Duration(stepFraction*float64(r.Span))) {
		return r.share
	}
	next := 0
	for _, s := range steps {
		if fraction < s.after || next > r.share {
			break
		}
		next = s.share
	}
	return next // may be lower than before, if the evidence was complete early in the span
}

// hasEnoughEvidence reports whether the evidence allows more than an unproven share. fraction is the fraction of the span
// that has elapsed. Without any traffic, half of the span is enough; for little traffic see lowTraffic.
func (r *rollout) hasEnoughEvidence(elapsed time.Duration, fraction float64) bool {
	newN, oldN := r.evidence.Results()
	const half = 0.5
	if newN+oldN == 0 {
		return fraction > half
	}
	if r.evidence.Complete(uint64(r.requiredResults(elapsed))) {
		return true
	}
	return fraction > steps[len(steps)-1].after && newN >= minResults && newN+oldN < lowTraffic
}

// requiredResults returns the number of results of the new version that make the evidence complete.
func (r *rollout) requiredResults(elapsed time.Duration) int {
	expected := r.rate(elapsed) * r.Span.Seconds()
	return min(evidence.EnoughResults, max(minResults, minResults+int(resultFraction*expected)))
}

// rate returns the average number of requests per second since the order.
func (r *rollout) rate(elapsed time.Duration) float64 {
	newN, oldN := r.evidence.Results()
	return float64(newN+oldN) / max(minRateWindow, elapsed).Seconds()
}

// unprovenShare returns the share that yields the required results within evidenceFraction of the span.
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

// drained reports whether all nodes send all traffic to the new version and have no requests in progress at the old one.
// Near the end of the span it ignores nodes that do not answer, and at its end it waits for nothing.
func (r *Rollouts) drained(now time.Time, o *rollout, left time.Duration) bool {
	if left <= 0 {
		return true
	}
	nearEnd := left < time.Duration(drainReserve*float64(o.Span))
	if !o.allDrained(now) || (!nearEnd && !o.allReported(now, r.nodes)) {
		o.drainedSince = time.Time{}
		return false
	}
	if o.drainedSince.IsZero() {
		o.drainedSince = now
	}
	return now.Sub(o.drainedSince) >= drainConfirmation
}

// allDrained reports whether all nodes with a recent report have drained the old version.
func (r *rollout) allDrained(now time.Time) bool {
	for _, m := range r.reports {
		if now.Sub(m.at) <= reportTTL && (m.share < fullShare || m.oldInProgress > 0) {
			return false
		}
	}
	return len(r.reports) > 0
}

// allReported reports whether all given nodes have a recent report.
func (r *rollout) allReported(now time.Time, nodes []id.Node) bool {
	return !slices.ContainsFunc(nodes, func(name id.Node) bool { return now.Sub(r.reports[name].at) > reportTTL })
}

// writeState writes a state to the order's status.
func (r *Rollouts) writeState(now time.Time, o *rollout, s State) []event.Action {
	if o.writing != Ordered || o.unconfirmed || now.Before(o.writeRetry.Next()) {
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

// handleWriteResult applies the result of a status write. After a conflict or a lost answer, the store's next update
// shows the current status, and decide writes again if that is still needed.
func (r *Rollouts) handleWriteResult(now time.Time, ev event.PlatformResult) []event.Action {
	o := r.writes[ev.Call.Seq]
	delete(r.writes, ev.Call.Seq)
	if o == nil || o.writing == Ordered {
		return nil
	}
	s := o.writing
	o.writing = Ordered
	if ev.Code == event.CodeUnknown && s.final() {
		o.uncertain = s // also if later attempts are refused
	}
	if ev.Code != event.CodeOK {
		o.writeRetry.Fail(now, r.self.Rand)
		return []event.Action{o.log("write", fmt.Sprintf("state=%s failed, code=%d", s, ev.Code))}
	}
	o.writeRetry.Clear()
	if o.rewrite {
		o.writeRetry.Set(now, watchcache.SettleTime) // the store shows the status earlier
	}
	if len(ev.Objects) > 0 {
		o.revision = max(o.revision, ev.Objects[0].Version)
	}
	if !o.state.final() {
		o.state = s
	}
	return []event.Action{o.log(o.state.String(), o.reason)}
}
