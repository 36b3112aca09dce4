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
	r.HandleFunc("/v1/run", e.resetWhenDown(e.handleRun)).Methods(http.MethodPost)
	r.HandleFunc("/v1/run/{attempt}", e.resetWhenDown(e.handleCancel)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/load", e.resetWhenDown(e.handleLoad)).Methods(http.MethodGet)
	r.HandleFunc("/v1/cache", e.resetWhenDown(e.handleCache)).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", e.resetWhenDown(e.handleOrder)).Methods(http.MethodPost)
	e.registerControl(r.PathPrefix("/lab").Subrouter())
	return r
}

// resetWhenDown resets connections while the engine is down or restarts.
func (e *Engine) resetWhenDown(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down := e.faults.Down || time.Now().Before(e.downUntil)
		e.mu.Unlock()
		if down {
			netpartition.Reset(w)
			return
		}
		next(w, r)
	}
}

// admission is what the engine decides about a new attempt.
type admission struct {
	seq    *sequence
	status int // if not accepted; 0 resets the connection
	reason string
}

// admit takes an attempt into the queue or says why not.
func (e *Engine) admit(run backendapi.RunRequest) admission {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.counts.LastArrival = now.UnixMilli()
	if !e.leavingSince.IsZero() && now.Sub(e.leavingSince) > leavingGrace {
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
	if !e.warm && flight > e.coldLimit {
		if e.warmupReset {
			e.counts.OverloadAfterReset = max(e.counts.OverloadAfterReset, flight-e.coldLimit)
		} else {
			e.counts.Overload = max(e.counts.Overload, flight-e.coldLimit)
		}
		e.counts.Crashes++
		e.restartLocked()
		return admission{}
	}
	if flight > e.profile.MaxBatch+e.profile.MaxQueue {
		e.counts.Rejected++
		return admission{status: http.StatusTooManyRequests, reason: "queue is full"}
	}
	return admission{seq: e.enqueueLocked(run, version, now)}
}

func (e *Engine) rejectLocked(run backendapi.RunRequest, version id.Version, now time.Time) (admission, bool) {
	if e.faults.Reject || e.refusing {
		return admission{status: http.StatusServiceUnavailable, reason: "takes no attempts"}, true
	}
	if ready, ok := e.readyAt[version]; !ok || now.Before(ready) {
		return admission{status: http.StatusServiceUnavailable, reason: fmt.Sprintf("version %q is not loaded", version)}, true
	}
	if _, ok := e.byID[run.Attempt]; ok {
		e.counts.Duplicates++
		return admission{status: http.StatusBadRequest, reason: "attempt is already here"}, true
	}
	return admission{}, false
}

func (e *Engine) enqueueLocked(run backendapi.RunRequest, version id.Version, now time.Time) *sequence {
	n := e.profile.answerTokens(run.Input)
	s := &sequence{
		run: run, version: version, tokens: n, nextToken: run.Offset, stepsPerToken: 1, joinedAt: now,
		source:      answer.Source{Body: run.Input, Prior: run.Prior, Stage: run.Stage, Version: version},
		readyTokens: make(chan int, n), done: make(chan struct{}),
	}
	if b := e.defects[version]; b.Mode == SlowTokens {
		s.stepsPerToken = max(2, b.Factor)
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
	e.recordLoadLocked()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// setServerHeaders sets the headers that every answer to an attempt carries.
func (e *Engine) setServerHeaders(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(backendapi.StartHeader, string(e.start))
	if !e.leavingSince.IsZero() {
		w.Header().Set(backendapi.LeavingHeader, "1")
	}
}

func (e *Engine) handleRun(w http.ResponseWriter, r *http.Request) {
	run, err := backendapi.DecodeRun(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v := e.admit(run)
	if v.seq == nil && v.status == 0 {
		netpartition.Reset(w)
		return
	}
	e.setServerHeaders(w)
	if v.seq == nil {
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, v.reason, v.status)
		return
	}
	timer := time.NewTimer(run.Timeout)
	defer timer.Stop()
	o := answerWriter{w: w, seq: v.seq, partTokens: max(1, e.profile.PartTokens)}
	for {
		select {
		case i := <-v.seq.readyTokens:
			o.writeToken(i)
		case <-v.seq.done:
			o.finish()
			return
		case <-r.Context().Done():
			e.cancel(v.seq)
			return
		case <-timer.C:
			e.cancel(v.seq)
		}
	}
}

// answerWriter writes the answer to one attempt.
type answerWriter struct {
	w              http.ResponseWriter
	seq            *sequence
	partTokens     int
	firstToken     int // first token in text
	bufferedTokens int // tokens in text
	text           strings.Builder
	started        bool
}

// writeToken takes the next token and, in a stream, sends the first one at once and the others in groups.
func (o *answerWriter) writeToken(i int) {
	if o.bufferedTokens == 0 {
		o.firstToken = i
	}
	o.bufferedTokens++
	o.text.WriteString(o.seq.source.Token(i, o.seq.tokens))
	if o.seq.run.Stream && (!o.started || o.bufferedTokens >= o.partTokens) {
		o.flush()
	}
}

func (o *answerWriter) flush() {
	if o.bufferedTokens == 0 {
		return
	}
	o.writeEvent("part", backendapi.Part{Seq: o.firstToken, Tokens: o.bufferedTokens, Text: o.text.String()})
	o.bufferedTokens = 0
	o.text.Reset()
}

func (o *answerWriter) writeEvent(name string, v any) {
	if !o.started {
		o.started = true
		o.w.Header().Set("Content-Type", "text/event-stream")
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(o.w, "event: %s\ndata: %s\n\n", name, raw)
	_ = http.NewResponseController(o.w).Flush()
}

// finish writes the tokens that are left and the way in which the attempt ended.
func (o *answerWriter) finish() {
	for len(o.seq.readyTokens) > 0 {
		o.writeToken(<-o.seq.readyTokens)
	}
	took := o.seq.duration.Milliseconds()
	switch {
	case o.seq.outcome == completed && o.seq.run.Stream:
		o.flush()
		o.writeEvent("end", backendapi.End{Tokens: o.seq.tokens, Took: took})
	case o.seq.outcome == completed:
		o.w.Header().Set(backendapi.TookHeader, strconv.FormatInt(took, 10))
		o.w.Header().Set("Content-Length", strconv.Itoa(o.text.Len()))
		_, _ = o.w.Write([]byte(o.text.String()))
	case o.started, o.seq.outcome == broken:
		netpartition.Reset(o.w)
	default:
		o.w.Header().Set(backendapi.TookHeader, strconv.FormatInt(took, 10))
		http.Error(o.w, "attempt failed", http.StatusInternalServerError)
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s := e.byID[mux.Vars(r)["attempt"]]
	e.mu.Unlock()
	if s != nil {
		e.cancel(s)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	backendapi.WriteJSON(w, http.StatusOK, e.Load())
}

func (e *Engine) handleCache(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad after", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	a := e.cache.eventsAfter(after, time.Now())
	a.Start = e.start
	e.mu.Unlock()
	backendapi.WriteJSON(w, http.StatusOK, a)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
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

// registerControl serves the endpoints that set faults and read counts.
func (e *Engine) registerControl(r *mux.Router) {
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
