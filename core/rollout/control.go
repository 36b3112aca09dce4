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
	// firstShare is the share of a version of which nothing is known, and of which the traffic is not known either.
	firstShare = 20
	// trialShare is the largest share of a version without enough evidence.
	trialShare = 250
	// trialPart is the part of an order's span in which the evidence should come together.
	trialPart = 0.15
	// leastResults is how many results of the new version count as evidence where there is little traffic.
	leastResults = 5
	// resultPart limits the results of the new version that are waited for to a part of the expected traffic.
	resultPart = 0.04
	// littleTraffic is how many results in most of the span are so few that all that follow may go to the new version: even
	// if it is bad, these are fewer than a bad version may get.
	littleTraffic = 100
	// rateTime is how long traffic is counted before its rate counts as known.
	rateTime = time.Second
	// stepPart and leastStep are how long a share holds before the next one, as a part of the span and at least.
	stepPart  = 0.05
	leastStep = time.Second
	// patience is the part of the span that is kept to wait for nodes which do not answer, and for old requests.
	patience = 0.1
	// heardAge is how long what a node has said counts.
	heardAge = 3 * time.Second
	// settle is how long everything must have gone to the new version before that is written.
	settle = 500 * time.Millisecond
)

// steps are the shares of a version with enough evidence, and the part of the span after which each is allowed. Most of the
// traffic moves late, because a version may turn bad at any time and must not have had more than a tenth by then.
var steps = [...]struct {
	share int
	after float64
}{{50, 0}, {100, 0.35}, {250, 0.55}, {500, 0.62}, {whole, 0.7}}

// report takes in what a node has seen and answers with the rulings.
func (r *Rollouts) report(now time.Time, ev event.Receive, b Report) []event.Action {
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
		o.learnAge(now, p.Age)
		next := o.take(now, ev, p)
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

// take takes in what a node has seen of the order and returns the number of the next result that it should tell.
func (r *rollout) take(now time.Time, ev event.Receive, p OrderReport) int64 {
	m := r.heard[ev.From]
	if m.inc != ev.Incarnation {
		m = mark{inc: ev.Incarnation}
	}
	m.at, m.share, m.open = now, int(p.Share), int(p.Open)
	for i, one := range p.Results {
		if p.First+int64(i) >= m.next {
			r.evidence.Observe(now.Add(-time.Duration(one.Age)), ev.Incarnation, one.sample(), one.New)
		}
	}
	m.next = max(m.next, p.First+int64(len(p.Results)))
	r.heard[ev.From] = m
	return m.next
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
	case left <= 0 && o.share < whole:
		o.stop("the time is over without enough evidence")
		out = append(out, o.log("stop", o.reason+" "+o.counts()))
	}
	switch {
	case o.stopped:
		return append(out, r.write(now, o, RolledBack)...)
	case o.state == Ordered:
		return append(out, r.write(now, o, Running)...)
	case o.share == whole && r.moved(now, o, left):
		return append(out, r.write(now, o, Completed)...)
	}
	if next := o.next(now, score); next != o.share {
		out = append(out, o.log("share", fmt.Sprintf("share=%d before=%d score=%.1f left=%s %s", next, o.share, score, left.Round(time.Millisecond), o.counts())))
		o.setShare(next)
		o.since = now
	}
	return out
}

func (r *rollout) counts() string {
	fresh, old := r.evidence.Results()
	return fmt.Sprintf("new=%d old=%d", fresh, old)
}

// next returns the share that the evidence and the time allow.
func (r *rollout) next(now time.Time, score float64) int {
	elapsed := now.Sub(r.began)
	part := float64(elapsed) / float64(max(1, r.Span))
	if score > evidence.BadScore/2 || r.share == whole {
		return r.share
	}
	if !r.known(elapsed, part) {
		return r.trial(elapsed)
	}
	if now.Sub(r.since) < max(leastStep, time.Duration(stepPart*float64(r.Span))) {
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

// known reports whether the evidence allows more than a trial. What little traffic there is must do.
func (r *rollout) known(elapsed time.Duration, part float64) bool {
	fresh, old := r.evidence.Results()
	const half = 0.5
	if fresh+old == 0 {
		return part > half
	}
	if r.evidence.Complete(uint64(r.enough(elapsed))) {
		return true
	}
	return part > steps[len(steps)-1].after && fresh >= leastResults && fresh+old < littleTraffic
}

// enough returns how many results of the new version are needed.
func (r *rollout) enough(elapsed time.Duration) int {
	expected := r.rate(elapsed) * r.Span.Seconds()
	return min(evidence.EnoughResults, max(leastResults, leastResults+int(resultPart*expected)))
}

// rate returns the requests a second.
func (r *rollout) rate(elapsed time.Duration) float64 {
	fresh, old := r.evidence.Results()
	return float64(fresh+old) / max(rateTime, elapsed).Seconds()
}

// trial returns the share that brings enough results in the first part of the span.
func (r *rollout) trial(elapsed time.Duration) int {
	if elapsed < rateTime {
		return max(r.share, firstShare)
	}
	expected := r.rate(elapsed) * r.Span.Seconds() * trialPart
	if expected == 0 {
		return max(r.share, trialShare)
	}
	want := int(whole * float64(r.enough(elapsed)) / expected)
	return max(r.share, min(trialShare, max(firstShare, want)))
}

// moved reports whether all nodes give everything to the new version and have nothing in progress at the old one. Towards
// the end of the span nodes that do not answer are not waited for, and at its end nothing is.
func (r *Rollouts) moved(now time.Time, o *rollout, left time.Duration) bool {
	if left <= 0 {
		return true
	}
	hurry := left < time.Duration(patience*float64(o.Span))
	if !o.allMoved(now) || (!hurry && !o.allHeard(now, r.nodes)) {
		o.moved = time.Time{}
		return false
	}
	if o.moved.IsZero() {
		o.moved = now
	}
	return now.Sub(o.moved) >= settle
}

// allMoved reports whether the nodes that are heard have nothing to do with the old version any more.
func (r *rollout) allMoved(now time.Time) bool {
	for _, m := range r.heard {
		if now.Sub(m.at) <= heardAge && (m.share < whole || m.open > 0) {
			return false
		}
	}
	return len(r.heard) > 0
}

// allHeard reports whether all listed nodes are heard.
func (r *rollout) allHeard(now time.Time, nodes []id.Node) bool {
	return !slices.ContainsFunc(nodes, func(name id.Node) bool { return now.Sub(r.heard[name].at) > heardAge })
}

// write writes a state to the order's status.
func (r *Rollouts) write(now time.Time, o *rollout, s State) []event.Action {
	if o.writing != Ordered || now.Before(o.again.Next()) {
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

// wrote takes in the outcome of a write. After a conflict or a lost answer the store's copy tells what is there.
func (r *Rollouts) wrote(now time.Time, ev event.PlatformResult) []event.Action {
	o := r.writes[ev.Call.Seq]
	delete(r.writes, ev.Call.Seq)
	if o == nil || o.writing == Ordered {
		return nil
	}
	s := o.writing
	o.writing = Ordered
	if ev.Code != event.CodeOK {
		o.again.Fail(now, r.self.Rand)
		return []event.Action{o.log("write", fmt.Sprintf("state=%s failed, code=%d", s, ev.Code))}
	}
	o.again.Clear()
	if len(ev.Objects) > 0 {
		o.revision = max(o.revision, ev.Objects[0].Version)
	}
	if !o.state.final() {
		o.state = s
	}
	return []event.Action{o.log(o.state.String(), o.reason)}
}
