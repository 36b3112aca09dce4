package watchcache_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/id"
	"bluebellflow/core/watchcache"
)

// simStore is a store of one kind that can return to a copy.
type simStore struct {
	era, revision uint64
	objects       map[string]watchcache.Object
	deleted       map[string]uint64 // revisions of the last deletions
}

func (s *simStore) clone() simStore {
	return simStore{era: s.era, revision: s.revision, objects: maps.Clone(s.objects), deleted: maps.Clone(s.deleted)}
}

// change writes or deletes a random object.
func (s *simStore) change(rng *rand.Rand) {
	s.revision++
	name := strconv.Itoa(rng.IntN(8))
	if _, ok := s.objects[name]; ok && rng.IntN(3) == 0 {
		delete(s.objects, name)
		s.deleted[name] = s.revision
		return
	}
	delete(s.deleted, name)
	s.objects[name] = watchcache.Object{Name: name, Revision: s.revision, Spec: []byte(strconv.Itoa(rng.IntN(1000)))}
}

func (s *simStore) list(kind string) watchcache.Listed {
	out := watchcache.Listed{Kind: kind, Era: s.era, Revision: s.revision}
	for _, name := range slices.Sorted(maps.Keys(s.objects)) {
		out.Objects = append(out.Objects, s.objects[name])
	}
	return out
}

// TestEras guards against copies that differ from the store for good after it has come back from copies in random order with
// changes, nodes that are cut off, and answers of earlier eras that arrive late.
func TestEras(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			names := []id.Node{"a", "b", "c", "d", "e"}
			n := newNetwork(names...)
			for name, c := range n.caches {
				c.SetSource(n.now, "a", []id.Node{"a", "b"}, name < "c")
			}
			store := simStore{era: 1, revision: 100, objects: map[string]watchcache.Object{}, deleted: map[string]uint64{}}
			saved := store.clone()
			var late []watchcache.Listed // answers that were under way
			for range 300 {
				switch rng.IntN(16) {
				case 0:
					saved = store.clone()
				case 1:
					era := store.era + 1
					store = saved.clone()
					store.era = era
				case 2:
					late = append(late, store.list("config"))
				case 3:
					if len(late) > 0 {
						n.step(names[rng.IntN(2)], late[rng.IntN(len(late))])
					}
				case 4:
					n.isolated = id.NewSet(names[rng.IntN(len(names))])
				case 5:
					n.isolated = id.NewSet[id.Node]()
				case 6, 7, 8, 9, 10:
					n.serve(&store, names[rng.IntN(2)])
				default:
					store.change(rng)
				}
				n.run(time.Duration(rng.IntN(8)) * 50 * time.Millisecond)
			}
			n.isolated = id.NewSet[id.Node]()
			for range 40 {
				n.serve(&store, names...)
				n.run(250 * time.Millisecond)
			}
			n.expectCopies(t, &store)
		})
	}
}

// serve answers the nodes that follow the store.
func (n *network) serve(store *simStore, names ...id.Node) {
	for _, name := range names {
		for _, kind := range n.followed[name].Sorted() {
			n.step(name, watchcache.StoreLink{Kind: kind, Up: true})
			n.step(name, store.list(kind))
		}
	}
}

// expectCopies asserts that all nodes have the objects of the store.
func (n *network) expectCopies(t *testing.T, store *simStore) {
	t.Helper()
	g := NewWithT(t)
	for name, c := range n.caches {
		g.Expect(c.Era()).To(Equal(store.era), string(name))
		g.Expect(c.Revision("config")).To(Equal(store.revision), string(name))
		g.Expect(c.Names("config")).To(Equal(slices.Sorted(maps.Keys(store.objects))), string(name))
		for _, want := range store.objects {
			got, _ := c.Object("config", want.Name)
			g.Expect(got).To(Equal(want), string(name))
		}
	}
}
