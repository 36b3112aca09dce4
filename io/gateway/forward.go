package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/proxy"
	"bluebellflow/io/upstream"
)

const (
	// maxBufferedResponse is the largest answer in bytes that is read to its end before any of it is passed on, so that another
	// server can be tried if it is cut short.
	maxBufferedResponse = 64 << 10
	// copyBufferSize is the size of the pieces in which a longer answer is passed on.
	copyBufferSize = 16 << 10
)

// response is a server's answer with what was read of its body.
type response struct {
	*upstream.ResponseReader
	body   []byte
	cancel context.CancelFunc
}

// Close gives the answer up or returns its connection.
func (a *response) Close() error {
	defer a.cancel()
	return a.ResponseReader.Close()
}

// forward sends the request to a server and passes the answer on. It reports whether the request is over.
func (x *exchange) forward(f proxy.Forward) bool {
	ctx, cancel := context.WithDeadline(x.r.Context(), f.Until)
	req := &upstream.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: forwardedHeaders(x.r.Header), Body: x.body,
		AtMostOnce: f.Once, HeaderDeadline: f.First,
		Matches: func(resp *http.Response) bool { return x.server.dialect.Matches(x.info.Name, resp) },
	}
	x.server.dialect.SetRequestHeaders(req.Header, f, time.Until(f.Until))
	x.server.vars.Add("forwarded", 1)
	got, err := x.server.client.Do(ctx, f.Server.Addr, req)
	if err != nil {
		cancel()
		return x.reportFailure(err, proxy.Result{})
	}
	return x.handleResponse(f, &response{ResponseReader: got, cancel: cancel})
}

// reportFailure reports a send without a whole answer. Without a caller there is nobody to try again for.
func (x *exchange) reportFailure(err error, res proxy.Result) bool {
	if !x.callerConnected() {
		return false // serve sees that the caller has gone
	}
	res.Detail = err.Error()
	res.Fail = event.FailBroken
	var failure *upstream.Error
	if errors.As(err, &failure) {
		res.Fail = failure.Kind
	}
	res.Began = x.responseStarted
	x.server.deliver(proxy.Ended{Ticket: x.ticket, Result: res})
	return false
}

// handleResponse decides by the head of an answer whether it is passed on at once.
func (x *exchange) handleResponse(f proxy.Forward, a *response) bool {
	note := x.server.dialect.ResponseInfo(a.Response)
	res := proxy.Result{Status: a.StatusCode, Load: note.Load, LoadKnown: note.LoadKnown, Moved: note.Moved, InputsGone: note.InputsGone}
	good := a.StatusCode < http.StatusMultipleChoices
	switch {
	case note.NotRun:
		_ = a.Close()
		res.Fail = event.FailRejected
		res.Detail = a.Status
		x.server.deliver(proxy.Ended{Ticket: x.ticket, Result: res})
		return false
	case good && !note.Sealed:
		_ = a.Close()
		return x.reportFailure(errors.New("success without the server's seal"), res)
	case !good && f.Hold:
		return x.holdResponse(a, res)
	case isEventStream(a.Response):
		return x.relayStream(a, res)
	}
	return x.relay(a, res)
}

// isEventStream reports whether an answer is a stream of events.
func isEventStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// holdResponse keeps a server's failure back while the decision logic looks for another server.
func (x *exchange) holdResponse(a *response, res proxy.Result) bool {
	raw, err := io.ReadAll(io.LimitReader(a, maxBufferedResponse+1))
	if err == nil && len(raw) > maxBufferedResponse {
		err = errors.New("failure with a long body")
	}
	if err != nil {
		_ = a.Close()
		return x.reportFailure(err, res)
	}
	a.body = raw
	x.held = a
	res.Held = true
	x.server.deliver(proxy.Ended{Ticket: x.ticket, Result: res})
	return false
}

// sendHeld passes on the answer that was held back.
func (x *exchange) sendHeld() {
	a := x.held
	if a == nil {
		panic(http.ErrAbortHandler)
	}
	x.copyHeaders(a.Response)
	x.w.WriteHeader(a.StatusCode)
	_, _ = x.w.Write(a.body)
	x.recordLatency(&x.server.latency.answered)
}

// relay passes on an answer; a short one is read to its end first.
func (x *exchange) relay(a *response, res proxy.Result) bool {
	defer func() { _ = a.Close() }()
	raw, err := io.ReadAll(io.LimitReader(a, maxBufferedResponse))
	if err != nil {
		return x.reportFailure(err, res)
	}
	x.server.deliver(proxy.Began{Ticket: x.ticket})
	x.copyHeaders(a.Response)
	x.w.WriteHeader(a.StatusCode)
	x.responseStarted = true
	_, err = x.w.Write(raw)
	if err == nil && len(raw) == maxBufferedResponse {
		err = x.copyBody(a)
	}
	if err != nil {
		return x.reportInterrupted(err, res)
	}
	x.reportSuccess(res)
	return true
}

func (x *exchange) copyBody(a *response) error {
	_, err := io.CopyBuffer(writerOnly{x.w}, a, make([]byte, copyBufferSize))
	return err
}

// writerOnly hides the other methods of a response writer, which would read the answer past its reader.
type writerOnly struct{ io.Writer }

// reportInterrupted ends an answer that has begun so that it does not look complete.
func (x *exchange) reportInterrupted(err error, res proxy.Result) bool {
	if !x.callerConnected() {
		return false
	}
	x.reportFailure(err, res)
	return false
}

// reportSuccess reports a whole answer.
func (x *exchange) reportSuccess(res proxy.Result) {
	res.Began = true
	x.server.vars.Add("answered", 1)
	x.recordLatency(&x.server.latency.answered)
	x.server.deliver(proxy.Ended{Ticket: x.ticket, Result: res})
}

// hopByHopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate",
	"Proxy-Authorization",
}

// removeHopByHop removes the headers that concern one connection only.
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

// forwardedHeaders returns the headers of a request that are passed on.
func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	removeHopByHop(out)
	out.Del("Content-Length")
	out.Del("Expect")
	return out
}

// copyHeaders copies the headers of an answer.
func (x *exchange) copyHeaders(resp *http.Response) {
	h := x.w.Header()
	passed := resp.Header.Clone()
	removeHopByHop(passed)
	for name, values := range passed {
		h[name] = values
	}
	// Without these lines the standard library would add headers that the server did not send.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, given := h[name]; !given {
			h[name] = nil
		}
	}
}
