package balance

import (
	"fmt"
	"math"
	"slices"
	"time"

	"bluebellflow/core/cost"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/ratelimit"
	"bluebellflow/core/selfreport"
)

const (
	// failureDecayTime is the time constant of the decay of the failure rate: it falls to about a third in this time.
	failureDecayTime = 3 * time.Second
	// failurePenalty is added to the cost of a server, scaled by its failure rate.
	failurePenalty = 2 * time.Second
	// maxStickyFailureRate is the failure rate from which a server is skipped in the order of a prompt.
	maxStickyFailureRate = 0.3
	// minBackoff and maxBackoff bound how long an unreachable server gets no requests.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// rejectedBackoff is how long a server gets no requests after it has rejected a connection above its limit. It is longer than a
	// request at a plain service takes (15 to 60 ms).
	rejectedBackoff = 100 * time.Millisecond
	// defaultLatency is the latency of a server that has not responded yet, for the comparison with its peers.
	defaultLatency = 20 * time.Millisecond
	// latencyDecayTime is the time in which a measured latency loses two thirds of its weight against the best latency in the
	// pool, so that a server that was slow is tried again.
	latencyDecayTime = 4 * time.Second
	// latencyGain is the weight of a new measurement in the smoothed latency.
	latencyGain = 0.1
	// maxLoadAge is how long a load report is used.
	maxLoadAge = time.Second
	// remoteDomainPenalty is added to the cost of a server in another failure domain.
	remoteDomainPenalty = 2 * time.Millisecond
)

// Query describes an attempt that needs a server.
type Query struct {
	Pool       id.Pool
	Exclude    []id.Server   // tried before
	Request    *cost.Request // its size, nil if not known
	ColdRate   float64       // requests per second that a cold server can take, 0 for no limit
	StuckAfter time.Duration // time without a response after which a server is avoided, 0 for no limit
	Versions   Versions      // nil for all
	Conns      Conns         // nil for no limit
}

// Conns decides whether an attempt may use another connection to a server that has inUse of them. The load is nil if the server
// has reported none recently.
type Conns interface {
	Allows(server id.Server, inUse int, load *selfreport.Load) bool
}

// sized reports whether the size of the request is known.
func (q Query) sized() bool { return q.Request != nil && q.Request.Known() }

// Versions selects the server versions that may serve a request.
type Versions interface{ Allows(id.Version) bool }

// Outcome describes how an attempt ended.
type Outcome struct {
	Fail         event.FailKind // 0 if the server responded
	ServerError  bool           // the response has a 5xx status
	Took         time.Duration  // duration of the attempt
	Load         selfreport.Load
	LoadKnown    bool // Load is set
	Events       int  // of a complete stream, 0 for another response
	Moved        bool // a different server responded at the address
	ConnRejected bool // the server closed a new connection before anything was sent
}

// serverState is what this node has observed of a server.
type serverState struct {
	inflight     int
	waiting      []time.Time   // send times of the attempts without a response
	failureRate  float64       // smoothed, from 0 to 1
	decayedAt    time.Time     // when failureRate was last decayed
	backoffs     int           // consecutive failures to reach the server
	backoffUntil time.Time     // it gets no requests before
	latency      time.Duration // smoothed, 0 before the first response
	latencyAt    time.Time
	load         selfreport.Load
	loadAt       time.Time
}

// serverSource provides the servers of a pool and whether they may be used.
type serverSource interface {
	Pool(id.Pool) []*fleet.Server
	Usable(*fleet.Server) (bool, string)
}

// serverReports tells when servers may get requests by what they say of themselves.
type serverReports interface {
	ReadyAt(time.Time, *fleet.Server, selfreport.Senders) (time.Time, string)
	CountRequest(time.Time, *fleet.Server)
}

// Balancer chooses servers and keeps the statistics of one node's attempts.
type Balancer struct {
	self    event.Self
	servers serverSource
	states  map[id.Server]*serverState
	cold    *ratelimit.ColdLimiter
	reports serverReports
	model   *cost.Model
	rings   map[id.Pool]*ring
	placed  Placement // by the last Pick
	weighed []weighed // by the last Pick
}

// New returns a balancer without statistics.
func New(self event.Self, servers serverSource, cold *ratelimit.ColdLimiter, reports serverReports) *Balancer {
	return &Balancer{self: self, servers: servers, states: map[id.Server]*serverState{}, cold: cold, reports: reports, model: cost.New(), rings: map[id.Pool]*ring{}}
}

func (b *Balancer) state(name id.Server) *serverState {
	s, ok := b.states[name]
	if !ok {
		s = &serverState{}
		b.states[name] = s
	}
	return s
}

// Step handles one event.
func (b *Balancer) Step(_ time.Time, ev event.Event) []event.Action {
	switch ev := ev.(type) {
	case fleet.ServerChanged:
		if ev.Restarted {
			b.forget(ev.Server.ID)
		}
	case fleet.ServerRemoved:
		b.forget(ev.Server.ID)
	}
	return nil
}

func (b *Balancer) forget(name id.Server) {
	delete(b.states, name)
	b.cold.Forget(name)
	b.model.Forget(name)
}

// Pick chooses a server. The returned reason describes the choice, or why there is no server.
func (b *Balancer) Pick(now time.Time, q Query) (*fleet.Server, string) {
	all := b.servers.Pool(q.Pool)
	if len(all) == 0 {
		return nil, "no server of pool " + string(q.Pool)
	}
	b.placed, b.weighed = Placement{}, b.weighed[:0]
	if q.sized() {
		return b.leastExpected(now, q)
	}
	usable, reason := b.usable(now, q, all)
	if len(usable) == 0 {
		return nil, noServer(q, len(all), reason)
	}
	return b.leastCost(now, q, usable)
}

func noServer(q Query, servers int, reason string) string {
	return fmt.Sprintf("none of %d servers of pool %s: %s", servers, q.Pool, reason)
}

// usable returns the servers that may be used now, and why another one may not.
func (b *Balancer) usable(now time.Time, q Query, servers []*fleet.Server) (list []*fleet.Server, reason string) {
	for _, s := range servers {
		if excluded := b.exclusion(now, s, q); excluded != "" {
			reason = excluded
			continue
		}
		list = append(list, s)
	}
	return list, reason
}

// exclusion returns why a server may not be used now, or "" if it may.
func (b *Balancer) exclusion(now time.Time, s *fleet.Server, q Query) string {
	if usable, why := b.servers.Usable(s); !usable {
		return why
	}
	if q.Versions != nil && !q.Versions.Allows(s.Version) {
		return "other version"
	}
	if slices.Contains(q.Exclude, s.ID) {
		return "already tried"
	}
	if s.Cold(now) && q.ColdRate > 0 && !b.cold.Allows(now, s.ID, q.ColdRate) {
		return "cold, and its rate limit is reached"
	}
	if at, why := b.reports.ReadyAt(now, s, selfreport.AllNodes); at.After(now) {
		return why
	}
	if now.Before(b.state(s.ID).backoffUntil) {
		return "backing off after a failed attempt"
	}
	if st := b.state(s.ID); q.Conns != nil && !q.Conns.Allows(s.ID, st.inflight, st.recentLoad(now)) {
		return "this node has its share of connections in use"
	}
	return ""
}

// recentLoad returns the load that the server has reported lately, or nil.
func (st *serverState) recentLoad(now time.Time) *selfreport.Load {
	if now.Sub(st.loadAt) >= maxLoadAge {
		return nil
	}
	return &st.load
}

// ReadyIn returns how long all usable servers for an attempt want no requests from this node, by what they say of themselves. It
// returns 0 if one of them takes requests, or if there is none.
func (b *Balancer) ReadyIn(now time.Time, q Query) time.Duration {
	shortest := time.Duration(0)
	for _, s := range b.servers.Pool(q.Pool) {
		if usable, _ := b.servers.Usable(s); !usable || q.Versions != nil && !q.Versions.Allows(s.Version) {
			continue
		}
		at, _ := b.reports.ReadyAt(now, s, selfreport.AllNodes)
		if !at.After(now) {
			return 0
		}
		if wait := at.Sub(now); shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// leastCost returns the server with the lowest cost.
func (b *Balancer) leastCost(now time.Time, q Query, candidates []*fleet.Server) (*fleet.Server, string) {
	var best *fleet.Server
	lowest := time.Duration(math.MaxInt64)
	baseline := b.bestLatency(candidates)
	start := b.self.Rand.IntN(len(candidates)) // spreads requests over servers of equal cost
	for i := range candidates {
		s := candidates[(start+i)%len(candidates)]
		if cost := b.cost(now, s, q, baseline); cost < lowest {
			best, lowest = s, cost
		}
	}
	st := b.state(best.ID)
	return best, fmt.Sprintf("cost=%s inflight=%d failing=%.2f of=%d", lowest.Round(time.Microsecond), st.inflight, st.failureRate, len(candidates))
}

// bestLatency returns the lowest latency of the servers. A server that has not responded yet counts with defaultLatency.
func (b *Balancer) bestLatency(candidates []*fleet.Server) time.Duration {
	best := time.Duration(math.MaxInt64)
	for _, s := range candidates {
		latency := b.state(s.ID).latency
		if latency == 0 {
			latency = defaultLatency
		}
		best = min(best, latency)
	}
	return best
}

// expectedLatency returns the expected latency of a server: its smoothed latency, which approaches the baseline with the
// time since the last response.
func (st *serverState) expectedLatency(now time.Time, baseline time.Duration) time.Duration {
	if st.latency == 0 {
		return baseline
	}
	return baseline + time.Duration(st.latencyWeight(now)*float64(st.latency-baseline))
}

// cost returns the expected latency of a server at its pace and under its load, plus penalties for failures, stuck attempts and another
// failure domain.
func (b *Balancer) cost(now time.Time, s *fleet.Server, q Query, baseline time.Duration) time.Duration {
	st := b.state(s.ID)
	st.decayFailures(now)
	busy := float64(st.inflight)
	if load := st.recentLoad(now); load != nil {
		busy = max(busy, float64(load.Running+load.Waiting))
	}
	cost := time.Duration(float64(st.expectedLatency(now, baseline)) * st.load.Slowdown(now.Sub(st.loadAt)) * (1 + busy/float64(max(1, s.Slots))))
	cost += time.Duration(st.failureRate * float64(failurePenalty))
	if st.stuck(now, q.StuckAfter) {
		cost += failurePenalty
	}
	if s.Domain != b.self.FailureDomain {
		cost += remoteDomainPenalty
	}
	return cost
}

// Start records that an attempt is sent.
func (b *Balancer) Start(now time.Time, s *fleet.Server, q Query) {
	st := b.state(s.ID)
	st.inflight++
	st.waiting = append(st.waiting, now)
	if s.Cold(now) && q.ColdRate > 0 {
		b.cold.Take(now, s.ID)
	}
	b.reports.CountRequest(now, s)
	if q.sized() {
		b.model.Start(now, b.place(s, b.placed.Choice == Home && b.placed.Server == s.ID, len(b.servers.Pool(q.Pool))), q.Request)
	}
}

// Inflight returns the number of open attempts of this node at a server.
func (b *Balancer) Inflight(name id.Server) int { return b.state(name).inflight }

// ResponseStarted records that the response to an attempt has begun, and the load that it reports.
func (b *Balancer) ResponseStarted(now time.Time, name id.Server, sent time.Time, r selfreport.Report) {
	st := b.state(name)
	st.removeWaiting(sent)
	if r.LoadKnown {
		b.recordLoad(now, name, r.Load)
	}
	b.model.Began(now, name, sent)
}

func (b *Balancer) recordLoad(now time.Time, name id.Server, load selfreport.Load) {
	st := b.state(name)
	st.load, st.loadAt = load, now
	b.model.Report(now, name, load)
}

// removeWaiting removes an attempt from those without a response.
func (st *serverState) removeWaiting(sent time.Time) {
	if i := slices.Index(st.waiting, sent); i >= 0 {
		st.waiting = slices.Delete(st.waiting, i, i+1)
	}
}

// End records the outcome of an attempt.
func (b *Balancer) End(now time.Time, name id.Server, sent time.Time, o Outcome) {
	st := b.state(name)
	st.inflight = max(0, st.inflight-1)
	st.removeWaiting(sent)
	st.decayFailures(now)
	b.model.End(now, name, sent, o.Events)
	if o.LoadKnown {
		b.recordLoad(now, name, o.Load)
	}
	switch {
	case o.Fail == event.FailUnsent && o.ConnRejected:
		st.backoffUntil = now.Add(rejectedBackoff)
		return
	case o.Fail == event.FailUnsent:
		st.backoffUntil = now.Add(min(maxBackoff, minBackoff<<min(st.backoffs, 4)))
		st.backoffs++
		return
	case o.Moved:
		st.backoffUntil = now.Add(minBackoff)
		return
	case o.Fail == event.FailRejected:
		return
	case o.Fail != 0:
		st.failureRate += (1 - st.failureRate) / 2
		return
	}
	st.backoffs = 0
	if o.ServerError {
		return
	}
	st.failureRate -= st.failureRate / 4
	st.recordLatency(now, o.Took)
}

// recordLatency updates the smoothed latency. The older the previous measurement, the more the new one counts.
func (st *serverState) recordLatency(now time.Time, took time.Duration) {
	gain := 1.0
	if st.latency > 0 {
		gain = 1 - (1-latencyGain)*st.latencyWeight(now)
	}
	st.latency += time.Duration(gain * float64(took-st.latency))
	st.latencyAt = now
}

// latencyWeight returns the weight of the smoothed latency, which decays from 1 to 0 after the last response.
func (st *serverState) latencyWeight(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(st.latencyAt)) / float64(latencyDecayTime))
}

// decayFailures lowers the failure rate for the time since it was last decayed.
func (st *serverState) decayFailures(now time.Time) {
	if !st.decayedAt.IsZero() && st.failureRate > 0 {
		st.failureRate *= math.Exp(-float64(now.Sub(st.decayedAt)) / float64(failureDecayTime))
	}
	st.decayedAt = now
}

// stuck reports whether the oldest attempt without a response has waited longer than the limit.
func (st *serverState) stuck(now time.Time, limit time.Duration) bool {
	return limit > 0 && len(st.waiting) > 0 && now.Sub(st.waiting[0]) > limit
}
