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
	// crashThreshold is how many processes a request must crash before it is refused. An innocent request is rarely in
	// progress at three processes that end.
	crashThreshold = 3
	// refusalDuration is how long a request is refused after its last crash.
	refusalDuration = 10 * time.Minute
	// crashWindow is the time after a broken attempt in which the end of the server's process counts against the request.
	crashWindow = 10 * time.Second
	// maxRecords and maxBrokenAttempts bound the requests and attempts that are kept; the oldest are dropped.
	maxRecords        = 4096
	maxBrokenAttempts = 1024
	maxNameLength     = 256
)

// Crash reports to other nodes that a request has crashed a process of a server.
type Crash struct {
	Fingerprint uint64    `protobuf:"varint,1,opt,name=print" json:"Print"`
	Server      id.Server `protobuf:"bytes,2,opt,name=server"`
	Start       id.Start  `protobuf:"bytes,3,opt,name=start"`
}

// Check reports a malformed message.
func (c Crash) Check() error {
	if c.Server == "" || len(c.Server) > maxNameLength || len(c.Start) > maxNameLength {
		return errors.New("crash: server missing, or server or start too long")
	}
	return nil
}

// Guard counts the crashes that each request caused.
type Guard struct {
	self           event.Self
	nodes          []id.Node
	brokenAttempts []attempt // oldest first
	records        map[id.Fingerprint]*crashRecord
	order          []id.Fingerprint // keys of records, in the order of their first crash
}

// attempt is an attempt that broke off without a response.
type attempt struct {
	Crash
	at time.Time
}

// crashRecord holds the processes that a request has crashed.
type crashRecord struct {
	processes []process
	last      time.Time // of the last crash
}

type process struct {
	server id.Server
	start  id.Start
}

// New returns a guard without records.
func New(self event.Self) *Guard {
	return &Guard{self: self, records: map[id.Fingerprint]*crashRecord{}}
}

// SetNodes sets the nodes that crashes are reported to.
func (g *Guard) SetNodes(names []id.Node) { g.nodes = names }

// Next returns zero, for no timer.
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

// RecordBroken records that an attempt broke off without a response at a process of a server.
func (g *Guard) RecordBroken(now time.Time, fingerprint id.Fingerprint, server id.Server, start id.Start) {
	if len(g.brokenAttempts) == maxBrokenAttempts {
		g.brokenAttempts = g.brokenAttempts[1:]
	}
	g.brokenAttempts = append(g.brokenAttempts, attempt{Crash{uint64(fingerprint), server, start}, now})
}

// processEnded counts the attempts that broke off within blameWindow before their server's process ended, and reports them
// to the other nodes.
func (g *Guard) processEnded(now time.Time, server id.Server) []event.Action {
	var out []event.Action
	kept := g.brokenAttempts[:0]
	for _, a := range g.brokenAttempts {
		switch {
		case now.Sub(a.at) > crashWindow:
		case a.Server == server:
			out = append(out, g.recordCrash(now, a.Crash)...)
			for _, name := range g.nodes {
				if name != g.self.Node {
					out = append(out, event.Send{To: name, Body: a.Crash})
				}
			}
		default:
			kept = append(kept, a)
		}
	}
	g.brokenAttempts = kept
	return out
}

// recordCrash counts a crash; each process counts once.
func (g *Guard) recordCrash(now time.Time, c Crash) []event.Action {
	fingerprint, p := id.Fingerprint(c.Fingerprint), process{c.Server, c.Start}
	r := g.records[fingerprint]
	if r == nil {
		g.evictOldest()
		r = &crashRecord{}
		g.records[fingerprint] = r
		g.order = append(g.order, fingerprint)
	}
	if slices.Contains(r.processes, p) {
		return nil
	}
	r.processes, r.last = append(r.processes, p), now
	return []event.Action{event.Log{Kind: "crash", Stage: string(c.Server), Choice: "count", Reason: fmt.Sprintf(
		"print=%016x start=%s crashes=%d of=%d", c.Fingerprint, c.Start, len(r.processes), crashThreshold)}}
}

// RecordResponse clears the crashes of a request that got a response. A request that crashes servers never gets one, while
// a request that many callers send is often in progress when a server ends.
func (g *Guard) RecordResponse(fingerprint id.Fingerprint) {
	if r := g.records[fingerprint]; r != nil {
		r.processes = nil
	}
}

// evictOldest drops the oldest record if the limit is reached.
func (g *Guard) evictOldest() {
	if len(g.order) >= maxRecords {
		delete(g.records, g.order[0])
		g.order = g.order[1:]
	}
}

// RefusedFor returns how much longer a request is refused, 0 if it is not.
func (g *Guard) RefusedFor(now time.Time, fingerprint id.Fingerprint) time.Duration {
	r := g.records[fingerprint]
	if r == nil || len(r.processes) < crashThreshold {
		return 0
	}
	return max(0, r.last.Add(refusalDuration).Sub(now))
}
