package scaling

import (
	"fmt"
	"strings"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/node"
	"bluebellflow/core/typename"
	"bluebellflow/core/wire"
)

// Cost is how often something happened, and what it cost.
type Cost struct {
	Count     int           `json:"times"`
	Bytes     int           `json:"bytes,omitempty"`
	TotalTime time.Duration `json:"spent,omitempty"`
	MaxTime   time.Duration `json:"worst,omitempty"`
}

// Stats holds the counts of a phase by name.
type Stats struct {
	Steps         map[string]Cost `json:"steps"` // by event kind
	Sends         map[string]Cost `json:"sends"` // by body type
	PlatformCalls map[string]Cost `json:"calls"` // by operation and object
}

func newStats() *Stats {
	return &Stats{Steps: map[string]Cost{}, Sends: map[string]Cost{}, PlatformCalls: map[string]Cost{}}
}

// meter wraps a node and counts what goes in and out.
type meter struct {
	*node.Node
	self  event.Self
	codec *wire.Codec
	fleet *fleet
}

// Step passes the event to the node and takes the time, including the search for the next timer.
func (m *meter) Step(now time.Time, ev event.Event) []event.Action {
	before := time.Now()
	out := m.Node.Step(now, ev)
	m.Next()
	spent := time.Since(before)
	book := m.fleet.stats
	name := eventName(ev)
	c := book.Steps[name]
	c.Count++
	c.TotalTime += spent
	c.MaxTime = max(c.MaxTime, spent)
	book.Steps[name] = c
	for _, a := range out {
		switch a := a.(type) {
		case event.Send:
			m.countMessage(book, a)
		case event.PlatformCall:
			addSize(book.PlatformCalls, platformCallName(a), len(a.Value))
		}
	}
	return out
}

func (m *meter) countMessage(book *Stats, a event.Send) {
	revision, domains := m.Versions()
	raw, err := m.codec.Encode(wire.Envelope{
		From: m.self.Node, Incarnation: m.self.Incarnation, Revision: revision, Domains: domains,
	}, a.Body)
	if err != nil {
		panic(fmt.Sprintf("message of a node does not encode: %v", err))
	}
	addSize(book.Sends, strings.TrimPrefix(typename.Of(a.Body), "*"), len(raw))
}

func addSize(to map[string]Cost, name string, size int) {
	c := to[name]
	c.Count++
	c.Bytes += size
	to[name] = c
}

func eventName(ev event.Event) string {
	if r, ok := ev.(event.Receive); ok {
		return "Receive " + typename.Of(r.Body)
	}
	return strings.TrimPrefix(typename.Of(ev), "event.")
}

func platformCallName(c event.PlatformCall) string {
	ops := map[event.Op]string{event.OpGet: "get", event.OpPut: "put", event.OpList: "list", event.OpWatch: "watch"}
	prefix, _, _ := strings.Cut(c.Name, "/")
	return ops[c.Op] + " " + prefix
}

// keepShorter keeps, for each event kind, the lower mean time of two runs of the same phase. Everything else is the same
// in both, because the seed is.
func (b *Stats) keepShorter(o *Stats) {
	for name, c := range o.Steps {
		old, ok := b.Steps[name]
		if !ok || old.Count != c.Count {
			continue
		}
		old.TotalTime = min(old.TotalTime, c.TotalTime)
		old.MaxTime = min(old.MaxTime, c.MaxTime)
		b.Steps[name] = old
	}
}

// serverName returns the name of a backend server.
func serverName(i int) id.Server { return id.Server(fmt.Sprintf("server-%04d", i)) }
