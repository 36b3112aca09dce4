package denylist

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
)

const (
	// crashThreshold is how many processes a request must have crashed. Requests that only happened to be there when a process
	// ended rarely meet that three times.
	crashThreshold = 3
	// banDuration is how long a request is refused after its last crash.
	banDuration = 10 * time.Minute
	// blameWindow is how long after an attempt broke off the end of its server counts against the request.
	blameWindow = 10 * time.Second
	// maxRecords and maxBroken bound the requests and the attempts that are remembered; the oldest ones are dropped.
	maxRecords        = 4096
	maxBrokenAttempts = 1024
	maxNameLength     = 256
)

// Crash tells other nodes that a request has crashed a process of a server.
type Crash struct {
	Fingerprint uint64    `protobuf:"varint,1,opt,name=print"`
	Server      id.Server `protobuf:"bytes,2,opt,name=server"`
	Start       id.Start  `protobuf:"bytes,3,opt,name=start"`
}

// Check reports a malformed message.
func (c Crash) Check() error {
	if c.Server == "" || len(c.Server) > maxNameLength || len(c.Start) > maxNameLength {
		return errors.New("crash: bad server")
	}
	return nil
}

// Guard counts the crashes of requests.
type Guard struct {
	self           event.Self
	nodes          []id.Node
	brokenAttempts []attempt // oldest first
	records        map[id.Fingerprint]*crashRecord
	order          []id.Fingerprint // in the order of their first crash
}

// attempt is one that broke off without an answer.
type attempt struct {
	Crash
	at time.Time
}

// crashRecord is what a request has done.
type crashRecord struct {
	processes []process
	last      time.Time
}

type process struct {
	server id.Server
	start  id.Start
}

// New returns a guard that has seen nothing.
func New(self event.Self) *Guard {
	return &Guard{self: self, records: map[id.Fingerprint]*crashRecord{}}
}

// SetNodes sets the nodes that are told of crashes.
func (g *Guard) SetNodes(names []id.Node) { g.nodes = names }

// Next returns no time.
func (g *Guard) Next() time.Time { return time.Time{} }

// Step handles one event.
func (g *Guard) Step(now time.Time, ev event.Event) []event.Action {
	switch ev := ev.(type) {
	case fleet.ServerChanged:
		if ev.Restarted {
			return g.processEnded(now, ev.Server.ID)
		}
	case fleet.ServerRemoved:
		return g.processEnded(now, ev.Server.ID)
	case event.Receive:
		if c, ok := ev.Body.(Crash); ok {
			return g.recordCrash(now, c)
		}
	}
	return nil
}

// RecordBroken notes that an attempt of a request broke off without an answer at a process of a server.
func (g *Guard) RecordBroken(now time.Time, print id.Fingerprint, server id.Server, start id.Start) {
	if len(g.brokenAttempts) == maxBrokenAttempts {
		g.brokenAttempts = g.brokenAttempts[1:]
	}
	g.brokenAttempts = append(g.brokenAttempts, attempt{Crash{uint64(print), server, start}, now})
}

// processEnded counts the attempts that broke off shortly before their server's process ended.
func (g *Guard) processEnded(now time.Time, server id.Server) []event.Action {
	var out []event.Action
	rest := g.brokenAttempts[:0]
	for _, a := range g.brokenAttempts {
		switch {
		case now.Sub(a.at) > blameWindow:
		case a.Server == server:
			out = append(out, g.recordCrash(now, a.Crash)...)
			for _, name := range g.nodes {
				if name != g.self.Node {
					out = append(out, event.Send{To: name, Body: a.Crash})
				}
			}
		default:
			rest = append(rest, a)
		}
	}
	g.brokenAttempts = rest
	return out
}

// recordCrash notes a crash; each process counts once.
func (g *Guard) recordCrash(now time.Time, c Crash) []event.Action {
	print, p := id.Fingerprint(c.Fingerprint), process{c.Server, c.Start}
	r := g.records[print]
	if r == nil {
		g.evictOldest()
		r = &crashRecord{}
		g.records[print] = r
		g.order = append(g.order, print)
	}
	if slices.Contains(r.processes, p) {
		return nil
	}
	r.processes, r.last = append(r.processes, p), now
	return []event.Action{event.Log{Kind: "crash", Stage: string(c.Server), Choice: "count", Reason: fmt.Sprintf(
		"print=%016x start=%s crashes=%d of=%d", c.Fingerprint, c.Start, len(r.processes), crashThreshold)}}
}

// RecordResponse notes that a server has answered a request. One that crashes servers is never answered, while one that many callers
// send happens to be at many of the servers that end.
func (g *Guard) RecordResponse(print id.Fingerprint) {
	if r := g.records[print]; r != nil {
		r.processes = nil
	}
}

func (g *Guard) evictOldest() {
	if len(g.order) >= maxRecords {
		delete(g.records, g.order[0])
		g.order = g.order[1:]
	}
}

// RefusedFor returns for how much longer a request is refused, 0 if it is not.
func (g *Guard) RefusedFor(now time.Time, print id.Fingerprint) time.Duration {
	r := g.records[print]
	if r == nil || len(r.processes) < crashThreshold {
		return 0
	}
	return max(0, r.last.Add(banDuration).Sub(now))
}
