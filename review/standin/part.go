package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// deadlyPart is the ID of the part of a prompt that crashes each model runner that begins to write an answer on it.
	deadlyPart = "dead0001"
	// partPause is the time after which a request with that part comes again.
	partPause = 1500 * time.Millisecond
	// allowedCrashes and allowedRetries are the bounds of the rule: no more than allowedRetries requests with the part reach
	// runners later than stableWindow after crash number allowedCrashes.
	allowedCrashes = 5
	allowedRetries = 3
)

// hasDeadlyPart reports whether a prompt holds the deadly part.
func hasDeadlyPart(r *http.Request, _ string) bool {
	return strings.Contains(r.Header.Get("Prompt-Prefix"), deadlyPart)
}

// playPart sends requests with a part that crashes the runners, no two alike. A runner crashes as it has written the first event of
// the answer. The check is BUDGET: requests with the part that reach runners later than stableWindowMs after the fifth crash, sent
// by machines in touch.
func playPart(w *world, trouble bool) verdict {
	w.store.put("config", "main", baseConfig(7))
	w.addRunners(modelService, 9, func(r *Runner) {
		modelRunner(r)
		if trouble {
			r.killer, r.killerEvents = hasDeadlyPart, 1
		}
	})
	w.addRunners(plainService, 3, plainRunner)
	w.addRunners(stageService, 3, stageRunner)
	w.addGateways()
	if !w.waitReady(20 * time.Second) {
		return verdict{invalid: true, text: "the gateways did not become ready"}
	}
	for i := range 18 {
		c := &consumer{world: w, name: fmt.Sprint("c", i), zone: zones[i%3]}
		go c.loop(200*time.Millisecond, func() request { return patron(keyBus, fmt.Sprintf("91bd3f%02x", i%6)) })
	}
	time.Sleep(4 * time.Second)
	go func() {
		for n := 0; !w.ended(); n++ {
			c := &consumer{world: w, name: fmt.Sprint("tainted", n), zone: zones[n%3]}
			go func() {
				tainted := patron(keyBus, deadlyPart)
				tainted.route = "tainted"
				c.do(nil, tainted)
				c.drop()
			}()
			time.Sleep(partPause)
		}
	}()
	time.Sleep(50 * time.Second)
	return w.judgePart()
}

// judgePart counts the requests that BUDGET speaks of.
func (w *world) judgePart() verdict {
	byName := map[string]sent{}
	sound := 0
	for _, s := range w.rec.all() {
		byName[s.name] = s
		if s.route != "tainted" && s.status == http.StatusOK && s.events == streamEvents {
			sound++
		}
	}
	w.rec.mu.Lock()
	runs := append([]ran{}, w.rec.runs...)
	w.rec.mu.Unlock()
	var fifth time.Time
	reached, crashes, late := 0, 0, 0
	for _, x := range runs {
		s := byName[x.name]
		if s.route != "tainted" {
			continue
		}
		reached++
		if x.runner.killer == nil {
			continue
		}
		if !fifth.IsZero() && x.at.Sub(fifth) > stableWindow && s.inTouch {
			late++
		}
		if crashes++; crashes == allowedCrashes {
			fifth = x.at
		}
	}
	return verdict{
		broken: late > allowedRetries, invalid: sound < 100 || reached < allowedCrashes,
		text: fmt.Sprintf("BUDGET: requests with the part reached runners %d times and crashed %d; %d of them reached runners from machines in touch later than %v after crash %d (more than %d break the rule); %d sound streams were answered whole", reached, crashes, late, stableWindow, allowedCrashes, allowedRetries, sound),
	}
}
