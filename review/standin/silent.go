package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	catalogService = "catalogue"
	// quiet is how long a channel has carried nothing when it goes silent.
	quiet = 3 * time.Second
)

// playSilent makes the channels to the store silent that carry nothing at that moment; new ones work. Later than
// stableWindowMs after it, a configuration takes a key away and moves a route to another service. The check is CONFIG: requests
// sent later than configApplyMs after its confirmation and handled as only an older version allows.
func playSilent(w *world, trouble bool) verdict {
	before := baseConfig(7)
	before.Services = append(before.Services, map[string]any{"name": catalogService, "healthPath": "/health", "maxConns": 52})
	w.store.put("config", "main", before)
	w.addSite()
	w.addRunners(catalogService, 3, plainRunner)
	w.addGateways()
	if !w.waitReady(20 * time.Second) {
		return verdict{invalid: true, text: "the gateways did not become ready"}
	}
	for i := range 18 {
		c := &consumer{world: w, name: fmt.Sprint("c", i), zone: zones[i%3]}
		switch i / 6 {
		case 0:
			go c.loop(200*time.Millisecond, func() request { return loan(keyLibrary) })
		case 1:
			go c.loop(200*time.Millisecond, func() request { return loan(keyBus) })
		default:
			go c.loop(200*time.Millisecond, func() request { return lookup(keyLibrary) })
		}
	}
	time.Sleep(3 * time.Second)
	before.Version = 9
	before.Routes[1]["timeoutMs"] = 11000
	w.store.put("config", "main", before)
	w.rec.log("version 9 confirmed: a time-out")
	time.Sleep(4 * time.Second)
	if trouble {
		silenced, open := 0, 0
		for _, g := range w.gateways {
			s, o := g.storeProxy.silence(quiet)
			silenced, open = silenced+s, open+o
		}
		w.rec.log("%d of %d open channels to the store go silent", silenced, open)
	}
	time.Sleep(stableWindow + time.Second)
	after := before
	after.Version = 12
	after.Tenants = []map[string]any{{"name": "library", "apiKeys": []string{keyLibrary}}, {"name": "bus", "apiKeys": []string{}}}
	after.Routes = append([]map[string]any{}, before.Routes...)
	moved := map[string]any{}
	for k, v := range before.Routes[3] {
		moved[k] = v
	}
	moved["service"] = catalogService
	after.Routes[3] = moved
	w.store.put("config", "main", after)
	confirmed := time.Now()
	w.rec.log("version 12 confirmed: key of bus taken away, catalog-lookup moved to %s", catalogService)
	time.Sleep(12 * time.Second)
	return w.judgeConfig(confirmed)
}

// judgeConfig counts the requests that CONFIG speaks of: no machine is disturbed by then, and the store is not at all.
func (w *world) judgeConfig(confirmed time.Time) verdict {
	runs := w.rec.runsOf()
	dropped, old, later := 0, 0, 0
	last := time.Duration(0)
	for _, s := range w.rec.all() {
		since := s.at.Sub(confirmed)
		if since <= configApply {
			continue
		}
		later++
		for _, x := range runs[s.name] {
			byKey := s.key == keyBus
			byService := s.route == "catalog-lookup" && x.runner.service == plainService
			if byKey {
				dropped++
			}
			if byService {
				old++
			}
			if byKey || byService {
				last = max(last, since)
				w.rec.log("CONFIG: %s sent %.3f s after the confirmation ran at %s, route %s, key %s", s.name, since.Seconds(), x.runner.id, s.route, s.key)
			}
		}
	}
	served := 0
	for _, s := range w.rec.all() {
		if s.status == http.StatusOK {
			served++
		}
	}
	return verdict{
		broken: dropped+old > 0, invalid: later < 50 || served < 100,
		text: fmt.Sprintf("CONFIG: of %d requests sent later than %v after the confirmation, %d ran with a key that was taken away and %d at the old service, the last of them sent %.1f s after it", later, configApply, dropped, old, last.Seconds()),
	}
}
