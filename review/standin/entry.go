package main

import (
	"fmt"
	"time"
)

const (
	// foreignEntries is how many entries another writer writes, one every foreignPause.
	foreignEntries = 15
	foreignPause   = 6 * time.Second
	// maxEnds and minMachines are the bounds of the rule: on a tenth of the machines, two at least, processes end by themselves
	// three times.
	maxEnds     = 3
	minMachines = 2
)

// playEntry lets another writer write entries under the ids of stage servers, with a service that is not named anywhere. Each
// server writes its own entry again with its next check-in. The check is Fault: machines on which processes end by themselves
// three times.
func playEntry(w *world, trouble bool) verdict {
	w.store.put("config", "main", baseConfig(7))
	w.addSite()
	w.addGateways()
	if !w.waitReady(20 * time.Second) {
		return verdict{invalid: true, text: "the gateways did not become ready"}
	}
	for i := range 27 {
		c := &consumer{world: w, name: fmt.Sprint("c", i), zone: zones[i%3]}
		switch i / 9 {
		case 0:
			go c.loop(100*time.Millisecond, func() request { return loan(keyLibrary) })
		case 1:
			go c.loop(200*time.Millisecond, func() request { return plan(keyLibrary) })
		default:
			go c.loop(300*time.Millisecond, func() request { return patron(keyBus, "91bd3f06") })
		}
	}
	time.Sleep(8 * time.Second)
	for n := range foreignEntries {
		id := fmt.Sprintf("i-%s-%d", stageService, n%5)
		if trouble {
			w.rec.log("another writer writes servers/%s with a service that is not named", id)
			w.store.put("servers", id, entry{
				Service: "opening-hours", Address: "127.0.0.1:9", Zone: zones[0], Version: "v1", Slots: 1, State: "ready",
			})
		}
		time.Sleep(foreignPause)
	}
	return w.judgeEnds()
}

// judgeEnds counts the ends that Fault speaks of. The test stops no process and disturbs no machine.
func (w *world) judgeEnds() verdict {
	machines, ends, answered, unanswered := 0, 0, 0, 0
	for _, g := range w.gateways {
		ends += g.ends()
		if g.ends() >= maxEnds {
			machines++
		}
	}
	for _, s := range w.rec.all() {
		switch {
		case s.status == 200:
			answered++
		case s.status == 502 || s.closed || s.cut:
			unanswered++
		}
	}
	return verdict{
		broken: machines >= minMachines, invalid: answered < 100,
		text: fmt.Sprintf("Fault: processes ended by themselves %d times, on %d machines %d times or more (%d machines break the rule); answered 200: %d; 502, cut or closed: %d", ends, machines, maxEnds, minMachines, answered, unanswered),
	}
}
