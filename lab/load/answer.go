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
	maxReply     = 16 << 20           // bytes of one answer
	endTrailer   = "Bluebellflow-End" // set at the end of a reply that is complete
	problemType  = "application/problem+json"
	streamType   = "text/event-stream"
	defaultRetry = 500 * time.Millisecond // wait after an answer that names none
)

// got is one answer to one send.
type got struct {
	kind   event.ProblemKind // empty for success
	detail string
	retry  time.Duration // 0 for none
	text   string        // token text of a success
	end    bool          // the end marker was there
}

// problem is an RFC 9457 document.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Detail string `json:"detail"`
}

// kindOf takes the last element of a problem's type.
func kindOf(typ string) event.ProblemKind {
	return event.ProblemKind(typ[strings.LastIndexByte(typ, '/')+1:])
}

// read reads one answer; first is called when the first part of a stream arrives.
func read(resp *http.Response, first func()) (got, error) {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), streamType) {
		return readStream(resp, first)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return got{}, fmt.Errorf("answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return readProblem(resp, raw), nil
	}
	var reply struct {
		End bool `json:"end"`
	}
	_ = json.Unmarshal(raw, &reply)
	return got{text: answer.Text(raw), end: reply.End || resp.Trailer.Get(endTrailer) != ""}, nil
}

func readProblem(resp *http.Response, raw []byte) got {
	g := got{retry: retryAfter(resp.Header.Get("Retry-After"))}
	var p problem
	if strings.HasPrefix(resp.Header.Get("Content-Type"), problemType) && json.Unmarshal(raw, &p) == nil {
		g.kind, g.detail = kindOf(p.Type), p.Detail
		return g
	}
	g.kind = event.ProblemFailed
	g.detail = fmt.Sprintf("status %d without a problem document: %.200s", resp.StatusCode, raw)
	return g
}

// retryAfter reads the seconds of a Retry-After header.
func retryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// readStream reads server-sent events up to the end event.
func readStream(resp *http.Response, first func()) (got, error) {
	var text strings.Builder
	var name string
	var data bytes.Buffer
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return got{text: text.String()}, fmt.Errorf("stream ended early: %w", noEOF(err))
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
				return got{text: text.String(), end: true}, nil
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

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// streamProblem reads a problem that ends a stream; it may carry the wait that a header cannot carry any more.
func streamProblem(raw []byte) got {
	var p struct {
		problem
		RetryAfter float64 `json:"retry-after"`
	}
	if json.Unmarshal(raw, &p) != nil {
		return got{kind: event.ProblemFailed, detail: string(raw)}
	}
	return got{kind: kindOf(p.Type), detail: p.Detail, retry: time.Duration(p.RetryAfter * float64(time.Second))}
}
