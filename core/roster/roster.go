package roster

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/retry"
	"bluebellflow/core/watchcache"
)

const (
	owner = "roster"
	// Kind is the kind of the node entries in the store.
	Kind = "nodes"
	// removeAfter is how long the leader must hear nothing from a node before it removes the node's entry. It is longer
	// than a restart takes.
	removeAfter = 20 * time.Second
	// sweepInterval is how often the leader checks for entries of nodes that have gone.
	sweepInterval = 5 * time.Second
)

// Node is an entry of the list.
type Node struct {
	Addr        netip.AddrPort   `json:"addr"`
	Domain      id.FailureDomain `json:"domain"`
	Incarnation id.Incarnation   `json:"incarnation"`
	Weight      float64          `json:"weight"` // size of the VM; larger VMs take more of the nodes' shared work
}

// Check returns an error if the entry lacks what is needed to reach the node.
func (n Node) Check() error {
	if !n.Addr.IsValid() || n.Domain == "" {
		return fmt.Errorf("node entry: invalid address %s or empty failure domain %q", n.Addr, n.Domain)
	}
	return n.Incarnation.Check()
}

// Changed is emitted when the list has changed.
type Changed struct{ event.Internal }

// Roster holds the list and this node's entry in it.
type Roster struct {
	self       event.Self
	weight     float64
	nodes      map[id.Node]Node
	revisions  map[id.Node]uint64
	lastHeard  map[id.Node]time.Time
	loaded     bool
	registered bool   // the store has this node's entry
	writing    uint64 // number of the write of this node's entry that is in progress, 0 for none
	writeRetry retry.Timer
	nextSweep  time.Time
	leading    bool
	seq        uint64

	unconfirmed id.Set[id.Node]       // listed before the store has come back from a copy, and not seen since
	kept        map[id.Node]keptEntry // listed although the store lacks the entry
}

// New returns an empty roster for a node of the given weight.
func New(self event.Self, weight float64) *Roster {
	return &Roster{
		self: self, weight: weight, nodes: map[id.Node]Node{}, revisions: map[id.Node]uint64{}, lastHeard: map[id.Node]time.Time{},
		unconfirmed: id.NewSet[id.Node](), kept: map[id.Node]keptEntry{},
	}
}

// Nodes returns the names of all listed nodes in ascending order.
func (r *Roster) Nodes() []id.Node { return slices.Sorted(maps.Keys(r.nodes)) }

// Node returns the entry of a node.
func (r *Roster) Node(name id.Node) (Node, bool) {
	n, ok := r.nodes[name]
	return n, ok
}

// Resolve returns the address of a node.
func (r *Roster) Resolve(name id.Node) (netip.AddrPort, bool) {
	n, ok := r.nodes[name]
	return n.Addr, ok
}

// SetLeading sets whether this node is the leader, which removes the entries of nodes that have gone.
func (r *Roster) SetLeading(leads bool) { r.leading = leads }

// Next returns the time of the next timer.
func (r *Roster) Next() time.Time {
	return retry.Earliest(r.writeRetry.Next(), r.nextSweep, r.nextDrop())
}

// Step handles one event.
func (r *Roster) Step(now time.Time, ev event.Event) []event.Action {
	var out []event.Action
	switch ev := ev.(type) {
	case watchcache.KindLoaded:
		if ev.Kind == Kind {
			r.loaded = true
			r.writeRetry.Set(now, 0)
			r.nextSweep = now.Add(sweepInterval)
		}
	case watchcache.EraChanged:
		r.changeEra(now)
	case watchcache.ObjectChanged:
		if ev.Kind == Kind {
			out = r.handleObjectChanged(now, ev.Object)
		}
	case watchcache.ObjectDeleted:
		if ev.Kind == Kind {
			out = r.handleObjectDeleted(now, id.Node(ev.Name), ev.Settled)
		}
	case event.Receive:
		r.lastHeard[ev.From] = now
	case event.PlatformResult:
		if ev.Call.Owner == owner && ev.Call.Seq == r.writing {
			r.writing = 0
			r.handleWriteResult(now, ev)
		}
	}
	if r.writeRetry.Due(now) {
		out = append(out, r.register(now)...)
	}
	if !r.nextSweep.IsZero() && !now.Before(r.nextSweep) {
		r.nextSweep = now.Add(sweepInterval)
		out = append(out, r.sweep(now)...)
	}
	return append(out, r.dropKept(now)...)
}

func (r *Roster) handleObjectChanged(now time.Time, o watchcache.Object) []event.Action {
	name := id.Node(o.Name)
	var n Node
	err := json.Unmarshal(o.Spec, &n)
	if err == nil {
		err = n.Check()
	}
	if err != nil {
		r.forget(name)
		return []event.Action{event.Log{Kind: "node", Choice: "ignore " + o.Name, Reason: err.Error()}, Changed{}}
	}
	old, known := r.nodes[name]
	r.revisions[name] = o.Revision
	if name == r.self.Node {
		r.registered = n == r.entry()
	}
	if r.unconfirmed.Has(name) && n != old {
		return r.keep(now, name, &n)
	}
	r.unconfirmed.Delete(name)
	delete(r.kept, name)
	r.nodes[name] = n
	if !known || old.Incarnation != n.Incarnation {
		r.lastHeard[name] = now
	}
	if name == r.self.Node && n.Incarnation != r.self.Incarnation && r.loaded {
		r.writeRetry.Set(now, 0) // a late write of an earlier process replaced this node's entry
	}
	if known && old == n {
		return nil
	}
	return []event.Action{
		event.Log{Kind: "node", Choice: "listed " + o.Name, Reason: fmt.Sprintf("addr=%s domain=%s revision=%d", n.Addr, n.Domain, o.Revision)},
		Changed{},
	}
}

func (r *Roster) handleObjectDeleted(now time.Time, name id.Node, settled bool) []event.Action {
	delete(r.revisions, name)
	if name == r.self.Node {
		r.registered = false
		r.writeRetry.Set(now, 0)
	}
	if r.unconfirmed.Has(name) && !settled {
		return r.keep(now, name, nil)
	}
	return r.remove(name)
}

func (r *Roster) remove(name id.Node) []event.Action {
	r.forget(name)
	delete(r.lastHeard, name)
	return []event.Action{event.Log{Kind: "node", Choice: "unlisted " + string(name)}, Changed{}}
}

func (r *Roster) forget(name id.Node) {
	delete(r.nodes, name)
	delete(r.kept, name)
	r.unconfirmed.Delete(name)
}

// entry returns this node's entry.
func (r *Roster) entry() Node {
	return Node{Addr: r.self.Addr, Domain: r.self.FailureDomain, Incarnation: r.self.Incarnation, Weight: r.weight}
}

// register writes this node's entry unless the list already contains it.
func (r *Roster) register(now time.Time) []event.Action {
	if r.writing != 0 || r.registered {
		return nil
	}
	value, err := json.Marshal(r.entry())
	if err != nil {
		return []event.Action{event.Log{Kind: "node", Choice: "register", Reason: err.Error()}}
	}
	r.writeRetry.Fail(now, r.self.Rand)
	r.seq++
	r.writing = r.seq
	return []event.Action{event.PlatformCall{
		Owner: owner, Seq: r.seq, Op: event.OpPut, Name: Kind + "/" + string(r.self.Node),
		Version: r.revisions[r.self.Node], Value: value,
	}}
}

// handleWriteResult schedules a retry unless the write succeeded. If the answer was lost, register checks against the
// list whether the write took effect.
func (r *Roster) handleWriteResult(now time.Time, ev event.PlatformResult) {
	switch {
	case ev.Code == event.CodeOK:
		r.writeRetry.Clear()
	case ev.Code == event.CodeConflict && len(ev.Objects) > 0:
		r.revisions[r.self.Node] = ev.Objects[0].Version
		r.writeRetry.Set(now, 0)
	default:
		r.writeRetry.Fail(now, r.self.Rand)
	}
}

// sweep removes the entries of nodes that the leader has not heard from for removeAfter.
func (r *Roster) sweep(now time.Time) []event.Action {
	if !r.leading {
		return nil
	}
	var out []event.Action
	for _, name := range r.Nodes() {
		revision, known := r.revisions[name]
		if name == r.self.Node || !known || now.Sub(r.lastHeard[name]) < removeAfter {
			continue
		}
		r.lastHeard[name] = now // if the removal fails, the next attempt follows after removeAfter
		r.seq++
		out = append(out,
			event.Log{Kind: "node", Choice: "remove " + string(name), Reason: "silent for " + removeAfter.String()},
			event.PlatformCall{Owner: owner, Seq: r.seq, Op: event.OpDelete, Name: Kind + "/" + string(name), Version: revision})
	}
	return out
}
