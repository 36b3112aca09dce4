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
	readyTimeout      = 20 * time.Second       // maximum wait for all nodes to become ready
	readyPollInterval = 50 * time.Millisecond  // between readiness checks before the run
	warmUp            = time.Second            // lets the nodes read load reports before the first request
	settleTime        = 500 * time.Millisecond // waits for late effects after the last answer
	closeTimeout      = 15 * time.Second       // maximum wait for the nodes to stop
)

// Runner runs experiments, each run with a new fleet of nodes.
type Runner struct {
	newFleet func() Fleet
	log      func(format string, args ...any)
}

// Option configures a new runner.
type Option func(*Runner)

// WithLog sets a function that logs progress; the default logs nothing.
func WithLog(log func(format string, args ...any)) Option {
	return func(r *Runner) { r.log = log }
}

// New returns a runner that calls newFleet before each run.
func New(newFleet func() Fleet, opts ...Option) *Runner {
	r := &Runner{newFleet: newFleet, log: func(string, ...any) {}}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Run runs every policy with the same arrivals, faults and seeds.
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

// oracle counts the effects of actions in the effect logs of the services.
type oracle struct{ env *testbed.Environment }

func (o oracle) EffectCount(a load.Arrival) int {
	effects := o.env.EffectLog(a.Pool)
	if effects == nil {
		return 0
	}
	return effects.EffectCount(a.Body)
}

// runPolicy starts the environment and the nodes and runs one policy with one seed.
func (r *Runner) runPolicy(ctx context.Context, e Experiment, policy string, seed uint64) (result Result, err error) {
	d, err := e.description()
	if err != nil {
		return result, err
	}
	plan, err := load.Plan(seed, e.loadShape(), load.Mix(d), d.Workspaces)
	if err != nil {
		return result, err
	}
	env, err := testbed.Start(d, testbed.WithSeed(seed))
	if err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, env.Close()) }()
	fleet := r.newFleet()
	defer func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		err = errors.Join(err, fleet.Close(ctx))
	}()
	if err := fleet.Start(ctx, Setup{Environment: env, Policy: policy, Seed: seed}); err != nil {
		return result, fmt.Errorf("start the nodes: %w", err)
	}
	balancer := load.NewReadyBalancer(func() []netip.AddrPort { return entryAddrs(fleet) })
	if err := waitReady(ctx, balancer, fleet); err != nil {
		return result, err
	}
	m := &measurement{experiment: e, env: env, fleet: fleet, balancer: balancer, plan: plan}
	return m.run(ctx, policy, seed)
}

// entryAddrs returns the addresses at which the running nodes accept callers, sorted by failure domain.
func entryAddrs(fleet Fleet) []netip.AddrPort {
	var list []netip.AddrPort
	entries := fleet.Entries()
	for _, d := range slices.Sorted(maps.Keys(entries)) {
		list = append(list, entries[d]...)
	}
	return list
}

// waitReady waits until all nodes are ready and then for warmUp. It fails if they are not ready within readyTimeout.
func waitReady(ctx context.Context, b *load.ReadyBalancer, fleet Fleet) error {
	end := time.Now().Add(readyTimeout)
	for {
		b.Poll(ctx)
		ready, want := b.ReadyCount(), len(entryAddrs(fleet))
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

// measurement is the measured part of a run: it sends the load, injects the faults and takes samples.
type measurement struct {
	experiment Experiment
	env        *testbed.Environment
	fleet      Fleet
	balancer   *load.ReadyBalancer
	plan       []load.Arrival

	samples []Sample
}

func (m *measurement) run(ctx context.Context, policy string, seed uint64) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	meter := m.startMeter()
	faults := &faultScheduler{faults: m.experiment.Faults, env: m.env, fleet: m.fleet}
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
	add(func() { m.collectSamples(ctx, start) })
	add(func() {
		faults.run(ctx, start)
		<-ctx.Done() // keeps the group running after the last fault
	})
	if err := group.Run(); err != nil {
		return Result{}, err
	}
	slices.SortFunc(faults.events, func(a, b Event) int { return int((a.At - b.At) * float64(time.Second)) })
	summary := load.Summarize(records)
	return Result{
		Policy: policy, Seed: seed, Summary: summary, Cost: poolCosts(m.env), Platform: m.env.Platform.Counts(),
		Events: faults.events, AfterDrain: attemptsAfterDrain(faults.events, m.samples),
		AttainmentBySecond: attainmentBySecond(records, m.experiment.Load.Seconds.Duration()),
		LatencyQuantiles:   summary.LatencyQuantiles(curveQuantiles),
		Samples:            m.samples, Violating: violatingRequests(records), Control: meter.cost(m.fleet),
	}, nil
}

// collectSamples takes a sample every sampleInterval until ctx is done.
func (m *measurement) collectSamples(ctx context.Context, start time.Time) {
	for i := 0; ; i++ {
		at := time.Duration(i) * sampleInterval
		if !sleepUntil(ctx, start.Add(at)) {
			return
		}
		m.samples = append(m.samples, takeSample(m.env, at))
	}
}

// maxViolating bounds the number of requests with violations that a result keeps.
const maxViolating = 100

// violatingRequests returns the first maxViolating requests with violations.
func violatingRequests(records []load.Record) []load.Record {
	list := []load.Record{}
	for _, r := range records {
		if len(r.Violations) > 0 && len(list) < maxViolating {
			list = append(list, r)
		}
	}
	return list
}

// versionedPools returns the pools of the run that have more than one version.
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
