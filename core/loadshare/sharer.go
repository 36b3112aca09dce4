package loadshare

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/cost"
	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/retry"
)

const (
	// nodeInterval is the time between two messages of a node to its relay.
	nodeInterval = 200 * time.Millisecond
	// relayInterval is the time between two messages of a relay. It is longer, because these messages are larger and go to many
	// nodes.
	relayInterval = 400 * time.Millisecond
	// silenceTimeout is the time without a message after which a node counts as lost. It is longer than keepaliveInterval.
	silenceTimeout = 1600 * time.Millisecond
	// suspicionTime is how long a silent relay is skipped.
	suspicionTime = 5 * time.Second
	// activeSpan is how long after its last request of known size a node takes part in the exchange.
	activeSpan = 30 * time.Second
)

// Node is a node that takes part in the exchange.
type Node struct {
	Name   id.Node
	Domain id.FailureDomain
	Weight float64 // size of its VM; larger ones are preferred as relays
}

// model provides the work of this node's attempts, and receives that of all other nodes.
type model interface {
	LastSized() time.Time // when the last request of known size was sent
	Work(now time.Time) map[id.Server]cost.Work
	SetRemote(at time.Time, server *fleet.Server, w cost.Work)
}

// target is a relay that this node sends to.
type target struct {
	name  id.Node
	since time.Time // when it was chosen
	heard time.Time // when it was last heard
	outbox
}

// silent reports whether the relay was chosen and last heard at least silenceTimeout ago.
func (t *target) silent(now time.Time) bool {
	return t.name != "" && now.Sub(t.since) >= silenceTimeout && now.Sub(t.heard) >= silenceTimeout
}

// Sharer exchanges the work at servers with the other nodes.
type Sharer struct {
	self      event.Self
	model     model
	servers   map[uint32]*fleet.Server
	domainOf  map[id.Node]id.FailureDomain
	ranked    map[id.FailureDomain][]id.Node
	suspected map[id.Node]time.Time // until when
	nodeAt    time.Time             // of the next message as a node
	relayAt   time.Time             // of the next messages as a relay, zero if this node relays nothing

	own     target              // the relay of this node's failure domain
	all     inbox               // work of all nodes, from that relay
	members map[id.Node]*inbox  // work of the nodes for which this node is the relay
	toAll   outbox              // messages to the members about the work of all nodes
	foreign map[id.Node]*target // the relays of other failure domains
	sums    map[id.Node]*inbox  // work of the other failure domains, by relay
}

// New returns a sharer without other nodes.
func New(self event.Self, m model) *Sharer {
	return &Sharer{
		self: self, model: m, servers: map[uint32]*fleet.Server{}, suspected: map[id.Node]time.Time{},
		own: target{outbox: outbox{scope: OneNode}}, all: inbox{table: table{}}, members: map[id.Node]*inbox{},
		toAll: outbox{scope: AllDomains}, foreign: map[id.Node]*target{}, sums: map[id.Node]*inbox{},
	}
}

// SetNodes replaces the list of nodes.
func (s *Sharer) SetNodes(nodes []Node) {
	order := func(n Node) uint64 { return xxhash.Sum64String("load " + string(n.Name)) }
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(order(a), order(b)), cmp.Compare(a.Name, b.Name))
	})
	s.domainOf, s.ranked = map[id.Node]id.FailureDomain{}, map[id.FailureDomain][]id.Node{}
	for _, n := range nodes {
		s.domainOf[n.Name] = n.Domain
		s.ranked[n.Domain] = append(s.ranked[n.Domain], n.Name)
	}
	maps.DeleteFunc(s.members, func(name id.Node, _ *inbox) bool { return s.domainOf[name] != s.self.FailureDomain })
	maps.DeleteFunc(s.suspected, func(name id.Node, _ time.Time) bool { return s.domainOf[name] == "" })
	maps.DeleteFunc(s.sums, func(name id.Node, _ *inbox) bool { return s.domainOf[name] == "" })
}

// Next returns the time of the next message, zero if there is none to send.
func (s *Sharer) Next() time.Time { return retry.Earliest(s.nodeAt, s.relayAt) }

// Step handles one event.
func (s *Sharer) Step(now time.Time, ev event.Event) []event.Action {
	switch ev := ev.(type) {
	case fleet.ServerChanged:
		s.servers[hashOf(ev.Server.ID)] = ev.Server
	case fleet.ServerRemoved:
		delete(s.servers, hashOf(ev.Server.ID))
	case event.PeerLink:
		s.linkChanged(now, ev)
	case event.Receive:
		if d, ok := ev.Body.(Digest); ok {
			s.receive(now, ev.From, d)
		}
	}
	if s.nodeAt.IsZero() && s.active(now) {
		s.nodeAt = now
	}
	var out []event.Action
	if !s.nodeAt.IsZero() && !now.Before(s.nodeAt) {
		out = s.sendWork(now)
	}
	if !s.relayAt.IsZero() && !now.Before(s.relayAt) {
		out = append(out, s.relay(now)...)
	}
	return out
}

// active reports whether this node sends requests of known size.
func (s *Sharer) active(now time.Time) bool {
	last := s.model.LastSized()
	return len(s.domainOf) > 1 && !last.IsZero() && now.Sub(last) < activeSpan
}

// linkChanged makes this node skip a relay whose connection has ended, for suspicionTime or until there is a new one. It may have
// restarted and lost the work that it had received, so that it gets a complete message then.
func (s *Sharer) linkChanged(now time.Time, ev event.PeerLink) {
	switch {
	case ev.Up:
		delete(s.suspected, ev.Peer)
	case s.domainOf[ev.Peer] != "":
		s.suspected[ev.Peer] = now.Add(suspicionTime)
		delete(s.foreign, ev.Peer)
		if s.own.name == ev.Peer {
			s.own.name = ""
		}
	}
}

// receive records a message of another node.
func (s *Sharer) receive(now time.Time, from id.Node, d Digest) {
	domain := s.domainOf[from]
	switch near := domain == s.self.FailureDomain; {
	case domain == "":
	case d.Scope == OneNode && near:
		s.receiveWork(now, from, d)
	case d.Scope == OneDomain && !near:
		s.receiveSum(now, from, d)
	case d.Scope == AllDomains && near && from == s.own.name:
		s.own.heard = now
		s.all.receive(now, d)
		s.update(now)
	}
}

// receiveWork records the work of a node, whose relay this node becomes.
func (s *Sharer) receiveWork(now time.Time, from id.Node, d Digest) {
	member, known := s.members[from]
	if !known {
		member = &inbox{table: table{}}
		s.members[from] = member
		s.toAll.restart()
	}
	member.receive(now, d)
	if s.relayAt.IsZero() {
		s.relayAt = now.Add(relayInterval)
	}
}

// receiveSum records the work from a relay of another failure domain. A domain has several relays while its nodes do not agree on
// one.
func (s *Sharer) receiveSum(now time.Time, from id.Node, d Digest) {
	sum, known := s.sums[from]
	if !known {
		sum = &inbox{table: table{}}
		s.sums[from] = sum
	}
	sum.receive(now, d)
}

// set makes a node the receiver. Its first message is complete.
func (t *target) set(now time.Time, name id.Node) {
	t.name, t.since, t.heard = name, now, time.Time{}
	t.restart()
}

// first returns the first node of a failure domain that is not suspected, or the first of all if every one is.
func (s *Sharer) first(now time.Time, domain id.FailureDomain) id.Node {
	list := s.ranked[domain]
	for _, name := range list {
		if !now.Before(s.suspected[name]) {
			return name
		}
	}
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// sendWork sends this node's work to its relay.
func (s *Sharer) sendWork(now time.Time) []event.Action {
	s.nodeAt = time.Time{}
	if !s.active(now) {
		return nil
	}
	s.nodeAt = now.Add(nodeInterval)
	if s.own.name != s.self.Node && s.own.silent(now) {
		s.suspected[s.own.name] = now.Add(suspicionTime)
	}
	var out []event.Action
	if name := s.first(now, s.self.FailureDomain); name != s.own.name {
		out = append(out, event.Log{Kind: "load", Choice: "relay " + string(name), Reason: fmt.Sprintf("before %s", s.own.name)})
		s.own.set(now, name)
		s.all = inbox{table: table{}}
	}
	if d, ok := s.own.next(now, s.work(now)); ok && s.own.name != "" {
		out = append(out, event.Send{To: s.own.name, Body: d})
	}
	return out
}

// work returns the work of this node's attempts.
func (s *Sharer) work(now time.Time) table {
	out := table{}
	for name, w := range s.model.Work(now) {
		if l := newLoad(hashOf(name), w); !l.idle() && len(out) < maxLoads {
			out[l.Server] = l
		}
	}
	return out
}

// relay sends the work of all nodes to the members, and the work of the members to the relays of the other failure domains.
func (s *Sharer) relay(now time.Time) []event.Action {
	maps.DeleteFunc(s.members, func(_ id.Node, m *inbox) bool { return !m.fresh(now) })
	maps.DeleteFunc(s.sums, func(_ id.Node, d *inbox) bool { return !d.fresh(now) })
	if len(s.members) == 0 {
		s.relayAt = time.Time{}
		return nil
	}
	s.relayAt = now.Add(relayInterval)
	sum := table{}
	for _, m := range s.members {
		sum.add(m.table)
	}
	out := s.sendSum(now, sum)
	for _, d := range s.sums {
		sum.add(d.table)
	}
	if d, ok := s.toAll.next(now, sum); ok {
		for _, name := range slices.Sorted(maps.Keys(s.members)) {
			out = append(out, event.Send{To: name, Body: d})
		}
	}
	return out
}

// sendSum sends the work of this failure domain to the relays of the others.
func (s *Sharer) sendSum(now time.Time, sum table) []event.Action {
	relays := id.NewSet[id.Node]()
	for domain := range s.ranked {
		if domain != s.self.FailureDomain {
			s.addRelays(now, domain, relays)
		}
	}
	maps.DeleteFunc(s.foreign, func(name id.Node, _ *target) bool { return !relays.Has(name) })
	var out []event.Action
	for _, name := range relays.Sorted() {
		t, known := s.foreign[name]
		if !known {
			t = &target{outbox: outbox{scope: OneDomain}}
			t.set(now, name)
			s.foreign[name] = t
		}
		if d, ok := t.next(now, sum); ok {
			out = append(out, event.Send{To: name, Body: d})
		}
	}
	return out
}

// addRelays adds the relays of another failure domain: the nodes that send its work, or else the first one that is not silent.
func (s *Sharer) addRelays(now time.Time, domain id.FailureDomain, relays id.Set[id.Node]) {
	heard := false
	for name := range s.sums {
		if s.domainOf[name] == domain {
			relays.Add(name)
			heard = true
		}
	}
	if heard {
		return
	}
	name := s.first(now, domain)
	if t, known := s.foreign[name]; known && t.silent(now) {
		s.suspected[name] = now.Add(suspicionTime)
		name = s.first(now, domain)
	}
	relays.Add(name)
}

// update passes the work of the other nodes to the model. The work that this node has sent is part of the total and is subtracted.
func (s *Sharer) update(now time.Time) {
	for hash, server := range s.servers {
		s.model.SetRemote(now, server, s.all.table[hash].work(s.own.sent[hash]))
	}
}
