// Package backendapi defines the HTTP protocol of backend servers and helpers for the simulated servers.
package backendapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"bluebellflow/core/id"
)

// Headers of POST /v1/run.
const (
	StartHeader   = "Bluebellflow-Start"   // response: start ID of the server
	AttemptHeader = "Bluebellflow-Attempt" // response: ID of the attempt to which it belongs
	TookHeader    = "Bluebellflow-Took"    // response: processing time in milliseconds
	LeavingHeader = "Bluebellflow-Leaving" // response: "1" if the server is leaving
	TimeoutHeader = "Request-Timeout"      // request: time limit in seconds
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 8 << 20

// defaultTimeout applies to attempts without a Request-Timeout header.
const defaultTimeout = 30 * time.Second

// RunRequest is the body of POST /v1/run.
type RunRequest struct {
	Attempt  string        `json:"attempt"`
	Stage    string        `json:"stage"`
	Version  id.Version    `json:"version"`
	Input    []byte        `json:"input"`
	Prior    []byte        `json:"prior"`  // output of the previous stage
	Offset   int           `json:"offset"` // index of the first token to generate
	Stream   bool          `json:"stream"`
	Priority int           `json:"priority"`
	Key      string        `json:"key"` // idempotency key
	Timeout  time.Duration `json:"-"`
}

// LoadReport is the response to GET /v1/load.
type LoadReport struct {
	Start   id.Start   `json:"start"`
	Version id.Version `json:"version"`
	Running int        `json:"running"`
	Waiting int        `json:"waiting"`
	Limit   int        `json:"limit"`
	Warm    bool       `json:"warm"`
	Leaving bool       `json:"leaving"`
	At      int64      `json:"at"` // Unix milliseconds
}

// CacheUpdate is the response to GET /v1/cache. Seq is the sequence number of the first event; the next call passes
// Seq + len(Added) + len(Removed) - 1 as the "after" parameter.
type CacheUpdate struct {
	Start   id.Start `json:"start"`
	Seq     uint64   `json:"seq"`
	Added   []string `json:"added"`
	Removed []string `json:"gone"`
}

// Part is the data of a "part" event of a stream.
type Part struct {
	Seq    int    `json:"seq"`
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
}

// End is the data of the "end" event, the last event of a stream.
type End struct {
	Tokens int   `json:"tokens"`
	Took   int64 `json:"took"` // processing time in milliseconds
}

// OrderKind says what a server does with the version that an order names.
type OrderKind string

const (
	// OrderLoad loads a version and makes it the server's current one.
	OrderLoad OrderKind = "load"
	// OrderUnload removes a version.
	OrderUnload OrderKind = "unload"
)

// Order is the body of POST /v1/orders.
type Order struct {
	Kind    OrderKind  `json:"kind"`
	Version id.Version `json:"version"`
	Fence   uint64     `json:"fence"`
}

// DecodeRun decodes and validates an attempt.
func DecodeRun(w http.ResponseWriter, r *http.Request) (RunRequest, error) {
	run := RunRequest{Timeout: defaultTimeout}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&run); err != nil {
		return RunRequest{}, fmt.Errorf("attempt: %w", err)
	}
	if run.Attempt == "" {
		return RunRequest{}, errors.New("attempt: missing attempt ID")
	}
	if run.Offset < 0 {
		return RunRequest{}, fmt.Errorf("attempt %s: negative offset", run.Attempt)
	}
	if text := r.Header.Get(TimeoutHeader); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || seconds <= 0 {
			return RunRequest{}, fmt.Errorf("attempt %s: invalid %s %q", run.Attempt, TimeoutHeader, text)
		}
		run.Timeout = time.Duration(seconds * float64(time.Second))
	}
	return run, nil
}

// WriteJSON writes v as a JSON response with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// ReadJSON decodes a JSON request into v; if that fails, it responds with 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// RegisterControl registers the control endpoints common to all simulated servers: /faults sets and returns the injected
// faults, /counts returns the counters.
func RegisterControl[F, C any](r *mux.Router, set func(F), faults func() F, counts func() C) {
	r.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) {
		var f F
		if ReadJSON(w, r, &f) {
			set(f)
		}
	}).Methods(http.MethodPost)
	r.HandleFunc("/faults", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, faults())
	}).Methods(http.MethodGet)
	r.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, counts())
	}).Methods(http.MethodGet)
}
