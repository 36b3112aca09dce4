package balance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/ratelimit"
)

const (
	// failureDecayTime is the time in which the weight of a failure falls to a third.
	failureDecayTime = 3 * time.Second
	// failurePenalty is what a certain failure counts for beside the expected time of an answer.
	failurePenalty = 2 * time.Second
	// maxStickyFailureRate is the share of failures above which a server is used only if there is no other.
	maxStickyFailureRate = 0.3
	// minBackoff and longestRest bound how long a server that cannot be reached gets nothing.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// defaultLatency is the expected time of an answer of a server that has not answered yet.
	defaultLatency = 20 * time.Millisecond
	// latencyDecayTime is the time in which what is known of a server's speed loses two thirds of its weight against the best of
	// its peers, so that a server that was slow is tried again.
	latencyDecayTime = 4 * time.Second
	// latencyGain is the weight of a new answer in the expected time.
	latencyGain = 0.1
	// maxLoadAge is how long a load report counts.
	maxLoadAge = time.Second
	// remoteDomainPenalty is what another failure domain counts for beside the expected time of an answer.
	remoteDomainPenalty = 2 * time.Millisecond
	// stickyExcess is how many requests of this node beyond its average a server may have before the next one in the order of
	// a prompt's servers is taken.
	stickyExcess = 6
)

// Load is what a server says of its load.
type Load struct {
	Running, Waiting, Slots int
}

// Query describes an attempt that needs a server.
type Query struct {
	Pool       id.Pool
	Exclude    []id.Server
	PrefixID   uint64  // identifies the shared part of the prompt, 0 for none
	ColdRate   float64 // requests a second that a cold server bears, 0 for no bound
	StuckAfter time.Duration
	Versions   Versions // nil for all
}

// Versions says which versions may serve a request.
type Versions interface{ Allows(id.Version) bool }

// Outcome is how an attempt ended.
type Outcome struct {
	Fail        event.FailKind // 0 for an answer of the server
	ServerError bool           // the answer is the server's own failure
	Took        time.Duration  // until the answer began
	Began       bool           // the answer began
	Load        Load
	LoadKnown   bool // Load is filled in
	Moved       bool // another server answers at the address
}

// serverState is what this node has seen of a server.
type serverState struct {
	inflight     int
	waiting      []time.Time // when the attempts without an answer were sent
	failureRate  float64     // smoothed share of failures
	decayedAt    time.Time
	backoffs     int
	backoffUntil time.Time
	latency      time.Duration // smoothed time to an answer, 0 before the first one
	latencyAt    time.Time
	load         Load
	loadAt       time.Time
}

// servers tells which servers may be used.
type servers interface {
	Pool(id.Pool) []*fleet.Server
	Usable(*fleet.Server) (bool, string)
}

// Balancer chooses servers.
type Balancer struct {
	self    event.Self
	servers servers
	states  map[id.Server]*serverState
	cold    *ratelimit.ColdLimiter
}

// New returns a balance that has seen nothing.
func New(self event.Self, servers servers, cold *ratelimit.ColdLimiter) *Balancer {
	return &Balancer{self: self, servers: servers, states: map[id.Server]*serverState{}, cold: cold}
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
}

// Pick chooses a server; the reason says what decided, or why there is none.
func (b *Balancer) Pick(now time.Time, q Query) (*fleet.Server, string) {
	all := b.servers.Pool(q.Pool)
	if len(all) == 0 {
		return nil, "no server of pool " + string(q.Pool)
	}
	var open []*fleet.Server
	reason := ""
	for _, s := range all {
		if why := b.exclusion(now, s, q); why != "" {
			reason = why
			continue
		}
		open = append(open, s)
	}
	if len(open) == 0 {
		return nil, fmt.Sprintf("none of %d servers of pool %s: %s", len(all), q.Pool, reason)
	}
	if q.PrefixID != 0 {
		return b.sticky(now, q, open)
	}
	return b.leastCost(now, q, open)
}

// exclusion returns why a server gets nothing now, or "" if it may.
func (b *Balancer) exclusion(now time.Time, s *fleet.Server, q Query) string {
	if usable, why := b.servers.Usable(s); !usable {
		return why
	}
	if q.Versions != nil && !q.Versions.Allows(s.Version) {
		return "version not wanted"
	}
	if slices.Contains(q.Exclude, s.ID) {
		return "tried before"
	}
	if s.Cold(now) && q.ColdRate > 0 && !b.cold.Allows(now, s.ID, q.ColdRate) {
		return "cold, and its rate is used up"
	}
	if now.Before(b.state(s.ID).backoffUntil) {
		return "failed to answer a moment ago"
	}
	return ""
}

// leastCost takes the server with the lowest expected time, failures counted in.
func (b *Balancer) leastCost(now time.Time, q Query, open []*fleet.Server) (*fleet.Server, string) {
	var best *fleet.Server
	lowest := time.Duration(math.MaxInt64)
	usual := b.bestLatency(open)
	at := b.self.Rand.IntN(len(open)) // equal servers are taken in turn
	for i := range open {
		s := open[(at+i)%len(open)]
		if cost := b.cost(now, s, q, usual); cost < lowest {
			best, lowest = s, cost
		}
	}
	st := b.state(best.ID)
	return best, fmt.Sprintf("cost=%s inflight=%d failing=%.2f of=%d", lowest.Round(time.Microsecond), st.inflight, st.failureRate, len(open))
}

// bestLatency returns the shortest time to an answer of some servers. One that has not answered yet may be as fast as any.
func (b *Balancer) bestLatency(open []*fleet.Server) time.Duration {
	best := time.Duration(math.MaxInt64)
	for _, s := range open {
		took := b.state(s.ID).latency
		if took == 0 {
			took = defaultLatency
		}
		best = min(best, took)
	}
	return best
}

// expectedLatency returns the expected time to an answer. What is known of a server loses weight with time.
func (st *serverState) expectedLatency(now time.Time, usual time.Duration) time.Duration {
	if st.latency == 0 {
		return usual
	}
	return usual + time.Duration(st.latencyWeight(now)*float64(st.latency-usual))
}

// cost is the expected time of an answer, with a penalty for failures.
func (b *Balancer) cost(now time.Time, s *fleet.Server, q Query, usual time.Duration) time.Duration {
	st := b.state(s.ID)
	st.decayFailures(now)
	busy := float64(st.inflight)
	if now.Sub(st.loadAt) < maxLoadAge {
		busy = max(busy, float64(st.load.Running+st.load.Waiting))
	}
	cost := time.Duration(float64(st.expectedLatency(now, usual)) * (1 + busy/float64(max(1, s.Slots))))
	cost += time.Duration(st.failureRate * float64(failurePenalty))
	if st.stuck(now, q.StuckAfter) {
		cost += failurePenalty
	}
	if s.Domain != b.self.FailureDomain {
		cost += remoteDomainPenalty
	}
	return cost
}

// sticky takes the first server in the prompt's own order that is in good state, so that requests with the same
// shared part meet at the server that has read it.
func (b *Balancer) sticky(now time.Time, q Query, open []*fleet.Server) (*fleet.Server, string) {
	total := 0
	for _, s := range open {
		total += b.state(s.ID).inflight
	}
	limit := total/len(open) + stickyExcess
	slices.SortFunc(open, func(x, y *fleet.Server) int {
		return cmp.Compare(rendezvousHash(q.PrefixID, x.ID), rendezvousHash(q.PrefixID, y.ID))
	})
	for i, s := range open {
		st := b.state(s.ID)
		st.decayFailures(now)
		if st.failureRate < maxStickyFailureRate && !st.stuck(now, q.StuckAfter) && st.inflight < limit {
			return s, fmt.Sprintf("prompt=%08x place=%d inflight=%d failing=%.2f of=%d", uint32(q.PrefixID), i, st.inflight, st.failureRate, len(open))
		}
	}
	return b.leastCost(now, q, open)
}

func rendezvousHash(prompt uint64, name id.Server) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(prompt)
	_, _ = d.WriteString(string(name))
	return d.Sum64()
}

// Start notes an attempt.
func (b *Balancer) Start(now time.Time, s *fleet.Server, q Query) {
	st := b.state(s.ID)
	st.inflight++
	st.waiting = append(st.waiting, now)
	if s.Cold(now) && q.ColdRate > 0 {
		b.cold.Take(now, s.ID)
	}
}

// Inflight returns the attempts of this node at a server.
func (b *Balancer) Inflight(name id.Server) int { return b.state(name).inflight }

// ResponseStarted notes that the answer to an attempt has begun.
func (b *Balancer) ResponseStarted(name id.Server, sent time.Time) { b.state(name).removeWaiting(sent) }

func (st *serverState) removeWaiting(sent time.Time) {
	if i := slices.Index(st.waiting, sent); i >= 0 {
		st.waiting = slices.Delete(st.waiting, i, i+1)
	}
}

// End notes the end of an attempt that was sent at a time.
func (b *Balancer) End(now time.Time, name id.Server, sent time.Time, o Outcome) {
	st := b.state(name)
	st.inflight = max(0, st.inflight-1)
	st.removeWaiting(sent)
	st.decayFailures(now)
	if o.LoadKnown {
		st.load, st.loadAt = o.Load, now
	}
	switch {
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

// recordLatency takes in the time to an answer. The older what is known, the more a new answer counts.
func (st *serverState) recordLatency(now time.Time, took time.Duration) {
	gain := 1.0
	if st.latency > 0 {
		gain = 1 - (1-latencyGain)*st.latencyWeight(now)
	}
	st.latency += time.Duration(gain * float64(took-st.latency))
	st.latencyAt = now
}

// latencyWeight returns how much what is known of a server's speed still counts, from 1 to 0.
func (st *serverState) latencyWeight(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(st.latencyAt)) / float64(latencyDecayTime))
}

// decayFailures lets old failures count less.
func (st *serverState) decayFailures(now time.Time) {
	if !st.decayedAt.IsZero() && st.failureRate > 0 {
		st.failureRate *= math.Exp(-float64(now.Sub(st.decayedAt)) / float64(failureDecayTime))
	}
	st.decayedAt = now
}

// stuck reports whether an attempt has been without an answer for long.
func (st *serverState) stuck(now time.Time, limit time.Duration) bool {
	return limit > 0 && len(st.waiting) > 0 && now.Sub(st.waiting[0]) > limit
}
