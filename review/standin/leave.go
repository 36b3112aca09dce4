package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// leaveLoan and leavePatron are half the objectives of the routes, after which consumers leave.
	leaveLoan   = 50 * time.Millisecond
	leavePatron = 950 * time.Millisecond
	// slowRun is the time that a run takes here, within the maximum of the site (110 ms).
	slowRun = 100 * time.Millisecond
)

// playLeave lets a fifth of the consumers give up: they close their sending side, and read until the channel ends. The check is
// MIXED: successes without the seal of a runner, and streams that look complete before their last event.
func playLeave(w *world, trouble bool) verdict {
	w.store.put("config", "main", baseConfig(7))
	w.addRunners(modelService, 3, modelRunner)
	w.addRunners(plainService, 3, func(r *Runner) {
		plainRunner(r)
		r.work = slowRun
	})
	w.addRunners(stageService, 3, stageRunner)
	w.addGateways()
	if !w.waitReady(20 * time.Second) {
		return verdict{invalid: true, text: "the gateways did not become ready"}
	}
	for i := range 20 {
		c := &consumer{world: w, name: fmt.Sprint("c", i), zone: zones[i%3]}
		leaves := trouble && i%5 == 0
		go c.loop(400*time.Millisecond, func() request {
			r, after := loan(keyLibrary), leaveLoan
			if i >= 10 {
				r, after = patron(keyBus, "91bd3f06"), leavePatron
			}
			if leaves {
				r.leave = after
			}
			return r
		})
	}
	time.Sleep(12 * time.Second)
	return w.judgeSeals()
}

// judgeSeals counts the answers that MIXED speaks of.
func (w *world) judgeSeals() verdict {
	unsealed, early, whole := 0, 0, 0
	for _, s := range w.rec.all() {
		switch {
		case s.status != http.StatusOK:
		case s.seal == "":
			unsealed++
			w.rec.log("MIXED: %s got a 200 without a seal", s.name)
		case s.route == "patron-answer" && s.events < streamEvents:
			early++
			w.rec.log("MIXED: %s got a stream that looks complete after %d of %d events", s.name, s.events, streamEvents)
		default:
			whole++
		}
	}
	return verdict{
		broken: unsealed+early > 0, invalid: whole < 100,
		text: fmt.Sprintf("MIXED: %d successes without a runner's seal, %d streams that look complete before their last event; %d whole answers", unsealed, early, whole),
	}
}
