package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/io/problem"
	"bluebellflow/io/requestreply"
)

const (
	// Prefix is the path prefix of all resources.
	Prefix = "/admin/v1"
	// MaxConfigBytes is the maximum size of a settings tree in bytes; 21,000 workspaces of a few hundred bytes each fit.
	MaxConfigBytes = 32 << 20
	// maxBodyBytes is the maximum size of any other request body in bytes.
	maxBodyBytes = 64 << 10
	// maxNameBytes is the maximum length of a name in a path, query or body, in bytes.
	maxNameBytes = 128
	// defaultTimeout is how long a command may take before its outcome is reported as unknown.
	defaultTimeout = 15 * time.Second
)

// CommandRunner passes a command to the decision logic and returns its result; *requestreply.Correlator implements it.
type CommandRunner interface {
	Do(ctx context.Context, build func(number uint64) event.Event) (event.CommandResult, error)
}

// ExplainQuery selects the settings that the explain command reports.
type ExplainQuery struct {
	Workspace     id.Workspace
	Pipeline      id.Pipeline
	FailureDomain id.FailureDomain
	Key           string
}

// Rollout describes a version rollout that an operator starts.
type Rollout struct {
	Name     string     `json:"name"`
	Pool     id.Pool    `json:"pool"`
	From     id.Version `json:"from"`
	To       id.Version `json:"to"`
	FinishBy time.Time  `json:"by"`
}

// Commands builds the operator commands of the decision logic. A request whose function is nil is answered with 501. The
// parameter seen is the newest configuration revision that the operator has seen, and expect is the revision that the new
// configuration replaces; 0 stands for any.
type Commands struct {
	Config       func(number uint64, seen id.Revision) event.Event
	Apply        func(number uint64, source []byte, expect id.Revision) event.Event
	Explain      func(number uint64, seen id.Revision, q ExplainQuery) event.Event
	Status       func(number uint64, seen id.Revision) event.Event
	Drain        func(number uint64, domain id.FailureDomain, by string) event.Event
	Restore      func(number uint64, domain id.FailureDomain, by string) event.Event
	BeginRollout func(number uint64, r Rollout) event.Event
	ListRollouts func(number uint64) event.Event
}

// API serves the administration API.
type API struct {
	runner   CommandRunner
	commands Commands
	now      func() time.Time
	timeout  time.Duration
}

// Option changes an API's defaults.
type Option func(*API)

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(a *API) { a.now = now } }

// WithTimeout sets how long a command may take before its outcome is reported as unknown.
func WithTimeout(d time.Duration) Option { return func(a *API) { a.timeout = d } }

// New returns the API for the given commands.
func New(runner CommandRunner, commands Commands, opts ...Option) *API {
	a := &API{runner: runner, commands: commands, now: time.Now, timeout: defaultTimeout}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Handler returns the routes under /admin/v1.
func (a *API) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(Prefix+"/config", a.commandHandler(a.readConfig)).Methods(http.MethodGet)
	r.HandleFunc(Prefix+"/config", a.commandHandler(a.applyConfig)).Methods(http.MethodPut)
	r.HandleFunc(Prefix+"/explain", a.commandHandler(a.explain)).Methods(http.MethodGet)
	r.HandleFunc(Prefix+"/status", a.commandHandler(a.status)).Methods(http.MethodGet)
	r.HandleFunc(Prefix+"/domains/{domain}/drain", a.commandHandler(a.drain)).Methods(http.MethodPost)
	r.HandleFunc(Prefix+"/domains/{domain}/restore", a.commandHandler(a.restore)).Methods(http.MethodPost)
	r.HandleFunc(Prefix+"/moves", a.commandHandler(a.listRollouts)).Methods(http.MethodGet)
	r.HandleFunc(Prefix+"/moves", a.commandHandler(a.beginRollout)).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		problem.Invalid(w, http.StatusNotFound, "no resource "+req.URL.Path)
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		problem.Invalid(w, http.StatusMethodNotAllowed, "method "+req.Method+" is not allowed for "+req.URL.Path)
	})
	return r
}

// commandBuilder returns a command with the given number.
type commandBuilder func(number uint64) event.Event

// requestError rejects a request before a command is built from it.
type requestError struct {
	status int
	detail string
}

// Error returns the reason.
func (e *requestError) Error() string { return e.detail }

func badRequest(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

func notSupported(name string) error {
	return &requestError{http.StatusNotImplemented, "this node does not support " + name}
}

// commandHandler parses a request into a command, passes it to the decision logic and writes the result.
func (a *API) commandHandler(parse func(*http.Request) (commandBuilder, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		build, err := parse(req)
		if err != nil {
			status := http.StatusBadRequest
			var rejected *requestError
			if errors.As(err, &rejected) {
				status = rejected.status
			}
			problem.Invalid(w, status, err.Error())
			return
		}
		ctx, cancel := context.WithTimeout(req.Context(), a.timeout)
		defer cancel()
		result, err := a.runner.Do(ctx, build)
		if err != nil {
			result.Fault = noResultProblem(req.Method, err)
		}
		if result.Fault != nil {
			problem.New(*result.Fault, Status(*result.Fault), "").Write(w)
			return
		}
		writeValue(w, result.Value)
	}
}

// noResultProblem returns the problem of a command without a result. A GET request has no effect, so only other commands
// may still take effect.
func noResultProblem(method string, err error) *event.Problem {
	if errors.Is(err, requestreply.ErrBusy) {
		return &event.Problem{Kind: event.ProblemRefused, Detail: err.Error(), RetryAfter: time.Second}
	}
	if method == http.MethodGet {
		return &event.Problem{Kind: event.ProblemDeadline, Detail: "no answer in time", RetryAfter: time.Second}
	}
	return &event.Problem{Kind: event.ProblemUnknown, Detail: "no answer in time; the command may still take effect, see status"}
}

// Status returns the HTTP status of a command's problem. A refusal with RetryAfter is an overload or an outage; one
// without is a conflict, for example with the command of another operator.
func Status(p event.Problem) int {
	switch p.Kind {
	case event.ProblemInvalid:
		return http.StatusUnprocessableEntity
	case event.ProblemRefused:
		if p.RetryAfter > 0 {
			return http.StatusServiceUnavailable
		}
		return http.StatusConflict
	case event.ProblemUnknown, event.ProblemDeadline:
		return http.StatusGatewayTimeout
	case event.ProblemFailed:
		return http.StatusBadGateway
	}
	return http.StatusInternalServerError
}

func writeValue(w http.ResponseWriter, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		p := event.Problem{Kind: event.ProblemFailed, Detail: "encode result: " + err.Error()}
		problem.New(p, http.StatusInternalServerError, "").Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(append(raw, '\n'))
}

func (a *API) readConfig(req *http.Request) (commandBuilder, error) {
	if a.commands.Config == nil {
		return nil, notSupported("reading the configuration")
	}
	seen, err := seenRevision(req)
	return func(n uint64) event.Event { return a.commands.Config(n, seen) }, err
}

func (a *API) applyConfig(req *http.Request) (commandBuilder, error) {
	if a.commands.Apply == nil {
		return nil, notSupported("apply")
	}
	expect, err := parseRevision("If-Match", strings.Trim(req.Header.Get("If-Match"), `"`))
	if err != nil {
		return nil, err
	}
	source, err := readBody(req, MaxConfigBytes)
	if err != nil {
		return nil, err
	}
	if len(source) == 0 {
		return nil, badRequest("empty configuration")
	}
	return func(n uint64) event.Event { return a.commands.Apply(n, source, expect) }, nil
}

func (a *API) explain(req *http.Request) (commandBuilder, error) {
	if a.commands.Explain == nil {
		return nil, notSupported("explain")
	}
	seen, err := seenRevision(req)
	if err != nil {
		return nil, err
	}
	query := req.URL.Query()
	for name, values := range query {
		switch name {
		case "workspace", "pipeline", "domain", "key":
			if len(values) > 1 || len(values[0]) > maxNameBytes {
				return nil, badRequest("parameter %s: given more than once or longer than %d bytes", name, maxNameBytes)
			}
		default:
			return nil, badRequest("unknown parameter %q; known are workspace, pipeline, domain and key", name)
		}
	}
	q := ExplainQuery{
		Workspace: id.Workspace(query.Get("workspace")), Pipeline: id.Pipeline(query.Get("pipeline")),
		FailureDomain: id.FailureDomain(query.Get("domain")), Key: query.Get("key"),
	}
	return func(n uint64) event.Event { return a.commands.Explain(n, seen, q) }, nil
}

func (a *API) status(req *http.Request) (commandBuilder, error) {
	if a.commands.Status == nil {
		return nil, notSupported("status")
	}
	seen, err := seenRevision(req)
	return func(n uint64) event.Event { return a.commands.Status(n, seen) }, err
}

func (a *API) drain(req *http.Request) (commandBuilder, error) {
	return domainCommand(req, "drain", a.commands.Drain)
}

func (a *API) restore(req *http.Request) (commandBuilder, error) {
	return domainCommand(req, "restore", a.commands.Restore)
}

func domainCommand(req *http.Request, name string, newCommand func(uint64, id.FailureDomain, string) event.Event) (commandBuilder, error) {
	if newCommand == nil {
		return nil, notSupported(name)
	}
	domain := mux.Vars(req)["domain"]
	if err := checkName("failure domain", domain); err != nil {
		return nil, err
	}
	var body struct {
		By string `json:"by"`
	}
	if err := decodeBody(req, &body); err != nil {
		return nil, err
	}
	// The name is shown to an operator whose command conflicts with this one.
	if err := checkName("by", body.By); err != nil {
		return nil, err
	}
	return func(n uint64) event.Event { return newCommand(n, id.FailureDomain(domain), body.By) }, nil
}

func (a *API) listRollouts(*http.Request) (commandBuilder, error) {
	if a.commands.ListRollouts == nil {
		return nil, notSupported("listing moves")
	}
	return func(n uint64) event.Event { return a.commands.ListRollouts(n) }, nil
}

func (a *API) beginRollout(req *http.Request) (commandBuilder, error) {
	if a.commands.BeginRollout == nil {
		return nil, notSupported("moves")
	}
	var r Rollout
	if err := decodeBody(req, &r); err != nil {
		return nil, err
	}
	if err := a.checkRollout(r); err != nil {
		return nil, err
	}
	return func(n uint64) event.Event { return a.commands.BeginRollout(n, r) }, nil
}

func (a *API) checkRollout(r Rollout) error {
	for _, field := range []struct{ name, value string }{
		{"name", r.Name}, {"pool", string(r.Pool)}, {"from", string(r.From)}, {"to", string(r.To)},
	} {
		if err := checkName(field.name, field.value); err != nil {
			return err
		}
	}
	if r.From == r.To {
		return badRequest("from and to are both %q", r.From)
	}
	if !r.FinishBy.After(a.now()) {
		return badRequest("by %s is not in the future", r.FinishBy.Format(time.RFC3339))
	}
	return nil
}

// seenRevision parses the newest configuration revision that the operator has seen.
func seenRevision(req *http.Request) (id.Revision, error) {
	return parseRevision("Bluebellflow-Revision", req.Header.Get("Bluebellflow-Revision"))
}

func parseRevision(header, raw string) (id.Revision, error) {
	if raw == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(raw, 10, 64)
	if err != nil {
		return 0, badRequest("header %s: %q is not a revision", header, raw)
	}
	return id.Revision(n), nil
}

// checkName accepts names of printable ASCII without spaces and slashes.
func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return badRequest("%s: %d bytes, want 1 to %d", field, len(name), maxNameBytes)
	}
	for _, r := range name {
		if r <= ' ' || r > '~' || r == '/' {
			return badRequest("%s: character %q is not allowed", field, r)
		}
	}
	return nil
}

func readBody(req *http.Request, limit int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(req.Body, limit+1))
	if err != nil {
		return nil, badRequest("read body: %v", err)
	}
	if int64(len(raw)) > limit {
		return nil, &requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("body larger than %d bytes", limit)}
	}
	return raw, nil
}

// decodeBody decodes one JSON object and rejects unknown fields, which are often misspelled known ones.
func decodeBody(req *http.Request, into any) error {
	raw, err := readBody(req, maxBodyBytes)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return badRequest("decode body: %v", err)
	}
	if decoder.More() {
		return badRequest("decode body: more than one JSON value")
	}
	return nil
}
