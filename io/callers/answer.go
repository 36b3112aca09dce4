package callers

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/io/problem"
	"bluebellflow/io/sse"
)

// writeTimeout is how long one write to a caller may take before the caller counts as gone.
const writeTimeout = 10 * time.Second

var (
	// errSlowCaller means that a caller does not read its answer.
	errSlowCaller = errors.New("caller reads too slowly")
	// errResponseTooLarge means that an answer is too large for one reply.
	errResponseTooLarge = errors.New("answer too large for one reply")
)

// Status returns the HTTP status of a problem; docs/callers.md explains the choice.
func Status(kind event.ProblemKind) int {
	switch kind {
	case event.ProblemRefused:
		return http.StatusServiceUnavailable
	case event.ProblemUnknown:
		return http.StatusConflict
	case event.ProblemFailed:
		return http.StatusBadGateway
	case event.ProblemDeadline:
		return http.StatusGatewayTimeout
	case event.ProblemCompleted:
		return http.StatusGone
	case event.ProblemInvalid:
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}

// replyQueue holds the replies of one request until its handler writes them.
type replyQueue struct {
	wake chan struct{}

	mu         sync.Mutex
	replies    []event.Reply
	size       int
	ended      bool
	overflowed bool
}

func newReplyQueue() *replyQueue { return &replyQueue{wake: make(chan struct{}, 1)} }

// push adds a reply; nothing is added after the end.
func (x *replyQueue) push(r event.Reply) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended || x.overflowed {
		return
	}
	x.size += len(r.Data)
	x.ended = r.End || r.Problem != nil
	if x.size > maxBuffered {
		x.overflowed = true
		x.replies = nil
	} else {
		x.replies = append(x.replies, r)
	}
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// take waits for replies and returns all that have come.
func (x *replyQueue) take(ctx context.Context) ([]event.Reply, error) {
	for {
		x.mu.Lock()
		out, slow := x.replies, x.overflowed
		x.replies, x.size = nil, 0
		x.mu.Unlock()
		if slow {
			return nil, errSlowCaller
		}
		if len(out) > 0 {
			return out, nil
		}
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-x.wake:
		}
	}
}

// responder writes the answer to one request.
type responder struct {
	server  *Server
	w       http.ResponseWriter
	request id.Request
}

func (a *responder) problem(p event.Problem) problem.Document {
	a.server.vars.Add("problems_"+string(p.Kind), 1)
	return problem.New(p, Status(p.Kind), string(a.request))
}

type replyBody struct {
	Request  id.Request `json:"request"`
	Output   string     `json:"output"`
	Encoding string     `json:"encoding,omitempty"` // "base64" if the output is not UTF-8 text
	Tokens   int        `json:"tokens,omitempty"`
	End      bool       `json:"end"`
}

func newReplyBody(request id.Request, output []byte, tokens int) replyBody {
	b := replyBody{Request: request, Output: string(output), Tokens: tokens, End: true}
	if !utf8.Valid(output) {
		b.Output, b.Encoding = base64.StdEncoding.EncodeToString(output), "base64"
	}
	return b
}

// writeJSON collects the answer and writes it as one JSON document.
func (a *responder) writeJSON(ctx context.Context, x *replyQueue) error {
	var output []byte
	for {
		replies, err := x.take(ctx)
		if err != nil {
			return err
		}
		for _, r := range replies {
			if r.Problem != nil {
				a.problem(*r.Problem).Write(a.w)
				return nil
			}
			if len(output)+len(r.Data) > maxBuffered {
				return errResponseTooLarge
			}
			output = append(output, r.Data...)
			if r.End {
				return a.writeDocument(newReplyBody(a.request, output, r.Tokens))
			}
		}
	}
}

// writeDocument writes the whole answer with its length, within the write timeout.
func (a *responder) writeDocument(body replyBody) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.Header().Set("Content-Length", strconv.Itoa(len(raw)+1))
	control := http.NewResponseController(a.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	if _, err := a.w.Write(append(raw, '\n')); err != nil {
		return err
	}
	a.server.vars.Add("answers", 1)
	return control.Flush()
}

type partBody struct {
	Text     string `json:"text"`
	Encoding string `json:"encoding,omitempty"` // "base64" if the part is not UTF-8 text
}

type endBody struct {
	Request id.Request `json:"request"`
	Tokens  int        `json:"tokens"`
}

// writeStream writes the answer as server-sent events. A problem before the first part is an ordinary
// problem document; later it is an event, and no end event follows.
func (a *responder) writeStream(ctx context.Context, x *replyQueue) error {
	control := http.NewResponseController(a.w)
	// The deadline must not outlast this answer: the connection may serve another request.
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	begun := false
	for {
		replies, err := x.take(ctx)
		if err != nil {
			return err
		}
		if !begun && replies[0].Problem != nil {
			a.problem(*replies[0].Problem).Write(a.w)
			return nil
		}
		if !begun {
			begun = true
			a.w.Header().Set("Content-Type", "text/event-stream")
			a.w.Header().Set("Cache-Control", "no-store")
			a.w.WriteHeader(http.StatusOK)
		}
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		for _, r := range replies {
			ended, err := a.writeEvent(r)
			if err != nil {
				return err
			}
			if ended {
				return control.Flush()
			}
		}
		if err := control.Flush(); err != nil {
			return err
		}
	}
}

// writeEvent writes one reply and reports whether it was the last.
func (a *responder) writeEvent(r event.Reply) (bool, error) {
	if r.Problem != nil {
		return true, a.sendEvent("problem", a.problem(*r.Problem))
	}
	if len(r.Data) > 0 {
		part := partBody{Text: string(r.Data)}
		if !utf8.Valid(r.Data) {
			part = partBody{Text: base64.StdEncoding.EncodeToString(r.Data), Encoding: "base64"}
		}
		if err := a.sendEvent("part", part); err != nil {
			return false, err
		}
	}
	if !r.End {
		return false, nil
	}
	a.server.vars.Add("answers", 1)
	return true, a.sendEvent("end", endBody{Request: a.request, Tokens: r.Tokens})
}

func (a *responder) sendEvent(name string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return sse.Write(a.w, name, raw)
}
