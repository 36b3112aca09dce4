package watchcache_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"bluebellflow/core/id"
	"bluebellflow/core/watchcache"
)

// laggingStore is a store of several servers. Each call is answered by one of them, which may lack the latest changes or may not
// have noticed a restore.
type laggingStore struct {
	current   simStore
	snapshots []simStore // oldest first
}

const maxLag = 6 // snapshots

// snapshot records the state of the store after a change or a restore.
func (s *laggingStore) snapshot() {
	s.snapshots = append(s.snapshots, s.current.clone())
	s.snapshots = s.snapshots[max(0, len(s.snapshots)-maxLag):]
}

// watcher lists a kind and then watches it, as the client of the store does.
type watcher struct {
	name          id.Node
	kind          string
	era, revision uint64
}

// call makes the next call of a watcher, which a server in the given state answers.
func (w *watcher) call(n *network, server simStore) {
	switch {
	case server.era > w.era:
		w.era, w.revision = server.era, 0
		n.step(w.name, watchcache.StoreEra{Era: server.era})
	case server.era < w.era:
	case w.revision == 0:
		w.revision = server.revision
		n.step(w.name, watchcache.StoreLink{Kind: w.kind, Up: true})
		n.step(w.name, server.list(w.kind))
	case server.revision > w.revision:
		n.step(w.name, server.changes(w.kind, w.revision))
		w.revision = server.revision
	}
}

// changes returns the answer to a watch from a revision.
func (s *simStore) changes(kind string, since uint64) watchcache.Updated {
	out := watchcache.Updated{Kind: kind, Era: s.era, Revision: s.revision}
	for _, o := range s.list(kind).Objects {
		if o.Revision > since {
			out.Objects = append(out.Objects, o)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.deleted)) {
		if s.deleted[name] > since {
			out.Deleted = append(out.Deleted, name)
		}
	}
	return out
}

// laggingNetwork is a network whose nodes follow a lagging store.
type laggingNetwork struct {
	*network
	rng      *rand.Rand
	store    laggingStore
	saved    simStore // from which the store is restored
	watchers []*watcher
}

func newLaggingNetwork(seed uint64) *laggingNetwork {
	n := &laggingNetwork{network: newNetwork("a", "b", "c"), rng: rand.New(rand.NewPCG(seed, 11))}
	for name, c := range n.caches {
		c.SetSource(n.now, "a", []id.Node{"b"}, name < "c")
	}
	n.store.current = simStore{era: 1, revision: 100, objects: map[string]watchcache.Object{}, deleted: map[string]uint64{}}
	n.saved = n.store.current.clone()
	n.store.snapshot()
	return n
}

// disturb makes a random change.
func (n *laggingNetwork) disturb() {
	switch n.rng.IntN(24) {
	case 0:
		n.saved = n.store.current.clone()
	case 1:
		era := n.store.current.era + 1
		n.store.current = n.saved.clone()
		n.store.current.era = era
	case 2:
		n.isolated = id.NewSet(id.NewSet(keys(n.caches)...).Sorted()[n.rng.IntN(len(n.caches))])
	case 3:
		n.isolated = id.NewSet[id.Node]()
	case 4, 5, 6, 7:
		if len(n.watchers) > 0 {
			n.watchers[n.rng.IntN(len(n.watchers))].revision = 0 // the changes since it are gone
		}
	default:
		n.store.current.change(n.rng)
	}
	n.store.snapshot()
}

// converge lets the servers and the nodes catch up.
func (n *laggingNetwork) converge() {
	n.isolated = id.NewSet[id.Node]()
	for range 20 {
		n.startWatchers()
		for _, w := range n.watchers {
			w.call(n.network, n.store.current)
		}
		n.run(250 * time.Millisecond)
	}
}

// startWatchers starts a watcher for each new Follow and ends those that are no longer in effect.
func (n *laggingNetwork) startWatchers() {
	for _, name := range id.NewSet(keys(n.caches)...).Sorted() {
		for _, f := range n.follows[name] {
			n.watchers = slices.DeleteFunc(n.watchers, func(w *watcher) bool { return w.name == name && w.kind == f.Kind })
			n.watchers = append(n.watchers, &watcher{name: name, kind: f.Kind, era: f.Era, revision: f.Revision})
		}
		delete(n.follows, name)
	}
	n.watchers = slices.DeleteFunc(n.watchers, func(w *watcher) bool { return !n.followed[w.name].Has(w.kind) })
}

// TestLaggingServers guards against a copy that differs from the store for good after a list that is older than the copy, from a
// server that lags behind or has not noticed a restore.
func TestLaggingServers(t *testing.T) {
	const (
		seeds  = 100
		rounds = 10
		steps  = 30
	)
	for seed := range uint64(seeds) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			n := newLaggingNetwork(seed)
			for range rounds {
				for range steps {
					n.disturb()
					n.startWatchers()
					for _, w := range n.watchers {
						if n.rng.IntN(2) == 0 {
							w.call(n.network, n.store.snapshots[n.rng.IntN(len(n.store.snapshots))])
						}
					}
					n.run(time.Duration(n.rng.IntN(4)) * 50 * time.Millisecond)
				}
				n.converge()
				n.expectCopies(t, &n.store.current)
			}
		})
	}
}
