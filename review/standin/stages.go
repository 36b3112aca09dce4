package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	cardService = "patron-cards"
	// before and after are the times for which requests are sent before and after the configuration.
	beforeConfig = 4 * time.Second
	afterConfig  = 25 * time.Second
)

// playStages writes a configuration that adds a route and takes a key away. One stage of the added route needs the results of a stage
// with a higher number. Without the trouble, the same two stages stand in the other order. The check is CONFIG: requests that are sent
// later than configApplyMs after the confirmation and are handled as only an older version allows.
func playStages(w *world, trouble bool) verdict {
	first := baseConfig(7)
	first.Services = append(first.Services, map[string]any{"name": cardService, "healthPath": "/health", "maxConns": 280, "pieces": map[string]any{
		"slots": 1, "queue": 2, "batch": 22, "callMs": 240, "itemMs": 9.4, "headroomMb": 2.4, "handleS": 4, "linkMbps": 10000,
	}})
	w.store.put("config", "main", first)
	w.addSite()
	w.addRunners(cardService, 5, stageRunner)
	w.addGateways()
	if !w.waitReady(20 * time.Second) {
		return verdict{invalid: true, text: "the gateways did not become ready"}
	}
	for i := range 18 {
		c := &consumer{world: w, name: fmt.Sprint("c", i), zone: zones[i%3]}
		next := func() request { return loan(keyLibrary) }
		switch i % 3 {
		case 1:
			next = func() request { return loan(keyBus) }
		case 2:
			next = func() request { return added(keyLibrary) }
		}
		go c.loop(300*time.Millisecond, next)
	}
	time.Sleep(beforeConfig)
	second := first
	second.Version = 9
	cards := map[string]any{"service": cardService, "after": []int{}, "byteCount": 8000}
	stages := []map[string]any{cards, {"service": stageService, "after": []int{0}, "byteCount": 80000}}
	if trouble {
		stages = []map[string]any{{"service": stageService, "after": []int{1}, "byteCount": 80000}, cards}
	}
	second.Routes = append(append([]map[string]any{}, first.Routes...), map[string]any{
		"name": "card-plan", "host": host, "pathPrefix": "/cards/", "kind": "streaming", "timeoutMs": 12000, "sloMs": 1200, "priority": 1,
		"service": modelService, "maxAttempts": 1, "allowAnonymous": false, "sticky": true, "resumable": false, "gapTargetMs": 250, "stages": stages,
	})
	second.Tenants = []map[string]any{{"name": "library", "apiKeys": []string{keyLibrary}}, {"name": "bus", "apiKeys": []string{}}}
	w.store.put("config", "main", second)
	confirmed := time.Now()
	w.rec.log("version 9 confirmed: route card-plan added, key of bus taken away")
	time.Sleep(afterConfig)
	return w.judgeAdded(confirmed)
}

// added returns a request on the route that the second configuration adds, with a piece for each of its stages.
func added(key string) request {
	r := plan(key)
	r.route, r.path = "card-plan", "/cards/2f"
	for i := range r.headers {
		if r.headers[i][0] == "Pieces" {
			r.headers[i][1] = "2,2"
		}
	}
	return r
}

// judgeAdded counts the requests that CONFIG speaks of. No machine is disturbed, nor is the store.
func (w *world) judgeAdded(confirmed time.Time) verdict {
	runs := w.rec.runsOf()
	later, dropped, refused, served := 0, 0, 0, 0
	last := time.Duration(0)
	for _, s := range w.rec.all() {
		if s.status == http.StatusOK {
			served++
		}
		since := s.at.Sub(confirmed)
		if since <= configApply || s.answered.IsZero() {
			continue
		}
		later++
		switch {
		case s.key == keyBus && len(runs[s.name]) > 0:
			dropped++
		case s.route == "card-plan" && s.status == http.StatusNotFound:
			refused++
		default:
			continue
		}
		last = max(last, since)
	}
	return verdict{
		broken: dropped+refused > 0, invalid: later < 100 || served < 100,
		text: fmt.Sprintf("CONFIG: of %d requests sent later than %v after the confirmation, %d ran with a key that was taken away and %d got 404 for the route that was added, the last of them sent %.1f s after it; %d requests were answered 200", later, configApply, dropped, refused, last.Seconds(), served),
	}
}
