package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The case keys: clients send a Piece-Key that holds bytes outside ASCII, which a header field may (RFC 9110, section 5.5).

// stageItem is an item of a call to a runner of a stage.
type stageItem struct {
	ID          string   `json:"id"`
	Stage       int      `json:"stage"`
	Piece       int      `json:"piece"`
	RemainingMs int64    `json:"remainingMs"`
	Key         string   `json:"key"`
	Inputs      []string `json:"inputs"`
}

type keys struct {
	*environment
	handles atomic.Int64
	mu      sync.Mutex
	asked   map[string][]string // keys of the pieces by request
	ran     map[string]bool     // requests that a model runner has run
}

func playKeys(e *environment, trouble bool) (bool, error) {
	e.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-plan", "host": host, "pathPrefix": "/plan/", "kind": "streaming", "timeoutMs": 12000, "sloMs": 1200, "priority": 1,
			"service": "pool", "maxAttempts": 1, "allowAnonymous": false, "sticky": true, "resumable": false, "gapTargetMs": 250,
			"stages": []any{map[string]any{"service": "cards", "after": []int{}, "byteCount": 10000}},
		}},
		"services": []any{
			map[string]any{"name": "pool", "healthPath": "/health", "maxConns": 280, "coldStartS": 0.0, "coldPerS": 0.0},
			map[string]any{"name": "cards", "healthPath": "/health", "maxConns": 280, "coldStartS": 0.0, "coldPerS": 0.0, "pieces": map[string]any{
				"slots": 1, "queue": 2, "batch": 22, "callMs": 240.0, "itemMs": 9.4, "headroomMb": 2.4, "handleS": 4.0, "linkMbps": 10000,
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": []string{"key-one"}, "priority": 1}, map[string]any{"name": "t2", "apiKeys": []string{"key-two"}, "priority": 1}},
	})
	p := &keys{environment: e, asked: map[string][]string{}, ran: map[string]bool{}}
	for i := range 3 {
		for _, r := range []*runner{
			{service: "pool", zone: zones[i], slots: 64, store: e.store, rec: e.rec, handle: p.modelAnswer},
			{service: "cards", zone: zones[i], slots: 1, store: e.store, rec: e.rec, handle: p.stageAnswer},
		} {
			if err := r.start(); err != nil {
				return false, err
			}
		}
	}
	if err := e.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	return p.judge(trouble)
}

func (p *keys) stageAnswer(r *runner, b *boot, w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/stage-run" {
		w.WriteHeader(http.StatusOK)
		return
	}
	var in struct {
		Items []stageItem `json:"items"`
	}
	if json.NewDecoder(req.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(240 * time.Millisecond)
	out := []map[string]string{}
	for _, it := range in.Items {
		p.rec.add("runner %s is asked for piece %d of stage %d of %s with key %q", b.id, it.Piece, it.Stage, it.ID, it.Key)
		p.mu.Lock()
		p.asked[it.ID] = append(p.asked[it.ID], it.Key)
		p.mu.Unlock()
		out = append(out, map[string]string{"handle": fmt.Sprintf("%s/%x", r.addr, p.handles.Add(1))})
	}
	reply(w, http.StatusOK, map[string]any{"items": out})
}

func (p *keys) modelAnswer(r *runner, b *boot, w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	p.rec.add("runner %s runs %s with inputs %s", b.id, id, req.Header.Get("Inputs"))
	p.mu.Lock()
	p.ran[id] = true
	p.mu.Unlock()
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", id)
}

func (p *keys) judge(trouble bool) (bool, error) {
	list := []struct{ apiKey, pieceKey string }{{"key-one", "menu-e"}, {"key-two", "menu-a"}}
	if trouble {
		list[0].pieceKey, list[1].pieceKey = "men\xfa-\xe9", "men\xfa-\xe0" // Latin-1
	}
	wrong, served := 0, 0
	for round := range 6 {
		for i, c := range list {
			id := fmt.Sprintf("key-%d-%d", round, i)
			g := p.gateways[round%len(p.gateways)]
			p.rec.add("client sends %s to %s with Piece-Key %q", id, g.name, c.pieceKey)
			a := send(g.front, request{id: id, method: http.MethodPost, path: "/plan/x", key: c.apiKey, body: "prompt", limit: 6 * time.Second, headers: []string{
				"Model: m", "Token-Counts: 90,4", "Prompt-Prefix: aa:40,bb:50", "Pieces: 2", "Piece-Key: " + c.pieceKey,
			}})
			p.rec.add("client gets %s: %d complete=%t %v", id, a.status, a.complete, a.err)
			if a.status == http.StatusOK {
				served++
			}
			p.mu.Lock()
			for _, key := range p.asked[id] {
				if key != c.pieceKey {
					wrong++
				}
			}
			p.mu.Unlock()
		}
	}
	fmt.Println(wrong, "pieces were asked for with another key;", served, "requests were served")
	if !trouble && served != 12 {
		return false, fmt.Errorf("%d of 12 requests were served without the disruption", served)
	}
	return wrong == 0, nil
}
