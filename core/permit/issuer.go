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

// issuer is the issuing side of the protocol for one server.
type issuer struct {
	since       time.Time                  // when this node became the issuer or had to start over
	ready       bool                       // the takeover is complete, so that permits may be issued
	querySeq    uint64                     // number of the current query to all nodes, 0 for none
	nextQuery   time.Time                  // when the query is repeated to nodes that have not answered
	answered    map[Process]bool           // processes that answered the current query
	departed    map[Process]bool           // processes that other nodes report as departed
	established bool                       // a process that has run for at least permitLifetime has answered
	outstanding map[IssuedPermit]time.Time // when each permit expires
	lastSeq     map[Process]uint64         // latest request of each process
	closedSeq   map[Process]uint64         // up to this request, each process accepts no more grants
	waiting     []waiter                   // oldest request first
	completions map[Process]uint64         // good completions per process for the current start and generation
}

// waiter is a request for permits that has not been granted yet.
type waiter struct {
	to      Process
	seq     uint64
	count   uint64
	expires time.Time
}

// viewChanged records which processes left and updates the servers that this node issues permits for.
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

// updateRole starts or stops issuing permits of a server as the view requires.
func (p *Permits) updateRole(now time.Time, s member.Server) {
	if s.FailureDomain != p.self.FailureDomain {
		return
	}
	to, ok := p.issuerOf(s.ID)
	_, issuing := p.issuingSince[s.ID]
	switch {
	case ok && to == p.self.Node && !issuing:
		p.issuingSince[s.ID] = now
	case issuing && (!ok || to != p.self.Node):
		// Outstanding permits stay recorded because the next issuer queries them.
		delete(p.issuingSince, s.ID)
		if iss, found := p.issuers[s.ID]; found {
			iss.ready, iss.querySeq, iss.waiting = false, 0, nil
		}
	}
}

// leaseRenewed extends the time during which this node may issue permits. If the lease had lapsed, another node may
// have issued permits meanwhile, so every takeover starts over.
func (p *Permits) leaseRenewed(now, until time.Time) []event.Action {
	if !now.Before(p.leaseUntil) {
		for server := range p.issuingSince {
			p.issuingSince[server] = now
			if iss, ok := p.issuers[server]; ok {
				iss.ready, iss.querySeq = false, 0
			}
		}
	}
	p.leaseUntil = until
	p.dirty = true
	return p.grantAll(now)
}

// issuer returns the issuing state of a server and creates it if necessary.
func (p *Permits) issuer(server id.Server) *issuer {
	iss, ok := p.issuers[server]
	if !ok {
		iss = &issuer{outstanding: map[IssuedPermit]time.Time{}, lastSeq: map[Process]uint64{}, closedSeq: map[Process]uint64{}, completions: map[Process]uint64{}}
		p.issuers[server] = iss
	}
	iss.since = p.issuingSince[server]
	return iss
}

// handleNeed records which permits a node still uses and queues its request, if any.
func (p *Permits) handleNeed(now time.Time, from Process, n Need) []event.Action {
	p.dirty = true
	if _, issuing := p.issuingSince[n.Server]; !issuing {
		return nil
	}
	iss := p.issuer(n.Server)
	iss.reconcile(from, n)
	s := p.state(n.Server)
	if n.Start == s.Start && n.Gen == s.Gen {
		iss.completions[from] = max(iss.completions[from], n.Done)
	}
	if n.Seq > iss.lastSeq[from] && n.Start == s.Start {
		iss.lastSeq[from] = n.Seq
		iss.waiting = slices.DeleteFunc(iss.waiting, func(w waiter) bool { return w.to == from })
		iss.waiting = append(iss.waiting, waiter{from, n.Seq, n.Count, now.Add(requestInterval)})
	}
	var out []event.Action
	if n.Start == s.Start && s.newer(State{Gen: n.Gen}) && from != p.thisProcess() {
		out = append(out, event.Send{To: from.Node, Body: s})
	}
	return append(out, p.grant(now, n.Server)...)
}

// reconcile removes the permits of closed requests that the process no longer holds.
func (iss *issuer) reconcile(from Process, n Need) {
	iss.closedSeq[from] = max(iss.closedSeq[from], n.Closed)
	for issued := range iss.outstanding {
		if issued.To == from && issued.Number>>8 <= n.Closed && !slices.Contains(n.Held, issued.Number) {
			delete(iss.outstanding, issued)
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

// grant issues permits for a server up to its allowance, oldest request first.
func (p *Permits) grant(now time.Time, server id.Server) []event.Action {
	iss, ok := p.issuers[server]
	if _, issuing := p.issuingSince[server]; !issuing || !ok {
		return nil
	}
	for issued, expires := range iss.outstanding {
		if !now.Before(expires) {
			delete(iss.outstanding, issued)
		}
	}
	out := p.declareWarm(now, server, iss)
	iss.waiting = slices.DeleteFunc(iss.waiting, func(w waiter) bool { return !now.Before(w.expires) })
	if len(iss.waiting) == 0 || p.state(server).Warm || !now.Before(p.leaseUntil) {
		return out
	}
	if !iss.ready {
		more := p.takeOver(now, server, iss)
		if out = append(out, more...); !iss.ready {
			return out
		}
	}
	allowance, _ := p.allowance(server, iss)
	for free := allowance - len(iss.outstanding); free > 0 && len(iss.waiting) > 0; free = allowance - len(iss.outstanding) {
		w := iss.waiting[0]
		iss.waiting = iss.waiting[1:]
		count := min(uint64(free), w.count, maxGrant)
		for i := range count {
			iss.outstanding[IssuedPermit{w.to, w.seq<<8 | i}] = now.Add(permitLifetime)
		}
		out = append(out, p.send(now, w.to.Node, Grant{Server: server, Seq: w.seq, Count: count})...)
	}
	p.dirty = true
	return out
}

// allowance returns how many permits may be outstanding, and whether the warm limit is reached.
func (p *Permits) allowance(server id.Server, iss *issuer) (int, bool) {
	limits := p.limits[p.servers[server].Pool]
	total := 0
	for _, n := range iss.completions {
		total += int(n)
	}
	return Allowance(limits, total)
}

// Allowance returns how many attempts in flight a server can handle after the given number of good completions, and
// whether it is warm. The allowance starts at the cold limit and doubles each time that as many attempts as it allows
// have completed.
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

// declareWarm declares the server warm once enough attempts have completed well.
func (p *Permits) declareWarm(now time.Time, server id.Server, iss *issuer) []event.Action {
	s := p.state(server)
	if _, warm := p.allowance(server, iss); !warm || s.Warm || s.Start == "" {
		return nil
	}
	s.Warm = true
	p.setState(s)
	return append(p.announce(now, s), Ready{Server: server})
}

// takeOver makes a new issuer ready: as soon as every process that may hold a permit has answered its query, or once
// all permits of earlier issuers must have expired.
func (p *Permits) takeOver(now time.Time, server id.Server, iss *issuer) []event.Action {
	iss.since = p.issuingSince[server]
	if p.noQuery || !now.Before(iss.since.Add(permitLifetime+maxViewLag)) {
		iss.ready = true
		return nil
	}
	var out []event.Action
	if iss.querySeq == 0 {
		iss.querySeq = p.self.Rand.Uint64() | 1
		iss.nextQuery = now.Add(queryInterval)
		iss.answered, iss.departed, iss.established = map[Process]bool{p.thisProcess(): true}, map[Process]bool{}, false
		out = p.sendQuery(server, iss)
	}
	iss.ready = p.takeoverComplete(now, iss)
	return out
}

// sendQuery sends the current query to all nodes that have not answered it.
func (p *Permits) sendQuery(server id.Server, iss *issuer) []event.Action {
	var out []event.Action
	for _, n := range p.view.Nodes {
		if !iss.answered[Process{n.ID, n.Incarnation}] {
			out = append(out, event.Send{To: n.ID, Body: Query{Server: server, Seq: iss.querySeq}})
		}
	}
	return out
}

// takeoverComplete reports whether all processes that may hold a permit have answered. One of them, or this process,
// must have run for at least permitLifetime: a younger one does not know all processes that departed within that time.
func (p *Permits) takeoverComplete(now time.Time, iss *issuer) bool {
	if !iss.established && now.Sub(p.startedAt) < permitLifetime {
		return false
	}
	for _, n := range p.view.Nodes {
		if !iss.answered[Process{n.ID, n.Incarnation}] {
			return false
		}
	}
	for process, at := range p.departed {
		if now.Sub(at) < permitLifetime && !iss.answered[process] {
			return false
		}
	}
	for process := range iss.departed {
		if !iss.answered[process] {
			return false
		}
	}
	return true
}

// handleQuery answers the query of a new issuer.
func (p *Permits) handleQuery(now time.Time, from Process, q Query) []event.Action {
	p.dirty = true
	h := Holding{Server: q.Server, Seq: q.Seq, View: p.viewDigest, Adult: now.Sub(p.startedAt) >= permitLifetime}
	if s, ok := p.states[q.Server]; ok && s.Start != "" {
		h.States = []State{s}
	}
	for process, at := range p.departed {
		if now.Sub(at) < permitLifetime {
			h.Departed = append(h.Departed, process)
		}
	}
	slices.SortFunc(h.Departed, func(a, b Process) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	if iss, ok := p.issuers[q.Server]; ok {
		for issued, expires := range iss.outstanding {
			if now.Before(expires) {
				h.Lent = append(h.Lent, issued)
			}
		}
		slices.SortFunc(h.Lent, func(a, b IssuedPermit) int {
			return cmp.Or(cmp.Compare(a.To.Incarnation, b.To.Incarnation), cmp.Compare(a.Number, b.Number))
		})
		iss.ready, iss.querySeq = false, 0
	}
	if _, issuing := p.issuingSince[q.Server]; issuing {
		p.issuingSince[q.Server] = now // the querying node may issue permits from now on
	}
	r := p.requester(q.Server)
	r.pending = false
	r.nextRequest = now.Add(queryInterval)
	s := p.state(q.Server)
	s.Server = q.Server
	h.Need = r.needMessage(s)
	return []event.Action{event.Send{To: from.Node, Body: h}}
}

// handleHolding records an answer to this node's query.
func (p *Permits) handleHolding(now time.Time, from Process, h Holding) []event.Action {
	iss, ok := p.issuers[h.Server]
	if !ok || iss.querySeq == 0 || iss.querySeq != h.Seq {
		return nil
	}
	var out []event.Action
	for _, s := range h.States {
		out = append(out, p.handleState(now, s)...)
	}
	iss.reconcile(from, h.Need)
	for _, number := range h.Need.Held {
		iss.outstanding[IssuedPermit{from, number}] = now.Add(permitLifetime)
	}
	for _, issued := range h.Lent {
		if _, known := iss.outstanding[issued]; !known && issued.Number>>8 > iss.closedSeq[issued.To] {
			iss.outstanding[issued] = now.Add(permitLifetime)
		}
	}
	if s := p.state(h.Server); h.Need.Start == s.Start && h.Need.Gen == s.Gen {
		iss.completions[from] = max(iss.completions[from], h.Need.Done)
	}
	for _, process := range h.Departed {
		iss.departed[process] = true
	}
	if h.View == p.viewDigest {
		iss.answered[from] = true
		iss.established = iss.established || h.Adult
	}
	p.dirty = true
	return append(out, p.grant(now, h.Server)...)
}

// timers returns the times at which the issuer needs attention.
func (iss *issuer) timers() []time.Time {
	var out []time.Time
	if len(iss.waiting) == 0 {
		return nil
	}
	out = append(out, iss.waiting[0].expires)
	if !iss.ready && iss.querySeq != 0 {
		out = append(out, iss.nextQuery)
	}
	for _, expires := range iss.outstanding {
		out = append(out, expires)
	}
	return out
}

// issuerDue repeats the query if it is due, drops expired permits and requests, and grants what is possible.
func (p *Permits) issuerDue(now time.Time, server id.Server, iss *issuer) []event.Action {
	var out []event.Action
	if _, issuing := p.issuingSince[server]; issuing && !iss.ready && iss.querySeq != 0 && !now.Before(iss.nextQuery) {
		iss.nextQuery = now.Add(queryInterval)
		out = p.sendQuery(server, iss)
	}
	return append(out, p.grant(now, server)...)
}
