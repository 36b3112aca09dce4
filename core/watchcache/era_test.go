package watchcache_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
	"bluebellflow/core/watchcache"
	"bluebellflow/core/wire"
)

// eraNetwork returns a network in which a follows the store in era 1 and the others rely on it.
func eraNetwork(others ...id.Node) *network {
	names := append([]id.Node{"a"}, others...)
	n := newNetwork(names...)
	for _, c := range n.caches {
		c.SetSource(n.now, "a", nil, false)
		c.SetNewer("config", newerVersion)
	}
	n.run(50 * time.Millisecond)
	n.step("a", watchcache.StoreEra{Era: 1})
	for _, kind := range []string{"nodes", "config"} {
		n.step("a", watchcache.StoreLink{Kind: kind, Up: true})
	}
	n.listEra("a", 1, 100, version(15, 90), object("x", 95))
	n.run(3 * time.Second)
	return n
}

// version returns the object main with a version, which orders its copies across eras.
func version(v int, revision uint64) watchcache.Object {
	return watchcache.Object{Name: "main", Revision: revision, Spec: []byte(strconv.Itoa(v))}
}

func newerVersion(old, next watchcache.Object) bool { return versionOf(next) > versionOf(old) }

func versionOf(o watchcache.Object) int {
	v, _ := strconv.Atoi(string(o.Spec))
	return v
}

// listEra gives a node the lists of both kinds from the store.
func (n *network) listEra(name id.Node, era, revision uint64, objects ...watchcache.Object) {
	n.step(name, watchcache.Listed{Kind: "nodes", Era: era, Revision: revision})
	n.step(name, watchcache.Listed{Kind: "config", Era: era, Revision: revision, Objects: objects})
}

// forget drops what has been reported so far.
func (n *network) forget() {
	clear(n.changed)
	clear(n.deleted)
	clear(n.reachability)
	clear(n.follows)
	clear(n.eras)
}

// TestEraOrder guards against a copy that an answer of an earlier era replaces, and against one that keeps its higher revision
// in a later era.
func TestEraOrder(t *testing.T) {
	t.Run("higher", func(t *testing.T) {
		g := NewWithT(t)
		n := eraNetwork()
		n.forget()
		n.listEra("a", 2, 60, version(12, 50), object("y", 55))
		g.Expect(n.eras["a"]).To(Equal([]uint64{2}))
		g.Expect(n.changed["a"]).To(Equal([]string{"main@50", "y@55"}))
		g.Expect(n.deleted["a"]).To(Equal([]watchcache.ObjectDeleted{{Kind: "config", Name: "x"}}), "the deletion is not settled")
		n.step("a", watchcache.Updated{Kind: "config", Era: 2, Revision: 70, Objects: []watchcache.Object{object("x", 70)}})
		g.Expect(n.changed["a"]).To(ContainElement("x@70"))
		g.Expect(n.caches["a"].Revision("config")).To(Equal(uint64(70)))
	})
	t.Run("unchanged objects", func(t *testing.T) {
		n := eraNetwork()
		n.forget()
		n.listEra("a", 2, 100, version(15, 90), object("x", 95))
		NewWithT(t).Expect(n.changed["a"]).To(Equal([]string{"main@90", "x@95"}), "their revisions mean something else now")
	})
	t.Run("lower", func(t *testing.T) {
		g := NewWithT(t)
		n := eraNetwork()
		n.listEra("a", 2, 60, version(12, 50))
		n.forget()
		n.listEra("a", 1, 200, version(15, 90), object("x", 95))
		n.step("a", watchcache.Updated{Kind: "config", Era: 1, Revision: 210, Deleted: []string{"main"}})
		n.step("a", watchcache.StoreEra{Era: 1})
		n.step("a", event.Receive{From: "b", Body: watchcache.ChangeSet{Kind: "config", Era: 1, Revision: 220, Whole: true}})
		g.Expect(n.changed["a"]).To(BeEmpty())
		g.Expect(n.deleted["a"]).To(BeEmpty())
		g.Expect(n.eras["a"]).To(BeEmpty())
		g.Expect(n.caches["a"].Era()).To(Equal(uint64(2)))
	})
	t.Run("change before the list", func(t *testing.T) {
		g := NewWithT(t)
		n := eraNetwork()
		n.forget()
		n.step("a", watchcache.Updated{Kind: "config", Era: 2, Revision: 70, Objects: []watchcache.Object{object("y", 70)}})
		g.Expect(n.eras["a"]).To(Equal([]uint64{2}))
		g.Expect(n.changed["a"]).To(BeEmpty(), "the changes before it are missing")
		n.listEra("a", 2, 70, object("y", 70))
		g.Expect(n.changed["a"]).To(Equal([]string{"y@70"}))
	})
	t.Run("again before the lists", func(t *testing.T) {
		g := NewWithT(t)
		n := eraNetwork("b")
		n.step("a", watchcache.Listed{Kind: "nodes", Era: 2, Revision: 60})
		n.step("a", watchcache.StoreEra{Era: 3})
		n.listEra("a", 2, 60, object("x", 5))
		n.listEra("a", 3, 50, version(12, 50))
		n.run(time.Second)
		for _, name := range []id.Node{"a", "b"} {
			g.Expect(n.eras[name]).To(HaveExactElements(uint64(2), uint64(3)), string(name))
			g.Expect(n.caches[name].Names("config")).To(Equal([]string{"main"}), string(name))
			g.Expect(n.caches[name].Revision("config")).To(Equal(uint64(50)), string(name))
		}
	})
}

// TestFirstEra guards against a process that takes the first era that it hears of for a change.
func TestFirstEra(t *testing.T) {
	n := eraNetwork("b")
	g := NewWithT(t)
	g.Expect(n.eras).To(BeEmpty())
	g.Expect(n.caches["b"].Era()).To(Equal(uint64(1)))
}

// TestEraLearned guards against a process that does not know the era before it sees the first object, and so takes what the store
// has forgotten for what it never had.
func TestEraLearned(t *testing.T) {
	c := watchcache.New(event.Self{Node: "a"}, "nodes")
	out := c.Step(time.Unix(1, 0), watchcache.Listed{Kind: "nodes", Era: 5, Revision: 7, Objects: []watchcache.Object{object("x", 7)}})
	NewWithT(t).Expect(out[:2]).To(Equal([]event.Action{
		watchcache.EraLearned{Era: 5}, watchcache.ObjectChanged{Kind: "nodes", Object: object("x", 7)},
	}))
}

// TestEraFromPeer guards against a node that keeps what the store has lost because its own connection to the store says nothing
// of the new era.
func TestEraFromPeer(t *testing.T) {
	t.Run("relies on the source", func(t *testing.T) {
		g := NewWithT(t)
		n := eraNetwork("b", "c")
		n.forget()
		n.listEra("a", 2, 60, version(12, 50))
		n.run(500 * time.Millisecond)
		for _, name := range []id.Node{"b", "c"} {
			g.Expect(n.eras[name]).To(Equal([]uint64{2}))
			g.Expect(n.changed[name]).To(ContainElement("main@50"))
			g.Expect(n.caches[name].Names("config")).To(Equal([]string{"main"}))
			g.Expect(n.followed[name]).To(BeEmpty())
		}
	})
	t.Run("follows the store", func(t *testing.T) {
		g := NewWithT(t)
		n := eraNetwork("b")
		n.caches["b"].SetSource(n.now, "a", nil, true)
		n.run(time.Second)
		n.forget()
		n.listEra("a", 2, 60, version(12, 50))
		n.run(1500 * time.Millisecond)
		g.Expect(n.caches["b"].Revision("config")).To(Equal(uint64(60)))
		var kinds []string
		for _, f := range n.follows["b"] {
			g.Expect(f.Era).To(Equal(uint64(2)))
			kinds = append(kinds, f.Kind)
		}
		g.Expect(kinds).To(ConsistOf("config", "nodes"), "each is followed anew, once")
		n.listEra("b", 1, 300, object("x", 300))
		g.Expect(n.caches["b"].Names("config")).To(Equal([]string{"main"}))
	})
	t.Run("was cut off", func(t *testing.T) {
		g := NewWithT(t)
		n := eraNetwork("b")
		n.isolated.Add("b")
		n.listEra("a", 2, 60, version(12, 50))
		n.listEra("a", 3, 55, version(12, 50), object("z", 52))
		n.run(5 * time.Second)
		g.Expect(n.caches["b"].Names("config")).To(Equal([]string{"main", "x"}), "the copy stays in use")
		n.isolated.Delete("b")
		n.run(1500 * time.Millisecond)
		g.Expect(n.caches["b"].Era()).To(Equal(uint64(3)))
		g.Expect(n.caches["b"].Names("config")).To(Equal([]string{"main", "z"}))
	})
}

// TestEraSettles guards against deletions that count as those by the owners although the store has lost the objects, and the
// owners write them again.
func TestEraSettles(t *testing.T) {
	for _, c := range []struct {
		early   bool // the era is known before the lists
		wait    time.Duration
		settled bool
	}{
		{true, watchcache.SettleTime - 100*time.Millisecond, false},
		{true, watchcache.SettleTime + 100*time.Millisecond, true},
		{false, watchcache.SettleTime - 100*time.Millisecond, false},
		{false, watchcache.SettleTime + 100*time.Millisecond, true},
	} {
		t.Run(fmt.Sprint(c.early, c.wait), func(t *testing.T) {
			g := NewWithT(t)
			n := eraNetwork("b")
			n.forget()
			if c.early {
				n.step("a", watchcache.StoreEra{Era: 2})
				n.run(5 * time.Second) // does not count, because nothing was listed
			}
			n.listEra("a", 2, 60, object("x", 50))
			n.run(c.wait)
			n.step("a", watchcache.Updated{Kind: "config", Era: 2, Revision: 70, Deleted: []string{"x"}})
			n.run(500 * time.Millisecond)
			for _, name := range []id.Node{"a", "b"} {
				g.Expect(n.deleted[name]).To(ContainElement(watchcache.ObjectDeleted{Kind: "config", Name: "x", Settled: c.settled}), string(name))
			}
			g.Expect(n.reachability["a"]).To(HaveExactElements(
				watchcache.Reachability{Kind: "nodes"}, watchcache.Reachability{Kind: "config"},
				watchcache.Reachability{Kind: "nodes", Up: true}, watchcache.Reachability{Kind: "config", Up: true}), "the settle time counts from the lists")
		})
	}
}

// TestSourceOfEarlierEra guards against a node that relies on a source which has not noticed the new era.
func TestSourceOfEarlierEra(t *testing.T) {
	n := eraNetwork("b")
	n.step("b", watchcache.StoreEra{Era: 2})
	n.isolated.Add("a") // it does not hear of the era from b either
	for range 8 {
		n.step("b", event.Receive{From: "a", Body: watchcache.PollReply{Up: true, Settled: true, Era: 1}})
		n.run(250 * time.Millisecond)
	}
	NewWithT(t).Expect(n.followed["b"].Sorted()).To(Equal([]string{"config", "nodes"}))
}

// TestEarlierRelease guards against nodes of two releases that do not take changes from each other any more, and against changes
// of an earlier era from a node that does not know eras.
func TestEarlierRelease(t *testing.T) {
	update := watchcache.Updated{Kind: "config", Era: 1, Revision: 110, Objects: []watchcache.Object{object("y", 110)}}
	t.Run("before a change", func(t *testing.T) {
		for _, earlier := range []id.Node{"a", "b"} {
			t.Run(string(earlier), func(t *testing.T) {
				g := NewWithT(t)
				n := eraNetwork("b")
				n.earlier.Add(earlier)
				n.step("a", update)
				n.run(3 * time.Second)
				g.Expect(n.changed["b"]).To(ContainElement("y@110"))
				g.Expect(n.followed["b"]).To(BeEmpty())
				g.Expect(n.eras).To(BeEmpty())
			})
		}
	})
	t.Run("after a change", func(t *testing.T) {
		g := NewWithT(t)
		n := eraNetwork("b")
		n.earlier.Add("a")
		n.step("b", watchcache.StoreEra{Era: 2})
		n.step("a", update)
		n.run(1500 * time.Millisecond)
		g.Expect(n.changed["b"]).NotTo(ContainElement("y@110"))
		g.Expect(n.followed["b"].Sorted()).To(Equal([]string{"config", "nodes"}))
	})
	t.Run("changes of an earlier era for a new process", func(t *testing.T) {
		stale := event.Receive{From: "b", Body: watchcache.ChangeSet{
			Kind: "config", Revision: 100, Whole: true, Objects: []watchcache.Object{object("x", 95)},
		}}
		for name, events := range map[string][]event.Event{
			"before the store": {stale, watchcache.StoreEra{Era: 2}},
			"after the store":  {watchcache.StoreEra{Era: 2}, stale},
		} {
			t.Run(name, func(t *testing.T) {
				n := newNetwork("a")
				n.caches["a"].SetSource(n.now, "a", nil, false)
				g := NewWithT(t)
				for _, ev := range events {
					n.step("a", ev)
				}
				last := n.follows["a"][len(n.follows["a"])-1]
				g.Expect(last.Revision).To(BeZero(), "a watch from a revision of an earlier era misses changes")
				n.listEra("a", 2, 60, object("y", 55))
				g.Expect(n.caches["a"].Names("config")).To(Equal([]string{"y"}))
			})
		}
	})
	t.Run("decodes what it does not know", func(t *testing.T) {
		for kind, want := range earlierBodies {
			g := NewWithT(t)
			raw, err := proxy.Codec().Encode(wire.Envelope{From: "a", Incarnation: "00000000000000000000000000000000"}, newerBodies[kind])
			g.Expect(err).NotTo(HaveOccurred())
			got, err := wire.New(map[uint32]event.Body{kind: want}).Decode(raw)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got.Body).To(Equal(want))
		}
	})
}

// The messages of this release, and those of an earlier one, by their kinds.
var (
	newerBodies = map[uint32]event.Body{
		65: watchcache.KnownRevisions{Revisions: slices.Repeat([]watchcache.KindRevision{{Kind: "config", Known: 7, Kept: 1 << 63}}, 12), Era: 3},
		66: watchcache.ChangeSet{Kind: "config", Revision: 7, Era: 3, Kept: slices.Repeat([]watchcache.Object{{Name: "main", Revision: 90, Spec: []byte("15")}}, 12)},
		67: watchcache.PollReply{Up: true, Era: 3},
	}
	earlierBodies = map[uint32]event.Body{
		65: earlierRevisions{Revisions: slices.Repeat([]earlierRevision{{Kind: "config", Known: 7}}, 12)},
		66: earlierChanges{Kind: "config", Revision: 7}, 67: earlierReply{Up: true},
	}
)

type (
	earlierRevision struct {
		Kind  string `protobuf:"bytes,1,opt,name=kind"`
		Known uint64 `protobuf:"varint,2,opt,name=known"`
	}
	earlierRevisions struct {
		Revisions []earlierRevision `protobuf:"bytes,1,rep,name=revisions"`
		Poll      bool              `protobuf:"varint,2,opt,name=poll"`
	}
	earlierChanges struct {
		Kind     string `protobuf:"bytes,1,opt,name=kind"`
		Revision uint64 `protobuf:"varint,2,opt,name=revision"`
	}
	earlierReply struct {
		Up bool `protobuf:"varint,1,opt,name=up"`
	}
)

func (earlierRevisions) Check() error { return nil }
func (earlierChanges) Check() error   { return nil }
func (earlierReply) Check() error     { return nil }

// TestKeptVersion guards against a process that starts after the store has come back, and takes an older version from it than
// the others have had.
func TestKeptVersion(t *testing.T) {
	start := func() *network {
		n := eraNetwork("b")
		n.listEra("a", 2, 60, version(12, 50))
		n.restart("b", 2, 60, version(12, 50))
		n.run(2 * time.Second)
		return n
	}
	t.Run("is told to it", func(t *testing.T) {
		g := NewWithT(t)
		n := start()
		g.Expect(n.changed["b"]).To(Equal([]string{"main@50", "main@90"}))
		g.Expect(n.changed["a"]).To(BeEmpty())
	})
	t.Run("is told to it if the store lacks the object", func(t *testing.T) {
		n := eraNetwork("b")
		n.listEra("a", 2, 60)
		n.restart("b", 2, 60)
		n.run(2 * time.Second)
		NewWithT(t).Expect(n.changed["b"]).To(Equal([]string{"main@90"}))
	})
	t.Run("is dropped when the store has a newer one", func(t *testing.T) {
		n := start()
		n.step("a", watchcache.Updated{Kind: "config", Era: 2, Revision: 61, Objects: []watchcache.Object{version(18, 61)}})
		n.listEra("a", 3, 40, version(9, 40))
		n.restart("b", 3, 40, version(9, 40))
		n.run(2 * time.Second)
		NewWithT(t).Expect(n.changed["b"]).To(Equal([]string{"main@40", "main@61"}))
	})
	t.Run("messages end", func(t *testing.T) {
		n := start()
		n.sent = 0
		n.run(10 * time.Second)
		NewWithT(t).Expect(n.sent).To(BeNumerically("<", 100), "messages in ten seconds")
	})
}

// restart replaces a node by one that has just started and gets lists from the store.
func (n *network) restart(name id.Node, era, revision uint64, objects ...watchcache.Object) {
	n.caches[name] = newNetwork(name).caches[name]
	n.caches[name].SetNewer("config", newerVersion)
	n.caches[name].SetPeers(keys(n.caches))
	n.forget()
	n.step(name, event.Tick{})
	n.listEra(name, era, revision, objects...)
}

// TestKeptWhileOutdated guards against a change set that receivers reject, because it has the objects of an earlier era.
func TestKeptWhileOutdated(t *testing.T) {
	n := eraNetwork("b")
	n.listEra("a", 2, 50, version(12, 40))
	n.run(time.Second)
	n.isolated.Add("b")
	n.step("a", watchcache.StoreEra{Era: 3})
	asked := watchcache.KnownRevisions{Era: 3, Revisions: []watchcache.KindRevision{{Kind: "config", Known: 0}}}
	for _, known := range []uint64{0, 30} {
		asked.Revisions[0].Known = known
		sets := 0
		for _, a := range n.caches["a"].Step(n.now, event.Receive{From: "b", Body: asked}) {
			if send, ok := a.(event.Send); ok {
				NewWithT(t).Expect(send.Body.Check()).To(Succeed())
				if set, ok := send.Body.(watchcache.ChangeSet); ok {
					sets++
					NewWithT(t).Expect(set.Kept).To(HaveLen(1))
				}
			}
		}
		NewWithT(t).Expect(sets).To(Equal(1))
	}
}
