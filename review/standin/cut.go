package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// watchCut is how long a watch waits before it is cut off.
	watchCut = 1500 * time.Millisecond
	// drain is drainMs of the site.
	drain = 2 * time.Second
	// linger is how long the leaving runner serves on ("at times many seconds").
	linger = 15 * time.Second
	// leavers is how many runners leave, one every leavePause.
	leavers    = 3
	leavePause = 6 * time.Second
)

// playCut cuts watches off that wait for longer than watchCut. Meanwhile runners leave that never report that they drain: their
// entries are removed, and they serve on. The check is DRAIN: requests that reach a runner later than drainMs after the store has
// removed its entry.
func playCut(w *world, trouble bool) verdict {
	w.store.put("config", "main", baseConfig(7))
	w.addRunners(modelService, 3, modelRunner)
	plain := w.addRunners(plainService, 6, plainRunner)
	w.addRunners(stageService, 3, stageRunner)
	w.addGateways()
	if !w.waitReady(20 * time.Second) {
		return verdict{invalid: true, text: "the gateways did not become ready"}
	}
	for i := range 18 {
		c := &consumer{world: w, name: fmt.Sprint("c", i), zone: zones[i%3]}
		go c.loop(150*time.Millisecond, func() request { return loan(keyLibrary) })
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.rec.log("watches that wait for longer than %v are cut off from now on", watchCut)
		for _, g := range w.gateways {
			go g.storeProxy.cutIdle(watchCut, w.ctx.Done())
		}
	}
	time.Sleep(8 * time.Second)
	gone := map[*Runner]time.Time{}
	for _, r := range plain[:leavers] {
		r.leave(linger)
		gone[r] = time.Now()
		w.rec.log("entry of %s is removed; it serves on for %v", r.id, linger)
		time.Sleep(leavePause)
	}
	time.Sleep(linger - leavePause + time.Second)
	return w.judgeDrain(gone)
}

// judgeDrain counts the requests that DRAIN speaks of. The test disturbs no machine and not the store.
func (w *world) judgeDrain(gone map[*Runner]time.Time) verdict {
	late, before, sound := 0, 0, 0
	last := time.Duration(0)
	runs := w.rec.runsOf()
	for _, s := range w.rec.all() {
		if s.status == http.StatusOK {
			sound++
		}
		for _, x := range runs[s.name] {
			at, left := gone[x.runner]
			since := x.at.Sub(at)
			switch {
			case !left:
			case since <= drain:
				before++
			default:
				late++
				last = max(last, since)
				w.rec.log("DRAIN: %s reaches %s %.3f s after its entry was removed, sent by %s", s.name, x.runner.id, since.Seconds(), s.gateway.name)
			}
		}
	}
	return verdict{
		broken: late > 0, invalid: before == 0 || sound < 100,
		text: fmt.Sprintf("DRAIN: %d requests reached runners later than %v after their entry was removed, the last one %.1f s after it (%d before)", late, drain, last.Seconds(), before),
	}
}
