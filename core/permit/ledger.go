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

// issuer is the side of the holder of one server.
type issuer struct {
	since       time.Time // when this node became the holder
	ready       bool
	querySeq    uint64 // number of the last question to all nodes, 0 for none
	nextQuery   time.Time
	answered    map[Process]bool
	departed    map[Process]bool
	established bool
	outstanding map[IssuedPermit]time.Time // until when the permit counts as used
	lastSeq     map[Process]uint64         // last question of each process
	closedSeq   map[Process]uint64         // questions of each process that take no grant any more
	waiting     []waiter
	completions map[Process]uint64 // good completions of the present start and generation
}

type waiter struct {
	to      Process
	seq     uint64
	count   uint64
	expires time.Time
}

// viewChanged notes which processes left and which servers this node holds from now on.
func (p *Permits) viewChanged(now time.Time, v *member.View) []event.Action {
	if p.view != nil {
		for _, n := range p.view.Nodes {
			if m, ok := v.Find(n.ID); !ok || m.Incarnation != n.Incarnation {
				p.departed[Process{n.ID, n.Incarnation}] = now
			}
		}
	}
	for _, n := range v.Nodes {
		delete(p.departed, Process{n.ID, n.Incarnation})
	}
	p.view = v
	p.viewDigest = viewDigest(v)
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		p.updateRole(now, p.servers[name])
	}
	p.dirty = true
	return p.grantAll(now)
}

// updateRole keeps holds in step with the view.
func (p *Permits) updateRole(now time.Time, s member.Server) {
	if s.FailureDomain != p.self.FailureDomain {
		return
	}
	to, ok := p.issuerOf(s.ID)
	_, held := p.issuingSince[s.ID]
	switch {
	case ok && to == p.self.Node && !held:
		p.issuingSince[s.ID] = now
	case held && (!ok || to != p.self.Node):
		// The loans stay, because the next holder asks for them.
		delete(p.issuingSince, s.ID)
		if l, found := p.issuers[s.ID]; found {
			l.ready, l.querySeq, l.waiting = false, 0, nil
		}
	}
}

// leaseRenewed renews the right to lend. After a lapse another node may have been the holder, so this one starts again.
func (p *Permits) leaseRenewed(now, until time.Time) []event.Action {
	if !now.Before(p.leaseUntil) {
		for server := range p.issuingSince {
			p.issuingSince[server] = now
			if l, ok := p.issuers[server]; ok {
				l.ready, l.querySeq = false, 0
			}
		}
	}
	p.leaseUntil = until
	p.dirty = true
	return p.grantAll(now)
}

func (p *Permits) issuer(server id.Server) *issuer {
	l, ok := p.issuers[server]
	if !ok {
		l = &issuer{outstanding: map[IssuedPermit]time.Time{}, lastSeq: map[Process]uint64{}, closedSeq: map[Process]uint64{}, completions: map[Process]uint64{}}
		p.issuers[server] = l
	}
	l.since = p.issuingSince[server]
	return l
}

// handleNeed takes in what a node uses, and lends if it asks.
func (p *Permits) handleNeed(now time.Time, from Process, n Need) []event.Action {
	p.dirty = true
	if _, held := p.issuingSince[n.Server]; !held {
		return nil
	}
	l := p.issuer(n.Server)
	l.reconcile(from, n)
	s := p.state(n.Server)
	if n.Start == s.Start && n.Gen == s.Gen {
		l.completions[from] = max(l.completions[from], n.Done)
	}
	if n.Seq > l.lastSeq[from] && n.Start == s.Start {
		l.lastSeq[from] = n.Seq
		l.waiting = slices.DeleteFunc(l.waiting, func(w waiter) bool { return w.to == from })
		l.waiting = append(l.waiting, waiter{from, n.Seq, n.Count, now.Add(requestInterval)})
	}
	var out []event.Action
	if n.Start == s.Start && s.newer(State{Gen: n.Gen}) && from != p.thisProcess() {
		out = append(out, event.Send{To: from.Node, Body: s})
	}
	return append(out, p.grant(now, n.Server)...)
}

// reconcile frees the loans of closed questions that the process does not hold any more.
func (l *issuer) reconcile(from Process, n Need) {
	l.closedSeq[from] = max(l.closedSeq[from], n.Closed)
	for loan := range l.outstanding {
		if loan.To == from && loan.Number>>8 <= n.Closed && !slices.Contains(n.Held, loan.Number) {
			delete(l.outstanding, loan)
		}
	}
}

func (p *Permits) grantAll(now time.Time) []event.Action {
	var out []event.Action
	for _, name := range slices.Sorted(maps.Keys(p.issuers)) {
		out = append(out, p.grant(now, name)...)
	}
	return out
}

// grant hands out what the server can handle to those who wait, oldest question first.
func (p *Permits) grant(now time.Time, server id.Server) []event.Action {
	l, ok := p.issuers[server]
	if _, held := p.issuingSince[server]; !held || !ok {
		return nil
	}
	for loan, until := range l.outstanding {
		if !now.Before(until) {
			delete(l.outstanding, loan)
		}
	}
	out := p.declareWarm(now, server, l)
	l.waiting = slices.DeleteFunc(l.waiting, func(w waiter) bool { return !now.Before(w.expires) })
	if len(l.waiting) == 0 || p.state(server).Warm || !now.Before(p.leaseUntil) {
		return out
	}
	if !l.ready {
		more := p.takeOver(now, server, l)
		if out = append(out, more...); !l.ready {
			return out
		}
	}
	allowance, _ := p.allowance(server, l)
	for free := allowance - len(l.outstanding); free > 0 && len(l.waiting) > 0; free = allowance - len(l.outstanding) {
		w := l.waiting[0]
		l.waiting = l.waiting[1:]
		count := min(uint64(free), w.count, maxGrant)
		for i := range count {
			l.outstanding[IssuedPermit{w.to, w.seq<<8 | i}] = now.Add(permitLifetime)
		}
		out = append(out, p.send(now, w.to.Node, Grant{Server: server, Seq: w.seq, Count: count})...)
	}
	p.dirty = true
	return out
}

// allowance doubles with each full round of good completions; the second result says that the warm limit is reached.
func (p *Permits) allowance(server id.Server, l *issuer) (int, bool) {
	limits := p.limits[p.servers[server].Pool]
	total := 0
	for _, n := range l.completions {
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

// declareWarm declares the server warm once the evidence is complete.
func (p *Permits) declareWarm(now time.Time, server id.Server, l *issuer) []event.Action {
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
func (p *Permits) takeOver(now time.Time, server id.Server, l *issuer) []event.Action {
	l.since = p.issuingSince[server]
	if p.noQuery || !now.Before(l.since.Add(permitLifetime+maxViewLag)) {
		l.ready = true
		return nil
	}
	var out []event.Action
	if l.querySeq == 0 {
		l.querySeq = p.self.Rand.Uint64() | 1
		l.nextQuery = now.Add(queryInterval)
		l.answered, l.departed, l.established = map[Process]bool{p.thisProcess(): true}, map[Process]bool{}, false
		out = p.sendQuery(server, l)
	}
	l.ready = p.takeoverComplete(now, l)
	return out
}

func (p *Permits) sendQuery(server id.Server, l *issuer) []event.Action {
	var out []event.Action
	for _, n := range p.view.Nodes {
		if !l.answered[Process{n.ID, n.Incarnation}] {
			out = append(out, event.Send{To: n.ID, Body: Query{Server: server, Seq: l.querySeq}})
		}
	}
	return out
}

// takeoverComplete reports whether all processes that may hold a permit have answered, and a process that is older than any
// permit vouches that there are no others.
func (p *Permits) takeoverComplete(now time.Time, l *issuer) bool {
	if !l.established && now.Sub(p.startedAt) < permitLifetime {
		return false
	}
	for _, n := range p.view.Nodes {
		if !l.answered[Process{n.ID, n.Incarnation}] {
			return false
		}
	}
	for gone, at := range p.departed {
		if now.Sub(at) < permitLifetime && !l.answered[gone] {
			return false
		}
	}
	for gone := range l.departed {
		if !l.answered[gone] {
			return false
		}
	}
	return true
}

// handleQuery answers a new holder.
func (p *Permits) handleQuery(now time.Time, from Process, q Query) []event.Action {
	p.dirty = true
	h := Holding{Server: q.Server, Seq: q.Seq, View: p.viewDigest, Adult: now.Sub(p.startedAt) >= permitLifetime}
	if s, ok := p.states[q.Server]; ok && s.Start != "" {
		h.States = []State{s}
	}
	for gone, at := range p.departed {
		if now.Sub(at) < permitLifetime {
			h.Departed = append(h.Departed, gone)
		}
	}
	slices.SortFunc(h.Departed, func(a, b Process) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	if l, ok := p.issuers[q.Server]; ok {
		for loan, until := range l.outstanding {
			if now.Before(until) {
				h.Lent = append(h.Lent, loan)
			}
		}
		slices.SortFunc(h.Lent, func(a, b IssuedPermit) int {
			return cmp.Or(cmp.Compare(a.To.Incarnation, b.To.Incarnation), cmp.Compare(a.Number, b.Number))
		})
		l.ready, l.querySeq = false, 0
	}
	if _, held := p.issuingSince[q.Server]; held {
		p.issuingSince[q.Server] = now // the other one may lend from now on
	}
	b := p.requester(q.Server)
	b.pending = false
	b.nextAsk = now.Add(queryInterval)
	s := p.state(q.Server)
	s.Server = q.Server
	h.Need = b.needMessage(s)
	return []event.Action{event.Send{To: from.Node, Body: h}}
}

// handleHolding takes in an answer to the own question.
func (p *Permits) handleHolding(now time.Time, from Process, h Holding) []event.Action {
	l, ok := p.issuers[h.Server]
	if !ok || l.querySeq == 0 || l.querySeq != h.Seq {
		return nil
	}
	var out []event.Action
	for _, s := range h.States {
		out = append(out, p.handleState(now, s)...)
	}
	l.reconcile(from, h.Need)
	for _, number := range h.Need.Held {
		l.outstanding[IssuedPermit{from, number}] = now.Add(permitLifetime)
	}
	for _, loan := range h.Lent {
		if _, known := l.outstanding[loan]; !known && loan.Number>>8 > l.closedSeq[loan.To] {
			l.outstanding[loan] = now.Add(permitLifetime)
		}
	}
	if s := p.state(h.Server); h.Need.Start == s.Start && h.Need.Gen == s.Gen {
		l.completions[from] = max(l.completions[from], h.Need.Done)
	}
	for _, gone := range h.Departed {
		l.departed[gone] = true
	}
	if h.View == p.viewDigest {
		l.answered[from] = true
		l.established = l.established || h.Adult
	}
	p.dirty = true
	return append(out, p.grant(now, h.Server)...)
}

func (l *issuer) timers() []time.Time {
	var out []time.Time
	if len(l.waiting) == 0 {
		return nil
	}
	out = append(out, l.waiting[0].expires)
	if !l.ready && l.querySeq != 0 {
		out = append(out, l.nextQuery)
	}
	for _, until := range l.outstanding {
		out = append(out, until)
	}
	return out
}

func (p *Permits) issuerDue(now time.Time, server id.Server, l *issuer) []event.Action {
	var out []event.Action
	if _, held := p.issuingSince[server]; held && !l.ready && l.querySeq != 0 && !now.Before(l.nextQuery) {
		l.nextQuery = now.Add(queryInterval)
		out = p.sendQuery(server, l)
	}
	return append(out, p.grant(now, server)...)
}
