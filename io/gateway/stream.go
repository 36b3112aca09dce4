package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"bluebellflow/core/proxy"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// errEvent means that an event does not end.
var errEvent = errors.New("event of a stream is too large")

// stream passes on a stream of events as they come, each event whole.
func (x *exchange) stream(a *answer, res proxy.Result) bool {
	defer func() { _ = a.Close() }()
	control := http.NewResponseController(x.w)
	var pending []byte
	buf := make([]byte, readBytes)
	for {
		n, err := a.Read(buf)
		pending = append(pending, buf[:n]...)
		if end := lastEvent(pending); end > 0 {
			if werr := x.pass(a.Response, control, pending[:end]); werr != nil {
				return x.cutShort(werr, res)
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return x.streamEnded(a.Response, control, pending, res)
		case err != nil:
			return x.cutShort(err, res)
		case len(pending) > maxEvent:
			return x.cutShort(errEvent, res)
		}
	}
}

// readBytes is the most that one read of a stream takes, in bytes.
const readBytes = 8 << 10

// pass sends whole events to the caller.
func (x *exchange) pass(resp *http.Response, control *http.ResponseController, events []byte) error {
	if !x.begun {
		x.begun = true
		x.copyHead(resp)
		x.w.WriteHeader(resp.StatusCode)
		x.server.deliver(proxy.Began{Ticket: x.ticket})
	}
	_ = control.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return control.Flush()
}

// streamEnded passes on what came after the last whole event of a complete stream.
func (x *exchange) streamEnded(resp *http.Response, control *http.ResponseController, rest []byte, res proxy.Result) bool {
	if len(rest) > 0 || !x.begun {
		if err := x.pass(resp, control, rest); err != nil {
			return x.cutShort(err, res)
		}
	}
	x.end(res)
	return true
}

// lastEvent returns the length of the whole events at the beginning of some bytes.
func lastEvent(raw []byte) int {
	end := 0
	for _, mark := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\r\r")} {
		if i := bytes.LastIndex(raw, mark); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}
