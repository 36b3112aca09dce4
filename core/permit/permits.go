package permit

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
)

// Times and sizes of permits.
const (
	// dispatchWindow is how long after its question a permit may be used to dispatch.
	dispatchWindow = 500 * time.Millisecond
	// maxRequestDeadline is the longest deadline of a request.
	maxRequestDeadline = 8 * time.Second
	lifetimeSlack      = 500 * time.Millisecond
	// permitLifetime is how long a permit counts as used if nobody returns it.
	permitLifetime = dispatchWindow + maxRequestDeadline + lifetimeSlack
	// maxViewLag is how long an earlier holder may take to see that it is replaced.
	maxViewLag = 3 * time.Second
	// maxGrant is the largest number of permits in one grant.
	maxGrant = 4
	// requestInterval is how long a node waits for a grant before it asks again.
	requestInterval = 250 * time.Millisecond
	// demandLifetime is how long a stated demand lasts.
	demandLifetime = time.Second
	// queryInterval is how often a new holder repeats its question to nodes that have not answered.
	queryInterval = 300 * time.Millisecond
	// stateInterval is the time between repetitions of a state, because a message may be lost.
	stateInterval = 300 * time.Millisecond
	stateSends    = 3
)

// Ready tells the packages of a node that an attempt may now be dispatched to the server.
type Ready struct {
	event.Internal
	Server id.Server
}

// Limits are the numbers of attempts in flight that a cold and a warm server of a pool can handle.
type Limits struct{ Cold, Warm int }

// Permits is both sides of the protocol: the node that needs permits and the holder that lends them.
type Permits struct {
	self         event.Self
	startedAt    time.Time
	now          time.Time
	next         time.Time
	dirty        bool
	view         *member.View
	viewDigest   uint64
	leaseUntil   time.Time
	departed     map[Process]time.Time
	limits       map[id.Pool]Limits
	servers      map[id.Server]member.Server
	states       map[id.Server]State
	requesters   map[id.Server]*requester
	inFlight     map[id.Attempt]usedPermit
	issuingSince map[id.Server]time.Time // since when this node is the holder
	issuers      map[id.Server]*issuer
	repeats      map[id.Server]*repetition

	baseline      Baseline
	noQuery       bool
	noColdSignals bool
}

// requester is the side of the node that needs permits of one server.
type requester struct {
	seq           uint64 // last question
	askedAt       time.Time
	pending       bool
	nextAsk       time.Time // earliest next question
	demand        int
	demandUntil   time.Time // end of the demand in want, unless it is renewed
	held          []heldPermit
	completions   uint64
	completionsOf State // start and generation that done counts for

	baselineInFlight int // attempts in flight under a baseline
	baselineStart    id.Start
	baselineSince    time.Time // when a baseline first saw the start
}

type heldPermit struct {
	number  uint64
	attempt id.Attempt // 0 while unused
	expires time.Time  // for dispatch
}

type usedPermit struct {
	server id.Server
	number uint64
	state  State // what the node knew of the server at the dispatch
}

type repetition struct {
	state     State
	next      time.Time
	remaining int
}

// Option changes a Permits.
type Option func(*Permits)

// WithoutQuery lets a new holder grant without asking and waiting, for the proof that it must.
func WithoutQuery() Option { return func(p *Permits) { p.noQuery = true } }

// WithoutColdSignals ignores signs of a cold server other than the own node's knowledge, for the proof that they matter.
func WithoutColdSignals() Option { return func(p *Permits) { p.noColdSignals = true } }

// New returns a Permits that knows no server.
func New(self event.Self, opts ...Option) *Permits {
	p := &Permits{
		self: self, departed: map[Process]time.Time{}, limits: map[id.Pool]Limits{},
		servers: map[id.Server]member.Server{}, states: map[id.Server]State{}, requesters: map[id.Server]*requester{},
		inFlight: map[id.Attempt]usedPermit{}, issuingSince: map[id.Server]time.Time{}, issuers: map[id.Server]*issuer{},
		repeats: map[id.Server]*repetition{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// SetLimits sets the limits of a pool's servers.
func (p *Permits) SetLimits(pool id.Pool, l Limits) { p.limits[pool] = l }

// Next returns the time of the next timer.
func (p *Permits) Next() time.Time {
	if p.dirty {
		p.dirty = false
		p.next = p.timers()
	}
	return p.next
}

// Warm reports whether attempts may be sent to the server without a permit.
func (p *Permits) Warm(server id.Server) bool {
	if p.baseline == NoPermit {
		return true
	}
	start := p.servers[server].Start
	s, ok := p.states[server]
	return ok && s.Warm && s.Start == start
}

// Available returns how many permits of the server can be used for a dispatch now.
func (p *Permits) Available(now time.Time, server id.Server) int {
	if p.baseline != "" {
		return p.freeShare(now, server)
	}
	b, ok := p.requesters[server]
	if !ok {
		return 0
	}
	free := 0
	for _, h := range b.held {
		if h.attempt == 0 && now.Before(h.expires) {
			free++
		}
	}
	return free
}

// Take uses a permit for an attempt that is dispatched now.
func (p *Permits) Take(now time.Time, server id.Server, attempt id.Attempt) bool {
	if p.baseline != "" {
		return p.takeShare(now, server, attempt)
	}
	b, ok := p.requesters[server]
	if !ok {
		return false
	}
	for i, h := range b.held {
		if h.attempt == 0 && now.Before(h.expires) {
			b.held[i].attempt = attempt
			p.inFlight[attempt] = usedPermit{server, h.number, p.state(server)}
			p.dirty = true
			return true
		}
	}
	return false
}

// Release returns the permit of an attempt, if it had one; good says that it completed at a normal service time.
func (p *Permits) Release(now time.Time, attempt id.Attempt, good bool) []event.Action {
	p.setTime(now)
	u, ok := p.inFlight[attempt]
	if !ok {
		return nil
	}
	delete(p.inFlight, attempt)
	b := p.requester(u.server)
	b.held = slices.DeleteFunc(b.held, func(h heldPermit) bool { return h.number == u.number })
	// A completion counts for the start and generation that the attempt was sent to, so that a server which restarted
	// meanwhile does not inherit the evidence.
	if s := p.state(u.server); good && s.Start != "" && s.Start == u.state.Start && s.Gen == u.state.Gen {
		b.resetIfStale(s)
		b.completions++
	}
	if p.baseline != "" {
		b.baselineInFlight--
		return []event.Action{Ready{Server: u.server}}
	}
	return p.sendNeed(now, u.server, b)
}

// Request states how many more attempts wait for permits of the server, and asks the holder for them.
func (p *Permits) Request(now time.Time, server id.Server, count int) []event.Action {
	p.setTime(now)
	if p.baseline != "" || p.Warm(server) {
		return nil
	}
	b := p.requester(server)
	b.demand, b.demandUntil = count, now.Add(demandLifetime)
	if count == 0 || b.pending || now.Before(b.nextAsk) {
		return nil
	}
	return p.sendNeed(now, server, b)
}

// MarkCold takes in a sign that the present start of the server is cold again, and tells the holder.
func (p *Permits) MarkCold(now time.Time, server id.Server) []event.Action {
	p.setTime(now)
	s, ok := p.states[server]
	if !ok || s.Start == "" || p.noColdSignals {
		return nil
	}
	s.Gen++
	s.Warm = false
	p.setState(s)
	return append(p.announce(now, s), p.dropUnused(now, server)...)
}

// setState replaces the state of a server; evidence of an earlier generation is worthless then.
func (p *Permits) setState(s State) {
	old := p.states[s.Server]
	p.states[s.Server] = s
	p.dirty = true
	if l, ok := p.issuers[s.Server]; ok && (old.Start != s.Start || old.Gen != s.Gen) {
		l.completions = map[Process]uint64{}
	}
}

// dropUnused gives back permits that were granted on what the server could handle before it turned cold.
func (p *Permits) dropUnused(now time.Time, server id.Server) []event.Action {
	b, ok := p.requesters[server]
	if !ok {
		return nil
	}
	b.pending = false
	before := len(b.held)
	b.held = slices.DeleteFunc(b.held, func(h heldPermit) bool { return h.attempt == 0 })
	if before == len(b.held) {
		return nil
	}
	return p.sendNeed(now, server, b)
}

// Step handles one event.
func (p *Permits) Step(now time.Time, ev event.Event) []event.Action {
	p.setTime(now)
	var out []event.Action
	switch ev := ev.(type) {
	case member.ViewChanged:
		out = p.viewChanged(now, ev.View)
	case member.Lease:
		out = p.leaseRenewed(now, ev.Until)
	case member.ServerChanged:
		out = p.serverChanged(now, ev.Server)
	case member.ServerRemoved:
		p.removeServer(ev.Server)
	case event.Receive:
		out = p.receive(now, Process{ev.From, ev.Incarnation}, ev.Body)
	}
	if next := p.Next(); !next.IsZero() && !now.Before(next) {
		out = append(out, p.due(now)...)
	}
	return out
}

func (p *Permits) setTime(now time.Time) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.now = now
}

func (p *Permits) thisProcess() Process { return Process{p.self.Node, p.self.Incarnation} }

func (p *Permits) receive(now time.Time, from Process, body event.Body) []event.Action {
	switch b := body.(type) {
	case Need:
		return p.handleNeed(now, from, b)
	case Grant:
		return p.handleGrant(now, b)
	case State:
		return p.handleState(now, b)
	case Query:
		return p.handleQuery(now, from, b)
	case Holding:
		return p.handleHolding(now, from, b)
	}
	return nil
}

// send hands a message to a node; the own node gets it at once.
func (p *Permits) send(now time.Time, to id.Node, body event.Body) []event.Action {
	if to == p.self.Node {
		return p.receive(now, p.thisProcess(), body)
	}
	return []event.Action{event.Send{To: to, Body: body}}
}

func (p *Permits) requester(server id.Server) *requester {
	b, ok := p.requesters[server]
	if !ok {
		b = &requester{}
		p.requesters[server] = b
	}
	return b
}

// state returns what is known about the present start of a server.
func (p *Permits) state(server id.Server) State {
	s, ok := p.states[server]
	if start := p.servers[server].Start; !ok || s.Start != start {
		s = State{Server: server, Start: start}
	}
	return s
}

func (b *requester) resetIfStale(s State) {
	if b.completionsOf.Start != s.Start || b.completionsOf.Gen != s.Gen {
		b.completions = 0
		b.completionsOf = s
	}
}

func (p *Permits) serverChanged(now time.Time, s member.Server) []event.Action {
	old, known := p.servers[s.ID]
	p.servers[s.ID] = s
	var out []event.Action
	if !known {
		p.updateRole(now, s)
	}
	if s.Start != old.Start {
		if was, ok := p.states[s.ID]; ok && was.Start == old.Start && was.Start != "" {
			// Nodes that still believe in the old start must stop: what they send reaches the new one.
			was.Gen++
			was.Warm = false
			out = p.announce(now, was)
		}
		p.setState(State{Server: s.ID, Start: s.Start})
		// Loans stay: an attempt that was sent to the old start may have reached the new one.
		out = append(out, p.dropUnused(now, s.ID)...)
		out = append(out, p.grant(now, s.ID)...)
	}
	p.dirty = true
	return out
}

func (p *Permits) removeServer(server id.Server) {
	delete(p.servers, server)
	delete(p.states, server)
	delete(p.issuingSince, server)
	delete(p.issuers, server)
	delete(p.repeats, server)
	if b, ok := p.requesters[server]; ok && len(b.held) == 0 {
		delete(p.requesters, server)
	}
	p.dirty = true
}

// issuerOf returns the node that lends the permits of a server.
func (p *Permits) issuerOf(server id.Server) (id.Node, bool) {
	s, ok := p.servers[server]
	if !ok || p.view == nil {
		return "", false
	}
	// While all nodes of the domain are being stopped, their open requests still need permits.
	n, ok := p.view.OwnerOrLeaving(string(server), member.InDomain(s.FailureDomain))
	return n.ID, ok
}

// sendNeed sends the state of a book to the holder, with a question if attempts wait.
func (p *Permits) sendNeed(now time.Time, server id.Server, b *requester) []event.Action {
	p.dirty = true
	to, ok := p.issuerOf(server)
	if !ok {
		b.nextAsk = now.Add(requestInterval)
		return nil
	}
	ask := b.demand > 0 && !b.pending && !now.Before(b.nextAsk) && p.servers[server].Start != ""
	if ask {
		b.seq++
		b.pending, b.askedAt, b.nextAsk = true, now, now.Add(requestInterval)
	}
	if !ask && b.demand > 0 && !now.Before(b.nextAsk) {
		b.nextAsk = now.Add(requestInterval)
	}
	n := b.needMessage(p.state(server))
	if ask {
		n.Seq, n.Count = b.seq, uint64(b.demand)
	}
	return p.send(now, to, n)
}

func (b *requester) needMessage(s State) Need {
	b.resetIfStale(s)
	n := Need{Server: s.Server, Start: s.Start, Gen: s.Gen, Closed: b.seq, Done: b.completions}
	if b.pending {
		n.Closed--
	}
	for _, h := range b.held {
		n.Held = append(n.Held, h.number)
	}
	return n
}

func (p *Permits) handleGrant(now time.Time, g Grant) []event.Action {
	b, ok := p.requesters[g.Server]
	if !ok || !b.pending || g.Seq != b.seq {
		return nil // the question is closed; the next Need frees the permits
	}
	p.dirty = true
	b.pending = false
	expires := b.askedAt.Add(dispatchWindow)
	for i := range g.Count {
		b.held = append(b.held, heldPermit{number: g.Seq<<8 | i, expires: expires})
	}
	b.demand = max(0, b.demand-int(g.Count))
	if g.Count == 0 || !now.Before(expires) {
		return nil
	}
	return []event.Action{Ready{Server: g.Server}}
}

// handleState merges a state; the holder passes news on to all nodes.
func (p *Permits) handleState(now time.Time, s State) []event.Action {
	server, ok := p.servers[s.Server]
	if !ok || server.Start != s.Start || !s.newer(p.state(s.Server)) {
		return nil
	}
	if p.noColdSignals && !s.Warm {
		return nil
	}
	p.setState(s)
	var out []event.Action
	if !s.Warm {
		out = p.dropUnused(now, s.Server)
	}
	if to, held := p.issuerOf(s.Server); held && to == p.self.Node {
		out = append(out, p.announce(now, s)...)
	}
	if s.Warm {
		out = append(out, Ready{Server: s.Server})
	}
	return out
}

// announce passes a state on: to the holder, or as the holder to everybody.
func (p *Permits) announce(now time.Time, s State) []event.Action {
	to, ok := p.issuerOf(s.Server)
	if !ok || p.baseline != "" {
		return nil
	}
	p.dirty = true
	p.repeats[s.Server] = &repetition{state: s, next: now.Add(stateInterval), remaining: stateSends - 1}
	if to != p.self.Node {
		return []event.Action{event.Send{To: to, Body: s}}
	}
	var out []event.Action
	for _, n := range p.view.Nodes {
		if n.ID != p.self.Node {
			out = append(out, event.Send{To: n.ID, Body: s})
		}
	}
	return out
}

// timers returns the earliest time at which a book, a ledger or a repetition needs attention.
func (p *Permits) timers() time.Time {
	var next time.Time
	at := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, b := range p.requesters {
		for _, h := range b.held {
			if h.attempt == 0 {
				at(h.expires)
			}
		}
		if b.pending || b.demand > 0 {
			at(b.nextAsk)
		}
	}
	for _, l := range p.issuers {
		for _, t := range l.timers() {
			at(t)
		}
	}
	for _, t := range p.repeats {
		at(t.next)
	}
	return next
}

// due does what timers ask for.
func (p *Permits) due(now time.Time) []event.Action {
	p.dirty = true
	var out []event.Action
	for _, name := range slices.Sorted(maps.Keys(p.repeats)) {
		t := p.repeats[name]
		if now.Before(t.next) {
			continue
		}
		left := t.remaining - 1
		if left < 0 {
			delete(p.repeats, name)
			continue
		}
		out = append(out, p.announce(now, t.state)...)
		t.next, t.remaining = now.Add(stateInterval), left
		p.repeats[name] = t
	}
	for _, name := range slices.Sorted(maps.Keys(p.requesters)) {
		out = append(out, p.requesterDue(now, name, p.requesters[name])...)
	}
	for _, name := range slices.Sorted(maps.Keys(p.issuers)) {
		out = append(out, p.issuerDue(now, name, p.issuers[name])...)
	}
	return out
}

func (p *Permits) requesterDue(now time.Time, server id.Server, b *requester) []event.Action {
	before := len(b.held)
	b.held = slices.DeleteFunc(b.held, func(h heldPermit) bool { return h.attempt == 0 && !now.Before(h.expires) })
	if (b.pending || b.demand > 0) && !now.Before(b.nextAsk) {
		b.pending = false
		if p.Warm(server) || !now.Before(b.demandUntil) {
			b.demand = 0
		}
		return p.sendNeed(now, server, b)
	}
	if len(b.held) != before {
		return p.sendNeed(now, server, b)
	}
	return nil
}

func viewDigest(v *member.View) uint64 {
	var sum uint64
	for _, n := range v.Nodes {
		sum ^= xxhash.Sum64String(string(n.ID) + "\x00" + string(n.Incarnation))
	}
	return sum
}
