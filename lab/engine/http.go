package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"bluebellflow/core/id"
	"bluebellflow/lab/answer"
	"bluebellflow/lab/backendapi"
	"bluebellflow/lab/netpartition"
)

// retryAfter tells rejected callers when to come back, in seconds.
const retryAfter = "1"

// Handler serves the backend protocol and the control endpoints.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/run", e.up(e.runCall)).Methods(http.MethodPost)
	r.HandleFunc("/v1/run/{attempt}", e.up(e.cancelCall)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/load", e.up(e.loadCall)).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache", e.up(e.cacheCall)).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", e.up(e.orderCall)).Methods(http.MethodPost)
	e.control(r.PathPrefix("/lab").Subrouter())
	return r
}

// up resets connections while the engine is down or restarts.
func (e *Engine) up(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down := e.faults.Down || time.Now().Before(e.down)
		e.mu.Unlock()
		if down {
			netpartition.Reset(w)
			return
		}
		next(w, r)
	}
}

// verdict is what the engine decides about a new attempt.
type verdict struct {
	s      *sequence
	status int // if not accepted; 0 resets the connection
	reason string
}

// accept takes an attempt into the queue or says why not.
func (e *Engine) accept(run backendapi.RunRequest) verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.counts.LastArrival = now.UnixMilli()
	if !e.leaving.IsZero() && now.Sub(e.leaving) > leavingBound {
		e.counts.LeavingArrivals++
	}
	version := run.Version
	if version == "" {
		version = e.current
	}
	if v, ok := e.rejectLocked(run, version, now); ok {
		e.counts.Rejected++
		return v
	}
	flight := len(e.running) + len(e.waiting) + 1
	if !e.warm && flight > e.bears {
		if e.chilled {
			e.counts.OverloadAfterReset = max(e.counts.OverloadAfterReset, flight-e.bears)
		} else {
			e.counts.Overload = max(e.counts.Overload, flight-e.bears)
		}
		e.counts.Crashes++
		e.restartLocked()
		return verdict{}
	}
	if flight > e.profile.MaxBatch+e.profile.MaxQueue {
		e.counts.Rejected++
		return verdict{status: http.StatusTooManyRequests, reason: "queue is full"}
	}
	return verdict{s: e.enqueueLocked(run, version, now)}
}

func (e *Engine) rejectLocked(run backendapi.RunRequest, version id.Version, now time.Time) (verdict, bool) {
	if e.faults.Reject || e.refuse {
		return verdict{status: http.StatusServiceUnavailable, reason: "takes no attempts"}, true
	}
	if ready, ok := e.ready[version]; !ok || now.Before(ready) {
		return verdict{status: http.StatusServiceUnavailable, reason: fmt.Sprintf("version %q is not loaded", version)}, true
	}
	if _, ok := e.byID[run.Attempt]; ok {
		e.counts.Duplicates++
		return verdict{status: http.StatusBadRequest, reason: "attempt is already here"}, true
	}
	return verdict{}, false
}

func (e *Engine) enqueueLocked(run backendapi.RunRequest, version id.Version, now time.Time) *sequence {
	n := e.profile.length(run.Input)
	s := &sequence{
		run: run, version: version, tokens: n, next: run.Offset, every: 1, began: now,
		source: answer.Source{Body: run.Input, Prior: run.Prior, Stage: run.Stage, Version: version},
		out:    make(chan int, n), ended: make(chan struct{}),
	}
	if b := e.bad[version]; b.Mode == SlowTokens {
		s.every = max(2, b.Factor)
	}
	e.counts.Attempts++
	v := e.versions[version]
	v.Attempts++
	e.versions[version] = v
	e.byID[run.Attempt] = s
	at, _ := slices.BinarySearchFunc(e.waiting, run.Priority, func(w *sequence, priority int) int {
		if w.run.Priority <= priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, s)
	e.recordLocked()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// identify sets the headers that every answer to an attempt carries.
func (e *Engine) identify(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(backendapi.StartHeader, string(e.start))
	if !e.leaving.IsZero() {
		w.Header().Set(backendapi.LeavingHeader, "1")
	}
}

func (e *Engine) runCall(w http.ResponseWriter, r *http.Request) {
	run, err := backendapi.DecodeRun(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v := e.accept(run)
	if v.s == nil && v.status == 0 {
		netpartition.Reset(w)
		return
	}
	e.identify(w)
	if v.s == nil {
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, v.reason, v.status)
		return
	}
	timer := time.NewTimer(run.Timeout)
	defer timer.Stop()
	o := output{w: w, s: v.s, part: max(1, e.profile.PartTokens)}
	for {
		select {
		case i := <-v.s.out:
			o.token(i)
		case <-v.s.ended:
			o.end()
			return
		case <-r.Context().Done():
			e.abandon(v.s)
			return
		case <-timer.C:
			e.abandon(v.s)
		}
	}
}

// output writes the answer to one attempt.
type output struct {
	w     http.ResponseWriter
	s     *sequence
	part  int
	first int // first token in text
	held  int // tokens in text
	text  strings.Builder
	began bool
}

// token takes the next token and, in a stream, sends the first one at once and the others in groups.
func (o *output) token(i int) {
	if o.held == 0 {
		o.first = i
	}
	o.held++
	o.text.WriteString(o.s.source.Token(i, o.s.tokens))
	if o.s.run.Stream && (!o.began || o.held >= o.part) {
		o.flush()
	}
}

func (o *output) flush() {
	if o.held == 0 {
		return
	}
	o.event("part", backendapi.Part{Seq: o.first, Tokens: o.held, Text: o.text.String()})
	o.held = 0
	o.text.Reset()
}

func (o *output) event(name string, v any) {
	if !o.began {
		o.began = true
		o.w.Header().Set("Content-Type", "text/event-stream")
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(o.w, "event: %s\ndata: %s\n\n", name, raw)
	_ = http.NewResponseController(o.w).Flush()
}

// end writes the tokens that are left and the way in which the attempt ended.
func (o *output) end() {
	for len(o.s.out) > 0 {
		o.token(<-o.s.out)
	}
	took := o.s.took.Milliseconds()
	switch {
	case o.s.how == endWhole && o.s.run.Stream:
		o.flush()
		o.event("end", backendapi.End{Tokens: o.s.tokens, Took: took})
	case o.s.how == endWhole:
		o.w.Header().Set(backendapi.TookHeader, strconv.FormatInt(took, 10))
		o.w.Header().Set("Content-Length", strconv.Itoa(o.text.Len()))
		_, _ = o.w.Write([]byte(o.text.String()))
	case o.began, o.s.how == endBroken:
		netpartition.Reset(o.w)
	default:
		o.w.Header().Set(backendapi.TookHeader, strconv.FormatInt(took, 10))
		http.Error(o.w, "attempt failed", http.StatusInternalServerError)
	}
}

func (e *Engine) cancelCall(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.byID[mux.Vars(r)["attempt"]]
	e.mu.Unlock()
	if s != nil {
		e.abandon(s)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) loadCall(w http.ResponseWriter, _ *http.Request) {
	backendapi.WriteJSON(w, http.StatusOK, e.Load())
}

func (e *Engine) cacheCall(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad after", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	a := e.cache.after(after, time.Now())
	a.Start = e.start
	e.mu.Unlock()
	backendapi.WriteJSON(w, http.StatusOK, a)
}

func (e *Engine) orderCall(w http.ResponseWriter, r *http.Request) {
	var o backendapi.Order
	if !backendapi.ReadJSON(w, r, &o) {
		return
	}
	if o.Kind != backendapi.OrderLoad && o.Kind != backendapi.OrderUnload {
		http.Error(w, fmt.Sprintf("unknown order %q", o.Kind), http.StatusBadRequest)
		return
	}
	if !e.ApplyOrder(o) {
		http.Error(w, "fence is old", http.StatusConflict)
	}
}

// control serves the endpoints that set faults and read counts.
func (e *Engine) control(r *mux.Router) {
	backendapi.RegisterControl(r, e.SetFaults, e.Faults, e.Counts)
	r.HandleFunc("/bad/{version}", func(w http.ResponseWriter, r *http.Request) {
		var b Defect
		if backendapi.ReadJSON(w, r, &b) {
			e.SetDefect(id.Version(mux.Vars(r)["version"]), b)
		}
	}).Methods(http.MethodPost)
	for path, do := range map[string]func(){
		"/restart": e.Restart,
		"/chill":   e.ResetWarmup,
		"/leave":   func() { e.Leave(false) },
		"/refuse":  func() { e.Leave(true) },
	} {
		r.HandleFunc(path, func(http.ResponseWriter, *http.Request) { do() }).Methods(http.MethodPost)
	}
}
