package e2e_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/io/problem"
	"bluebellflow/lab/answer"
	"bluebellflow/lab/load"
)

const (
	// maxAttempts limits how often a request is sent.
	maxAttempts = 12
	// attemptTimeout limits one attempt. It is longer than every deadline.
	attemptTimeout = 20 * time.Second
	// resendDelay is the pause after a broken connection.
	resendDelay = 200 * time.Millisecond
)

// reply is the result of one attempt.
type reply struct {
	kind       event.ProblemKind // empty for a complete answer
	text       string            // tokens of a complete answer, or detail of a problem
	retryAfter time.Duration
	err        error // connection refused or broken, or an answer without its end marker
}

// attempt is one transmission of a request to a node, with its reply.
type attempt struct {
	to    id.Node
	began time.Time
	ended time.Time
	reply
}

// request is a planned request with all its attempts.
type request struct {
	load.Arrival
	attempts []attempt
}

// String describes the request and its replies in test failures.
func (r *request) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%s %d", r.Pipeline, r.Index)
	for _, a := range r.attempts {
		fmt.Fprintf(&s, "; %s: %q %.120s %v", a.to, a.kind, a.text, a.err)
	}
	return s.String()
}

// lastAttempt returns the attempt with the final reply.
func (r *request) lastAttempt() attempt { return r.attempts[len(r.attempts)-1] }

// answered reports whether the request got a complete answer.
func (r *request) answered() bool { return r.lastAttempt().err == nil && r.lastAttempt().kind == "" }

// caller sends requests to the nodes that pick returns. Each attempt uses a new connection, because on a reused one
// http.Transport would itself retry a request that has an idempotency key.
type caller struct {
	d      *deployment
	client *http.Client
	pick   func(r *request) *process
}

func newCaller(d *deployment, pick func(r *request) *process) *caller {
	return &caller{d: d, pick: pick, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// roundRobin picks the nodes in turn, so that each attempt of a request goes to another node than the one before.
func roundRobin(nodes []*process) func(*request) *process {
	return func(r *request) *process { return nodes[(r.Index+len(r.attempts))%len(nodes)] }
}

// sendAll sends all requests at their planned times and returns when each has its final reply.
func (c *caller) sendAll(plan []load.Arrival) []*request {
	out := make([]*request, len(plan))
	begin := time.Now()
	var group sync.WaitGroup
	for i, a := range plan {
		time.Sleep(time.Until(begin.Add(a.At)))
		r := &request{Arrival: a}
		out[i] = r
		group.Go(func() { c.sendUntilFinal(r) })
	}
	group.Wait()
	return out
}

// sendUntilFinal sends a request and repeats it as docs/callers.md prescribes, until it has its final reply.
func (c *caller) sendUntilFinal(r *request) {
	for len(r.attempts) < maxAttempts {
		to := c.pick(r)
		a := attempt{to: to.Name, began: time.Now()}
		a.reply = c.send(r, to)
		a.ended = time.Now()
		r.attempts = append(r.attempts, a)
		switch {
		case a.err != nil:
			time.Sleep(resendDelay)
		case a.kind == event.ProblemRefused, a.kind == event.ProblemUnknown, a.kind == event.ProblemFailed && a.retryAfter > 0:
			c.checkNotRun(r, a)
			time.Sleep(max(a.retryAfter, resendDelay))
		default:
			c.checkNotRun(r, a)
			return
		}
	}
}

// checkNotRun checks with the service's effect log that a request had no effect if its reply says that it was not run.
func (c *caller) checkNotRun(r *request, a attempt) {
	if a.kind != event.ProblemRefused && a.kind != event.ProblemDeadline {
		return
	}
	if n := c.effects(r); n > 0 {
		c.d.t.Errorf("the reply says that the request was not run, but it had %d effects: %v", n, r)
	}
}

// effects returns how often the action of a request took effect.
func (c *caller) effects(r *request) int {
	if !r.Action {
		return 0
	}
	return c.d.testbed.EffectLog(r.Pool).EffectCount(r.Body)
}

func (c *caller) send(r *request, to *process) reply {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	resp, err := c.open(ctx, r, to)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return readReply(resp)
}

func (c *caller) open(ctx context.Context, r *request, to *process) (*http.Response, error) {
	url := fmt.Sprintf("http://%s/v1/pipelines/%s", to.Caller, r.Pipeline)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Bluebellflow-Workspace", string(r.Workspace))
	req.Header.Set("Request-Timeout", strconv.FormatFloat(r.Deadline.Seconds(), 'f', 3, 64))
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	if r.Stream {
		req.Header.Set("Accept", "text/event-stream")
	}
	return c.client.Do(req)
}

// readReply reads a response up to its end marker.
func readReply(resp *http.Response) reply {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(resp.Body)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return readProblem(raw)
	}
	var doc struct {
		End bool `json:"end"`
	}
	if err := json.Unmarshal(raw, &doc); err != nil || !doc.End {
		return reply{err: fmt.Errorf("answer without its end marker: %.200s", raw)}
	}
	return reply{text: answer.Text(raw)}
}

func readProblem(raw []byte) reply {
	var doc problem.Document
	if err := json.Unmarshal(raw, &doc); err != nil {
		return reply{kind: event.ProblemFailed, text: fmt.Sprintf("not a problem document: %.200s", raw)}
	}
	return reply{
		kind: event.ProblemKind(strings.TrimPrefix(doc.Type, problem.TypePrefix)), text: doc.Detail,
		retryAfter: time.Duration(doc.RetryAfter) * time.Second,
	}
}

// readStream joins the parts of an event stream up to the event that ends it.
func readStream(body io.Reader) reply {
	var text strings.Builder
	eventName := ""
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			eventName = value
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		switch eventName {
		case "end":
			return reply{text: text.String()}
		case "problem":
			return readProblem([]byte(data))
		}
		var part struct {
			Text string `json:"text"`
		}
		if err := json.Unmarshal([]byte(data), &part); err != nil {
			return reply{err: err}
		}
		text.WriteString(part.Text)
	}
	return reply{err: fmt.Errorf("stream without its end event: %w", lines.Err())}
}

// checkReplies checks the guarantees for every request: its final reply is its own complete answer or a problem, an
// answered action has taken effect, and no action has taken effect twice. It returns the number of final replies by
// problem kind.
func (c *caller) checkReplies(t *testing.T, requests []*request) map[event.ProblemKind]int {
	t.Helper()
	counts := map[event.ProblemKind]int{}
	for _, r := range requests {
		counts[r.lastAttempt().kind]++
		effects := c.effects(r)
		if effects > 1 {
			t.Errorf("%d effects: %v", effects, r)
		}
		switch last := r.lastAttempt(); {
		case last.err != nil:
			t.Errorf("no final reply: %v", r)
		case last.kind == "":
			if err := answer.Check(r.Body, r.Stage, last.text); err != nil {
				t.Errorf("%v: %v", err, r)
			}
			if r.Action && effects == 0 {
				t.Errorf("answered without an effect: %v", r)
			}
		case last.kind == event.ProblemInvalid:
			t.Errorf("a valid request was rejected as invalid: %v", r)
		}
	}
	return counts
}
