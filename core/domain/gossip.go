package domain

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/retry"
)

// readState is the read of the records by a watcher and by a process that starts.
type readState struct {
	callSeq      uint64 // of the read in flight, 0 for none
	rereadNeeded bool   // a change was announced while a read was in flight
	retry        retry.Timer
	poll         retry.Timer // set on watchers only
	watching     bool
	answered     bool // the platform has answered once
}

func (s *Domains) handleView(now time.Time, view *member.View) {
	first := s.view == nil
	s.view = view
	watches := s.isWatcher()
	switch {
	case watches && !s.read.watching:
		s.out = append(s.out, event.PlatformCall{Owner: owner, Op: event.OpWatch, Name: objectName})
		s.read.watching = true
		s.read.poll.Set(now, pollInterval)
		s.readRecords(now)
	case watches && s.read.poll.Next().IsZero():
		s.read.poll.Set(now, pollInterval)
		s.readRecords(now)
	case !watches:
		s.read.poll.Clear()
	}
	if first {
		for _, peer := range s.domainWatchers() {
			s.send(peer, s.digest())
		}
	}
	s.startCommit(now)
}

// domainWatchers returns the nodes of this failure domain that watch the records.
func (s *Domains) domainWatchers() []id.Node {
	var out []id.Node
	for _, n := range s.view.Owners(objectName, watchersPerDomain, member.InDomain(s.self.FailureDomain)) {
		out = append(out, n.ID)
	}
	return out
}

func (s *Domains) isWatcher() bool { return slices.Contains(s.domainWatchers(), s.self.Node) }

func (s *Domains) send(to id.Node, body event.Body) {
	if to != s.self.Node && !s.noGossip {
		s.out = append(s.out, event.Send{To: to, Body: body})
	}
}

func (s *Domains) digest() Digest {
	if s.hash == 0 {
		s.hash = hash(s.records)
	}
	return Digest{Hash: s.hash, Ready: s.ready}
}

// gossipToPeer compares records with a watcher of this domain and, in every other round, with a random node.
func (s *Domains) gossipToPeer() {
	if s.view == nil || len(s.view.Nodes) < 2 {
		return
	}
	s.gossipRounds++
	peers := slices.DeleteFunc(s.domainWatchers(), func(n id.Node) bool { return n == s.self.Node })
	if s.gossipRounds%2 == 0 || len(peers) == 0 {
		s.send(s.view.Nodes[s.self.Rand.IntN(len(s.view.Nodes))].ID, s.digest())
		return
	}
	s.send(peers[s.self.Rand.IntN(len(peers))], s.digest())
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

// repeatDrains sends drains that were learned a short time ago once more to all nodes of this domain.
func (s *Domains) repeatDrains(now time.Time) {
	var list []Record
	for _, d := range sortedKeys(s.recentDrains) {
		if now.Sub(s.recentDrains[d]) > repeatDuration {
			delete(s.recentDrains, d)
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

func (s *Domains) handleReceive(now time.Time, ev event.Receive) {
	if s.noGossip {
		return
	}
	switch body := ev.Body.(type) {
	case Digest:
		s.handleDigest(ev.From, body)
	case Records:
		s.handleRecords(now, ev.From, body)
	default:
		// Any message shows the version that its sender has.
		if ev.Domains > s.version && now.Sub(s.comparedAt) >= compareInterval {
			s.comparedAt = now
			s.send(ev.From, s.digest())
		}
	}
}

func (s *Domains) handleDigest(from id.Node, peer Digest) {
	own := s.digest()
	switch {
	case own.Hash != peer.Hash:
		s.send(from, Records{List: s.Records(), Ready: s.ready, All: true})
	case peer.Ready:
		s.ready = true
	case s.ready:
		s.send(from, own)
	}
}

func (s *Domains) handleRecords(now time.Time, from id.Node, body Records) {
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
		s.startCommit(now)
	}
}

func (s *Domains) readRecords(now time.Time) {
	if s.read.callSeq != 0 {
		s.read.rereadNeeded = true
		return
	}
	s.read.rereadNeeded = false
	s.read.callSeq = s.startCall(now, purposeReadRecords, event.PlatformCall{Op: event.OpGet, Name: objectName})
}

func (s *Domains) handleRecordsRead(now time.Time, ev event.PlatformResult) {
	s.read.callSeq = 0
	if ev.Code != event.CodeOK && ev.Code != event.CodeNotFound {
		// A node that is no watcher needs the platform only for its start; then its peers keep it up to date.
		if s.read.rereadNeeded || !s.read.answered && !s.ready || !s.read.poll.Next().IsZero() {
			s.read.retry.Fail(now, s.self.Rand)
		}
		return
	}
	if o, _, err := objectFromResult(ev); err != nil {
		s.log("ignored", "%v", err)
	} else {
		s.mergeObject(now, o)
	}
	s.read.answered = true
	s.read.retry.Clear()
	if s.read.rereadNeeded {
		s.readRecords(now)
	}
}

// mergeObject merges what the platform has.
func (s *Domains) mergeObject(now time.Time, o object) {
	s.ready = true
	var fresh []Record
	for _, r := range o.Records {
		if s.merge(now, r) {
			fresh = append(fresh, r)
		}
	}
	s.spread(fresh)
}

// objectFromResult decodes the object in the result of a read; a missing object has no records.
func objectFromResult(ev event.PlatformResult) (o object, version uint64, err error) {
	if ev.Code == event.CodeNotFound || len(ev.Objects) == 0 {
		return object{}, 0, nil
	}
	o, err = decodeObject(ev.Objects[0].Value)
	return o, ev.Objects[0].Version, err
}

// startCall starts a platform operation whose result comes back with its purpose.
func (s *Domains) startCall(now time.Time, what purpose, op event.PlatformCall) uint64 {
	s.lastCall++
	op.Owner = owner
	op.Seq = s.lastCall
	s.calls[s.lastCall] = pendingCall{what, now.Add(callTimeout)}
	s.out = append(s.out, op)
	return s.lastCall
}

func (s *Domains) handleResult(now time.Time, ev event.PlatformResult) {
	if ev.Call.Owner != owner {
		return
	}
	what, ok := s.calls[ev.Call.Seq]
	if !ok {
		return
	}
	delete(s.calls, ev.Call.Seq)
	switch what.purpose {
	case purposeReadRecords:
		s.handleRecordsRead(now, ev)
	case purposeReadBase:
		s.handleBaseRead(now, ev)
	case purposePut:
		s.handlePut(now, ev)
	}
}
