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

	"bluebellflow/lab/embed"
	"bluebellflow/lab/experiment"
	"bluebellflow/lab/platform"
	"bluebellflow/lab/testbed"
)

const (
	pollInterval   = 2 * time.Millisecond
	inForceTimeout = 20 * time.Second // after that a change counts as not in force
	slowDelayMS    = 300              // added to each platform call in the case "slow"
	revisionHeader = "Bluebellflow-Revision"
)

// Propagation is the way of changes to all nodes in one state of the platform.
type Propagation struct {
	Case         string
	Changes      int
	Accepted     [3]time.Duration // from the order to the answer that accepts it: p50, p95, p99
	InForce      [3]time.Duration // from that answer until every node has the revision
	TimedOut     int              // changes that were not in force everywhere in time
	Reads        Reads            // right after the accepted change, at all other nodes
	WithRevision Reads            // the same with the revision that the operator has seen
}

// Reads counts operator reads.
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
	world, err := testbed.Start(d, testbed.WithSeed(seed))
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, world.Close()) }()
	nodes := embed.New(embed.WithoutSettling())
	defer func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		err = errors.Join(err, nodes.Close(ctx))
	}()
	if err := nodes.Start(ctx, experiment.Setup{Environment: world, Policy: "default", Seed: seed}); err != nil {
		return nil, err
	}
	c := &configClient{env: world, adminAddrs: nodes.AdminAddrs()}
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
	for _, k := range cases {
		world.Platform.SetFaults(k.before)
		sleep(ctx, time.Second)
		result := Propagation{Case: k.name, Changes: changes}
		var accepted, force []time.Duration
		for i := range changes {
			took, until, err := c.change(ctx, k.after, i%2 == 1, &result)
			if err != nil {
				return out, fmt.Errorf("case %s: %w", k.name, err)
			}
			accepted = append(accepted, took)
			if until < 0 {
				result.TimedOut++
			} else {
				force = append(force, until)
			}
			world.Platform.SetFaults(k.before)
			sleep(ctx, time.Second)
		}
		result.Accepted = quantiles(accepted)
		if len(force) > 0 {
			result.InForce = quantiles(force)
		}
		result.Reads.computeQuantiles()
		result.WithRevision.computeQuantiles()
		out = append(out, result)
	}
	return out, nil
}

func (r *Reads) computeQuantiles() {
	if len(r.latencies) > 0 {
		r.Latency = quantiles(r.latencies)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// configClient orders changes at one node after the other.
type configClient struct {
	env        *testbed.Environment
	adminAddrs []netip.AddrPort
	source     []byte
	changes    int
}

// change makes one change and reads it back everywhere; until is negative if it did not come into force.
func (c *configClient) change(ctx context.Context, after platform.Faults, wait bool, r *Propagation) (took, until time.Duration, err error) {
	at := c.adminAddrs[c.changes%len(c.adminAddrs)]
	c.changes++
	source := bytes.Replace(c.source, []byte(`"deadline": "8s"`), fmt.Appendf(nil, `"deadline": "%dms"`, 8000+c.changes), 1)
	begin := time.Now()
	revision, err := c.put(ctx, at, source)
	if err != nil {
		return 0, 0, err
	}
	took = time.Since(begin)
	c.env.Platform.SetFaults(after)
	accepted := time.Now()
	reads := &r.Reads
	seen := uint64(0)
	if wait {
		reads, seen = &r.WithRevision, revision
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	for _, n := range c.adminAddrs {
		group.Go(func() {
			start := time.Now()
			got, err := c.get(ctx, n, seen)
			first := time.Since(start)
			for err != nil || got < revision {
				if time.Since(accepted) > inForceTimeout || ctx.Err() != nil {
					break
				}
				if n != at {
					sleep(ctx, pollInterval)
				}
				var again uint64
				again, failed := c.get(ctx, n, 0)
				if failed == nil && again >= revision {
					break
				}
			}
			end := time.Since(accepted)
			mu.Lock()
			defer mu.Unlock()
			until = max(until, end)
			if n == at {
				return
			}
			reads.Total++
			reads.latencies = append(reads.latencies, first)
			switch {
			case err != nil:
				reads.Failed++
			case got < revision:
				reads.Stale++
			}
		})
	}
	group.Wait()
	if until > inForceTimeout {
		until = -1
	}
	return took, until, nil
}

func (c *configClient) put(ctx context.Context, node netip.AddrPort, source []byte) (uint64, error) {
	return call(ctx, http.MethodPut, node, source, 0)
}

func (c *configClient) get(ctx context.Context, node netip.AddrPort, seen uint64) (uint64, error) {
	return call(ctx, http.MethodGet, node, nil, seen)
}

// call makes a call and returns the revision in the answer.
func call(ctx context.Context, method string, node netip.AddrPort, body []byte, seen uint64) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/admin/v1/config", node), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if seen > 0 {
		req.Header.Set(revisionHeader, strconv.FormatUint(seen, 10))
	}
	resp, err := http.DefaultClient.Do(req)
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
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return 0, fmt.Errorf("answer: %w", err)
	}
	return answer.Revision, nil
}
