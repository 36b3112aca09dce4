package watchcache

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// FirstEra is the highest era of a store that has never come back from a copy.
const FirstEra = 1

// eraState is what a cache knows of the store's era.
type eraState struct {
	era        uint64
	eraKnown   bool // the store or a peer has named the era
	eraChanges int  // how often the era has risen since then
	refollow   bool // the Follows in effect belong to an earlier era
}

// Era returns the era of the store, 0 while it is unknown.
func (c *Cache) Era() uint64 { return c.era }

// EraChanges returns how often the era has changed since the cache has known it.
func (c *Cache) EraChanges() int { return c.eraChanges }

// SetNewer sets the order of the versions that the objects of a kind have beside their revisions. If the store comes back with an
// older version of an object, or without the object, the nodes keep the newer version and tell it to each other until the
// store has caught up. newer reports whether next is newer than old.
func (c *Cache) SetNewer(kind string, newer func(old, next Object) bool) {
	c.kindCaches[kind].newer = newer
}

// learnEra records an era that the store or a peer has named. The first one is no change.
func (c *Cache) learnEra(now time.Time, era uint64, from string) []event.Action {
	switch {
	case !c.eraKnown && (era <= FirstEra || !c.anyLoaded()):
		c.era, c.eraKnown = era, true
		return []event.Action{EraLearned{Era: era}}
	case c.eraKnown && era <= c.era:
		return nil
	}
	// Objects that were loaded while the era was unknown come from an earlier release, and may be of any era.
	out := []event.Action{
		event.Log{Kind: "store", Choice: "era", Reason: fmt.Sprintf("era %d after %d, named by %s", era, c.era, from)},
		EraChanged{Era: era},
	}
	c.refollow = c.refollow || !c.eraKnown
	c.era, c.eraKnown, c.advanced = era, true, true
	c.eraChanges++
	c.peerSettledAt = time.Time{}
	for _, kind := range c.kinds {
		c.kindCaches[kind].outdate()
	}
	return append(out, c.updateReachability(now)...)
}

// learnPeerEra records the era that a peer has named; 0 is that of a peer that does not know it.
func (c *Cache) learnPeerEra(now time.Time, era uint64, from id.Node) []event.Action {
	if era == 0 {
		return nil
	}
	before, known := c.era, c.eraKnown
	out := c.learnEra(now, era, string(from))
	c.refollow = c.refollow || known && c.era != before
	return out
}

// anyLoaded reports whether any kind has been loaded.
func (c *Cache) anyLoaded() bool {
	return slices.ContainsFunc(c.kinds, c.Loaded)
}

// inEra reports whether a peer's message belongs to the known era. Earlier releases do not name an era; their messages count
// as long as the store has never come back.
func (c *Cache) inEra(era uint64) bool {
	return era == c.era || era == 0 && c.era <= FirstEra && c.eraChanges == 0
}

// outdate marks the copy as one of an earlier era. Its objects stay in use until a whole list of the new era replaces them.
func (k *kindCache) outdate() {
	k.outdated = true
	k.revision, k.tombstones, k.tombstoneFloor = 0, nil, 0
}

// replaceOutdated replaces the copy of an earlier era. All objects count as changed, because their revisions have another meaning
// now, and no deletion is settled, because owners write objects again that the store has lost.
func (c *Cache) replaceOutdated(kind string, k *kindCache, revision uint64, objects []Object) []event.Action {
	before := k.objects
	k.keep(before)
	k.outdated, k.objects, k.tombstoneFloor = false, map[string]Object{}, revision
	var out []event.Action
	for _, o := range objects {
		out = append(out, c.putObject(kind, k, o)...)
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, listed := k.objects[name]; !listed {
			out = append(out, ObjectDeleted{Kind: kind, Name: name})
		}
	}
	return append(out, c.advanceRevision(kind, k, revision)...)
}

// keep remembers the newest versions of objects of an earlier era.
func (k *kindCache) keep(objects map[string]Object) {
	if k.newer == nil {
		return
	}
	for name, o := range objects {
		if k.newer(k.kept[name], o) {
			k.kept[name] = o
		}
	}
}

// dropKept forgets the kept version of an object unless it is newer than the store's.
func (k *kindCache) dropKept(o Object) {
	if old, ok := k.kept[o.Name]; ok && !k.newer(o, old) {
		delete(k.kept, o.Name)
	}
}

// applyKept takes the versions that a peer keeps and that are newer than this node's.
func (c *Cache) applyKept(kind string, k *kindCache, objects []Object) []event.Action {
	var out []event.Action
	for _, o := range objects {
		if k.newer == nil || !k.lacks(o) {
			continue
		}
		k.kept[o.Name] = o
		c.advanced = true
		out = append(out, ObjectChanged{Kind: kind, Object: o})
	}
	return out
}

// lacks reports whether this node has no version of an object that is as new.
func (k *kindCache) lacks(o Object) bool {
	return k.newer(k.objects[o.Name], o) && k.newer(k.kept[o.Name], o)
}

// keptObjects returns the kept objects in the order of their names.
func (k *kindCache) keptObjects() []Object {
	var out []Object
	for _, name := range slices.Sorted(maps.Keys(k.kept)) {
		out = append(out, k.kept[name])
	}
	return out
}

// keptDigest returns a hash of the kept objects, 0 if there are none.
func (k *kindCache) keptDigest() uint64 {
	if len(k.kept) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, o := range k.keptObjects() {
		_, _ = h.WriteString(strconv.Quote(o.Name))
		_, _ = h.Write(o.Spec)
	}
	return max(1, h.Sum64())
}
