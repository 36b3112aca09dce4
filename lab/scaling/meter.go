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

// Count is how often something happened, and what it cost.
type Count struct {
	Times int           `json:"times"`
	Bytes int           `json:"bytes,omitempty"`
	Spent time.Duration `json:"spent,omitempty"`
	Worst time.Duration `json:"worst,omitempty"`
}

// Book holds the counts of a phase by name.
type Book struct {
	Steps map[string]Count `json:"steps"` // by event kind
	Sends map[string]Count `json:"sends"` // by body type
	Calls map[string]Count `json:"calls"` // by operation and object
}

func newBook() *Book {
	return &Book{Steps: map[string]Count{}, Sends: map[string]Count{}, Calls: map[string]Count{}}
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
	book := m.fleet.book
	name := kind(ev)
	c := book.Steps[name]
	c.Times++
	c.Spent += spent
	c.Worst = max(c.Worst, spent)
	book.Steps[name] = c
	for _, a := range out {
		switch a := a.(type) {
		case event.Send:
			m.sent(book, a)
		case event.PlatformCall:
			add(book.Calls, callName(a), len(a.Value))
		}
	}
	return out
}

func (m *meter) sent(book *Book, a event.Send) {
	revision, domains := m.Versions()
	raw, err := m.codec.Encode(wire.Envelope{
		From: m.self.Node, Incarnation: m.self.Incarnation, Revision: revision, Domains: domains,
	}, a.Body)
	if err != nil {
		panic(fmt.Sprintf("message of a node does not encode: %v", err))
	}
	add(book.Sends, strings.TrimPrefix(typename.Of(a.Body), "*"), len(raw))
}

func add(to map[string]Count, name string, size int) {
	c := to[name]
	c.Times++
	c.Bytes += size
	to[name] = c
}

func kind(ev event.Event) string {
	if r, ok := ev.(event.Receive); ok {
		return "Receive " + typename.Of(r.Body)
	}
	return strings.TrimPrefix(typename.Of(ev), "event.")
}

func callName(c event.PlatformCall) string {
	ops := map[event.Op]string{event.OpGet: "get", event.OpPut: "put", event.OpList: "list", event.OpWatch: "watch"}
	prefix, _, _ := strings.Cut(c.Name, "/")
	return ops[c.Op] + " " + prefix
}

// shorter keeps, for each event kind, the lower mean time of two runs of the same phase. Everything else is the same
// in both, because the seed is.
func (b *Book) shorter(o *Book) {
	for name, c := range o.Steps {
		old, ok := b.Steps[name]
		if !ok || old.Times != c.Times {
			continue
		}
		old.Spent = min(old.Spent, c.Spent)
		old.Worst = min(old.Worst, c.Worst)
		b.Steps[name] = old
	}
}

// serverName returns the name of a backend server.
func serverName(i int) id.Server { return id.Server(fmt.Sprintf("server-%04d", i)) }
