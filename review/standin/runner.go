package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// heartbeat is heartbeatMs of the settings; an entry is removed after three of them without a check-in.
	heartbeat = 1200 * time.Millisecond
	// eventInterval is the time between two events of a stream.
	eventInterval = 30 * time.Millisecond
	// streamEvents is the number of events of a stream.
	streamEvents = 36
)

// entry is what a runner writes about itself under servers/ID.
type entry struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMs int    `json:"coldLeftMs"`
	Seq        int    `json:"seq"`
	Born       int64  `json:"born"`
}

// Runner is a stand-in of a runner: a plain service, a model runner or a server of a stage.
type Runner struct {
	id, service, zone, addr string
	slots, queue            int
	work                    time.Duration // of a request, to the first event for a stream
	pieces                  *pieces       // set for a server of a stage
	world                   *world
	killer                  func(r *http.Request, body string) bool // a request that ends the process
	killerEvents            int                                     // events that the answer to such a request has before
	version                 string                                  // of its software
	bad                     float64                                 // share of its answers that are failures
	badStatus               int                                     // of these answers, 500 if it is 0
	load                    *loadLimit                              // above it, its answers are failures; nil for none

	mu       sync.Mutex
	born     int64
	listener net.Listener
	server   *http.Server
	alive    bool
	draining bool // it has reported that it drains
	leaving  bool // its entry was removed, and it serves on for a while
	waiting  int
	free     chan struct{}
	results  map[string]string // piece by handle
	made     int
}

// start starts the runner's process.
func (r *Runner) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addr == "" {
		r.addr = freeAddr()
	}
	r.listener = listen(r.addr)
	r.born, r.alive, r.waiting = time.Now().UnixMilli(), true, 0
	r.free = make(chan struct{}, r.slots)
	r.results = map[string]string{}
	r.server = &http.Server{Handler: r}
	go func(s *http.Server, l net.Listener) { _ = s.Serve(l) }(r.server, r.listener)
	r.checkInLocked()
}

// crash ends the runner's process; nothing is said in the store. It starts again after a while.
func (r *Runner) crash(back time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.alive {
		return
	}
	r.alive = false
	_ = r.server.Close()
	r.world.rec.log("runner %s crashes", r.id)
	time.AfterFunc(back, func() {
		if !r.world.ended() {
			r.start()
			r.world.rec.log("runner %s is back", r.id)
		}
	})
}

func (r *Runner) checkInLocked() {
	if !r.alive || r.leaving {
		return
	}
	state := "ready"
	if r.draining {
		state = "draining"
	}
	r.world.store.put("servers", r.id, entry{
		Service: r.service, Address: r.addr, Zone: r.zone, Version: r.version, Slots: r.slots, State: state, Born: r.born,
	})
}

// drain reports in the store that the runner drains. It serves on.
func (r *Runner) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	r.checkInLocked()
	r.world.rec.log("runner %s reports that it drains", r.id)
}

// stop ends the runner for good, without draining, and removes its entry.
func (r *Runner) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving, r.alive = true, false
	_ = r.server.Close()
	r.world.store.remove("servers", r.id)
	r.world.rec.log("runner %s stops", r.id)
}

// leave removes the runner's entry without reporting that it drains. It serves on for some time and exits.
func (r *Runner) leave(linger time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	r.world.store.remove("servers", r.id)
	time.AfterFunc(linger, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.alive = false
		_ = r.server.Close()
	})
}

// checkIn writes the entry every heartbeat, and plays the store's removal of entries that are not renewed.
func (r *Runner) checkIn(ctx context.Context) {
	missed := 0
	for {
		r.mu.Lock()
		alive := r.alive
		r.checkInLocked()
		r.mu.Unlock()
		missed++
		if alive {
			missed = 0
		}
		if missed == 3 {
			r.world.store.remove("servers", r.id)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

func (r *Runner) process() (free chan struct{}, born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.free, r.born
}

func (r *Runner) wait(delta int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting += delta
	return r.waiting
}

// turnGrey changes the share of its answers that are failures, and their status.
func (r *Runner) turnGrey(share float64, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bad, r.badStatus = share, status
	r.world.rec.log("runner %s answers %.0f%% of its requests with a failure from now on", r.id, 100*share)
}

// failures returns the share of its answers that are failures, and their status.
func (r *Runner) failures() (share float64, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bad, r.badStatus
}

// ServeHTTP handles what gateways send.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	name := req.Header.Get("Request-Id")
	if name != "" {
		w.Header().Set("Request-Id", name)
	}
	w.Header().Set("Keep-Alive", "timeout=5")
	if want := req.Header.Get("Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if req.URL.Path == "/stage-free" {
		r.freeResults(raw)
		return
	}
	free, born := r.process()
	arrival := r.world.rec.arrive(name, r)
	if r.wait(1) > r.slots+r.queue {
		r.wait(-1)
		r.world.rec.badAnswer(arrival, "503, not run")
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.wait(-1)
	select {
	case free <- struct{}{}:
	case <-req.Context().Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-free }()
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,%d,%d", len(free), max(0, r.wait(0)-r.slots), r.slots))
	if req.URL.Path == "/stage-run" {
		r.runPieces(w, raw)
		return
	}
	if r.pieces == nil && r.service == modelService && len(req.Header.Get("Inputs")) == 0 && req.Header.Get("Pieces") != "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.world.rec.run(name, r)
	bad, badStatus := r.failures()
	failed := rand.Float64() < bad || r.load != nil && r.load.exceeded()
	deadly := r.killer != nil && r.killer(req, string(raw))
	if deadly && r.killerEvents == 0 {
		go r.crash(restartTime)
		panic(http.ErrAbortHandler)
	}
	if sleep(req.Context(), r.work) != nil {
		r.world.rec.runEnds(name, r, "dropped")
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Seal", fmt.Sprintf("%s.%d.%s", r.id, born, name))
	if failed {
		status := cmp.Or(badStatus, http.StatusInternalServerError)
		r.world.rec.badAnswer(arrival, strconv.Itoa(status))
		w.WriteHeader(status)
		return
	}
	if r.service == modelService {
		r.stream(w, req, name, deadly)
		return
	}
	body := fmt.Sprintf("%s by %s\n", name, r.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	r.world.rec.runEnds(name, r, "200")
	_, _ = io.WriteString(w, body)
}

func (r *Runner) stream(w http.ResponseWriter, req *http.Request, name string, deadly bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := 1; n <= streamEvents; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, name, n)
		_ = control.Flush()
		if deadly && n == r.killerEvents {
			go r.crash(restartTime)
			panic(http.ErrAbortHandler)
		}
		if sleep(req.Context(), eventInterval) != nil {
			r.world.rec.runEnds(name, r, "dropped")
			panic(http.ErrAbortHandler)
		}
	}
	r.world.rec.runEnds(name, r, "200")
}

// pieces are the times of a stage's calls.
type pieces struct{ call, item time.Duration }

type stageItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

func (r *Runner) runPieces(w http.ResponseWriter, raw []byte) {
	var body struct {
		Items []stageItem `json:"items"`
	}
	if json.Unmarshal(raw, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(r.pieces.call + time.Duration(len(body.Items))*r.pieces.item) // a close does not drop a call that is worked on
	for _, it := range body.Items {
		r.world.rec.log("%s: piece %d of stage %d runs at %s", it.ID, it.Piece, it.Stage, r.id)
	}
	type outcome struct {
		Handle string `json:"handle,omitempty"`
		Reason string `json:"reason,omitempty"`
	}
	out := []outcome{}
	r.mu.Lock()
	for _, it := range body.Items {
		r.made++
		handle := fmt.Sprintf("%s/%x", r.addr, r.made)
		r.results[handle] = it.ID
		out = append(out, outcome{Handle: handle})
	}
	r.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": out})
}

func (r *Runner) freeResults(raw []byte) {
	var body struct {
		Handles []string `json:"handles"`
	}
	if json.Unmarshal(raw, &body) != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range body.Handles {
		delete(r.results, h)
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.New("the caller has gone")
	case <-timer.C:
		return nil
	}
}
