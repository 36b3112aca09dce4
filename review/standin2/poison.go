package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case poison: one part of a prompt crashes each runner that begins to write an answer on it.

const (
	poisonPart = "deadbeef"
	sharedPart = "5c1e07a2"
	// Pauses between two requests of a kind. The first request with the deadly part comes before the first sound one that shares its
	// other parts.
	soundPause     = 2 * time.Second
	soundCalmPause = time.Second
	otherPause     = 50 * time.Millisecond
	poisonPause    = 125 * time.Millisecond
	soundDelay     = 2200 * time.Millisecond
	// Requests with the deadly part come during troubleTime, sound ones to the end.
	troubleTime = 66 * time.Second
	restTime    = 11 * time.Second // after the last request with the deadly part
	calmTime    = 22 * time.Second
	stable      = 3 * time.Second // stableWindowMs of the small deployments
	limit       = 12 * time.Second
	firstEvent  = 100 * time.Millisecond
	eventGap    = 40 * time.Millisecond
	events      = 10
	otherParts  = 40
)

func playPoison(e *environment, trouble bool) (bool, error) {
	p := &poison{environment: e, begun: map[string]bool{}}
	if err := p.start(p.chunkedAnswer, 3); err != nil {
		return false, err
	}
	return p.judge(trouble)
}

// start starts nine runners and some gateways.
func (p *poison) start(handle func(*runner, *boot, http.ResponseWriter, *http.Request), gateways int) error {
	p.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-plan", "host": host, "pathPrefix": "/plan/", "kind": "streaming", "timeoutMs": 12000, "sloMs": 1200, "priority": 1,
			"service": "pool", "maxAttempts": 1, "allowAnonymous": false, "sticky": true, "resumable": false, "gapTargetMs": 250,
		}},
		"services": []any{map[string]any{"name": "pool", "healthPath": "/health", "maxConns": 280, "coldStartS": 0.0, "coldPerS": 0.0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "t1", "apiKeys": []string{"key-one"}, "priority": 1}, map[string]any{"name": "t2", "apiKeys": []string{"key-two"}, "priority": 1}},
	})
	for i := range 9 {
		r := &runner{service: "pool", zone: zones[i%3], slots: 64, store: p.store, rec: p.rec, handle: handle}
		if err := r.start(); err != nil {
			return err
		}
	}
	if err := p.startGateways(gateways); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

type poison struct {
	*environment
	seq     atomic.Int64
	mu      sync.Mutex
	begun   map[string]bool // sound requests that a runner has begun to answer
	crashes []time.Time
	late    int // requests with the deadly part that reached a runner later than a window after the fifth crash
}

// countRun counts a request that has reached a runner.
func (p *poison) countRun(deadly bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if deadly && len(p.crashes) >= 5 && time.Since(p.crashes[4]) > stable {
		p.late++
	}
}

// countBegun records that a runner has begun to answer a request.
func (p *poison) countBegun(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun[id] = true
}

// crash ends a boot of a runner.
func (p *poison) crash(r *runner, b *boot) {
	if !r.crash(b) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
}

// chunkedAnswer answers a request with a stream of events, or crashes as it begins to write.
func (p *poison) chunkedAnswer(r *runner, b *boot, w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	deadly := strings.Contains(req.Header.Get("Prompt-Prefix"), poisonPart)
	p.rec.add("runner %s runs %s", b.id, id)
	p.countRun(deadly)
	time.Sleep(firstEvent)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Seal", "seal."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	if deadly {
		_, _ = w.Write([]byte("id: 1\nda"))
		_ = control.Flush()
		p.crash(r, b)
		return
	}
	for n := 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
		if n == 1 {
			p.countBegun(id)
		}
		time.Sleep(eventGap)
	}
}

// tally counts requests, and those of them that a runner began to answer at the first attempt.
type tally struct {
	mu          sync.Mutex
	sent, begun int
}

// sendOne sends a request whose prompt begins with some parts. It is counted if it was sent at the given time or later.
func (p *poison) sendOne(name, key, parts string, count *tally, from func() time.Time) {
	n := p.seq.Add(1)
	g := p.gateways[int(n)%len(p.gateways)]
	id := fmt.Sprintf("%s-%06d", name, n)
	at := time.Now()
	p.rec.add("client sends %s to %s: prompt %s", id, g.name, parts)
	a := send(g.front, request{id: id, method: http.MethodPost, path: "/plan/x", key: key, body: "prompt of " + id, limit: limit, headers: []string{
		"Model: m", "Token-Counts: 900,40", fmt.Sprintf("Prompt-Prefix: %s,%08x:50", parts, n),
	}})
	p.rec.add("client gets %s from %s: %d complete=%t retry-after=%s %v", id, g.name, a.status, a.complete, a.retryAfter, a.err)
	if at.Before(from()) {
		return
	}
	p.mu.Lock()
	begun := p.begun[id]
	p.mu.Unlock()
	count.mu.Lock()
	defer count.mu.Unlock()
	count.sent++
	if begun {
		count.begun++
	}
}

// sendMany sends requests one by one until the end, and waits for their answers.
func (p *poison) sendMany(until time.Time, pause time.Duration, sendNext func(i int)) {
	var group sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		group.Go(func() { sendNext(i) })
		time.Sleep(pause)
	}
	group.Wait()
}

func (p *poison) judge(trouble bool) (bool, error) {
	var calm, later, rest tally
	always := func() time.Time { return time.Time{} }
	sound := func(count *tally, from func() time.Time) func(int) {
		return func(int) { p.sendOne("sound", "key-one", sharedPart+":800,91bd3f06:200", count, from) }
	}
	troubleEnd := time.Now().Add(troubleTime)
	calmBegin := troubleEnd.Add(restTime)
	calmEnd := calmBegin.Add(calmTime)
	go p.sendMany(calmEnd, otherPause, func(i int) {
		p.sendOne("other", "key-two", fmt.Sprintf("77aa%04x:800", i%otherParts), &rest, always)
	})
	if trouble {
		go p.sendMany(troubleEnd, poisonPause, func(int) {
			p.sendOne("deadly", "key-one", sharedPart+":800,"+poisonPart+":200", &rest, always)
		})
	}
	time.Sleep(soundDelay)
	p.sendMany(troubleEnd, soundPause, sound(&later, p.judgedFrom))
	p.sendMany(calmEnd, soundCalmPause, sound(&calm, func() time.Time { return calmBegin }))
	return p.verdict(&later, &calm)
}

// verdict reports whether sound requests began at the first attempt at least half as often in trouble as in calm.
func (p *poison) verdict(later, calm *tally) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := fmt.Sprintf("of the sound requests with the shared part %d of %d began at the first attempt in trouble and %d of %d in calm; %d crashes, %d late runs",
		later.begun, later.sent, calm.begun, calm.sent, len(p.crashes), p.late)
	p.rec.add("%s", text)
	fmt.Println(text)
	if calm.sent < 20 || later.sent < 20 {
		return false, fmt.Errorf("only %d and %d sound requests", later.sent, calm.sent)
	}
	return float64(later.begun)/float64(later.sent) >= float64(calm.begun)/float64(calm.sent)/2, nil
}

// judgedFrom returns the time from which sound requests are judged: two windows after the fifth crash, or the last so far.
func (p *poison) judgedFrom() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) == 0 {
		return time.Time{}
	}
	return p.crashes[min(len(p.crashes), 5)-1].Add(2 * stable)
}
