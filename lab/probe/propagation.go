package probe

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"bluebellflow/io/httpclient"
	"bluebellflow/lab/embed"
	"bluebellflow/lab/experiment"
	"bluebellflow/lab/platform"
	"bluebellflow/lab/testbed"
)

const (
	pollInterval   = 2 * time.Millisecond
	inForceTimeout = 20 * time.Second // a change that takes longer counts as not in force
	slowDelayMS    = 300              // added to each platform call in the case "slow"
	revisionHeader = "Bluebellflow-Revision"
)

// Propagation is the result of configuration changes in one state of the platform.
type Propagation struct {
	Case         string
	Changes      int
	Accepted     [3]time.Duration // from the request to the response that accepts it: p50, p95, p99
	InForce      [3]time.Duration // from that response until every node has the revision
	TimedOut     int              // changes not in force on all nodes within inForceTimeout
	Reads        Reads            // at all nodes but the one that accepted the change, immediately after that
	WithRevision Reads            // the same, with the revision of the change in the request
}

// Reads counts reads of the configuration through the administration API.
type Reads struct {
	Total, Stale, Failed int
	Latency              [3]time.Duration
	latencies            []time.Duration
}

// MeasurePropagation changes the configuration of a deployment with the platform up, slow, and down after acceptance.
func MeasurePropagation(ctx context.Context, deployment string, changes int, seed uint64) (out []Propagation, err error) {
	d, err := testbed.DescriptionByName(deployment)
	if err != nil {
		return nil, err
	}
	env, err := testbed.Start(d, testbed.WithSeed(seed))
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, env.Close()) }()
	nodes := embed.New(embed.WithoutSettling())
	defer func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		err = errors.Join(err, nodes.Close(ctx))
	}()
	if err := nodes.Start(ctx, experiment.Setup{Environment: env, Policy: "default", Seed: seed}); err != nil {
		return nil, err
	}
	c := &configClient{env: env, adminAddrs: nodes.AdminAddrs()}
	if c.source, err = embed.Settings(d); err != nil {
		return nil, err
	}
	cases := []struct {
		name   string
		before platform.Faults
		after  platform.Faults
	}{
		{name: "up"},
		{name: "slow", before: platform.Faults{SlowMS: slowDelayMS}, after: platform.Faults{SlowMS: slowDelayMS}},
		{name: "down after acceptance", after: platform.Faults{Down: true}},
	}
	for _, tc := range cases {
		env.Platform.SetFaults(tc.before)
		sleep(ctx, time.Second)
		result := Propagation{Case: tc.name, Changes: changes}
		var accepted, inForce []time.Duration
		for i := range changes {
			took, inForceAfter, err := c.change(ctx, tc.after, i%2 == 1, &result)
			if err != nil {
				return out, fmt.Errorf("case %s: %w", tc.name, err)
			}
			accepted = append(accepted, took)
			if inForceAfter < 0 {
				result.TimedOut++
			} else {
				inForce = append(inForce, inForceAfter)
			}
			env.Platform.SetFaults(tc.before)
			sleep(ctx, time.Second)
		}
		result.Accepted = quantiles(accepted)
		if len(inForce) > 0 {
			result.InForce = quantiles(inForce)
		}
		result.Reads.computeQuantiles()
		result.WithRevision.computeQuantiles()
		out = append(out, result)
	}
	return out, nil
}

// computeQuantiles sets Latency from the latencies of the single reads.
func (r *Reads) computeQuantiles() {
	if len(r.latencies) > 0 {
		r.Latency = quantiles(r.latencies)
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// configClient changes the configuration through each node in turn.
type configClient struct {
	env        *testbed.Environment
	adminAddrs []netip.AddrPort
	source     []byte
	changes    int
}

// change makes one change and reads it back at every node. Once the change is accepted, the platform gets the faults in
// after. If wait is set, the reads carry the revision of the change, so that a node can wait for it.
// It returns the time until the change was accepted, and the time from then until it was in force on all nodes,
// which is negative if it was not in force within inForceTimeout.
func (c *configClient) change(ctx context.Context, after platform.Faults, wait bool, r *Propagation) (took, inForceAfter time.Duration, err error) {
	target := c.adminAddrs[c.changes%len(c.adminAddrs)]
	c.changes++
	source := bytes.Replace(c.source, []byte(`"deadline": "8s"`), fmt.Appendf(nil, `"deadline": "%dms"`, 8000+c.changes), 1)
	start := time.Now()
	revision, err := c.put(ctx, target, source)
	if err != nil {
		return 0, 0, err
	}
	took = time.Since(start)
	c.env.Platform.SetFaults(after)
	accepted := time.Now()
	reads := &r.Reads
	minRevision := uint64(0)
	if wait {
		reads, minRevision = &r.WithRevision, revision
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	for _, n := range c.adminAddrs {
		group.Go(func() {
			start := time.Now()
			got, err := c.get(ctx, n, minRevision)
			latency := time.Since(start)
			for err != nil || got < revision {
				if time.Since(accepted) > inForceTimeout || ctx.Err() != nil {
					break
				}
				if n != target {
					sleep(ctx, pollInterval)
				}
				var latest uint64
				latest, pollErr := c.get(ctx, n, 0)
				if pollErr == nil && latest >= revision {
					break
				}
			}
			elapsed := time.Since(accepted)
			mu.Lock()
			defer mu.Unlock()
			inForceAfter = max(inForceAfter, elapsed)
			if n == target {
				return
			}
			reads.Total++
			reads.latencies = append(reads.latencies, latency)
			switch {
			case err != nil:
				reads.Failed++
			case got < revision:
				reads.Stale++
			}
		})
	}
	group.Wait()
	if inForceAfter > inForceTimeout {
		inForceAfter = -1
	}
	return took, inForceAfter, nil
}

func (c *configClient) put(ctx context.Context, node netip.AddrPort, source []byte) (uint64, error) {
	return call(ctx, http.MethodPut, node, source, 0)
}

func (c *configClient) get(ctx context.Context, node netip.AddrPort, minRevision uint64) (uint64, error) {
	return call(ctx, http.MethodGet, node, nil, minRevision)
}

// call sends a request to the configuration endpoint and returns the revision in the response.
// If minRevision is not 0, it is sent as the revision that the node must have reached.
func call(ctx context.Context, method string, node netip.AddrPort, body []byte, minRevision uint64) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/admin/v1/config", node), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if minRevision > 0 {
		req.Header.Set(revisionHeader, strconv.FormatUint(minRevision, 10))
	}
	resp, err := httpclient.Default.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d: %s", resp.StatusCode, raw)
	}
	var response struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(raw, &response); err != nil {
		return 0, fmt.Errorf("decoding the configuration response: %w", err)
	}
	return response.Revision, nil
}
