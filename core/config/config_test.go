package config_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bluebellflow/core/config"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/settings"
	"bluebellflow/core/simulation"
	"bluebellflow/core/wire"
)

func seededDraw(seed uint64) draw {
	rng := rand.New(rand.NewPCG(seed, 0))
	return rng.IntN
}

// TestFaults guards against a revision that decreases, a committed change that does not reach all nodes in time, and a
// change that takes effect although it was answered as not committed.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(rt, "seed"))
		if v := c.run(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "draw") }); v != "" {
			rt.Fatal(v)
		}
	})
}

// TestSeeds runs more schedules than TestFaults, because rapid spends most of its time on drawing values.
func TestSeeds(t *testing.T) {
	for seed := range uint64(400) {
		if v := newCluster(seed).run(seededDraw(seed)); v != "" {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}

// TestMechanisms guards against oracles that would not notice when a mechanism is missing.
func TestMechanisms(t *testing.T) {
	for name, c := range map[string]struct {
		opt  config.Option
		want string
	}{
		"read back": {config.WithoutReadBack(), "and was in force"},
		"floor":     {config.WithoutRevisionFloor(), "went back from revision"},
		"gossip":    {config.WithoutGossip(), "was committed"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(100) {
				if v := newCluster(seed, c.opt).run(seededDraw(seed)); strings.Contains(v, c.want) {
					t.Logf("seed %d: %s", seed, v)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

// TestWithoutFaults guards against a change that is committed or propagated too late, and against a change that is
// accepted although its Expect is outdated.
func TestWithoutFaults(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(1)
	c.world.Run(time.Second)
	first := c.apply("n0", config.Apply{})
	c.world.Run(100 * time.Millisecond)
	g.Expect(c.answers[first].Value).To(HaveField("Revision", id.Revision(1)))
	c.checkPropagation()
	second := c.apply("n1", config.Apply{Expect: 1})
	third := c.apply("n2", config.Apply{Expect: 1})
	c.world.Run(200 * time.Millisecond)
	committed := 0
	for _, number := range []uint64{second, third} {
		if a := c.answers[number]; a.Fault == nil {
			committed++
		} else {
			g.Expect(a.Fault.Detail).To(ContainSubstring("conflict: expected revision 1, but revision 2 is in force"))
		}
	}
	g.Expect(committed).To(Equal(1))
	g.Expect(c.violation).To(BeEmpty())
}

// TestChangesAreBatched guards against concurrent changes on one node that each need an update of the head, or that
// overwrite each other.
func TestChangesAreBatched(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(1)
	c.world.Run(time.Second)
	for range 20 {
		c.apply("n0", config.Apply{Workspace: "one"})
	}
	c.world.Run(500 * time.Millisecond)
	g.Expect(c.world.Stepper("n3").(stepper).Tree().Workspaces()).To(Equal(20))
	g.Expect(c.world.Stepper("n3").(stepper).Revision()).To(Equal(id.Revision(20)))
	g.Expect(c.world.Platform.Objects["config/head"].Version).To(BeNumerically("<=", 3))
}

// TestRejected guards against invalid settings that are accepted, and against invalid settings on the platform that stop
// a node from taking later revisions.
func TestRejected(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(1)
	c.world.Run(time.Second)
	c.world.Inject("n0", config.Apply{Command: event.Command{Number: 90}, Source: []byte(`{"root":{"limit":0}}`)}, 0)
	c.world.Inject("n0", config.Apply{Command: event.Command{Number: 91}, Workspace: "a", Source: []byte(`{"parent":"b"}`)}, 0)
	valid := c.apply("n0", config.Apply{})
	c.world.Run(100 * time.Millisecond)
	g.Expect(c.answers[90].Fault.Kind).To(Equal(event.ProblemInvalid))
	g.Expect(c.answers[90].Fault.Detail).To(ContainSubstring("settings:1:18: root.limit: 0 is outside"))
	g.Expect(c.answers[91].Fault.Kind).To(Equal(event.ProblemInvalid))
	g.Expect(c.answers[valid].Fault).To(BeNil())

	// Another program writes invalid settings. The nodes keep their configuration and install the next valid one.
	invalid := []byte(`{"a":{"parent":"b"}}`)
	digest := settings.Digest(invalid)
	c.world.Platform.Objects["config/part/"+digest] = event.Object{Name: "config/part/" + digest, Version: 1, Value: invalid}
	head := c.world.Platform.Objects["config/head"]
	head.Version++
	head.Value = fmt.Appendf(nil, `{"revision":2,"parts":{%q:%q}}`, settings.PartOf("a"), digest)
	c.world.Platform.Objects["config/head"] = head
	for _, n := range c.world.Nodes() {
		c.world.Inject(n, event.ObjectChanged{Name: "config/head"}, 0)
	}
	c.world.Run(time.Second)
	g.Expect(c.world.Stepper("n4").(stepper).Revision()).To(Equal(id.Revision(1)))
	g.Expect(c.world.Stepper("n4").(stepper).Rejected()).To(Equal(id.Revision(2)))
	next := c.apply("n1", config.Apply{})
	c.world.Run(time.Second)
	g.Expect(c.answers[next].Value).To(HaveField("Revision", id.Revision(3)))
	c.checkPropagation()
	g.Expect(c.violation).To(BeEmpty())
}

// TestStartFromPeers guards against a node that cannot start while the platform is unavailable.
func TestStartFromPeers(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(2)
	c.world.Run(time.Second)
	c.apply("n0", config.Apply{})
	c.world.Run(time.Second)
	c.world.Platform.Down = true
	c.world.Kill("n5")
	c.world.Start("n5")
	c.updateViews(0)
	c.world.Run(500 * time.Millisecond)
	g.Expect(c.world.Stepper("n5").(stepper).Revision()).To(Equal(id.Revision(1)))
	late := c.apply("n5", config.Apply{})
	c.world.Run(timeout + time.Second)
	g.Expect(c.answers[late].Fault.Kind).To(Equal(event.ProblemRefused))
}

// TestMessages guards against a message that changes when it is encoded and decoded, and against a Check method that
// accepts a malformed message.
func TestMessages(t *testing.T) {
	bodies := map[uint32]event.Body{1: config.Have{}, 2: config.Ask{}, 3: config.Offer{}, 4: config.Fetch{}, 5: config.Supply{}}
	codec := wire.New(bodies)
	env := wire.Envelope{From: "n", Incarnation: id.NewIncarnation(rand.New(rand.NewPCG(1, 1)))}
	digest := settings.Digest([]byte("x"))
	for _, body := range []event.Body{
		config.Have{Revision: 3},
		config.Ask{Known: 4},
		config.Offer{Head: []byte(`{"revision":1}`)},
		config.Fetch{Digests: []string{digest, digest}},
		config.Supply{Parts: [][]byte{[]byte("x"), []byte("y")}},
	} {
		raw, err := codec.Encode(env, body)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		got, err := codec.Decode(raw)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(got.Body).To(Equal(body))
	}
	for _, body := range []event.Body{
		config.Offer{},
		config.Offer{Head: []byte(`{"revision":1,"parts":{"x":"y"}}`)},
		config.Fetch{},
		config.Fetch{Digests: []string{"x"}},
		config.Fetch{Digests: make([]string, 65)},
		config.Supply{Parts: make([][]byte, 65)},
		config.Supply{Parts: [][]byte{make([]byte, 2<<20)}},
	} {
		NewWithT(t).Expect(body.Check()).NotTo(Succeed())
	}
}

// FuzzHead guards against a malformed head on the platform that crashes a node or leaves a change without exactly one
// answer.
func FuzzHead(f *testing.F) {
	f.Add([]byte(`{"revision":1,"parts":{"root":"00112233445566778899aabbccddeeff"},"changes":[{"id":"a.1","revision":1}]}`))
	f.Add([]byte(`{"revision":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		w := simulation.New(1)
		w.Platform.Objects["config/head"] = event.Object{Name: "config/head", Version: 1, Value: raw}
		w.Add(event.Self{Node: "n0"}, func(self event.Self) simulation.Stepper { return stepper{config.New(self)} })
		w.Inject("n0", config.Apply{Source: []byte(`{}`), Expect: 7}, time.Millisecond)
		answers := 0
		w.OnExternal = func(_ *simulation.World, _ id.Node, a event.Action) {
			if _, ok := a.(event.CommandResult); ok {
				answers++
			}
		}
		w.Run(timeout + time.Second)
		if answers != 1 {
			t.Fatalf("%d answers", answers)
		}
	})
}
