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
	"bluebellflow/io/membudget"
	"bluebellflow/io/problem"
	"bluebellflow/io/sse"
)

// writeTimeout is the time after which a blocked write fails and the caller is treated as disconnected.
const writeTimeout = 10 * time.Second

var (
	// errSlowCaller means that a caller does not read its response fast enough.
	errSlowCaller = errors.New("caller reads too slowly")
	// errResponseTooLarge means that a response is too large for one JSON document.
	errResponseTooLarge = errors.New("response too large for one JSON document")
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

// replyQueue holds the replies to one request until its handler writes them.
type replyQueue struct {
	wake chan struct{}

	mu         sync.Mutex
	replies    []event.Reply
	size       int
	memory     *membudget.Share
	whole      bool // the replies are kept until the last one has come
	ended      bool
	overflowed bool
}

func newReplyQueue(memory *membudget.Share, whole bool) *replyQueue {
	return &replyQueue{wake: make(chan struct{}, 1), memory: memory, whole: whole}
}

// release drops the replies and returns their memory.
func (q *replyQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended, q.replies = true, nil
	q.memory.Release()
}

// push adds a reply without blocking. Replies after the end are dropped.
func (q *replyQueue) push(r event.Reply) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended || q.overflowed {
		return
	}
	q.size += len(r.Data)
	q.ended = r.End || r.Problem != nil
	if q.size > maxBufferedBytes || !q.memory.Keep(q.size) {
		q.overflowed = true
		q.replies = nil
	} else {
		q.replies = append(q.replies, r)
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take waits until there are replies, and removes and returns all of them.
func (q *replyQueue) take(ctx context.Context) ([]event.Reply, error) {
	for {
		q.mu.Lock()
		out, overflowed := q.replies, q.overflowed
		q.replies = nil
		if !q.whole {
			q.size = 0
		}
		q.mu.Unlock()
		if overflowed {
			return nil, errSlowCaller
		}
		if len(out) > 0 {
			return out, nil
		}
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-q.wake:
		}
	}
}

// responder writes the response to one request.
type responder struct {
	server  *Server
	w       http.ResponseWriter
	request id.Request
}

// problem counts a problem and returns its document.
func (r *responder) problem(p event.Problem) problem.Document {
	r.server.vars.Add("problems_"+string(p.Kind), 1)
	return problem.New(p, Status(p.Kind), string(r.request))
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

// writeJSON collects the whole response and writes it as one JSON document.
func (r *responder) writeJSON(ctx context.Context, queue *replyQueue) error {
	var output []byte
	for {
		replies, err := queue.take(ctx)
		if err != nil {
			return err
		}
		for _, reply := range replies {
			if reply.Problem != nil {
				r.problem(*reply.Problem).Write(r.w)
				return nil
			}
			if len(output)+len(reply.Data) > maxBufferedBytes {
				return errResponseTooLarge
			}
			output = append(output, reply.Data...)
			if reply.End {
				return r.writeDocument(newReplyBody(r.request, output, reply.Tokens))
			}
		}
	}
}

// writeDocument writes a JSON response with its Content-Length.
func (r *responder) writeDocument(body replyBody) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r.w.Header().Set("Content-Type", "application/json")
	r.w.Header().Set("Cache-Control", "no-store")
	r.w.Header().Set("Content-Length", strconv.Itoa(len(raw)+1))
	control := http.NewResponseController(r.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	if _, err := r.w.Write(append(raw, '\n')); err != nil {
		return err
	}
	r.server.vars.Add("answers", 1)
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

// writeStream writes the response as server-sent events. A problem before the first part is sent as a problem document; a
// later one is sent as an event, and no end event follows.
func (r *responder) writeStream(ctx context.Context, queue *replyQueue) error {
	control := http.NewResponseController(r.w)
	// The deadline must not apply to the next request on the connection.
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	started := false
	for {
		replies, err := queue.take(ctx)
		if err != nil {
			return err
		}
		if !started && replies[0].Problem != nil {
			r.problem(*replies[0].Problem).Write(r.w)
			return nil
		}
		if !started {
			started = true
			r.w.Header().Set("Content-Type", "text/event-stream")
			r.w.Header().Set("Cache-Control", "no-store")
			r.w.WriteHeader(http.StatusOK)
		}
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		for _, reply := range replies {
			ended, err := r.writeEvent(reply)
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

// writeEvent writes one reply and reports whether it is the last one.
func (r *responder) writeEvent(reply event.Reply) (bool, error) {
	if reply.Problem != nil {
		return true, r.sendEvent("problem", r.problem(*reply.Problem))
	}
	if len(reply.Data) > 0 {
		part := partBody{Text: string(reply.Data)}
		if !utf8.Valid(reply.Data) {
			part = partBody{Text: base64.StdEncoding.EncodeToString(reply.Data), Encoding: "base64"}
		}
		if err := r.sendEvent("part", part); err != nil {
			return false, err
		}
	}
	if !reply.End {
		return false, nil
	}
	r.server.vars.Add("answers", 1)
	return true, r.sendEvent("end", endBody{Request: r.request, Tokens: reply.Tokens})
}

func (r *responder) sendEvent(name string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return sse.Write(r.w, name, raw)
}
