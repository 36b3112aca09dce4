package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/io/admin"
	"bluebellflow/io/httpclient"
	"bluebellflow/io/problem"
	"bluebellflow/io/sendtrack"
)

const (
	// remoteTimeout is longer than a node waits for the result of a command.
	remoteTimeout = 30 * time.Second
	// maxResponseBytes is how much of a node's response is read.
	maxResponseBytes = 64 << 20
)

// request is a request to the administration API.
type request struct {
	method, path string
	body         []byte
	header       http.Header
}

// call sends a request to the node and returns the JSON value of its response.
func (e *env) call(r request) (json.RawMessage, error) {
	dialer := &net.Dialer{Timeout: 3 * time.Second}
	client := httpclient.New(&http.Transport{DialContext: sendtrack.WrapDial(dialer.DialContext), DisableKeepAlives: true})
	client.Timeout = remoteTimeout
	ctx, tracker := sendtrack.WithTracker(e.ctx)
	req, err := http.NewRequestWithContext(ctx, r.method, strings.TrimRight(e.node, "/")+admin.Prefix+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, &exitError{ExitUsage, err}
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	resp, err := client.Do(req)
	if err != nil {
		code := ExitUnreachable
		if tracker.Seal() && r.method != http.MethodGet {
			code = ExitUnknown
		}
		return nil, &exitError{code, err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, &exitError{ExitUnknown, fmt.Errorf("read response: %w", err)}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, problemError(resp.StatusCode, raw)
	}
	if !json.Valid(raw) {
		return nil, errors.New("the node's response is not JSON")
	}
	return raw, nil
}

// problemError converts a problem document to an error with its exit code.
func problemError(status int, raw []byte) error {
	var doc problem.Document
	if err := json.Unmarshal(raw, &doc); err != nil || !strings.HasPrefix(doc.Type, problem.TypePrefix) {
		return fmt.Errorf("status %d without a problem document", status)
	}
	code := ExitFailed
	switch event.ProblemKind(strings.TrimPrefix(doc.Type, problem.TypePrefix)) {
	case event.ProblemInvalid:
		code = ExitInvalid
	case event.ProblemRefused:
		code = ExitRefused
	case event.ProblemUnknown:
		code = ExitUnknown
	}
	message := doc.Title
	if doc.Detail != "" {
		message = doc.Detail
	}
	if doc.RetryAfter > 0 {
		message += fmt.Sprintf(" (try again after %d s)", doc.RetryAfter)
	}
	return &exitError{code, errors.New(message)}
}

// callAndWrite sends a request to the node and writes the value of its response.
func (e *env) callAndWrite(r request) error {
	raw, err := e.call(r)
	if err != nil {
		return err
	}
	return e.write(raw)
}

// postAndWrite posts a JSON body and writes the value of the response.
func (e *env) postAndWrite(path string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return e.callAndWrite(request{method: http.MethodPost, path: path, body: raw})
}

func (e *env) explainRemote(q admin.ExplainQuery) error {
	query := url.Values{}
	for name, value := range map[string]string{
		"workspace": string(q.Workspace), "pipeline": string(q.Pipeline), "domain": string(q.FailureDomain), "key": q.Key,
	} {
		if value != "" {
			query.Set(name, value)
		}
	}
	return e.callAndWrite(request{method: http.MethodGet, path: "/explain?" + query.Encode()})
}

type applyCommand struct {
	File   string      `arg:"" help:"Settings file, JSON with comments."`
	Expect id.Revision `help:"Commit only if this revision is in force; 0 for any."`
}

// Run commits a settings file as the new configuration.
func (c *applyCommand) Run(e *env) error {
	source, err := readFile(c.File)
	if err != nil {
		return err
	}
	header := http.Header{}
	if c.Expect > 0 {
		header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(c.Expect)))
	}
	return e.callAndWrite(request{method: http.MethodPut, path: "/config", body: source, header: header})
}

type statusCommand struct {
	Seen id.Revision `help:"Wait until the node knows this configuration revision."`
}

// Run shows the state of the system.
func (c *statusCommand) Run(e *env) error {
	header := http.Header{}
	if c.Seen > 0 {
		header.Set("Bluebellflow-Revision", fmt.Sprint(c.Seen))
	}
	raw, err := e.call(request{method: http.MethodGet, path: "/status", header: header})
	if err != nil {
		return err
	}
	return e.writeStatus(raw)
}

type domainFlags struct {
	Domain id.FailureDomain `arg:"" help:"Failure domain."`
	By     string           `help:"Who gives the order; shown to an operator who loses a race." env:"USER" required:""`
}

func (f *domainFlags) post(e *env, action string) error {
	return e.postAndWrite("/domains/"+url.PathEscape(string(f.Domain))+"/"+action, map[string]string{"by": f.By})
}

type drainCommand struct{ domainFlags }

// Run drains a failure domain.
func (c *drainCommand) Run(e *env) error { return c.post(e, "drain") }

type restoreCommand struct{ domainFlags }

// Run restores a failure domain.
func (c *restoreCommand) Run(e *env) error { return c.post(e, "restore") }

type moveCommand struct {
	Name     string     `arg:"" help:"Name of the move; a version that was rolled back needs a new one."`
	Pool     id.Pool    `help:"Pool whose servers change." required:""`
	From     id.Version `help:"Version that serves now." required:""`
	To       id.Version `help:"Version that is to serve." required:""`
	FinishBy time.Time  `help:"When all traffic must have moved, in RFC 3339." required:""`
}

// Run begins a version rollout.
func (c *moveCommand) Run(e *env) error {
	return e.postAndWrite("/moves", admin.Rollout{Name: c.Name, Pool: c.Pool, From: c.From, To: c.To, FinishBy: c.FinishBy})
}
