package usage_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/duty"
	"bluebellflow/core/watchcache"
)

// change is the content of the store after a write.
type change struct {
	at     time.Duration
	object *watchcache.Object
}

// show shows a node the store, as the cache does: a new era is reported first.
func (w *world) show(n *node) {
	if n.down {
		return
	}
	changed := n.era != w.era
	if changed {
		n.era = w.era
		w.deliver(n, watchcache.EraChanged{Era: w.era})
	}
	switch {
	case w.object != nil:
		w.deliver(n, watchcache.ObjectChanged{Kind: duty.Kind, Object: *w.object})
	case changed:
		w.deliver(n, watchcache.ObjectDeleted{Kind: duty.Kind, Name: string(duty.Usage)})
	}
}

// restore brings the store back from a copy of the given age. Each node notices it within a second.
func (w *world) restore(age time.Duration) {
	for len(w.history) > 0 && w.history[len(w.history)-1].at > w.now-age {
		w.history = w.history[:len(w.history)-1]
	}
	w.object = nil
	if n := len(w.history); n > 0 {
		w.object = w.history[n-1].object
		w.revision = w.object.Revision
	}
	w.era++
	for _, n := range w.nodes {
		w.after(time.Duration(w.rng.Int64N(int64(time.Second))), func() { w.show(n) })
	}
	for at := -late; at < time.Second; at += step {
		w.mayMiss.Add((epoch.UnixNano() + int64(w.now+at)) / int64(window))
	}
}

// TestRestoredReports guards against a window that is reported with two counts, and against windows that are never reported again,
// after the store has forgotten which windows were reported.
func TestRestoredReports(t *testing.T) {
	const count, seeds = 9, 6
	first := func(w *world) *node { return w.nodes[0] }
	cases := map[string]func(w *world){
		"once": func(w *world) { w.restore(8 * time.Second) },
		"twice": func(w *world) {
			w.restore(8 * time.Second)
			w.run(time.Duration(w.rng.Int64N(int64(8 * time.Second))))
			w.restore(12 * time.Second)
		},
		"the leader is killed": func(w *world) {
			w.restore(8 * time.Second)
			w.kill(first(w))
		},
		"the leader starts again": func(w *world) {
			w.restore(8 * time.Second)
			w.run(time.Duration(w.rng.Int64N(int64(2 * time.Second))))
			w.kill(first(w))
			w.run(time.Second)
			w.start(first(w))
			first(w).leadsAt = w.now + 20*time.Second
		},
		"all nodes are killed": func(w *world) {
			w.restore(8 * time.Second)
			for _, n := range w.nodes {
				w.kill(n)
				w.lose(n, late)
			}
			w.run(time.Second)
			for _, n := range w.nodes {
				w.start(n)
			}
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				w := newWorld(seed, count)
				w.era = 1
				for _, n := range w.nodes {
					w.show(n)
				}
				w.run(18*time.Second + time.Duration(seed)*390*time.Millisecond)
				disturb(w)
				w.run(40 * time.Second)
				w.expectReports(NewWithT(t))
			}
		})
	}
}
