package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The case unframed: a part of a prompt crashes each runner that begins to write an answer on it, and the runners' streams have
// neither a length nor chunks and end with their channel.

const (
	unframedCalm    = 24 * time.Second
	unframedTrouble = 40 * time.Second
	unframedSound   = time.Second
	unframedDeadly  = 125 * time.Millisecond
)

func playUnframed(e *environment, trouble bool) (bool, error) {
	p := &poison{environment: e, begun: map[string]bool{}}
	if err := p.start(p.unframedAnswer, 3); err != nil {
		return false, err
	}
	return p.judgeUnframed(trouble)
}

// unframedAnswer answers a request with a stream that ends with its channel. A runner that crashes writes its first event before.
func (p *poison) unframedAnswer(r *runner, b *boot, w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	deadly := strings.Contains(req.Header.Get("Prompt-Prefix"), poisonPart)
	p.rec.add("runner %s runs %s", b.id, id)
	p.countRun(deadly)
	time.Sleep(firstEvent)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	b.track(conn)
	defer b.untrack(conn)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, id); err != nil {
		return
	}
	for n := 1; n <= events; n++ {
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		if deadly {
			p.crash(r, b)
			return
		}
		if n == 1 {
			p.countBegun(id)
		}
		time.Sleep(eventGap)
	}
}

func (p *poison) judgeUnframed(trouble bool) (bool, error) {
	var calm, later, rest tally
	calmEnd := time.Now().Add(unframedCalm)
	end := calmEnd.Add(unframedTrouble)
	sound := func(count *tally, from func() time.Time) func(int) {
		return func(int) { p.sendOne("sound", "key-one", sharedPart+":800,91bd3f06:200", count, from) }
	}
	always := func() time.Time { return time.Time{} }
	go p.sendMany(end, otherPause, func(i int) {
		p.sendOne("other", "key-two", fmt.Sprintf("77aa%04x:800", i%otherParts), &rest, always)
	})
	p.sendMany(calmEnd, unframedSound, sound(&calm, always))
	p.rec.add("in calm: %d sound requests with the shared part, %d begun at the first attempt", calm.sent, calm.begun)
	if trouble {
		go p.sendMany(end, unframedDeadly, func(int) {
			p.sendOne("deadly", "key-one", sharedPart+":800,"+poisonPart+":200", &rest, always)
		})
	}
	p.sendMany(end, unframedSound, sound(&later, func() time.Time { return latest(p.judgedFrom(), calmEnd) }))
	return p.verdict(&later, &calm)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
