package autoscale

import (
	"maps"
	"slices"
	"time"

	"bluebellflow/core/catalog"
	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/retry"
	"bluebellflow/core/selfreport"
	"bluebellflow/core/usage"
)

// Ranking is the order of the nodes.
type Ranking interface {
	Leader() id.Node
	// Successor returns the node that would lead if the leader were lost, empty if there is none.
	Successor(now time.Time) id.Node
}

// Leases holds the leases of the orders.
type Leases interface {
	Active() bool
	Loaded() bool
	Record(duty.Subject) ([]byte, bool)
	NewRecord(subject duty.Subject, record []byte) duty.WriteRecord
	Call(now time.Time, subject duty.Subject, body []byte) (duty.Call, time.Time, bool)
	// StaleSince reports whether a later order may have been recorded and sent that this node has not seen.
	StaleSince(duty.Subject) (time.Time, bool)
}

// Fleet provides the servers of a pool and whether they may be used.
type Fleet interface {
	Pool(id.Pool) []*fleet.Server
	Usable(*fleet.Server) (bool, string)
}

// Encoder encodes an order as the control service reads it.
type Encoder interface {
	ScaleOrder(pool id.Pool, domain id.FailureDomain, desired int) ([]byte, error)
}

// Requests returns the demand of this node's open requests on a pool: attempts in progress by failure domain, and the number of
// requests that wait for a server.
type Requests func(id.Pool) (running map[id.FailureDomain]int, waiting int)

// Autoscaler reports the demand of this node, and orders servers while this node leads.
type Autoscaler struct {
	self     event.Self
	ranking  Ranking
	leases   Leases
	fleet    Fleet
	encoder  Encoder
	requests Requests

	nodes   []id.Node
	domains []id.FailureDomain // of the nodes
	pools   map[id.Pool]*pool

	start    time.Time
	own      map[id.Pool]*observed
	reports  map[id.Node]report // last report of each node
	sendAt   time.Time
	decideAt time.Time

	orders map[duty.Subject]*orderState
	calls  map[uint64]*orderState // calls in progress, by number
}

// observed is what this node has observed of a pool since its last report.
type observed struct {
	reports, load map[id.FailureDomain]uint64
	refused       time.Duration // work refused since the start of the process
}

// New returns an autoscaler without pools.
func New(self event.Self, ranking Ranking, leases Leases, servers Fleet, encoder Encoder, requests Requests) *Autoscaler {
	return &Autoscaler{
		self: self, ranking: ranking, leases: leases, fleet: servers, encoder: encoder, requests: requests,
		pools: map[id.Pool]*pool{}, own: map[id.Pool]*observed{}, reports: map[id.Node]report{},
		orders: map[duty.Subject]*orderState{}, calls: map[uint64]*orderState{},
	}
}

// SetNodes sets all nodes whose reports are expected, and their failure domains.
func (a *Autoscaler) SetNodes(names []id.Node, domains []id.FailureDomain) {
	a.nodes, a.domains = names, domains
	maps.DeleteFunc(a.reports, func(name id.Node, _ report) bool { return !slices.Contains(names, name) })
}

// SetCatalog sets the pools that may be scaled.
func (a *Autoscaler) SetCatalog(c *catalog.Catalog) {
	pools := map[id.Pool]*pool{}
	for _, cp := range c.Pools() {
		if cp.Scale == nil {
			continue
		}
		p := a.pools[cp.Name]
		if p == nil {
			p = newPool()
		}
		p.scale = *cp.Scale
		pools[cp.Name] = p
	}
	a.pools = pools
}

// LeaderChanged reports demand to the new leader at the next step. The state of orders is reset; they continue from their records.
func (a *Autoscaler) LeaderChanged(now time.Time) {
	a.sendAt = now
	for _, o := range a.orders {
		*o = orderState{subject: o.subject, pool: o.pool, domain: o.domain}
	}
}

// ObserveLoad records the load that a server has reported in its response to a request. That request is not part of the recorded
// load, because the node counts it among its own attempts.
func (a *Autoscaler) ObserveLoad(pool id.Pool, domain id.FailureDomain, load selfreport.Load) {
	if o := a.observed(pool); o != nil {
		o.reports[domain]++
		o.load[domain] += uint64(max(0, min(load.Running+load.Waiting-1, maxRequests)))
	}
}

// Refused records a request that was refused because no server was available. work is the time that it would have taken.
func (a *Autoscaler) Refused(pool id.Pool, work time.Duration) {
	if o := a.observed(pool); o != nil {
		o.refused += max(0, work)
	}
}

func (a *Autoscaler) observed(pool id.Pool) *observed {
	if a.pools[pool] == nil {
		return nil
	}
	o := a.own[pool]
	if o == nil {
		o = &observed{reports: map[id.FailureDomain]uint64{}, load: map[id.FailureDomain]uint64{}}
		a.own[pool] = o
	}
	return o
}

// Next returns the time of the next timer, zero for none.
func (a *Autoscaler) Next() time.Time {
	if len(a.pools) == 0 {
		return time.Time{}
	}
	out := retry.Earliest(a.sendAt, a.decideAt)
	for _, o := range a.orders {
		if o.open && a.leases.Active() {
			out = retry.Earliest(out, o.retryAt)
		}
	}
	return out
}

// Step handles one event.
func (a *Autoscaler) Step(now time.Time, ev event.Event) []event.Action {
	if a.start.IsZero() {
		a.start, a.sendAt, a.decideAt = now, now.Add(sendInterval), now
	}
	var out []event.Action
	switch ev := ev.(type) {
	case event.Receive:
		if d, ok := ev.Body.(Demand); ok {
			a.handleDemand(now, ev, d)
		}
	case usage.CountsSent:
		a.sendAt = now // the same nodes get both messages, which are then sent together
	case duty.Recorded:
		out = a.handleRecord(now, ev.Subject, true)
	case duty.Changed:
		out = a.handleRecord(now, ev.Subject, false)
	case duty.CallResult:
		out = a.handleResult(now, ev)
	}
	if len(a.pools) == 0 {
		return out
	}
	if !now.Before(a.sendAt) {
		a.sendAt = now.Add(sendInterval)
		out = append(out, a.send(now)...)
	}
	if !now.Before(a.decideAt) {
		a.decideAt = now.Add(decideInterval)
		out = append(out, a.decide(now)...)
	}
	return append(out, a.retry(now)...)
}

// send reports the demand of this node to the leader and to the next node in rank.
func (a *Autoscaler) send(now time.Time) []event.Action {
	d := a.demand(now)
	a.handleDemand(now, event.Receive{From: a.self.Node, Incarnation: a.self.Incarnation}, d)
	var out []event.Action
	for _, name := range slices.Compact([]id.Node{a.ranking.Leader(), a.ranking.Successor(now)}) {
		if name != "" && name != a.self.Node {
			out = append(out, event.Send{To: name, Body: d})
		}
	}
	return out
}

// demand returns the report of this node. It leaves out pools that a message must not hold, because it would be rejected as a whole.
func (a *Autoscaler) demand(now time.Time) Demand {
	d := Demand{Sent: int64(now.Sub(a.start))}
	for _, name := range slices.Sorted(maps.Keys(a.pools)) {
		running, waiting := a.requests(name)
		o := a.observed(name)
		p := PoolDemand{Pool: name, Waiting: uint64(waiting), Refused: uint64(o.refused / time.Millisecond)}
		for _, domain := range slices.Sorted(maps.Keys(union(running, o.reports))) {
			p.Domains = append(p.Domains, DomainDemand{
				Domain: domain, Running: uint64(running[domain]), Reports: o.reports[domain], Load: o.load[domain],
			})
		}
		clear(o.reports)
		clear(o.load)
		if p.check() == nil && len(d.Pools) < maxPools {
			d.Pools = append(d.Pools, p)
		}
	}
	return d
}

func union(running map[id.FailureDomain]int, reports map[id.FailureDomain]uint64) map[id.FailureDomain]bool {
	out := map[id.FailureDomain]bool{}
	for domain := range running {
		out[domain] = true
	}
	for domain := range reports {
		out[domain] = true
	}
	return out
}

// decide measures the demand of each pool, and orders servers if this node leads. The next node in rank measures as well, so
// that it has a history when it becomes the leader.
func (a *Autoscaler) decide(now time.Time) []event.Action {
	var out []event.Action
	leading := a.leases.Active() && a.leases.Loaded()
	for _, name := range slices.Sorted(maps.Keys(a.pools)) {
		p := a.pools[name]
		a.update(now, name, p)
		p.add(now, a.measure(now, name))
		if !leading {
			continue
		}
		if n := len(p.samples); n > 0 {
			out = append(out, Measured{Pool: name, Demand: p.samples[n-1].demand})
		}
		for _, d := range p.sorted() {
			a.repeatUnfulfilled(now, name, p, d)
		}
		for _, o := range p.decide(now) {
			out = append(out, a.applyOrder(name, o)...)
		}
	}
	return out
}

// update refreshes the counts of a pool's servers, and the numbers that were ordered.
func (a *Autoscaler) update(now time.Time, name id.Pool, p *pool) {
	for _, d := range p.domains {
		d.ready, d.cold, d.draining, d.evacuated = 0, 0, 0, false
	}
	slots, servers := 0, a.fleet.Pool(name)
	for _, s := range servers {
		d := p.domain(s.Domain)
		slots += s.Slots
		usable, _ := a.fleet.Usable(s)
		switch {
		case s.Draining:
			d.draining++
			continue
		case !usable:
			d.evacuated = true
		case s.Cold(now):
			d.cold++
		}
		d.ready++
	}
	if len(servers) > 0 {
		p.slots = float64(slots) / float64(len(servers))
	}
	for _, domain := range a.domains {
		if _, recorded := a.recorded(subjectOf(name, domain)); recorded {
			p.domain(domain)
		}
	}
	for _, d := range p.domains {
		a.applyRecord(now, name, p, d)
	}
}
