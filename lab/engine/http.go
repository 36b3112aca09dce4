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

// retryAfter is the Retry-After value for rejected attempts, in seconds.
const retryAfter = "1"

// Handler returns the handler for the backend protocol and the control endpoints.
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

// resetWhenDown resets connections while the engine is down or restarting.
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

// admission is the decision about a new attempt: the queued sequence, or the status and reason of a rejection.
type admission struct {
	seq    *sequence
	status int // of a rejection; 0 resets the connection
	reason string
}

// admit queues an attempt or rejects it; an attempt that overloads a cold engine crashes the engine.
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
	if rejection, ok := e.rejectLocked(run, version, now); ok {
		e.counts.Rejected++
		return rejection
	}
	inFlight := len(e.running) + len(e.waiting) + 1
	if !e.warm && inFlight > e.coldLimit {
		if e.warmupReset {
			e.counts.OverloadAfterReset = max(e.counts.OverloadAfterReset, inFlight-e.coldLimit)
		} else {
			e.counts.Overload = max(e.counts.Overload, inFlight-e.coldLimit)
		}
		e.counts.Crashes++
		e.restartLocked()
		return admission{}
	}
	if inFlight > e.profile.MaxBatch+e.profile.MaxQueue {
		e.counts.Rejected++
		return admission{status: http.StatusTooManyRequests, reason: "queue is full"}
	}
	return admission{seq: e.enqueueLocked(run, version, now)}
}

func (e *Engine) rejectLocked(run backendapi.RunRequest, version id.Version, now time.Time) (admission, bool) {
	if e.faults.Reject || e.refusing {
		return admission{status: http.StatusServiceUnavailable, reason: "takes no attempts"}, true
	}
	if readyAt, ok := e.readyAt[version]; !ok || now.Before(readyAt) {
		return admission{status: http.StatusServiceUnavailable, reason: fmt.Sprintf("version %q is not loaded", version)}, true
	}
	if _, ok := e.byID[run.Attempt]; ok {
		e.counts.Duplicates++
		return admission{status: http.StatusBadRequest, reason: "duplicate attempt"}, true
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
	if d := e.defects[version]; d.Mode == SlowTokens {
		s.stepsPerToken = max(2, d.Factor)
	}
	e.counts.Attempts++
	v := e.versions[version]
	v.Attempts++
	e.versions[version] = v
	e.byID[run.Attempt] = s
	// The attempt goes behind the waiting ones of equal or higher urgency; a lower Priority value is more urgent.
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

// setServerHeaders sets the headers of every response to an attempt: the start ID and whether the engine is leaving.
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
	admitted := e.admit(run)
	if admitted.seq == nil && admitted.status == 0 {
		netpartition.Reset(w)
		return
	}
	e.setServerHeaders(w)
	w.Header().Set(backendapi.AttemptHeader, run.Attempt)
	if admitted.seq == nil {
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, admitted.reason, admitted.status)
		return
	}
	timer := time.NewTimer(run.Timeout)
	defer timer.Stop()
	aw := answerWriter{w: w, seq: admitted.seq, partTokens: max(1, e.profile.PartTokens)}
	for {
		select {
		case i := <-admitted.seq.readyTokens:
			aw.writeToken(i)
		case <-admitted.seq.done:
			aw.finish()
			return
		case <-r.Context().Done():
			e.cancel(admitted.seq)
			return
		case <-timer.C:
			e.cancel(admitted.seq)
		}
	}
}

// answerWriter writes the response to one attempt, as a stream of events or as one body.
type answerWriter struct {
	w              http.ResponseWriter
	seq            *sequence
	partTokens     int // tokens in one event of a stream
	firstToken     int // index of the first token in text
	bufferedTokens int // number of tokens in text
	text           strings.Builder
	started        bool
}

// writeToken buffers token i. A stream sends the first token immediately and the others in groups of partTokens.
func (aw *answerWriter) writeToken(i int) {
	if aw.bufferedTokens == 0 {
		aw.firstToken = i
	}
	aw.bufferedTokens++
	aw.text.WriteString(aw.seq.source.Token(i, aw.seq.tokens))
	if aw.seq.run.Stream && (!aw.started || aw.bufferedTokens >= aw.partTokens) {
		aw.flush()
	}
}

func (aw *answerWriter) flush() {
	if aw.bufferedTokens == 0 {
		return
	}
	aw.writeEvent("part", backendapi.Part{Seq: aw.firstToken, Tokens: aw.bufferedTokens, Text: aw.text.String()})
	aw.bufferedTokens = 0
	aw.text.Reset()
}

func (aw *answerWriter) writeEvent(name string, v any) {
	if !aw.started {
		aw.started = true
		aw.w.Header().Set("Content-Type", "text/event-stream")
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(aw.w, "event: %s\ndata: %s\n\n", name, raw)
	_ = http.NewResponseController(aw.w).Flush()
}

// finish writes the remaining tokens and the outcome of the attempt.
func (aw *answerWriter) finish() {
	for len(aw.seq.readyTokens) > 0 {
		aw.writeToken(<-aw.seq.readyTokens)
	}
	took := aw.seq.duration.Milliseconds()
	switch {
	case aw.seq.outcome == completed && aw.seq.run.Stream:
		aw.flush()
		aw.writeEvent("end", backendapi.End{Tokens: aw.seq.tokens, Took: took})
	case aw.seq.outcome == completed:
		aw.w.Header().Set(backendapi.TookHeader, strconv.FormatInt(took, 10))
		aw.w.Header().Set("Content-Length", strconv.Itoa(aw.text.Len()))
		_, _ = aw.w.Write([]byte(aw.text.String()))
	case aw.started, aw.seq.outcome == broken:
		netpartition.Reset(aw.w)
	default:
		aw.w.Header().Set(backendapi.TookHeader, strconv.FormatInt(took, 10))
		http.Error(aw.w, "attempt failed", http.StatusInternalServerError)
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
		http.Error(w, "invalid parameter after", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	update := e.cache.eventsAfter(after, time.Now())
	update.Start = e.start
	e.mu.Unlock()
	backendapi.WriteJSON(w, http.StatusOK, update)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order backendapi.Order
	if !backendapi.ReadJSON(w, r, &order) {
		return
	}
	if order.Kind != backendapi.OrderLoad && order.Kind != backendapi.OrderUnload {
		http.Error(w, fmt.Sprintf("unknown order %q", order.Kind), http.StatusBadRequest)
		return
	}
	if !e.ApplyOrder(order) {
		http.Error(w, "stale fence", http.StatusConflict)
	}
}

// registerControl registers the endpoints that inject faults and return counters.
func (e *Engine) registerControl(r *mux.Router) {
	backendapi.RegisterControl(r, e.SetFaults, e.Faults, e.Counts)
	r.HandleFunc("/bad/{version}", func(w http.ResponseWriter, r *http.Request) {
		var d Defect
		if backendapi.ReadJSON(w, r, &d) {
			e.SetDefect(id.Version(mux.Vars(r)["version"]), d)
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
