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

// ageUnit is the resolution of relayed ages. Ages are rounded up and grow by one unit with each relay, so that nodes that
// relay each other's information cannot keep a dead node alive.
const ageUnit = 250 * time.Millisecond

// Limits on the gossip of markers and on queries for records.
const (
	queryInterval     = 500 * time.Millisecond // between two queries for the same digest, or to the same peer for markers
	refusedRetention  = time.Minute            // how long a refused digest is not queried
	recentMarkerAge   = 5 * time.Second        // how long heartbeats repeat a new marker
	maxRecentMarkers  = 8                      // markers per heartbeat
	maxQueriedDigests = 64                     // digests per query
	// extraHeartbeats is the number of additional heartbeats to other domains in each period while a marker is new. In a
	// small fleet few nodes repeat a marker, and without the extra heartbeats a lossy network delays it beyond 3 s.
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
		m.updateFromHeartbeat(now, p, b)
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
	query := Query{Digests: unknown}
	if !m.noMarkers {
		out = append(out, m.addMarkers(now, b.Recent...)...)
		if b.Marks != m.markersDigest() && now.Sub(p.markerQueryAt) > queryInterval {
			p.markerQueryAt = now
			query.Buckets = m.bucketBytes()
		}
	}
	if len(query.Digests) > 0 || len(query.Buckets) > 0 {
		out = append(out, event.Send{To: ev.From, Body: query})
	}
	return out
}

// sendKnownRecord sends a node the record that supersedes its own, so that it raises its generation.
func (m *Members) sendKnownRecord(name id.Node) []event.Action {
	p, ok := m.peers[name]
	if !ok || !p.known {
		return nil
	}
	return []event.Action{event.Send{To: name, Body: Update{Records: []Record{p.record}}}}
}

// updateFromHeartbeat updates a peer after a direct heartbeat.
func (m *Members) updateFromHeartbeat(now time.Time, p *peer, b Heartbeat) {
	if b.Seq < p.seq {
		return // overtaken by a newer heartbeat
	}
	p.seq = b.Seq
	m.updateHeardAt(now, p, now)
	if b.Echo == 0 || b.Echo > m.seq || m.seq-b.Echo >= uint64(len(m.sentAt)) {
		return
	}
	if sent := m.sentAt[b.Echo%uint64(len(m.sentAt))]; sent.After(p.echoedAt) {
		p.echoedAt = sent // the next updateView extends the lease
	}
}

// updateHeardAt updates the time of a peer's last sign of life.
func (m *Members) updateHeardAt(now time.Time, p *peer, at time.Time) {
	if !at.After(p.heardAt) {
		return
	}
	p.heardAt = at
	if !p.live && now.Before(at.Add(m.suspicionTimeout(p.record.FailureDomain))) {
		m.dirty = true
	}
}

// handleRelay handles one entry of Heartbeat.Relays. It returns the list of unknown digests, extended if necessary.
func (m *Members) handleRelay(now time.Time, unknown []byte, digest uint64, age time.Duration) []byte {
	if digest == m.digest {
		return unknown
	}
	name, ok := m.nodeByDigest[digest]
	if !ok {
		return m.queryRecord(now, unknown, digest)
	}
	m.updateHeardAt(now, m.peers[name], now.Add(-age-ageUnit))
	return unknown
}

// queryRecord adds a digest to the list of those to query, unless it was queried or refused recently.
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

// mergeRecord stores a record unless a known one supersedes it, and reports whether it is the current record of its node.
// It is false for this node, which raises its generation above that of an earlier process.
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

func (m *Members) handleQuery(now time.Time, to id.Node, query Query) []event.Action {
	var update Update
	for at := 0; at+digestBytes <= len(query.Digests); at += digestBytes {
		digest := binary.LittleEndian.Uint64(query.Digests[at:])
		if digest == m.digest {
			update.Records = append(update.Records, m.record)
		} else if name, ok := m.nodeByDigest[digest]; ok {
			update.Records = append(update.Records, m.peers[name].record)
		}
	}
	var out []event.Action
	if len(query.Buckets) == markerBucketCount*digestBytes && !m.noMarkers {
		update.Marks = m.differingMarkers(query.Buckets)
		if p := m.peer(to); !bytes.Equal(query.Buckets, m.bucketBytes()) && now.Sub(p.markerQueryAt) > queryInterval {
			p.markerQueryAt = now // the peer may have markers that this node lacks
			out = append(out, event.Send{To: to, Body: Query{Buckets: m.bucketBytes()}})
		}
	}
	if len(update.Records) > 0 || len(update.Marks) > 0 {
		out = append(out, event.Send{To: to, Body: update})
	}
	return out
}

// sendHeartbeats sends the heartbeats of one period. If all is set, every target gets one, even if it is not due.
func (m *Members) sendHeartbeats(now time.Time, all bool) []event.Action {
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
	local, remote := m.heartbeatTargets()
	count := m.relayCount(len(local), len(remote))
	live := m.liveNodes()
	var out []event.Action
	for _, name := range local {
		out = append(out, m.heartbeatTo(now, name, live, count))
	}
	extra := 0
	if len(m.latestMarkers(now)) > 0 {
		extra = extraHeartbeats
	}
	for _, name := range remote {
		due := all || (m.seq+rendezvous(string(name), ""))%remotePeriods == 0
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

// relayCount returns the number of relays per heartbeat that keeps the traffic within relayBytesPerSecond.
func (m *Members) relayCount(local, remote int) int {
	heartbeatsPerSecond := float64(local)*float64(time.Second/heartbeatPeriod) + float64(remote)*float64(time.Second/heartbeatPeriod)/remotePeriods
	if heartbeatsPerSecond == 0 {
		return 0
	}
	return max(minRelays, min(maxSentRelays, int((relayBytesPerSecond/heartbeatsPerSecond-heartbeatOverhead)/relayBytes)))
}

// heartbeatTargets returns the nodes of this node's domain and a few of each other domain: live ones chosen by rendezvous
// hash and a random silent one. Without the silent ones, the two sides of a partition would never reconnect.
func (m *Members) heartbeatTargets() (local, remote []id.Node) {
	others := map[id.FailureDomain][]Node{}
	silent := map[id.FailureDomain][]id.Node{}
	for name, p := range m.peers {
		d := p.record.FailureDomain
		if !p.known {
			d = p.vm.FailureDomain
		}
		switch {
		case d == m.self.FailureDomain:
			local = append(local, name)
		case p.live:
			others[d] = append(others[d], Node{ID: name})
		default:
			silent[d] = append(silent[d], name)
		}
	}
	slices.Sort(local)
	for _, d := range slices.Sorted(maps.Keys(others)) {
		v := View{Nodes: others[d]}
		for _, n := range v.Owners(string(m.self.Node), remoteTargets, nil) {
			remote = append(remote, n.ID)
		}
	}
	for _, d := range slices.Sorted(maps.Keys(silent)) {
		slices.Sort(silent[d])
		remote = append(remote, silent[d][m.self.Rand.IntN(len(silent[d]))])
	}
	return local, remote
}

// allTargets returns the heartbeat targets of all domains.
func (m *Members) allTargets() []id.Node {
	local, remote := m.heartbeatTargets()
	return append(local, remote...)
}

// liveNodes returns the other nodes of the view in a fixed order, those of this node's domain first.
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

// heartbeatTo returns the heartbeat to one node, with up to count relays. Successive heartbeats relay successive nodes.
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
