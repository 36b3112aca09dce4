package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"bluebellflow/core/proxy"
	"bluebellflow/core/selfreport"
	"bluebellflow/io/membudget"
)

// maxEventBytes is the size limit for one event of a stream.
const maxEventBytes = 1 << 20

var (
	// errEventTooLarge means that no event boundary was found within maxEventBytes.
	errEventTooLarge = errors.New("event in stream is too large")
	// errStreamBrokenOff means that a stream ended inside an event, or before the first if nothing marks its end.
	errStreamBrokenOff = errors.New("stream ends inside an event")
)

// relayStream sends each event of a stream to the caller as soon as it has arrived completely. The connection to the server is
// closed before a failure is reported, so that the server has stopped when another one continues the stream.
func (x *exchange) relayStream(f proxy.Forward, resp *response, res proxy.Result) bool {
	defer func() { _ = resp.Close() }()
	x.position.begin(f)
	if f.Resume {
		x.server.vars.Add("streams_resumed", 1)
	}
	control := http.NewResponseController(x.w)
	var pending []byte
	buf := make([]byte, readBufferSize)
	for {
		n, err := resp.Read(buf)
		searched := max(0, len(pending)-maxSeparatorBytes+1)
		var ok bool
		if pending, ok = appendKept(resp, pending, buf[:n]); !ok {
			return x.reportInterrupted(membudget.ErrExhausted, res)
		}
		if end := completeEventsLength(pending, searched); end > 0 {
			if err := x.relayEvents(resp, res.Report, control, pending[:end]); err != nil {
				return x.reportInterrupted(err, res)
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return x.finishStream(resp, control, pending, res)
		case err != nil:
			_ = resp.Close()
			return x.reportBrokenOff(err, res)
		case len(pending) > maxEventBytes:
			return x.reportInterrupted(errEventTooLarge, res)
		}
	}
}

// relayEvents sends events to the caller. If one does not follow the event before it, relayEvents stops there, closes the connection
// to the server and returns an error.
func (x *exchange) relayEvents(resp *response, report selfreport.Report, control *http.ResponseController, events []byte) error {
	checked, idErr := x.position.advance(events)
	if checked > 0 {
		if err := x.writeEvents(resp.Response, report, control, events[:checked]); err != nil {
			return err
		}
	}
	if idErr != nil {
		x.server.vars.Add("stream_id_errors", 1)
		_ = resp.Close()
	}
	return idErr
}

// appendKept appends what was read of a stream, or reports false if there is no memory for it. Both buffers are counted before
// the larger one is allocated, because they exist together during the copy; the buffers of many streams could otherwise exceed the
// budget.
func appendKept(resp *response, pending, more []byte) ([]byte, bool) {
	if need := len(pending) + len(more); need > cap(pending) {
		larger := max(2*cap(pending), need)
		if !resp.Keep(cap(pending) + larger) {
			return nil, false
		}
		pending = append(make([]byte, 0, larger), pending...)
	}
	return append(pending, more...), true
}

// readBufferSize is the size in bytes of the buffer for reading a stream.
const readBufferSize = 8 << 10

// writeEvents sends events to the caller, preceded by the status and headers if nothing was sent yet.
func (x *exchange) writeEvents(resp *http.Response, report selfreport.Report, control *http.ResponseController, events []byte) error {
	if len(events) == 0 && x.responseStarted {
		return nil
	}
	if !x.responseStarted {
		x.responseStarted = true
		x.setProgress(responding)
		x.copyHeaders(resp)
		x.position.removeLength(x.w.Header())
		x.w.WriteHeader(resp.StatusCode)
	}
	if !x.position.begun {
		x.position.begun = true
		x.server.deliver(proxy.Began{Ticket: x.ticket, Status: resp.StatusCode, Report: report})
	}
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	x.events.Add(int64(countEvents(events)))
	return control.Flush()
}

// eventSeparators end the events of a stream.
var eventSeparators = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n"), []byte("\r\r")}

// countEvents returns the number of complete events.
func countEvents(events []byte) int {
	n := 0
	for _, separator := range eventSeparators {
		n += bytes.Count(events, separator)
	}
	return n
}

// finishStream completes a stream at its end, given what follows its last complete event.
func (x *exchange) finishStream(resp *response, control *http.ResponseController, rest []byte, res proxy.Result) bool {
	if insideEvent(rest) || x.position.endsEarly() && endsWithConn(resp.Response) {
		_ = resp.Close()
		return x.reportBrokenOff(errStreamBrokenOff, res)
	}
	if err := x.writeEvents(resp.Response, res.Report, control, rest); err != nil {
		return x.reportInterrupted(err, res)
	}
	x.countFinished()
	res.Events = int(x.events.Load())
	x.reportSuccess(res)
	return true
}

// insideEvent reports whether what follows the last complete event of a stream is the beginning of another one, and not only
// empty lines and comments.
func insideEvent(rest []byte) bool {
	for line := range bytes.FieldsFuncSeq(rest, isLineEnd) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

// endsWithConn reports whether only the end of the connection marks the end of a response.
func endsWithConn(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// maxSeparatorBytes is the length of the longest separator of events.
const maxSeparatorBytes = 4

// completeEventsLength returns the length of the complete events at the start of raw, 0 if none ends after from.
func completeEventsLength(raw []byte, from int) int {
	end := 0
	for _, separator := range eventSeparators {
		if i := bytes.LastIndex(raw[from:], separator); i >= 0 {
			end = max(end, from+i+len(separator))
		}
	}
	return end
}
