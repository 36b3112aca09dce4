package watchcache_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/id"
	"bluebellflow/core/watchcache"
)

// sourcesNetwork is a network in which a leads, b follows the store beside it, and c and d rely on a, or on b while a does not
// confirm that the store answers it.
func sourcesNetwork() *network {
	n := newNetwork("a", "b", "c", "d")
	n.setSources("a")
	n.run(50 * time.Millisecond)
	n.listBoth("a", object("main", 9))
	n.listBoth("b", object("main", 9))
	n.run(3 * time.Second)
	return n
}

func (n *network) setSources(leader id.Node) {
	for name, c := range n.caches {
		c.SetSource(n.now, leader, []id.Node{"a", "b"}, name < "c")
	}
}

// TestAlternateSource guards against a store that all nodes call at once as soon as their source is disturbed, and against
// changes that are missed meanwhile.
func TestAlternateSource(t *testing.T) {
	faults := map[string]func(n *network){
		"the store does not answer the source":    func(n *network) { n.step("a", watchcache.StoreLink{Kind: "config"}) },
		"the source is isolated":                  func(n *network) { n.isolated.Add("a") },
		"another node leads, which has just come": func(n *network) { n.setSources("b") },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			n := sourcesNetwork()
			fault(n)
			n.expectRelying(t, 5*time.Second, "c", "d")
			n.step("b", watchcache.Updated{Kind: "config", Revision: 11, Objects: []watchcache.Object{object("main", 11)}})
			n.run(400 * time.Millisecond)
			NewWithT(t).Expect(n.changed["c"]).To(ContainElement("main@11"))
		})
	}
	t.Run("the store answers no source for half a second", func(t *testing.T) {
		n := sourcesNetwork()
		n.link(false, "a", "b")
		n.expectRelying(t, 500*time.Millisecond, "c", "d")
		n.link(true, "a", "b")
		n.expectRelying(t, 2*time.Second, "c", "d")
	})
	t.Run("the store answers no source", func(t *testing.T) {
		n := sourcesNetwork()
		n.link(false, "a", "b")
		n.run(1500 * time.Millisecond)
		NewWithT(t).Expect(n.followed["c"].Sorted()).To(Equal([]string{"config", "nodes"}))
	})
	t.Run("the source is back", func(t *testing.T) {
		n := sourcesNetwork()
		n.isolated.Add("a")
		n.run(3 * time.Second)
		n.isolated.Delete("a")
		n.run(1500 * time.Millisecond)
		n.isolated.Add("b")
		n.step("a", watchcache.Updated{Kind: "config", Revision: 12, Objects: []watchcache.Object{object("main", 12)}})
		n.run(300 * time.Millisecond)
		NewWithT(t).Expect(n.changed["c"]).To(ContainElement("main@12"))
	})
}

// link sets whether the store answers some nodes.
func (n *network) link(up bool, names ...id.Node) {
	for _, name := range names {
		n.step(name, watchcache.StoreLink{Kind: "config", Up: up})
	}
}

// expectRelying lets time pass in which the named nodes must not follow the store.
func (n *network) expectRelying(t *testing.T, d time.Duration, names ...id.Node) {
	t.Helper()
	g := NewWithT(t)
	for end := n.now.Add(d); n.now.Before(end); {
		n.run(50 * time.Millisecond)
		for _, name := range names {
			g.Expect(n.followed[name]).To(BeEmpty())
		}
	}
}

// TestReplyBeforeChanges guards against a node that follows the store itself because the replies of its source overtake the changes,
// which are sent on another stream if they are large.
func TestReplyBeforeChanges(t *testing.T) {
	n := sourcesNetwork()
	n.lateChanges = true
	for _, c := range n.caches {
		c.SetPeers(nil) // in a large cluster most changes come from the source
	}
	for revision := uint64(20); revision < 80; revision++ {
		n.update(watchcache.Updated{Kind: "config", Revision: revision, Objects: []watchcache.Object{object("main", revision)}})
		n.expectRelying(t, 50*time.Millisecond, "c", "d")
	}
	for _, r := range n.reachability["c"] {
		NewWithT(t).Expect(r.Up).To(BeTrue())
	}
}

// TestDeletionOfUnknownObject guards against a source that does not pass on the deletion of an object that it has never had, because it
// was created and deleted between two answers of the store.
func TestDeletionOfUnknownObject(t *testing.T) {
	g := NewWithT(t)
	n := sourcesNetwork()
	n.isolated.Add("b")
	n.step("a", watchcache.Updated{Kind: "config", Revision: 20, Objects: []watchcache.Object{object("x", 20)}})
	n.run(300 * time.Millisecond)
	g.Expect(n.changed["c"]).To(ContainElement("x@20"))
	n.isolated.Add("a")
	n.step("b", watchcache.Updated{Kind: "config", Revision: 25, Deleted: []string{"x"}})
	n.isolated.Delete("b")
	n.run(2 * time.Second)
	g.Expect(n.caches["c"].Revision("config")).To(Equal(uint64(25)))
	g.Expect(n.caches["c"].Names("config")).NotTo(ContainElement("x"))
}
