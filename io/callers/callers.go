package callers

import (
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
	"bluebellflow/io/problem"
)

const (
	// defaultMaxBody bounds a caller's request body, in bytes.
	defaultMaxBody = 1 << 20
	// defaultMaxRequests bounds the requests in progress on this node.
	defaultMaxRequests = 8192
	// defaultTimeout is the longest deadline of a pipeline; it applies to requests that name none.
	defaultTimeout = 8 * time.Second
	// maxBuffered bounds the part of an answer that waits for a slow caller, in bytes.
	maxBuffered = 8 << 20
	// maxKeys bounds the one-time keys issued by one call.
	maxKeys = 1000
	// readTimeout is how long a caller may take to send its body.
	readTimeout = 10 * time.Second
	// busyRetryAfter is when a caller may return that found too many requests in progress.
	busyRetryAfter = time.Second
)

// CommandRunner passes commands to the decision logic; *requestreply.Correlator implements it.
type CommandRunner interface {
	Do(ctx context.Context, build func(number uint64) event.Event) (event.CommandResult, error)
}

// KeysCommand builds the command that issues one-time keys; its answer's Value is encoded as the "keys" of the reply.
type KeysCommand func(number uint64, count int) event.Event

// Server answers callers.
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

	ready       atomic.Bool
	lastRequest atomic.Uint64

	mu         sync.Mutex
	inProgress map[id.Request]*replyQueue
}

// Option changes a server's defaults.
type Option func(*Server)

// WithKeys lets callers fetch one-time keys.
func WithKeys(asker CommandRunner, keys KeysCommand) Option {
	return func(s *Server) { s.runner, s.newKeysCommand = asker, keys }
}

// WithNow replaces the clock from which deadlines are computed.
func WithNow(now func() time.Time) Option { return func(s *Server) { s.now = now } }

// WithVars counts requests and problems in the given map, which is also what /debug/vars shows.
func WithVars(vars *expvar.Map) Option { return func(s *Server) { s.vars = vars } }

// WithLimits sets the largest body in bytes, the most requests in progress and the timeout of requests that name none.
func WithLimits(body int64, open int, timeout time.Duration) Option {
	return func(s *Server) { s.maxBody, s.maxRequests, s.timeout = body, open, timeout }
}

// WithBusy refuses requests while busy reports true, as when the event queue is too long.
func WithBusy(busy func() bool) Option { return func(s *Server) { s.busy = busy } }

// New returns a server that hands requests to deliver, which must not block.
func New(self event.Self, deliver func(event.Event), opts ...Option) *Server {
	s := &Server{
		self:        self,
		deliver:     deliver,
		now:         time.Now,
		vars:        new(expvar.Map),
		maxBody:     defaultMaxBody,
		maxRequests: defaultMaxRequests,
		timeout:     defaultTimeout,
		busy:        func() bool { return false },
		inProgress:  map[id.Request]*replyQueue{},
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

// SetReady says whether /readyz tells the load balancer to send callers here.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.inProgress)
}

// Reply passes a part of an answer to its caller without blocking; parts for callers that are gone are dropped.
func (s *Server) Reply(r event.Reply) {
	s.mu.Lock()
	x := s.inProgress[r.Request]
	s.mu.Unlock()
	if x == nil {
		s.vars.Add("replies_dropped", 1)
		return
	}
	x.push(r)
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

// runPipeline answers POST /v1/pipelines/{pipeline}.
func (s *Server) runPipeline(w http.ResponseWriter, req *http.Request) {
	arrive, status, err := s.parseRequest(w, req)
	if err != nil {
		s.vars.Add("problems_"+string(event.ProblemInvalid), 1)
		problem.Invalid(w, status, err.Error())
		return
	}
	x := newReplyQueue()
	if s.busy() || !s.register(arrive.Request, x) {
		p := event.Problem{Kind: event.ProblemRefused, Detail: "too many requests in progress on this node", RetryAfter: busyRetryAfter}
		if arrive.Key != "" {
			// An earlier request with the key may have run, and this node is too busy to find out.
			p.Kind = event.ProblemUnknown
		}
		s.vars.Add("problems_"+string(p.Kind), 1)
		problem.New(p, Status(p.Kind), "").Write(w)
		return
	}
	defer s.unregister(arrive.Request)
	s.vars.Add("requests", 1)
	w.Header().Set("Bluebellflow-Request", string(arrive.Request))
	s.deliver(arrive)
	answer := responder{server: s, w: w, request: arrive.Request}
	if arrive.Stream {
		err = answer.writeStream(req.Context(), x)
	} else {
		err = answer.writeJSON(req.Context(), x)
	}
	if err != nil {
		s.vars.Add("callers_gone", 1)
		s.deliver(event.CallerDisconnected{Request: arrive.Request})
		// The answer is cut off, so that no caller takes it for a complete one.
		if !errors.Is(err, context.Canceled) {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Server) register(name id.Request, x *replyQueue) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inProgress) >= s.maxRequests {
		return false
	}
	s.inProgress[name] = x
	return true
}

func (s *Server) unregister(name id.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inProgress, name)
}

// parseRequest turns an HTTP request into an event, or returns the status of its rejection.
func (s *Server) parseRequest(w http.ResponseWriter, req *http.Request) (event.RequestArrived, int, error) {
	var none event.RequestArrived
	pipeline := mux.Vars(req)["pipeline"]
	if err := checkName(pipeline); err != nil {
		return none, http.StatusBadRequest, fmt.Errorf("pipeline: %w", err)
	}
	h, err := parseHeaders(req.Header)
	if err != nil {
		var wrong *HeaderError
		if errors.As(err, &wrong) && wrong.Name == "Accept" {
			return none, http.StatusNotAcceptable, err
		}
		return none, http.StatusBadRequest, err
	}
	now := s.now()
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(readTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, s.maxBody))
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
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

// issueKeys answers POST /v1/keys.
func (s *Server) issueKeys(w http.ResponseWriter, req *http.Request) {
	if s.newKeysCommand == nil {
		problem.Invalid(w, http.StatusNotImplemented, "this node issues no keys")
		return
	}
	count, err := parseKeysBody(http.MaxBytesReader(w, req.Body, maxKey))
	if err != nil {
		problem.Invalid(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), s.timeout)
	defer cancel()
	answer, err := s.runner.Do(ctx, func(number uint64) event.Event { return s.newKeysCommand(number, count) })
	if err != nil {
		answer.Fault = &event.Problem{Kind: event.ProblemRefused, Detail: err.Error(), RetryAfter: busyRetryAfter}
	}
	if answer.Fault != nil {
		problem.New(*answer.Fault, Status(answer.Fault.Kind), "").Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(map[string]any{"keys": answer.Value})
}

// parseKeysBody reads {"count":N}; an empty body asks for one key.
func parseKeysBody(body io.Reader) (int, error) {
	raw, err := io.ReadAll(body)
	if err != nil {
		return 0, fmt.Errorf("read body: %w", err)
	}
	if len(raw) == 0 {
		return 1, nil
	}
	var wanted struct {
		Count int `json:"count"`
	}
	if err := json.Unmarshal(raw, &wanted); err != nil {
		return 0, fmt.Errorf("decode body: %w", err)
	}
	if wanted.Count < 1 || wanted.Count > maxKeys {
		return 0, fmt.Errorf("count %d is not between 1 and %d", wanted.Count, maxKeys)
	}
	return wanted.Count, nil
}
