package member

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// ageUnit is the resolution of relayed ages. Ages are rounded up and grow by one unit with each relay, so that relays
// in a circle cannot keep a silent node alive.
const ageUnit = 250 * time.Millisecond

// Limits of the gossip of markers and of questions for records.
const (
	queryInterval     = 500 * time.Millisecond
	refusedRetention  = time.Minute
	recentMarkerAge   = 5 * time.Second
	maxRecentMarkers  = 8
	maxQueriedDigests = 64
	// extraHeartbeats go to other domains in each period while a marker is new. In a small fleet few nodes repeat a marker,
	// and without them a lossy network delays it beyond 3 s.
	extraHeartbeats = 8
)

func (m *Members) handleMessage(now time.Time, ev event.Receive) []event.Action {
	if ev.From == m.self.Node {
		return nil
	}
	switch b := ev.Body.(type) {
	case Heartbeat:
		return m.handleHeartbeat(now, ev, b)
	case Query:
		return m.handleQuery(now, ev.From, b)
	case Update:
		var out []event.Action
		for _, r := range b.Records {
			if !m.mergeRecord(now, r) {
				m.refusedAt[r.digest()] = now
			}
		}
		if !m.noMarkers {
			out = m.addMarkers(now, b.Marks...)
		}
		return out
	}
	return nil
}

func (m *Members) handleHeartbeat(now time.Time, ev event.Receive, b Heartbeat) []event.Action {
	var out []event.Action
	for _, r := range b.Self {
		if r.ID == ev.From && !m.mergeRecord(now, r) {
			out = append(out, m.sendKnownRecord(ev.From)...)
		}
	}
	var unknown []byte
	p := m.peer(ev.From)
	if p.known && p.digest == b.Digest {
		m.recordHeartbeat(now, p, b)
	} else {
		unknown = m.queryRecord(now, unknown, b.Digest)
		if _, old := m.refusedAt[b.Digest]; old {
			out = append(out, m.sendKnownRecord(ev.From)...)
		}
	}
	if !m.noRelays {
		for at := 0; at+relayBytes <= len(b.Relays); at += relayBytes {
			digest := binary.LittleEndian.Uint64(b.Relays[at:])
			age := time.Duration(b.Relays[at+digestBytes]) * ageUnit
			unknown = m.handleRelay(now, unknown, digest, age)
		}
	}
	ask := Query{Digests: unknown}
	if !m.noMarkers {
		out = append(out, m.addMarkers(now, b.Recent...)...)
		if b.Marks != m.markersDigest() && now.Sub(p.markerQueryAt) > queryInterval {
			p.markerQueryAt = now
			ask.Buckets = m.bucketBytes()
		}
	}
	if len(ask.Digests) > 0 || len(ask.Buckets) > 0 {
		out = append(out, event.Send{To: ev.From, Body: ask})
	}
	return out
}

// sendKnownRecord shows a node the record that stands in the way of its own, so that it raises its generation.
func (m *Members) sendKnownRecord(name id.Node) []event.Action {
	p, ok := m.peers[name]
	if !ok || !p.known {
		return nil
	}
	return []event.Action{event.Send{To: name, Body: Update{Records: []Record{p.record}}}}
}

func (m *Members) recordHeartbeat(now time.Time, p *peer, b Heartbeat) {
	if b.Seq < p.seq {
		return // repeated or overtaken
	}
	p.seq = b.Seq
	m.recordAlive(now, p, now)
	if b.Echo == 0 || b.Echo > m.seq || m.seq-b.Echo >= uint64(len(m.sentAt)) {
		return
	}
	if sent := m.sentAt[b.Echo%uint64(len(m.sentAt))]; sent.After(p.echoedAt) {
		p.echoedAt = sent // the next round renews the lease
	}
}

func (m *Members) recordAlive(now time.Time, p *peer, at time.Time) {
	if !at.After(p.heardAt) {
		return
	}
	p.heardAt = at
	if !p.live && now.Before(at.Add(m.suspicionTimeout(p.record.FailureDomain))) {
		m.dirty = true
	}
}

func (m *Members) handleRelay(now time.Time, unknown []byte, digest uint64, age time.Duration) []byte {
	if digest == m.digest {
		return unknown
	}
	name, ok := m.nodeByDigest[digest]
	if !ok {
		return m.queryRecord(now, unknown, digest)
	}
	m.recordAlive(now, m.peers[name], now.Add(-age-ageUnit))
	return unknown
}

// queryRecord adds a digest to a question unless it was asked for or refused a short time ago.
func (m *Members) queryRecord(now time.Time, unknown []byte, digest uint64) []byte {
	if at, ok := m.refusedAt[digest]; ok && now.Sub(at) < refusedRetention {
		return unknown
	}
	if at, ok := m.queriedAt[digest]; ok && now.Sub(at) < queryInterval {
		return unknown
	}
	if len(unknown) >= maxQueriedDigests*digestBytes {
		return unknown
	}
	m.queriedAt[digest] = now
	return binary.LittleEndian.AppendUint64(unknown, digest)
}

// mergeRecord takes in a record and reports whether it is the one in force afterwards.
func (m *Members) mergeRecord(now time.Time, r Record) bool {
	if r.ID == m.self.Node {
		if r.Incarnation != m.self.Incarnation && r.supersedes(m.record) {
			m.record.Generation = r.Generation + 1
			m.recordChanged(now)
		}
		return false
	}
	p := m.peer(r.ID)
	if p.known && p.record == r {
		return true
	}
	if p.known && !r.supersedes(p.record) {
		return false
	}
	if p.record.Incarnation != r.Incarnation {
		p.heardAt, p.seq, p.echoedAt = time.Time{}, 0, time.Time{}
	}
	delete(m.nodeByDigest, p.digest)
	p.record, p.known, p.digest, p.updatedAt = r, true, r.digest(), now
	m.nodeByDigest[p.digest] = r.ID
	delete(m.refusedAt, p.digest)
	m.dirty = true
	return true
}

func (m *Members) handleQuery(now time.Time, to id.Node, ask Query) []event.Action {
	var tell Update
	for at := 0; at+digestBytes <= len(ask.Digests); at += digestBytes {
		digest := binary.LittleEndian.Uint64(ask.Digests[at:])
		if digest == m.digest {
			tell.Records = append(tell.Records, m.record)
		} else if name, ok := m.nodeByDigest[digest]; ok {
			tell.Records = append(tell.Records, m.peers[name].record)
		}
	}
	var out []event.Action
	if len(ask.Buckets) == markerBucketCount*digestBytes && !m.noMarkers {
		tell.Marks = m.differingMarkers(ask.Buckets)
		if p := m.peer(to); !bytes.Equal(ask.Buckets, m.bucketBytes()) && now.Sub(p.markerQueryAt) > queryInterval {
			p.markerQueryAt = now // the peer may know markers that are missing here
			out = append(out, event.Send{To: to, Body: Query{Buckets: m.bucketBytes()}})
		}
	}
	if len(tell.Records) > 0 || len(tell.Marks) > 0 {
		out = append(out, event.Send{To: to, Body: tell})
	}
	return out
}

// sendHeartbeats sends the heartbeats that are due; all links get one if everyone is set.
func (m *Members) sendHeartbeats(now time.Time, everyone bool) []event.Action {
	m.nextHeartbeat = now.Add(heartbeatPeriod)
	m.seq++
	m.sentAt[m.seq%uint64(len(m.sentAt))] = now
	for digest, at := range m.refusedAt {
		if now.Sub(at) > refusedRetention {
			delete(m.refusedAt, digest)
		}
	}
	for digest, at := range m.queriedAt {
		if now.Sub(at) > refusedRetention {
			delete(m.queriedAt, digest)
		}
	}
	near, far := m.heartbeatTargets()
	count := m.relayCount(len(near), len(far))
	live := m.liveNodes()
	var out []event.Action
	for _, name := range near {
		out = append(out, m.heartbeatTo(now, name, live, count))
	}
	extra := 0
	if len(m.latestMarkers(now)) > 0 {
		extra = extraHeartbeats
	}
	for _, name := range far {
		due := everyone || (m.seq+rendezvous(string(name), ""))%remoteEvery == 0
		if !due && extra > 0 {
			extra--
			due = true
		}
		if due {
			out = append(out, m.heartbeatTo(now, name, live, count))
		}
	}
	return out
}

// relayCount fits the relays of all heartbeats of a second into the budget.
func (m *Members) relayCount(near, far int) int {
	perSecond := float64(near)*float64(time.Second/heartbeatPeriod) + float64(far)*float64(time.Second/heartbeatPeriod)/remoteEvery
	if perSecond == 0 {
		return 0
	}
	return max(minRelays, min(maxSentRelays, int((relayBytesPerSecond/perSecond-heartbeatOverhead)/relayBytes)))
}

// heartbeatTargets returns the nodes of the own domain and the chosen ones of each other domain. Listed nodes that are silent are
// tried as well, because otherwise two sides of a partition would never find each other again.
func (m *Members) heartbeatTargets() (near, far []id.Node) {
	others := map[id.FailureDomain][]Node{}
	silent := map[id.FailureDomain][]id.Node{}
	for name, p := range m.peers {
		d := p.record.FailureDomain
		if !p.known {
			d = p.vm.FailureDomain
		}
		switch {
		case d == m.self.FailureDomain:
			near = append(near, name)
		case p.live:
			others[d] = append(others[d], Node{ID: name})
		default:
			silent[d] = append(silent[d], name)
		}
	}
	slices.Sort(near)
	for _, d := range slices.Sorted(maps.Keys(others)) {
		v := View{Nodes: others[d]}
		for _, n := range v.Owners(string(m.self.Node), remoteLinks, nil) {
			far = append(far, n.ID)
		}
	}
	for _, d := range slices.Sorted(maps.Keys(silent)) {
		slices.Sort(silent[d])
		far = append(far, silent[d][m.self.Rand.IntN(len(silent[d]))])
	}
	return near, far
}

// allTargets returns all nodes that this node is in contact with.
func (m *Members) allTargets() []id.Node {
	near, far := m.heartbeatTargets()
	return append(near, far...)
}

// liveNodes returns the live nodes in a fixed order, those of the own domain first.
func (m *Members) liveNodes() []id.Node {
	var own, rest []id.Node
	for _, n := range m.view.Nodes {
		switch {
		case n.ID == m.self.Node:
		case n.FailureDomain == m.self.FailureDomain:
			own = append(own, n.ID)
		default:
			rest = append(rest, n.ID)
		}
	}
	return append(own, rest...)
}

func (m *Members) heartbeatTo(now time.Time, to id.Node, live []id.Node, count int) event.Action {
	b := Heartbeat{Seq: m.seq, Digest: m.digest, Marks: m.markersDigest()}
	if p, ok := m.peers[to]; ok {
		b.Echo = p.seq
	}
	if now.Sub(m.recordChangedAt) < announceTime {
		b.Self = []Record{m.record}
	}
	for range min(count, len(live)) {
		m.relayCursor++
		name := live[m.relayCursor%len(live)]
		p := m.peers[name]
		age := (now.Sub(p.heardAt) + ageUnit - 1) / ageUnit
		if name == to || !p.known || age > 255 || now.Sub(p.heardAt) >= m.suspicionTimeout(p.record.FailureDomain) {
			continue
		}
		b.Relays = binary.LittleEndian.AppendUint64(b.Relays, p.digest)
		b.Relays = append(b.Relays, byte(max(age, 0)))
	}
	b.Recent = m.latestMarkers(now)
	return event.Send{To: to, Body: b}
}
