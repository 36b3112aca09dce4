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

// Ejection of servers that fail.
const (
	ejectAfter = 3 // failures in a row
	ejectBase  = time.Second
	ejectMax   = 30 * time.Second
	// ejectShare bounds the part of a pool that is put aside at once; if most servers fail, the fault is elsewhere.
	ejectShare = 0.3
	// retryRoom is how long waiting work rests at most before it is tried again.
	retryRoom = 200 * time.Millisecond
)

// Router chooses servers and counts what this node has in flight on them.
type Router struct {
	self          event.Self
	permits       *permit.Permits
	permitOptions []permit.Option
	servers       map[id.Server]*server
	groups        map[groupKey]*group
	stale         bool // groups must be built again
	closed        id.Set[id.FailureDomain]
	warm          map[id.Pool]int
	attempts      map[id.Attempt]placed
	prefixes      *prefixes
	waiting       map[id.Pool]*waiting
	granted       map[id.Pool][]id.Server // cold servers for which permits may be free
	baseline      id.Set[string]
	cursor        int
	noLeaving     bool
	noBound       bool
}

type groupKey struct {
	pool    id.Pool
	version id.Version
}

// group holds the servers of a pool and version that may get new work.
type group struct{ own, far []*server }

type placed struct {
	server id.Server
	start  id.Start
	alone  bool
}

type waiting struct {
	count int
	retry time.Time
}

// New returns a Router that knows no server.
func New(self event.Self, opts ...Option) *Router {
	r := &Router{
		self: self, servers: map[id.Server]*server{}, groups: map[groupKey]*group{},
		closed: id.NewSet[id.FailureDomain](), warm: map[id.Pool]int{}, attempts: map[id.Attempt]placed{},
		prefixes: newPrefixes(), waiting: map[id.Pool]*waiting{}, granted: map[id.Pool][]id.Server{},
		baseline: id.NewSet[string](),
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
		if next.IsZero() || w.retry.Before(next) {
			next = w.retry
		}
	}
	return next
}

// InFlight returns how many attempts of this node run on a server.
func (r *Router) InFlight(name id.Server) int {
	if s, ok := r.servers[name]; ok {
		return s.inflight
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
		r.serverChanged(ev.Server)
	case member.ServerRemoved:
		delete(r.servers, ev.Server)
		r.stale = true
	}
	out = append(out, r.permits.Step(now, ev)...)
	switch ev := ev.(type) {
	case member.ServerChanged:
		out = append(out, r.room(ev.Server.Pool)...)
	case event.Report:
		if s, ok := r.servers[ev.Server]; ok && ev.At.After(s.endedAt) {
			s.ended = "" // it answers, so that nothing had ended
		}
		if s, ok := r.servers[ev.Server]; ok && (s.Start == ev.Start || s.Start == "") {
			s.report(now, ev)
			out = append(out, r.room(s.Pool)...)
		}
	case event.Down:
		if s, ok := r.servers[ev.Server]; ok && ev.Refused {
			s.ended, s.endedAt = s.Start, now
		}
		out = append(out, r.down(now, ev)...)
	case event.Cached:
		r.cached(now, ev)
	case event.Done:
		if p, ok := r.attempts[ev.Attempt]; ok && ev.Leaving && ev.Start != "" {
			out = append(out, member.ServerObserved{Server: p.server, Start: ev.Start, Leaving: true})
		}
	case permit.Ready:
		out = append(out, r.permitReady(ev.Server)...)
	case Pools:
		r.setPools(ev)
	case DomainState:
		out = append(out, r.domainState(now, ev)...)
	}
	if len(r.waiting) == 0 {
		return out // most events, such as tokens, end here
	}
	for _, pool := range slices.Sorted(maps.Keys(r.waiting)) {
		if w := r.waiting[pool]; !now.Before(w.retry) {
			out = append(out, r.room(pool)...)
		}
	}
	return out
}

func (r *Router) serverChanged(s member.Server) {
	old, ok := r.servers[s.ID]
	if !ok {
		r.servers[s.ID] = &server{Server: s}
		r.stale = true
		return
	}
	if old.Start != s.Start {
		old.cacheEpoch++
		old.cacheSeq = 0
		old.failures, old.slow = 0, 0
	}
	if old.Pool != s.Pool || old.Version != s.Version || old.Leaving != s.Leaving || old.FailureDomain != s.FailureDomain {
		r.stale = true
	}
	old.Server = s
}

func (r *Router) setPools(ev Pools) {
	for pool, warm := range ev.Warm {
		r.warm[pool] = warm
		r.permits.SetLimits(pool, permit.Limits{Cold: ev.Cold[pool], Warm: warm})
	}
}

func (r *Router) domainState(now time.Time, ev DomainState) []event.Action {
	if r.closed.Has(ev.Domain) == ev.Open {
		r.stale = true
	}
	r.closed.Delete(ev.Domain)
	if !ev.Open {
		r.closed.Add(ev.Domain)
	}
	var out []event.Action
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		s := r.servers[name]
		if s.FailureDomain != ev.Domain {
			continue
		}
		// Another node may have been first; the server must not be reset twice.
		if ev.Cold && r.permits.Warm(name) {
			out = append(out, r.permits.Cold(now, name)...)
		}
		if ev.Open {
			out = append(out, r.room(s.Pool)...)
		}
	}
	return out
}

func (r *Router) permitReady(name id.Server) []event.Action {
	s, ok := r.servers[name]
	if !ok {
		return nil
	}
	if !r.permits.Warm(name) && !slices.Contains(r.granted[s.Pool], name) {
		r.granted[s.Pool] = append(r.granted[s.Pool], name)
	}
	return r.room(s.Pool)
}

// room tells that waiting work of a pool may fit.
func (r *Router) room(pool id.Pool) []event.Action {
	if _, ok := r.waiting[pool]; !ok {
		return nil
	}
	delete(r.waiting, pool)
	return []event.Action{Room{Pool: pool}}
}

// group returns the servers of a pool and version that may get new work.
func (r *Router) group(pool id.Pool, version id.Version) *group {
	if r.stale {
		r.stale = false
		clear(r.groups)
		for _, name := range slices.Sorted(maps.Keys(r.servers)) {
			r.join(r.servers[name])
		}
	}
	return r.groups[groupKey{pool, version}]
}

func (r *Router) join(s *server) {
	if (s.Leaving && !r.noLeaving) || r.closed.Has(s.FailureDomain) {
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
			g.own = append(g.own, s)
		} else {
			g.far = append(g.far, s)
		}
	}
}

// End takes an attempt off its server and learns from its outcome.
func (r *Router) End(now time.Time, attempt id.Attempt, o Outcome) []event.Action {
	p, ok := r.attempts[attempt]
	if !ok {
		return nil
	}
	delete(r.attempts, attempt)
	s, known := r.servers[p.server]
	if !known {
		return r.permits.End(now, attempt, false)
	}
	s.add(now, -1)
	if p.alone {
		s.alone = false
	}
	good, sign := false, false
	switch o.Kind {
	case Completed:
		good, sign = s.observe(o)
		s.failures, s.ejections = 0, 0
		s.down = time.Time{}
	case Broken:
		// A reset of an attempt to an earlier start says nothing about the present one.
		sign = p.start == s.Start
		r.failed(now, s)
	case Errored, Rejected:
		r.failed(now, s)
	case Cancelled:
	}
	var out []event.Action
	if o.Start != "" && o.Start != s.Start {
		out = append(out, member.ServerObserved{Server: p.server, Start: o.Start})
		good = false
	}
	out = append(out, r.permits.End(now, attempt, good)...)
	if sign {
		out = append(out, r.permits.Cold(now, p.server)...)
	}
	return append(out, r.room(s.Pool)...)
}

// failed counts a failure and puts the server aside if it fails again and again.
func (r *Router) failed(now time.Time, s *server) {
	s.failures++
	if s.failures < ejectAfter || now.Before(s.ejected) {
		return
	}
	all, aside := 0, 0
	if g := r.group(s.Pool, ""); g != nil {
		all = len(g.own) + len(g.far)
		for _, list := range [][]*server{g.own, g.far} {
			for _, o := range list {
				if now.Before(o.ejected) {
					aside++
				}
			}
		}
	}
	if !r.noBound && float64(aside+1) > ejectShare*float64(all) {
		return
	}
	span := min(ejectMax, ejectBase<<min(s.ejections, 5))
	s.ejections++
	// Nodes that eject a server together must not try it again together.
	s.ejected = now.Add(span*4/5 + time.Duration(r.self.Rand.Int64N(int64(span*2/5))))
}
