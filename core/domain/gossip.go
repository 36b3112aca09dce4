package domain

import (
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/retry"
)

// readState tracks reads of the records. Watchers read them to learn of changes, and every process reads them when it
// starts.
type readState struct {
	callSeq      uint64 // the read in flight, 0 for none
	rereadNeeded bool   // a change was announced during the read in flight
	retry        retry.Timer
	poll         retry.Timer // set on watchers only
	watching     bool
	answered     bool // the platform has answered at least once
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

// domainWatchers returns the nodes of this node's failure domain that watch the records.
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

// gossipToPeer compares records alternately with a watcher of this node's failure domain and with a random node.
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

// broadcastRecords sends newly learned records to all nodes of this node's failure domain and to one node of each other domain.
// Every node that learns a record does the same, so a record still arrives if some of the messages are lost.
func (s *Domains) broadcastRecords(list []Record) {
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

// repeatDrains sends recently learned drains to all nodes of this node's failure domain again.
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

func (s *Domains) handleMessage(now time.Time, ev event.Receive) {
	if s.noGossip {
		return
	}
	switch body := ev.Body.(type) {
	case Digest:
		s.handleDigest(ev.From, body)
	case Records:
		s.handleRecords(now, ev.From, body)
	default:
		// Every message carries the sender's version.
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
	var learned, newer []Record
	listed := id.NewSet[id.FailureDomain]()
	for _, r := range body.List {
		if s.merge(now, r) {
			learned = append(learned, r)
		}
	}
	s.ready = s.ready || body.Ready
	s.broadcastRecords(learned)
	for _, r := range body.List {
		listed.Add(r.Domain)
		if own := s.records[r.Domain]; compare(own, r) > 0 {
			newer = append(newer, own)
		}
	}
	for _, own := range s.Records() {
		if body.All && !listed.Has(own.Domain) {
			newer = append(newer, own)
		}
	}
	if len(newer) > 0 {
		s.send(from, Records{List: newer, Ready: s.ready})
	}
	if len(learned) > 0 {
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
		// A node that is not a watcher reads the platform only when it starts; afterwards its peers keep it up to date.
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

// mergeObject merges the records of the platform and sends those that are new to other nodes.
func (s *Domains) mergeObject(now time.Time, o object) {
	s.ready = true
	var learned []Record
	for _, r := range o.Records {
		if s.merge(now, r) {
			learned = append(learned, r)
		}
	}
	s.broadcastRecords(learned)
}

// objectFromResult decodes the object in the result of a read. An object that does not exist has no records.
func objectFromResult(ev event.PlatformResult) (o object, version uint64, err error) {
	if ev.Code == event.CodeNotFound || len(ev.Objects) == 0 {
		return object{}, 0, nil
	}
	o, err = decodeObject(ev.Objects[0].Value)
	return o, ev.Objects[0].Version, err
}

// startCall starts a platform operation and records its purpose for the result. It returns the sequence number.
func (s *Domains) startCall(now time.Time, purpose purpose, op event.PlatformCall) uint64 {
	s.lastSeq++
	op.Owner = owner
	op.Seq = s.lastSeq
	s.calls[s.lastSeq] = pendingCall{purpose, now.Add(callTimeout)}
	s.out = append(s.out, op)
	return s.lastSeq
}

func (s *Domains) handleResult(now time.Time, ev event.PlatformResult) {
	if ev.Call.Owner != owner {
		return
	}
	call, ok := s.calls[ev.Call.Seq]
	if !ok {
		return
	}
	delete(s.calls, ev.Call.Seq)
	switch call.purpose {
	case purposeReadRecords:
		s.handleRecordsRead(now, ev)
	case purposeReadBase:
		s.handleBaseRead(now, ev)
	case purposePut:
		s.handlePut(now, ev)
	}
}
