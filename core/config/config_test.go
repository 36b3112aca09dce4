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

// TestFaults guards against a revision that falls, a committed change that does not spread within its bound,
// and a change that takes effect after it was answered as not committed.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newCluster(rapid.Uint64().Draw(rt, "seed"))
		if v := f.run(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "draw") }); v != "" {
			rt.Fatal(v)
		}
	})
}

// TestSeeds runs more schedules than rapid does, because most of the time of a rapid run is spent on drawing.
func TestSeeds(t *testing.T) {
	for seed := range uint64(400) {
		if v := newCluster(seed).run(seededDraw(seed)); v != "" {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}

// TestMechanisms guards against oracles that see nothing: each mechanism is left out and must be missed.
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

// TestWithoutFaults guards against a change that needs more than the bound, or an outdated Expect that is accepted.
func TestWithoutFaults(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(1)
	f.w.Run(time.Second)
	first := f.apply("n0", config.Apply{})
	f.w.Run(100 * time.Millisecond)
	g.Expect(f.answers[first].Value).To(HaveField("Revision", id.Revision(1)))
	f.checkPropagation()
	second := f.apply("n1", config.Apply{Expect: 1})
	third := f.apply("n2", config.Apply{Expect: 1})
	f.w.Run(200 * time.Millisecond)
	won := 0
	for _, number := range []uint64{second, third} {
		if a := f.answers[number]; a.Fault == nil {
			won++
		} else {
			g.Expect(a.Fault.Detail).To(ContainSubstring("conflict: expected revision 1, but revision 2 is in force"))
		}
	}
	g.Expect(won).To(Equal(1))
	g.Expect(f.violation).To(BeEmpty())
}

// TestChangesAreBatched guards against changes of one node that cost one update of the head each, or that lose each other.
func TestChangesAreBatched(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(1)
	f.w.Run(time.Second)
	for range 20 {
		f.apply("n0", config.Apply{Workspace: "one"})
	}
	f.w.Run(500 * time.Millisecond)
	g.Expect(f.w.Stepper("n3").(stepper).Tree().Workspaces()).To(Equal(20))
	g.Expect(f.w.Stepper("n3").(stepper).Revision()).To(Equal(id.Revision(20)))
	g.Expect(f.w.Platform.Objects["config/head"].Version).To(BeNumerically("<=", 3))
}

// TestRejected guards against settings that do not check and are accepted, or that stop a node.
func TestRejected(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(1)
	f.w.Run(time.Second)
	f.w.Inject("n0", config.Apply{Command: event.Command{Number: 90}, Source: []byte(`{"root":{"limit":0}}`)}, 0)
	f.w.Inject("n0", config.Apply{Command: event.Command{Number: 91}, Workspace: "a", Source: []byte(`{"parent":"b"}`)}, 0)
	good := f.apply("n0", config.Apply{})
	f.w.Run(100 * time.Millisecond)
	g.Expect(f.answers[90].Fault.Kind).To(Equal(event.ProblemInvalid))
	g.Expect(f.answers[90].Fault.Detail).To(ContainSubstring("settings:1:18: root.limit: 0 is outside"))
	g.Expect(f.answers[91].Fault.Kind).To(Equal(event.ProblemInvalid))
	g.Expect(f.answers[good].Fault).To(BeNil())

	// Another program writes a tree that does not check: the nodes keep theirs and take the next good one.
	bad := []byte(`{"a":{"parent":"b"}}`)
	digest := settings.Digest(bad)
	f.w.Platform.Objects["config/part/"+digest] = event.Object{Name: "config/part/" + digest, Version: 1, Value: bad}
	head := f.w.Platform.Objects["config/head"]
	head.Version++
	head.Value = fmt.Appendf(nil, `{"revision":2,"parts":{%q:%q}}`, settings.PartOf("a"), digest)
	f.w.Platform.Objects["config/head"] = head
	for _, n := range f.w.Names() {
		f.w.Inject(n, event.ObjectChanged{Name: "config/head"}, 0)
	}
	f.w.Run(time.Second)
	g.Expect(f.w.Stepper("n4").(stepper).Revision()).To(Equal(id.Revision(1)))
	g.Expect(f.w.Stepper("n4").(stepper).Rejected()).To(Equal(id.Revision(2)))
	next := f.apply("n1", config.Apply{})
	f.w.Run(time.Second)
	g.Expect(f.answers[next].Value).To(HaveField("Revision", id.Revision(3)))
	f.checkPropagation()
	g.Expect(f.violation).To(BeEmpty())
}

// TestStartFromPeers guards against a node that cannot start while the platform is down.
func TestStartFromPeers(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(2)
	f.w.Run(time.Second)
	f.apply("n0", config.Apply{})
	f.w.Run(time.Second)
	f.w.Platform.Down = true
	f.w.Kill("n5")
	f.w.Start("n5")
	f.updateViews(0)
	f.w.Run(500 * time.Millisecond)
	g.Expect(f.w.Stepper("n5").(stepper).Revision()).To(Equal(id.Revision(1)))
	late := f.apply("n5", config.Apply{})
	f.w.Run(timeout + time.Second)
	g.Expect(f.answers[late].Fault.Kind).To(Equal(event.ProblemRefused))
}

// TestMessages guards against a body that does not survive the wire, or a check that accepts what it should not.
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

// FuzzHead guards against a head on the platform that stops a node, or that is answered as a success.
func FuzzHead(f *testing.F) {
	f.Add([]byte(`{"revision":1,"parts":{"root":"00112233445566778899aabbccddeeff"},"changes":[{"id":"a.1","revision":1}]}`))
	f.Add([]byte(`{"revision":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		w := simulation.New(1)
		w.Platform.Objects["config/head"] = event.Object{Name: "config/head", Version: 1, Value: raw}
		w.Add(event.Self{Node: "n0"}, func(self event.Self) simulation.Stepper { return stepper{config.New(self)} })
		w.Inject("n0", config.Apply{Source: []byte(`{}`), Expect: 7}, time.Millisecond)
		answers := 0
		w.Outside = func(_ *simulation.World, _ id.Node, a event.Action) {
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
