package proxy

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/autoscale"
	"bluebellflow/core/balance"
	"bluebellflow/core/batch"
	"bluebellflow/core/catalog"
	"bluebellflow/core/connlimit"
	"bluebellflow/core/denylist"
	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/leader"
	"bluebellflow/core/loadshare"
	"bluebellflow/core/ratelimit"
	"bluebellflow/core/retry"
	"bluebellflow/core/rollout"
	"bluebellflow/core/roster"
	"bluebellflow/core/selfreport"
	"bluebellflow/core/timerqueue"
	"bluebellflow/core/usage"
	"bluebellflow/core/watchcache"
)

const (
	// ConfigKind is the object kind of the configuration.
	ConfigKind = "config"
	// ConfigName is the name of the object that holds the configuration in force.
	ConfigName = "main"
	// storeWatchers is the number of highest-ranked nodes that watch the store directly.
	storeWatchers = 2
	// settleTime is how long a starting node waits for the entries of nodes that start at the same time.
	settleTime = 100 * time.Millisecond
	// unseenNodes is the number of nodes that may have joined unnoticed. It is added to the known nodes when a global bound
	// is divided among them.
	unseenNodes = 3
)

// Decoder decodes the store objects that operators and servers write.
type Decoder interface {
	fleet.Decoder
	rollout.Decoder
	Catalog(spec []byte) (*catalog.Catalog, error)
}

// Bounds holds the limits that all nodes together keep, and the settings of this node.
type Bounds struct {
	ColdRateFactor float64 // multiplies a cold server's rate
	ColdRateSlack  float64 // requests per second added to it
	Retries        ratelimit.Budget
	Grace          time.Duration // from the stop signal to the end of the process
	Weight         float64       // relative size of this node's VM
	Duties         *Duties       // nil if there are none
}

// module is a decision package that handles events and has timers.
type module interface {
	Step(now time.Time, ev event.Event) []event.Action
	Next() time.Time
}

// Gateway is the decision logic of one gateway process.
type Gateway struct {
	self         event.Self
	decoder      Decoder
	bounds       Bounds
	cache        *watchcache.Cache
	roster       *roster.Roster
	leader       *leader.Tracker
	fleet        *fleet.Fleet
	rollouts     *rollout.Rollouts
	crashGuard   *denylist.Guard
	reports      *selfreport.Tracker
	balancer     *balance.Balancer
	loads        *loadshare.Sharer
	scheduler    *batch.Scheduler
	retryLimiter *ratelimit.RetryLimiter
	coldLimiter  *ratelimit.ColdLimiter
	connLimits   *connlimit.Limiter
	leases       *duty.Leases          // nil without duties
	usage        *usage.Usage          // nil if usage is not reported
	autoscaler   *autoscale.Autoscaler // nil if no servers are ordered
	modules      []module

	catalog      *catalog.Catalog
	requests     map[Ticket]*request
	jobs         map[uint64]*request // by the ticket of the batch job that runs their stages
	lastJob      uint64              // starts at random, because replies to the previous process may still arrive
	timers       timerqueue.Heap[Ticket]
	durations    map[string]*routeDurations // by route
	refusalsSeen int                        // refusals of the crash guard that waiting requests were checked for
	refusedConns []selfreport.Process       // processes that refused a connection, oldest first
	shutdown     shutdown
	ready        bool
	reportedEra  StoreEra
	settle       retry.Timer // set while the list of nodes may be incomplete
	settled      bool        // the list of nodes is considered complete
}

// New returns a gateway that knows only its own node.
func New(self event.Self, decoder Decoder, bounds Bounds) *Gateway {
	kinds := []string{roster.Kind, ConfigKind, fleet.KindServers, fleet.KindEvacuations, rollout.Kind}
	if bounds.Duties != nil {
		kinds = append(kinds, duty.Kind)
	}
	g := &Gateway{
		self: self, decoder: decoder, bounds: bounds,
		cache:        watchcache.New(self, kinds...),
		roster:       roster.New(self, bounds.Weight),
		leader:       leader.New(self),
		fleet:        fleet.New(decoder),
		retryLimiter: ratelimit.NewRetryLimiter(bounds.Retries),
		crashGuard:   denylist.New(self),
		reports:      selfreport.New(self),
		coldLimiter:  ratelimit.NewColdLimiter(self.Node, unseenNodes),
		connLimits:   connlimit.New(self.Node, unseenNodes),
		requests:     map[Ticket]*request{}, jobs: map[uint64]*request{}, durations: map[string]*routeDurations{},
		lastJob: self.Rand.Uint64(),
	}
	g.cache.SetNewer(ConfigKind, g.newerConfig)
	g.balancer = balance.New(self, g.fleet, g.coldLimiter, g.reports)
	g.loads = loadshare.New(self, g.balancer.Model())
	g.rollouts = rollout.New(self, decoder, g.fleet)
	g.scheduler = batch.New(self, g.fleet, batch.WithVersions(g.rollouts), batch.WithReports(g.reports))
	g.modules = []module{g.cache, g.roster, g.fleet, g.leader, g.rollouts, g.crashGuard, g.reports, g.connLimits, noTimers{g.balancer}, g.loads, g.scheduler}
	g.startDuties(bounds.Duties)
	return g
}

// noTimers adapts a package without timers to the module interface.
type noTimers struct{ *balance.Balancer }

// Next returns zero, for no timer.
func (noTimers) Next() time.Time { return time.Time{} }

// actions collects the actions of a step.
type actions []event.Action

func (a *actions) add(more ...event.Action) { *a = append(*a, more...) }

// Step handles one event and returns the resulting actions in order.
func (g *Gateway) Step(now time.Time, ev event.Event) []event.Action {
	out := event.Propagate(ev, g.toInternal, func(ev event.Event) []event.Action { return g.handle(now, ev) })
	var rest actions
	g.refuseWaiting(now, &rest)
	rest.add(g.updateLifecycle(now)...)
	g.reportEra(&rest)
	return append(out, rest...)
}

// toInternal converts an action addressed to this node into the event that it causes.
func (g *Gateway) toInternal(a event.Action) (event.Event, bool) {
	if s, ok := a.(event.Send); ok && s.To == g.self.Node {
		return event.Receive{From: s.To, Incarnation: g.self.Incarnation, Body: s.Body}, true
	}
	return event.IsInternal(a)
}

func (g *Gateway) handle(now time.Time, ev event.Event) []event.Action {
	era := g.cache.Era() // the modules' knowledge is of this era until they handle EraChanged
	var out actions
	for _, m := range g.modules {
		out.add(m.Step(now, ev)...)
	}
	g.dispatch(now, ev, &out)
	if g.settle.Due(now) {
		g.settled = true
		g.chooseSource(now)
	}
	for g.timers.Due(now) {
		g.handleTimer(now, g.timers.Pop(), &out)
	}
	stampEra(out, era)
	return out
}

// dispatch handles the events of requests and those that connect the modules.
func (g *Gateway) dispatch(now time.Time, ev event.Event, out *actions) {
	switch ev := ev.(type) {
	case Arrive:
		g.handleArrive(now, ev, out)
	case Disconnected:
		g.handleDisconnect(now, ev.Ticket, out)
	case Closed:
		g.shutdown.idle = true
	case ExplainRoute:
		out.add(event.CommandResult{Number: ev.Number, Value: g.explain(now, ev.RequestInfo)})
	case Began:
		g.handleBegan(now, ev, out)
	case Ended:
		g.handleEnded(now, ev, out)
	case event.Receive:
		switch b := ev.Body.(type) {
		case batch.Done:
			g.stagesDone(now, ev, b, out)
		case batch.Failed:
			g.stagesFailed(now, ev, b, out)
		case batch.Moved:
			g.stagesMoved(now, ev, b, out)
		}
	case watchcache.ObjectChanged:
		if ev.Kind == ConfigKind && ev.Object.Name == ConfigName {
			g.applyConfig(ev.Object, out)
		}
	case roster.Changed:
		g.nodesChanged()
		g.chooseSource(now)
	case leader.Changed:
		g.roster.SetLeading(ev.Leader == g.self.Node)
		g.rollouts.SetLeader(now, ev.Leader)
		g.chooseSource(now)
		g.leaderChanged(now, out)
		g.dutyLeaderChanged(now, ev.Leader, out)
	case event.PeerLink:
		choice := "lost"
		if ev.Up {
			choice = "connected"
		}
		out.add(event.Log{Kind: "peer", Stage: string(ev.Peer), Choice: choice})
	case event.Stop:
		g.beginShutdown(now, out)
	}
}

// applyConfig applies a configuration unless it is invalid or no newer than the current one.
func (g *Gateway) applyConfig(o watchcache.Object, out *actions) {
	next, err := g.decoder.Catalog(o.Spec)
	if err != nil {
		out.add(event.Log{Kind: "config", Choice: "ignore", Reason: fmt.Sprintf("revision=%d %v", o.Revision, err)})
		return
	}
	if g.catalog != nil && next.Version() <= g.catalog.Version() {
		return
	}
	g.catalog = next
	g.scheduler.SetCatalog(next)
	if g.autoscaler != nil {
		g.autoscaler.SetCatalog(next)
	}
	if err := next.Problem(); err != nil {
		out.add(event.Log{Kind: "config", Choice: "partial", Reason: fmt.Sprintf("version=%d %v", next.Version(), err)})
	}
	out.add(
		event.Log{Kind: "config", Choice: "apply", Reason: fmt.Sprintf("version=%d revision=%d", next.Version(), o.Revision)},
		Limit{Limits: next.Limits(), Catalog: next})
}

func (g *Gateway) nodesChanged() {
	names := g.roster.Nodes()
	var candidates []leader.Candidate
	var sharers []loadshare.Node
	for _, name := range names {
		n, _ := g.roster.Node(name)
		candidates = append(candidates, leader.Candidate{Node: name, Domain: n.Domain, Weight: n.Weight})
		sharers = append(sharers, loadshare.Node{Name: name, Domain: n.Domain, Weight: n.Weight})
	}
	g.cache.SetPeers(names)
	g.leader.SetCandidates(candidates)
	g.loads.SetNodes(sharers)
	g.coldLimiter.SetNodes(names)
	g.connLimits.SetNodes(names)
	g.rollouts.SetNodes(names)
	g.crashGuard.SetNodes(names)
	g.reports.SetNodes(names)
	g.balancer.SetNodes(len(names))
	g.retryLimiter.SetNodes(len(names) + unseenNodes)
	if g.usage != nil {
		g.usage.SetNodes(names)
	}
	if g.autoscaler != nil {
		g.autoscaler.SetNodes(names, domainsOf(candidates))
	}
}

// chooseSource selects where the cache gets the store's changes from: from the leader on most nodes. The highest-ranked
// nodes and the first node of each failure domain watch the store directly, so that the next leader knows what the
// previous one knew, and changes still reach all nodes if the store rejects the leader.
func (g *Gateway) chooseSource(now time.Time) {
	if !g.settled && g.settle.Next().IsZero() {
		if !g.cache.Loaded(roster.Kind) {
			return
		}
		g.settle.Set(now, settleTime)
	}
	rank, domainRank := g.leader.Rank(now)
	g.cache.SetSource(now, g.leader.Leader(), g.leader.First(now, storeWatchers), g.settled && (rank < storeWatchers || domainRank == 0))
}

// loaded reports whether the node has loaded the objects that it needs to forward requests.
func (g *Gateway) loaded() bool {
	return g.catalog != nil && g.cache.Loaded(fleet.KindServers) && g.cache.Loaded(fleet.KindEvacuations) && g.cache.Loaded(rollout.Kind)
}

// Resolve returns the address of a node.
func (g *Gateway) Resolve(name id.Node) (netip.AddrPort, bool) { return g.roster.Resolve(name) }

// Next returns the time of the next timer, zero for none.
func (g *Gateway) Next() time.Time {
	times := []time.Time{g.timers.Next(), g.shutdown.nextPoll, g.settle.Next()}
	for _, m := range g.modules {
		times = append(times, m.Next())
	}
	return retry.Earliest(times...)
}

// Open returns the number of open requests.
func (g *Gateway) Open() int { return len(g.requests) }

func fingerprint(s string) id.Fingerprint { return id.Fingerprint(xxhash.Sum64String(s)) }
