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
	// inlineBody is the largest body in bytes that is written before the answer is read. A server may answer a longer
	// one before it has read it, so that writing and reading go on side by side.
	inlineBody = 16 << 10
	// maxSkipped bounds the answers to earlier requests that are skipped on a connection.
	maxSkipped = 4
	// maxSkippedBody bounds the body of an answer that is skipped, in bytes.
	maxSkippedBody = 1 << 20
	// drainBytes is how much of a body that nobody wants is read so that its connection can be kept.
	drainBytes = 4 << 10
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
	client  *Client
	conn    *conn
	stop    func() bool   // ends the watch on the request's context
	written chan struct{} // closed when the request has been written
	ctx     context.Context
	ended   bool // the body was read to its end
}

// Do sends a request. The context bounds the whole exchange, the body of the answer included.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, req *Request) (*ResponseReader, error) {
	one := c.get(addr, req.AtMostOnce)
	reused := one != nil
	if !reused {
		dialed, err := c.dial(ctx, addr)
		if err != nil {
			return nil, &Error{Kind: event.FailUnsent, Err: err}
		}
		one = dialed
	}
	a := &ResponseReader{client: c, conn: one, ctx: ctx, written: make(chan struct{})}
	a.stop = context.AfterFunc(ctx, func() { _ = one.Close() })
	sent, err := a.write(req)
	if err == nil {
		err = a.read(req)
		sent = true
	}
	if err != nil {
		_ = a.abort()
		return nil, a.failure(sent, fmt.Errorf("%s: %w", one.use(reused), err))
	}
	return a, nil
}

// failure says what an error means for the request.
func (a *ResponseReader) failure(sent bool, err error) *Error {
	e := &Error{Kind: event.FailUnsent, Err: err}
	if sent {
		e.Kind = event.FailBroken
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
			e.Kind = event.FailTimeout
		}
	}
	return e
}

// write sends the request. A long body is written in the background.
func (a *ResponseReader) write(req *Request) (sent bool, err error) {
	head := encodeHead(req)
	if len(req.Body) <= inlineBody {
		defer close(a.written)
		head.Write(req.Body)
		n, err := a.conn.Write(head.Bytes())
		return n > 0, err
	}
	go func() {
		defer close(a.written)
		buffers := net.Buffers{head.Bytes(), req.Body}
		if _, err := buffers.WriteTo(a.conn.Conn); err != nil {
			a.client.vars.Add("upstream_write_failed", 1)
		}
	}()
	return true, nil
}

func encodeHead(req *Request) *bytes.Buffer {
	b := bytes.NewBuffer(make([]byte, 0, 1024))
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(b) // a buffer does not fail
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b
}

// read reads the head of the answer; answers to earlier requests are skipped.
func (a *ResponseReader) read(req *Request) error {
	if !req.HeaderDeadline.IsZero() {
		_ = a.conn.SetReadDeadline(req.HeaderDeadline)
	}
	for skipped := 0; ; {
		a.conn.quota = maxHead
		resp, err := http.ReadResponse(a.conn.br, &http.Request{Method: req.Method})
		if err != nil {
			return fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		a.conn.quota = int(^uint(0) >> 1)
		if req.Matches == nil || req.Matches(resp) {
			a.Response = resp
			break
		}
		a.client.vars.Add("upstream_skipped", 1)
		if skipped++; skipped > maxSkipped || resp.Close {
			return errors.New("answer to another request")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBody)); err != nil || n == maxSkippedBody {
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
		a.ended = true
		return n, io.EOF
	}
	if err != nil {
		return n, a.failure(true, err)
	}
	return n, nil
}

// Close ends the exchange. The connection is kept if the answer was read to its end.
func (a *ResponseReader) Close() error {
	if !a.ended && a.ContentLength >= 0 && a.ContentLength <= drainBytes && !a.Response.Close {
		_, _ = io.CopyN(io.Discard, a, drainBytes)
	}
	select {
	case <-a.written:
	default:
		return a.abort() // the server has answered before it has read the request
	}
	if !a.ended || a.Response.Close || !a.stop() || a.conn.br.Buffered() > 0 {
		return a.abort()
	}
	a.conn.keep = keepTime(a.Header.Get("Keep-Alive"))
	a.client.put(a.conn)
	return nil
}

func (a *ResponseReader) abort() error {
	a.stop()
	return a.conn.Close()
}

// keepTime returns how long a connection may stay unused, from the header of an answer.
func keepTime(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return min(longestKeep, time.Duration(seconds)*time.Second-keepMargin)
		}
	}
	return defaultKeep
}
