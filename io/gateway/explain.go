package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/proxy"
	"bluebellflow/io/admin"
	"bluebellflow/io/problem"
)

const (
	// ExplainPath is the path at the metrics address that returns where a request would be sent.
	ExplainPath = admin.Prefix + "/explain-route"
	// maxExplainBytes bounds the description of a request.
	maxExplainBytes = 64 << 10
	// explainTimeout is how long the decision logic may take to answer.
	explainTimeout = 5 * time.Second
)

// ExplainQuery describes a request that is not sent.
type ExplainQuery struct {
	Host   string             `json:"host"`
	Path   string             `json:"path"`
	Key    string             `json:"key,omitempty"`
	In     int                `json:"in,omitempty"`   // tokens of the prompt
	Out    int                `json:"out,omitempty"`  // maximum tokens of the response
	Hint   int                `json:"hint,omitempty"` // tokens of the response that the caller expects
	Prompt []proxy.PromptPart `json:"prompt,omitempty"`
}

// serveExplain responds with the server to which a request would be sent now, and the reason.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	var q ExplainQuery
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&q); err != nil {
		problem.New(event.Problem{Kind: event.ProblemInvalid, Detail: err.Error()}, http.StatusBadRequest, "").Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	info := proxy.RequestInfo{Host: q.Host, Path: q.Path, Key: q.Key, In: max(0, q.In), Out: max(0, q.Out), Hint: max(0, q.Hint), Prompt: q.Prompt}
	result, err := n.correlator.Do(ctx, func(number uint64) event.Event {
		return proxy.ExplainRoute{Command: event.Command{Number: number}, RequestInfo: info}
	})
	if err != nil {
		problem.New(event.Problem{Kind: event.ProblemRefused, Detail: err.Error()}, http.StatusServiceUnavailable, "").Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_ = json.NewEncoder(w).Encode(result.Value)
}
