package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/io/httpclient"
	"bluebellflow/lab/answer"
)

const (
	maxOpenRequests  = 4096             // open requests; further ones are recorded as Broken without being sent
	unknownRetryTime = 10 * time.Second // time after the deadline during which a caller retries to learn an unknown outcome
	minRetryTimeout  = 2 * time.Second  // smallest Request-Timeout of such a retry
	maxSends         = 20               // maximum number of sends of one request
	replyGrace       = time.Second      // time after the deadline during which the final answer may still arrive
)

// Balancer picks the node for a send; it takes the role of the platform's load balancer.
type Balancer interface {
	Pick() (netip.AddrPort, bool)
}

// Oracle returns the number of effects that an action had in its service.
type Oracle interface {
	EffectCount(a Arrival) int
}

// Runner sends the requests of a plan.
type Runner struct {
	balancer Balancer
	oracle   Oracle
	client   *http.Client
	settle   time.Duration
}

// Option configures a runner.
type Option func(*Runner)

// WithOracle makes the runner check the answers to actions against their effects.
func WithOracle(o Oracle) Option { return func(r *Runner) { r.oracle = o } }

// WithTransport sets the HTTP transport of the callers.
func WithTransport(t http.RoundTripper) Option { return func(r *Runner) { r.client.Transport = t } }

// WithSettle sets how long the runner waits for late effects between the last answer and the final check.
func WithSettle(d time.Duration) Option { return func(r *Runner) { r.settle = d } }

// New returns a runner that sends to the nodes that the balancer picks.
func New(b Balancer, opts ...Option) *Runner {
	r := &Runner{balancer: b, client: httpclient.New(&http.Transport{
		MaxIdleConnsPerHost: maxOpenRequests, IdleConnTimeout: time.Minute,
	})}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Run sends all requests at their planned times and waits for the final answers.
// After the context ends, it sends no further requests and omits them from the result.
func (r *Runner) Run(ctx context.Context, plan []Arrival) []Record {
	defer r.client.CloseIdleConnections()
	records := make([]Record, len(plan))
	open := make(chan struct{}, maxOpenRequests)
	start := time.Now()
	var group sync.WaitGroup
	sent := 0
	for i, a := range plan {
		if !sleep(ctx, time.Until(start.Add(a.At))) {
			break
		}
		sent++
		select {
		case open <- struct{}{}:
		default:
			records[i] = newRecord(a)
			records[i].Detail = "the load generator has too many open requests"
			continue
		}
		group.Go(func() {
			records[i] = r.request(ctx, a, start.Add(a.At))
			<-open
		})
	}
	group.Wait()
	records = records[:sent]
	r.verify(ctx, plan, records)
	return records
}

func newRecord(a Arrival) Record {
	return Record{Index: a.Index, Pipeline: a.Pipeline, Workspace: a.Workspace, At: a.At, Class: Broken}
}

// verify checks the final answers to actions against their effects.
func (r *Runner) verify(ctx context.Context, plan []Arrival, records []Record) {
	if r.oracle == nil {
		return
	}
	sleep(ctx, r.settle)
	for i := range records {
		a, rec := plan[i], &records[i]
		if !a.Action {
			continue
		}
		effects := r.oracle.EffectCount(a)
		if effects > 1 {
			rec.addViolation(DuplicateEffect, fmt.Sprintf("%d effects", effects))
		}
		if effects == 0 && rec.completed {
			rec.addViolation(LostEffect, "answered as done, no effect")
		}
		if effects > 0 && rec.Class == Refused {
			rec.addViolation(FalseNotRun, "refused, but the effect happened")
		}
	}
}

// request sends one request repeatedly until it has a final answer or the caller gives up.
func (r *Runner) request(ctx context.Context, a Arrival, planned time.Time) Record {
	rec := newRecord(a)
	deadline := planned.Add(a.Deadline)
	unknown := false
	for rec.Sends < maxSends {
		rec.Sends++
		timeout := time.Until(deadline)
		if unknown {
			timeout = max(timeout, minRetryTimeout)
		}
		resp, err := r.send(ctx, a, timeout, &rec, planned)
		rec.Latency = time.Since(planned)
		again, wait := r.classify(a, resp, err, &rec, deadline, &unknown)
		if !again {
			return rec
		}
		last := deadline
		if unknown {
			last = deadline.Add(unknownRetryTime)
		}
		if time.Now().Add(wait).After(last) || !sleep(ctx, wait) {
			return rec
		}
		if rec.Class == Refused {
			r.checkNotRun(a, &rec)
		}
	}
	return rec
}

// classify sets the class of the record from the latest answer and returns whether the caller sends again, and after
// which wait.
func (r *Runner) classify(a Arrival, resp response, err error, rec *Record, deadline time.Time, unknown *bool) (bool, time.Duration) {
	wait := resp.retryAfter
	if wait == 0 {
		wait = defaultRetryWait
	}
	if err != nil || (resp.kind == "" && !resp.complete) {
		rec.Class = Broken
		if err != nil {
			rec.Detail = err.Error()
		} else {
			rec.Detail = "no end marker"
		}
		*unknown = *unknown || a.Action
		return true, defaultRetryWait
	}
	rec.Detail = resp.detail
	switch resp.kind {
	case "":
		r.checkComplete(a, resp, rec, deadline)
		return false, 0
	case event.ProblemRefused:
		rec.Class = Refused
		r.checkNotRun(a, rec)
		return resp.retryAfter > 0, wait
	case event.ProblemUnknown:
		rec.Class = Unknown
		*unknown = true
		return a.Key != "", wait
	case event.ProblemCompleted:
		rec.Class = Late
		return false, 0
	case event.ProblemDeadline:
		rec.Class = Late
		r.checkNotRun(a, rec)
		return false, 0
	case event.ProblemFailed, event.ProblemInvalid:
		rec.Class = Failed
		return resp.retryAfter > 0, wait
	}
	rec.Class = Failed
	rec.Detail = fmt.Sprintf("unknown kind of problem %q: %s", resp.kind, resp.detail)
	return false, 0
}

// checkComplete classifies and verifies an answer with an end marker.
func (r *Runner) checkComplete(a Arrival, resp response, rec *Record, deadline time.Time) {
	rec.Class = InTime
	rec.completed = true
	if time.Now().After(deadline) {
		rec.Class = Late
	}
	if err := answer.Check(a.Body, a.Stage, resp.text); err != nil {
		rec.addViolation(WrongAnswer, err.Error())
	}
}

// checkNotRun verifies an answer that states that the request had no effect.
// The caller has not sent the request again since then, so any effect contradicts the answer.
func (r *Runner) checkNotRun(a Arrival, rec *Record) {
	if r.oracle == nil || !a.Action {
		return
	}
	if n := r.oracle.EffectCount(a); n > 0 {
		rec.addViolation(FalseNotRun, fmt.Sprintf("%s, but %d effects happened", rec.Class, n))
	}
}

// send sends the request once and reads the answer.
func (r *Runner) send(ctx context.Context, a Arrival, timeout time.Duration, rec *Record, planned time.Time) (response, error) {
	node, ok := r.balancer.Pick()
	if !ok {
		return response{}, errors.New("no node is ready")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+replyGrace)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/pipelines/%s", node, a.Pipeline)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(a.Body))
	if err != nil {
		return response{}, fmt.Errorf("request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Bluebellflow-Workspace", string(a.Workspace))
	req.Header.Set("Priority", "u="+strconv.Itoa(a.Priority))
	req.Header.Set("Request-Timeout", strconv.FormatFloat(timeout.Seconds(), 'f', 3, 64))
	if a.Key != "" {
		req.Header.Set("Idempotency-Key", a.Key)
	}
	if a.Stream {
		req.Header.Set("Accept", streamType)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return response{}, fmt.Errorf("request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readResponse(resp, func() {
		if rec.First == 0 {
			rec.First = time.Since(planned)
		}
	})
}

// sleep waits for d and reports whether the context is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
