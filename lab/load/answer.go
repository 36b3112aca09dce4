package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/lab/answer"
)

const (
	maxResponseBytes = 16 << 20           // bytes of one answer
	endTrailer       = "Bluebellflow-End" // set at the end of a reply that is complete
	problemType      = "application/problem+json"
	streamType       = "text/event-stream"
	defaultRetryWait = 500 * time.Millisecond // wait after an answer that names none
)

// response is one answer to one send.
type response struct {
	kind       event.ProblemKind // empty for success
	detail     string
	retryAfter time.Duration // 0 for none
	text       string        // token text of a success
	complete   bool          // the end marker was there
}

// problem is an RFC 9457 document.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Detail string `json:"detail"`
}

// problemKind takes the last element of a problem's type.
func problemKind(typ string) event.ProblemKind {
	return event.ProblemKind(typ[strings.LastIndexByte(typ, '/')+1:])
}

// readResponse reads one answer; first is called when the first part of a stream arrives.
func readResponse(resp *http.Response, first func()) (response, error) {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), streamType) {
		return readStream(resp, first)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, fmt.Errorf("answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return readProblem(resp, raw), nil
	}
	var reply struct {
		End bool `json:"end"`
	}
	_ = json.Unmarshal(raw, &reply)
	return response{text: answer.Text(raw), complete: reply.End || resp.Trailer.Get(endTrailer) != ""}, nil
}

func readProblem(resp *http.Response, raw []byte) response {
	g := response{retryAfter: parseRetryAfter(resp.Header.Get("Retry-After"))}
	var p problem
	if strings.HasPrefix(resp.Header.Get("Content-Type"), problemType) && json.Unmarshal(raw, &p) == nil {
		g.kind, g.detail = problemKind(p.Type), p.Detail
		return g
	}
	g.kind = event.ProblemFailed
	g.detail = fmt.Sprintf("status %d without a problem document: %.200s", resp.StatusCode, raw)
	return g
}

// parseRetryAfter reads the seconds of a Retry-After header.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// readStream reads server-sent events up to the end event.
func readStream(resp *http.Response, first func()) (response, error) {
	var text strings.Builder
	var name string
	var data bytes.Buffer
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return response{text: text.String()}, fmt.Errorf("stream ended early: %w", unexpectedEOF(err))
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "event:"):
			name = strings.TrimSpace(line[len("event:"):])
		case strings.HasPrefix(line, "data:"):
			data.WriteString(strings.TrimPrefix(line[len("data:"):], " "))
		case line == "":
			switch name {
			case "end":
				return response{text: text.String(), complete: true}, nil
			case "problem", "error":
				return streamProblem(data.Bytes()), nil
			}
			if data.Len() > 0 {
				first()
				text.WriteString(partText(data.Bytes()))
			}
			name = ""
			data.Reset()
		}
	}
}

// partText returns the text of a part; a part with a text field may hold half a token.
func partText(data []byte) string {
	var part struct {
		Text *string `json:"text"`
	}
	if json.Unmarshal(data, &part) == nil && part.Text != nil {
		return *part.Text
	}
	return answer.Text(data)
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// streamProblem reads a problem that ends a stream; it may carry the wait that a header cannot carry any more.
func streamProblem(raw []byte) response {
	var p struct {
		problem
		RetryAfter float64 `json:"retry-after"`
	}
	if json.Unmarshal(raw, &p) != nil {
		return response{kind: event.ProblemFailed, detail: string(raw)}
	}
	return response{kind: problemKind(p.Type), detail: p.Detail, retryAfter: time.Duration(p.RetryAfter * float64(time.Second))}
}
