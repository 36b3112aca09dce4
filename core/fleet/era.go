package fleet

import (
	"maps"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/retry"
	"bluebellflow/core/watchcache"
)

const (
	// maxHold bounds how long an entry from a restored store is not used that shows a server as it was before it left. Servers
	// write their entries again within a few seconds, and those of servers that have ended expire.
	maxHold = 10 * time.Second
	// departureMemory is how long a removed server is remembered: longer than a copy from which a store is restored is old.
	departureMemory = time.Minute
)

// departure is a server that has announced that it leaves, or whose entry was removed.
type departure struct {
	start id.Start
	at    time.Time
}

// hold keeps a server from getting work that has left in an earlier era of the store.
type hold struct {
	start id.Start
	entry *watchcache.Object // in the present era, nil if there is none yet
}

// restored is what a fleet remembers for the case that the store comes back from a copy.
type restored struct {
	eraChanged       bool
	departures       map[id.Server]departure
	holds            map[id.Server]*hold
	holdsEnd         time.Time
	evacuationsLost  bool                     // the store may have lost evacuations that are written again
	missingEvacuated id.Set[id.FailureDomain] // evacuations that the store has lost
}

func newRestored() restored {
	return restored{departures: map[id.Server]departure{}, holds: map[id.Server]*hold{}, missingEvacuated: id.NewSet[id.FailureDomain]()}
}

// settling records whether the store is reachable for a kind.
type settling struct {
	up        bool
	changedAt time.Time // when up last changed
}

func (s *settling) handle(now time.Time, ev watchcache.Reachability) {
	switch {
	case ev.Settled:
		s.up, s.changedAt = true, now.Add(-watchcache.SettleTime)
	case ev.Up != s.up || s.changedAt.IsZero():
		s.up, s.changedAt = ev.Up, now
	}
}

// settledAt returns when the store will have been reachable for SettleTime, zero while it is unreachable.
func (s settling) settledAt() time.Time {
	if !s.up {
		return time.Time{}
	}
	return s.changedAt.Add(watchcache.SettleTime)
}

// recordDeparture remembers a server that is removed.
func (f *Fleet) recordDeparture(now time.Time, s *Server) {
	maps.DeleteFunc(f.departures, func(_ id.Server, d departure) bool { return now.Sub(d.at) > departureMemory })
	f.departures[s.ID] = departure{s.Start, now}
}

// handleEraChanged holds the servers that are known to leave or to have left: the copy may still show them as ready. The store
// does not count as reachable before the first lists of the era.
func (f *Fleet) handleEraChanged(now time.Time) {
	f.serverStore, f.evacuationStore = settling{changedAt: now}, settling{changedAt: now}
	f.holdsEnd, f.evacuationsLost, f.eraChanged = now.Add(maxHold), true, true
	for _, h := range f.holds {
		h.entry = nil
	}
	for name, d := range f.departures {
		if now.Sub(d.at) <= departureMemory {
			f.holds[name] = &hold{start: d.start}
		}
	}
	for name, s := range f.servers {
		if s.Draining {
			f.holds[name] = &hold{start: s.Start}
		}
	}
}

// inFirstList reports whether an entry may be of the first list of a later era, which may show servers as they were earlier. The
// store counts as reachable only after that list.
func (f *Fleet) inFirstList() bool { return f.eraChanged && !f.serverStore.up }

// held reports whether an entry shows a held server as it was before it left. The first list of an era may do so; a later entry
// was written in that era.
func (f *Fleet) held(o watchcache.Object, entry Entry) bool {
	name := id.Server(o.Name)
	h := f.holds[name]
	if h == nil || h.start != entry.Start || h.entry != nil || !f.inFirstList() {
		delete(f.holds, name)
		delete(f.departures, name)
		return false
	}
	h.entry = &o
	return !entry.Draining
}

// dropHeldEntry forgets the entry of a held server that is no longer in the store, so that the end of the hold does not bring it
// back.
func (f *Fleet) dropHeldEntry(name id.Server) {
	if h := f.holds[name]; h != nil {
		h.entry = nil
	}
}

// releaseHolds uses the entries as they are.
func (f *Fleet) releaseHolds(now time.Time) []event.Action {
	held := f.holds
	f.holds = map[id.Server]*hold{}
	var out []event.Action
	for _, name := range slices.Sorted(maps.Keys(held)) {
		if o := held[name].entry; o != nil {
			out = append(out, f.update(now, *o)...)
		}
	}
	return out
}

// returnMissingEvacuated ends the evacuations that were not written again.
func (f *Fleet) returnMissingEvacuated() []event.Action {
	var out []event.Action
	for _, domain := range f.missingEvacuated.Sorted() {
		out = append(out, f.returnDomain(domain, "the evacuation was not written again after the store came back"))
	}
	f.evacuationsLost, f.missingEvacuated = false, id.NewSet[id.FailureDomain]()
	return out
}

// nextRestored returns the time of the next timer of what is remembered, or the zero time if there is none.
func (f *Fleet) nextRestored() time.Time {
	var holdsEnd, evacuations time.Time
	if len(f.holds) > 0 {
		holdsEnd = f.holdsEnd
	}
	if f.evacuationsLost {
		evacuations = f.evacuationStore.settledAt()
	}
	return retry.Earliest(holdsEnd, evacuations)
}

// expireRestored carries out the timers of what is remembered.
func (f *Fleet) expireRestored(now time.Time) []event.Action {
	var out []event.Action
	if len(f.holds) > 0 && !now.Before(f.holdsEnd) {
		out = append(out, f.releaseHolds(now)...)
	}
	if at := f.evacuationStore.settledAt(); f.evacuationsLost && !at.IsZero() && !now.Before(at) {
		out = append(out, f.returnMissingEvacuated()...)
	}
	return out
}
