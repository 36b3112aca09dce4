package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/io/membudget"
	"bluebellflow/io/sendtrack"
	"bluebellflow/io/sse"
)

type runBody struct {
	Attempt  string     `json:"attempt"`
	Stage    string     `json:"stage"`
	Version  id.Version `json:"version"`
	Input    []byte     `json:"input"`
	Prior    []byte     `json:"prior"`
	Offset   int        `json:"offset"`
	Stream   bool       `json:"stream"`
	Priority int        `json:"priority"`
	Key      string     `json:"key"`
}

// Dispatch starts an attempt without blocking. The attempt ends with one event.AttemptDone or event.AttemptFailed unless it
// is canceled.
func (c *Client) Dispatch(d event.Dispatch) {
	ctx, cancel := context.WithTimeout(context.Background(), d.Deadline.Sub(c.now()))
	c.mu.Lock()
	_, duplicate := c.running[d.Attempt]
	if !duplicate {
		c.running[d.Attempt] = cancel
	}
	c.mu.Unlock()
	if duplicate {
		cancel()
		c.reportError(fmt.Errorf("attempt %d dispatched twice", d.Attempt))
		return
	}
	c.vars.Add("attempts", 1)
	started := c.attempts.Go(func(group context.Context) {
		defer cancel()
		stop := context.AfterFunc(group, cancel)
		defer stop()
		c.finishAttempt(c.run(ctx, d))
	})
	if !started {
		cancel()
		c.finishAttempt(event.AttemptFailed{Attempt: d.Attempt, Kind: event.FailUnsent, Reason: "too many attempts in flight"})
	}
}

// finishAttempt delivers the last event of an attempt unless the attempt was canceled.
func (c *Client) finishAttempt(ev event.Event) {
	var attempt id.Attempt
	switch ev := ev.(type) {
	case event.AttemptDone:
		attempt = ev.Attempt
		c.vars.Add("attempts_done", 1)
	case event.AttemptFailed:
		attempt = ev.Attempt
		c.vars.Add("attempts_"+failMetric(ev.Kind), 1)
	}
	c.mu.Lock()
	_, running := c.running[attempt]
	delete(c.running, attempt)
	c.mu.Unlock()
	if running {
		c.deliver(ev)
	}
}

// active reports whether the attempt is in progress; a canceled attempt is not.
func (c *Client) active(a id.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, running := c.running[a]
	return running
}

// failMetric returns the suffix of the metric that counts failures of a kind.
func failMetric(k event.FailKind) string {
	names := map[event.FailKind]string{
		event.FailUnsent: "unsent", event.FailBroken: "broken", event.FailTimeout: "timeout",
		event.FailRejected: "rejected", event.FailError: "error",
	}
	return names[k]
}

// run sends the attempt to its server and returns the event that ends it.
func (c *Client) run(ctx context.Context, d event.Dispatch) event.Event {
	fail := event.AttemptFailed{Attempt: d.Attempt}
	remaining := d.Deadline.Sub(c.now())
	if remaining <= 0 {
		fail.Kind, fail.Reason = event.FailUnsent, "deadline passed before the attempt was sent"
		return fail
	}
	body, err := json.Marshal(runBody{
		Attempt: c.attemptID(d.Attempt), Stage: d.Stage, Version: d.Version, Input: d.Input, Prior: d.Prior,
		Offset: d.Offset, Stream: d.Stream, Priority: d.Priority, Key: d.Key,
	})
	if err != nil {
		fail.Kind, fail.Reason = event.FailUnsent, err.Error()
		return fail
	}
	tracked, tracker := sendtrack.WithTracker(ctx)
	req, err := http.NewRequestWithContext(tracked, http.MethodPost, "http://"+d.Addr.String()+"/v1/run", bytes.NewReader(body))
	if err != nil {
		fail.Kind, fail.Reason = event.FailUnsent, err.Error()
		return fail
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Request-Timeout", strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
	c.setDomainHeader(req)
	resp, err := c.attemptHTTP.Do(req)
	if err != nil {
		fail.Reason = err.Error()
		fail.Kind = event.FailUnsent
		if tracker.Seal() {
			fail.Kind = failKindAfterSend(err)
		}
		return fail
	}
	defer func() { _ = resp.Body.Close() }()
	if err := c.echoes.check(d.Addr, c.attemptID(d.Attempt), resp.Header, tracker.Reused()); err != nil {
		fail.Kind, fail.Reason = event.FailBroken, err.Error() // the server may run the attempt all the same
		return fail
	}
	return c.handleResponse(d, resp)
}

// failKindAfterSend returns the kind of a failure after the attempt was sent: a timeout or a broken connection.
func failKindAfterSend(err error) event.FailKind {
	if errors.Is(err, context.DeadlineExceeded) {
		return event.FailTimeout
	}
	return event.FailBroken
}

// responseMeta holds the response headers that describe the server.
type responseMeta struct {
	start       id.Start
	serviceTime time.Duration
	leaving     bool
}

func parseResponseMeta(h http.Header) (responseMeta, error) {
	m := responseMeta{start: id.Start(h.Get("Bluebellflow-Start")), leaving: h.Get("Bluebellflow-Leaving") == "1"}
	raw := h.Get("Bluebellflow-Took")
	if raw == "" {
		return m, nil
	}
	serviceTime, err := parseMillis(raw)
	if err != nil {
		return m, fmt.Errorf("header Bluebellflow-Took: %w", err)
	}
	m.serviceTime = serviceTime
	return m, nil
}

// parseMillis parses decimal milliseconds. It rejects more than a day, because sums of such service times would overflow.
func parseMillis(raw string) (time.Duration, error) {
	ms, err := strconv.ParseFloat(raw, 64)
	if err != nil || math.IsNaN(ms) || ms < 0 || ms > 86_400_000 {
		return 0, fmt.Errorf("%q is not a time in milliseconds", raw)
	}
	return time.Duration(ms * float64(time.Millisecond)), nil
}

// handleResponse returns the event that ends the attempt, and delivers the output of a stream.
func (c *Client) handleResponse(d event.Dispatch, resp *http.Response) event.Event {
	meta, err := parseResponseMeta(resp.Header)
	if err != nil {
		c.reportError(fmt.Errorf("backend server %s: %w", d.Server, err))
	}
	fail := event.AttemptFailed{Attempt: d.Attempt, Start: meta.start, Status: resp.StatusCode, Reason: resp.Status}
	switch {
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		fail.Kind = event.FailRejected
		return fail
	case resp.StatusCode == http.StatusInternalServerError:
		fail.Kind = event.FailError
		return fail
	case resp.StatusCode != http.StatusOK:
		// Only the statuses 429, 503 and 500 guarantee that the attempt had no effect.
		fail.Kind = event.FailBroken
		return fail
	}
	memory := c.memory.NewShare()
	defer memory.Release()
	var done event.AttemptDone
	if d.Stream {
		done, err = c.readStream(d, resp.Body, memory)
	} else {
		done.Data, err = readOutput(resp, memory)
	}
	if err != nil {
		fail.Kind, fail.Reason = failKindAfterSend(err), err.Error()
		return fail
	}
	done.Attempt, done.Start, done.Leaving = d.Attempt, meta.start, meta.leaving
	if done.Took == 0 {
		done.Took = meta.serviceTime
	}
	return done
}

// readOutput reads a whole response body. A body that is ended only by the close of its connection is rejected, because it
// cannot be told from a truncated one.
func readOutput(resp *http.Response, memory *membudget.Share) ([]byte, error) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errors.New("response without Content-Length")
	}
	if resp.ContentLength > MaxOutputBytes {
		return nil, fmt.Errorf("response of %d bytes, limit %d", resp.ContentLength, MaxOutputBytes)
	}
	raw, err := memory.ReadAll(resp.Body, MaxOutputBytes)
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	return raw, nil
}

// readStream delivers the output of a stream and returns the contents of its end event.
func (c *Client) readStream(d event.Dispatch, body io.Reader, memory *membudget.Share) (event.AttemptDone, error) {
	parser := sse.NewParser(maxEventBytes)
	buf := make([]byte, readBufferSize)
	for {
		n, err := body.Read(buf)
		events, parseErr := parser.Feed(buf[:n])
		batch := partBatch{attempt: d.Attempt, deliver: c.deliver}
		if !c.active(d.Attempt) {
			return event.AttemptDone{}, errors.New("attempt canceled")
		}
		done, ended, decodeErr := batch.deliverParts(events)
		switch {
		case decodeErr != nil:
			return event.AttemptDone{}, decodeErr
		case ended:
			_, _ = io.CopyN(io.Discard, body, readBufferSize) // reads to the end of the body so that the connection can be reused
			return done, nil
		case parseErr != nil:
			return event.AttemptDone{}, parseErr
		case !memory.Keep(parser.Buffered()):
			return event.AttemptDone{}, membudget.ErrExhausted
		case errors.Is(err, io.EOF):
			return event.AttemptDone{}, errors.New("stream without end event")
		case err != nil:
			return event.AttemptDone{}, fmt.Errorf("read stream: %w", err)
		}
	}
}

type partData struct {
	Seq    int    `json:"seq"`
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
}

type endData struct {
	Tokens int     `json:"tokens"`
	Took   float64 `json:"took"`
}

func decodePart(raw []byte) (partData, error) {
	var p partData
	if err := json.Unmarshal(raw, &p); err != nil {
		return p, fmt.Errorf("decode part: %w", err)
	}
	if p.Seq < 0 || p.Tokens <= 0 || p.Seq > math.MaxInt32 || p.Tokens > math.MaxInt32 {
		return p, fmt.Errorf("decode part: seq %d, tokens %d", p.Seq, p.Tokens)
	}
	return p, nil
}

func decodeEnd(raw []byte) (event.AttemptDone, error) {
	var e endData
	if err := json.Unmarshal(raw, &e); err != nil {
		return event.AttemptDone{}, fmt.Errorf("decode end: %w", err)
	}
	if e.Tokens < 0 || e.Tokens > math.MaxInt32 {
		return event.AttemptDone{}, fmt.Errorf("decode end: tokens %d", e.Tokens)
	}
	took, err := parseMillis(strconv.FormatFloat(e.Took, 'f', -1, 64))
	if err != nil {
		return event.AttemptDone{}, fmt.Errorf("decode end: took %w", err)
	}
	return event.AttemptDone{Tokens: e.Tokens, Took: took}, nil
}

// partBatch joins the adjacent parts of one read into one event.AttemptOutput, so that a fast stream causes few steps of
// the decision logic.
type partBatch struct {
	attempt id.Attempt
	deliver func(event.Event)
	output  event.AttemptOutput
}

// deliverParts delivers the parts among the events, and returns the contents of the end event and whether there was one.
func (b *partBatch) deliverParts(events []sse.Event) (event.AttemptDone, bool, error) {
	defer b.flush()
	for _, ev := range events {
		switch ev.Name {
		case "part":
			p, err := decodePart(ev.Data)
			if err != nil {
				return event.AttemptDone{}, false, err
			}
			b.add(p)
		case "end":
			done, err := decodeEnd(ev.Data)
			return done, err == nil, err
		}
	}
	return event.AttemptDone{}, false, nil
}

func (b *partBatch) add(p partData) {
	if b.output.Tokens > 0 && b.output.Seq+b.output.Tokens != p.Seq {
		b.flush()
	}
	if b.output.Tokens == 0 {
		b.output = event.AttemptOutput{Attempt: b.attempt, Seq: p.Seq}
	}
	b.output.Tokens += p.Tokens
	b.output.Data = append(b.output.Data, p.Text...)
}

func (b *partBatch) flush() {
	if b.output.Tokens > 0 {
		b.deliver(b.output)
	}
	b.output = event.AttemptOutput{}
}
