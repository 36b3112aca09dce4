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
	"bluebellflow/lab/answer"
)

const (
	maxOpen          = 4096             // requests open at once; more are recorded as broken off by the generator
	unknownRetryTime = 10 * time.Second // how long after the deadline a caller asks for an unknown outcome
	minRetryTimeout  = 2 * time.Second  // Request-Timeout of such a question
	maxSends         = 20               // sends of one request
	replyGrace       = time.Second      // wait for the final answer after the deadline
)

// Balancer picks the node for a send; it stands for the platform's load balancer.
type Balancer interface {
	Pick() (netip.AddrPort, bool)
}

// Oracle counts the effects of an action in the service that has them.
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

// Option changes a new runner.
type Option func(*Runner)

// WithOracle checks actions against the effects that they had.
func WithOracle(o Oracle) Option { return func(r *Runner) { r.oracle = o } }

// WithTransport sets the transport of the callers.
func WithTransport(t http.RoundTripper) Option { return func(r *Runner) { r.client.Transport = t } }

// WithSettle sets the wait after the last answer for late effects, before the final check.
func WithSettle(d time.Duration) Option { return func(r *Runner) { r.settle = d } }

// New returns a runner that sends to the nodes that the balancer picks.
func New(b Balancer, opts ...Option) *Runner {
	r := &Runner{balancer: b, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxOpen, IdleConnTimeout: time.Minute,
	}}}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Run sends all requests at their planned times and waits for the final answers.
// When the context ends, requests that were not sent yet are left out.
func (r *Runner) Run(ctx context.Context, plan []Arrival) []Record {
	defer r.client.CloseIdleConnections()
	records := make([]Record, len(plan))
	open := make(chan struct{}, maxOpen)
	begin := time.Now()
	var group sync.WaitGroup
	sent := 0
	for i, a := range plan {
		if !sleep(ctx, time.Until(begin.Add(a.At))) {
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
			records[i] = r.request(ctx, a, begin.Add(a.At))
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

// verify compares the final answers with the effects.
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

// request sends one request until it has a final answer or the caller gives up.
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
		g, err := r.send(ctx, a, timeout, &rec, planned)
		rec.Latency = time.Since(planned)
		again, wait := r.classify(a, g, err, &rec, deadline, &unknown)
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

// classify sets the class of the latest answer and says whether and when the caller sends again.
func (r *Runner) classify(a Arrival, g response, err error, rec *Record, deadline time.Time, unknown *bool) (bool, time.Duration) {
	wait := g.retryAfter
	if wait == 0 {
		wait = defaultRetryWait
	}
	if err != nil || (g.kind == "" && !g.complete) {
		rec.Class = Broken
		if err != nil {
			rec.Detail = err.Error()
		} else {
			rec.Detail = "no end marker"
		}
		*unknown = *unknown || a.Action
		return true, defaultRetryWait
	}
	rec.Detail = g.detail
	switch g.kind {
	case "":
		r.checkComplete(a, g, rec, deadline)
		return false, 0
	case event.ProblemRefused:
		rec.Class = Refused
		r.checkNotRun(a, rec)
		return g.retryAfter > 0, wait
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
		return g.retryAfter > 0, wait
	}
	rec.Class = Failed
	rec.Detail = fmt.Sprintf("unknown problem %q: %s", g.kind, g.detail)
	return false, 0
}

// checkComplete checks an answer that has its end marker.
func (r *Runner) checkComplete(a Arrival, g response, rec *Record, deadline time.Time) {
	rec.Class = InTime
	rec.completed = true
	if time.Now().After(deadline) {
		rec.Class = Late
	}
	if err := answer.Check(a.Body, a.Stage, g.text); err != nil {
		rec.addViolation(WrongAnswer, err.Error())
	}
}

// checkNotRun checks an answer that says that nothing happened.
// The caller has not sent the request since, so an effect now contradicts that answer.
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

// sleep waits and reports whether the context is still alive.
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
