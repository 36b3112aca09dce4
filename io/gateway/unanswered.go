package gateway

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/io/httpserver"
)

// Causes of unanswered requests besides those of package httpserver.
const (
	causeAborted = "aborted" // the decision logic ended a response that could not be completed
	causeExit    = "exit"
)

// recentChange is how long after a change unanswered requests are reported with its age.
const recentChange = 10 * time.Second

// progress is how far the gateway has got with a request.
type progress int32

const (
	reading    progress = iota // its body is being read
	undecided                  // the decision logic has not chosen a server yet; its stages may be running
	forwarded                  // it was sent to a server
	responding                 // part of the response was passed on
)

// String returns the name of the progress in log lines.
func (p progress) String() string {
	return [...]string{"reading", "undecided", "forwarded", "responding"}[p]
}

// setProgress records how far the gateway has got. Once part of a response was passed on, that does not change.
func (x *exchange) setProgress(p progress) {
	if progress(x.progress.Load()) != responding {
		x.progress.Store(int32(p))
	}
}

// OpenRequest describes a request without a complete response.
type OpenRequest struct {
	Name     id.Request // empty if it is not known yet
	Cause    string     // why its connection is closed, empty while it is open
	Progress string
	Events   int // of a stream that were passed on
	Age      time.Duration
	Recent   string // changes of the node within recentChange, with their ages
	Detail   string // failure of the last attempt, empty for none
}

// Reason returns the inputs for a log line.
func (r OpenRequest) Reason() string {
	text := []string{"by=" + r.Cause, "age=" + r.Age.Round(time.Millisecond).String()}
	if r.Events > 0 {
		text = append(text, fmt.Sprintf("events=%d", r.Events))
	}
	for _, more := range []string{r.Recent, r.Detail} {
		if more != "" {
			text = append(text, more)
		}
	}
	return strings.Join(text, " ")
}

// describe returns a description of the exchange. It may be called during the exchange.
func (x *exchange) describe() OpenRequest {
	p := progress(x.progress.Load())
	r := OpenRequest{Progress: p.String(), Events: int(x.events.Load()), Age: time.Since(x.start)}
	if p != reading {
		r.Name = x.info.Name
	}
	return r
}

// disconnectCause returns why the connection of an exchange has ended.
func (x *exchange) disconnectCause() string {
	if cause := httpserver.ClosedBy(x.r); cause != 0 {
		return cause.String()
	}
	return httpserver.ByCaller.String()
}

// ReportUnanswered reports all requests in progress as unanswered, because their connections are about to be closed.
func (s *Server) ReportUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.inProgress {
		s.report(x, causeExit, "")
	}
}

// reportUnanswered counts and reports a request that gets no complete response of a server although it was sent to one, or
// none at all. It must be called by the handler of the request.
func (s *Server) reportUnanswered(x *exchange, cause string) { s.report(x, cause, x.lastFailure) }

func (s *Server) report(x *exchange, cause, detail string) {
	if x.reported.Swap(true) {
		return
	}
	r := x.describe()
	r.Cause, r.Detail = cause, detail
	s.reportOpen(r)
}

// ReportConn reports a request that no exchange knows of.
func (s *Server) ReportConn(u httpserver.Unanswered) {
	s.reportOpen(OpenRequest{Cause: u.By.String(), Progress: u.Progress, Age: u.Age})
}

func (s *Server) reportOpen(r OpenRequest) {
	r.Recent = s.changes.recent()
	s.vars.Add("requests_unanswered", 1)
	s.vars.Add("unanswered_"+r.Cause, 1)
	s.onUnanswered(r)
}

// changes holds when the node was last told to change.
type changes struct{ stop, config, reload changeTime }

// recent returns the ages of the changes within recentChange, and that of a stop in any case.
func (c *changes) recent() string {
	var text []string
	for _, change := range []struct {
		name string
		at   *changeTime
		max  time.Duration
	}{{"stopping", &c.stop, 0}, {"config", &c.config, recentChange}, {"reload", &c.reload, recentChange}} {
		age, ok := change.at.age()
		if ok && (change.max == 0 || age < change.max) {
			text = append(text, fmt.Sprintf("%s=%s", change.name, age.Round(time.Millisecond)))
		}
	}
	return strings.Join(text, " ")
}

// changeTime is when something changed last; its zero value stands for never.
type changeTime struct{ at atomic.Pointer[time.Time] }

func (c *changeTime) now() {
	now := time.Now()
	c.at.Store(&now)
}

// age returns the time since the change, and false if there was none.
func (c *changeTime) age() (time.Duration, bool) {
	at := c.at.Load()
	if at == nil {
		return 0, false
	}
	return time.Since(*at), true
}

// Reloaded records that the operator asked the process to reload its settings.
func (s *Server) Reloaded() { s.changes.reload.now() }
