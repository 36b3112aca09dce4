package experiment

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/oklog/run"

	"bluebellflow/core/id"
	"bluebellflow/lab/load"
	"bluebellflow/lab/testbed"
)

const (
	readyTimeout      = 20 * time.Second       // for the first node to become ready
	readyPollInterval = 50 * time.Millisecond  // between looks at the nodes before the run
	warmUp            = time.Second            // for the nodes to read the load reports before the first request
	settleTime        = 500 * time.Millisecond // for late effects after the last answer
	closeTimeout      = 15 * time.Second       // for the nodes to end
)

// Runner runs experiments with nodes from one source.
type Runner struct {
	nodes func() Fleet
	log   func(format string, args ...any)
}

// Option changes a new runner.
type Option func(*Runner)

// WithLog reports progress.
func WithLog(log func(format string, args ...any)) Option {
	return func(r *Runner) { r.log = log }
}

// New returns a runner; nodes returns a new fleet of nodes for each run.
func New(nodes func() Fleet, opts ...Option) *Runner {
	r := &Runner{nodes: nodes, log: func(string, ...any) {}}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Run runs every policy on the same arrivals, faults and seeds.
func (r *Runner) Run(ctx context.Context, e Experiment) (Record, error) {
	if err := e.Check(); err != nil {
		return Record{}, err
	}
	rec := Record{Experiment: e}
	for repeat := range e.Repeats {
		for _, policy := range e.Policies {
			seed := e.Seed + uint64(repeat)
			r.log("experiment %s, policy %s, seed %d", e.Name, policy, seed)
			result, err := r.runPolicy(ctx, e, policy, seed)
			if err != nil {
				return rec, fmt.Errorf("policy %s, seed %d: %w", policy, seed, err)
			}
			rec.Runs = append(rec.Runs, result)
		}
	}
	return rec, nil
}

// oracle finds the effects of actions in the ledgers of the services.
type oracle struct{ env *testbed.Environment }

func (o oracle) EffectCount(a load.Arrival) int {
	ledger := o.env.EffectLog(a.Pool)
	if ledger == nil {
		return 0
	}
	return ledger.EffectCount(a.Body)
}

// runPolicy runs one policy with one seed.
func (r *Runner) runPolicy(ctx context.Context, e Experiment, policy string, seed uint64) (result Result, err error) {
	d, err := e.description()
	if err != nil {
		return result, err
	}
	plan, err := load.Plan(seed, e.loadShape(), load.Mix(d), d.Workspaces)
	if err != nil {
		return result, err
	}
	world, err := testbed.Start(d, testbed.WithSeed(seed))
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, world.Close()) }()
	nodes := r.nodes()
	defer func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		err = errors.Join(err, nodes.Close(ctx))
	}()
	if err := nodes.Start(ctx, Setup{Environment: world, Policy: policy, Seed: seed}); err != nil {
		return result, fmt.Errorf("start the nodes: %w", err)
	}
	balancer := load.NewReadyBalancer(func() []netip.AddrPort { return entryAddrs(nodes) })
	if err := waitReady(ctx, balancer, nodes); err != nil {
		return result, err
	}
	m := &measurement{experiment: e, env: world, nodes: nodes, balancer: balancer, plan: plan}
	return m.run(ctx, policy, seed)
}

// entryAddrs returns all callers' addresses.
func entryAddrs(nodes Fleet) []netip.AddrPort {
	var list []netip.AddrPort
	entries := nodes.Entries()
	for _, d := range slices.Sorted(maps.Keys(entries)) {
		list = append(list, entries[d]...)
	}
	return list
}

// waitReady waits until all nodes are ready, or one of them after the longest wait.
func waitReady(ctx context.Context, b *load.ReadyBalancer, nodes Fleet) error {
	end := time.Now().Add(readyTimeout)
	for {
		b.Poll(ctx)
		ready, want := b.ReadyCount(), len(entryAddrs(nodes))
		if ready == want && want > 0 {
			sleepUntil(ctx, time.Now().Add(warmUp))
			return ctx.Err()
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d nodes are ready after %v", ready, want, readyTimeout)
		}
		if !sleepUntil(ctx, time.Now().Add(readyPollInterval)) {
			return ctx.Err()
		}
	}
}

// measurement is the part of a run that is measured.
type measurement struct {
	experiment Experiment
	env        *testbed.Environment
	nodes      Fleet
	balancer   *load.ReadyBalancer
	plan       []load.Arrival

	samples []Sample
}

func (m *measurement) run(ctx context.Context, policy string, seed uint64) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin := time.Now()
	meter := m.startMeter()
	faults := &faultScheduler{faults: m.experiment.Faults, env: m.env, nodes: m.nodes}
	var records []load.Record
	var group run.Group
	add := func(do func()) {
		group.Add(func() error {
			do()
			return nil
		}, func(error) { cancel() })
	}
	add(func() {
		r := load.New(m.balancer, load.WithOracle(oracle{m.env}), load.WithSettle(settleTime))
		records = r.Run(ctx, m.plan)
	})
	add(func() { _ = m.balancer.Run(ctx) })
	add(func() { m.collectSamples(ctx, begin) })
	add(func() {
		faults.run(ctx, begin)
		<-ctx.Done() // the end of the faults does not end the run
	})
	if err := group.Run(); err != nil {
		return Result{}, err
	}
	slices.SortFunc(faults.events, func(a, b Event) int { return int((a.At - b.At) * float64(time.Second)) })
	summary := load.Summarize(records)
	return Result{
		Policy: policy, Seed: seed, Summary: summary, Cost: poolCosts(m.env), Platform: m.env.Platform.Counts(),
		Events: faults.events, AfterDrain: attemptsAfterDrain(faults.events, m.samples),
		AttainmentBySecond: attainmentBySecond(records, m.experiment.Load.Seconds.Duration()), LatencyQuantiles: summary.LatencyQuantiles(curveQuantiles),
		Samples: m.samples, Violating: violatingRequests(records), Control: meter.cost(m.nodes),
	}, nil
}

// collectSamples counts the attempts at fixed times.
func (m *measurement) collectSamples(ctx context.Context, begin time.Time) {
	for i := 0; ; i++ {
		at := time.Duration(i) * sampleInterval
		if !sleepUntil(ctx, begin.Add(at)) {
			return
		}
		m.samples = append(m.samples, takeSample(m.env, at))
	}
}

// maxViolating bounds the requests with violations that a record keeps.
const maxViolating = 100

func violatingRequests(records []load.Record) []load.Record {
	list := []load.Record{}
	for _, r := range records {
		if len(r.Violations) > 0 && len(list) < maxViolating {
			list = append(list, r)
		}
	}
	return list
}

// versionedPools returns the pools of a run that have more than one version.
func (r Result) versionedPools() []id.Pool {
	if len(r.Samples) == 0 {
		return nil
	}
	var list []id.Pool
	last := r.Samples[len(r.Samples)-1].Versions
	for _, p := range slices.Sorted(maps.Keys(last)) {
		if len(last[p]) > 1 {
			list = append(list, p)
		}
	}
	return list
}
