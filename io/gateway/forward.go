package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"syscall"
	"time"

	"bluebellflow/core/balance"
	"bluebellflow/core/event"
	"bluebellflow/core/proxy"
	"bluebellflow/io/membudget"
	"bluebellflow/io/upstream"
)

const (
	// maxBufferedBytes is the size in bytes up to which a response is read completely before any of it is sent to the
	// caller, so that another server can be tried if the response is truncated.
	maxBufferedBytes = 64 << 10
	// copyBufferSize is the size in bytes of the buffer for copying the rest of a longer response.
	copyBufferSize = 16 << 10
)

// response is a server's response; body is set while the response is held back.
type response struct {
	*upstream.ResponseReader
	body   []byte
	cancel context.CancelFunc
	closed bool
}

// Close ends the attempt and releases its connection, which is reused if possible. It may be called again.
func (resp *response) Close() error {
	if resp.closed {
		return nil
	}
	resp.closed = true
	defer resp.cancel()
	return resp.ResponseReader.Close()
}

// forward sends the request to a server and relays the response. It reports whether the exchange is complete.
func (x *exchange) forward(f proxy.Forward) bool {
	ctx, cancel := x.attemptContext(f.Until)
	req := &upstream.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: forwardedHeaders(x.r.Header), Body: x.body,
		AtMostOnce: f.Once, HeaderDeadline: f.First, ID: string(x.info.Name), Limit: f.Conns,
		Matches: func(resp *http.Response) upstream.Match { return x.server.dialect.Matches(x.info.Name, resp) },
	}
	x.server.dialect.SetRequestHeaders(req.Header, f, time.Until(f.Until))
	x.server.vars.Add("forwarded", 1)
	x.server.countPlacement(f.Placed)
	x.setProgress(forwarded)
	reader, err := x.server.client.Do(ctx, f.Server.Addr, req)
	if err != nil {
		cancel()
		return x.reportFailure(err, proxy.Result{})
	}
	return x.handleResponse(f, &response{ResponseReader: reader, cancel: cancel})
}

// countPlacement counts where a request of known size was placed.
func (s *Server) countPlacement(p balance.Placement) {
	if p.Choice == "" {
		return
	}
	s.vars.Add("placed_"+string(p.Choice), 1)
	s.vars.Add("placed_unread_tokens", int64(p.Unread))
	s.vars.Add("placed_reread_tokens", int64(p.Reread))
}

// reportFailure reports an attempt without a response that can be passed on, unless the caller has disconnected. It returns
// false, because the exchange continues.
func (x *exchange) reportFailure(err error, res proxy.Result) bool {
	res.Detail = err.Error()
	x.lastFailure = res.Detail
	var failure *upstream.Error
	switch {
	case errors.As(err, &failure):
		res.Fail = failure.Kind
	case res.Fail == 0:
		res.Fail = event.FailBroken
	}
	res.ConnRefused = res.ConnRefused || errors.Is(err, syscall.ECONNREFUSED)
	res.ConnRejected = errors.Is(err, upstream.ErrClosedUnused)
	x.mayHaveRun = x.mayHaveRun || !res.Fail.NotRun()
	if !x.callerConnected() {
		return false // serve handles the disconnect
	}
	res.Began = x.responseStarted
	x.addPosition(&res)
	x.server.deliver(proxy.Ended{Ticket: x.ticket, Result: res})
	return false
}

// handleResponse decides by the status and headers of a response whether to relay it, hold it back or report a failure.
func (x *exchange) handleResponse(f proxy.Forward, resp *response) bool {
	info := x.server.dialect.ResponseInfo(resp.Response)
	res := proxy.Result{Status: resp.StatusCode, Moved: info.Moved, InputsGone: info.InputsGone, Report: info.Report}
	success := resp.StatusCode < http.StatusMultipleChoices
	switch {
	case info.NotRun:
		_ = resp.Close()
		res.Fail = event.FailRejected
		res.Detail = resp.Status
		x.server.deliver(proxy.Ended{Ticket: x.ticket, Result: res})
		return false
	case success && !info.Sealed:
		_ = resp.Close()
		return x.reportFailure(errors.New("successful response without a seal header"), res)
	case f.Resume && !isEventStream(resp.Response):
		_ = resp.Close()
		res.Fail = event.FailError
		return x.reportFailure(fmt.Errorf("%s without a stream that could be continued", resp.Status), res)
	case info.PromisesNotRun && f.Once:
		// The status is kept from the caller, who would send the request again.
		_ = resp.Close()
		res.Fail = event.FailError
		return x.reportFailure(fmt.Errorf("%s from a server that may have run the request", resp.Status), res)
	case !success && f.Hold:
		return x.holdResponse(resp, res)
	case isEventStream(resp.Response):
		return x.relayStream(f, resp, res)
	}
	return x.relay(resp, res)
}

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// holdResponse holds back an error response while the decision logic looks for another server.
func (x *exchange) holdResponse(resp *response, res proxy.Result) bool {
	raw, err := resp.ReadAll(maxBufferedBytes)
	if err != nil {
		_ = resp.Close()
		return x.reportFailure(fmt.Errorf("hold back an error response: %w", err), res)
	}
	resp.body = raw
	x.held = resp
	x.mayHaveRun = true
	res.Held = true
	x.server.deliver(proxy.Ended{Ticket: x.ticket, Result: res})
	return false
}

// sendHeld sends the response that was held back to the caller.
func (x *exchange) sendHeld() {
	resp := x.held
	if resp == nil {
		x.closeUnanswered(causeAborted)
	}
	x.copyHeaders(resp.Response)
	x.w.WriteHeader(resp.StatusCode)
	_, _ = x.w.Write(resp.body)
	x.recordLatency(&x.server.latency.answered)
}

// relay sends a response to the caller. A response of up to maxBufferedBytes bytes is read completely first, if there is memory
// for it.
func (x *exchange) relay(resp *response, res proxy.Result) bool {
	defer func() { _ = resp.Close() }()
	raw, err := resp.ReadAll(maxBufferedBytes)
	more := errors.Is(err, membudget.ErrTooLarge) || errors.Is(err, membudget.ErrExhausted)
	if err != nil && !more {
		return x.reportFailure(err, res)
	}
	x.server.deliver(proxy.Began{Ticket: x.ticket, Status: resp.StatusCode, Report: res.Report})
	x.copyHeaders(resp.Response)
	x.w.WriteHeader(resp.StatusCode)
	x.responseStarted = true
	x.setProgress(responding)
	_, err = x.w.Write(raw)
	if err == nil && more {
		err = x.copyBody(resp)
	}
	if err != nil {
		return x.reportInterrupted(err, res)
	}
	_ = resp.Close() // before the report, after which another request may be sent on the connection
	x.reportSuccess(res)
	return true
}

func (x *exchange) copyBody(resp *response) error {
	_, err := io.CopyBuffer(writerOnly{x.w}, resp, make([]byte, copyBufferSize))
	return err
}

// writerOnly hides the other methods of a response writer. With ReadFrom, io.CopyBuffer would ignore the buffer and let
// the writer read the response itself.
type writerOnly struct{ io.Writer }

// reportInterrupted reports a response that failed after part of it was sent. The decision logic then aborts it, so
// that the caller does not take it for complete.
func (x *exchange) reportInterrupted(err error, res proxy.Result) bool {
	x.position.cannotResume = true
	if !x.callerConnected() {
		return false
	}
	x.reportFailure(err, res)
	return false
}

// reportSuccess reports a response that was sent completely.
func (x *exchange) reportSuccess(res proxy.Result) {
	res.Began = true
	x.server.vars.Add("answered", 1)
	x.recordLatency(&x.server.latency.answered)
	x.server.deliver(proxy.Ended{Ticket: x.ticket, Result: res})
}

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate",
	"Proxy-Authorization",
}

// removeHopByHop removes the hop-by-hop headers, including those that the Connection header names.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// forwardedHeaders returns the headers of a caller's request that are sent to the server.
func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	removeHopByHop(out)
	out.Del("Content-Length")
	out.Del("Expect")
	return out
}

// copyHeaders copies the headers of a server's response to the response for the caller.
func (x *exchange) copyHeaders(resp *http.Response) {
	h := x.w.Header()
	forwarded := resp.Header.Clone()
	removeHopByHop(forwarded)
	for name, values := range forwarded {
		h[name] = values
	}
	// A nil value keeps net/http from adding a header that the server did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
}
