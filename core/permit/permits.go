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
	// dispatchWithin is how long after its question a permit may be used to dispatch.
	dispatchWithin = 500 * time.Millisecond
	// longestRequest is the longest deadline of a request.
	longestRequest = 8 * time.Second
	slack          = 500 * time.Millisecond
	// lifetime is how long a permit counts as used if nobody returns it.
	lifetime = dispatchWithin + longestRequest + slack
	// viewLag is how long an earlier holder may take to see that it is replaced.
	viewLag = 3 * time.Second
	// batch is the largest number of permits in one grant.
	batch = 4
	// askAgain is how long a node waits for a grant before it asks again.
	askAgain = 250 * time.Millisecond
	// wantFor is how long a stated demand lasts.
	wantFor = time.Second
	// queryAgain is how often a new holder repeats its question to nodes that have not answered.
	queryAgain = 300 * time.Millisecond
	// tellAgain is the time between repetitions of a state, because a message may be lost.
	tellAgain = 300 * time.Millisecond
	tellTimes = 3
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
	self    event.Self
	born    time.Time
	now     time.Time
	next    time.Time
	dirty   bool
	view    *member.View
	digest  uint64
	lease   time.Time
	left    map[Process]time.Time
	limits  map[id.Pool]Limits
	servers map[id.Server]member.Server
	states  map[id.Server]State
	books   map[id.Server]*book
	uses    map[id.Attempt]use
	holds   map[id.Server]time.Time // since when this node is the holder
	ledgers map[id.Server]*ledger
	telling map[id.Server]*telling

	baseline Baseline
	noQuery  bool
	noSigns  bool
}

// book is the side of the node that needs permits of one server.
type book struct {
	seq    uint64 // last question
	open   time.Time
	isOpen bool
	askAt  time.Time // earliest next question
	want   int
	until  time.Time // end of the demand in want, unless it is renewed
	held   []held
	done   uint64
	doneOf State // start and generation that done counts for

	shared  int // attempts in flight under a baseline
	firstOf id.Start
	first   time.Time // when a baseline first saw the start
}

type held struct {
	number  uint64
	attempt id.Attempt // 0 while unused
	expires time.Time  // for dispatch
}

type use struct {
	server id.Server
	number uint64
	under  State // what the node knew of the server at the dispatch
}

type telling struct {
	state State
	at    time.Time
	left  int
}

// Option changes a Permits.
type Option func(*Permits)

// WithoutQuery lets a new holder grant without asking and waiting, for the proof that it must.
func WithoutQuery() Option { return func(p *Permits) { p.noQuery = true } }

// WithoutSigns ignores signs of a cold server other than the own node's knowledge, for the proof that they matter.
func WithoutSigns() Option { return func(p *Permits) { p.noSigns = true } }

// New returns a Permits that knows no server.
func New(self event.Self, opts ...Option) *Permits {
	p := &Permits{
		self: self, left: map[Process]time.Time{}, limits: map[id.Pool]Limits{},
		servers: map[id.Server]member.Server{}, states: map[id.Server]State{}, books: map[id.Server]*book{},
		uses: map[id.Attempt]use{}, holds: map[id.Server]time.Time{}, ledgers: map[id.Server]*ledger{},
		telling: map[id.Server]*telling{},
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

// Free returns how many permits of the server can be used for a dispatch now.
func (p *Permits) Free(now time.Time, server id.Server) int {
	if p.baseline != "" {
		return p.freeShare(now, server)
	}
	b, ok := p.books[server]
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
	b, ok := p.books[server]
	if !ok {
		return false
	}
	for i, h := range b.held {
		if h.attempt == 0 && now.Before(h.expires) {
			b.held[i].attempt = attempt
			p.uses[attempt] = use{server, h.number, p.state(server)}
			p.dirty = true
			return true
		}
	}
	return false
}

// End returns the permit of an attempt, if it had one; good says that it completed at a normal service time.
func (p *Permits) End(now time.Time, attempt id.Attempt, good bool) []event.Action {
	p.begin(now)
	u, ok := p.uses[attempt]
	if !ok {
		return nil
	}
	delete(p.uses, attempt)
	b := p.book(u.server)
	b.held = slices.DeleteFunc(b.held, func(h held) bool { return h.number == u.number })
	// A completion counts for the start and generation that the attempt was sent to, so that a server which restarted
	// meanwhile does not inherit the evidence.
	if s := p.state(u.server); good && s.Start != "" && s.Start == u.under.Start && s.Gen == u.under.Gen {
		b.count(s)
		b.done++
	}
	if p.baseline != "" {
		b.shared--
		return []event.Action{Ready{Server: u.server}}
	}
	return p.needs(now, u.server, b)
}

// Request states how many more attempts wait for permits of the server, and asks the holder for them.
func (p *Permits) Request(now time.Time, server id.Server, count int) []event.Action {
	p.begin(now)
	if p.baseline != "" || p.Warm(server) {
		return nil
	}
	b := p.book(server)
	b.want, b.until = count, now.Add(wantFor)
	if count == 0 || b.isOpen || now.Before(b.askAt) {
		return nil
	}
	return p.needs(now, server, b)
}

// Cold takes in a sign that the present start of the server is cold again, and tells the holder.
func (p *Permits) Cold(now time.Time, server id.Server) []event.Action {
	p.begin(now)
	s, ok := p.states[server]
	if !ok || s.Start == "" || p.noSigns {
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
	if l, ok := p.ledgers[s.Server]; ok && (old.Start != s.Start || old.Gen != s.Gen) {
		l.evidence = map[Process]uint64{}
	}
}

// dropUnused gives back permits that were granted on what the server could handle before it turned cold.
func (p *Permits) dropUnused(now time.Time, server id.Server) []event.Action {
	b, ok := p.books[server]
	if !ok {
		return nil
	}
	b.isOpen = false
	before := len(b.held)
	b.held = slices.DeleteFunc(b.held, func(h held) bool { return h.attempt == 0 })
	if before == len(b.held) {
		return nil
	}
	return p.needs(now, server, b)
}

// Step handles one event.
func (p *Permits) Step(now time.Time, ev event.Event) []event.Action {
	p.begin(now)
	var out []event.Action
	switch ev := ev.(type) {
	case member.ViewChanged:
		out = p.viewChanged(now, ev.View)
	case member.Lease:
		out = p.leased(now, ev.Until)
	case member.ServerChanged:
		out = p.serverChanged(now, ev.Server)
	case member.ServerRemoved:
		p.forget(ev.Server)
	case event.Receive:
		out = p.receive(now, Process{ev.From, ev.Incarnation}, ev.Body)
	}
	if next := p.Next(); !next.IsZero() && !now.Before(next) {
		out = append(out, p.due(now)...)
	}
	return out
}

func (p *Permits) begin(now time.Time) {
	if p.born.IsZero() {
		p.born = now
	}
	p.now = now
}

func (p *Permits) me() Process { return Process{p.self.Node, p.self.Incarnation} }

func (p *Permits) receive(now time.Time, from Process, body event.Body) []event.Action {
	switch b := body.(type) {
	case Need:
		return p.lenderNeed(now, from, b)
	case Grant:
		return p.granted(now, b)
	case State:
		return p.told(now, b)
	case Query:
		return p.queried(now, from, b)
	case Holding:
		return p.answered(now, from, b)
	}
	return nil
}

// send hands a message to a node; the own node gets it at once.
func (p *Permits) send(now time.Time, to id.Node, body event.Body) []event.Action {
	if to == p.self.Node {
		return p.receive(now, p.me(), body)
	}
	return []event.Action{event.Send{To: to, Body: body}}
}

func (p *Permits) book(server id.Server) *book {
	b, ok := p.books[server]
	if !ok {
		b = &book{}
		p.books[server] = b
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

func (b *book) count(s State) {
	if b.doneOf.Start != s.Start || b.doneOf.Gen != s.Gen {
		b.done = 0
		b.doneOf = s
	}
}

func (p *Permits) serverChanged(now time.Time, s member.Server) []event.Action {
	old, known := p.servers[s.ID]
	p.servers[s.ID] = s
	var out []event.Action
	if !known {
		p.assume(now, s)
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
		out = append(out, p.lend(now, s.ID)...)
	}
	p.dirty = true
	return out
}

func (p *Permits) forget(server id.Server) {
	delete(p.servers, server)
	delete(p.states, server)
	delete(p.holds, server)
	delete(p.ledgers, server)
	delete(p.telling, server)
	if b, ok := p.books[server]; ok && len(b.held) == 0 {
		delete(p.books, server)
	}
	p.dirty = true
}

// holder returns the node that lends the permits of a server.
func (p *Permits) holder(server id.Server) (id.Node, bool) {
	s, ok := p.servers[server]
	if !ok || p.view == nil {
		return "", false
	}
	// While all nodes of the domain are being stopped, their open requests still need permits.
	n, ok := p.view.OwnerOrLeaving(string(server), member.InDomain(s.FailureDomain))
	return n.ID, ok
}

// needs sends the state of a book to the holder, with a question if attempts wait.
func (p *Permits) needs(now time.Time, server id.Server, b *book) []event.Action {
	p.dirty = true
	to, ok := p.holder(server)
	if !ok {
		b.askAt = now.Add(askAgain)
		return nil
	}
	ask := b.want > 0 && !b.isOpen && !now.Before(b.askAt) && p.servers[server].Start != ""
	if ask {
		b.seq++
		b.isOpen, b.open, b.askAt = true, now, now.Add(askAgain)
	}
	if !ask && b.want > 0 && !now.Before(b.askAt) {
		b.askAt = now.Add(askAgain)
	}
	n := b.need(p.state(server))
	if ask {
		n.Seq, n.Count = b.seq, uint64(b.want)
	}
	return p.send(now, to, n)
}

func (b *book) need(s State) Need {
	b.count(s)
	n := Need{Server: s.Server, Start: s.Start, Gen: s.Gen, Closed: b.seq, Done: b.done}
	if b.isOpen {
		n.Closed--
	}
	for _, h := range b.held {
		n.Held = append(n.Held, h.number)
	}
	return n
}

func (p *Permits) granted(now time.Time, g Grant) []event.Action {
	b, ok := p.books[g.Server]
	if !ok || !b.isOpen || g.Seq != b.seq {
		return nil // the question is closed; the next Need frees the permits
	}
	p.dirty = true
	b.isOpen = false
	expires := b.open.Add(dispatchWithin)
	for i := range g.Count {
		b.held = append(b.held, held{number: g.Seq<<8 | i, expires: expires})
	}
	b.want = max(0, b.want-int(g.Count))
	if g.Count == 0 || !now.Before(expires) {
		return nil
	}
	return []event.Action{Ready{Server: g.Server}}
}

// told merges a state; the holder passes news on to all nodes.
func (p *Permits) told(now time.Time, s State) []event.Action {
	server, ok := p.servers[s.Server]
	if !ok || server.Start != s.Start || !s.newer(p.state(s.Server)) {
		return nil
	}
	if p.noSigns && !s.Warm {
		return nil
	}
	p.setState(s)
	var out []event.Action
	if !s.Warm {
		out = p.dropUnused(now, s.Server)
	}
	if to, held := p.holder(s.Server); held && to == p.self.Node {
		out = append(out, p.announce(now, s)...)
	}
	if s.Warm {
		out = append(out, Ready{Server: s.Server})
	}
	return out
}

// announce passes a state on: to the holder, or as the holder to everybody.
func (p *Permits) announce(now time.Time, s State) []event.Action {
	to, ok := p.holder(s.Server)
	if !ok || p.baseline != "" {
		return nil
	}
	p.dirty = true
	p.telling[s.Server] = &telling{state: s, at: now.Add(tellAgain), left: tellTimes - 1}
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
	for _, b := range p.books {
		for _, h := range b.held {
			if h.attempt == 0 {
				at(h.expires)
			}
		}
		if b.isOpen || b.want > 0 {
			at(b.askAt)
		}
	}
	for _, l := range p.ledgers {
		for _, t := range l.timers() {
			at(t)
		}
	}
	for _, t := range p.telling {
		at(t.at)
	}
	return next
}

// due does what timers ask for.
func (p *Permits) due(now time.Time) []event.Action {
	p.dirty = true
	var out []event.Action
	for _, name := range slices.Sorted(maps.Keys(p.telling)) {
		t := p.telling[name]
		if now.Before(t.at) {
			continue
		}
		left := t.left - 1
		if left < 0 {
			delete(p.telling, name)
			continue
		}
		out = append(out, p.announce(now, t.state)...)
		t.at, t.left = now.Add(tellAgain), left
		p.telling[name] = t
	}
	for _, name := range slices.Sorted(maps.Keys(p.books)) {
		out = append(out, p.bookDue(now, name, p.books[name])...)
	}
	for _, name := range slices.Sorted(maps.Keys(p.ledgers)) {
		out = append(out, p.ledgerDue(now, name, p.ledgers[name])...)
	}
	return out
}

func (p *Permits) bookDue(now time.Time, server id.Server, b *book) []event.Action {
	before := len(b.held)
	b.held = slices.DeleteFunc(b.held, func(h held) bool { return h.attempt == 0 && !now.Before(h.expires) })
	if (b.isOpen || b.want > 0) && !now.Before(b.askAt) {
		b.isOpen = false
		if p.Warm(server) || !now.Before(b.until) {
			b.want = 0
		}
		return p.needs(now, server, b)
	}
	if len(b.held) != before {
		return p.needs(now, server, b)
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
