package node

import (
	"net/netip"
	"time"

	"bluebellflow/core/admit"
	"bluebellflow/core/canary"
	"bluebellflow/core/claim"
	"bluebellflow/core/config"
	"bluebellflow/core/domain"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/quarantine"
	"bluebellflow/core/request"
	"bluebellflow/core/route"
	"bluebellflow/core/settings"
)

const (
	// balancerLag is the longest time for which the platform's load balancer still sends callers to a node that is not ready.
	balancerLag = 2 * time.Second
	// defaultGrace exceeds the longest request deadline plus the wait for the outcome of the request's action.
	defaultGrace = 30 * time.Second
	// maxRecordTime is how long a stopping node tries to record outcomes while the platform is unavailable.
	maxRecordTime = 15 * time.Second
	// A stopping node steps at least every stopPollInterval, so a gap longer than pauseThreshold means that the process
	// was frozen. The node then stays up for resumeWait to handle the events that arrived during the pause.
	pauseThreshold = 500 * time.Millisecond
	resumeWait     = 500 * time.Millisecond
	// stopPollInterval is how often a stopping node checks whether its last request has ended.
	stopPollInterval = 50 * time.Millisecond
)

// module is the interface that the decision packages share.
type module interface {
	Step(now time.Time, ev event.Event) []event.Action
	Next() time.Time
}

// admission adapts admit.Queue to module.
type admission struct{ *admit.Queue }

// Next returns when a queued request can no longer meet its deadline.
func (a admission) Next() time.Time { return a.NextExpiry() }

// Node is the decision logic of one process.
type Node struct {
	self     event.Self
	members  *member.Members
	config   *config.Config
	domains  *domain.Domains
	claims   *claim.Claims
	guard    *quarantine.Guard
	router   *route.Router
	queue    *admit.Queue
	rollouts *canary.Rollouts
	requests *request.Requests
	modules  []module

	grace        time.Duration
	polls        map[uint64]*poll
	heldCommands []heldCommand
	lastPoll     uint64
	ready        bool
	stoppedAt    time.Time // when Stop was received, zero before
	resumedAt    time.Time // end of the last pause of a stopping node's process
	lastStep     time.Time // last step of a stopping node
	exited       bool
	nextStopPoll time.Time
}

// New returns a node that knows no other nodes and has no configuration.
func New(self event.Self, opts ...Option) *Node {
	o := options{grace: defaultGrace}
	for _, opt := range opts {
		opt(&o)
	}
	n := &Node{
		self:     self,
		members:  member.New(self, o.member...),
		config:   config.New(self, o.config...),
		domains:  domain.New(self, o.domain...),
		claims:   claim.New(self, o.claim...),
		guard:    quarantine.New(self, o.quarantine...),
		router:   route.New(self, o.route...),
		queue:    admit.New(self, o.admit...),
		rollouts: canary.New(self, o.canary...),
		grace:    o.grace,
		polls:    map[uint64]*poll{},
	}
	n.requests = request.New(self, request.Dependencies{
		Router: n.router, Queue: n.queue, Claims: n.claims, Guard: n.guard,
		Versions: n.rollouts, Settings: n.config,
	}, o.request...)
	n.modules = []module{
		n.members, n.config, n.domains, n.claims, n.guard, n.router, admission{n.queue}, n.rollouts, n.requests,
	}
	return n
}

// Step handles one event and returns the resulting actions in order.
func (n *Node) Step(now time.Time, ev event.Event) []event.Action {
	out := event.Propagate(ev, event.IsInternal, func(ev event.Event) []event.Action { return n.handle(now, ev) })
	return append(out, n.lifecycle(now)...)
}

// handle passes one event to every module; each ignores the events that do not concern it.
func (n *Node) handle(now time.Time, ev event.Event) []event.Action {
	out := n.handleOwn(now, ev)
	for _, m := range n.modules {
		out = append(out, m.Step(now, ev)...)
	}
	return out
}

// handleOwn handles the events addressed to the node itself and translates events between modules.
func (n *Node) handleOwn(now time.Time, ev event.Event) []event.Action {
	if out, hold := n.holdCommand(now, ev); hold {
		return out
	}
	switch ev := ev.(type) {
	case config.Changed:
		n.setRetries(ev.Tree)
		return append(n.releaseCommands(now), poolLimits(ev.Tree))
	case domain.Changed:
		return []event.Action{route.DomainState{
			Domain: ev.Domain, Open: ev.State != domain.Drained, Cold: ev.State == domain.Ramping,
		}}
	case event.Stop:
		return n.stop(now)
	case Status:
		return n.startPoll(now, ev)
	case event.Receive:
		return n.handleMessage(ev)
	case event.Tick:
		return append(n.expirePolls(now), n.releaseCommands(now)...)
	case ListRollouts:
		return []event.Action{event.CommandResult{Number: ev.Number, Value: n.rollouts.Status()}}
	case Explain:
		return []event.Action{n.explain(ev)}
	case IssueKeys:
		return []event.Action{n.issueKeys(now, ev)}
	case ReadConfig:
		return []event.Action{event.CommandResult{Number: ev.Number, Value: Configuration{Revision: n.config.Revision(), Parts: n.config.Tree().Parts()}}}
	}
	return nil
}

// setRetries applies the retry budget in the settings of each pipeline.
func (n *Node) setRetries(tree *settings.Tree) {
	for _, p := range tree.Pipelines() {
		if e, err := tree.Effective("", p, n.self.FailureDomain); err == nil {
			n.queue.SetRetryRatio(p, e.Retries)
		}
	}
}

// stop begins a graceful shutdown: the node reports that it is not ready, announces that it leaves and waits for its
// open requests.
func (n *Node) stop(now time.Time) []event.Action {
	if !n.stoppedAt.IsZero() {
		return nil
	}
	n.stoppedAt = now
	n.requests.SetExit(now.Add(n.grace))
	return append([]event.Action{event.Readiness{Ready: false}}, n.members.Leave(now)...)
}

// lifecycle emits the actions that depend on several modules: readiness and exit.
func (n *Node) lifecycle(now time.Time) []event.Action {
	var out []event.Action
	ready := n.stoppedAt.IsZero() && n.config.Revision() > 0 && n.rollouts.Loaded()
	if ready && !n.ready {
		out = append(out, event.Readiness{Ready: true})
	}
	n.ready = ready
	n.nextStopPoll = time.Time{}
	if n.stoppedAt.IsZero() || n.exited {
		return out
	}
	if !n.lastStep.IsZero() && now.Sub(n.lastStep) > pauseThreshold {
		n.resumedAt = now
	}
	n.lastStep = now
	if n.finished(now) {
		n.exited = true
		return append(out, event.Exit{})
	}
	n.nextStopPoll = now.Add(stopPollInterval)
	return out
}

// finished reports whether a stopping node has no work left and expects no more requests, or its grace period is over.
func (n *Node) finished(now time.Time) bool {
	recorded := n.claims.UnrecordedOutcomes() == 0 || now.Sub(n.stoppedAt) >= maxRecordTime
	quiet := now.Sub(n.stoppedAt) >= balancerLag && now.Sub(n.resumedAt) >= resumeWait
	done := recorded && quiet && n.requests.OpenCount() == 0 && n.claims.OpenRequests() == 0
	return done || now.Sub(n.stoppedAt) >= n.grace
}

// Next returns the time of the earliest timer, or zero if there is none.
func (n *Node) Next() time.Time {
	next := n.nextStopPoll
	for _, h := range n.heldCommands {
		if next.IsZero() || h.deadline.Before(next) {
			next = h.deadline
		}
	}
	for _, p := range n.polls {
		if next.IsZero() || p.deadline.Before(next) {
			next = p.deadline
		}
	}
	for _, m := range n.modules {
		t := m.Next()
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	return next
}

// Versions returns the newest versions of the configuration and the domain records that this node knows. Every message
// carries them.
func (n *Node) Versions() (id.Revision, uint64) { return n.config.Revision(), n.domains.Version() }

// Resolve returns the peer address of a node that the platform listed or another node reported.
func (n *Node) Resolve(name id.Node) (netip.AddrPort, bool) { return n.members.Addr(name) }

// Ready reports whether the load balancer may send callers to this node.
func (n *Node) Ready() bool { return n.ready }

// Counters returns the counts of the node's requests.
func (n *Node) Counters() request.Counters { return n.requests.Counters() }

// Start returns the newest known start ID of a backend server, or an empty string if there is none.
func (n *Node) Start(server id.Server) id.Start {
	s, _ := n.members.Server(server)
	return s.Start
}
