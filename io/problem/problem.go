package problem

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bluebellflow/core/event"
)

const (
	// TypePrefix is the start of every problem type; the problem kind follows it.
	TypePrefix = "urn:bluebellflow:problems/"
	// ContentType is the media type of a problem document.
	ContentType = "application/problem+json"
)

// Document is an RFC 9457 problem document.
type Document struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail,omitempty"`
	Instance   string `json:"instance,omitempty"`
	RetryAfter int    `json:"retry_after,omitempty"` // in seconds; equal to the Retry-After header
}

// titles holds the summary of each kind, which is the same for every occurrence.
var titles = map[event.ProblemKind]string{
	event.ProblemRefused:   "The request was not run and had no effect.",
	event.ProblemUnknown:   "The outcome is not known; ask again with the same key.",
	event.ProblemFailed:    "The request ran and failed.",
	event.ProblemDeadline:  "The deadline passed before the answer was complete.",
	event.ProblemCompleted: "An earlier request with this key took effect; its answer is no longer kept.",
	event.ProblemInvalid:   "The request is not valid and was not run.",
}

// New returns the document for a problem; instance identifies the request and may be empty.
func New(p event.Problem, status int, instance string) Document {
	title, known := titles[p.Kind]
	if !known {
		title = http.StatusText(status)
	}
	return Document{
		Type: TypePrefix + string(p.Kind), Title: title, Status: status, Detail: p.Detail,
		Instance: instance, RetryAfter: Seconds(p.RetryAfter),
	}
}

// Seconds rounds a duration up to whole seconds, the unit of Retry-After; 0 stays 0.
func Seconds(d time.Duration) int {
	if d <= 0 {
		return 0
	}
	return int((d + time.Second - 1) / time.Second)
}

// Write sends the document as the response to an HTTP request.
func (d Document) Write(w http.ResponseWriter) {
	if d.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(d.RetryAfter))
	}
	w.Header().Set("Content-Type", ContentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(d.Status)
	_ = json.NewEncoder(w).Encode(d)
}

// Invalid responds that a request is malformed and was not run.
func Invalid(w http.ResponseWriter, status int, detail string) {
	New(event.Problem{Kind: event.ProblemInvalid, Detail: detail}, status, "").Write(w)
}
