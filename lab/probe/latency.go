package probe

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/io/backend"
	"bluebellflow/io/httpclient"
	"bluebellflow/lab/embed"
	"bluebellflow/lab/engine"
	"bluebellflow/lab/experiment"
	"bluebellflow/lab/testbed"
)

const (
	warmupRequests   = 20 // pairs of requests before the measured ones
	engineStepTime   = 2 * time.Millisecond
	closeTimeout     = 5 * time.Second // for the nodes to stop, and for a direct call of all stages
	maxResponseBytes = 64 << 20
)

// NodeLatency is the latency of requests, one at a time, through all stages of a pipeline.
type NodeLatency struct {
	Pipeline id.Pipeline
	Requests int
	Direct   [3]time.Duration // p50, p95, p99 of direct calls to the simulated servers, one per stage
	Node     [3]time.Duration // the same through a node
	Added    [3]time.Duration // the same for the difference between the two requests of a pair
}

// MeasureNodeLatency sends pairs of requests: one directly to the simulated servers, stage by stage, and one through a node.
func MeasureNodeLatency(ctx context.Context, name id.Pipeline, requests int, seed uint64) (result NodeLatency, err error) {
	d := testbed.Kitab()
	p, ok := d.Pipeline(name)
	if !ok {
		return result, fmt.Errorf("unknown pipeline %q", name)
	}
	d.Nodes = len(d.Domains)
	// The engine's own time only adds noise to the difference, so its steps are short and its answers have one token.
	env, err := testbed.Start(d, testbed.WithSeed(seed), testbed.WithProfiles(func(k engine.Kind) engine.Profile {
		profile := engine.ProfileOf(k)
		profile.BaseStep, profile.PerSeq, profile.DefaultTokens = engineStepTime, 0, 1
		return profile
	}))
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, env.Close()) }()
	nodes := embed.New()
	defer func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		err = errors.Join(err, nodes.Close(ctx))
	}()
	if err := nodes.Start(ctx, experiment.Setup{Environment: env, Policy: "default", Seed: seed}); err != nil {
		return result, err
	}
	direct := newDirectClient(env, p)
	defer direct.close()
	entry := nodes.Entries()[d.Domains[0]][0]
	result.Pipeline, result.Requests = name, requests
	var directTimes, nodeTimes, addedTimes []time.Duration
	for i := range requests + warmupRequests {
		body := fmt.Appendf(nil, `{"tokens":1,"seed":%d,"index":%d}`, seed, i)
		first, err := direct.runStages(ctx, body)
		if err != nil {
			return result, err
		}
		second, err := sendThroughNode(ctx, entry, d.Workspaces[0].Name, p, body)
		if err != nil {
			return result, err
		}
		if i >= warmupRequests {
			directTimes, nodeTimes, addedTimes = append(directTimes, first), append(nodeTimes, second), append(addedTimes, second-first)
		}
	}
	result.Direct, result.Node, result.Added = quantiles(directTimes), quantiles(nodeTimes), quantiles(addedTimes)
	return result, nil
}

// quantiles sorts the list and returns its p50, p95 and p99.
func quantiles(list []time.Duration) [3]time.Duration {
	slices.Sort(list)
	at := func(q float64) time.Duration { return list[min(len(list)-1, int(q*float64(len(list))))] }
	return [3]time.Duration{at(0.5), at(0.95), at(0.99)}
}

// sendThroughNode sends one request to a node, reads the complete response and returns the time taken.
func sendThroughNode(ctx context.Context, entry netip.AddrPort, ws id.Workspace, p testbed.Pipeline, body []byte) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		fmt.Sprintf("http://%s/v1/pipelines/%s", entry, p.Name), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Bluebellflow-Workspace", string(ws))
	start := time.Now()
	resp, err := httpclient.Default.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, raw)
	}
	return time.Since(start), err
}

// directClient calls the simulated servers with a node's backend client, but without its decision logic.
type directClient struct {
	client      *backend.Client
	events      chan event.Event
	env         *testbed.Environment
	stages      []testbed.Stage
	lastAttempt id.Attempt
	cancel      context.CancelFunc
	done        chan error
}

func newDirectClient(env *testbed.Environment, p testbed.Pipeline) *directClient {
	ctx, cancel := context.WithCancel(context.Background())
	d := &directClient{
		events: make(chan event.Event, 64), env: env, stages: p.Stages, cancel: cancel, done: make(chan error, 1),
	}
	rng := rand.New(rand.NewPCG(1, 2))
	d.client = backend.New(event.Self{
		Node: "probe", Incarnation: id.NewIncarnation(rng), FailureDomain: env.Description.Domains[0], Rand: rng,
	}, func(ev event.Event) { d.events <- ev })
	go func() { d.done <- d.client.Run(ctx) }()
	return d
}

// close stops the client and waits for it.
func (d *directClient) close() {
	d.cancel()
	if err := <-d.done; err != nil {
		panic(err) // the client returns nil when its context ends
	}
}

// runStages runs all stages of the pipeline in order and returns the time taken.
func (d *directClient) runStages(ctx context.Context, body []byte) (time.Duration, error) {
	start := time.Now()
	var prior []byte
	for _, s := range d.stages {
		server := d.env.Servers(s.Pool)[0]
		d.lastAttempt++
		d.client.Dispatch(event.Dispatch{
			Attempt: d.lastAttempt, Request: "probe", Server: server.VMName(), Addr: server.VM.Addr, Stage: s.Name,
			Input: body, Prior: prior, Stream: s.Stream, Deadline: start.Add(closeTimeout),
		})
		output, err := d.awaitOutput(ctx)
		if err != nil {
			return 0, fmt.Errorf("stage %s: %w", s.Name, err)
		}
		prior = output
	}
	return time.Since(start), nil
}

// awaitOutput returns the output of the attempt in flight.
func (d *directClient) awaitOutput(ctx context.Context) ([]byte, error) {
	var output []byte
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case ev := <-d.events:
			switch ev := ev.(type) {
			case event.AttemptOutput:
				output = append(output, ev.Data...)
			case event.AttemptDone:
				return append(output, ev.Data...), nil
			case event.AttemptFailed:
				return nil, errors.New(ev.Reason)
			}
		}
	}
}
