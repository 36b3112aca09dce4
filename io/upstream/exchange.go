package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"bluebellflow/core/event"
)

const (
	// maxInlineBody is the largest body in bytes that is written before the answer is read. A server may answer a longer
	// one before it has read it, so that writing and reading go on side by side.
	maxInlineBody = 16 << 10
	// maxSkippedResponses bounds the answers to earlier requests that are skipped on a connection.
	maxSkippedResponses = 4
	// maxSkippedBodyBytes bounds the body of an answer that is skipped, in bytes.
	maxSkippedBodyBytes = 1 << 20
	// maxDrainBytes is how much of a body that nobody wants is read so that its connection can be kept.
	maxDrainBytes = 4 << 10
)

// Request is a request to a backend server.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce says that the request must not run twice: it gets a connection on which nothing can be under way.
	AtMostOnce bool
	// HeaderDeadline is when the answer must have begun, zero for no limit.
	HeaderDeadline time.Time
	// Matches reports whether an answer belongs to this request; nil accepts every answer.
	Matches func(*http.Response) bool
}

// Error is a request without a whole answer.
type Error struct {
	Kind event.FailKind // FailUnsent, FailBroken or FailTimeout
	Err  error
}

// Error returns the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ResponseReader is the answer to a request. Its body must be closed.
type ResponseReader struct {
	*http.Response
	client         *Client
	conn           *conn
	stopAfterFunc  func() bool   // ends the watch on the request's context
	requestWritten chan struct{} // closed when the request has been written
	ctx            context.Context
	bodyComplete   bool // the body was read to its end
}

// Do sends a request. The context bounds the whole exchange, the body of the answer included.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, req *Request) (*ResponseReader, error) {
	one := c.getIdle(addr, req.AtMostOnce)
	reused := one != nil
	if !reused {
		dialed, err := c.dial(ctx, addr)
		if err != nil {
			return nil, &Error{Kind: event.FailUnsent, Err: err}
		}
		one = dialed
	}
	a := &ResponseReader{client: c, conn: one, ctx: ctx, requestWritten: make(chan struct{})}
	a.stopAfterFunc = context.AfterFunc(ctx, func() { _ = one.Close() })
	sent, err := a.writeRequest(req)
	if err == nil {
		err = a.readResponse(req)
		sent = true
	}
	if err != nil {
		_ = a.abort()
		return nil, a.newError(sent, fmt.Errorf("%s: %w", one.describe(reused), err))
	}
	return a, nil
}

// newError says what an error means for the request.
func (a *ResponseReader) newError(sent bool, err error) *Error {
	e := &Error{Kind: event.FailUnsent, Err: err}
	if sent {
		e.Kind = event.FailBroken
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
			e.Kind = event.FailTimeout
		}
	}
	return e
}

// writeRequest sends the request. A long body is written in the background.
func (a *ResponseReader) writeRequest(req *Request) (sent bool, err error) {
	head := encodeHeader(req)
	if len(req.Body) <= maxInlineBody {
		defer close(a.requestWritten)
		head.Write(req.Body)
		n, err := a.conn.Write(head.Bytes())
		return n > 0, err
	}
	go func() {
		defer close(a.requestWritten)
		buffers := net.Buffers{head.Bytes(), req.Body}
		if _, err := buffers.WriteTo(a.conn.Conn); err != nil {
			a.client.vars.Add("upstream_write_failed", 1)
		}
	}()
	return true, nil
}

func encodeHeader(req *Request) *bytes.Buffer {
	b := bytes.NewBuffer(make([]byte, 0, 1024))
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(b) // a buffer does not fail
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b
}

// readResponse reads the head of the answer; answers to earlier requests are skipped.
func (a *ResponseReader) readResponse(req *Request) error {
	if !req.HeaderDeadline.IsZero() {
		_ = a.conn.SetReadDeadline(req.HeaderDeadline)
	}
	for skipped := 0; ; {
		a.conn.headerBytesLeft = maxHeaderBytes
		resp, err := http.ReadResponse(a.conn.br, &http.Request{Method: req.Method})
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		a.conn.headerBytesLeft = int(^uint(0) >> 1)
		if req.Matches == nil || req.Matches(resp) {
			a.Response = resp
			break
		}
		a.client.vars.Add("upstream_skipped", 1)
		if skipped++; skipped > maxSkippedResponses || resp.Close {
			return errors.New("answer to another request")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes)); err != nil || n == maxSkippedBodyBytes {
			return fmt.Errorf("answer to another request: %w", err)
		}
	}
	if !req.HeaderDeadline.IsZero() {
		_ = a.conn.SetReadDeadline(time.Time{})
	}
	return nil
}

// Read reads the body of the answer. io.EOF means that the body is complete.
func (a *ResponseReader) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.bodyComplete = true
		return n, io.EOF
	}
	if err != nil {
		return n, a.newError(true, err)
	}
	return n, nil
}

// Close ends the exchange. The connection is kept if the answer was read to its end.
func (a *ResponseReader) Close() error {
	if !a.bodyComplete && a.ContentLength >= 0 && a.ContentLength <= maxDrainBytes && !a.Response.Close {
		_, _ = io.CopyN(io.Discard, a, maxDrainBytes)
	}
	select {
	case <-a.requestWritten:
	default:
		return a.abort() // the server has answered before it has read the request
	}
	if !a.bodyComplete || a.Response.Close || !a.stopAfterFunc() || a.conn.br.Buffered() > 0 {
		return a.abort()
	}
	a.conn.idleTimeout = parseKeepAlive(a.Header.Get("Keep-Alive"))
	a.client.putIdle(a.conn)
	return nil
}

func (a *ResponseReader) abort() error {
	a.stopAfterFunc()
	return a.conn.Close()
}

// parseKeepAlive returns how long a connection may stay unused, from the header of an answer.
func parseKeepAlive(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return min(maxIdleTimeout, time.Duration(seconds)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}
