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
	beatPeriod = 500 * time.Millisecond
	// farEvery is how many periods pass between two heartbeats to the same node of another domain.
	farEvery = 4
	// farLinks is how many nodes of each other domain a node stays in contact with.
	farLinks = 2
	// nearSuspicion spans four lost heartbeats; a node of the own domain that is silent for longer leaves the view.
	nearSuspicion = 2500 * time.Millisecond
	// farSuspicion is longer because most signs of life from other domains are relayed twice.
	farSuspicion = 8 * time.Second
	// wakeGap is the pause between two steps after which this process assumes that it was frozen itself.
	wakeGap = 2 * time.Second
	// forgetAfter is how long an unlisted silent node is remembered.
	forgetAfter = time.Minute
	// announceFor is how long heartbeats carry the whole record after it changed.
	announceFor = 2 * time.Second
	// bytesPerSecond is the share of the traffic budget that heartbeats may fill with relays.
	bytesPerSecond = 12 << 10
	// beatOverhead is the size of an envelope and the fixed fields of a heartbeat, in bytes.
	beatOverhead = 96
	minRelays    = 4
	maxRelayed   = 48
)

// Lease tells the packages of a node until when a majority of its own domain counts it as live. It rests on the sending
// times of heartbeats that came back as echoes, so a process that was frozen or cut off cannot hold one.
type Lease struct {
	event.Internal
	Until time.Time
}

// Members keeps the view of the nodes and the list of backend servers.
type Members struct {
	self        event.Self
	record      Record
	changed     time.Time // when record last changed
	listLeaving bool      // the VM list says that this node leaves; the others see that too
	digest      uint64

	peers   map[id.Node]*peer
	digests map[uint64]id.Node // records in force
	refused map[uint64]time.Time
	asked   map[uint64]time.Time

	view     *View
	lease    time.Time
	dirty    bool
	started  bool
	lastStep time.Time
	nextBeat time.Time
	sweepAt  time.Time
	seq      uint64
	sent     [64]time.Time // sending times of the last heartbeats by sequence number
	cursor   int

	servers     map[id.Server]*server
	marks       map[LeavingMarker]time.Time // when learned
	buckets     [markBuckets]uint64
	recentMarks []LeavingMarker
	noMarks     bool
	noRelays    bool
}

type peer struct {
	record  Record
	known   bool // record is filled in
	digest  uint64
	listed  bool
	vm      event.VM
	met     time.Time // when the name or the record came up
	heard   time.Time // last sign of life, direct or relayed
	live    bool
	seq     uint64    // newest heartbeat that came directly
	echoed  time.Time // sending time of this node's newest heartbeat that the peer has received
	markAsk time.Time
}

// Option changes a Members.
type Option func(*Members)

// WithSeeds gives entry VMs that are known from the settings before the first VM list arrives.
func WithSeeds(seeds ...event.VM) Option {
	return func(m *Members) { m.list(seeds) }
}

// WithoutMarkers turns off the gossip of leaving markers, for the proof that it is needed.
func WithoutMarkers() Option { return func(m *Members) { m.noMarks = true } }

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
		peers: map[id.Node]*peer{}, digests: map[uint64]id.Node{},
		refused: map[uint64]time.Time{}, asked: map[uint64]time.Time{},
		servers: map[id.Server]*server{}, marks: map[LeavingMarker]time.Time{},
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
	if m.sweepAt.IsZero() || m.nextBeat.Before(m.sweepAt) {
		return m.nextBeat
	}
	return m.sweepAt
}

// Leave announces that this node leaves; it keeps its place in the view but gets no more roles.
func (m *Members) Leave(now time.Time) []event.Action {
	if m.record.Leaving {
		return nil
	}
	m.record.Leaving = true
	m.updateRecord(now)
	return append(m.round(now, true), m.sweep(now)...)
}

// Step handles one event.
func (m *Members) Step(now time.Time, ev event.Event) []event.Action {
	m.begin(now)
	var out []event.Action
	switch ev := ev.(type) {
	case event.VMs:
		out = m.vms(now, ev.List)
	case event.Receive:
		out = m.receive(now, ev)
	case event.Report:
		out = m.report(now, ev)
	case ServerObserved:
		out = m.seen(now, ev)
	case event.Link:
		m.link(now, ev)
	}
	if !now.Before(m.nextBeat) {
		out = append(out, m.round(now, false)...)
		out = append(out, m.dropUnlisted(now)...)
		m.dirty = true
	}
	if m.dirty || (!m.sweepAt.IsZero() && !now.Before(m.sweepAt)) {
		out = append(out, m.sweep(now)...)
	}
	return out
}

// begin starts the clock at the first event and makes up for a pause of this process: silence that nobody could have
// heard is no sign that others are dead.
func (m *Members) begin(now time.Time) {
	if !m.started {
		m.started = true
		m.dirty = true
		m.record.Generation = uint64(max(now.UnixMilli(), 1))
		m.updateRecord(now)
		m.nextBeat = now
	} else if gap := now.Sub(m.lastStep); gap > wakeGap {
		for _, p := range m.peers {
			if !p.heard.IsZero() {
				p.heard = p.heard.Add(gap)
			}
		}
	}
	m.lastStep = now
}

func (m *Members) updateRecord(now time.Time) {
	m.digest = m.record.digest()
	m.changed = now
	m.dirty = true
}

func (m *Members) peer(name id.Node) *peer {
	p, ok := m.peers[name]
	if !ok {
		p = &peer{met: m.lastStep}
		m.peers[name] = p
	}
	return p
}

func (m *Members) vms(now time.Time, list []event.VM) []event.Action {
	// An empty list is a fault of the platform: no fleet runs without a VM, this node's own one included.
	if len(list) == 0 {
		return nil
	}
	m.list(list)
	m.dirty = true
	return m.listServers(now, list)
}

func (m *Members) list(vms []event.VM) {
	for _, p := range m.peers {
		p.listed = false
	}
	for _, vm := range vms {
		if vm.Kind != "entry" {
			continue
		}
		if id.Node(vm.Name) == m.self.Node {
			m.listLeaving = vm.Leaving
			continue
		}
		p := m.peer(id.Node(vm.Name))
		p.listed = true
		p.vm = vm
	}
}

// link shortens the suspicion when the connection to a node of the own domain breaks: a dead process closes it.
func (m *Members) link(now time.Time, ev event.Link) {
	p, ok := m.peers[ev.Peer]
	if !ok || ev.Up || !p.live || p.record.FailureDomain != m.self.FailureDomain {
		return
	}
	if latest := now.Add(2*beatPeriod - nearSuspicion); p.heard.After(latest) {
		p.heard = latest
		m.dirty = true
	}
}

func (m *Members) suspicion(d id.FailureDomain) time.Duration {
	if d == m.self.FailureDomain {
		return nearSuspicion
	}
	return farSuspicion
}

// sweep recomputes the view and the lease and publishes what changed.
func (m *Members) sweep(now time.Time) []event.Action {
	m.dirty = false
	m.sweepAt = time.Time{}
	nodes := []Node{m.record.node()}
	nodes[0].Leaving = nodes[0].Leaving || m.listLeaving
	for name, p := range m.peers {
		p.live = false
		if p.known {
			end := p.heard.Add(m.suspicion(p.record.FailureDomain))
			p.live = now.Before(end)
			if p.live && (m.sweepAt.IsZero() || end.Before(m.sweepAt)) {
				m.sweepAt = end
			}
		}
		if p.live {
			n := p.record.node()
			n.Leaving = n.Leaving || (p.listed && p.vm.Leaving)
			nodes = append(nodes, n)
			continue
		}
		if !p.listed && now.Sub(p.heard) > forgetAfter && now.Sub(p.met) > forgetAfter {
			delete(m.digests, p.digest)
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
		if m.votes(p) && name < lowest {
			lowest = name
		}
	}
	times := []time.Time{now}
	if lowest == m.self.Node {
		times = append(times, now)
	}
	count := 1
	for name, p := range m.peers {
		if !m.votes(p) {
			continue
		}
		count++
		times = append(times, p.echoed)
		if name == lowest {
			times = append(times, p.echoed)
		}
	}
	votes := count
	if count%2 == 0 {
		votes++
	} else {
		times = dropOne(times, lowest == m.self.Node, m.peers[lowest])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	weakest := times[votes/2]
	if weakest.IsZero() {
		return time.Time{}
	}
	return weakest.Add(nearSuspicion)
}

// dropOne takes the second vote of the node with the lowest name away again.
func dropOne(times []time.Time, self bool, lowest *peer) []time.Time {
	if self {
		return times[1:]
	}
	at := slices.Index(times, lowest.echoed)
	return slices.Delete(times, at, at+1)
}

func (m *Members) votes(p *peer) bool {
	if p.listed {
		return p.vm.FailureDomain == m.self.FailureDomain && !p.vm.Leaving && (!p.known || !p.live || !p.record.Leaving)
	}
	return p.live && p.record.FailureDomain == m.self.FailureDomain && !p.record.Leaving
}
