package route

import (
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/permit"
)

// Ejection of failing servers, and retries of waiting work.
const (
	failuresToEject = 3 // consecutive failures
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
	// maxEjectedShare bounds the share of a pool that is ejected at once; if most servers fail, the fault is elsewhere.
	maxEjectedShare = 0.3
	// placeRetryInterval is the longest time between two placements of waiting work.
	placeRetryInterval = 200 * time.Millisecond
)

// Router chooses servers and counts this node's attempts in flight on them.
type Router struct {
	self             event.Self
	permits          *permit.Permits
	permitOptions    []permit.Option
	servers          map[id.Server]*server
	groups           map[groupKey]*group
	groupsStale      bool // groups must be rebuilt
	closedDomains    id.Set[id.FailureDomain]
	warmLimits       map[id.Pool]int
	attempts         map[id.Attempt]placement
	prefixes         *prefixTable
	waiting          map[id.Pool]*waitingCount
	permitted        map[id.Pool][]id.Server // cold servers for which this node may have free permits
	baselines        id.Set[string]
	roundRobinIndex  int
	noLeavingMarkers bool
	noEjectionBound  bool
}

type groupKey struct {
	pool    id.Pool
	version id.Version
}

// group holds the servers of a pool and version that may get new work: those of this node's failure domain and the rest.
type group struct{ local, remote []*server }

// placement records the server, and its start identity, that an attempt was sent to.
type placement struct {
	server    id.Server
	start     id.Start
	exclusive bool
}

// waitingCount counts the attempts of a pool that had to wait since the last RetryPlacement.
type waitingCount struct {
	count   int
	retryAt time.Time
}

// New returns a Router that knows no servers yet.
func New(self event.Self, opts ...Option) *Router {
	r := &Router{
		self: self, servers: map[id.Server]*server{}, groups: map[groupKey]*group{},
		closedDomains: id.NewSet[id.FailureDomain](), warmLimits: map[id.Pool]int{}, attempts: map[id.Attempt]placement{},
		prefixes: newPrefixTable(), waiting: map[id.Pool]*waitingCount{}, permitted: map[id.Pool][]id.Server{},
		baselines: id.NewSet[string](),
	}
	for _, o := range opts {
		o(r)
	}
	r.permits = permit.New(self, r.permitOptions...)
	return r
}

// Next returns the time of the next timer.
func (r *Router) Next() time.Time {
	next := r.permits.Next()
	for _, w := range r.waiting {
		if next.IsZero() || w.retryAt.Before(next) {
			next = w.retryAt
		}
	}
	return next
}

// InFlight returns how many attempts of this node run on a server.
func (r *Router) InFlight(name id.Server) int {
	if s, ok := r.servers[name]; ok {
		return s.inFlight
	}
	return 0
}

// Warm reports whether the server takes attempts without a permit.
func (r *Router) Warm(name id.Server) bool { return r.permits.Warm(name) }

// Step handles one event.
func (r *Router) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	switch ev := ev.(type) {
	case member.ServerChanged:
		r.updateServer(ev.Server)
	case member.ServerRemoved:
		delete(r.servers, ev.Server)
		r.groupsStale = true
	}
	out = append(out, r.permits.Step(now, ev)...)
	switch ev := ev.(type) {
	case member.ServerChanged:
		out = append(out, r.retryWaiting(ev.Server.Pool)...)
	case event.LoadReport:
		if s, ok := r.servers[ev.Server]; ok && ev.At.After(s.endedAt) {
			s.endedStart = "" // it has answered since, so a process of the server runs
		}
		if s, ok := r.servers[ev.Server]; ok && (s.Start == ev.Start || s.Start == "") {
			s.applyReport(now, ev)
			out = append(out, r.retryWaiting(s.Pool)...)
		}
	case event.LoadQueryFailed:
		if s, ok := r.servers[ev.Server]; ok && ev.Refused {
			s.endedStart, s.endedAt = s.Start, now
		}
		out = append(out, r.handleLoadQueryFailure(now, ev)...)
	case event.CacheUpdate:
		r.handleCacheEvents(now, ev)
	case event.AttemptDone:
		if p, ok := r.attempts[ev.Attempt]; ok && ev.Leaving && ev.Start != "" {
			out = append(out, member.ServerObserved{Server: p.server, Start: ev.Start, Leaving: true})
		}
	case permit.Ready:
		out = append(out, r.handlePermitReady(ev.Server)...)
	case PoolLimits:
		r.setPoolLimits(ev)
	case DomainState:
		out = append(out, r.handleDomainState(now, ev)...)
	}
	if len(r.waiting) == 0 {
		return out // the usual case, such as for each token
	}
	for _, pool := range slices.Sorted(maps.Keys(r.waiting)) {
		if w := r.waiting[pool]; !now.Before(w.retryAt) {
			out = append(out, r.retryWaiting(pool)...)
		}
	}
	return out
}

func (r *Router) updateServer(s member.Server) {
	old, ok := r.servers[s.ID]
	if !ok {
		r.servers[s.ID] = &server{Server: s}
		r.groupsStale = true
		return
	}
	if old.Start != s.Start {
		old.cacheEpoch++
		old.nextCacheSeq = 0
		old.failures, old.slowRun = 0, 0
	}
	if old.Pool != s.Pool || old.Version != s.Version || old.Leaving != s.Leaving || old.FailureDomain != s.FailureDomain {
		r.groupsStale = true
	}
	old.Server = s
}

func (r *Router) setPoolLimits(ev PoolLimits) {
	for pool, warm := range ev.Warm {
		r.warmLimits[pool] = warm
		r.permits.SetLimits(pool, permit.Limits{Cold: ev.Cold[pool], Warm: warm})
	}
}

func (r *Router) handleDomainState(now time.Time, ev DomainState) []event.Action {
	if r.closedDomains.Has(ev.Domain) == ev.Open {
		r.groupsStale = true
	}
	r.closedDomains.Delete(ev.Domain)
	if !ev.Open {
		r.closedDomains.Add(ev.Domain)
	}
	var out []event.Action
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		s := r.servers[name]
		if s.FailureDomain != ev.Domain {
			continue
		}
		// Another node may have marked the server as cold before; it must not be reset twice.
		if ev.Cold && r.permits.Warm(name) {
			out = append(out, r.permits.MarkCold(now, name)...)
		}
		if ev.Open {
			out = append(out, r.retryWaiting(s.Pool)...)
		}
	}
	return out
}

func (r *Router) handlePermitReady(name id.Server) []event.Action {
	s, ok := r.servers[name]
	if !ok {
		return nil
	}
	if !r.permits.Warm(name) && !slices.Contains(r.permitted[s.Pool], name) {
		r.permitted[s.Pool] = append(r.permitted[s.Pool], name)
	}
	return r.retryWaiting(s.Pool)
}

// retryWaiting asks for a new placement of the waiting work of a pool, if there is any.
func (r *Router) retryWaiting(pool id.Pool) []event.Action {
	if _, ok := r.waiting[pool]; !ok {
		return nil
	}
	delete(r.waiting, pool)
	return []event.Action{RetryPlacement{Pool: pool}}
}

// group returns the servers of a pool and version that may get new work.
func (r *Router) group(pool id.Pool, version id.Version) *group {
	if r.groupsStale {
		r.groupsStale = false
		clear(r.groups)
		for _, name := range slices.Sorted(maps.Keys(r.servers)) {
			r.addToGroups(r.servers[name])
		}
	}
	return r.groups[groupKey{pool, version}]
}

func (r *Router) addToGroups(s *server) {
	if (s.Leaving && !r.noLeavingMarkers) || r.closedDomains.Has(s.FailureDomain) {
		return
	}
	for _, v := range slices.Compact([]id.Version{"", s.Version}) {
		key := groupKey{s.Pool, v}
		g, ok := r.groups[key]
		if !ok {
			g = &group{}
			r.groups[key] = g
		}
		if s.FailureDomain == r.self.FailureDomain {
			g.local = append(g.local, s)
		} else {
			g.remote = append(g.remote, s)
		}
	}
}

// End removes an attempt from its server and records the outcome.
func (r *Router) End(now time.Time, attempt id.Attempt, o Outcome) []event.Action {
	p, ok := r.attempts[attempt]
	if !ok {
		return nil
	}
	delete(r.attempts, attempt)
	s, known := r.servers[p.server]
	if !known {
		return r.permits.Release(now, attempt, false)
	}
	s.addInFlight(now, -1)
	if p.exclusive {
		s.exclusive = false
	}
	normal, cold := false, false
	switch o.Kind {
	case Completed:
		normal, cold = s.recordCompletion(o)
		s.failures, s.ejections = 0, 0
		s.unreachableSince = time.Time{}
	case ConnFailed:
		// A broken connection to an earlier start says nothing about the current one.
		cold = p.start == s.Start
		r.recordFailure(now, s)
	case Errored, Rejected:
		r.recordFailure(now, s)
	case Cancelled:
	}
	var out []event.Action
	if o.Start != "" && o.Start != s.Start {
		out = append(out, member.ServerObserved{Server: p.server, Start: o.Start})
		normal = false
	}
	out = append(out, r.permits.Release(now, attempt, normal)...)
	if cold {
		out = append(out, r.permits.MarkCold(now, p.server)...)
	}
	return append(out, r.retryWaiting(s.Pool)...)
}

// recordFailure counts a failure and ejects the server after failuresToEject in a row, unless too much of the pool is
// ejected already.
func (r *Router) recordFailure(now time.Time, s *server) {
	s.failures++
	if s.failures < failuresToEject || now.Before(s.ejectedUntil) {
		return
	}
	total, ejected := 0, 0
	if g := r.group(s.Pool, ""); g != nil {
		total = len(g.local) + len(g.remote)
		for _, list := range [][]*server{g.local, g.remote} {
			for _, o := range list {
				if now.Before(o.ejectedUntil) {
					ejected++
				}
			}
		}
	}
	if !r.noEjectionBound && float64(ejected+1) > maxEjectedShare*float64(total) {
		return
	}
	duration := min(maxEjection, minEjection<<min(s.ejections, 5))
	s.ejections++
	// The jitter of 20 % keeps nodes that ejected a server together from trying it again together.
	s.ejectedUntil = now.Add(duration*4/5 + time.Duration(r.self.Rand.Int64N(int64(duration*2/5))))
}
