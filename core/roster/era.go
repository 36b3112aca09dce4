package roster

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/retry"
	"bluebellflow/core/watchcache"
)

// rewriteTime is how long nodes have, after the store has come back from a copy, to write their entries again.
const rewriteTime = 10 * time.Second

// keptEntry is an entry that stays listed for a while although the copy from which the store has come back lacks it.
type keptEntry struct {
	until time.Time
	older *Node // what the copy has instead, nil for nothing
}

// changeEra handles that the store has come back from a copy. The entries stay listed until the copy of each is seen, and this node
// writes its own if it is not seen soon.
func (r *Roster) changeEra(now time.Time) {
	clear(r.revisions)
	for name := range r.nodes {
		r.unconfirmed.Add(name)
	}
	r.registered, r.writing = false, 0
	if r.loaded {
		r.writeRetry.Set(now, watchcache.SettleTime)
	}
}

// keep keeps an entry listed until its node has had time to write it again.
func (r *Roster) keep(now time.Time, name id.Node, older *Node) []event.Action {
	r.unconfirmed.Delete(name)
	if name == r.self.Node {
		r.writeRetry.Set(now, 0)
		return nil
	}
	r.kept[name] = keptEntry{until: now.Add(rewriteTime), older: older}
	return []event.Action{event.Log{Kind: "node", Choice: "keep " + string(name), Reason: fmt.Sprintf("the store lacks its entry, older=%t", older != nil)}}
}

// dropTime returns until when a kept entry stays listed. Nodes that this node hears of stay longer: they may be cut off from the store.
func (r *Roster) dropTime(name id.Node) time.Time {
	until := r.kept[name].until
	if heard := r.lastHeard[name].Add(rewriteTime); heard.After(until) {
		return heard
	}
	return until
}

// nextDrop returns when the next kept entry is dropped, zero for never.
func (r *Roster) nextDrop() time.Time {
	var out time.Time
	for name := range r.kept {
		out = retry.Earliest(out, r.dropTime(name))
	}
	return out
}

// dropKept drops the entries that were not written again, or replaces them by those of the copy.
func (r *Roster) dropKept(now time.Time) []event.Action {
	var out []event.Action
	for _, name := range slices.Sorted(maps.Keys(r.kept)) {
		if now.Before(r.dropTime(name)) {
			continue
		}
		older := r.kept[name].older
		if older == nil {
			out = append(out, r.remove(name)...)
			continue
		}
		r.forget(name)
		r.nodes[name], r.lastHeard[name] = *older, now
		out = append(out, event.Log{Kind: "node", Choice: "listed " + string(name), Reason: "as in the copy of the store"}, Changed{})
	}
	return out
}
