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
	// refuseAt is how many processes a request must have crashed. Requests that only happened to be there when a process
	// ended rarely meet that three times.
	refuseAt = 3
	// banTime is how long a request is refused after its last crash.
	banTime = 10 * time.Minute
	// proofTime is how long after an attempt broke off the end of its server counts against the request.
	proofTime = 10 * time.Second
	// maxPrints and maxBroken bound the requests and the attempts that are remembered; the oldest ones are dropped.
	maxPrints = 4096
	maxBroken = 1024
	maxText   = 256
)

// Crash tells other nodes that a request has crashed a process of a server.
type Crash struct {
	Print  uint64    `protobuf:"varint,1,opt,name=print"`
	Server id.Server `protobuf:"bytes,2,opt,name=server"`
	Start  id.Start  `protobuf:"bytes,3,opt,name=start"`
}

// Check reports a malformed message.
func (c Crash) Check() error {
	if c.Server == "" || len(c.Server) > maxText || len(c.Start) > maxText {
		return errors.New("crash: bad server")
	}
	return nil
}

// Guard counts the crashes of requests.
type Guard struct {
	self   event.Self
	nodes  []id.Node
	broken []attempt // oldest first
	prints map[id.Fingerprint]*record
	order  []id.Fingerprint // in the order of their first crash
}

// attempt is one that broke off without an answer.
type attempt struct {
	Crash
	at time.Time
}

// record is what a request has done.
type record struct {
	crashed []process
	last    time.Time
}

type process struct {
	server id.Server
	start  id.Start
}

// New returns a guard that has seen nothing.
func New(self event.Self) *Guard {
	return &Guard{self: self, prints: map[id.Fingerprint]*record{}}
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
			return g.ended(now, ev.Server.ID)
		}
	case fleet.ServerRemoved:
		return g.ended(now, ev.Server.ID)
	case event.Receive:
		if c, ok := ev.Body.(Crash); ok {
			return g.count(now, c)
		}
	}
	return nil
}

// Broken notes that an attempt of a request broke off without an answer at a process of a server.
func (g *Guard) Broken(now time.Time, print id.Fingerprint, server id.Server, start id.Start) {
	if len(g.broken) == maxBroken {
		g.broken = g.broken[1:]
	}
	g.broken = append(g.broken, attempt{Crash{uint64(print), server, start}, now})
}

// ended counts the attempts that broke off shortly before their server's process ended.
func (g *Guard) ended(now time.Time, server id.Server) []event.Action {
	var out []event.Action
	rest := g.broken[:0]
	for _, a := range g.broken {
		switch {
		case now.Sub(a.at) > proofTime:
		case a.Server == server:
			out = append(out, g.count(now, a.Crash)...)
			for _, name := range g.nodes {
				if name != g.self.Node {
					out = append(out, event.Send{To: name, Body: a.Crash})
				}
			}
		default:
			rest = append(rest, a)
		}
	}
	g.broken = rest
	return out
}

// count notes a crash; each process counts once.
func (g *Guard) count(now time.Time, c Crash) []event.Action {
	print, p := id.Fingerprint(c.Print), process{c.Server, c.Start}
	r := g.prints[print]
	if r == nil {
		g.makeRoom()
		r = &record{}
		g.prints[print] = r
		g.order = append(g.order, print)
	}
	if slices.Contains(r.crashed, p) {
		return nil
	}
	r.crashed, r.last = append(r.crashed, p), now
	return []event.Action{event.Log{Kind: "crash", Stage: string(c.Server), Choice: "count", Reason: fmt.Sprintf(
		"print=%016x start=%s crashes=%d of=%d", c.Print, c.Start, len(r.crashed), refuseAt)}}
}

// Answered notes that a server has answered a request. One that crashes servers is never answered, while one that many callers
// send happens to be at many of the servers that end.
func (g *Guard) Answered(print id.Fingerprint) {
	if r := g.prints[print]; r != nil {
		r.crashed = nil
	}
}

func (g *Guard) makeRoom() {
	if len(g.order) >= maxPrints {
		delete(g.prints, g.order[0])
		g.order = g.order[1:]
	}
}

// Refuses returns for how much longer a request is refused, 0 if it is not.
func (g *Guard) Refuses(now time.Time, print id.Fingerprint) time.Duration {
	r := g.prints[print]
	if r == nil || len(r.crashed) < refuseAt {
		return 0
	}
	return max(0, r.last.Add(banTime).Sub(now))
}
