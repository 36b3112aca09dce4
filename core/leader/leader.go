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
	// pingPeriod is the time between two pings of a candidate.
	pingPeriod = 200 * time.Millisecond
	// silence is how long a candidate may stay without a sign of life; it spans three lost pings.
	silence = 700 * time.Millisecond
	// watched is how many of the first candidates are pinged, so that the next one is known to live. Those that may not
	// lead do not count.
	watched = 3
	// deadAfter is how long a candidate stays silent before another one is watched in its place.
	deadAfter = 2 * time.Second
	// pauseGap is a time between two steps after which this process must have been frozen; the silence of the others
	// says nothing then.
	pauseGap = 500 * time.Millisecond
	// leadAfter is how long after its start a node leaves the lead to another node that has it. While nodes are restarted in
	// turn, one that is back would otherwise take over all jobs, and hand them over again a moment later.
	leadAfter = 20 * time.Second
)

// Candidate is a node that may lead. Nodes with a higher weight come first.
type Candidate struct {
	Node   id.Node
	Domain id.FailureDomain
	Weight float64
}

// before orders candidates: by weight, and among equals by a hash of their names.
func (c Candidate) before(other Candidate) int {
	return cmp.Or(cmp.Compare(other.Weight, c.Weight), cmp.Compare(hash(c.Node), hash(other.Node)), cmp.Compare(c.Node, other.Node))
}

func hash(name id.Node) uint64 { return xxhash.Sum64String(string(name)) }

type (
	// Ping asks a candidate for a sign of life.
	Ping struct {
		Seq uint64 `protobuf:"varint,1,opt,name=seq"`
	}
	// Pong answers a Ping.
	Pong struct {
		Seq   uint64 `protobuf:"varint,1,opt,name=seq"`
		Ready bool   `protobuf:"varint,2,opt,name=ready"` // the sender may lead
	}
	// Changed says that this node follows another leader; an empty name means none.
	Changed struct {
		event.Internal
		Leader id.Node
	}
)

// Check accepts every ping.
func (Ping) Check() error { return nil }

// Check accepts every pong.
func (Pong) Check() error { return nil }

// Tracker follows the leader.
type Tracker struct {
	self        event.Self
	own         Candidate
	peers       map[id.Node]*peer
	order       []*peer
	ready       bool // this node may lead
	established bool // this node has been up for long enough to take the lead from another
	leader      id.Node
	pingAt      time.Time
	begun       time.Time
	last        time.Time
	seq         uint64
}

// peer is another node.
type peer struct {
	Candidate
	heard  time.Time
	asked  time.Time // the first ping since the last sign of life, zero for none
	ready  bool
	relink time.Time // when the connection to it was last given up
	pinged time.Time
}

// New returns a tracker that knows only its own node.
func New(self event.Self) *Tracker {
	return &Tracker{self: self, own: Candidate{Node: self.Node, Domain: self.FailureDomain}, peers: map[id.Node]*peer{}}
}

// Leader returns the node that this node follows, empty for none.
func (t *Tracker) Leader() id.Node { return t.leader }

// Alive reports whether a node answers; this node always does.
func (t *Tracker) Alive(now time.Time, name id.Node) bool {
	if name == t.self.Node {
		return true
	}
	p, ok := t.peers[name]
	return ok && p.alive(now)
}

// SetReady says whether this node may lead.
func (t *Tracker) SetReady(ready bool) { t.ready = ready }

// SetCandidates replaces the list of all nodes; this node need not be among them.
func (t *Tracker) SetCandidates(list []Candidate) {
	next := map[id.Node]*peer{}
	t.order = nil
	for _, c := range list {
		if c.Node == t.self.Node {
			t.own = c
			continue
		}
		p, known := t.peers[c.Node]
		if !known {
			p = &peer{}
		}
		p.Candidate = c
		next[c.Node] = p
		t.order = append(t.order, p)
	}
	t.peers = next
	slices.SortFunc(t.order, func(a, b *peer) int { return a.before(b.Candidate) })
}

// Rank returns how many live candidates come before this node, in all failure domains and in its own.
func (t *Tracker) Rank(now time.Time) (all, own int) {
	for _, p := range t.order {
		if p.before(t.own) < 0 && !p.dead(now) {
			all++
			if p.Domain == t.self.FailureDomain {
				own++
			}
		}
	}
	return all, own
}

// Next returns the time of the next timer.
func (t *Tracker) Next() time.Time { return t.pingAt }

// Step handles one event.
func (t *Tracker) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	t.wake(now)
	switch ev := ev.(type) {
	case event.Receive:
		out = t.receive(now, ev)
	case event.PeerLink:
		t.linked(now, ev)
	}
	if !now.Before(t.pingAt) {
		t.pingAt = now.Add(pingPeriod)
		out = append(out, t.ping(now)...)
	}
	return append(out, t.choose(now)...)
}

// linked takes in a connection that has come up or has ended. A new one is asked at once: the silence before it says
// nothing about it.
func (t *Tracker) linked(now time.Time, ev event.PeerLink) {
	p, known := t.peers[ev.Peer]
	if !known {
		return
	}
	if !ev.Up {
		p.heard = time.Time{}
		return
	}
	p.asked = time.Time{}
	t.pingAt = now
}

// wake makes up for a freeze of this process.
func (t *Tracker) wake(now time.Time) {
	if t.begun.IsZero() {
		t.begun = now
	}
	if gap := now.Sub(t.last); !t.last.IsZero() && gap > pauseGap {
		for _, p := range t.order {
			if !p.heard.IsZero() {
				p.heard = p.heard.Add(gap)
			}
			p.asked = time.Time{}
		}
	}
	t.last = now
}

func (t *Tracker) receive(now time.Time, ev event.Receive) []event.Action {
	switch b := ev.Body.(type) {
	case Ping:
		return []event.Action{event.Send{To: ev.From, Body: Pong{Seq: b.Seq, Ready: t.ready && t.established}}}
	case Pong:
		if p, ok := t.peers[ev.From]; ok {
			p.heard, p.ready, p.asked = now, b.Ready, time.Time{}
		}
	}
	return nil
}

func (p *peer) alive(now time.Time) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) < silence
}

// ping asks the first live candidates and the first one of the own failure domain, which is the leader when the domain
// is cut off. A candidate that stays silent over a connection that is up gets a new connection.
func (t *Tracker) ping(now time.Time) []event.Action {
	t.seq++
	var out []event.Action
	near, count := false, 0
	for _, p := range t.order {
		if p.dead(now) {
			if now.Sub(p.pinged) >= deadAfter {
				out = append(out, t.pingOne(now, p)...)
			}
			continue
		}
		own := !near && p.Domain == t.self.FailureDomain
		if count < watched || own || p.Node == t.leader {
			out = append(out, t.pingOne(now, p)...)
		}
		if p.refuses(now) {
			continue
		}
		near = near || own
		count++
	}
	return out
}

// refuses reports whether a candidate answers that it may not lead, as a node does that is being stopped.
func (p *peer) refuses(now time.Time) bool { return p.alive(now) && !p.ready }

// dead reports whether a candidate has been silent for so long that its place is taken by another.
func (p *peer) dead(now time.Time) bool {
	return !p.asked.IsZero() && now.Sub(p.asked) >= deadAfter
}

func (t *Tracker) pingOne(now time.Time, p *peer) []event.Action {
	var out []event.Action
	p.pinged = now
	if p.asked.IsZero() {
		p.asked = now
	}
	if now.Sub(p.asked) >= silence && now.Sub(p.relink) >= silence {
		p.relink = now
		out = append(out,
			event.Log{Kind: "peer", Stage: string(p.Node), Choice: "relink", Reason: "silent for " + now.Sub(p.asked).String()},
			event.Reconnect{To: p.Node})
	}
	return append(out, event.Send{To: p.Node, Body: Ping{Seq: t.seq}})
}

// establish ends the time in which a new node leaves the lead to another that has it.
func (t *Tracker) establish(now time.Time) {
	since := now.Sub(t.begun)
	alone := t.ready && since >= silence && (t.leader == "" || t.leader == t.self.Node)
	t.established = t.established || alone || since >= leadAfter
}

// choose follows the first node that answers and may lead.
func (t *Tracker) choose(now time.Time) []event.Action {
	t.establish(now)
	best := id.Node("")
	for _, p := range t.order {
		if t.ready && t.established && p.before(t.own) > 0 {
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
