package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case writer: another writer leaves entries among those of the runners that cannot be read. Then the runners of a service are
// replaced one after the other.

const (
	writerEntries  = 6
	writerBytes    = 900_000 // of each; valueBytes is 1,048,576
	writerGateways = 6
	writerRunners  = 4
	drainTime      = 2 * time.Second // drainMs of the small deployments
	lingerTime     = 6 * time.Second // for which a runner serves after that
	releasePause   = 4 * time.Second
	lookupPause    = 50 * time.Millisecond
	lookupLimit    = time.Second
	lastPart       = 10 * time.Second
)

type writer struct {
	*environment
	seq atomic.Int64

	mu       sync.Mutex
	draining map[string]time.Time // when the store accepted that a boot drains
	sent     map[string]time.Time
	by       map[string]*gateway
	late     map[string]int // requests that reached a runner too late, by gateway
	served   map[string]int // in the last part, by gateway
	asked    map[string]int
}

func playWriter(e *environment, trouble bool) (bool, error) {
	p := &writer{
		environment: e, draining: map[string]time.Time{}, sent: map[string]time.Time{}, by: map[string]*gateway{},
		late: map[string]int{}, served: map[string]int{}, asked: map[string]int{},
	}
	e.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-lookup", "host": host, "pathPrefix": "/lookup/", "kind": "safe", "timeoutMs": 1000, "sloMs": 100, "priority": 2,
			"service": "circulation", "maxAttempts": 2, "allowAnonymous": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "circulation", "healthPath": "/health", "maxConns": 52, "coldStartS": 0.0, "coldPerS": 0.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "t1", "apiKeys": []string{"key-one"}, "priority": 1}},
	})
	var runners []*runner
	for i := range writerRunners {
		r, err := p.startRunner(i)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	if err := e.startGateways(writerGateways); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	return p.judge(runners, trouble)
}

func (p *writer) startRunner(i int) (*runner, error) {
	r := &runner{service: "circulation", zone: zones[i%len(zones)], slots: 6, store: p.store, rec: p.rec, handle: p.answer}
	return r, r.start()
}

func (p *writer) answer(r *runner, b *boot, w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	p.rec.add("runner %s runs %s", b.id, id)
	p.mu.Lock()
	if since := p.draining[b.id]; !since.IsZero() && p.sent[id].After(since.Add(drainTime)) {
		p.late[p.by[id].name]++
		p.rec.add("%s was sent %s after the store had accepted that %s drains", id, p.sent[id].Sub(since).Round(time.Millisecond), b.id)
	}
	p.mu.Unlock()
	time.Sleep(15 * time.Millisecond)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal."+id)
	_, _ = fmt.Fprintln(w, id)
}

// lookup sends a request to a gateway.
func (p *writer) lookup(g *gateway, last time.Time) {
	id := fmt.Sprintf("lookup-%06d", p.seq.Add(1))
	now := time.Now()
	p.mu.Lock()
	p.sent[id], p.by[id] = now, g
	p.mu.Unlock()
	p.rec.add("client sends %s to %s", id, g.name)
	a := send(g.front, request{id: id, method: http.MethodGet, path: "/lookup/x", key: "key-one", limit: lookupLimit})
	p.rec.add("client gets %s: %d complete=%t %v", id, a.status, a.complete, a.err)
	if now.Before(last) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked[g.name]++
	if a.status == http.StatusOK && a.complete {
		p.served[g.name]++
	}
}

// replace starts a new runner, lets an old one drain and ends it.
func (p *writer) replace(i int, old *runner) error {
	if _, err := p.startRunner(i); err != nil {
		return err
	}
	b := old.drain()
	p.mu.Lock()
	p.draining[b.id] = time.Now()
	p.mu.Unlock()
	p.rec.add("the store has accepted that %s drains", b.id)
	time.AfterFunc(drainTime+lingerTime, func() { old.leave(b) })
	return nil
}

func (p *writer) judge(runners []*runner, trouble bool) (bool, error) {
	if trouble {
		for i := range writerEntries {
			p.store.put("servers", fmt.Sprintf("w-%d", i), strings.Repeat("x", writerBytes))
		}
		p.rec.add("another writer has written %d entries of %d bytes", writerEntries, writerBytes)
	}
	began := time.Now().Add(3 * time.Second)
	last := began.Add(writerRunners*releasePause + drainTime + lingerTime)
	end := last.Add(lastPart)
	var clients sync.WaitGroup
	for _, g := range p.gateways {
		clients.Go(func() {
			for time.Now().Before(end) {
				p.lookup(g, last)
				time.Sleep(lookupPause)
			}
		})
	}
	time.Sleep(time.Until(began))
	for i, old := range runners {
		if err := p.replace(writerRunners+i, old); err != nil {
			return false, err
		}
		time.Sleep(releasePause)
	}
	clients.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for _, g := range p.gateways {
		text := fmt.Sprintf("%s: %d requests reached a leaving runner too late; served %d of %d after the release; peak memory %s",
			g.name, p.late[g.name], p.served[g.name], p.asked[g.name], g.peakMemory())
		p.rec.add("%s", text)
		fmt.Println(text)
		late += p.late[g.name]
	}
	return late == 0, nil
}
