package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// rollback is rollbackMs of the site, and exposeShare and exposeSlack are its bounds of these names.
	rollback    = 5 * time.Second
	exposeShare = 0.1
	exposeSlack = 50
	// badAnswers is the number of bad answers from which on rollback counts.
	badAnswers = 50
	// quietCallers make about 30 requests a second, as the plain service of vordach-ops has, and busyCallers about 85, as its model
	// runners have.
	quietCallers = 15
	busyCallers  = 42
	callerPause  = 470 * time.Millisecond
	// warmUp is the time from the first request to the order.
	warmUp = 8 * time.Second
)

// startRollouts starts an installation whose plain service has three runners of v1, and its consumers.
func (w *world) startRollouts(callers int) bool {
	w.store.put("config", "main", baseConfig(7))
	w.addRunners(modelService, 3, modelRunner)
	w.addRunners(plainService, 3, plainRunner)
	w.addRunners(stageService, 3, stageRunner)
	w.addGateways()
	if !w.waitReady(20 * time.Second) {
		return false
	}
	for i := range callers {
		c := &consumer{world: w, name: fmt.Sprint("c", i), zone: zones[i%3]}
		next := func() request { return loan(keyLibrary) }
		if i%4 == 0 {
			next = func() request { return lookup(keyBus) }
		}
		go c.loop(callerPause, next)
	}
	time.Sleep(warmUp)
	return true
}

// order writes an order for the plain service and starts three runners of the version; set changes each. It returns when the store
// has confirmed the order.
func (w *world) order(version string, span time.Duration, set func(*Runner)) (time.Time, []*Runner) {
	w.store.put("rollouts", plainService, map[string]any{"service": plainService, "target": version, "durationS": span.Seconds()})
	ordered := time.Now()
	w.rec.log("the operator orders %s of %s within %v", version, plainService, span)
	return ordered, w.addVersion(plainService, 3, version, func(r *Runner) {
		plainRunner(r)
		set(r)
	})
}

// awaitState waits until the system has written a final state of the order, and returns the state.
func (w *world) awaitState(limit time.Duration) string {
	var status struct{ State string }
	began := time.Now()
	for time.Since(began) < limit && status.State != "rolled_back" && status.State != "completed" {
		time.Sleep(10 * time.Millisecond)
		if o, ok := w.store.object("rollouts", plainService); ok && len(o.Status) > 0 {
			check(json.Unmarshal(o.Status, &status))
		}
	}
	w.rec.log("the status of the order is %q", status.State)
	return status.State
}

const (
	failedSpan = 30 * time.Second
	// failedShare is the share of the answers of the bad version that are failures, all with status 400.
	failedShare = 0.6
	// goOn is how long the consumers go on after the time limit.
	goOn = 8 * time.Second
)

// playFailed orders a bad version: a portion of its answers are failures with status 400 to requests that the old version answers
// well. At "completed" the old runners stop.
func playFailed(w *world, trouble bool) verdict {
	if !w.startRollouts(quietCallers) {
		return verdict{invalid: true, text: "the gateways did not become ready"}
	}
	old := w.runnersOf(plainService)
	ordered, _ := w.order("v2", failedSpan, func(r *Runner) {
		if trouble {
			r.bad, r.badStatus = failedShare, http.StatusBadRequest
		}
	})
	state := w.awaitState(failedSpan)
	if state == "completed" {
		for _, r := range old {
			r.stop()
		}
	}
	time.Sleep(time.Until(ordered.Add(failedSpan + goOn)))
	v := w.judgeExposure("v2", ordered, ordered.Add(failedSpan))
	before, after := w.servedShare(time.Time{}, ordered), w.servedShare(ordered.Add(failedSpan), time.Now())
	v.text += fmt.Sprintf("; status %s; answered 200 before the order %.0f%%, after the time limit %.0f%%", state, 100*before, 100*after)
	return v
}

// servedShare returns the share of the requests sent in a span that were answered with 200.
func (w *world) servedShare(from, to time.Time) float64 {
	all, served := 0, 0
	for _, s := range w.rec.all() {
		if s.at.Before(from) || s.at.After(to) || s.answered.IsZero() {
			continue
		}
		all++
		if s.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(1, all))
}

const (
	ordersSpan = 30 * time.Second
	// failShare is the share of the answers of the bad version that are failures.
	failShare = 0.9
	// drainAfter is how long after "rolled_back" the runners of the version report that they drain ("some seconds later").
	drainAfter = 8 * time.Second
	// nextOrder is the time from "rolled_back" to the operator's next order.
	nextOrder = time.Second
)

// playOrders orders a bad version, and after it has been rolled back the next version.
func playOrders(w *world, trouble bool) verdict {
	if !w.startRollouts(busyCallers) {
		return verdict{invalid: true, text: "the gateways did not become ready"}
	}
	ordered, bad := w.order("v2", ordersSpan, func(r *Runner) { r.bad = failShare })
	if state := w.awaitState(ordersSpan); state != "rolled_back" {
		return verdict{invalid: true, text: "v2 was not rolled back: " + state}
	}
	for _, r := range bad {
		time.AfterFunc(drainAfter, r.drain)
	}
	time.Sleep(nextOrder)
	if trouble {
		w.order("v3", ordersSpan, func(*Runner) {})
	}
	time.Sleep(time.Until(ordered.Add(ordersSpan)))
	return w.judgeExposure("v2", ordered, ordered.Add(ordersSpan))
}

const (
	loadSpan = 60 * time.Second
	// soundRate is the rate in requests a second up to which the runners of the new version together answer well.
	soundRate = 23
)

// loadLimit is what all runners of a version share, and what fails under load.
type loadLimit struct {
	perSecond int

	mu   sync.Mutex
	last []time.Time // requests of the last second
}

// exceeded counts a request and reports whether there were too many in the last second.
func (l *loadLimit) exceeded() bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.last) > 0 && now.Sub(l.last[0]) > time.Second {
		l.last = l.last[1:]
	}
	l.last = append(l.last, now)
	return len(l.last) > l.perSecond
}

// playLoad orders a version that is bad under load only: its runners answer with failures while they get nearly all requests of the
// service.
func playLoad(w *world, trouble bool) verdict {
	if !w.startRollouts(quietCallers) {
		return verdict{invalid: true, text: "the gateways did not become ready"}
	}
	limit := &loadLimit{perSecond: soundRate}
	ordered, _ := w.order("v2", loadSpan, func(r *Runner) {
		if trouble {
			r.load = limit
		}
	})
	state := w.awaitState(loadSpan)
	time.Sleep(time.Until(ordered.Add(loadSpan)))
	v := w.judgeExposure("v2", ordered, ordered.Add(loadSpan))
	v.text += "; status " + state
	return v
}

// judgeExposure counts what EXPOSURE speaks of, for a version that was ordered at from and had time until to. A version without a bad
// answer is good, and the rule does not speak of it.
func (w *world) judgeExposure(version string, from, to time.Time) verdict {
	byName := map[string]sent{}
	for _, s := range w.rec.all() {
		byName[s.name] = s
	}
	all, got, bad, late := 0, 0, 0, 0
	last := time.Duration(0)
	var fiftieth time.Time
	for _, x := range w.rec.arrivals() {
		s := byName[x.name]
		if x.runner.service != plainService || x.at.Before(from) {
			continue
		}
		if !x.at.After(to) {
			all++
		}
		if x.runner.version != version || !s.inTouch {
			continue
		}
		if !x.at.After(to) {
			got++
		}
		if since := s.at.Sub(fiftieth); !fiftieth.IsZero() && since > rollback {
			late++
			last = max(last, since)
		}
		if !x.bad.IsZero() {
			if bad++; bad == badAnswers {
				fiftieth = x.bad
			}
		}
	}
	bound := exposeShare*float64(all) + exposeSlack
	return verdict{
		broken:  bad > 0 && (float64(got) > bound || late > 0),
		invalid: all < 200 || w.servedShare(time.Time{}, from) < 0.9,
		text: fmt.Sprintf("EXPOSURE: between the order and its time limit %s got %d of %d requests that reached the service (bound %.0f); it gave %d bad answers until the end, and got %d requests that were sent later than %v after the 50th bad answer, the last one %.1f s after it",
			version, got, all, bound, bad, late, rollback, last.Seconds()),
	}
}
