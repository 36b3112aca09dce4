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
	"syscall"
	"time"

	"bluebellflow/core/connlimit"
	"bluebellflow/core/event"
	"bluebellflow/io/httpclient"
	"bluebellflow/io/membudget"
)

const (
	// maxInlineBodyBytes is the largest body in bytes that is written before the response is read. A larger body is written
	// concurrently, because the server may respond before it has read all of it.
	maxInlineBodyBytes = 16 << 10
	// maxSkippedResponses bounds the responses to earlier requests that are skipped on a connection.
	maxSkippedResponses = 4
	// maxSkippedBodyBytes bounds the body of a skipped response.
	maxSkippedBodyBytes = 1 << 20
	// drainTimeout bounds how long Close waits for the rest of an unread body.
	drainTimeout = 20 * time.Millisecond
	// maxDrainBytes bounds the rest of an unread body that Close reads so that the connection can be reused.
	maxDrainBytes = 4 << 10
)

// Request is a request to a backend server.
type Request struct {
	Method string
	Target string // path and query, sent unchanged
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce is set if the request must not run twice. Such a request reuses a connection only if it was idle for less
	// than connlimit.MaxIdleAtMostOnce, so that no close by the server can be in flight.
	AtMostOnce bool
	// Limit bounds the connections to the server.
	Limit connlimit.Limit
	// NewConn is set if the request needs a connection of its own, because its response cannot be told from a late copy of the
	// response to an earlier request.
	NewConn bool
	// HeaderDeadline is the deadline for the response header, zero for none.
	HeaderDeadline time.Time
	// Matches tells whether a response belongs to this request. If it is nil, every response does.
	Matches func(*http.Response) Match
	// ID is what responses to this request name, empty for nothing. A connection on which a request with the same ID was sent
	// before is not reused, because a late copy of the response to that one names it too.
	ID string
}

// Match tells whether a response belongs to a request.
type Match uint8

const (
	// MatchOther means that the response belongs to another request.
	MatchOther Match = iota
	// MatchOwn means that the response belongs to the request.
	MatchOwn
	// MatchUnknown means that the response does not say to which request it belongs. On a new connection it can only belong
	// to the first request, and the connection is not reused. On a reused one it may be a late copy of an earlier response.
	MatchUnknown
)

// errUnidentified means that a response may belong to an earlier request on its connection.
var errUnidentified = errors.New("response that does not say to which request it belongs")

// Error is the error of a request that got no complete response.
type Error struct {
	Kind event.FailKind // FailUnsent, FailBroken or FailTimeout
	Err  error
}

// Error returns the message of the cause.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ResponseReader is the response to a request. Its body is read with Read, and it must be closed.
type ResponseReader struct {
	*http.Response
	client         *Client
	conn           *conn
	stopAfterFunc  func() bool   // returned by the context.AfterFunc that closes conn when ctx ends
	requestWritten chan struct{} // closed when the request has been written
	written        int64         // bytes of the request that were written, valid when requestWritten is closed
	atMostOnce     bool
	limit          connlimit.Limit
	ctx            context.Context
	reused         bool // the connection has carried another request before
	singleUse      bool // the connection is not reused
	bodyComplete   bool // the body was read to its end
	memory         *membudget.Share
	closed         bool
}

// Keep reports whether the memory for all responses allows to keep n bytes of this one.
func (r *ResponseReader) Keep(n int) bool { return r.memory.Keep(n) }

// ReadAll reads the rest of the body. It returns what it has read with membudget.ErrTooLarge if there is more than limit bytes,
// and with membudget.ErrExhausted if the memory for all responses does not allow to keep more.
func (r *ResponseReader) ReadAll(limit int) ([]byte, error) { return r.memory.ReadAll(r, limit) }

// Do sends a request and reads the response header. The context bounds the whole exchange, including the response body.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, req *Request) (*ResponseReader, error) {
	var cn *conn
	if !req.NewConn {
		cn = c.getIdle(addr, req)
	}
	reused := cn != nil
	if !reused {
		dialed, err := c.dial(ctx, addr, req.Limit)
		if err != nil {
			return nil, &Error{Kind: event.FailUnsent, Err: err}
		}
		cn = dialed
	}
	cn.rememberID(req.ID)
	r := &ResponseReader{
		client: c, conn: cn, reused: reused, ctx: ctx, singleUse: req.NewConn, requestWritten: make(chan struct{}), memory: c.memory.NewShare(),
		atMostOnce: req.AtMostOnce, limit: req.Limit,
	}
	r.stopAfterFunc = context.AfterFunc(ctx, func() { _ = cn.Close() })
	if err := r.send(req); err != nil {
		_ = r.abort()
		<-r.requestWritten // the connection is closed, so that the write has ended or ends now
		if r.written == 0 && ctx.Err() == nil && isReset(err) {
			c.vars.Add("upstream_reset_at_accept", 1)
		}
		return nil, r.newError(r.written > 0, fmt.Errorf("%s: %w", cn.describe(reused), err))
	}
	return r, nil
}

// isReset reports whether a server has reset a connection or closed it before a request.
func isReset(err error) bool {
	return errors.Is(err, ErrClosedUnused) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// send writes a request and reads the response header.
func (r *ResponseReader) send(req *Request) error {
	if !r.reused {
		if err := r.conn.settle(r.limit.SettleTime(r.conn.opening)); err != nil {
			close(r.requestWritten)
			return err
		}
	}
	if err := r.writeRequest(req); err != nil {
		return err
	}
	return r.readResponse(req)
}

// newError returns an Error whose kind tells whether the request may have run.
func (r *ResponseReader) newError(sent bool, err error) *Error {
	e := &Error{Kind: event.FailUnsent, Err: err}
	if sent {
		e.Kind = event.FailBroken
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(r.ctx.Err(), context.DeadlineExceeded) {
			e.Kind = event.FailTimeout
		}
	}
	return e
}

// writeRequest writes the request. A body larger than maxInlineBodyBytes is written in the background.
func (r *ResponseReader) writeRequest(req *Request) error {
	head := encodeHeader(req)
	if len(req.Body) <= maxInlineBodyBytes {
		defer close(r.requestWritten)
		head.Write(req.Body)
		n, err := r.conn.Write(head.Bytes())
		r.written = int64(n)
		return err
	}
	go func() {
		defer close(r.requestWritten)
		buffers := net.Buffers{head.Bytes(), req.Body}
		n, err := buffers.WriteTo(r.conn)
		r.written = n
		if err != nil {
			r.client.vars.Add("upstream_write_failed", 1)
		}
	}()
	return nil
}

// encodeHeader returns the request line and the headers of a request.
func encodeHeader(req *Request) *bytes.Buffer {
	b := bytes.NewBuffer(make([]byte, 0, 1024))
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(b) // writing to a bytes.Buffer does not fail
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b
}

// readResponse reads the response header. It skips responses to earlier requests on the connection.
func (r *ResponseReader) readResponse(req *Request) error {
	if !req.HeaderDeadline.IsZero() {
		_ = r.conn.SetReadDeadline(req.HeaderDeadline)
	}
	for skipped, informational := 0, 0; ; {
		r.conn.header = &headerLimit{memory: r.memory}
		resp, err := httpclient.ReadHead(r.conn.br, &http.Request{Method: req.Method})
		if err != nil {
			return fmt.Errorf("read response: %w", err)
		}
		if resp.StatusCode < http.StatusOK {
			if informational++; informational > httpclient.MaxInformational {
				return httpclient.ErrTooManyInformational
			}
			continue
		}
		r.conn.header = nil
		match := MatchOwn
		if req.Matches != nil {
			match = req.Matches(resp)
		}
		if match == MatchUnknown && (r.reused || skipped > 0) {
			return errUnidentified
		}
		if match != MatchOther {
			r.Response = resp
			r.singleUse = r.singleUse || match == MatchUnknown
			break
		}
		r.client.vars.Add("upstream_skipped", 1)
		if skipped++; skipped > maxSkippedResponses || resp.Close {
			return errors.New("response to another request")
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes+1))
		if err != nil {
			return fmt.Errorf("response to another request: %w", err)
		}
		if n > maxSkippedBodyBytes {
			return fmt.Errorf("response to another request is larger than %d bytes", maxSkippedBodyBytes)
		}
	}
	if !req.HeaderDeadline.IsZero() {
		_ = r.conn.SetReadDeadline(time.Time{})
	}
	return nil
}

// Read reads the response body. It returns io.EOF only if the body is complete.
func (r *ResponseReader) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if errors.Is(err, io.EOF) {
		r.bodyComplete = true
		return n, io.EOF
	}
	if err != nil {
		return n, r.newError(true, err)
	}
	return n, nil
}

// Close ends the exchange. The connection is kept for reuse if the response was read to its end. Only the first call has an
// effect.
func (r *ResponseReader) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	defer r.memory.Release()
	r.drain()
	select {
	case <-r.requestWritten:
	default:
		return r.abort() // the server responded before it had read the whole request
	}
	if r.singleUse || !r.bodyComplete || r.Response.Close || !r.stopAfterFunc() || r.conn.br.Buffered() > 0 {
		return r.abort()
	}
	r.conn.idleTimeout = r.limit.IdleTime(r.atMostOnce, parseKeepAlive(r.Header.Get("Keep-Alive")))
	r.client.putIdle(r.conn, r.limit)
	return nil
}

// drain reads the rest of a short body, so that the connection can be reused.
func (r *ResponseReader) drain() {
	if r.bodyComplete || r.ContentLength < 0 || r.ContentLength > maxDrainBytes || r.Response.Close {
		return
	}
	_ = r.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.CopyN(io.Discard, r, maxDrainBytes) // on failure the connection is not reused
	_ = r.conn.SetReadDeadline(time.Time{})
}

// abort closes the connection.
func (r *ResponseReader) abort() error {
	r.memory.Release()
	r.stopAfterFunc()
	err := r.conn.Close()
	r.client.release(r.conn.addr)
	return err
}

// parseKeepAlive returns how long a connection may stay idle according to a response's Keep-Alive header.
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
