package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"bluebellflow/core/proxy"
)

// maxEventBytes bounds one event of a stream, in bytes.
const maxEventBytes = 1 << 20

// errEventTooLarge means that an event does not end.
var errEventTooLarge = errors.New("event of a stream is too large")

// relayStream passes on a stream of events as they come, each event whole.
func (x *exchange) relayStream(a *response, res proxy.Result) bool {
	defer func() { _ = a.Close() }()
	control := http.NewResponseController(x.w)
	var pending []byte
	buf := make([]byte, readBufferSize)
	for {
		n, err := a.Read(buf)
		pending = append(pending, buf[:n]...)
		if end := completeEventsLength(pending); end > 0 {
			if werr := x.writeEvents(a.Response, control, pending[:end]); werr != nil {
				return x.reportInterrupted(werr, res)
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return x.finishStream(a.Response, control, pending, res)
		case err != nil:
			return x.reportInterrupted(err, res)
		case len(pending) > maxEventBytes:
			return x.reportInterrupted(errEventTooLarge, res)
		}
	}
}

// readBufferSize is the most that one read of a stream takes, in bytes.
const readBufferSize = 8 << 10

// writeEvents sends whole events to the caller.
func (x *exchange) writeEvents(resp *http.Response, control *http.ResponseController, events []byte) error {
	if !x.responseStarted {
		x.responseStarted = true
		x.copyHeaders(resp)
		x.w.WriteHeader(resp.StatusCode)
		x.server.deliver(proxy.Began{Ticket: x.ticket})
	}
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return control.Flush()
}

// finishStream passes on what came after the last whole event of a complete stream.
func (x *exchange) finishStream(resp *http.Response, control *http.ResponseController, rest []byte, res proxy.Result) bool {
	if len(rest) > 0 || !x.responseStarted {
		if err := x.writeEvents(resp, control, rest); err != nil {
			return x.reportInterrupted(err, res)
		}
	}
	x.reportSuccess(res)
	return true
}

// completeEventsLength returns the length of the whole events at the beginning of some bytes.
func completeEventsLength(raw []byte) int {
	end := 0
	for _, mark := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\r\r")} {
		if i := bytes.LastIndex(raw, mark); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}
