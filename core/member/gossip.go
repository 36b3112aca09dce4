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
	askAgain    = 500 * time.Millisecond
	refuseFor   = time.Minute
	recentFor   = 5 * time.Second
	recentMarks = 8
	maxAsked    = 64
	// extraBeats go to other domains in each period while a marker is new. In a small fleet few nodes repeat a marker,
	// and without them a lossy network delays it beyond 3 s.
	extraBeats = 8
)

func (m *Members) receive(now time.Time, ev event.Receive) []event.Action {
	if ev.From == m.self.Node {
		return nil
	}
	switch b := ev.Body.(type) {
	case Heartbeat:
		return m.beat(now, ev, b)
	case Query:
		return m.answer(now, ev.From, b)
	case Update:
		var out []event.Action
		for _, r := range b.Records {
			if !m.merge(now, r) {
				m.refused[r.digest()] = now
			}
		}
		if !m.noMarks {
			out = m.learn(now, b.Marks...)
		}
		return out
	}
	return nil
}

func (m *Members) beat(now time.Time, ev event.Receive, b Heartbeat) []event.Action {
	var out []event.Action
	for _, r := range b.Self {
		if r.ID == ev.From && !m.merge(now, r) {
			out = append(out, m.correct(ev.From)...)
		}
	}
	var unknown []byte
	p := m.peer(ev.From)
	if p.known && p.digest == b.Digest {
		m.heardFrom(now, p, b)
	} else {
		unknown = m.want(now, unknown, b.Digest)
		if _, old := m.refused[b.Digest]; old {
			out = append(out, m.correct(ev.From)...)
		}
	}
	if !m.noRelays {
		for at := 0; at+relayBytes <= len(b.Relays); at += relayBytes {
			digest := binary.LittleEndian.Uint64(b.Relays[at:])
			age := time.Duration(b.Relays[at+digestBytes]) * ageUnit
			unknown = m.relayed(now, unknown, digest, age)
		}
	}
	ask := Query{Digests: unknown}
	if !m.noMarks {
		out = append(out, m.learn(now, b.Recent...)...)
		if b.Marks != m.marksDigest() && now.Sub(p.markAsk) > askAgain {
			p.markAsk = now
			ask.Buckets = m.bucketBytes()
		}
	}
	if len(ask.Digests) > 0 || len(ask.Buckets) > 0 {
		out = append(out, event.Send{To: ev.From, Body: ask})
	}
	return out
}

// correct shows a node the record that stands in the way of its own, so that it raises its generation.
func (m *Members) correct(name id.Node) []event.Action {
	p, ok := m.peers[name]
	if !ok || !p.known {
		return nil
	}
	return []event.Action{event.Send{To: name, Body: Update{Records: []Record{p.record}}}}
}

func (m *Members) heardFrom(now time.Time, p *peer, b Heartbeat) {
	if b.Seq < p.seq {
		return // repeated or overtaken
	}
	p.seq = b.Seq
	m.alive(now, p, now)
	if b.Echo == 0 || b.Echo > m.seq || m.seq-b.Echo >= uint64(len(m.sent)) {
		return
	}
	if sent := m.sent[b.Echo%uint64(len(m.sent))]; sent.After(p.echoed) {
		p.echoed = sent // the next round renews the lease
	}
}

func (m *Members) alive(now time.Time, p *peer, at time.Time) {
	if !at.After(p.heard) {
		return
	}
	p.heard = at
	if !p.live && now.Before(at.Add(m.suspicion(p.record.FailureDomain))) {
		m.dirty = true
	}
}

func (m *Members) relayed(now time.Time, unknown []byte, digest uint64, age time.Duration) []byte {
	if digest == m.digest {
		return unknown
	}
	name, ok := m.digests[digest]
	if !ok {
		return m.want(now, unknown, digest)
	}
	m.alive(now, m.peers[name], now.Add(-age-ageUnit))
	return unknown
}

// want adds a digest to a question unless it was asked for or refused a short time ago.
func (m *Members) want(now time.Time, unknown []byte, digest uint64) []byte {
	if at, ok := m.refused[digest]; ok && now.Sub(at) < refuseFor {
		return unknown
	}
	if at, ok := m.asked[digest]; ok && now.Sub(at) < askAgain {
		return unknown
	}
	if len(unknown) >= maxAsked*digestBytes {
		return unknown
	}
	m.asked[digest] = now
	return binary.LittleEndian.AppendUint64(unknown, digest)
}

// merge takes in a record and reports whether it is the one in force afterwards.
func (m *Members) merge(now time.Time, r Record) bool {
	if r.ID == m.self.Node {
		if r.Incarnation != m.self.Incarnation && r.supersedes(m.record) {
			m.record.Generation = r.Generation + 1
			m.updateRecord(now)
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
		p.heard, p.seq, p.echoed = time.Time{}, 0, time.Time{}
	}
	delete(m.digests, p.digest)
	p.record, p.known, p.digest, p.met = r, true, r.digest(), now
	m.digests[p.digest] = r.ID
	delete(m.refused, p.digest)
	m.dirty = true
	return true
}

func (m *Members) answer(now time.Time, to id.Node, ask Query) []event.Action {
	var tell Update
	for at := 0; at+digestBytes <= len(ask.Digests); at += digestBytes {
		digest := binary.LittleEndian.Uint64(ask.Digests[at:])
		if digest == m.digest {
			tell.Records = append(tell.Records, m.record)
		} else if name, ok := m.digests[digest]; ok {
			tell.Records = append(tell.Records, m.peers[name].record)
		}
	}
	var out []event.Action
	if len(ask.Buckets) == markBuckets*digestBytes && !m.noMarks {
		tell.Marks = m.marksBeyond(ask.Buckets)
		if p := m.peer(to); !bytes.Equal(ask.Buckets, m.bucketBytes()) && now.Sub(p.markAsk) > askAgain {
			p.markAsk = now // the peer may know markers that are missing here
			out = append(out, event.Send{To: to, Body: Query{Buckets: m.bucketBytes()}})
		}
	}
	if len(tell.Records) > 0 || len(tell.Marks) > 0 {
		out = append(out, event.Send{To: to, Body: tell})
	}
	return out
}

// round sends the heartbeats that are due; all links get one if everyone is set.
func (m *Members) round(now time.Time, everyone bool) []event.Action {
	m.nextBeat = now.Add(beatPeriod)
	m.seq++
	m.sent[m.seq%uint64(len(m.sent))] = now
	for digest, at := range m.refused {
		if now.Sub(at) > refuseFor {
			delete(m.refused, digest)
		}
	}
	for digest, at := range m.asked {
		if now.Sub(at) > refuseFor {
			delete(m.asked, digest)
		}
	}
	near, far := m.links()
	count := m.relayCount(len(near), len(far))
	live := m.liveNames()
	var out []event.Action
	for _, name := range near {
		out = append(out, m.beatTo(now, name, live, count))
	}
	extra := 0
	if len(m.recent(now)) > 0 {
		extra = extraBeats
	}
	for _, name := range far {
		due := everyone || (m.seq+rendezvous(string(name), ""))%farEvery == 0
		if !due && extra > 0 {
			extra--
			due = true
		}
		if due {
			out = append(out, m.beatTo(now, name, live, count))
		}
	}
	return out
}

// relayCount fits the relays of all heartbeats of a second into the budget.
func (m *Members) relayCount(near, far int) int {
	perSecond := float64(near)*float64(time.Second/beatPeriod) + float64(far)*float64(time.Second/beatPeriod)/farEvery
	if perSecond == 0 {
		return 0
	}
	return max(minRelays, min(maxRelayed, int((bytesPerSecond/perSecond-beatOverhead)/relayBytes)))
}

// links returns the nodes of the own domain and the chosen ones of each other domain. Listed nodes that are silent are
// tried as well, because otherwise two sides of a partition would never find each other again.
func (m *Members) links() (near, far []id.Node) {
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
		for _, n := range v.Owners(string(m.self.Node), farLinks, nil) {
			far = append(far, n.ID)
		}
	}
	for _, d := range slices.Sorted(maps.Keys(silent)) {
		slices.Sort(silent[d])
		far = append(far, silent[d][m.self.Rand.IntN(len(silent[d]))])
	}
	return near, far
}

// linked returns all nodes that this node is in contact with.
func (m *Members) linked() []id.Node {
	near, far := m.links()
	return append(near, far...)
}

// liveNames returns the live nodes in a fixed order, those of the own domain first.
func (m *Members) liveNames() []id.Node {
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

func (m *Members) beatTo(now time.Time, to id.Node, live []id.Node, count int) event.Action {
	b := Heartbeat{Seq: m.seq, Digest: m.digest, Marks: m.marksDigest()}
	if p, ok := m.peers[to]; ok {
		b.Echo = p.seq
	}
	if now.Sub(m.changed) < announceFor {
		b.Self = []Record{m.record}
	}
	for range min(count, len(live)) {
		m.cursor++
		name := live[m.cursor%len(live)]
		p := m.peers[name]
		age := (now.Sub(p.heard) + ageUnit - 1) / ageUnit
		if name == to || !p.known || age > 255 || now.Sub(p.heard) >= m.suspicion(p.record.FailureDomain) {
			continue
		}
		b.Relays = binary.LittleEndian.AppendUint64(b.Relays, p.digest)
		b.Relays = append(b.Relays, byte(max(age, 0)))
	}
	b.Recent = m.recent(now)
	return event.Send{To: to, Body: b}
}
