// Package backendapi is the HTTP protocol of backend servers as the stand-ins see it.
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

// Headers of an answer to POST /v1/run.
const (
	StartHeader   = "Bluebellflow-Start"
	TookHeader    = "Bluebellflow-Took"
	LeavingHeader = "Bluebellflow-Leaving"
	TimeoutHeader = "Request-Timeout"
)

// maxRunBytes bounds the JSON of an attempt, in bytes.
const maxRunBytes = 8 << 20

// defaultTimeout applies to an attempt that names none.
const defaultTimeout = 30 * time.Second

// RunRequest is the body of POST /v1/run.
type RunRequest struct {
	Attempt  string        `json:"attempt"`
	Stage    string        `json:"stage"`
	Version  id.Version    `json:"version"`
	Input    []byte        `json:"input"`
	Prior    []byte        `json:"prior"`
	Offset   int           `json:"offset"`
	Stream   bool          `json:"stream"`
	Priority int           `json:"priority"`
	Key      string        `json:"key"`
	Timeout  time.Duration `json:"-"`
}

// LoadReport is the answer to GET /v1/load.
type LoadReport struct {
	Start   id.Start   `json:"start"`
	Version id.Version `json:"version"`
	Running int        `json:"running"`
	Waiting int        `json:"waiting"`
	Limit   int        `json:"limit"`
	Warm    bool       `json:"warm"`
	Leaving bool       `json:"leaving"`
	At      int64      `json:"at"`
}

// CacheUpdate is the answer to GET /v1/cache; Seq is the number of the first event, and the next call asks
// after Seq + len(Added) + len(Gone) - 1.
type CacheUpdate struct {
	Start   id.Start `json:"start"`
	Seq     uint64   `json:"seq"`
	Added   []string `json:"added"`
	Removed []string `json:"gone"`
}

// Part is the data of a part event of a stream.
type Part struct {
	Seq    int    `json:"seq"`
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
}

// End is the data of the last event of a stream.
type End struct {
	Tokens int   `json:"tokens"`
	Took   int64 `json:"took"`
}

// OrderKind says what an order asks for.
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

// DecodeRun decodes and checks an attempt.
func DecodeRun(w http.ResponseWriter, r *http.Request) (RunRequest, error) {
	run := RunRequest{Timeout: defaultTimeout}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRunBytes)).Decode(&run); err != nil {
		return RunRequest{}, fmt.Errorf("attempt: %w", err)
	}
	if run.Attempt == "" {
		return RunRequest{}, errors.New("attempt: no identity")
	}
	if run.Offset < 0 {
		return RunRequest{}, fmt.Errorf("attempt %s: negative offset", run.Attempt)
	}
	if text := r.Header.Get(TimeoutHeader); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || seconds <= 0 {
			return RunRequest{}, fmt.Errorf("attempt %s: bad %s %q", run.Attempt, TimeoutHeader, text)
		}
		run.Timeout = time.Duration(seconds * float64(time.Second))
	}
	return run, nil
}

// WriteJSON answers a request with JSON.
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

// ReadJSON decodes a control request and answers 400 if it is wrong.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRunBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// RegisterControl serves the endpoints that every stand-in has: /faults to set and read its faults, /counts to read its counts.
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
