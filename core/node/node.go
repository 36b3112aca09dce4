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
	// balancerLag is how long the platform's balancer may go on sending callers to a node that is not ready.
	balancerLag = 2 * time.Second
	// defaultGrace is longer than the longest deadline and the wait for the outcome of its action.
	defaultGrace = 30 * time.Second
	// recordWait is how long a stopping node tries to record outcomes while the platform is down.
	recordWait = 15 * time.Second
	// pauseGap is the time between two steps after which a stopping node, which looks around every stopPoll, must have
	// been frozen; what arrived meanwhile is handled during wakeWait.
	pauseGap = 500 * time.Millisecond
	wakeWait = 500 * time.Millisecond
	// stopPoll is how often a stopping node looks whether its last request has ended.
	stopPoll = 50 * time.Millisecond
)

// module is one decision package.
type module interface {
	Step(now time.Time, ev event.Event) []event.Action
	Next() time.Time
}

// admission gives the queue's timer the name that the other packages use.
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
	moves    *canary.Moves
	requests *request.Requests
	modules  []module

	grace    time.Duration
	polls    map[uint64]*poll
	held     []heldCommand
	polled   uint64
	ready    bool
	stopped  time.Time // when Stop came, zero before
	woke     time.Time // when a stopping node last came out of a pause of its process
	stepped  time.Time // the last step of a stopping node
	exited   bool
	waitNext time.Time
}

// New returns a node that knows only itself.
func New(self event.Self, opts ...Option) *Node {
	o := options{grace: defaultGrace}
	for _, opt := range opts {
		opt(&o)
	}
	n := &Node{
		self:    self,
		members: member.New(self, o.member...),
		config:  config.New(self, o.config...),
		domains: domain.New(self, o.domain...),
		claims:  claim.New(self, o.claim...),
		guard:   quarantine.New(self, o.crash...),
		router:  route.New(self, o.route...),
		queue:   admit.New(self, o.admit...),
		moves:   canary.New(self, o.move...),
		grace:   o.grace,
		polls:   map[uint64]*poll{},
	}
	n.requests = request.New(self, request.Dependencies{
		Router: n.router, Queue: n.queue, Claims: n.claims, Guard: n.guard,
		Versions: n.moves, Settings: n.config,
	}, o.request...)
	n.modules = []module{
		n.members, n.config, n.domains, n.claims, n.guard, n.router, admission{n.queue}, n.moves, n.requests,
	}
	return n
}

// Step handles one event and returns what is to be done for it, in order.
func (n *Node) Step(now time.Time, ev event.Event) []event.Action {
	out := event.Propagate(ev, event.IsInternal, func(ev event.Event) []event.Action { return n.handle(now, ev) })
	return append(out, n.state(now)...)
}

// handle gives one event to every package; each ignores what does not concern it.
func (n *Node) handle(now time.Time, ev event.Event) []event.Action {
	out := n.own(now, ev)
	for _, m := range n.modules {
		out = append(out, m.Step(now, ev)...)
	}
	return out
}

// own handles the events that concern the composition, and translates between packages.
func (n *Node) own(now time.Time, ev event.Event) []event.Action {
	if out, hold := n.hold(now, ev); hold {
		return out
	}
	switch ev := ev.(type) {
	case config.Changed:
		n.setRetries(ev.Tree)
		return append(n.release(now), poolLimits(ev.Tree))
	case domain.Changed:
		return []event.Action{route.DomainState{
			Domain: ev.Domain, Open: ev.State != domain.Drained, Cold: ev.State == domain.Ramping,
		}}
	case event.Stop:
		return n.stop(now)
	case Status:
		return n.ask(now, ev)
	case event.Receive:
		return n.message(ev)
	case event.Tick:
		return append(n.overdue(now), n.release(now)...)
	case ListRollouts:
		return []event.Action{event.CommandResult{Number: ev.Number, Value: n.moves.Status()}}
	case Explain:
		return []event.Action{n.explain(ev)}
	case IssueKeys:
		return []event.Action{n.issue(now, ev)}
	case ReadConfig:
		return []event.Action{event.CommandResult{Number: ev.Number, Value: Configuration{Revision: n.config.Revision(), Parts: n.config.Tree().Parts()}}}
	}
	return nil
}

// setRetries gives each pipeline the retry budget of its settings.
func (n *Node) setRetries(tree *settings.Tree) {
	for _, p := range tree.Pipelines() {
		if e, err := tree.Effective("", p, n.self.FailureDomain); err == nil {
			n.queue.SetRetryRatio(p, e.Retries)
		}
	}
}

// stop begins a graceful shutdown: unready first, then nothing new by choice, then wait for the open requests.
func (n *Node) stop(now time.Time) []event.Action {
	if !n.stopped.IsZero() {
		return nil
	}
	n.stopped = now
	return append([]event.Action{event.Readiness{Ready: false}}, n.members.Leave(now)...)
}

// state emits what depends on all packages together: readiness and exit.
func (n *Node) state(now time.Time) []event.Action {
	var out []event.Action
	ready := n.stopped.IsZero() && n.config.Revision() > 0 && n.moves.Loaded()
	if ready && !n.ready {
		out = append(out, event.Readiness{Ready: true})
	}
	n.ready = ready
	n.waitNext = time.Time{}
	if n.stopped.IsZero() || n.exited {
		return out
	}
	if !n.stepped.IsZero() && now.Sub(n.stepped) > pauseGap {
		n.woke = now
	}
	n.stepped = now
	if n.finished(now) {
		n.exited = true
		return append(out, event.Exit{})
	}
	n.waitNext = now.Add(stopPoll)
	return out
}

// finished reports whether a stopping node has nothing left to do and gets no more requests, or must end in any case.
func (n *Node) finished(now time.Time) bool {
	recorded := n.claims.UnrecordedOutcomes() == 0 || now.Sub(n.stopped) >= recordWait
	quiet := now.Sub(n.stopped) >= balancerLag && now.Sub(n.woke) >= wakeWait
	done := recorded && quiet && n.requests.OpenCount() == 0 && n.claims.OpenRequests() == 0
	return done || now.Sub(n.stopped) >= n.grace
}

// Next returns the time of the earliest timer, zero for none.
func (n *Node) Next() time.Time {
	next := n.waitNext
	for _, h := range n.held {
		if next.IsZero() || h.until.Before(next) {
			next = h.until
		}
	}
	for _, p := range n.polls {
		if next.IsZero() || p.until.Before(next) {
			next = p.until
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

// Versions returns what every message of this node carries: the newest configuration and domain records that it knows.
func (n *Node) Versions() (id.Revision, uint64) { return n.config.Revision(), n.domains.Version() }

// Resolve returns the peer address of a node that was listed or heard of.
func (n *Node) Resolve(name id.Node) (netip.AddrPort, bool) { return n.members.Addr(name) }

// Ready reports whether the balancer may send callers to this node.
func (n *Node) Ready() bool { return n.ready }

// Counters returns the counts of the node's requests.
func (n *Node) Counters() request.Counters { return n.requests.Counters() }

// Start returns the newest start identity of a backend server that this node knows, empty for none.
func (n *Node) Start(server id.Server) id.Start {
	s, _ := n.members.Server(server)
	return s.Start
}
