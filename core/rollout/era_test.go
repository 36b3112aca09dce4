package rollout_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/rollout"
	"bluebellflow/core/watchcache"
)

// change is a write to the store.
type change struct {
	at     time.Time
	object watchcache.Object
}

// bad is a new version whose requests mostly fail.
var bad faultModel = func(float64) (float64, float64) { return 0.9, 1 }

// restore brings the store back from a copy. An object without a specification does not exist there.
func (c *cluster) restore(spec []byte, s rollout.Status) {
	c.era++
	c.store.object = watchcache.Object{Name: "m", Revision: 1, Spec: spec}
	if s.State != rollout.Ordered {
		c.store.object.Status, _ = decoder{}.RolloutStatus(s) // never fails
	}
	for _, name := range c.names {
		c.step(name, watchcache.EraChanged{Era: c.era})
		if len(spec) == 0 {
			c.step(name, watchcache.ObjectDeleted{Kind: rollout.Kind, Name: "m"})
			continue
		}
		c.step(name, watchcache.ObjectChanged{Kind: rollout.Kind, Object: c.store.object})
	}
}

// allowed returns the versions that a node may use.
func (c *cluster) allowed(name id.Node) (versions []id.Version) {
	choice := c.nodes[name].Choose(c.now, pool, 1, false)
	for _, v := range []id.Version{"v1", "v2"} {
		if choice.Allows(v) {
			versions = append(versions, v)
		}
	}
	return versions
}

// expectKept asserts that the nodes use only one version for some time, and that the store then has the status again.
func (c *cluster) expectKept(only id.Version, s rollout.State) {
	c.g.THelper()
	for range 50 {
		for _, name := range c.names {
			c.g.Expect(c.allowed(name)).To(Equal([]id.Version{only}), "node %s", name)
		}
		c.run(2 * tick)
	}
	c.g.Expect(c.state()).To(Equal(s))
}

// startProcess replaces the process of a node, which reads the order as it is in the store.
func (c *cluster) startProcess(name id.Node) {
	self := event.Self{Node: name, Incarnation: incarnation(name + "2"), Rand: c.rng}
	c.nodes[name] = rollout.New(self, decoder{}, &c.store)
	c.nodes[name].SetNodes(c.names)
	c.nodes[name].SetLeader(c.now, c.leader)
	c.step(name, watchcache.EraChanged{Era: c.era})
	c.step(name, watchcache.ObjectChanged{Kind: rollout.Kind, Object: c.store.object})
}

// TestRestoredStatus guards against an outcome that the operator has been told and that is decided anew, because the store has come
// back from a copy that lacks it.
func TestRestoredStatus(t *testing.T) {
	copies := map[string]rollout.Status{"running": {State: rollout.Running, Target: "v2"}, "without a status": {}}
	for name, status := range copies {
		t.Run("completed, copy "+name, func(t *testing.T) {
			c := newCluster(t, 1, 40, good)
			c.order()
			c.run(span)
			c.g.Expect(c.state()).To(Equal(rollout.Completed))
			c.fault = bad
			c.restore([]byte("v2"), status)
			c.expectKept("v2", rollout.Completed)
		})
		t.Run("rolled back, copy "+name, func(t *testing.T) {
			c := newCluster(t, 1, 40, bad)
			c.order()
			c.run(span / 2)
			c.g.Expect(c.state()).To(Equal(rollout.RolledBack))
			c.fault = good
			c.restore([]byte("v2"), status)
			c.expectKept("v1", rollout.RolledBack)
		})
	}
	t.Run("known to other nodes only", func(t *testing.T) {
		c := newCluster(t, 1, 40, good)
		c.order()
		c.run(span)
		c.fault = bad
		c.restore([]byte("v2"), copies["running"])
		c.startProcess("a")
		c.run(2 * time.Second)
		c.g.Expect(c.state()).To(Equal(rollout.Completed))
		c.g.Expect(c.allowed("a")).To(Equal([]id.Version{"v2"}))
	})
	t.Run("answer lost", func(t *testing.T) {
		c := newCluster(t, 1, 40, good)
		c.order()
		c.run(span / 2)
		c.loseAnswers = true
		c.run(span)
		c.g.Expect(c.state()).To(Equal(rollout.Completed))
		c.loseAnswers, c.fault = false, bad
		c.restore([]byte("v2"), copies["running"])
		c.expectKept("v2", rollout.Completed)
	})
	t.Run("answer lost, then unavailable", func(t *testing.T) {
		c := newCluster(t, 1, 40, good)
		c.order()
		c.run(span / 2)
		c.loseAnswers = true
		for end := c.now.Add(span); c.state() != rollout.Completed && c.now.Before(end); {
			c.run(tick)
		}
		c.g.Expect(c.state()).To(Equal(rollout.Completed))
		c.loseAnswers, c.store.unavailable = false, true
		c.run(2 * time.Second)
		c.store.unavailable, c.fault = false, bad
		c.restore([]byte("v2"), copies["running"])
		c.startProcess("b")
		c.run(2 * time.Second)
		c.expectKept("v2", rollout.Completed)
	})
	t.Run("ordered again", func(t *testing.T) {
		c := newCluster(t, 1, 40, bad)
		c.order()
		c.run(span / 2)
		c.restore([]byte("v2"), copies["running"])
		c.run(2 * time.Second)
		c.fault = good
		c.write([]byte("v2"), nil)
		c.run(span)
		c.g.Expect(c.state()).To(Equal(rollout.Completed))
	})
}

// outcomes returns the final states that were ever in the store.
func (c *cluster) outcomes() id.Set[rollout.State] {
	out := id.NewSet[rollout.State]()
	for _, w := range c.writes {
		_, s, _ := decoder{}.Rollout(w.object.Spec, w.object.Status) // orders are valid here
		if s.State == rollout.Completed || s.State == rollout.RolledBack {
			out.Add(s.State)
		}
	}
	return out
}

// restoreCopy brings the store back from a copy of the given age. The operator writes the order again unless the copy has it.
func (c *cluster) restoreCopy(age time.Duration) {
	for _, w := range slices.Backward(c.writes) {
		if w.at.Before(c.now.Add(-age)) {
			_, s, _ := decoder{}.Rollout(w.object.Spec, w.object.Status)
			c.restore(w.object.Spec, s)
			return
		}
	}
	c.restore(nil, rollout.Status{})
	c.run(time.Second)
	c.order()
}

// TestRestoredOutcome guards against an outcome that is reversed, or never reached, whenever the store comes back from a copy.
func TestRestoredOutcome(t *testing.T) {
	const seeds = 20
	for name, want := range map[string]rollout.State{"good": rollout.Completed, "bad": rollout.RolledBack} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				fault := good
				if want == rollout.RolledBack {
					fault = bad
				}
				c := newCluster(t, seed, 40, fault)
				c.order()
				for c.now.Before(epoch.Add(span)) {
					c.run(time.Duration(c.rng.Int64N(int64(8 * time.Second))))
					c.restoreCopy(time.Duration(c.rng.Int64N(int64(8 * time.Second))))
				}
				c.run(3 * time.Second)
				c.g.Expect(c.state()).To(Equal(want), "seed %d", seed)
				c.g.Expect(c.outcomes()).To(Equal(id.NewSet(want)), "seed %d", seed)
			}
		})
	}
}

// TestRestoredOrder guards against an order that is dropped, or replaced by an earlier one, before the operator has had time to write
// it again.
func TestRestoredOrder(t *testing.T) {
	running := func(t *testing.T) *cluster {
		c := newCluster(t, 1, 40, bad)
		c.order()
		c.run(span / 2)
		c.g.Expect(c.state()).To(Equal(rollout.RolledBack))
		return c
	}
	for name, spec := range map[string][]byte{"missing": nil, "an earlier one": []byte("v0")} {
		t.Run(name, func(t *testing.T) {
			c := running(t)
			c.restore(spec, rollout.Status{State: rollout.Completed, Target: "v0"})
			c.run(watchcache.SettleTime - 2*tick)
			c.g.Expect(c.allowed("b")).To(Equal([]id.Version{"v1"}))
			c.order()
			c.expectKept("v1", rollout.RolledBack)
		})
	}
	t.Run("missing for good", func(t *testing.T) {
		c := running(t)
		c.restore(nil, rollout.Status{})
		c.run(watchcache.SettleTime + 6*tick)
		c.g.Expect(c.allowed("b")).To(Equal([]id.Version{"v1", "v2"}))
	})
	t.Run("missing for good, no leader", func(t *testing.T) {
		c := running(t)
		for _, r := range c.nodes {
			r.SetLeader(c.now, "")
		}
		c.restore(nil, rollout.Status{})
		c.run(watchcache.SettleTime + 6*tick)
		c.g.Expect(c.allowed("b")).To(Equal([]id.Version{"v1", "v2"}))
	})
	t.Run("an earlier one for good, written repeatedly", func(t *testing.T) {
		c := running(t)
		c.restore([]byte("v0"), rollout.Status{})
		for range 4 {
			c.run(watchcache.SettleTime / 2)
			c.write([]byte("v0"), nil)
		}
		c.run(6 * tick)
		c.g.Expect(c.state()).To(Equal(rollout.Running))
	})
	t.Run("missing for good after two restores", func(t *testing.T) {
		c := running(t)
		c.restore(nil, rollout.Status{})
		for _, name := range c.names {
			c.step(name, watchcache.EraChanged{Era: c.era + 1})
		}
		c.run(watchcache.SettleTime + 6*tick)
		c.g.Expect(c.allowed("b")).To(Equal([]id.Version{"v1", "v2"}))
	})
	t.Run("an earlier one for good", func(t *testing.T) {
		c := running(t)
		c.restore([]byte("v0"), rollout.Status{})
		c.run(watchcache.SettleTime + 6*tick)
		c.g.Expect(c.state()).To(Equal(rollout.Running))
	})
}
