package member

import (
	"net/netip"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// Periods and limits of the heartbeats.
const (
	heartbeatPeriod = 500 * time.Millisecond
	// remotePeriods is the number of periods between two heartbeats to the same node of another domain.
	remotePeriods = 4
	// remoteTargets is the number of live nodes of each other domain that get heartbeats.
	remoteTargets = 2
	// localSuspicionTimeout is how long a silent node of the same domain stays in the view: four heartbeats may be lost.
	localSuspicionTimeout = 2500 * time.Millisecond
	// remoteSuspicionTimeout is the same for other domains. It is longer because most signs of life from there are relayed
	// twice.
	remoteSuspicionTimeout = 8 * time.Second
	// pauseThreshold is the gap between two steps above which this process must have been paused.
	pauseThreshold = 2 * time.Second
	// forgetAfter is how long a silent node that is not in the VM list is kept.
	forgetAfter = time.Minute
	// announceTime is how long heartbeats carry the complete record after a change.
	announceTime = 2 * time.Second
	// relayBytesPerSecond is the part of a node's traffic budget for heartbeats. It determines how many relays they carry.
	relayBytesPerSecond = 12 << 10
	// heartbeatOverhead is the size of the envelope and the fixed fields of a heartbeat, in bytes.
	heartbeatOverhead = 96
	minRelays         = 4
	maxSentRelays     = 48
)

// Lease notifies the other packages of this node that a majority of its failure domain considers it live until the given
// time. It is derived from the sending times of heartbeats that peers have echoed, so a process that was paused or cut off
// cannot hold one.
type Lease struct {
	event.Internal
	Until time.Time
}

// Members keeps the view of the nodes and the list of backend servers.
type Members struct {
	self            event.Self
	record          Record
	recordChangedAt time.Time
	listedAsLeaving bool   // the VM list marks this node as leaving, which the other nodes see too
	digest          uint64 // of record

	peers        map[id.Node]*peer
	nodeByDigest map[uint64]id.Node   // digests of the current records
	refusedAt    map[uint64]time.Time // digests of superseded records
	queriedAt    map[uint64]time.Time // digests of queried records

	view          *View
	lease         time.Time
	dirty         bool // the view must be recomputed
	started       bool
	lastStep      time.Time
	nextHeartbeat time.Time
	nextTimeout   time.Time // when the next node leaves the view, unless it is heard from
	seq           uint64
	sentAt        [64]time.Time // sending times of the last heartbeats, indexed by sequence number modulo its length
	relayCursor   int           // position in liveNodes of the last relayed node

	servers       map[id.Server]*server
	markers       map[LeavingMarker]time.Time // when learned
	markerBuckets [markerBucketCount]uint64   // XOR of the marker hashes of each bucket
	recentMarkers []LeavingMarker             // in the order in which they were learned
	noMarkers     bool
	noRelays      bool
}

type peer struct {
	record        Record
	known         bool // record and digest are set
	digest        uint64
	listed        bool      // the VM list contains the node
	vm            event.VM  // its last entry in the list
	updatedAt     time.Time // when the peer was added or its record changed
	heardAt       time.Time // last sign of life, direct or relayed
	live          bool
	seq           uint64    // highest sequence number received directly
	echoedAt      time.Time // sending time of the newest heartbeat that the peer has echoed
	markerQueryAt time.Time // when it was last queried for markers
}

// Option configures a Members.
type Option func(*Members)

// WithSeeds sets the entry VMs to contact before the first VM list arrives.
func WithSeeds(seeds ...event.VM) Option {
	return func(m *Members) { m.listNodes(seeds) }
}

// WithoutMarkers disables the gossip of leaving markers. Tests use it to show that their checks detect the loss.
func WithoutMarkers() Option { return func(m *Members) { m.noMarkers = true } }

// WithoutRelays disables relayed signs of life. Tests use it to show that their checks detect the loss.
func WithoutRelays() Option { return func(m *Members) { m.noRelays = true } }

// New returns a Members whose view contains only this node.
func New(self event.Self, opts ...Option) *Members {
	m := &Members{
		self: self,
		record: Record{
			ID: self.Node, Incarnation: self.Incarnation, FailureDomain: self.FailureDomain,
			Region: self.Region, Addr: self.Addr.String(),
		},
		peers: map[id.Node]*peer{}, nodeByDigest: map[uint64]id.Node{},
		refusedAt: map[uint64]time.Time{}, queriedAt: map[uint64]time.Time{},
		servers: map[id.Server]*server{}, markers: map[LeavingMarker]time.Time{},
	}
	m.view = &View{Nodes: []Node{m.record.node()}}
	for _, o := range opts {
		o(m)
	}
	return m
}

// View returns the current view. It always contains this node.
func (m *Members) View() *View { return m.view }

// Addr returns the peer address of a node. A node that has not been heard from has the address of the VM list.
func (m *Members) Addr(name id.Node) (netip.AddrPort, bool) {
	p, ok := m.peers[name]
	switch {
	case !ok:
		return netip.AddrPort{}, false
	case p.known:
		addr := p.record.node().Addr
		return addr, addr.IsValid()
	}
	return p.vm.Addr, p.vm.Addr.IsValid()
}

// Next returns the time of the next timer.
func (m *Members) Next() time.Time {
	if m.nextTimeout.IsZero() || m.nextHeartbeat.Before(m.nextTimeout) {
		return m.nextHeartbeat
	}
	return m.nextTimeout
}

// Leave announces that this node is leaving. It stays in the view but owns no more keys.
func (m *Members) Leave(now time.Time) []event.Action {
	if m.record.Leaving {
		return nil
	}
	m.record.Leaving = true
	m.recordChanged(now)
	return append(m.sendHeartbeats(now, true), m.updateView(now)...)
}

// Step handles one event.
func (m *Members) Step(now time.Time, ev event.Event) []event.Action {
	m.beginStep(now)
	var out []event.Action
	switch ev := ev.(type) {
	case event.VMList:
		out = m.handleVMList(now, ev.List)
	case event.Receive:
		out = m.handleMessage(now, ev)
	case event.LoadReport:
		out = m.handleReport(now, ev)
	case ServerObserved:
		out = m.handleObserved(now, ev)
	case event.PeerLink:
		m.handleLink(now, ev)
	}
	if !now.Before(m.nextHeartbeat) {
		out = append(out, m.sendHeartbeats(now, false)...)
		out = append(out, m.dropUnlisted(now)...)
		m.dirty = true
	}
	if m.dirty || (!m.nextTimeout.IsZero() && !now.Before(m.nextTimeout)) {
		out = append(out, m.updateView(now)...)
	}
	return out
}

// beginStep initializes the record in the first step. After a pause of this process it shifts the times of the last signs of
// life, so that no peer times out because of the pause.
func (m *Members) beginStep(now time.Time) {
	if !m.started {
		m.started = true
		m.dirty = true
		m.record.Generation = uint64(max(now.UnixMilli(), 1))
		m.recordChanged(now)
		m.nextHeartbeat = now
	} else if gap := now.Sub(m.lastStep); gap > pauseThreshold {
		for _, p := range m.peers {
			if !p.heardAt.IsZero() {
				p.heardAt = p.heardAt.Add(gap)
			}
		}
	}
	m.lastStep = now
}

// recordChanged updates what depends on this node's record.
func (m *Members) recordChanged(now time.Time) {
	m.digest = m.record.digest()
	m.recordChangedAt = now
	m.dirty = true
}

// peer returns the state of another node, which it adds if necessary.
func (m *Members) peer(name id.Node) *peer {
	p, ok := m.peers[name]
	if !ok {
		p = &peer{updatedAt: m.lastStep}
		m.peers[name] = p
	}
	return p
}

func (m *Members) handleVMList(now time.Time, list []event.VM) []event.Action {
	// An empty list is a fault of the platform, since the list must contain at least the VM of this node.
	if len(list) == 0 {
		return nil
	}
	m.listNodes(list)
	m.dirty = true
	return m.listServers(now, list)
}

func (m *Members) listNodes(vms []event.VM) {
	for _, p := range m.peers {
		p.listed = false
	}
	for _, vm := range vms {
		if vm.Kind != "entry" {
			continue
		}
		if id.Node(vm.Name) == m.self.Node {
			m.listedAsLeaving = vm.Leaving
			continue
		}
		p := m.peer(id.Node(vm.Name))
		p.listed = true
		p.vm = vm
	}
}

// handleLink shortens the suspicion timeout of a node of the same domain when the connection to it breaks, which happens at
// once if its process ends.
func (m *Members) handleLink(now time.Time, ev event.PeerLink) {
	p, ok := m.peers[ev.Peer]
	if !ok || ev.Up || !p.live || p.record.FailureDomain != m.self.FailureDomain {
		return
	}
	if latest := now.Add(2*heartbeatPeriod - localSuspicionTimeout); p.heardAt.After(latest) {
		p.heardAt = latest
		m.dirty = true
	}
}

func (m *Members) suspicionTimeout(d id.FailureDomain) time.Duration {
	if d == m.self.FailureDomain {
		return localSuspicionTimeout
	}
	return remoteSuspicionTimeout
}

// updateView recomputes the view and the lease and publishes changes.
func (m *Members) updateView(now time.Time) []event.Action {
	m.dirty = false
	m.nextTimeout = time.Time{}
	nodes := []Node{m.record.node()}
	nodes[0].Leaving = nodes[0].Leaving || m.listedAsLeaving
	for name, p := range m.peers {
		p.live = false
		if p.known {
			timeout := p.heardAt.Add(m.suspicionTimeout(p.record.FailureDomain))
			p.live = now.Before(timeout)
			if p.live && (m.nextTimeout.IsZero() || timeout.Before(m.nextTimeout)) {
				m.nextTimeout = timeout
			}
		}
		if p.live {
			n := p.record.node()
			n.Leaving = n.Leaving || (p.listed && p.vm.Leaving)
			nodes = append(nodes, n)
			continue
		}
		if !p.listed && now.Sub(p.heardAt) > forgetAfter && now.Sub(p.updatedAt) > forgetAfter {
			delete(m.nodeByDigest, p.digest)
			delete(m.peers, name)
		}
	}
	slices.SortFunc(nodes, func(a, b Node) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	var out []event.Action
	if !slices.Equal(nodes, m.view.Nodes) || m.view.Epoch == 0 {
		m.view = &View{Epoch: m.view.Epoch + 1, Nodes: nodes}
		out = append(out, ViewChanged{View: m.view})
	}
	if until := m.leaseUntil(now); until.After(m.lease) {
		m.lease = until
		out = append(out, Lease{Until: until})
	}
	return out
}

// leaseUntil returns the time until which a majority of the known nodes of this failure domain considers this node live, or
// the zero time. With an even number of nodes, the one with the lowest name has two votes, so that of two equal
// halves of a partition exactly one has a majority.
func (m *Members) leaseUntil(now time.Time) time.Time {
	lowest := m.self.Node
	for name, p := range m.peers {
		if m.isVoter(p) && name < lowest {
			lowest = name
		}
	}
	times := []time.Time{now}
	if lowest == m.self.Node {
		times = append(times, now)
	}
	voters := 1
	for name, p := range m.peers {
		if !m.isVoter(p) {
			continue
		}
		voters++
		times = append(times, p.echoedAt)
		if name == lowest {
			times = append(times, p.echoedAt)
		}
	}
	votes := voters
	if voters%2 == 0 {
		votes++
	} else {
		times = dropSecondVote(times, lowest == m.self.Node, m.peers[lowest])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	majority := times[votes/2]
	if majority.IsZero() {
		return time.Time{}
	}
	return majority.Add(localSuspicionTimeout)
}

// dropSecondVote removes the second vote of the node with the lowest name from times.
func dropSecondVote(times []time.Time, self bool, lowest *peer) []time.Time {
	if self {
		return times[1:]
	}
	i := slices.Index(times, lowest.echoedAt)
	return slices.Delete(times, i, i+1)
}

// isVoter reports whether a peer has a vote in this node's lease: the VM list or the view has it in the same domain, and it
// is not leaving.
func (m *Members) isVoter(p *peer) bool {
	if p.listed {
		return p.vm.FailureDomain == m.self.FailureDomain && !p.vm.Leaving && (!p.known || !p.live || !p.record.Leaving)
	}
	return p.live && p.record.FailureDomain == m.self.FailureDomain && !p.record.Leaving
}
