package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/watchcache"
)

// restored is the state of an order that concerns a store that has come back from a copy, which lacks the latest changes.
type restored struct {
	uncertain   State              // a final state whose write may have taken effect, Ordered for none
	unconfirmed bool               // the present order was not seen since
	rewrite     bool               // the final state was not seen since, and is to be written again
	older       *watchcache.Object // the copy has this object instead, without a name if it has none
	dropAt      time.Time          // when the order is replaced by older if it was not written again
}

// changeEra handles that the store has come back from a copy. The orders and what was decided stay in force: the operator writes the
// orders again, and the leader their status. Results of earlier writes mean nothing any more.
func (r *Rollouts) changeEra(now time.Time) {
	clear(r.writes)
	for _, o := range r.orders {
		if o.writing.final() {
			o.uncertain = o.writing
		}
		if o.uncertain.final() && !o.state.final() {
			o.state = o.uncertain
		}
		o.writing, o.revision = Ordered, 0
		o.writeRetry.Clear()
		o.uncertain, o.unconfirmed, o.rewrite = Ordered, true, o.state.final()
		o.dropAt = now.Add(watchcache.SettleTime)
	}
}

// confirm records that the store shows the order with a status.
func (r *rollout) confirm(s State) {
	r.restored = restored{rewrite: r.rewrite && !s.final()}
}

// adopt takes over a final state that another node has seen before the store forgot it.
func (r *rollout) adopt(from id.Node, s State) []event.Action {
	if r.state.final() || !s.final() {
		return nil
	}
	r.state, r.rewrite = s, true
	return []event.Action{r.log(s.String(), "from="+string(from))}
}

// handleObjectDeleted removes an order, or keeps it for a while if it is only the copy that lacks it.
func (r *Rollouts) handleObjectDeleted(now time.Time, ev watchcache.ObjectDeleted) []event.Action {
	if o := r.orders[ev.Name]; o != nil && o.unconfirmed && !ev.Settled {
		return r.keep(now, o, &watchcache.Object{})
	}
	return r.removeOrder(ev.Name)
}

// keep keeps an order that the store lacks since it was restored until the operator has had time to write it again. Later writes of
// the object that replaces it do not extend that time.
func (r *Rollouts) keep(now time.Time, o *rollout, older *watchcache.Object) []event.Action {
	if o.older == nil {
		o.dropAt = now.Add(watchcache.SettleTime)
	}
	o.older = older
	return []event.Action{o.log("keep", fmt.Sprintf("the store lacks it, revision=%d", older.Revision))}
}

// handleReachability records whether the store is reachable. While it is not, the operator cannot write orders again.
func (r *Rollouts) handleReachability(now time.Time, ev watchcache.Reachability) {
	if r.storeDown && ev.Up {
		for _, o := range r.orders {
			o.dropAt = now.Add(watchcache.SettleTime)
		}
	}
	r.storeDown = !ev.Up
}

// dropLost drops the orders that were not written again in time.
func (r *Rollouts) dropLost(now time.Time) []event.Action {
	var out []event.Action
	for _, name := range slices.Sorted(maps.Keys(r.orders)) {
		o := r.orders[name]
		if o.older == nil || r.storeDown || now.Before(o.dropAt) {
			continue
		}
		o.unconfirmed = false
		if o.older.Name == "" {
			out = append(out, r.removeOrder(name)...)
			continue
		}
		out = append(out, r.handleObjectChanged(now, *o.older)...)
	}
	return out
}
