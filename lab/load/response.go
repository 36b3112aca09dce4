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
	maxResponseBytes = 16 << 20           // maximum size of one answer
	endTrailer       = "Bluebellflow-End" // trailer of a complete answer
	problemType      = "application/problem+json"
	streamType       = "text/event-stream"
	defaultRetryWait = 500 * time.Millisecond // wait before the next send if the answer has no Retry-After
)

// response is the parsed answer to one send.
type response struct {
	kind       event.ProblemKind // empty for success
	detail     string
	retryAfter time.Duration // 0 if the answer has none
	text       string        // token text of a successful answer
	complete   bool          // the end marker was present
}

// problem is an RFC 9457 problem document.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Detail string `json:"detail"`
}

// problemKind returns the last path element of a problem's type URI.
func problemKind(typ string) event.ProblemKind {
	return event.ProblemKind(typ[strings.LastIndexByte(typ, '/')+1:])
}

// readResponse reads one answer; it calls onPart whenever a part of a stream arrives.
func readResponse(resp *http.Response, onPart func()) (response, error) {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), streamType) {
		return readStream(resp, onPart)
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
	result := response{retryAfter: parseRetryAfter(resp.Header.Get("Retry-After"))}
	var p problem
	if strings.HasPrefix(resp.Header.Get("Content-Type"), problemType) && json.Unmarshal(raw, &p) == nil {
		result.kind, result.detail = problemKind(p.Type), p.Detail
		return result
	}
	result.kind = event.ProblemFailed
	result.detail = fmt.Sprintf("status %d without a problem document: %.200s", resp.StatusCode, raw)
	return result
}

// parseRetryAfter parses the seconds of a Retry-After header; it returns 0 for a missing or invalid value.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// readStream reads server-sent events until the end event or a problem event.
func readStream(resp *http.Response, onPart func()) (response, error) {
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
				onPart()
				text.WriteString(partText(data.Bytes()))
			}
			name = ""
			data.Reset()
		}
	}
}

// partText returns the text of a part. A text field is used unparsed, because it may end within a token.
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

// streamProblem parses a problem that ends a stream. Its retry-after member replaces the Retry-After header, which cannot
// be sent once the stream has begun.
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
