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

// Cost counts the operations of one kind, with their bytes and their processing time.
type Cost struct {
	Count     int           `json:"times"`
	Bytes     int           `json:"bytes,omitempty"`
	TotalTime time.Duration `json:"spent,omitempty"`
	MaxTime   time.Duration `json:"worst,omitempty"`
}

// Stats holds the costs of the nodes in a phase.
type Stats struct {
	Steps         map[string]Cost `json:"steps"` // by event kind
	Sends         map[string]Cost `json:"sends"` // by type of the message body
	PlatformCalls map[string]Cost `json:"calls"` // by operation and kind of object
}

func newStats() *Stats {
	return &Stats{Steps: map[string]Cost{}, Sends: map[string]Cost{}, PlatformCalls: map[string]Cost{}}
}

// meter wraps a node and records its events, messages and platform calls.
type meter struct {
	*node.Node
	self  event.Self
	codec *wire.Codec
	fleet *fleet
}

// Step passes the event to the node and records the time it takes, including the lookup of the next timer.
func (m *meter) Step(now time.Time, ev event.Event) []event.Action {
	start := time.Now()
	out := m.Node.Step(now, ev)
	m.Next()
	elapsed := time.Since(start)
	stats := m.fleet.stats
	name := eventName(ev)
	c := stats.Steps[name]
	c.Count++
	c.TotalTime += elapsed
	c.MaxTime = max(c.MaxTime, elapsed)
	stats.Steps[name] = c
	for _, a := range out {
		switch a := a.(type) {
		case event.Send:
			m.countMessage(stats, a)
		case event.PlatformCall:
			addSize(stats.PlatformCalls, platformCallName(a), len(a.Value))
		}
	}
	return out
}

// countMessage records the encoded size of a message.
func (m *meter) countMessage(stats *Stats, a event.Send) {
	revision, domains := m.Versions()
	raw, err := m.codec.Encode(wire.Envelope{
		From: m.self.Node, Incarnation: m.self.Incarnation, Revision: revision, Domains: domains,
	}, a.Body)
	if err != nil {
		panic(fmt.Sprintf("encode message of a node: %v", err))
	}
	addSize(stats.Sends, strings.TrimPrefix(typename.Of(a.Body), "*"), len(raw))
}

func addSize(costs map[string]Cost, name string, size int) {
	c := costs[name]
	c.Count++
	c.Bytes += size
	costs[name] = c
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

// keepShorter keeps, for each event kind, the shorter times of two runs of the same phase. Both runs use the same seed, so
// everything else is equal.
func (s *Stats) keepShorter(other *Stats) {
	for name, c := range other.Steps {
		old, ok := s.Steps[name]
		if !ok || old.Count != c.Count {
			continue
		}
		old.TotalTime = min(old.TotalTime, c.TotalTime)
		old.MaxTime = min(old.MaxTime, c.MaxTime)
		s.Steps[name] = old
	}
}

func serverName(i int) id.Server { return id.Server(fmt.Sprintf("server-%04d", i)) }
