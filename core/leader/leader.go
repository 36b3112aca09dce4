package leader

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

const (
	// pingPeriod is the time between two pings to a candidate.
	pingPeriod = 200 * time.Millisecond
	// pongTimeout is how long a candidate counts as alive without a pong. It tolerates three lost pings.
	pongTimeout = 700 * time.Millisecond
	// watchedCandidates is the number of candidates that are pinged, the highest-ranked first, so that a successor of the
	// leader is known to be alive. Candidates that may not lead are not counted.
	watchedCandidates = 3
	// deadTimeout is how long a candidate may leave pings unanswered before another one is watched in its place.
	deadTimeout = 2 * time.Second
	// minPause is the gap between two steps above which this process must have been paused. The other nodes do not
	// count as silent during the gap.
	minPause = 500 * time.Millisecond
	// takeoverDelay is how long after its start a node does not take the lead from another node. In a rolling restart, each
	// restarted node would otherwise take over all jobs and hand them over again a moment later.
	takeoverDelay = 20 * time.Second
)

// Candidate is a node that can be the leader. Candidates with a higher weight rank higher.
type Candidate struct {
	Node   id.Node
	Domain id.FailureDomain
	Weight float64
}

// compare orders candidates by descending weight, and those of equal weight by a hash of their names.
func (c Candidate) compare(other Candidate) int {
	return cmp.Or(cmp.Compare(other.Weight, c.Weight), cmp.Compare(hash(c.Node), hash(other.Node)), cmp.Compare(c.Node, other.Node))
}

func hash(name id.Node) uint64 { return xxhash.Sum64String(string(name)) }

type (
	// Ping asks a candidate whether it is alive and may lead.
	Ping struct {
		Seq uint64 `protobuf:"varint,1,opt,name=seq"`
	}
	// Pong answers a Ping.
	Pong struct {
		Seq   uint64 `protobuf:"varint,1,opt,name=seq"`
		Ready bool   `protobuf:"varint,2,opt,name=ready"` // the sender may lead
	}
	// Changed reports that this node follows another leader. An empty name means that it follows none.
	Changed struct {
		event.Internal
		Leader id.Node
	}
)

// Check accepts every message.
func (Ping) Check() error { return nil }

// Check accepts every message.
func (Pong) Check() error { return nil }

// Tracker determines the leader that this node follows.
type Tracker struct {
	self          event.Self
	selfCandidate Candidate
	peers         map[id.Node]*peer
	ranked        []*peer
	ready         bool // this node may lead
	established   bool // this node may take the lead from another node
	leader        id.Node
	pingAt        time.Time
	startedAt     time.Time
	lastStep      time.Time
	seq           uint64
}

// peer is the state of another node.
type peer struct {
	Candidate
	heardAt         time.Time
	unansweredSince time.Time // time of the first ping since the last pong, zero for none
	ready           bool
	reconnectedAt   time.Time // when a new connection to it was last requested
	pingedAt        time.Time
}

// New returns a tracker without other candidates.
func New(self event.Self) *Tracker {
	return &Tracker{self: self, selfCandidate: Candidate{Node: self.Node, Domain: self.FailureDomain}, peers: map[id.Node]*peer{}}
}

// Leader returns the node that this node follows, or an empty name.
func (t *Tracker) Leader() id.Node { return t.leader }

// Successor returns the highest-ranked node after the leader that answers and may lead, empty if none is known.
func (t *Tracker) Successor(now time.Time) id.Node {
	ownRankPassed := !t.ready || t.leader == t.self.Node
	for _, p := range t.ranked {
		if !ownRankPassed && p.compare(t.selfCandidate) > 0 {
			return t.self.Node
		}
		if p.Node != t.leader && p.alive(now) && p.ready {
			return p.Node
		}
	}
	if !ownRankPassed {
		return t.self.Node
	}
	return ""
}

// Alive reports whether a node answers pings. It is always true for this node.
func (t *Tracker) Alive(now time.Time, name id.Node) bool {
	if name == t.self.Node {
		return true
	}
	p, ok := t.peers[name]
	return ok && p.alive(now)
}

// SetReady sets whether this node may lead.
func (t *Tracker) SetReady(ready bool) { t.ready = ready }

// SetCandidates replaces the list of candidates. This node need not be among them.
func (t *Tracker) SetCandidates(list []Candidate) {
	next := map[id.Node]*peer{}
	t.ranked = nil
	for _, c := range list {
		if c.Node == t.self.Node {
			t.selfCandidate = c
			continue
		}
		p, known := t.peers[c.Node]
		if !known {
			p = &peer{}
		}
		p.Candidate = c
		next[c.Node] = p
		t.ranked = append(t.ranked, p)
	}
	t.peers = next
	slices.SortFunc(t.ranked, func(a, b *peer) int { return a.compare(b.Candidate) })
}

// Rank returns how many candidates that are not dead rank higher than this node, in all failure domains and in its own.
func (t *Tracker) Rank(now time.Time) (all, own int) {
	for _, p := range t.ranked {
		if p.compare(t.selfCandidate) < 0 && !p.dead(now) {
			all++
			if p.Domain == t.self.FailureDomain {
				own++
			}
		}
	}
	return all, own
}

// First returns the n highest-ranked candidates that are not dead, other than this node, and the first of its failure domain.
func (t *Tracker) First(now time.Time, n int) []id.Node {
	var out []id.Node
	own := id.Node("")
	for _, p := range t.ranked {
		if p.dead(now) {
			continue
		}
		if len(out) < n {
			out = append(out, p.Node)
		}
		if own == "" && p.Domain == t.self.FailureDomain {
			own = p.Node
		}
	}
	if own != "" && !slices.Contains(out, own) {
		out = append(out, own)
	}
	return out
}

// Next returns the time of the next timer.
func (t *Tracker) Next() time.Time { return t.pingAt }

// Step handles one event.
func (t *Tracker) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	t.compensatePause(now)
	switch ev := ev.(type) {
	case event.Receive:
		out = t.receive(now, ev)
	case event.PeerLink:
		t.linkChanged(now, ev)
	}
	if !now.Before(t.pingAt) {
		t.pingAt = now.Add(pingPeriod)
		out = append(out, t.pingPeers(now)...)
	}
	return append(out, t.chooseLeader(now)...)
}

// linkChanged handles a connection that has come up or has ended. After a new connection the peer is pinged at once, and
// pings that were lost before do not count against it.
func (t *Tracker) linkChanged(now time.Time, ev event.PeerLink) {
	p, known := t.peers[ev.Peer]
	if !known {
		return
	}
	if !ev.Up {
		p.heardAt = time.Time{}
		return
	}
	p.unansweredSince = time.Time{}
	t.pingAt = now
}

// compensatePause shifts the times of the last pongs by a pause of this process and disregards earlier unanswered pings, so
// that no peer times out because of the pause.
func (t *Tracker) compensatePause(now time.Time) {
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	if gap := now.Sub(t.lastStep); !t.lastStep.IsZero() && gap > minPause {
		for _, p := range t.ranked {
			if !p.heardAt.IsZero() {
				p.heardAt = p.heardAt.Add(gap)
			}
			p.unansweredSince = time.Time{}
		}
	}
	t.lastStep = now
}

func (t *Tracker) receive(now time.Time, ev event.Receive) []event.Action {
	switch b := ev.Body.(type) {
	case Ping:
		return []event.Action{event.Send{To: ev.From, Body: Pong{Seq: b.Seq, Ready: t.ready && t.established}}}
	case Pong:
		if p, ok := t.peers[ev.From]; ok {
			p.heardAt, p.ready, p.unansweredSince = now, b.Ready, time.Time{}
		}
	}
	return nil
}

func (p *peer) alive(now time.Time) bool {
	return !p.heardAt.IsZero() && now.Sub(p.heardAt) < pongTimeout
}

// pingPeers pings the highest-ranked candidates, the current leader, and the highest-ranked candidate of this node's
// failure domain, which becomes the leader if the domain is cut off. Dead candidates are pinged less often and not counted.
func (t *Tracker) pingPeers(now time.Time) []event.Action {
	t.seq++
	var out []event.Action
	sawOwnDomain, watched := false, 0
	for _, p := range t.ranked {
		if p.dead(now) {
			if now.Sub(p.pingedAt) >= deadTimeout {
				out = append(out, t.pingPeer(now, p)...)
			}
			continue
		}
		firstOfOwnDomain := !sawOwnDomain && p.Domain == t.self.FailureDomain
		if watched < watchedCandidates || firstOfOwnDomain || p.Node == t.leader {
			out = append(out, t.pingPeer(now, p)...)
		}
		if p.notReady(now) {
			continue
		}
		sawOwnDomain = sawOwnDomain || firstOfOwnDomain
		watched++
	}
	return out
}

// notReady reports whether a candidate answers that it may not lead, as a node that is being stopped does.
func (p *peer) notReady(now time.Time) bool { return p.alive(now) && !p.ready }

// dead reports whether a candidate has left pings unanswered for so long that another one is watched in its place.
func (p *peer) dead(now time.Time) bool {
	return !p.unansweredSince.IsZero() && now.Sub(p.unansweredSince) >= deadTimeout
}

// pingPeer pings a peer. If the peer has been silent for pongTimeout, it also requests a new connection.
func (t *Tracker) pingPeer(now time.Time, p *peer) []event.Action {
	var out []event.Action
	p.pingedAt = now
	if p.unansweredSince.IsZero() {
		p.unansweredSince = now
	}
	if now.Sub(p.unansweredSince) >= pongTimeout && now.Sub(p.reconnectedAt) >= pongTimeout {
		p.reconnectedAt = now
		out = append(out,
			event.Log{Kind: "peer", Stage: string(p.Node), Choice: "relink", Reason: "silent for " + now.Sub(p.unansweredSince).String()},
			event.Reconnect{To: p.Node})
	}
	return append(out, event.Send{To: p.Node, Body: Ping{Seq: t.seq}})
}

// updateEstablished ends the initial period in which this node does not take the lead from another node: after
// takeoverDelay, or earlier if no other node leads.
func (t *Tracker) updateEstablished(now time.Time) {
	since := now.Sub(t.startedAt)
	alone := t.ready && since >= pongTimeout && (t.leader == "" || t.leader == t.self.Node)
	t.established = t.established || alone || since >= takeoverDelay
}

// chooseLeader makes this node follow the highest-ranked node that answers and may lead.
func (t *Tracker) chooseLeader(now time.Time) []event.Action {
	t.updateEstablished(now)
	best := id.Node("")
	for _, p := range t.ranked {
		if t.ready && t.established && p.compare(t.selfCandidate) > 0 {
			break
		}
		if p.alive(now) && p.ready {
			best = p.Node
			break
		}
	}
	if best == "" && t.ready && t.established {
		best = t.self.Node
	}
	if best == t.leader {
		return nil
	}
	old := t.leader
	t.leader = best
	return []event.Action{
		event.Log{Kind: "leader", Choice: "follow " + string(best), Reason: "before " + string(old)},
		Changed{Leader: best},
	}
}
