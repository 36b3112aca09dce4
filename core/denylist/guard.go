package denylist

import (
	"fmt"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

const (
	// maxEnded bounds the ended processes that are remembered for reports that arrive late.
	maxEnded = 256
	// refusalSenders is how many nodes tell a newly connected one of a refused key. Some of them may have started lately
	// themselves and not know it.
	refusalSenders = 3
)

// Guard counts the processes that ended under each key, and refuses requests with a key under which too many did. A key
// identifies a request by its content, or a part of a prompt that several requests share.
type Guard struct {
	self      event.Self
	nodes     []id.Node
	records   records
	responses responses
	ended     []Process // oldest first
	refusals  int       // how often a key has become refused
}

// New returns a guard without records.
func New(self event.Self) *Guard {
	return &Guard{
		self: self, records: records{byKey: map[id.Fingerprint]*record{}},
		responses: responses{keys: id.NewSet[id.Fingerprint]()},
	}
}

// SetNodes sets the nodes that share their observations.
func (g *Guard) SetNodes(names []id.Node) { g.nodes = names }

// Next returns zero, for no timer.
func (g *Guard) Next() time.Time { return time.Time{} }

// Step handles one event.
func (g *Guard) Step(now time.Time, ev event.Event) []event.Action {
	switch ev := ev.(type) {
	case fleet.ServerChanged:
		if ev.Restarted {
			return g.serverEnded(now, ev.Server.ID, ev.Server.Start)
		}
	case fleet.ServerRemoved:
		return g.serverEnded(now, ev.Server.ID, "")
	case event.PeerLink:
		if ev.Up {
			return g.tellRefusals(now, ev.Peer)
		}
	case event.Receive:
		return g.handleMessage(now, ev)
	}
	return nil
}

// tellRefusals tells a node that has started or was unreachable which keys are refused.
func (g *Guard) tellRefusals(now time.Time, peer id.Node) []event.Action {
	var out []event.Action
	for _, key := range g.refusedKeys(now, g.records.order) {
		if g.rank(key) < refusalSenders {
			out = append(out, event.Send{To: peer, Body: g.refusalOf(now, key)})
		}
	}
	return out
}

func (g *Guard) handleMessage(now time.Time, ev event.Receive) []event.Action {
	switch m := ev.Body.(type) {
	case Broken:
		return g.handleBroken(now, ev.From, m)
	case Ended:
		return g.processEnded(now, m.Process)
	case Responded:
		g.responses.add(toFingerprints(m.Keys))
		g.clear(toFingerprints(m.Keys))
	case Trial:
		g.scheduleTrials(now, toFingerprints(m.Keys))
	case Refused:
		g.adopt(now, m)
	case Crash:
		p := Process{m.Server, m.Start}
		_, out := g.suspect(now, []id.Fingerprint{id.Fingerprint(m.Fingerprint)}, p)
		return append(out, g.processEnded(now, p)...)
	}
	return nil
}

// handleBroken records a broken attempt of another node. If this node refuses one of its keys, the other does not know it.
func (g *Guard) handleBroken(now time.Time, from id.Node, m Broken) []event.Action {
	keys := toFingerprints(m.Keys)
	var out []event.Action
	for _, key := range g.refusedKeys(now, keys) {
		out = append(out, event.Send{To: from, Body: g.refusalOf(now, key)})
	}
	_, counted := g.suspect(now, keys, m.Process)
	return append(out, counted...)
}

// RecordBroken records that an attempt with some keys broke off without a response at a process of a server, and reports it
// to the other nodes.
func (g *Guard) RecordBroken(now time.Time, keys []id.Fingerprint, p Process) []event.Action {
	if p.check() != nil {
		return nil
	}
	unreported, out := g.suspect(now, keys, p)
	for chunk := range slices.Chunk(unreported, maxKeys) {
		out = append(out, g.broadcast(Broken{p, toNumbers(chunk)})...)
	}
	return out
}

// RecordRefusedConn records that a server refused a connection: if attempts have broken off at this process, it has ended.
func (g *Guard) RecordRefusedConn(now time.Time, p Process) []event.Action {
	if g.HasEnded(p) || !slices.Contains(g.suspectedProcesses(p.Server), p) {
		return nil
	}
	return append(g.processEnded(now, p), g.broadcast(Ended{p})...)
}

// RecordResponse records that a server has answered a request with some keys without a crash, which clears the keys on all
// nodes. A server that a key crashes never does, while a key that many requests share is often in progress when a server ends.
func (g *Guard) RecordResponse(keys []id.Fingerprint) []event.Action {
	g.responses.add(keys)
	var out []event.Action
	for chunk := range slices.Chunk(g.clear(keys), maxKeys) {
		out = append(out, g.broadcast(Responded{toNumbers(chunk)})...)
	}
	return out
}

// RefusedFor returns how much longer requests with some keys are refused, and one of the keys for which they are. It
// returns 0 if they are not refused.
func (g *Guard) RefusedFor(now time.Time, keys []id.Fingerprint) (time.Duration, id.Fingerprint) {
	refused := g.refusedKeys(now, keys)
	if len(refused) == 0 {
		return 0, 0
	}
	return g.records.byKey[refused[0]].refusedFor(now), refused[0]
}

// Refusals returns how often a key has become refused.
func (g *Guard) Refusals() int { return g.refusals }

// broadcast sends a message to all other nodes.
func (g *Guard) broadcast(body event.Body) []event.Action {
	var out []event.Action
	for _, name := range g.nodes {
		if name != g.self.Node {
			out = append(out, event.Send{To: name, Body: body})
		}
	}
	return out
}

// suspect adds a process to the records of some keys, and returns the keys for which it is new. If one of the keys is
// refused, that explains the broken attempt, and the others are not suspected.
func (g *Guard) suspect(now time.Time, keys []id.Fingerprint, p Process) ([]id.Fingerprint, []event.Action) {
	if refused := g.refusedKeys(now, keys); len(refused) > 0 {
		keys = refused
	}
	var added []id.Fingerprint
	var out []event.Action
	for _, key := range keys {
		r := g.records.open(key)
		if !r.add(now, p) {
			continue
		}
		added = append(added, key)
		if g.HasEnded(p) {
			out = append(out, g.countCrash(now, key, p)...)
		}
	}
	return added, out
}

// serverEnded counts the crashes of all processes of a server but the running one.
func (g *Guard) serverEnded(now time.Time, server id.Server, running id.Start) []event.Action {
	var out []event.Action
	for _, p := range g.suspectedProcesses(server) {
		if running == "" || p.Start != running {
			out = append(out, g.processEnded(now, p)...)
		}
	}
	return out
}

// suspectedProcesses returns the processes of a server that are in records.
func (g *Guard) suspectedProcesses(server id.Server) []Process {
	var out []Process
	for _, key := range g.records.order {
		for _, s := range g.records.byKey[key].suspicions {
			if s.process.Server == server && !slices.Contains(out, s.process) {
				out = append(out, s.process)
			}
		}
	}
	return out
}

// HasEnded reports whether a process is known to have ended.
func (g *Guard) HasEnded(p Process) bool { return slices.Contains(g.ended, p) }

// processEnded counts a crash against all keys of the attempts that broke off at a process within crashWindow before.
func (g *Guard) processEnded(now time.Time, p Process) []event.Action {
	if !g.HasEnded(p) {
		if len(g.ended) == maxEnded {
			g.ended = g.ended[1:]
		}
		g.ended = append(g.ended, p)
	}
	var out []event.Action
	for _, key := range g.records.order {
		g.records.byKey[key].expire(now)
		out = append(out, g.countCrash(now, key, p)...)
	}
	return out
}

// countCrash counts a crash of a process against a key; each process counts once.
func (g *Guard) countCrash(now time.Time, key id.Fingerprint, p Process) []event.Action {
	r := g.records.byKey[key]
	i := r.index(p)
	if i < 0 || r.suspicions[i].crashed {
		return nil
	}
	r.suspicions[i].crashed = true
	r.lastCrash = now
	threshold := crashThreshold
	if g.responses.keys.Has(key) {
		threshold = respondedThreshold
	}
	crashes := r.crashes()
	choice := "count"
	if crashes >= threshold && !r.refused {
		r.refuse(now)
		g.refusals++
		choice = "refuse"
	}
	return []event.Action{event.Log{Kind: "crash", Stage: string(p.Server), Choice: choice, Reason: fmt.Sprintf(
		"print=%016x start=%s crashes=%d of=%d", uint64(key), p.Start, crashes, threshold)}}
}

// clear removes the records of keys and returns those that had one.
func (g *Guard) clear(keys []id.Fingerprint) []id.Fingerprint {
	var cleared []id.Fingerprint
	for _, key := range keys {
		if g.records.remove(key) {
			cleared = append(cleared, key)
		}
	}
	return cleared
}

func toFingerprints(numbers []uint64) []id.Fingerprint {
	out := make([]id.Fingerprint, len(numbers))
	for i, n := range numbers {
		out[i] = id.Fingerprint(n)
	}
	return out
}

func toNumbers(keys []id.Fingerprint) []uint64 {
	out := make([]uint64, len(keys))
	for i, key := range keys {
		out[i] = uint64(key)
	}
	return out
}
