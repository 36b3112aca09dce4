package admin_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/io/admin"
	"bluebellflow/io/problem"
	"bluebellflow/io/requestreply"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// command records the function of Commands that was called and its arguments.
type command struct {
	event.Command
	Name string
	Args []any
}

func newCommand(name string, n uint64, args ...any) event.Event {
	return command{event.Command{Number: n}, name, args}
}

func commands() admin.Commands {
	return admin.Commands{
		Config: func(n uint64, seen id.Revision) event.Event { return newCommand("config", n, seen) },
		Apply: func(n uint64, source []byte, expect id.Revision) event.Event {
			return newCommand("apply", n, string(source), expect)
		},
		Explain: func(n uint64, seen id.Revision, q admin.ExplainQuery) event.Event {
			return newCommand("explain", n, seen, q)
		},
		Status:       func(n uint64, seen id.Revision) event.Event { return newCommand("status", n, seen) },
		Drain:        func(n uint64, d id.FailureDomain, by string) event.Event { return newCommand("drain", n, d, by) },
		Restore:      func(n uint64, d id.FailureDomain, by string) event.Event { return newCommand("restore", n, d, by) },
		BeginRollout: func(n uint64, r admin.Rollout) event.Event { return newCommand("begin", n, r) },
		ListRollouts: func(n uint64) event.Event { return newCommand("moves", n) },
	}
}

// serve sends one request to the API and returns the response, its body and the commands. decide returns the result of a
// command; if it is nil, commands get no result.
func serve(t *testing.T, c admin.Commands, decide func(command) event.CommandResult, method, path, body string, headers ...string) (*http.Response, string, []command) {
	t.Helper()
	var got []command
	var correlator *requestreply.Correlator
	correlator = requestreply.New(func(ev event.Event) {
		got = append(got, ev.(command))
		if decide == nil {
			return
		}
		result := decide(ev.(command))
		result.Number = ev.(command).Number
		correlator.Complete(result)
	})
	timeout := time.Minute
	if decide == nil {
		timeout = time.Millisecond // no result will arrive
	}
	api := admin.New(correlator, c, admin.WithNow(func() time.Time { return epoch }), admin.WithTimeout(timeout))
	req := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	api.Handler().ServeHTTP(w, req)
	raw, err := io.ReadAll(w.Result().Body)
	if err != nil {
		t.Fatal(err)
	}
	return w.Result(), string(raw), got
}

const rolloutBody = `{"name":"m1","pool":"llm","from":"v1","to":"v2","by":"2026-01-01T01:00:00Z"}`

// TestCommands guards against a request that is parsed into the wrong command.
func TestCommands(t *testing.T) {
	cases := map[string]struct {
		method, path, body, header, value string
		name                              string
		args                              []any
	}{
		"config":  {"GET", "/config", "", "Bluebellflow-Revision", "4", "config", []any{id.Revision(4)}},
		"apply":   {"PUT", "/config", "{}", "If-Match", `"7"`, "apply", []any{"{}", id.Revision(7)}},
		"explain": {"GET", "/explain?workspace=w&pipeline=p&domain=d&key=k", "", "", "", "explain", []any{id.Revision(0), admin.ExplainQuery{Workspace: "w", Pipeline: "p", FailureDomain: "d", Key: "k"}}},
		"status":  {"GET", "/status", "", "", "", "status", []any{id.Revision(0)}},
		"drain":   {"POST", "/domains/linz/drain", `{"by":"eva"}`, "", "", "drain", []any{id.FailureDomain("linz"), "eva"}},
		"restore": {"POST", "/domains/linz/restore", `{"by":"eva"}`, "", "", "restore", []any{id.FailureDomain("linz"), "eva"}},
		"moves":   {"GET", "/moves", "", "", "", "moves", nil},
		"begin":   {"POST", "/moves", rolloutBody, "", "", "begin", []any{admin.Rollout{Name: "m1", Pool: "llm", From: "v1", To: "v2", FinishBy: epoch.Add(time.Hour)}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			decide := func(command) event.CommandResult { return event.CommandResult{Value: map[string]int{"revision": 8}} }
			resp, raw, got := serve(t, commands(), decide, c.method, "/admin/v1"+c.path, c.body, c.header, c.value)
			g := NewWithT(t)
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK), raw)
			g.Expect(raw).To(MatchJSON(`{"revision":8}`))
			g.Expect(got).To(Equal([]command{{event.Command{Number: 1}, c.name, c.args}}))
		})
	}
}

// TestRejects guards against malformed requests that take effect.
func TestRejects(t *testing.T) {
	cases := map[string]struct {
		method, path, body, header, value string
		status                            int
		detail                            string
	}{
		"no operator":       {"POST", "/domains/linz/drain", `{}`, "", "", 400, "by: 0 bytes"},
		"misspelled field":  {"POST", "/domains/linz/drain", `{"bye":"eva"}`, "", "", 400, "unknown field"},
		"two values":        {"POST", "/domains/linz/drain", `{"by":"eva"}{}`, "", "", 400, "more than one"},
		"bad domain":        {"POST", "/domains/li%20nz/drain", `{"by":"eva"}`, "", "", 400, "failure domain"},
		"bad revision":      {"GET", "/status", "", "Bluebellflow-Revision", "x", 400, "not a revision"},
		"bad If-Match":      {"PUT", "/config", "{}", "If-Match", "x", 400, "If-Match"},
		"empty body":        {"PUT", "/config", "", "", "", 400, "empty configuration"},
		"same version":      {"POST", "/moves", strings.Replace(rolloutBody, "v2", "v1", 1), "", "", 400, "both"},
		"past":              {"POST", "/moves", strings.Replace(rolloutBody, "T01", "T00", 1), "", "", 400, "not in the future"},
		"large rollout":     {"POST", "/moves", strings.Repeat(" ", 70000), "", "", 413, "larger"},
		"unknown parameter": {"GET", "/explain?pool=x", "", "", "", 400, "unknown parameter"},
		"unknown path":      {"GET", "/nothing", "", "", "", 404, "/nothing"},
		"wrong method":      {"DELETE", "/config", "", "", "", 405, "DELETE"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp, raw, got := serve(t, commands(), nil, c.method, "/admin/v1"+c.path, c.body, c.header, c.value)
			g := NewWithT(t)
			g.Expect(resp.StatusCode).To(Equal(c.status), raw)
			g.Expect(resp.Header.Get("Content-Type")).To(Equal(problem.ContentType))
			g.Expect(raw).To(ContainSubstring(c.detail))
			g.Expect(got).To(BeEmpty())
		})
	}
}

// TestCommandProblems guards against a status that promises more than is known, such as that a command without a result had
// no effect.
func TestCommandProblems(t *testing.T) {
	cases := map[string]struct {
		fault  *event.Problem
		status int
		kind   event.ProblemKind
	}{
		"conflict":              {&event.Problem{Kind: event.ProblemRefused, Detail: "drained by eva"}, 409, event.ProblemRefused},
		"outage":                {&event.Problem{Kind: event.ProblemRefused, RetryAfter: time.Second}, 503, event.ProblemRefused},
		"invalid configuration": {&event.Problem{Kind: event.ProblemInvalid}, 422, event.ProblemInvalid},
		"unknown outcome":       {&event.Problem{Kind: event.ProblemUnknown}, 504, event.ProblemUnknown},
		"no result":             {nil, 504, event.ProblemUnknown},
		"not supported":         {nil, 501, event.ProblemInvalid},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var decide func(command) event.CommandResult
			if c.fault != nil {
				decide = func(command) event.CommandResult { return event.CommandResult{Fault: c.fault} }
			}
			builders := commands()
			if c.status == 501 {
				builders.Drain = nil
			}
			resp, raw, _ := serve(t, builders, decide, "POST", "/admin/v1/domains/linz/drain", `{"by":"eva"}`)
			g := NewWithT(t)
			var doc problem.Document
			g.Expect(json.Unmarshal([]byte(raw), &doc)).To(Succeed())
			g.Expect(resp.StatusCode).To(Equal(c.status))
			g.Expect(doc.Type).To(Equal(problem.TypePrefix + string(c.kind)))
		})
	}
}

// FuzzBodies guards against a panic on any request body, and against commands without the required fields.
func FuzzBodies(f *testing.F) {
	f.Add(rolloutBody)
	f.Add(`{"by":"eva"}`)
	f.Fuzz(func(t *testing.T, body string) {
		for _, path := range []string{"/moves", "/domains/d/drain"} {
			decide := func(command) event.CommandResult { return event.CommandResult{} }
			_, _, got := serve(t, commands(), decide, "POST", "/admin/v1"+path, body)
			for _, c := range got {
				if r, ok := c.Args[0].(admin.Rollout); ok && (r.Name == "" || r.From == r.To) {
					t.Fatalf("invalid rollout accepted: %+v", r)
				}
			}
		}
	})
}
