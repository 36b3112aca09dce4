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

// View is the set of nodes that this node considers live. A published view is immutable.
type View struct {
	Epoch uint64 // counts the views of this node and is not comparable between nodes
	Nodes []Node // sorted by ID; leaving nodes are included
}

// ViewChanged notifies the other packages of this node of a new view.
type ViewChanged struct {
	event.Internal
	View *View
}

// Find returns the node with the given ID.
func (v *View) Find(name id.Node) (Node, bool) {
	if v == nil {
		return Node{}, false
	}
	i, ok := slices.BinarySearchFunc(v.Nodes, name, func(n Node, want id.Node) int {
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
	return v.Nodes[i], true
}

// Owner returns the node with the highest rendezvous hash for the key among the nodes that filter accepts. Leaving nodes
// are skipped. A nil filter accepts every node.
func (v *View) Owner(key string, filter func(Node) bool) (Node, bool) {
	return v.highestScore(key, func(n Node) bool { return !n.Leaving && (filter == nil || filter(n)) })
}

// OwnerOrLeaving is like Owner, but returns a leaving node if all nodes that filter accepts are leaving. It is for roles
// that must always have an owner. The filter must not be nil.
func (v *View) OwnerOrLeaving(key string, filter func(Node) bool) (Node, bool) {
	if n, ok := v.Owner(key, filter); ok {
		return n, true
	}
	return v.highestScore(key, filter)
}

func (v *View) highestScore(key string, filter func(Node) bool) (Node, bool) {
	if v == nil {
		return Node{}, false
	}
	var best Node
	var bestScore uint64
	found := false
	for _, n := range v.Nodes {
		if !filter(n) {
			continue
		}
		score := rendezvous(string(n.ID), key)
		if !found || score > bestScore {
			best, bestScore, found = n, score, true
		}
	}
	return best, found
}

// Owners returns the count nodes with the highest rendezvous hashes for the key, in descending order of the hash.
// It selects nodes as Owner does.
func (v *View) Owners(key string, count int, filter func(Node) bool) []Node {
	if v == nil || count <= 0 {
		return nil
	}
	type scored struct {
		node  Node
		score uint64
	}
	var all []scored
	for _, n := range v.Nodes {
		if n.Leaving || (filter != nil && !filter(n)) {
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

// rendezvous returns the rendezvous hash of a node and a key. The separator distinguishes ("a", "bc") from ("ab", "c").
func rendezvous(node, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// InDomain returns a filter that accepts the nodes of one failure domain.
func InDomain(name id.FailureDomain) func(Node) bool {
	return func(n Node) bool { return n.FailureDomain == name }
}
