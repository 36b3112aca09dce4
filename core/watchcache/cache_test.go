package watchcache_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/watchcache"
	"bluebellflow/core/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// network connects caches by messages that arrive at once, unless a node is isolated.
type network struct {
	now          time.Time
	caches       map[id.Node]*watchcache.Cache
	isolated     id.Set[id.Node]
	followed     map[id.Node]id.Set[string]
	changed      map[id.Node][]string // objects reported as changed, as name@revision
	deleted      map[id.Node][]watchcache.ObjectDeleted
	reachability map[id.Node][]watchcache.Reachability
	asSource     map[id.Node]id.Set[string] // kinds that the node follows as the source of others
	follows      map[id.Node][]watchcache.Follow
	eras         map[id.Node][]uint64 // reported by EraChanged
	earlier      id.Set[id.Node]      // nodes of an earlier release, which does not know eras
	sent         int
	lateChanges  bool // change sets arrive 50 ms after the messages that were sent with them
	late         []lateMessage
}

// lateMessage is a message that has not arrived yet.
type lateMessage struct {
	to    id.Node
	event event.Receive
}

func newNetwork(names ...id.Node) *network {
	n := &network{
		now: epoch, caches: map[id.Node]*watchcache.Cache{}, isolated: id.NewSet[id.Node](), followed: map[id.Node]id.Set[string]{},
		asSource: map[id.Node]id.Set[string]{}, follows: map[id.Node][]watchcache.Follow{}, eras: map[id.Node][]uint64{}, earlier: id.NewSet[id.Node](),
		changed: map[id.Node][]string{}, deleted: map[id.Node][]watchcache.ObjectDeleted{}, reachability: map[id.Node][]watchcache.Reachability{},
	}
	for i, name := range names {
		n.followed[name] = id.NewSet[string]()
		n.asSource[name] = id.NewSet[string]()
		n.caches[name] = watchcache.New(event.Self{Node: name, Rand: rand.New(rand.NewPCG(1, uint64(i)))}, "nodes", "config")
		n.caches[name].SetPeers(names)
	}
	return n
}

func (n *network) step(name id.Node, ev event.Event) {
	for _, a := range n.caches[name].Step(n.now, ev) {
		switch a := a.(type) {
		case event.Send:
			n.sent++
			if !n.isolated.Has(name) && !n.isolated.Has(a.To) && messageSize(a.Body) <= wire.MaxMessage {
				n.deliver(a.To, event.Receive{From: name, Body: n.encoded(name, a.Body)})
			}
		case watchcache.EraChanged:
			n.eras[name] = append(n.eras[name], a.Era)
		case watchcache.Follow:
			n.follows[name] = append(n.follows[name], a)
			n.followed[name].Add(a.Kind)
			n.asSource[name].Delete(a.Kind)
			if a.AsSource {
				n.asSource[name].Add(a.Kind)
			}
		case watchcache.Unfollow:
			n.followed[name].Delete(a.Kind)
		case watchcache.ObjectChanged:
			n.changed[name] = append(n.changed[name], fmt.Sprint(a.Object.Name, "@", a.Object.Revision))
		case watchcache.ObjectDeleted:
			n.deleted[name] = append(n.deleted[name], a)
		case watchcache.Reachability:
			n.reachability[name] = append(n.reachability[name], a)
		}
	}
}

// deliver lets a message arrive, unless it is a late one.
func (n *network) deliver(to id.Node, ev event.Receive) {
	if _, set := ev.Body.(watchcache.ChangeSet); set && n.lateChanges {
		n.late = append(n.late, lateMessage{to, ev})
		return
	}
	n.step(to, ev)
}

// messageSize returns the number of bytes of the objects in a message.
func messageSize(body event.Body) int {
	set, _ := body.(watchcache.ChangeSet)
	size := 0
	for _, o := range append(slices.Clone(set.Objects), set.Kept...) {
		size += len(o.Spec) + len(o.Status)
	}
	return size
}

// encoded returns a message as its receiver decodes it.
func (n *network) encoded(from id.Node, body event.Body) event.Body {
	if !n.earlier.Has(from) {
		return body
	}
	switch b := body.(type) {
	case watchcache.KnownRevisions:
		b.Era = 0
		return b
	case watchcache.ChangeSet:
		b.Era, b.Kept = 0, nil
		return b
	case watchcache.PollReply:
		b.Era = 0
		return b
	}
	return body
}

// run lets time pass.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(50 * time.Millisecond) {
		late := n.late
		n.late = nil
		for _, m := range late {
			n.step(m.to, m.event)
		}
		for _, name := range id.NewSet(keys(n.caches)...).Sorted() {
			n.step(name, event.Tick{})
		}
	}
}

func keys(m map[id.Node]*watchcache.Cache) []id.Node {
	var out []id.Node
	for name := range m {
		out = append(out, name)
	}
	return out
}

func object(name string, revision uint64) watchcache.Object {
	return watchcache.Object{Name: name, Revision: revision, Spec: []byte(name)}
}

// listBoth gives a node the lists of both kinds from the store, at revision 10.
func (n *network) listBoth(name id.Node, objects ...watchcache.Object) {
	for _, kind := range []string{"nodes", "config"} {
		n.step(name, watchcache.StoreLink{Kind: kind, Up: true})
	}
	n.step(name, watchcache.Listed{Kind: "nodes", Revision: 10})
	n.step(name, watchcache.Listed{Kind: "config", Revision: 10, Objects: objects})
}

// TestOlderStateIsIgnored guards against a cache that accepts an older state, from the store or from a peer.
func TestOlderStateIsIgnored(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork("a")
	n.step("a", event.Tick{})
	n.listBoth("a", object("main", 9))
	n.step("a", watchcache.Listed{Kind: "config", Revision: 8, Objects: []watchcache.Object{object("main", 7)}})
	n.step("a", watchcache.Updated{Kind: "config", Revision: 9, Deleted: []string{"main"}})
	n.step("a", event.Receive{From: "b", Body: watchcache.ChangeSet{Kind: "config", Revision: 10, Whole: true}})
	g.Expect(n.changed["a"]).To(Equal([]string{"main@9"}))
	g.Expect(n.deleted["a"]).To(BeEmpty())
	n.step("a", watchcache.Updated{Kind: "config", Revision: 12, Objects: []watchcache.Object{object("main", 12)}})
	g.Expect(n.changed["a"]).To(Equal([]string{"main@9", "main@12"}))
	g.Expect(n.caches["a"].Revision("config")).To(Equal(uint64(12)))
}

// TestGossip guards against nodes that miss a change or a deletion that only some nodes got from the store.
func TestGossip(t *testing.T) {
	for name, whole := range map[string]bool{"changes only": false, "whole kind": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := newNetwork("a", "b", "c", "d", "e", "f", "g", "h", "i")
			n.run(100 * time.Millisecond)
			if !whole {
				for _, node := range keys(n.caches) {
					n.listBoth(node, object("x", 3), object("y", 4))
				}
			}
			n.listBoth("a", object("x", 3), object("y", 4))
			n.step("a", watchcache.Updated{Kind: "config", Revision: 20, Objects: []watchcache.Object{object("z", 20)}, Deleted: []string{"x"}})
			n.run(5 * time.Second)
			for _, node := range keys(n.caches) {
				g.Expect(n.caches[node].Names("config")).To(Equal([]string{"y", "z"}), string(node))
				g.Expect(n.caches[node].Loaded("config")).To(BeTrue())
			}
		})
	}
}

// TestGossipTerminates guards against two caches that are each ahead in another kind and answer each other endlessly.
func TestGossipTerminates(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork("a", "b")
	n.run(50 * time.Millisecond)
	n.listBoth("a", object("main", 9))
	n.listBoth("b", object("main", 9))
	n.isolated.Add("a")
	n.step("a", watchcache.Listed{Kind: "nodes", Revision: 30})
	n.step("b", watchcache.Listed{Kind: "config", Revision: 40, Objects: []watchcache.Object{object("main", 9)}})
	n.isolated.Delete("a")
	n.sent = 0
	n.run(10 * time.Second)
	g.Expect(n.sent).To(BeNumerically("<", 60), "messages in ten seconds")
	g.Expect(n.caches["a"].Revision("config")).To(Equal(uint64(40)))
	g.Expect(n.caches["b"].Revision("nodes")).To(Equal(uint64(30)))
}

// TestSource guards against nodes that all follow the store, and against a node that relies on a source which the store
// does not answer, which is isolated, or which is no longer set.
func TestSource(t *testing.T) {
	start := func() *network {
		n := newNetwork("a", "b")
		n.caches["a"].SetSource(n.now, "a", nil, false)
		n.caches["b"].SetSource(n.now, "a", nil, false)
		n.run(50 * time.Millisecond)
		n.listBoth("a", object("main", 9))
		n.run(3 * time.Second)
		return n
	}
	all := []string{"config", "nodes"}
	t.Run("relies on it", func(t *testing.T) {
		g := NewWithT(t)
		n := start()
		g.Expect(n.followed["a"].Sorted()).To(Equal(all))
		g.Expect(n.followed["b"]).To(BeEmpty())
		n.step("a", watchcache.Updated{Kind: "config", Revision: 11, Objects: []watchcache.Object{object("main", 11)}})
		n.run(400 * time.Millisecond)
		g.Expect(n.changed["b"]).To(ContainElement("main@11"))
	})
	faults := map[string]func(n *network){
		"the store does not answer the source": func(n *network) { n.step("a", watchcache.StoreLink{Kind: "config"}) },
		"the source is isolated":               func(n *network) { n.isolated.Add("a") },
		"there is no longer a source":          func(n *network) { n.caches["b"].SetSource(n.now, "", nil, false) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := start()
			fault(n)
			n.run(1500 * time.Millisecond)
			g.Expect(n.followed["b"].Sorted()).To(Equal(all))
			g.Expect(n.asSource["b"]).To(BeEmpty(), "many nodes may follow the store at such a time")
		})
	}
	t.Run("follows beside it", func(t *testing.T) {
		g := NewWithT(t)
		n := start()
		n.caches["b"].SetSource(n.now, "a", nil, true)
		n.run(time.Second)
		g.Expect(n.followed["b"].Sorted()).To(Equal(all))
		g.Expect(n.asSource["b"]).To(BeEmpty())
		g.Expect(n.asSource["a"].Sorted()).To(Equal(all))
		n.caches["a"].SetSource(n.now, "b", nil, true)
		n.caches["b"].SetSource(n.now, "b", nil, true)
		n.run(time.Second)
		g.Expect(n.asSource["a"]).To(BeEmpty())
		g.Expect(n.asSource["b"].Sorted()).To(Equal(all))
	})
	t.Run("changes of a kind may be late", func(t *testing.T) {
		g := NewWithT(t)
		n := newNetwork("a")
		n.caches["a"].AllowLate("config")
		n.caches["a"].SetSource(n.now, "a", nil, false)
		n.run(time.Second)
		g.Expect(n.followed["a"].Sorted()).To(Equal(all))
		g.Expect(n.asSource["a"].Sorted()).To(Equal([]string{"nodes"}))
	})
	t.Run("relies on it again", func(t *testing.T) {
		g := NewWithT(t)
		n := start()
		n.isolated.Add("a")
		n.run(2 * time.Second)
		n.isolated.Delete("a")
		n.run(3 * time.Second)
		g.Expect(n.followed["b"]).To(BeEmpty())
	})
	t.Run("no two nodes confirm each other", func(t *testing.T) {
		g := NewWithT(t)
		n := start()
		n.caches["a"].SetSource(n.now, "b", nil, false)
		n.run(5 * time.Second)
		g.Expect(len(n.followed["a"])+len(n.followed["b"])).To(BeNumerically(">", 0), "nobody follows the store")
	})
}

// TestSettled guards against a deletion that counts as one by the owner although the object may have expired while the
// store was unreachable.
func TestSettled(t *testing.T) {
	cases := map[string]struct {
		upFor time.Duration
		want  bool
	}{
		"reachable for a short time": {500 * time.Millisecond, false},
		"settled":                    {3 * time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := newNetwork("a", "b")
			n.run(1200 * time.Millisecond) // without a source they follow the store themselves
			n.listBoth("b", object("x", 3))
			n.listBoth("a", object("x", 3))
			n.step("b", watchcache.StoreLink{Kind: "config"})
			n.run(c.upFor)
			n.step("a", watchcache.Updated{Kind: "config", Revision: 11, Deleted: []string{"x"}})
			n.run(3 * time.Second)
			for _, node := range []id.Node{"a", "b"} {
				g.Expect(n.deleted[node]).To(Equal([]watchcache.ObjectDeleted{{Kind: "config", Name: "x", Settled: c.want}}), string(node))
			}
		})
	}
}

// TestStoreRejectsOneNode guards against a node that the store rejects while it serves the others, and that keeps using
// objects deleted meanwhile because it assumes that the store was unreachable.
func TestStoreRejectsOneNode(t *testing.T) {
	cases := map[string]struct {
		others bool // the store serves the others
		want   bool
	}{
		"the store serves the others": {true, true},
		"the store was unreachable":   {false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := newNetwork("a", "b")
			n.run(1200 * time.Millisecond)
			setStoreUp := func(up bool, names ...id.Node) {
				for _, name := range names {
					n.step(name, watchcache.StoreLink{Kind: "config", Up: up})
					n.step(name, watchcache.StoreLink{Kind: "nodes", Up: up})
				}
			}
			n.listBoth("a", object("x", 3))
			n.listBoth("b", object("x", 3))
			n.run(5 * time.Second)
			setStoreUp(false, "b")
			if !c.others {
				setStoreUp(false, "a")
			}
			n.run(5 * time.Second)
			setStoreUp(true, "a", "b")
			n.step("b", watchcache.Updated{Kind: "config", Revision: 11, Deleted: []string{"x"}})
			g.Expect(n.deleted["b"]).To(Equal([]watchcache.ObjectDeleted{{Kind: "config", Name: "x", Settled: c.want}}))
		})
	}
}

// TestReachability guards against a node with a source that does not tell its own packages whether the store is reachable:
// entries that expired while the store was unreachable would then count as deleted at once.
func TestReachability(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork("a", "b")
	n.caches["a"].SetSource(n.now, "a", nil, false)
	n.caches["b"].SetSource(n.now, "a", nil, false)
	n.run(50 * time.Millisecond)
	n.listBoth("a", object("x", 3))
	n.run(3 * time.Second)
	g.Expect(n.followed["b"]).To(BeEmpty())
	n.reachability["b"] = nil
	n.step("a", watchcache.StoreLink{Kind: "config"})
	n.run(500 * time.Millisecond)
	n.step("a", watchcache.StoreLink{Kind: "config", Up: true})
	n.run(3 * time.Second)
	var config []bool
	for _, r := range n.reachability["b"] {
		if r.Kind == "config" {
			config = append(config, r.Up)
		}
	}
	g.Expect(slices.Compact(config)).To(Equal([]bool{false, true}))
}

// TestFirstListWithoutSource guards against a starting node that rejects callers until it has found a source: the load
// balancer sends callers to it before it is ready.
func TestFirstListWithoutSource(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork("a", "b")
	n.step("a", event.Tick{})
	g.Expect(n.followed["a"].Sorted()).To(Equal([]string{"config", "nodes"}), "each kind is followed at once")
	n.listBoth("a", object("main", 9))
	n.step("a", event.Tick{})
	g.Expect(n.followed["a"].Sorted()).To(Equal([]string{"nodes"}), "the rest comes from the source")
}
