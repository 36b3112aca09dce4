package main

import (
	"fmt"
	"net/http"
	"time"
)

// config is config/main as the operator writes it.
type config struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

const (
	keyLibrary = "9dnn2ctnfzs989anu6ws"
	keyBus     = "7kqp4xzr21mmvbt0aeh3"
)

// baseConfig is a cut of the site: model runners, a plain service and a stage.
func baseConfig(version int) config {
	return config{
		Version: version,
		Routes: []map[string]any{
			{
				"name": "reading-plan", "host": host, "pathPrefix": "/plan/", "kind": "streaming", "timeoutMs": 12000, "sloMs": 1200, "priority": 1,
				"service": modelService, "maxAttempts": 1, "allowAnonymous": false, "sticky": true, "resumable": false, "gapTargetMs": 250,
				"stages": []map[string]any{{"service": stageService, "after": []int{}, "byteCount": 80000}},
			},
			{
				"name": "patron-answer", "host": host, "pathPrefix": "/patron/", "kind": "streaming", "timeoutMs": 12000, "sloMs": 1900, "priority": 0,
				"service": modelService, "maxAttempts": 2, "allowAnonymous": false, "sticky": true, "resumable": true, "gapTargetMs": 250,
			},
			{
				"name": "loan-checkout", "host": host, "pathPrefix": "/loan/", "kind": "unsafe", "timeoutMs": 1000, "sloMs": 100, "priority": 2,
				"service": plainService, "maxAttempts": 1, "allowAnonymous": false, "sticky": false, "resumable": false,
			},
			{
				"name": "catalog-lookup", "host": host, "pathPrefix": "/lookup/", "kind": "safe", "timeoutMs": 1000, "sloMs": 100, "priority": 2,
				"service": plainService, "maxAttempts": 2, "allowAnonymous": false, "sticky": false, "resumable": false,
			},
		},
		Services: []map[string]any{
			{"name": modelService, "healthPath": "/health", "maxConns": 280, "coldStartS": 3.0, "coldPerS": 18.0},
			{"name": plainService, "healthPath": "/health", "maxConns": 52},
			{"name": stageService, "healthPath": "/health", "maxConns": 280, "pieces": map[string]any{
				"slots": 1, "queue": 2, "batch": 8, "callMs": 240, "itemMs": 26, "headroomMb": 9.6, "handleS": 4, "linkMbps": 10000,
			}},
		},
		Limits: map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants: []map[string]any{
			{"name": "library", "apiKeys": []string{keyLibrary}}, {"name": "bus", "apiKeys": []string{keyBus}},
		},
	}
}

func loan(key string) request {
	return request{route: "loan-checkout", method: http.MethodPost, path: "/loan/2f", key: key, body: "checkout", limit: time.Second}
}

func lookup(key string) request {
	return request{route: "catalog-lookup", method: http.MethodGet, path: "/lookup/2f", key: key, limit: time.Second}
}

// prompt returns the headers of a request with a shared first part, a second part and one of its own.
func prompt(second string) [][2]string {
	return [][2]string{{"Model", "m"}, {"Token-Counts", "1460,80"}, {"Prompt-Prefix", fmt.Sprintf("5c1e07a2:800,%s:410,%08x:250", second, lastName.Load())}}
}

func plan(key string) request {
	return request{
		route: "reading-plan", method: http.MethodPost, path: "/plan/2f", key: key, body: "history of a child", limit: 12 * time.Second,
		headers: append(prompt("91bd3f06"), [2]string{"Pieces", "4"}, [2]string{"Piece-Key", fmt.Sprintf("%012x", lastName.Load())}),
	}
}

func patron(key, second string) request {
	return request{
		route: "patron-answer", method: http.MethodPost, path: "/patron/2f", key: key, body: fmt.Sprintf("question %d", lastName.Load()), limit: 12 * time.Second,
		headers: prompt(second),
	}
}

// addSite starts the runners of the site's services.
func (w *world) addSite() {
	w.addRunners(modelService, 9, modelRunner)
	w.addRunners(plainService, 3, plainRunner)
	w.addRunners(stageService, 5, stageRunner)
}
