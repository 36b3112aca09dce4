package member

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// Node is one bluebellflow process as this node sees it.
type Node struct {
	ID            id.Node          `json:"id"`
	Incarnation   id.Incarnation   `json:"incarnation"`
	FailureDomain id.FailureDomain `json:"domain"`
	Region        id.Region        `json:"region"`
	Addr          netip.AddrPort   `json:"addr"`
	Leaving       bool             `json:"leaving"`
}

// View is the set of nodes believed to be live; it is never changed after it was published.
type View struct {
	Epoch uint64 // counts the views of this node; it means nothing to other nodes
	Nodes []Node // sorted by ID; leaving nodes are included
}

// ViewChanged tells the packages of a node that its view of the nodes changed.
type ViewChanged struct {
	event.Internal
	View *View
}

// Find returns the node with the given name.
func (v *View) Find(name id.Node) (Node, bool) {
	if v == nil {
		return Node{}, false
	}
	at, ok := slices.BinarySearchFunc(v.Nodes, name, func(n Node, want id.Node) int {
		switch {
		case n.ID < want:
			return -1
		case n.ID > want:
			return 1
		}
		return 0
	})
	if !ok {
		return Node{}, false
	}
	return v.Nodes[at], true
}

// Owner returns the first node by rendezvous hash for the key among the nodes that keep accepts.
// Leaving nodes get no roles. A nil keep accepts every node.
func (v *View) Owner(key string, keep func(Node) bool) (Node, bool) {
	return v.highestScore(key, func(n Node) bool { return !n.Leaving && (keep == nil || keep(n)) })
}

// OwnerOrLeaving is Owner for a role that must not lapse while all nodes which keep accepts are leaving: one of them has it then.
func (v *View) OwnerOrLeaving(key string, keep func(Node) bool) (Node, bool) {
	if n, ok := v.Owner(key, keep); ok {
		return n, true
	}
	return v.highestScore(key, keep)
}

func (v *View) highestScore(key string, keep func(Node) bool) (Node, bool) {
	if v == nil {
		return Node{}, false
	}
	var best Node
	var bestScore uint64
	found := false
	for _, n := range v.Nodes {
		if !keep(n) {
			continue
		}
		score := rendezvous(string(n.ID), key)
		if !found || score > bestScore {
			best, bestScore, found = n, score, true
		}
	}
	return best, found
}

// Owners returns the first count nodes by rendezvous hash for the key, best first.
func (v *View) Owners(key string, count int, keep func(Node) bool) []Node {
	if v == nil || count <= 0 {
		return nil
	}
	type scored struct {
		node  Node
		score uint64
	}
	var all []scored
	for _, n := range v.Nodes {
		if n.Leaving || (keep != nil && !keep(n)) {
			continue
		}
		all = append(all, scored{n, rendezvous(string(n.ID), key)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	out := make([]Node, 0, min(count, len(all)))
	for _, s := range all[:min(count, len(all))] {
		out = append(out, s.node)
	}
	return out
}

// rendezvous scores a node for a key. The separator keeps ("a", "bc") and ("ab", "c") apart.
func rendezvous(node, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// InDomain accepts nodes of one failure domain.
func InDomain(name id.FailureDomain) func(Node) bool {
	return func(n Node) bool { return n.FailureDomain == name }
}
