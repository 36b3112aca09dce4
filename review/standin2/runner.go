package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// checkIn is the interval of a runner's check-ins; its entry is removed after three of silence.
	checkIn = 1200 * time.Millisecond
	// restartTime is how long a runner that has crashed is down.
	restartTime = 2 * time.Second
)

// runner is a stand-in for a runner of a service. Each start is a new boot with a new id at the same address.
type runner struct {
	service, zone, addr string
	state               string // of its entry; empty counts as ready
	slots               int
	store               *store
	rec                 *recorder
	handle              func(r *runner, boot *boot, w http.ResponseWriter, req *http.Request)

	mu    sync.Mutex
	boot  *boot
	boots int
}

// boot is one life of a runner.
type boot struct {
	id     string
	server *http.Server
	ended  chan struct{}
	born   int64 // Unix milliseconds

	mu    sync.Mutex
	conns map[net.Conn]bool // that the server does not know
}

// track makes a connection end with the boot.
func (b *boot) track(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[c] = true
}

func (b *boot) untrack(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, c)
}

// close closes the listener and all connections.
func (b *boot) close() {
	_ = b.server.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = c.Close()
	}
}

// start begins a new boot.
func (r *runner) start() error {
	var l net.Listener
	var err error
	first := r.addr == ""
	for range 20 {
		if first {
			r.addr = freeAddr()
		}
		if l, err = net.Listen("tcp", r.addr); err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addr = l.Addr().String()
	r.boots++
	b := &boot{id: fmt.Sprintf("i-%s-%s-%d", r.service, strings.ReplaceAll(r.addr, ":", "-"), r.boots), ended: make(chan struct{}), born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
	b.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serve(b, w, req) })}
	r.boot = b
	go func() { _ = b.server.Serve(l) }()
	go r.checkIn(b)
	return nil
}

func (r *runner) checkIn(b *boot) {
	for {
		r.writeEntry(b)
		select {
		case <-b.ended:
			time.Sleep(3 * checkIn)
			r.store.remove("servers", b.id)
			return
		case <-time.After(checkIn):
		}
	}
}

// writeEntry writes the entry of a boot.
func (r *runner) writeEntry(b *boot) {
	r.mu.Lock()
	state := cmp.Or(r.state, "ready")
	r.mu.Unlock()
	r.store.put("servers", b.id, map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state, "coldLeftMs": 0, "seq": 1, "born": b.born,
	})
}

// drain reports that the runner leaves, and returns its boot.
func (r *runner) drain() *boot {
	r.mu.Lock()
	r.state = "draining"
	b := r.boot
	r.mu.Unlock()
	r.writeEntry(b)
	return b
}

// leave ends a boot that has drained, and removes its entry.
func (r *runner) leave(b *boot) {
	r.rec.add("runner %s leaves", b.id)
	close(b.ended)
	r.store.remove("servers", b.id)
	b.close()
}

// crash ends a boot: its connections are closed and its port refuses others. The next boot begins after restartTime.
// It reports false if the boot had ended before.
func (r *runner) crash(b *boot) bool {
	r.mu.Lock()
	if r.boot != b {
		r.mu.Unlock()
		return false
	}
	r.boot = nil
	close(b.ended)
	r.mu.Unlock()
	r.rec.add("runner %s crashes", b.id)
	b.close()
	time.AfterFunc(restartTime, func() {
		if err := r.start(); err != nil {
			r.rec.add("runner at %s does not start: %v", r.addr, err)
		}
	})
	return true
}

// serve rejects what another boot was meant to get, and passes the rest to handle.
func (r *runner) serve(b *boot, w http.ResponseWriter, req *http.Request) {
	if want := req.Header.Get("Expect-Instance"); want != "" && want != b.id {
		w.Header().Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.handle(r, b, w, req)
}
