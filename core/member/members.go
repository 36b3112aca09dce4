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
	// remoteEvery is how many periods pass between two heartbeats to the same node of another domain.
	remoteEvery = 4
	// remoteLinks is how many nodes of each other domain a node stays in contact with.
	remoteLinks = 2
	// localSuspicionTimeout spans four lost heartbeats; a node of the own domain that is silent for longer leaves the view.
	localSuspicionTimeout = 2500 * time.Millisecond
	// remoteSuspicionTimeout is longer because most signs of life from other domains are relayed twice.
	remoteSuspicionTimeout = 8 * time.Second
	// pauseThreshold is the pause between two steps after which this process assumes that it was frozen itself.
	pauseThreshold = 2 * time.Second
	// forgetAfter is how long an unlisted silent node is remembered.
	forgetAfter = time.Minute
	// announceTime is how long heartbeats carry the whole record after it changed.
	announceTime = 2 * time.Second
	// relayBytesPerSecond is the share of the traffic budget that heartbeats may fill with relays.
	relayBytesPerSecond = 12 << 10
	// heartbeatOverhead is the size of an envelope and the fixed fields of a heartbeat, in bytes.
	heartbeatOverhead = 96
	minRelays         = 4
	maxSentRelays     = 48
)

// Lease tells the packages of a node until when a majority of its own domain counts it as live. It rests on the sending
// times of heartbeats that came back as echoes, so a process that was frozen or cut off cannot hold one.
type Lease struct {
	event.Internal
	Until time.Time
}

// Members keeps the view of the nodes and the list of backend servers.
type Members struct {
	self            event.Self
	record          Record
	recordChangedAt time.Time // when record last changed
	listedAsLeaving bool      // the VM list says that this node leaves; the others see that too
	digest          uint64

	peers        map[id.Node]*peer
	nodeByDigest map[uint64]id.Node // records in force
	refusedAt    map[uint64]time.Time
	queriedAt    map[uint64]time.Time

	view          *View
	lease         time.Time
	dirty         bool
	started       bool
	lastStep      time.Time
	nextHeartbeat time.Time
	nextTimeout   time.Time
	seq           uint64
	sentAt        [64]time.Time // sending times of the last heartbeats by sequence number
	relayCursor   int

	servers       map[id.Server]*server
	markers       map[LeavingMarker]time.Time // when learned
	markerBuckets [markerBucketCount]uint64
	recentMarkers []LeavingMarker
	noMarkers     bool
	noRelays      bool
}

type peer struct {
	record        Record
	known         bool // record is filled in
	digest        uint64
	listed        bool
	vm            event.VM
	updatedAt     time.Time // when the name or the record came up
	heardAt       time.Time // last sign of life, direct or relayed
	live          bool
	seq           uint64    // newest heartbeat that came directly
	echoedAt      time.Time // sending time of this node's newest heartbeat that the peer has received
	markerQueryAt time.Time
}

// Option changes a Members.
type Option func(*Members)

// WithSeeds gives entry VMs that are known from the settings before the first VM list arrives.
func WithSeeds(seeds ...event.VM) Option {
	return func(m *Members) { m.listNodes(seeds) }
}

// WithoutMarkers turns off the gossip of leaving markers, for the proof that it is needed.
func WithoutMarkers() Option { return func(m *Members) { m.noMarkers = true } }

// WithoutRelays turns off relayed signs of life, for the proof that they are needed.
func WithoutRelays() Option { return func(m *Members) { m.noRelays = true } }

// New returns a Members that knows only its own node.
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

// View returns the present view; it contains at least the own node.
func (m *Members) View() *View { return m.view }

// Addr returns the peer address of a node, also of one that is listed but has not been heard of.
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

// Leave announces that this node leaves; it keeps its place in the view but gets no more roles.
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

// beginStep starts the clock at the first event and makes up for a pause of this process: silence that nobody could have
// heard is no sign that others are dead.
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

func (m *Members) recordChanged(now time.Time) {
	m.digest = m.record.digest()
	m.recordChangedAt = now
	m.dirty = true
}

func (m *Members) peer(name id.Node) *peer {
	p, ok := m.peers[name]
	if !ok {
		p = &peer{updatedAt: m.lastStep}
		m.peers[name] = p
	}
	return p
}

func (m *Members) handleVMList(now time.Time, list []event.VM) []event.Action {
	// An empty list is a fault of the platform: no fleet runs without a VM, this node's own one included.
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

// handleLink shortens the suspicion when the connection to a node of the own domain breaks: a dead process closes it.
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

// updateView recomputes the view and the lease and publishes what changed.
func (m *Members) updateView(now time.Time) []event.Action {
	m.dirty = false
	m.nextTimeout = time.Time{}
	nodes := []Node{m.record.node()}
	nodes[0].Leaving = nodes[0].Leaving || m.listedAsLeaving
	for name, p := range m.peers {
		p.live = false
		if p.known {
			end := p.heardAt.Add(m.suspicionTimeout(p.record.FailureDomain))
			p.live = now.Before(end)
			if p.live && (m.nextTimeout.IsZero() || end.Before(m.nextTimeout)) {
				m.nextTimeout = end
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

// leaseUntil computes until when a majority of the known nodes of the own domain counts this node as live. With an even
// number of nodes the one with the lowest name has two votes, so that no two halves both have a majority.
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
	count := 1
	for name, p := range m.peers {
		if !m.isVoter(p) {
			continue
		}
		count++
		times = append(times, p.echoedAt)
		if name == lowest {
			times = append(times, p.echoedAt)
		}
	}
	votes := count
	if count%2 == 0 {
		votes++
	} else {
		times = dropSecondVote(times, lowest == m.self.Node, m.peers[lowest])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	weakest := times[votes/2]
	if weakest.IsZero() {
		return time.Time{}
	}
	return weakest.Add(localSuspicionTimeout)
}

// dropSecondVote takes the second vote of the node with the lowest name away again.
func dropSecondVote(times []time.Time, self bool, lowest *peer) []time.Time {
	if self {
		return times[1:]
	}
	at := slices.Index(times, lowest.echoedAt)
	return slices.Delete(times, at, at+1)
}

func (m *Members) isVoter(p *peer) bool {
	if p.listed {
		return p.vm.FailureDomain == m.self.FailureDomain && !p.vm.Leaving && (!p.known || !p.live || !p.record.Leaving)
	}
	return p.live && p.record.FailureDomain == m.self.FailureDomain && !p.record.Leaving
}
