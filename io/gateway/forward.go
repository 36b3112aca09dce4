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
	// wholeBytes is the largest answer in bytes that is read to its end before any of it is passed on, so that another
	// server can be tried if it is cut short.
	wholeBytes = 64 << 10
	// copyBytes is the size of the pieces in which a longer answer is passed on.
	copyBytes = 16 << 10
)

// answer is a server's answer with what was read of its body.
type answer struct {
	*upstream.ResponseReader
	body []byte
	done context.CancelFunc
}

// Close gives the answer up or returns its connection.
func (a *answer) Close() error {
	defer a.done()
	return a.ResponseReader.Close()
}

// forward sends the request to a server and passes the answer on. It reports whether the request is over.
func (x *exchange) forward(f proxy.Forward) bool {
	ctx, cancel := context.WithDeadline(x.r.Context(), f.Until)
	req := &upstream.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: outbound(x.r.Header), Body: x.body,
		AtMostOnce: f.Once, HeaderDeadline: f.First,
		Matches: func(resp *http.Response) bool { return x.server.dialect.Mine(x.facts.Name, resp) },
	}
	x.server.dialect.Outbound(req.Header, f, time.Until(f.Until))
	x.server.vars.Add("forwarded", 1)
	got, err := x.server.client.Do(ctx, f.Server.Addr, req)
	if err != nil {
		cancel()
		return x.failed(err, proxy.Result{})
	}
	return x.answered(f, &answer{ResponseReader: got, done: cancel})
}

// failed reports a send without a whole answer. Without a caller there is nobody to try again for.
func (x *exchange) failed(err error, res proxy.Result) bool {
	if !x.alive() {
		return false // serve sees that the caller has gone
	}
	res.Detail = err.Error()
	res.Fail = event.FailBroken
	var failure *upstream.Error
	if errors.As(err, &failure) {
		res.Fail = failure.Kind
	}
	res.Began = x.begun
	x.server.deliver(proxy.Ended{Ticket: x.ticket, Result: res})
	return false
}

// answered decides by the head of an answer whether it is passed on at once.
func (x *exchange) answered(f proxy.Forward, a *answer) bool {
	note := x.server.dialect.Note(a.Response)
	res := proxy.Result{Status: a.StatusCode, Load: note.Load, LoadKnown: note.Known, Moved: note.Moved, InputsGone: note.Inputs}
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
		return x.failed(errors.New("success without the server's seal"), res)
	case !good && f.Hold:
		return x.hold(a, res)
	case streams(a.Response):
		return x.stream(a, res)
	}
	return x.whole(a, res)
}

// streams reports whether an answer is a stream of events.
func streams(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// hold keeps a server's failure back while the decision logic looks for another server.
func (x *exchange) hold(a *answer, res proxy.Result) bool {
	raw, err := io.ReadAll(io.LimitReader(a, wholeBytes+1))
	if err == nil && len(raw) > wholeBytes {
		err = errors.New("failure with a long body")
	}
	if err != nil {
		_ = a.Close()
		return x.failed(err, res)
	}
	a.body = raw
	x.held = a
	res.Held = true
	x.server.deliver(proxy.Ended{Ticket: x.ticket, Result: res})
	return false
}

// deliverHeld passes on the answer that was held back.
func (x *exchange) deliverHeld() {
	a := x.held
	if a == nil {
		panic(http.ErrAbortHandler)
	}
	x.copyHead(a.Response)
	x.w.WriteHeader(a.StatusCode)
	_, _ = x.w.Write(a.body)
	x.over(&x.server.latency.answered)
}

// whole passes on an answer; a short one is read to its end first.
func (x *exchange) whole(a *answer, res proxy.Result) bool {
	defer func() { _ = a.Close() }()
	raw, err := io.ReadAll(io.LimitReader(a, wholeBytes))
	if err != nil {
		return x.failed(err, res)
	}
	x.server.deliver(proxy.Began{Ticket: x.ticket})
	x.copyHead(a.Response)
	x.w.WriteHeader(a.StatusCode)
	x.begun = true
	_, err = x.w.Write(raw)
	if err == nil && len(raw) == wholeBytes {
		err = x.copyRest(a)
	}
	if err != nil {
		return x.cutShort(err, res)
	}
	x.end(res)
	return true
}

func (x *exchange) copyRest(a *answer) error {
	_, err := io.CopyBuffer(onlyWriter{x.w}, a, make([]byte, copyBytes))
	return err
}

// onlyWriter hides the other methods of a response writer, which would read the answer past its reader.
type onlyWriter struct{ io.Writer }

// cutShort ends an answer that has begun so that it does not look complete.
func (x *exchange) cutShort(err error, res proxy.Result) bool {
	if !x.alive() {
		return false
	}
	x.failed(err, res)
	return false
}

// end reports a whole answer.
func (x *exchange) end(res proxy.Result) {
	res.Began = true
	x.server.vars.Add("answered", 1)
	x.over(&x.server.latency.answered)
	x.server.deliver(proxy.Ended{Ticket: x.ticket, Result: res})
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate",
	"Proxy-Authorization",
}

// strip removes the headers that concern one connection only.
func strip(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// outbound returns the headers of a request that are passed on.
func outbound(h http.Header) http.Header {
	out := h.Clone()
	strip(out)
	out.Del("Content-Length")
	out.Del("Expect")
	return out
}

// copyHead copies the headers of an answer.
func (x *exchange) copyHead(resp *http.Response) {
	h := x.w.Header()
	passed := resp.Header.Clone()
	strip(passed)
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
