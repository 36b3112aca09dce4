package domain

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/retry"
)

// reading is the read of the records by a watcher and by a process that starts.
type reading struct {
	seq     uint64 // of the read in flight, 0 for none
	again   bool   // a change was announced while a read was in flight
	retry   retry.Timer
	poll    retry.Timer // set on watchers only
	watches bool
	done    bool // the platform has answered once
}

func (s *Domains) viewChanged(now time.Time, view *member.View) {
	first := s.view == nil
	s.view = view
	watches := s.watcher()
	switch {
	case watches && !s.read.watches:
		s.out = append(s.out, event.PlatformCall{Owner: owner, Op: event.OpWatch, Name: objectName})
		s.read.watches = true
		s.read.poll.Set(now, pollEvery)
		s.readRecords(now)
	case watches && s.read.poll.Next().IsZero():
		s.read.poll.Set(now, pollEvery)
		s.readRecords(now)
	case !watches:
		s.read.poll.Clear()
	}
	if first {
		for _, peer := range s.domainWatchers() {
			s.send(peer, s.sum())
		}
	}
	s.commitNext(now)
}

// domainWatchers returns the nodes of this failure domain that watch the records.
func (s *Domains) domainWatchers() []id.Node {
	var out []id.Node
	for _, n := range s.view.Owners(objectName, watchers, member.InDomain(s.self.FailureDomain)) {
		out = append(out, n.ID)
	}
	return out
}

func (s *Domains) watcher() bool { return slices.Contains(s.domainWatchers(), s.self.Node) }

func (s *Domains) send(to id.Node, body event.Body) {
	if to != s.self.Node && !s.noGossip {
		s.out = append(s.out, event.Send{To: to, Body: body})
	}
}

func (s *Domains) sum() Sum {
	if s.hash == 0 {
		s.hash = hash(s.records)
	}
	return Sum{Hash: s.hash, Ready: s.ready}
}

// compareOne compares records with a watcher of this domain and, in every other round, with a random node.
func (s *Domains) compareOne() {
	if s.view == nil || len(s.view.Nodes) < 2 {
		return
	}
	s.rounds++
	peers := slices.DeleteFunc(s.domainWatchers(), func(n id.Node) bool { return n == s.self.Node })
	if s.rounds%2 == 0 || len(peers) == 0 {
		s.send(s.view.Nodes[s.self.Rand.IntN(len(s.view.Nodes))].ID, s.sum())
		return
	}
	s.send(peers[s.self.Rand.IntN(len(peers))], s.sum())
}

// spread sends records that are new here to all nodes of this domain and to one node of each other domain.
// Every node that learns something new does the same, so a lost message has many substitutes.
func (s *Domains) spread(list []Record) {
	if s.view == nil || len(list) == 0 {
		return
	}
	body := Records{List: list, Ready: s.ready}
	others := id.NewSet[id.FailureDomain]()
	for _, n := range s.view.Nodes {
		if n.FailureDomain == s.self.FailureDomain {
			s.send(n.ID, body)
			continue
		}
		others.Add(n.FailureDomain)
	}
	for _, d := range others.Sorted() {
		for _, n := range s.view.Owners(string(s.self.Node), 1, member.InDomain(d)) {
			s.send(n.ID, body)
		}
	}
}

// repeat sends drains that were learned a short time ago once more to all nodes of this domain.
func (s *Domains) repeat(now time.Time) {
	var list []Record
	for _, d := range sortedKeys(s.fresh) {
		if now.Sub(s.fresh[d]) > repeatFor {
			delete(s.fresh, d)
			continue
		}
		list = append(list, s.records[d])
	}
	if s.view == nil || len(list) == 0 {
		return
	}
	for _, n := range s.view.Nodes {
		if n.FailureDomain == s.self.FailureDomain {
			s.send(n.ID, Records{List: list, Ready: s.ready})
		}
	}
}

func (s *Domains) receive(now time.Time, ev event.Receive) {
	if s.noGossip {
		return
	}
	switch body := ev.Body.(type) {
	case Sum:
		s.compared(ev.From, body)
	case Records:
		s.learned(now, ev.From, body)
	default:
		// Any message shows the version that its sender has.
		if ev.Domains > s.version && now.Sub(s.asked) >= askEvery {
			s.asked = now
			s.send(ev.From, s.sum())
		}
	}
}

func (s *Domains) compared(from id.Node, peer Sum) {
	own := s.sum()
	switch {
	case own.Hash != peer.Hash:
		s.send(from, Records{List: s.Records(), Ready: s.ready, All: true})
	case peer.Ready:
		s.ready = true
	case s.ready:
		s.send(from, own)
	}
}

func (s *Domains) learned(now time.Time, from id.Node, body Records) {
	var fresh, better []Record
	named := id.NewSet[id.FailureDomain]()
	for _, r := range body.List {
		if s.merge(now, r) {
			fresh = append(fresh, r)
		}
	}
	s.ready = s.ready || body.Ready
	s.spread(fresh)
	for _, r := range body.List {
		named.Add(r.Domain)
		if own := s.records[r.Domain]; compare(own, r) > 0 {
			better = append(better, own)
		}
	}
	for _, own := range s.Records() {
		if body.All && !named.Has(own.Domain) {
			better = append(better, own)
		}
	}
	if len(better) > 0 {
		s.send(from, Records{List: better, Ready: s.ready})
	}
	if len(fresh) > 0 {
		s.commitNext(now)
	}
}

func (s *Domains) readRecords(now time.Time) {
	if s.read.seq != 0 {
		s.read.again = true
		return
	}
	s.read.again = false
	s.read.seq = s.call(now, forWatch, event.PlatformCall{Op: event.OpGet, Name: objectName})
}

func (s *Domains) recordsRead(now time.Time, ev event.PlatformResult) {
	s.read.seq = 0
	if ev.Code != event.CodeOK && ev.Code != event.CodeNotFound {
		// A node that is no watcher needs the platform only for its start; then its peers keep it up to date.
		if s.read.again || !s.read.done && !s.ready || !s.read.poll.Next().IsZero() {
			s.read.retry.Fail(now, s.self.Rand)
		}
		return
	}
	if o, _, err := objectOf(ev); err != nil {
		s.log("ignored", "%v", err)
	} else {
		s.absorb(now, o)
	}
	s.read.done = true
	s.read.retry.Clear()
	if s.read.again {
		s.readRecords(now)
	}
}

// absorb merges what the platform has.
func (s *Domains) absorb(now time.Time, o object) {
	s.ready = true
	var fresh []Record
	for _, r := range o.Records {
		if s.merge(now, r) {
			fresh = append(fresh, r)
		}
	}
	s.spread(fresh)
}

// objectOf decodes the object in the result of a read; a missing object has no records.
func objectOf(ev event.PlatformResult) (o object, version uint64, err error) {
	if ev.Code == event.CodeNotFound || len(ev.Objects) == 0 {
		return object{}, 0, nil
	}
	o, err = decodeObject(ev.Objects[0].Value)
	return o, ev.Objects[0].Version, err
}

// call starts a platform operation whose result comes back with its purpose.
func (s *Domains) call(now time.Time, what purpose, op event.PlatformCall) uint64 {
	s.seq++
	op.Owner = owner
	op.Seq = s.seq
	s.calls[s.seq] = call{what, now.Add(callTimeout)}
	s.out = append(s.out, op)
	return s.seq
}

func (s *Domains) result(now time.Time, ev event.PlatformResult) {
	if ev.Call.Owner != owner {
		return
	}
	what, ok := s.calls[ev.Call.Seq]
	if !ok {
		return
	}
	delete(s.calls, ev.Call.Seq)
	switch what.purpose {
	case forWatch:
		s.recordsRead(now, ev)
	case forBase:
		s.baseRead(now, ev)
	case forPut:
		s.put(now, ev)
	}
}
