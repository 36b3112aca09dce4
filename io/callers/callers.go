package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/io/httpserver"
	"bluebellflow/io/membudget"
	"bluebellflow/io/problem"
)

const (
	// defaultMaxBodyBytes is the maximum size of a request body, in bytes.
	defaultMaxBodyBytes = 1 << 20
	// defaultMaxRequests is the maximum number of requests in progress on this node.
	defaultMaxRequests = 8192
	// defaultTimeout applies to requests without Request-Timeout; it is the longest deadline of a pipeline.
	defaultTimeout = 8 * time.Second
	// maxBufferedBytes is the maximum size of the output that is buffered for one caller, in bytes.
	maxBufferedBytes = 8 << 20
	// defaultMemory is the size of the replies that may wait for all callers together, in bytes.
	defaultMemory = 64 << 20
	// maxKeys is the maximum number of one-time keys issued by one call.
	maxKeys = 1000
	// busyRetryAfter is the Retry-After of a request that is refused because the node is busy.
	busyRetryAfter = time.Second
)

// CommandRunner passes a command to the decision logic and returns its result; *requestreply.Correlator implements it.
type CommandRunner interface {
	Do(ctx context.Context, build func(number uint64) event.Event) (event.CommandResult, error)
}

// KeysCommand builds the command that issues one-time keys. The Value of its result is encoded as "keys" in the response.
type KeysCommand func(number uint64, count int) event.Event

// Server serves the HTTP interface for callers.
type Server struct {
	self           event.Self
	deliver        func(event.Event)
	runner         CommandRunner
	newKeysCommand KeysCommand
	now            func() time.Time
	vars           *expvar.Map
	maxBody        int64
	maxRequests    int
	timeout        time.Duration
	busy           func() bool
	memory         *membudget.Budget // for replies that wait for their callers

	ready       atomic.Bool
	lastRequest atomic.Uint64

	mu         sync.Mutex
	inProgress map[id.Request]*replyQueue
	stopped    bool // no more replies will come
}

// Option sets an option of a Server.
type Option func(*Server)

// WithKeys enables the resource that issues one-time keys.
func WithKeys(runner CommandRunner, newCommand KeysCommand) Option {
	return func(s *Server) { s.runner, s.newKeysCommand = runner, newCommand }
}

// WithNow sets the clock from which deadlines are computed.
func WithNow(now func() time.Time) Option { return func(s *Server) { s.now = now } }

// WithVars counts requests and problems in the given map, which /debug/vars returns.
func WithVars(vars *expvar.Map) Option { return func(s *Server) { s.vars = vars } }

// WithLimits sets the maximum size of a body in bytes, the maximum number of requests in progress, and the timeout of
// requests without Request-Timeout.
func WithLimits(maxBody int64, maxRequests int, timeout time.Duration) Option {
	return func(s *Server) { s.maxBody, s.maxRequests, s.timeout = maxBody, maxRequests, timeout }
}

// WithBusy refuses requests while busy returns true, for example while the event queue is too long.
func WithBusy(busy func() bool) Option { return func(s *Server) { s.busy = busy } }

// WithMemory bounds the bytes of the replies that wait for their callers together.
func WithMemory(b *membudget.Budget) Option { return func(s *Server) { s.memory = b } }

// New returns a Server that passes requests to deliver, which must not block.
func New(self event.Self, deliver func(event.Event), opts ...Option) *Server {
	s := &Server{
		self:        self,
		deliver:     deliver,
		now:         time.Now,
		vars:        new(expvar.Map),
		maxBody:     defaultMaxBodyBytes,
		maxRequests: defaultMaxRequests,
		timeout:     defaultTimeout,
		busy:        func() bool { return false },
		inProgress:  map[id.Request]*replyQueue{},
		memory:      membudget.New(defaultMemory),
	}
	for _, o := range opts {
		o(s)
	}
	return s
}

// Handler returns the routes of the interface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/pipelines/{pipeline}", s.runPipeline).Methods(http.MethodPost)
	r.HandleFunc("/v1/keys", s.issueKeys).Methods(http.MethodPost)
	r.HandleFunc("/healthz", s.health).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/readyz", s.readiness).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/debug/vars", s.debugVars).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		problem.Invalid(w, http.StatusNotFound, "no resource "+req.URL.Path)
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		problem.Invalid(w, http.StatusMethodNotAllowed, "method "+req.Method+" is not allowed for "+req.URL.Path)
	})
	return r
}

// SetReady sets whether /readyz tells the load balancer to send callers to this node.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.inProgress)
}

// Stop tells the server that no more replies will come: requests without a final one get the problem that their outcome is
// unknown, and those that arrive from now on are refused.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for request, queue := range s.inProgress {
		queue.push(event.Reply{Request: request, Problem: &event.Problem{Kind: event.ProblemUnknown, Detail: "this node has stopped", RetryAfter: busyRetryAfter}})
	}
}

// Reply queues a part of a response for its caller without blocking; parts for callers that have disconnected are dropped.
func (s *Server) Reply(r event.Reply) {
	s.mu.Lock()
	queue := s.inProgress[r.Request]
	s.mu.Unlock()
	if queue == nil {
		s.vars.Add("replies_dropped", 1)
		return
	}
	queue.push(r)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }

func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) debugVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = io.WriteString(w, s.vars.String()+"\n")
}

// runPipeline handles POST /v1/pipelines/{pipeline}.
func (s *Server) runPipeline(w http.ResponseWriter, req *http.Request) {
	arrived, status, err := s.parseRequest(w, req)
	if errors.Is(err, httpserver.ErrBusy) {
		s.refuseBusy(w, arrived)
		return
	}
	if err != nil {
		s.vars.Add("problems_"+string(event.ProblemInvalid), 1)
		problem.Invalid(w, status, err.Error())
		return
	}
	queue := newReplyQueue(s.memory.NewShare(), !arrived.Stream)
	defer queue.release()
	if s.busy() || !s.register(arrived.Request, queue) {
		s.refuseBusy(w, arrived)
		return
	}
	defer s.unregister(arrived.Request)
	s.vars.Add("requests", 1)
	w.Header().Set("Bluebellflow-Request", string(arrived.Request))
	s.deliver(arrived)
	response := responder{server: s, w: w, request: arrived.Request}
	if arrived.Stream {
		err = response.writeStream(req.Context(), queue)
	} else {
		err = response.writeJSON(req.Context(), queue)
	}
	if err != nil {
		s.vars.Add("callers_gone", 1)
		s.deliver(event.CallerDisconnected{Request: arrived.Request})
		// The connection is aborted, so that no caller takes a partial response for a complete one. A caller that has closed
		// only its own side of the connection would get 200 with an empty body from net/http.
		panic(http.ErrAbortHandler)
	}
}

// refuseBusy refuses a request for which this node has no room.
func (s *Server) refuseBusy(w http.ResponseWriter, arrived event.RequestArrived) {
	p := event.Problem{Kind: event.ProblemRefused, Detail: "this node has stopped, or has too many requests in progress", RetryAfter: busyRetryAfter}
	if arrived.Key != "" {
		// An earlier request with the key may have run; this node is too busy to look it up.
		p.Kind = event.ProblemUnknown
	}
	s.vars.Add("problems_"+string(p.Kind), 1)
	problem.New(p, Status(p.Kind), "").Write(w)
}

func (s *Server) register(request id.Request, queue *replyQueue) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || len(s.inProgress) >= s.maxRequests {
		return false
	}
	s.inProgress[request] = queue
	return true
}

func (s *Server) unregister(request id.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inProgress, request)
}

// parseRequest returns the event for an HTTP request, or an error and the status with which the request is rejected.
func (s *Server) parseRequest(w http.ResponseWriter, req *http.Request) (event.RequestArrived, int, error) {
	var none event.RequestArrived
	pipeline := mux.Vars(req)["pipeline"]
	if err := checkName(pipeline); err != nil {
		return none, http.StatusBadRequest, fmt.Errorf("pipeline: %w", err)
	}
	h, err := parseHeaders(req.Header)
	if err != nil {
		var invalid *HeaderError
		if errors.As(err, &invalid) && invalid.Name == "Accept" {
			return none, http.StatusNotAcceptable, err
		}
		return none, http.StatusBadRequest, err
	}
	now := s.now()
	body, err := httpserver.ReadBody(w, req, s.maxBody)
	if errors.Is(err, httpserver.ErrBusy) {
		return event.RequestArrived{Key: h.key}, http.StatusServiceUnavailable, err
	}
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return none, http.StatusRequestEntityTooLarge, fmt.Errorf("body larger than %d bytes", s.maxBody)
		}
		return none, http.StatusBadRequest, fmt.Errorf("read body: %w", err)
	}
	if h.timeout == 0 {
		h.timeout = s.timeout
	}
	return event.RequestArrived{
		Request:   id.Request(string(s.self.Incarnation) + "." + strconv.FormatUint(s.lastRequest.Add(1), 10)),
		Workspace: h.workspace,
		Pipeline:  id.Pipeline(pipeline),
		Priority:  h.priority,
		Deadline:  now.Add(h.timeout),
		Key:       h.key,
		Body:      body,
		Stream:    h.stream,
	}, 0, nil
}

// issueKeys handles POST /v1/keys.
func (s *Server) issueKeys(w http.ResponseWriter, req *http.Request) {
	if s.newKeysCommand == nil {
		problem.Invalid(w, http.StatusNotImplemented, "this node issues no keys")
		return
	}
	count, err := readKeysBody(w, req)
	if err != nil {
		problem.Invalid(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), s.timeout)
	defer cancel()
	result, err := s.runner.Do(ctx, func(number uint64) event.Event { return s.newKeysCommand(number, count) })
	if err != nil {
		result.Fault = &event.Problem{Kind: event.ProblemRefused, Detail: err.Error(), RetryAfter: busyRetryAfter}
	}
	if result.Fault != nil {
		problem.New(*result.Fault, Status(result.Fault.Kind), "").Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(map[string]any{"keys": result.Value})
}

func readKeysBody(w http.ResponseWriter, req *http.Request) (int, error) {
	raw, err := httpserver.ReadBody(w, req, maxKeyBytes)
	if err != nil {
		return 0, fmt.Errorf("read body: %w", err)
	}
	return parseKeysBody(bytes.NewReader(raw))
}

// parseKeysBody parses {"count":N}; an empty body requests one key.
func parseKeysBody(body io.Reader) (int, error) {
	raw, err := io.ReadAll(body)
	if err != nil {
		return 0, fmt.Errorf("read body: %w", err)
	}
	if len(raw) == 0 {
		return 1, nil
	}
	var request struct {
		Count int `json:"count"`
	}
	if err := json.Unmarshal(raw, &request); err != nil {
		return 0, fmt.Errorf("decode body: %w", err)
	}
	if request.Count < 1 || request.Count > maxKeys {
		return 0, fmt.Errorf("count %d is not between 1 and %d", request.Count, maxKeys)
	}
	return request.Count, nil
}
