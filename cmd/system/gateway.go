package system

import (
	"cmp"
	"expvar"

	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
	"bluebellflow/core/ratelimit"
	"bluebellflow/core/settings"
	"bluebellflow/core/usage"
	"bluebellflow/io/gateway"
	"bluebellflow/io/httpserver"
	"bluebellflow/io/membudget"
	"bluebellflow/io/upstream"
	"bluebellflow/platform"
)

const (
	// defaultMemoryMB is the memory in megabytes that is divided if the settings name none: that of the largest VM.
	defaultMemoryMB = 536
	// minVMDescriptors is the number of descriptors of the smallest VM, because a process does not see the limit of its VM.
	minVMDescriptors = 2870
)

// PromptPart returns the number that identifies the prompt part of the given name.
func (System) PromptPart(name string) uint64 { return platform.PromptPart(name) }

// Gateway parses the settings of one gateway process. It returns the configuration of its node and its memory limit in
// megabytes.
func (System) Gateway(name string, source []byte) (gateway.Config, int, error) {
	s, err := settings.ParseGateway(name, source)
	if err != nil {
		return gateway.Config{}, 0, err
	}
	memoryMB, descriptors := cmp.Or(s.Memory, defaultMemoryMB), cmp.Or(s.Descriptors, membudget.Descriptors(minVMDescriptors))
	plan := membudget.Divide(memoryMB, descriptors)
	cfg := gateway.Config{
		Plan:      &plan,
		Limits:    httpserver.Limits{Conns: s.Callers.Connections, Stall: s.Callers.Stall, Write: s.Callers.Write, Lines: s.Callers.Fields},
		Self:      event.Self{Node: s.Name, FailureDomain: s.FailureDomain, Region: s.Region, Addr: s.Peer},
		Advertise: s.Advertise,
		Decoder:   platform.Decoder{},
		Dialect:   platform.Dialect{},
		Codec:     proxy.Codec(),
		Bounds: proxy.Bounds{
			ColdRateFactor: s.Bounds.Cold.RateFactor, ColdRateSlack: s.Bounds.Cold.RateSlack, Grace: s.Bounds.Grace, Weight: s.Cores,
			Retries: ratelimit.Budget{Ratio: s.Bounds.Retry.Ratio, Slack: s.Bounds.Retry.Slack, Span: s.Bounds.Retry.Span},
		},
		NewStore: func(deliver func(event.Event), vars *expvar.Map, report func(error)) gateway.Store {
			return platform.NewStore(s.Store, deliver, vars, report)
		},
		NewWorkers: func(client *upstream.Client, deliver func(event.Event)) gateway.Workers {
			return platform.NewWorkers(client, deliver)
		},
		Callers: s.Caller, Ready: s.Ready, Metrics: s.Metrics,
	}
	if s.Duties != nil {
		addDuties(&cfg, s.Name, *s.Duties)
	}
	return cfg, s.Memory, nil
}

// addDuties adds the calls to the control service that one node at a time makes.
func addDuties(cfg *gateway.Config, name id.Node, d settings.Duties) {
	cfg.Bounds.Duties = &proxy.Duties{
		Lease: duty.Options{Lease: d.Lease, CallsPerSecond: d.Rate}, Encoder: platform.Decoder{},
	}
	if platform.HasDuty(d.Names, duty.Usage) {
		cfg.Bounds.Duties.Usage = &usage.Options{Window: d.Window, Late: d.Late}
	}
	if platform.HasDuty(d.Names, duty.Scale) {
		cfg.Bounds.Duties.Scale = platform.Decoder{}
	}
	cfg.NewControl = func(deliver func(event.Event), vars *expvar.Map) gateway.Control {
		return platform.NewControl(d.Control, name, deliver, vars)
	}
}
