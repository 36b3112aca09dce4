package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// greyRunners is the number of runners, one of which fails: a share of 0.125, within the 0.14 of the site.
	greyRunners = 8
	// greyShare is the share of its requests that a runner fails, and greyTime how long it does.
	greyShare = 0.45
	greyTime  = 6500 * time.Millisecond
)

var lastCheckout atomic.Uint64

// checkout sends an unsafe request, and sends it once more, with another id and on a new channel, if it is told that it has not run.
func (c *consumer) checkout() {
	r := loan(keyLibrary)
	r.body = fmt.Sprintf("checkout %d", lastCheckout.Add(1))
	s := c.do(nil, r)
	if s != nil && (s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests) {
		c.drop()
		c.do(nil, r)
	}
}

// playGrey lets one runner fail part of its requests: it has done the work, and answers 503 without Not-Executed. The check is
// REFUSED: unsafe requests that are answered 503 or 429 and have run.
func playGrey(w *world, trouble bool) verdict {
	w.store.put("config", "main", baseConfig(7))
	w.addRunners(modelService, 3, modelRunner)
	plain := w.addRunners(plainService, greyRunners, plainRunner)
	w.addRunners(stageService, 3, stageRunner)
	w.addGateways()
	if !w.waitReady(20 * time.Second) {
		return verdict{invalid: true, text: "the gateways did not become ready"}
	}
	for i := range 12 {
		c := &consumer{world: w, name: fmt.Sprint("c", i), zone: zones[i%3]}
		go func() {
			for !w.ended() {
				c.checkout()
				time.Sleep(callerPause)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		plain[0].turnGrey(greyShare, http.StatusServiceUnavailable)
		time.Sleep(greyTime)
		plain[0].turnGrey(0, 0)
	}
	time.Sleep(5 * time.Second)
	return w.judgeRefused()
}

// judgeRefused counts the requests that REFUSED speaks of, and the checkouts that runners have done twice.
func (w *world) judgeRefused() verdict {
	runs := w.rec.runsOf()
	refused, all, served := 0, 0, 0
	done := map[string]int{}
	for _, s := range w.rec.all() {
		all++
		done[s.body] += len(runs[s.name])
		switch s.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if len(runs[s.name]) > 0 {
				refused++
				w.rec.log("REFUSED: %s was answered %d and has run at %s", s.name, s.status, runs[s.name][0].runner.id)
			}
		}
	}
	twice := 0
	for _, n := range done {
		if n > 1 {
			twice++
		}
	}
	return verdict{
		broken: refused > 0, invalid: served < 100,
		text: fmt.Sprintf("REFUSED: %d of %d unsafe requests were answered 503 or 429 and had run; %d checkouts were done twice, because their consumers sent them again; %d requests were answered 200", refused, all, twice, served),
	}
}
