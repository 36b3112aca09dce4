package serve

import (
	"cmp"
	"time"

	"bluebellflow/core/canary"
	"bluebellflow/core/config"
	"bluebellflow/core/domain"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/node"
	"bluebellflow/core/settings"
	"bluebellflow/io/admin"
	"bluebellflow/io/callers"
	"bluebellflow/io/httpserver"
	"bluebellflow/io/lines"
	"bluebellflow/io/membudget"
	"bluebellflow/io/mesh"
	"bluebellflow/io/runtime"
)

const (
	// defaultRequestTimeout applies to requests that specify no deadline; the settings may set a shorter one.
	defaultRequestTimeout = 8 * time.Second
	// defaultMemoryMB is the memory of the VM in megabytes if the settings name none.
	defaultMemoryMB = 256
	// maxDescriptors is the number of descriptors of the largest VM.
	maxDescriptors = 8192
)

// Config returns the runtime configuration of a node from its settings.
func Config(n settings.Node, opts ...node.Option) runtime.Config {
	opts = append([]node.Option{node.WithGrace(n.Limits.Grace)}, opts...)
	cfg := runtime.Config{
		Self: event.Self{
			Node: n.Name, FailureDomain: n.FailureDomain, Region: n.Region, Addr: n.Peer,
		},
		Build: func(self event.Self) (runtime.Decider, mesh.Resolve) {
			decider := node.New(self, opts...)
			return decider, decider.Resolve
		},
		Codec:    node.Codec(),
		Platform: n.Platform,
		Callers:  n.Caller,
		Admin:    n.Admin,
		Commands: Commands(),
		Keys: func(number uint64, count int) event.Event {
			return node.IssueKeys{Command: event.Command{Number: number}, Count: count}
		},
		Caller: []callers.Option{callers.WithLimits(int64(n.Limits.Body), n.Limits.Open, defaultRequestTimeout)},
	}
	plan := membudget.Divide(cmp.Or(n.Limits.Memory, defaultMemoryMB), cmp.Or(n.Limits.Descriptors, membudget.Descriptors(maxDescriptors)))
	cfg.Plan, cfg.MemoryMB = &plan, n.Limits.Memory
	cfg.Limits = httpserver.Limits{Conns: n.Callers.Connections, Stall: n.Callers.Stall, Write: n.Callers.Write, Lines: n.Callers.Fields}
	if n.TLS != nil {
		cfg.TLS = &mesh.TLSFiles{Certificate: n.TLS.Certificate, Key: n.TLS.Key, CA: n.TLS.CA}
	}
	return cfg
}

// Commands returns the functions that build the event of each operator command.
func Commands() admin.Commands {
	command := func(number uint64) event.Command { return event.Command{Number: number} }
	return admin.Commands{
		Config: func(number uint64, seen id.Revision) event.Event {
			return node.ReadConfig{Command: command(number), Seen: seen}
		},
		Apply: func(number uint64, source []byte, expect id.Revision) event.Event {
			// The file is parsed here, on the request's goroutine, because a long parse would block the event loop.
			tree, err := settings.Parse("settings", source)
			if err != nil {
				tree = nil
			}
			return config.Apply{Command: command(number), Source: source, Tree: tree, Expect: expect}
		},
		Explain: func(number uint64, seen id.Revision, q admin.ExplainQuery) event.Event {
			return node.Explain{
				Command: command(number), Seen: seen,
				Workspace: q.Workspace, Pipeline: q.Pipeline, Domain: q.FailureDomain, Key: q.Key,
			}
		},
		Status: func(number uint64, seen id.Revision) event.Event {
			return node.Status{Command: command(number), Seen: seen}
		},
		Drain: func(number uint64, d id.FailureDomain, by string) event.Event {
			return domain.Drain{Command: command(number), Domain: d, By: by}
		},
		Restore: func(number uint64, d id.FailureDomain, by string) event.Event {
			return domain.Restore{Command: command(number), Domain: d, By: by}
		},
		BeginRollout: func(number uint64, r admin.Rollout) event.Event {
			return canary.Begin{
				Command: command(number), Name: r.Name, Pool: r.Pool, From: r.From, To: r.To, Deadline: r.FinishBy,
			}
		},
		ListRollouts: func(number uint64) event.Event { return node.ListRollouts{Command: command(number)} },
	}
}

// TypeRegistry returns the registry of event and message types with which package lines drives the decision logic over a pipe.
func TypeRegistry() *lines.Registry { return lines.New(node.Commands(), node.Bodies()) }
