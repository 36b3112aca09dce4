package gateway

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/catalog"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
	"bluebellflow/core/selfreport"
	"bluebellflow/core/typename"
	"bluebellflow/io/httpserver"
	"bluebellflow/io/upstream"
)

const (
	// busyRetryAfter is the Retry-After of a request that is refused because there is no memory for its body.
	busyRetryAfter = time.Second
	// defaultMaxBodyBytes limits the size of a request body in bytes until the configuration is loaded.
	defaultMaxBodyBytes = 1 << 20
	// writeTimeout is the time limit for one write to a caller.
	writeTimeout = 5 * time.Second
	// actionQueueSize is the maximum number of queued actions for one request.
	actionQueueSize = 8
)

// ResponseInfo is what a response tells about its server and its request.
type ResponseInfo struct {
	NotRun     bool // the server says that it did not run the request
	Moved      bool // a different server responded at the address
	InputsGone bool // the server no longer holds an input of the request
	Sealed     bool // the seal header shows that a server produced the response
	// PromisesNotRun is set if callers take the status as the promise that their request was not run and never will be.
	PromisesNotRun bool
	selfreport.Report
}

// Dialect translates between HTTP headers and the types of the decision logic.
type Dialect interface {
	// RequestInfo reads a caller's request.
	RequestInfo(r *http.Request) (proxy.RequestInfo, error)
	// SetRequestHeaders turns the headers of a caller's request into those for a server; left is the time until the
	// deadline.
	SetRequestHeaders(h http.Header, f proxy.Forward, left time.Duration)
	// Matches tells whether a response belongs to the request.
	Matches(name id.Request, resp *http.Response) upstream.Match
	// ResponseInfo reads a server's response.
	ResponseInfo(resp *http.Response) ResponseInfo
	// SetRefusalHeaders sets the headers of an error response of the gateway itself.
	SetRefusalHeaders(h http.Header, name id.Request)
}

// Server handles the HTTP requests of callers.
type Server struct {
	dialect Dialect
	client  *upstream.Client
	deliver func(event.Event)
	vars    *expvar.Map

	limits     atomic.Pointer[catalog.Limits]
	catalog    atomic.Pointer[catalog.Catalog]
	ready      atomic.Bool
	draining   atomic.Bool
	lastTicket atomic.Uint64
	latency    latencies
	stopped    context.Context // ended by Stop
	stop       context.CancelFunc

	onUnanswered func(OpenRequest) // told of requests that are left without a complete response
	changes      changes

	mu         sync.Mutex
	inProgress map[proxy.Ticket]*exchange
}

// Option changes a server's defaults.
type Option func(*Server)

// WithVars sets the map in which requests and outcomes are counted.
func WithVars(vars *expvar.Map) Option { return func(s *Server) { s.vars = vars } }

// WithUnanswered sets a function that is told of each request that is left without a complete response.
func WithUnanswered(f func(OpenRequest)) Option { return func(s *Server) { s.onUnanswered = f } }

// New returns a server that passes requests and their outcomes to deliver, which must not block.
func New(dialect Dialect, client *upstream.Client, deliver func(event.Event), opts ...Option) *Server {
	s := &Server{
		dialect: dialect, client: client, deliver: deliver, vars: new(expvar.Map),
		inProgress:   map[proxy.Ticket]*exchange{},
		onUnanswered: func(OpenRequest) {},
	}
	s.stopped, s.stop = context.WithCancel(context.Background())
	s.limits.Store(&catalog.Limits{BodyBytes: defaultMaxBodyBytes})
	for _, o := range opts {
		o(s)
	}
	s.vars.Set("latency_ms", expvar.Func(s.latency.value))
	return s
}

// SetReady sets whether ServeReadiness reports the node as ready.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// ServeReadiness handles the readiness check of the load balancer.
func (s *Server) ServeReadiness(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// Execute passes an action to the request that it concerns, or applies it to the server.
func (s *Server) Execute(a event.Action) error {
	switch a := a.(type) {
	case proxy.Forward:
		s.sendAction(a.Ticket, a)
	case proxy.Deliver:
		s.sendAction(a.Ticket, a)
	case proxy.Refuse:
		s.sendAction(a.Ticket, a)
	case proxy.Abort:
		s.sendAction(a.Ticket, a)
	case proxy.Limit:
		s.changes.config.now()
		s.limits.Store(&a.Limits)
		s.catalog.Store(a.Catalog)
	case proxy.ConnLimited:
		s.vars.Add("conn_limit_"+string(a.Outcome), 1)
	case proxy.Drain:
		s.changes.stop.now()
		s.draining.Store(true)
	default:
		return fmt.Errorf("no executor for action %s", typename.Of(a))
	}
	return nil
}

// sendAction queues an action for a request in progress; actions for other requests are ignored.
func (s *Server) sendAction(t proxy.Ticket, a event.Action) {
	s.mu.Lock()
	x := s.inProgress[t]
	s.mu.Unlock()
	if x == nil {
		return
	}
	select {
	case x.actions <- a:
	default:
		s.vars.Add("directives_dropped", 1)
	}
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.inProgress)
}

// exchange is a caller's request in progress.
type exchange struct {
	server          *Server
	ticket          proxy.Ticket
	info            proxy.RequestInfo
	w               http.ResponseWriter
	r               *http.Request
	body            []byte
	bodyUnread      bool // the decision logic will refuse the request
	actions         chan event.Action
	held            *response
	mayHaveRun      bool     // a server may have run it
	responseStarted bool     // the response to the caller has begun
	position        position // of the stream that the caller gets
	start           time.Time
	events          atomic.Int64 // complete events of a stream that were sent to the caller
	progress        atomic.Int32 // a progress
	lastFailure     string       // of the last attempt
	reported        atomic.Bool  // as unanswered
}

// recordLatency adds the time since the request arrived to a histogram.
func (x *exchange) recordLatency(h *histogram) { h.observe(time.Since(x.start)) }

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.vars.Add("requests", 1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := s.open(w, r)
	defer s.remove(x.ticket)
	if status, err := x.readRequest(); err != nil {
		s.vars.Add("requests_rejected", 1)
		if r.Context().Err() != nil {
			x.closeUnanswered(x.disconnectCause())
		}
		refusal := proxy.Refuse{Status: status, Reason: err.Error()}
		if status == http.StatusServiceUnavailable {
			refusal.After = busyRetryAfter
		}
		x.refuse(refusal)
		return
	}
	x.info.Fingerprint = requestFingerprint(r, x.body)
	x.setProgress(undecided)
	s.deliver(proxy.Arrive{Ticket: x.ticket, RequestInfo: x.info})
	x.serve()
}

// open returns an exchange that is in progress.
func (s *Server) open(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{
		server: s, ticket: proxy.Ticket(s.lastTicket.Add(1)), w: w, r: r,
		actions: make(chan event.Action, actionQueueSize), start: time.Now(),
	}
	x.position.at = x.start
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress[x.ticket] = x
	return x
}

func (s *Server) remove(t proxy.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inProgress, t)
}

// readRequest reads the headers and the body, or returns an error and the HTTP status for it.
func (x *exchange) readRequest() (int, error) {
	limits := x.server.limits.Load()
	if limits.HeaderBytes > 0 && headerSize(x.r) > limits.HeaderBytes {
		return http.StatusRequestHeaderFieldsTooLarge, fmt.Errorf("headers larger than %d bytes", limits.HeaderBytes)
	}
	info, err := x.server.dialect.RequestInfo(x.r)
	if err != nil {
		return http.StatusBadRequest, err
	}
	x.info = info
	x.position.setCallerID(info.LastEventID)
	if x.r.ContentLength == 0 {
		return 0, nil
	}
	if c := x.server.catalog.Load(); c != nil && !c.Admits(info.Host, info.Path, info.Key) {
		x.bodyUnread = true
		x.w.Header().Set("Connection", "close")
		return 0, nil
	}
	x.body, err = httpserver.ReadBody(x.w, x.r, limits.BodyBytes)
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return 0, nil
	case errors.As(err, &large):
		return http.StatusRequestEntityTooLarge, fmt.Errorf("body larger than %d bytes", limits.BodyBytes)
	case errors.Is(err, httpserver.ErrBusy):
		return http.StatusServiceUnavailable, err
	}
	return http.StatusRequestTimeout, fmt.Errorf("read body: %w", err)
}

// refuseUnread refuses a request whose body was not read, although a configuration that was loaded meanwhile admits it.
func (x *exchange) refuseUnread() {
	x.server.deliver(proxy.Disconnected{Ticket: x.ticket})
	x.refuse(proxy.Refuse{Status: http.StatusServiceUnavailable, After: busyRetryAfter})
}

// requestFingerprint hashes method, host, target and body. It does not depend on the request name chosen by the caller.
func requestFingerprint(r *http.Request, body []byte) id.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Method + " " + r.Host + r.RequestURI + "\n") // never fails
	_, _ = d.Write(body)
	return id.Fingerprint(d.Sum64())
}

func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}

// serve executes the actions of the decision logic until the exchange is complete or the caller disconnects.
func (x *exchange) serve() {
	defer x.discardHeld()
	for {
		select {
		case <-x.r.Context().Done():
			x.server.vars.Add("callers_gone", 1)
			x.recordLatency(&x.server.latency.disconnected)
			x.server.deliver(proxy.Disconnected{Ticket: x.ticket})
			x.closeUnanswered(x.disconnectCause())
		case a := <-x.actions:
			if x.execute(a) {
				return
			}
		case <-x.server.stopped.Done():
			x.end()
			return
		}
	}
}

// execute executes one action and reports whether the exchange is complete. Once part of a response has reached the caller,
// nothing of another one may follow but the rest of a stream: the connection is closed instead.
func (x *exchange) execute(a event.Action) bool {
	if x.responseStarted && !x.mayResume(a) {
		x.abort()
	}
	switch a := a.(type) {
	case proxy.Forward:
		if x.server.stopped.Err() != nil {
			return false // serve ends the exchange
		}
		if x.bodyUnread {
			x.refuseUnread()
			return true
		}
		x.discardHeld()
		return x.forward(a)
	case proxy.Deliver:
		x.sendHeld()
		return true
	case proxy.Refuse:
		x.refuse(a)
		return true
	case proxy.Abort:
		x.abort()
	}
	return false
}

// abort closes the connection to the caller, which cannot take the response for complete then.
func (x *exchange) abort() {
	x.countGivenUp()
	x.recordLatency(&x.server.latency.aborted)
	x.closeUnanswered(causeAborted)
}

// closeUnanswered reports a request as unanswered, ends its handler and closes its connection. If the handler returned instead,
// net/http would send 200 with an empty body, or the end of the body, to a caller that has closed only its own side of the
// connection.
func (x *exchange) closeUnanswered(cause string) {
	x.server.reportUnanswered(x, cause)
	panic(http.ErrAbortHandler)
}

// discardHeld closes a response that was held back.
func (x *exchange) discardHeld() {
	if x.held != nil {
		_ = x.held.Close()
		x.held = nil
	}
}

// refuse sends an error response of the gateway itself.
func (x *exchange) refuse(a proxy.Refuse) {
	if x.responseStarted {
		x.abort()
	}
	x.server.vars.Add("refused_"+strconv.Itoa(a.Status), 1)
	x.recordLatency(&x.server.latency.refused)
	h := x.w.Header()
	if a.After > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.After.Seconds(), 'f', 3, 64))
	}
	x.server.dialect.SetRefusalHeaders(h, x.info.Name)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h["Date"] = nil
	text := http.StatusText(a.Status) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.w.WriteHeader(a.Status)
	_, _ = io.WriteString(x.w, text)
}

// callerConnected reports whether the caller is still connected.
func (x *exchange) callerConnected() bool { return !errors.Is(x.r.Context().Err(), context.Canceled) }
