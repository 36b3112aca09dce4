package balance

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/cost"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

const (
	// homeChoices is the number of candidates from the start of the order of servers for a shared prompt part.
	homeChoices = 3
	// randomChoices is the number of additional random candidates, and freeChoices that of random candidates for a request without
	// a shared part.
	randomChoices = 2
	freeChoices   = 4
	// maxTries bounds the servers that are examined for each of the two kinds of candidates. Some of them cannot be used.
	maxTries = 8
)

// Weights of the parts of a cost. The time of a request, and the time by which it delays others, count once.
const (
	// againWeight is the weight of the time to read shared parts that another server has cached. With 30, servers read about four
	// times as many tokens again, and callers do not wait less.
	againWeight = 100
	// lateWeight is the cost of being late, as a multiple of the objective. With 4, requests with a very popular part miss their
	// objective before any of them is sent to another server.
	lateWeight = 20
	// lateSteepness is the exponent in the probability of being late. 3 fits estimates that are rarely off by more than a factor of
	// two.
	lateSteepness = 3
)

// Choice is whether a request was placed at the home of its shared prompt part.
type Choice string

const (
	// Free means that the request has no shared prompt part.
	Free Choice = "free"
	// Home means the first usable server in the order of the request's shared part.
	Home Choice = "home"
	// Away means another server.
	Away Choice = "away"
)

// Placement describes the choice of a server for a request of known size.
type Placement struct {
	Server id.Server
	Choice Choice // empty if the size of the request is not known
	Unread int    // prompt tokens that the server is expected to read
	Reread int    // tokens of Unread in shared parts that another server has cached
}

// Placed describes the last choice of Pick.
func (b *Balancer) Placed() Placement { return b.placed }

// weighed is a candidate with the expected cost of the request there.
type weighed struct {
	*fleet.Server
	cost.Estimate
	cost float64 // nanoseconds
}

// Candidate is a server that was weighed for a request.
type Candidate struct {
	Server   id.Server        `json:"server"`
	Domain   id.FailureDomain `json:"domain"`
	Cost     string           `json:"cost"`
	Estimate string           `json:"estimate"`
	Failing  float64          `json:"failing"` // failure rate
}

// Candidates returns the servers that the last Pick has weighed, none if the size of the request is not known.
func (b *Balancer) Candidates() []Candidate {
	var out []Candidate
	for _, w := range b.weighed {
		out = append(out, Candidate{w.ID, w.Domain, time.Duration(w.cost).Round(time.Millisecond).String(), w.String(), b.state(w.ID).failureRate})
	}
	return out
}

// ring holds the servers of a pool with their hashes, from which their order for a prompt part is computed (rendezvous hashing).
type ring struct {
	servers []*fleet.Server
	hashes  []uint64
	near    []*fleet.Server // of the node's failure domain
}

// ring returns the ring of a pool's present servers.
func (b *Balancer) ring(name id.Pool) *ring {
	servers := b.servers.Pool(name)
	r, ok := b.rings[name]
	if ok && len(r.servers) == len(servers) && (len(servers) == 0 || &r.servers[0] == &servers[0]) {
		return r
	}
	r = b.newRing(servers)
	b.rings[name] = r
	return r
}

func (b *Balancer) newRing(servers []*fleet.Server) *ring {
	r := &ring{servers: servers}
	for _, s := range servers {
		r.hashes = append(r.hashes, xxhash.Sum64String(string(s.ID)))
		if s.Domain == b.self.FailureDomain {
			r.near = append(r.near, s)
		}
	}
	return r
}

// first fills dst, which must be empty, with the first servers in the order of a prompt part, at most as many as its capacity.
func (r *ring) first(dst []*fleet.Server, part uint64) []*fleet.Server {
	var ranks [maxTries]uint64
	limit := min(cap(dst), maxTries)
	for i, h := range r.hashes {
		rank := cost.Mix(part, h)
		if len(dst) == limit && rank >= ranks[limit-1] {
			continue
		}
		if len(dst) < limit {
			dst = append(dst, nil)
		}
		at := len(dst) - 1
		for ; at > 0 && ranks[at-1] > rank; at-- {
			dst[at], ranks[at] = dst[at-1], ranks[at-1]
		}
		dst[at], ranks[at] = r.servers[i], rank
	}
	return dst
}

// candidates returns the servers that are weighed for a request. The first one is the home of its shared part, if it has one. Only if
// none of the first servers in the order can be used, all servers of the pool are searched.
func (b *Balancer) candidates(now time.Time, q Query, r *ring) ([]*fleet.Server, string) {
	list := b.candidatesOf(now, q, r)
	if len(list) > 0 {
		return list, ""
	}
	rest, reason := b.usable(now, q, r.servers)
	return b.candidatesOf(now, q, b.newRing(rest)), reason
}

// candidatesOf returns the candidates among the servers of a ring. It returns none if there is a shared part and none of the first
// servers in its order can be used.
func (b *Balancer) candidatesOf(now time.Time, q Query, r *ring) []*fleet.Server {
	var list []*fleet.Server
	randoms := freeChoices
	if part := q.Request.Home(); part != 0 {
		randoms = randomChoices
		if list = b.homeCandidates(now, q, r, part); len(list) == 0 {
			return nil
		}
	}
	wanted := len(list) + randoms
	for try := 0; try < maxTries && len(list) < wanted && len(r.servers) > 0; try++ {
		from := r.servers
		if try%2 == 0 && len(r.near) > 0 {
			from = r.near
		}
		s := from[b.self.Rand.IntN(len(from))]
		if !slices.Contains(list, s) && b.exclusion(now, s, q) == "" {
			list = append(list, s)
		}
	}
	return list
}

// homeCandidates returns the usable ones of the first servers in the order of a prompt part: up to homeChoices that do not fail, or
// if there are none, those that fail.
func (b *Balancer) homeCandidates(now time.Time, q Query, r *ring, part uint64) []*fleet.Server {
	var room [maxTries]*fleet.Server
	var healthy, failing []*fleet.Server
	for _, s := range r.first(room[:0], part) {
		if len(healthy) == homeChoices {
			break
		}
		if b.exclusion(now, s, q) != "" {
			continue
		}
		st := b.state(s.ID)
		st.decayFailures(now)
		if st.failureRate < maxStickyFailureRate && !st.stuck(now, q.StuckAfter) {
			healthy = append(healthy, s)
		} else {
			failing = append(failing, s)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return failing
}

// leastExpected returns the candidate with the lowest expected cost: for the request itself, for the requests that are already there,
// and for those that share parts of its prompt.
func (b *Balancer) leastExpected(now time.Time, q Query) (*fleet.Server, string) {
	r := b.ring(q.Pool)
	list, reason := b.candidates(now, q, r)
	if len(list) == 0 {
		return nil, noServer(q, len(r.servers), reason)
	}
	sticky := q.Request.Home() != 0
	b.weighed = b.weighed[:0]
	best := 0
	for i, s := range list {
		e := b.model.Estimate(now, b.place(s, sticky && i == 0, len(r.servers)), q.Request)
		b.weighed = append(b.weighed, weighed{s, e, b.expectedCost(now, s, q, e)})
		if b.weighed[i].cost < b.weighed[best].cost {
			best = i
		}
	}
	chosen := b.weighed[best]
	b.placed = Placement{Server: chosen.ID, Choice: Free, Unread: int(chosen.Unread), Reread: int(chosen.Reread)}
	switch {
	case sticky && best == 0:
		b.placed.Choice = Home
	case sticky:
		b.placed.Choice = Away
	}
	st := b.state(chosen.ID)
	return chosen.Server, fmt.Sprintf("prompt=%08x place=%d cost=%s %s inflight=%d failing=%.2f of=%d/%d", uint32(q.Request.Home()), best,
		time.Duration(chosen.cost).Round(time.Millisecond), chosen.Estimate, st.inflight, st.failureRate, len(list), len(r.servers))
}

// place describes a server for the cost model.
func (b *Balancer) place(s *fleet.Server, home bool, servers int) cost.Place {
	return cost.Place{Server: s, Home: home, Servers: servers}
}

// expectedCost returns the cost of a request at a server in nanoseconds.
func (b *Balancer) expectedCost(now time.Time, s *fleet.Server, q Query, e cost.Estimate) float64 {
	sum := float64(e.End+e.Delay) + againWeight*float64(e.Again)
	late := lateChance(e.First, q.Request.Objective) + lateChance(e.End+e.Late, q.Request.Deadline)
	sum += lateWeight * late * float64(max(q.Request.Objective, 0))
	st := b.state(s.ID)
	st.decayFailures(now)
	sum += st.failureRate * float64(failurePenalty)
	if st.stuck(now, q.StuckAfter) {
		sum += float64(failurePenalty)
	}
	if s.Domain != b.self.FailureDomain {
		sum += float64(remoteDomainPenalty)
	}
	return sum
}

// lateChance returns the probability that a limit is exceeded. It is 0 for a limit in the past, which is exceeded at any server.
func lateChance(expected, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	ratio := math.Pow(float64(expected)/float64(limit), lateSteepness)
	return ratio / (1 + ratio)
}

// SetNodes sets the number of nodes that send requests.
func (b *Balancer) SetNodes(count int) { b.model.SetNodes(count) }

// Model returns the cost model.
func (b *Balancer) Model() *cost.Model { return b.model }
