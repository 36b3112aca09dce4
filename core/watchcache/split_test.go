package watchcache_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/watchcache"
)

// largeObjects returns objects of 900 KB with increasing revisions, which together are larger than a message.
func largeObjects(first uint64) []watchcache.Object {
	var out []watchcache.Object
	for i := range uint64(6) {
		out = append(out, watchcache.Object{Name: fmt.Sprint("large-", i), Revision: first + i, Spec: make([]byte, 900_000)})
	}
	return out
}

// update gives both sources the changes of a watch.
func (n *network) update(u watchcache.Updated) {
	n.step("a", u)
	n.step("b", u)
}

// TestLargeChanges guards against a source that counts as confirmed although its changes are too large for a message, so that the nodes
// that rely on it never hear of a change again.
func TestLargeChanges(t *testing.T) {
	small := watchcache.Updated{Kind: "config", Revision: 21, Objects: []watchcache.Object{object("main", 21)}}
	t.Run("changes", func(t *testing.T) {
		n := sourcesNetwork()
		n.update(watchcache.Updated{Kind: "config", Revision: 16, Objects: largeObjects(11), Deleted: []string{"main"}})
		n.expectRelying(t, time.Second, "c", "d")
		n.update(small)
		n.expectRelying(t, 400*time.Millisecond, "c", "d")
		g := NewWithT(t)
		g.Expect(n.changed["c"]).To(ContainElements("large-0@11", "large-5@16", "main@21"))
		g.Expect(n.deleted["c"]).To(HaveLen(1))
	})
	t.Run("changes of one revision", func(t *testing.T) {
		n := sourcesNetwork()
		objects := largeObjects(11)
		for i := range objects {
			objects[i].Revision = 16
		}
		n.update(watchcache.Updated{Kind: "config", Revision: 16, Objects: objects})
		n.run(2 * time.Second)
		NewWithT(t).Expect(n.followed["c"].Sorted()).To(Equal([]string{"config", "nodes"}))
	})
	t.Run("whole kind", func(t *testing.T) {
		n := newNetwork("a", "b", "c")
		n.setSources("a")
		n.run(50 * time.Millisecond)
		n.listBoth("a", largeObjects(1)...)
		n.listBoth("b", largeObjects(1)...)
		n.run(2 * time.Second)
		NewWithT(t).Expect(n.followed["c"].Sorted()).To(Equal([]string{"config", "nodes"}))
	})
}

// TestPartsAreNotGossiped guards against a node that tells its peers of each part of a large change, so that each of them sends the
// other parts again.
func TestPartsAreNotGossiped(t *testing.T) {
	n := sourcesNetwork()
	large := watchcache.Updated{Kind: "config", Revision: 60}
	for i := range uint64(4) {
		large.Objects = append(large.Objects, largeObjects(11+10*i)...)
	}
	for i := range large.Objects {
		large.Objects[i].Name += string(rune('a' + i))
	}
	n.isolated.Add("c")
	n.step("c", event.Tick{}) // its regular comparison of revisions
	n.update(large)
	n.isolated.Delete("c")
	poll := watchcache.KnownRevisions{Poll: true, Revisions: []watchcache.KindRevision{{Kind: "config", Known: 10}}}
	parts := 0
	for _, a := range n.caches["a"].Step(n.now, event.Receive{From: "c", Body: poll}) {
		send, ok := a.(event.Send)
		if _, set := send.Body.(watchcache.ChangeSet); !ok || !set {
			continue
		}
		parts++
		for _, a := range n.caches["c"].Step(n.now, event.Receive{From: "a", Body: send.Body}) {
			if send, ok := a.(event.Send); ok {
				known, _ := send.Body.(watchcache.KnownRevisions)
				if len(known.Revisions) > 0 && !known.Poll {
					NewWithT(t).Expect(known.Revisions[1].Known).To(Equal(uint64(60)))
				}
			}
		}
	}
	NewWithT(t).Expect(parts).To(BeNumerically(">", 5))
}
