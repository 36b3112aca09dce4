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

const (
	// dispatchWindow is how long after its request a permit may be used to dispatch an attempt.
	dispatchWindow = 500 * time.Millisecond
	// maxRequestDeadline is the longest deadline that a request of a caller can have.
	maxRequestDeadline = 8 * time.Second
	// lifetimeSlack is a safety margin in permitLifetime.
	lifetimeSlack = 500 * time.Millisecond
	// permitLifetime is how long an issuer counts a permit as outstanding if it is not returned.
	permitLifetime = dispatchWindow + maxRequestDeadline + lifetimeSlack
	// maxViewLag is the longest time until a replaced issuer notices that it was replaced.
	maxViewLag = 3 * time.Second
	// maxGrant is the largest number of permits in one grant.
	maxGrant = 4
	// requestInterval is how long a node waits for a grant before it requests permits again.
	requestInterval = 250 * time.Millisecond
	// demandLifetime is how long the demand that one call of Request sets is valid.
	demandLifetime = time.Second
	// queryInterval is how often a new issuer repeats its query to nodes that have not answered.
	queryInterval = 300 * time.Millisecond
	// stateInterval is the time between two transmissions of the same state.
	stateInterval = 300 * time.Millisecond
	// stateSends is the number of times that a state is sent, because messages may be lost.
	stateSends = 3
)

// Ready tells the other packages of this node that an attempt may now be dispatched to the server.
type Ready struct {
	event.Internal
	Server id.Server
}

// Limits holds the number of attempts in flight that a cold and a warm server of a pool can handle.
type Limits struct{ Cold, Warm int }

// Permits implements both sides of the protocol on one node: it requests permits, and it issues those of the servers
// that this node is responsible for.
type Permits struct {
	self         event.Self
	startedAt    time.Time // time of the first call
	next         time.Time // earliest timer
	dirty        bool      // next must be computed again
	view         *member.View
	viewDigest   uint64
	leaseUntil   time.Time             // this node issues no permits after this time
	departed     map[Process]time.Time // when each process left the view
	limits       map[id.Pool]Limits
	servers      map[id.Server]member.Server
	states       map[id.Server]State
	requesters   map[id.Server]*requester
	inFlight     map[id.Attempt]usedPermit
	issuingSince map[id.Server]time.Time // since when this node is the issuer, or when it last had to repeat its takeover
	issuers      map[id.Server]*issuer
	repeats      map[id.Server]*repetition // states that will be sent again

	baseline      Baseline
	noQuery       bool
	noColdSignals bool
}

// requester is the requesting side of the protocol for one server.
type requester struct {
	seq           uint64 // number of the last request
	requestedAt   time.Time
	pending       bool      // a grant for the last request is still accepted
	nextRequest   time.Time // earliest time of the next request
	demand        int       // attempts that wait for permits
	demandUntil   time.Time // when demand expires unless it is renewed
	held          []heldPermit
	completions   uint64 // good completions under permits
	completionsOf State  // start and generation that completions counts for

	baselineInFlight int       // attempts in flight under a baseline
	baselineStart    id.Start  // start that baselineSince refers to
	baselineSince    time.Time // when the baseline first saw that start
}

// heldPermit is a permit that was granted to this node and is unused or in use.
type heldPermit struct {
	number  uint64
	attempt id.Attempt // 0 while unused
	expires time.Time  // end of the dispatch window
}

// usedPermit is the permit of an attempt in flight.
type usedPermit struct {
	server id.Server
	number uint64
	state  State // state of the server that this node knew at the dispatch
}

// repetition is a state that is sent several times.
type repetition struct {
	state     State
	next      time.Time
	remaining int
}

// Option configures a Permits.
type Option func(*Permits)

// WithoutQuery lets a new issuer grant permits without querying the other nodes or waiting. Tests use it to show that
// the query is necessary.
func WithoutQuery() Option { return func(p *Permits) { p.noQuery = true } }

// WithoutColdSignals ignores MarkCold and cold states of other nodes. Tests use it to show that they are necessary.
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

// SetLimits sets the limits of the servers of a pool.
func (p *Permits) SetLimits(pool id.Pool, l Limits) { p.limits[pool] = l }

// Next returns the time of the next timer.
func (p *Permits) Next() time.Time {
	if p.dirty {
		p.dirty = false
		p.next = p.nextTimer()
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

// Available returns the number of permits of the server that an attempt can use now.
func (p *Permits) Available(now time.Time, server id.Server) int {
	if p.baseline != "" {
		return p.freeShare(now, server)
	}
	r, ok := p.requesters[server]
	if !ok {
		return 0
	}
	free := 0
	for _, h := range r.held {
		if h.attempt == 0 && now.Before(h.expires) {
			free++
		}
	}
	return free
}

// Take assigns a permit to an attempt that is dispatched now and reports whether one was available.
func (p *Permits) Take(now time.Time, server id.Server, attempt id.Attempt) bool {
	if p.baseline != "" {
		return p.takeShare(now, server, attempt)
	}
	r, ok := p.requesters[server]
	if !ok {
		return false
	}
	for i, h := range r.held {
		if h.attempt == 0 && now.Before(h.expires) {
			r.held[i].attempt = attempt
			p.inFlight[attempt] = usedPermit{server, h.number, p.state(server)}
			p.dirty = true
			return true
		}
	}
	return false
}

// Release returns the permit of an attempt, if it had one. A good attempt has completed with a normal service time.
func (p *Permits) Release(now time.Time, attempt id.Attempt, good bool) []event.Action {
	p.setTime(now)
	u, ok := p.inFlight[attempt]
	if !ok {
		return nil
	}
	delete(p.inFlight, attempt)
	r := p.requester(u.server)
	r.held = slices.DeleteFunc(r.held, func(h heldPermit) bool { return h.number == u.number })
	// A completion counts only for the start and generation that the attempt was sent to: it says nothing about a server
	// that has restarted meanwhile.
	if s := p.state(u.server); good && s.Start != "" && s.Start == u.state.Start && s.Gen == u.state.Gen {
		r.resetIfStale(s)
		r.completions++
	}
	if p.baseline != "" {
		r.baselineInFlight--
		return []event.Action{Ready{Server: u.server}}
	}
	return p.sendNeed(now, u.server, r)
}

// Request sets how many more attempts wait for permits of the server, and requests them from the issuer.
func (p *Permits) Request(now time.Time, server id.Server, count int) []event.Action {
	p.setTime(now)
	if p.baseline != "" || p.Warm(server) {
		return nil
	}
	r := p.requester(server)
	r.demand, r.demandUntil = count, now.Add(demandLifetime)
	if count == 0 || r.pending || now.Before(r.nextRequest) {
		return nil
	}
	return p.sendNeed(now, server, r)
}

// MarkCold records that the current start of the server is cold again, and announces it.
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

// setState replaces the state of a server and discards the completions of an earlier start or generation.
func (p *Permits) setState(s State) {
	old := p.states[s.Server]
	p.states[s.Server] = s
	p.dirty = true
	if iss, ok := p.issuers[s.Server]; ok && (old.Start != s.Start || old.Gen != s.Gen) {
		iss.completions = map[Process]uint64{}
	}
}

// dropUnused returns the unused permits of a server that turned cold: they were granted under its earlier allowance.
func (p *Permits) dropUnused(now time.Time, server id.Server) []event.Action {
	r, ok := p.requesters[server]
	if !ok {
		return nil
	}
	r.pending = false
	before := len(r.held)
	r.held = slices.DeleteFunc(r.held, func(h heldPermit) bool { return h.attempt == 0 })
	if before == len(r.held) {
		return nil
	}
	return p.sendNeed(now, server, r)
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

// setTime records the start time at the first call.
func (p *Permits) setTime(now time.Time) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
}

func (p *Permits) thisProcess() Process { return Process{p.self.Node, p.self.Incarnation} }

// receive handles a message of a process, which may be this one.
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

// send sends a message to a node. A message to this node is handled at once.
func (p *Permits) send(now time.Time, to id.Node, body event.Body) []event.Action {
	if to == p.self.Node {
		return p.receive(now, p.thisProcess(), body)
	}
	return []event.Action{event.Send{To: to, Body: body}}
}

// requester returns the requesting state of a server and creates it if necessary.
func (p *Permits) requester(server id.Server) *requester {
	r, ok := p.requesters[server]
	if !ok {
		r = &requester{}
		p.requesters[server] = r
	}
	return r
}

// state returns the known state of the current start of a server, which is cold by default.
func (p *Permits) state(server id.Server) State {
	s, ok := p.states[server]
	if start := p.servers[server].Start; !ok || s.Start != start {
		s = State{Server: server, Start: start}
	}
	return s
}

// resetIfStale restarts the count of completions if it belongs to another start or generation.
func (r *requester) resetIfStale(s State) {
	if r.completionsOf.Start != s.Start || r.completionsOf.Gen != s.Gen {
		r.completions = 0
		r.completionsOf = s
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
		if prev, ok := p.states[s.ID]; ok && prev.Start == old.Start && prev.Start != "" {
			// Nodes that do not know the new start yet must stop sending without permits: their attempts reach the new start.
			prev.Gen++
			prev.Warm = false
			out = p.announce(now, prev)
		}
		p.setState(State{Server: s.ID, Start: s.Start})
		// Outstanding permits stay recorded: an attempt sent to the old start may have reached the new one.
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
	if r, ok := p.requesters[server]; ok && len(r.held) == 0 {
		delete(p.requesters, server)
	}
	p.dirty = true
}

// issuerOf returns the node that issues the permits of a server.
func (p *Permits) issuerOf(server id.Server) (id.Node, bool) {
	s, ok := p.servers[server]
	if !ok || p.view == nil {
		return "", false
	}
	// OwnerOrLeaving, because open requests still need permits while all nodes of the domain are leaving.
	n, ok := p.view.OwnerOrLeaving(string(server), member.InDomain(s.FailureDomain))
	return n.ID, ok
}

// sendNeed reports the permits in use to the issuer, and requests more if attempts wait.
func (p *Permits) sendNeed(now time.Time, server id.Server, r *requester) []event.Action {
	p.dirty = true
	to, ok := p.issuerOf(server)
	if !ok {
		r.nextRequest = now.Add(requestInterval)
		return nil
	}
	requesting := r.demand > 0 && !r.pending && !now.Before(r.nextRequest) && p.servers[server].Start != ""
	if requesting {
		r.seq++
		r.pending, r.requestedAt, r.nextRequest = true, now, now.Add(requestInterval)
	}
	if !requesting && r.demand > 0 && !now.Before(r.nextRequest) {
		r.nextRequest = now.Add(requestInterval)
	}
	n := r.needMessage(p.state(server))
	if requesting {
		n.Seq, n.Count = r.seq, uint64(r.demand)
	}
	return p.send(now, to, n)
}

// needMessage returns a Need without a request.
func (r *requester) needMessage(s State) Need {
	r.resetIfStale(s)
	n := Need{Server: s.Server, Start: s.Start, Gen: s.Gen, Closed: r.seq, Done: r.completions}
	if r.pending {
		n.Closed--
	}
	for _, h := range r.held {
		n.Held = append(n.Held, h.number)
	}
	return n
}

// handleGrant stores the granted permits if the request is still pending.
func (p *Permits) handleGrant(now time.Time, g Grant) []event.Action {
	r, ok := p.requesters[g.Server]
	if !ok || !r.pending || g.Seq != r.seq {
		return nil // the request is closed; the next Need returns the permits
	}
	p.dirty = true
	r.pending = false
	expires := r.requestedAt.Add(dispatchWindow)
	for i := range g.Count {
		r.held = append(r.held, heldPermit{number: g.Seq<<8 | i, expires: expires})
	}
	r.demand = max(0, r.demand-int(g.Count))
	if g.Count == 0 || !now.Before(expires) {
		return nil
	}
	return []event.Action{Ready{Server: g.Server}}
}

// handleState adopts a newer state. The issuer forwards it to all nodes.
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
	if to, known := p.issuerOf(s.Server); known && to == p.self.Node {
		out = append(out, p.announce(now, s)...)
	}
	if s.Warm {
		out = append(out, Ready{Server: s.Server})
	}
	return out
}

// announce sends a state to the issuer, or from the issuer to all other nodes, and schedules its repetition.
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

// nextTimer returns the earliest time at which a requester, an issuer or a repetition needs attention.
func (p *Permits) nextTimer() time.Time {
	var next time.Time
	include := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, r := range p.requesters {
		for _, h := range r.held {
			if h.attempt == 0 {
				include(h.expires)
			}
		}
		if r.pending || r.demand > 0 {
			include(r.nextRequest)
		}
	}
	for _, iss := range p.issuers {
		for _, t := range iss.timers() {
			include(t)
		}
	}
	for _, rep := range p.repeats {
		include(rep.next)
	}
	return next
}

// due handles all timers that have expired.
func (p *Permits) due(now time.Time) []event.Action {
	p.dirty = true
	var out []event.Action
	for _, name := range slices.Sorted(maps.Keys(p.repeats)) {
		rep := p.repeats[name]
		if now.Before(rep.next) {
			continue
		}
		remaining := rep.remaining - 1
		if remaining < 0 {
			delete(p.repeats, name)
			continue
		}
		out = append(out, p.announce(now, rep.state)...)
		rep.next, rep.remaining = now.Add(stateInterval), remaining
		p.repeats[name] = rep
	}
	for _, name := range slices.Sorted(maps.Keys(p.requesters)) {
		out = append(out, p.requesterDue(now, name, p.requesters[name])...)
	}
	for _, name := range slices.Sorted(maps.Keys(p.issuers)) {
		out = append(out, p.issuerDue(now, name, p.issuers[name])...)
	}
	return out
}

// requesterDue drops unused permits whose dispatch window has ended, and repeats the request if it is due.
func (p *Permits) requesterDue(now time.Time, server id.Server, r *requester) []event.Action {
	before := len(r.held)
	r.held = slices.DeleteFunc(r.held, func(h heldPermit) bool { return h.attempt == 0 && !now.Before(h.expires) })
	if (r.pending || r.demand > 0) && !now.Before(r.nextRequest) {
		r.pending = false
		if p.Warm(server) || !now.Before(r.demandUntil) {
			r.demand = 0
		}
		return p.sendNeed(now, server, r)
	}
	if len(r.held) != before {
		return p.sendNeed(now, server, r)
	}
	return nil
}

// viewDigest returns a hash of the processes of a view, independent of their order.
func viewDigest(v *member.View) uint64 {
	var sum uint64
	for _, n := range v.Nodes {
		sum ^= xxhash.Sum64String(string(n.ID) + "\x00" + string(n.Incarnation))
	}
	return sum
}
