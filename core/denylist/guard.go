package denylist

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

const (
	// crashThreshold is how many processes must end under a key before it is refused. An innocent key is rarely in progress
	// at three processes that end, without a response meanwhile.
	crashThreshold = 3
	// refusalDuration is how long a key is refused after its last crash.
	refusalDuration = 10 * time.Minute
	// crashWindow is the time after a broken attempt in which the end of the server's process counts against its keys.
	crashWindow = 10 * time.Second
	// firstTrialDelay is how long a refused key waits for its first trial. The delay doubles with each trial, because each
	// may cost a server.
	firstTrialDelay = 10 * time.Second
	// maxRecords bounds the keys that are kept; the oldest are dropped.
	maxRecords = 4096
	// maxEnded bounds the ended processes that are remembered for reports that arrive late.
	maxEnded = 256
)

// Guard counts the processes that ended under each key, and refuses requests with a key under which too many did. A key
// identifies a request by its content, or a part of a prompt that several requests share.
type Guard struct {
	self    event.Self
	nodes   []id.Node
	records map[id.Fingerprint]*record
	order   []id.Fingerprint // keys of records, oldest first
	ended   []ending         // oldest first
}

// record holds the processes at which attempts with a key broke off since the last response to one.
type record struct {
	suspicions []suspicion
	lastCrash  time.Time
	refused    bool
	trialAt    time.Time     // when a request may be tried again
	trialDelay time.Duration // until the trial after that
}

type suspicion struct {
	process Process
	at      time.Time // when the attempt broke off
	crashed bool      // the process has ended
}

type ending struct {
	process Process
	at      time.Time
}

// New returns a guard without records.
func New(self event.Self) *Guard {
	return &Guard{self: self, records: map[id.Fingerprint]*record{}}
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
			return g.serverEnded(now, ev.Server.ID)
		}
	case fleet.ServerRemoved:
		return g.serverEnded(now, ev.Server.ID)
	case event.Receive:
		return g.handleMessage(now, ev.Body)
	}
	return nil
}

func (g *Guard) handleMessage(now time.Time, body event.Body) []event.Action {
	switch m := body.(type) {
	case Broken:
		_, out := g.suspect(now, toFingerprints(m.Keys), m.Process)
		return out
	case Ended:
		return g.processEnded(now, m.Process)
	case Responded:
		g.clear(toFingerprints(m.Keys))
	case Crash:
		p := Process{m.Server, m.Start}
		_, out := g.suspect(now, []id.Fingerprint{id.Fingerprint(m.Fingerprint)}, p)
		return append(out, g.processEnded(now, p)...)
	}
	return nil
}

// RecordBroken records that an attempt with some keys broke off at a process of a server, and reports it to the other nodes.
func (g *Guard) RecordBroken(now time.Time, keys []id.Fingerprint, p Process) []event.Action {
	unreported, out := g.suspect(now, keys, p)
	for chunk := range slices.Chunk(unreported, maxKeys) {
		out = append(out, g.broadcast(Broken{p, toNumbers(chunk)})...)
	}
	return out
}

// RecordRefusedConn records that a server refused a connection: if attempts have broken off at this process, it has ended.
func (g *Guard) RecordRefusedConn(now time.Time, p Process) []event.Action {
	if g.hasEnded(p) || !g.suspected(p) {
		return nil
	}
	return append(g.processEnded(now, p), g.broadcast(Ended{p})...)
}

// RecordResponse records that a request with some keys got a complete response, which clears the keys on all nodes. A key that
// crashes servers never gets one, while one that many requests share is often in progress when a server ends.
func (g *Guard) RecordResponse(keys []id.Fingerprint) []event.Action {
	var out []event.Action
	for chunk := range slices.Chunk(g.clear(keys), maxKeys) {
		out = append(out, g.broadcast(Responded{toNumbers(chunk)})...)
	}
	return out
}

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

// suspect adds a process to the records of some keys, and returns the keys for which it is new.
func (g *Guard) suspect(now time.Time, keys []id.Fingerprint, p Process) ([]id.Fingerprint, []event.Action) {
	var added []id.Fingerprint
	var out []event.Action
	for _, key := range keys {
		r := g.openRecord(key)
		r.expire(now)
		if slices.ContainsFunc(r.suspicions, func(s suspicion) bool { return s.process == p }) {
			continue
		}
		added = append(added, key)
		r.suspicions = append(r.suspicions, suspicion{process: p, at: now})
		if g.hasEnded(p) {
			out = append(out, g.countCrash(now, key, r, p)...)
		}
	}
	return added, out
}

// expire removes the processes that have not ended within crashWindow.
func (r *record) expire(now time.Time) {
	r.suspicions = slices.DeleteFunc(r.suspicions, func(s suspicion) bool { return !s.crashed && now.Sub(s.at) > crashWindow })
}

// openRecord returns the record of a key. It drops the oldest one if the limit is reached.
func (g *Guard) openRecord(key id.Fingerprint) *record {
	r := g.records[key]
	if r != nil {
		return r
	}
	if len(g.order) >= maxRecords {
		delete(g.records, g.order[0])
		g.order = g.order[1:]
	}
	r = &record{trialDelay: firstTrialDelay}
	g.records[key] = r
	g.order = append(g.order, key)
	return r
}

// serverEnded counts the crashes of all processes of a server.
func (g *Guard) serverEnded(now time.Time, server id.Server) []event.Action {
	var out []event.Action
	for _, p := range g.suspectedProcesses(server) {
		out = append(out, g.processEnded(now, p)...)
	}
	return out
}

// suspectedProcesses returns the processes of a server that are in records.
func (g *Guard) suspectedProcesses(server id.Server) []Process {
	var out []Process
	for _, key := range g.order {
		for _, s := range g.records[key].suspicions {
			if s.process.Server == server && !slices.Contains(out, s.process) {
				out = append(out, s.process)
			}
		}
	}
	return out
}

// suspected reports whether an attempt has broken off at a process.
func (g *Guard) suspected(p Process) bool {
	return slices.Contains(g.suspectedProcesses(p.Server), p)
}

// hasEnded reports whether a process is known to have ended.
func (g *Guard) hasEnded(p Process) bool {
	return slices.ContainsFunc(g.ended, func(e ending) bool { return e.process == p })
}

// processEnded counts a crash against all keys of the attempts that broke off at a process within crashWindow before.
func (g *Guard) processEnded(now time.Time, p Process) []event.Action {
	if !g.hasEnded(p) {
		if len(g.ended) == maxEnded {
			g.ended = g.ended[1:]
		}
		g.ended = append(g.ended, ending{p, now})
	}
	var out []event.Action
	for _, key := range g.order {
		r := g.records[key]
		r.expire(now)
		out = append(out, g.countCrash(now, key, r, p)...)
	}
	return out
}

// countCrash counts a crash of a process against a key; each process counts once.
func (g *Guard) countCrash(now time.Time, key id.Fingerprint, r *record, p Process) []event.Action {
	i := slices.IndexFunc(r.suspicions, func(s suspicion) bool { return s.process == p })
	if i < 0 || r.suspicions[i].crashed {
		return nil
	}
	r.suspicions[i].crashed = true
	r.lastCrash = now
	crashes := r.crashes()
	if crashes >= crashThreshold && !r.refused {
		r.refused = true
		r.trialAt = now.Add(r.trialDelay)
		r.trialDelay *= 2
	}
	return []event.Action{event.Log{Kind: "crash", Stage: string(p.Server), Choice: "count", Reason: fmt.Sprintf(
		"print=%016x start=%s crashes=%d of=%d", uint64(key), p.Start, crashes, crashThreshold)}}
}

// crashes returns how many processes have ended under the key.
func (r *record) crashes() int {
	count := 0
	for _, s := range r.suspicions {
		if s.crashed {
			count++
		}
	}
	return count
}

// clear removes the records of keys and returns those that had one.
func (g *Guard) clear(keys []id.Fingerprint) []id.Fingerprint {
	var cleared []id.Fingerprint
	for _, key := range keys {
		if _, ok := g.records[key]; !ok {
			continue
		}
		cleared = append(cleared, key)
		delete(g.records, key)
		g.order = slices.DeleteFunc(g.order, func(other id.Fingerprint) bool { return other == key })
	}
	return cleared
}

// RefusedFor returns how much longer requests with some keys are refused, and one of the keys for which they are. It
// returns 0 if they are not refused.
func (g *Guard) RefusedFor(now time.Time, keys []id.Fingerprint) (time.Duration, id.Fingerprint) {
	for _, key := range keys {
		r := g.records[key]
		if r == nil || !r.refused {
			continue
		}
		if left := r.lastCrash.Add(refusalDuration).Sub(now); left > 0 {
			return left, key
		}
	}
	return 0, 0
}

// TakeTrial reports whether a refused request may be sent once, to learn whether its keys still crash servers. Only one
// node tries a key, so that a trial costs at most one server.
func (g *Guard) TakeTrial(now time.Time, keys []id.Fingerprint) bool {
	for _, key := range keys {
		r := g.records[key]
		if r == nil || !r.refused {
			continue
		}
		if now.Before(r.trialAt) || g.tester(key) != g.self.Node {
			return false
		}
	}
	for _, key := range keys {
		if r := g.records[key]; r != nil && r.refused {
			r.trialAt = now.Add(r.trialDelay)
			r.trialDelay *= 2
		}
	}
	return true
}

// tester returns the node that tries a key: the first in a rendezvous order.
func (g *Guard) tester(key id.Fingerprint) id.Node {
	var first id.Node
	lowest := uint64(0)
	for _, name := range g.nodes {
		hash := xxhash.Sum64String(fmt.Sprintf("%016x %s", uint64(key), name))
		if first == "" || hash < lowest {
			first, lowest = name, hash
		}
	}
	return first
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
