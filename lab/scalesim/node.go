package scalesim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bluebellflow/core/autoscale"
	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/usage"
	"bluebellflow/core/watchcache"
)

// node is a node that runs only packages duty and autoscale.
type node struct {
	world      *World
	self       event.Self
	leases     *duty.Leases
	autoscaler *autoscale.Autoscaler
	killed     bool
}

func (w *World) addNode(name id.Node, domain id.FailureDomain) {
	n := &node{world: w, self: event.Self{
		Node: name, FailureDomain: domain, Incarnation: id.NewIncarnation(w.rng), Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 2)),
	}}
	n.leases = duty.New(n.self, duty.Options{Lease: lease, CallsPerSecond: callRate})
	n.autoscaler = autoscale.New(n.self, ranking{w}, n.leases, w, encoder{}, func(id.Pool) (map[id.FailureDomain]int, int) { return w.running(n), 0 })
	w.nodes = append(w.nodes, n)
	n.step(watchcache.KindLoaded{Kind: duty.Kind})
}

// ranking orders the nodes as they are listed.
type ranking struct{ world *World }

// Leader returns the first node.
func (r ranking) Leader() id.Node { return r.world.nodes[0].self.Node }

// Successor returns the node that leads after the first one.
func (r ranking) Successor(time.Time) id.Node { return r.world.nodes[1].self.Node }

// encoder encodes an order as the failure domain and the number.
type encoder struct{}

// ScaleOrder encodes an order.
func (encoder) ScaleOrder(_ id.Pool, domain id.FailureDomain, desired int) ([]byte, error) {
	return fmt.Appendf(nil, "%s %d", domain, desired), nil
}

// nodesChanged passes the list of nodes and the leader to all nodes.
func (w *World) nodesChanged() {
	var names []id.Node
	for _, n := range w.nodes {
		names = append(names, n.self.Node)
	}
	now := epoch.Add(w.now)
	for i, n := range w.nodes {
		n.autoscaler.SetNodes(names, domains)
		n.propagate(n.leases.SetLeading(now, i == 0))
		n.autoscaler.LeaderChanged(now)
	}
}

// KillLeader removes the node that leads. The requests of its callers go on.
func (w *World) KillLeader() {
	w.nodes[0].killed = true
	w.nodes = slices.Delete(w.nodes, 0, 1)
	w.nodesChanged()
}

// observe delivers an object of the store.
func (n *node) observe(name string) {
	o := n.world.objects[name]
	_, subject, _ := strings.Cut(name, "/")
	n.step(watchcache.ObjectChanged{Kind: duty.Kind, Object: watchcache.Object{Name: subject, Revision: o.Version, Spec: o.Value}})
}

// step passes an event on to the duties.
func (n *node) step(ev event.Event) {
	if n.killed {
		return
	}
	now := epoch.Add(n.world.now)
	n.propagate(event.Propagate(ev, event.IsInternal, func(ev event.Event) []event.Action {
		return append(n.leases.Step(now, ev), n.autoscaler.Step(now, ev)...)
	}))
}

// propagate carries out actions.
func (n *node) propagate(actions []event.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case event.Send:
			n.send(a)
		case event.PlatformCall:
			n.world.put(n, a)
		case duty.Call:
			n.world.call(n, a)
		case event.Log:
			if a.Kind == "autoscale" && strings.HasPrefix(a.Choice, "order") {
				n.world.result.Log = append(n.world.result.Log, fmt.Sprintf("%s %s %s %s", n.world.now, a.Stage, a.Choice, a.Reason))
			}
		case usage.CountsSent, autoscale.Ordered, autoscale.Measured:
		}
	}
}

// send delivers a message, unless it is lost.
func (n *node) send(a event.Send) {
	w := n.world
	if w.rng.Float64() < w.LostReports {
		return
	}
	w.at(w.now+delay, func() {
		for _, to := range w.nodes {
			if to.self.Node == a.To {
				to.step(event.Receive{From: n.self.Node, Incarnation: n.self.Incarnation, Body: a.Body})
			}
		}
	})
}
