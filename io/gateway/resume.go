package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/proxy"
)

// errNotAfter means that a server sent an event that does not follow the last one.
var errNotAfter = errors.New("event in stream does not follow the last one")

// position is the position of a caller in a stream, all parts from different servers included.
type position struct {
	resumable    bool           // the ids of events are checked, because another server may continue the stream
	resumed      bool           // the server continues a stream that broke off
	begun        bool           // part of the response of this server was passed on
	joined       bool           // an event of this server was passed on
	broken       bool           // the stream broke off after it had begun
	cannotResume bool           // the stream cannot be continued
	server       netip.AddrPort // that sends the stream now

	lastID    string    // of the last event that was passed on; the caller's own before the first one
	last      uint64    // lastID as a number
	numbered  bool      // lastID is a number
	events    int       // events that were passed on
	withoutID bool      // the last event had no number as its id, so that no server can continue after it
	sparse    bool      // the ids are known not to be consecutive
	at        time.Time // when the last event was passed on, or the request arrived
}

// setCallerID sets the id of the event after which the caller resumes a stream.
func (p *position) setCallerID(id string) {
	p.lastID = id
	p.last, p.numbered = parseEventID(id)
}

// begin resets what concerns one server, for the response to a Forward.
func (p *position) begin(f proxy.Forward) {
	p.resumable, p.resumed, p.begun, p.joined = f.Resumable, f.Resume, false, false
	p.cannotResume = p.cannotResume && f.Resume
	p.server = f.Server.Addr
}

// advance moves the position to the end of some complete events. If one of them does not follow the one before it, advance
// returns an error and the length of those before it.
func (p *position) advance(events []byte) (int, error) {
	if !p.resumable {
		return len(events), nil
	}
	checked := 0
	for checked < len(events) {
		n := eventLength(events[checked:])
		if err := p.add(events[checked : checked+n]); err != nil {
			return checked, err
		}
		checked += n
	}
	return checked, nil
}

// add advances the position by an event, or returns an error if the event does not follow the last one.
func (p *position) add(raw []byte) error {
	id, ok := eventID(raw)
	if !ok {
		return nil // callers ignore it, for example a comment
	}
	number, numbered := parseEventID(id)
	first := p.resumed && !p.joined && p.events > 0
	switch {
	case first && !numbered:
		return fmt.Errorf("%w: id %q after %q, from another server", errNotAfter, id, p.lastID)
	case numbered && p.numbered && number <= p.last:
		return fmt.Errorf("%w: id %q after %q", errNotAfter, id, p.lastID)
	case first && !p.sparse && number != p.last+1:
		return fmt.Errorf("%w: id %q after %q, events are missing", errNotAfter, id, p.lastID)
	}
	p.at = time.Now()
	p.withoutID = !numbered
	if numbered {
		p.sparse = p.sparse || p.events > 0 && p.numbered && number != p.last+1
		p.lastID, p.last, p.numbered = id, number, true
	}
	p.events++
	p.joined = true
	return nil
}

// canResume reports whether the stream can be continued at another server.
func (p *position) canResume() bool {
	return p.resumable && !p.cannotResume && !p.withoutID
}

// removeLength removes the length of a response that another server may continue.
func (p *position) removeLength(h http.Header) {
	if p.resumable {
		h.Del("Content-Length")
	}
}

// eventLength returns the length of the first event, which ends with an empty line.
func eventLength(raw []byte) int {
	lineStart := 0
	for at := 0; at < len(raw); {
		i := bytes.IndexAny(raw[at:], "\r\n")
		if i < 0 {
			break
		}
		end := at + i + 1
		if raw[end-1] == '\r' && end < len(raw) && raw[end] == '\n' {
			end++
		}
		if at+i == lineStart {
			return end
		}
		at, lineStart = end, end
	}
	return len(raw)
}

// eventID returns the id of an event, empty for none. It reports false for what has neither an id nor data, such as a comment.
func eventID(raw []byte) (id string, ok bool) {
	for line := range bytes.FieldsFuncSeq(raw, isLineEnd) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			id, ok = string(bytes.TrimPrefix(value, []byte(" "))), true
		case "data":
			ok = true
		}
	}
	return id, ok
}

func isLineEnd(r rune) bool { return r == '\r' || r == '\n' }

// parseEventID parses the id of an event as a number.
func parseEventID(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	return n, err == nil
}

// reportBrokenOff reports a stream that its server broke off, which another server may continue. Whether the server's process
// has ended decides how many others may run the request.
func (x *exchange) reportBrokenOff(err error, res proxy.Result) bool {
	x.position.broken = x.responseStarted
	res.ConnRefused = x.position.resumable && x.callerConnected() && x.server.client.Refuses(x.r.Context(), x.position.server)
	return x.reportFailure(err, res)
}

// addPosition adds to the result of an attempt whether and from where another server can continue the stream.
func (x *exchange) addPosition(res *proxy.Result) {
	if x.responseStarted && x.position.canResume() {
		res.CanResume, res.LastEventID, res.SinceEvent = true, x.position.lastID, time.Since(x.position.at)
	}
}

// endsEarly reports whether no event of the server's response has been passed on. A response whose end is only marked by the end of
// its connection counts as broken off then.
func (p *position) endsEarly() bool { return !p.begun || p.resumed && !p.joined }

// mayResume reports whether an action continues a stream that broke off.
func (x *exchange) mayResume(a event.Action) bool {
	f, ok := a.(proxy.Forward)
	return ok && f.Resume && x.position.broken && x.position.canResume() && f.LastEventID == x.position.lastID
}

// countFinished counts a stream that is complete after it was resumed.
func (x *exchange) countFinished() {
	if x.position.resumed {
		x.server.vars.Add("streams_resumed_finished", 1)
	}
}

// countGivenUp counts a stream of a resumable route that broke off and is aborted.
func (x *exchange) countGivenUp() {
	if x.position.resumable && x.responseStarted {
		x.server.vars.Add("streams_given_up", 1)
	}
}
