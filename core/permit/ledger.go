package permit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
)

// ledger is the side of the holder of one server.
type ledger struct {
	since    time.Time // when this node became the holder
	ready    bool
	query    uint64 // number of the last question to all nodes, 0 for none
	queryAt  time.Time
	answers  map[Process]bool
	departed map[Process]bool
	adult    bool
	lent     map[Loan]time.Time // until when the permit counts as used
	seqs     map[Process]uint64 // last question of each process
	closed   map[Process]uint64 // questions of each process that take no grant any more
	waiting  []waiter
	evidence map[Process]uint64 // good completions of the present start and generation
}

type waiter struct {
	to    Process
	seq   uint64
	count uint64
	until time.Time
}

// viewChanged notes which processes left and which servers this node holds from now on.
func (p *Permits) viewChanged(now time.Time, v *member.View) []event.Action {
	if p.view != nil {
		for _, n := range p.view.Nodes {
			if m, ok := v.Find(n.ID); !ok || m.Incarnation != n.Incarnation {
				p.left[Process{n.ID, n.Incarnation}] = now
			}
		}
	}
	for _, n := range v.Nodes {
		delete(p.left, Process{n.ID, n.Incarnation})
	}
	p.view = v
	p.digest = viewDigest(v)
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		p.assume(now, p.servers[name])
	}
	p.dirty = true
	return p.lendAll(now)
}

// assume keeps holds in step with the view.
func (p *Permits) assume(now time.Time, s member.Server) {
	if s.FailureDomain != p.self.FailureDomain {
		return
	}
	to, ok := p.holder(s.ID)
	_, held := p.holds[s.ID]
	switch {
	case ok && to == p.self.Node && !held:
		p.holds[s.ID] = now
	case held && (!ok || to != p.self.Node):
		// The loans stay, because the next holder asks for them.
		delete(p.holds, s.ID)
		if l, found := p.ledgers[s.ID]; found {
			l.ready, l.query, l.waiting = false, 0, nil
		}
	}
}

// leased renews the right to lend. After a lapse another node may have been the holder, so this one starts again.
func (p *Permits) leased(now, until time.Time) []event.Action {
	if !now.Before(p.lease) {
		for server := range p.holds {
			p.holds[server] = now
			if l, ok := p.ledgers[server]; ok {
				l.ready, l.query = false, 0
			}
		}
	}
	p.lease = until
	p.dirty = true
	return p.lendAll(now)
}

func (p *Permits) ledger(server id.Server) *ledger {
	l, ok := p.ledgers[server]
	if !ok {
		l = &ledger{lent: map[Loan]time.Time{}, seqs: map[Process]uint64{}, closed: map[Process]uint64{}, evidence: map[Process]uint64{}}
		p.ledgers[server] = l
	}
	l.since = p.holds[server]
	return l
}

// lenderNeed takes in what a node uses, and lends if it asks.
func (p *Permits) lenderNeed(now time.Time, from Process, n Need) []event.Action {
	p.dirty = true
	if _, held := p.holds[n.Server]; !held {
		return nil
	}
	l := p.ledger(n.Server)
	l.reconcile(from, n)
	s := p.state(n.Server)
	if n.Start == s.Start && n.Gen == s.Gen {
		l.evidence[from] = max(l.evidence[from], n.Done)
	}
	if n.Seq > l.seqs[from] && n.Start == s.Start {
		l.seqs[from] = n.Seq
		l.waiting = slices.DeleteFunc(l.waiting, func(w waiter) bool { return w.to == from })
		l.waiting = append(l.waiting, waiter{from, n.Seq, n.Count, now.Add(askAgain)})
	}
	var out []event.Action
	if n.Start == s.Start && s.newer(State{Gen: n.Gen}) && from != p.me() {
		out = append(out, event.Send{To: from.Node, Body: s})
	}
	return append(out, p.lend(now, n.Server)...)
}

// reconcile frees the loans of closed questions that the process does not hold any more.
func (l *ledger) reconcile(from Process, n Need) {
	l.closed[from] = max(l.closed[from], n.Closed)
	for loan := range l.lent {
		if loan.To == from && loan.Number>>8 <= n.Closed && !slices.Contains(n.Held, loan.Number) {
			delete(l.lent, loan)
		}
	}
}

func (p *Permits) lendAll(now time.Time) []event.Action {
	var out []event.Action
	for _, name := range slices.Sorted(maps.Keys(p.ledgers)) {
		out = append(out, p.lend(now, name)...)
	}
	return out
}

// lend hands out what the server can handle to those who wait, oldest question first.
func (p *Permits) lend(now time.Time, server id.Server) []event.Action {
	l, ok := p.ledgers[server]
	if _, held := p.holds[server]; !held || !ok {
		return nil
	}
	for loan, until := range l.lent {
		if !now.Before(until) {
			delete(l.lent, loan)
		}
	}
	out := p.warmUp(now, server, l)
	l.waiting = slices.DeleteFunc(l.waiting, func(w waiter) bool { return !now.Before(w.until) })
	if len(l.waiting) == 0 || p.state(server).Warm || !now.Before(p.lease) {
		return out
	}
	if !l.ready {
		more := p.takeOver(now, server, l)
		if out = append(out, more...); !l.ready {
			return out
		}
	}
	allowance, _ := p.allowance(server, l)
	for free := allowance - len(l.lent); free > 0 && len(l.waiting) > 0; free = allowance - len(l.lent) {
		w := l.waiting[0]
		l.waiting = l.waiting[1:]
		count := min(uint64(free), w.count, batch)
		for i := range count {
			l.lent[Loan{w.to, w.seq<<8 | i}] = now.Add(lifetime)
		}
		out = append(out, p.send(now, w.to.Node, Grant{Server: server, Seq: w.seq, Count: count})...)
	}
	p.dirty = true
	return out
}

// allowance doubles with each full round of good completions; the second result says that the warm limit is reached.
func (p *Permits) allowance(server id.Server, l *ledger) (int, bool) {
	limits := p.limits[p.servers[server].Pool]
	total := 0
	for _, n := range l.evidence {
		total += int(n)
	}
	return Allowance(limits, total)
}

// Allowance returns how many attempts in flight a server can handle after a number of good completions, and whether it
// is warm then.
func Allowance(limits Limits, completions int) (int, bool) {
	allowed := max(1, limits.Cold)
	for completions >= allowed && allowed < limits.Warm {
		completions -= allowed
		allowed *= 2
	}
	if allowed >= limits.Warm {
		return limits.Warm, limits.Warm > 0
	}
	return allowed, false
}

// warmUp declares the server warm once the evidence is complete.
func (p *Permits) warmUp(now time.Time, server id.Server, l *ledger) []event.Action {
	s := p.state(server)
	if _, warm := p.allowance(server, l); !warm || s.Warm || s.Start == "" {
		return nil
	}
	s.Warm = true
	p.setState(s)
	return append(p.announce(now, s), Ready{Server: server})
}

// takeOver makes a new holder ready: at once if every process that may hold a permit has answered, otherwise when no
// permit of an earlier holder can be in use any more.
func (p *Permits) takeOver(now time.Time, server id.Server, l *ledger) []event.Action {
	l.since = p.holds[server]
	if p.noQuery || !now.Before(l.since.Add(lifetime+viewLag)) {
		l.ready = true
		return nil
	}
	var out []event.Action
	if l.query == 0 {
		l.query = p.self.Rand.Uint64() | 1
		l.queryAt = now.Add(queryAgain)
		l.answers, l.departed, l.adult = map[Process]bool{p.me(): true}, map[Process]bool{}, false
		out = p.ask(server, l)
	}
	l.ready = p.complete(now, l)
	return out
}

func (p *Permits) ask(server id.Server, l *ledger) []event.Action {
	var out []event.Action
	for _, n := range p.view.Nodes {
		if !l.answers[Process{n.ID, n.Incarnation}] {
			out = append(out, event.Send{To: n.ID, Body: Query{Server: server, Seq: l.query}})
		}
	}
	return out
}

// complete reports whether all processes that may hold a permit have answered, and a process that is older than any
// permit vouches that there are no others.
func (p *Permits) complete(now time.Time, l *ledger) bool {
	if !l.adult && now.Sub(p.born) < lifetime {
		return false
	}
	for _, n := range p.view.Nodes {
		if !l.answers[Process{n.ID, n.Incarnation}] {
			return false
		}
	}
	for gone, at := range p.left {
		if now.Sub(at) < lifetime && !l.answers[gone] {
			return false
		}
	}
	for gone := range l.departed {
		if !l.answers[gone] {
			return false
		}
	}
	return true
}

// queried answers a new holder.
func (p *Permits) queried(now time.Time, from Process, q Query) []event.Action {
	p.dirty = true
	h := Holding{Server: q.Server, Seq: q.Seq, View: p.digest, Adult: now.Sub(p.born) >= lifetime}
	if s, ok := p.states[q.Server]; ok && s.Start != "" {
		h.States = []State{s}
	}
	for gone, at := range p.left {
		if now.Sub(at) < lifetime {
			h.Departed = append(h.Departed, gone)
		}
	}
	slices.SortFunc(h.Departed, func(a, b Process) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	if l, ok := p.ledgers[q.Server]; ok {
		for loan, until := range l.lent {
			if now.Before(until) {
				h.Lent = append(h.Lent, loan)
			}
		}
		slices.SortFunc(h.Lent, func(a, b Loan) int {
			return cmp.Or(cmp.Compare(a.To.Incarnation, b.To.Incarnation), cmp.Compare(a.Number, b.Number))
		})
		l.ready, l.query = false, 0
	}
	if _, held := p.holds[q.Server]; held {
		p.holds[q.Server] = now // the other one may lend from now on
	}
	b := p.book(q.Server)
	b.isOpen = false
	b.askAt = now.Add(queryAgain)
	s := p.state(q.Server)
	s.Server = q.Server
	h.Need = b.need(s)
	return []event.Action{event.Send{To: from.Node, Body: h}}
}

// answered takes in an answer to the own question.
func (p *Permits) answered(now time.Time, from Process, h Holding) []event.Action {
	l, ok := p.ledgers[h.Server]
	if !ok || l.query == 0 || l.query != h.Seq {
		return nil
	}
	var out []event.Action
	for _, s := range h.States {
		out = append(out, p.told(now, s)...)
	}
	l.reconcile(from, h.Need)
	for _, number := range h.Need.Held {
		l.lent[Loan{from, number}] = now.Add(lifetime)
	}
	for _, loan := range h.Lent {
		if _, known := l.lent[loan]; !known && loan.Number>>8 > l.closed[loan.To] {
			l.lent[loan] = now.Add(lifetime)
		}
	}
	if s := p.state(h.Server); h.Need.Start == s.Start && h.Need.Gen == s.Gen {
		l.evidence[from] = max(l.evidence[from], h.Need.Done)
	}
	for _, gone := range h.Departed {
		l.departed[gone] = true
	}
	if h.View == p.digest {
		l.answers[from] = true
		l.adult = l.adult || h.Adult
	}
	p.dirty = true
	return append(out, p.lend(now, h.Server)...)
}

func (l *ledger) timers() []time.Time {
	var out []time.Time
	if len(l.waiting) == 0 {
		return nil
	}
	out = append(out, l.waiting[0].until)
	if !l.ready && l.query != 0 {
		out = append(out, l.queryAt)
	}
	for _, until := range l.lent {
		out = append(out, until)
	}
	return out
}

func (p *Permits) ledgerDue(now time.Time, server id.Server, l *ledger) []event.Action {
	var out []event.Action
	if _, held := p.holds[server]; held && !l.ready && l.query != 0 && !now.Before(l.queryAt) {
		l.queryAt = now.Add(queryAgain)
		out = p.ask(server, l)
	}
	return append(out, p.lend(now, server)...)
}
