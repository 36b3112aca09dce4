package domain_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bluebellflow/core/domain"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/simulation"
	"bluebellflow/core/wire"
)

// mentions reports whether a history names an operator. The quotes tell operator1 from operator10.
func mentions(history, by string) bool { return strings.Contains(history, `"`+by+`"`) }

func seededDraw(seed uint64) draw { return rand.New(rand.NewPCG(seed, 0)).IntN }

// TestFaults guards against a drain that does not reach all nodes in time, an epoch that two operators win or that
// decreases, and a refused command that has an effect.
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
	checked := 0
	for seed := range uint64(400) {
		c := newCluster(seed)
		if v := c.run(seededDraw(seed)); v != "" {
			t.Errorf("seed %d: %s", seed, v)
		}
		checked += c.checkedDrains
	}
	NewWithT(t).Expect(checked).To(BeNumerically(">", 1000), "the schedules leave too few nodes reachable")
}

// TestMechanisms guards against oracles that would not notice when a mechanism is missing.
func TestMechanisms(t *testing.T) {
	for name, c := range map[string]struct {
		opt  domain.Option
		want string
	}{
		"condition": {domain.WithoutConditionalUpdate(), "were both told that they won"},
		"gossip":    {domain.WithoutGossip(), "does not see the drain"},
		"merge":     {domain.WithoutMerge(), "went back from epoch"},
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

// TestRace guards against a conflict answer that does not name the operator who won.
func TestRace(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(2)
	c.world.Run(time.Second)
	one, two := c.sendCommand("n0", "d1", true), c.sendCommand("n1", "d1", true)
	c.world.Run(100 * time.Millisecond)
	winner, loser := one, two
	if c.answers[winner].Fault != nil {
		winner, loser = two, one
	}
	g.Expect(c.answers[winner].Value).To(Equal(domain.Outcome{
		Domain: "d1", State: domain.Drained, Epoch: 1, By: c.commands[winner].by, Won: true,
	}))
	g.Expect(c.answers[loser].Fault.Kind).To(Equal(event.ProblemRefused))
	g.Expect(c.answers[loser].Fault.Detail).To(Equal("conflict: " + c.commands[winner].by + " drained domain d1 first, epoch 1"))
	again := c.sendCommand("n2", "d1", true)
	c.world.Run(100 * time.Millisecond)
	g.Expect(c.answers[again].Value).To(Equal(domain.Outcome{Domain: "d1", State: domain.Drained, Epoch: 1, By: c.commands[winner].by}))
}

// TestPlatformOutage guards against a drain that needs the platform, a restore that does not, and a provisional drain
// that is never committed because the node that accepted it is down.
func TestPlatformOutage(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(2)
	c.world.Run(time.Second)
	c.world.Platform.Down = true
	drain := c.sendCommand("n0", "d1", true)
	c.world.Run(time.Second)
	g.Expect(c.answers[drain].Value).To(HaveField("Provisional", true))
	for _, n := range c.world.Nodes() {
		g.Expect(c.world.Stepper(n).(stepper).State(c.world.Now, "d1")).To(Equal(domain.Drained))
	}
	c.world.Kill("n0")
	c.updateViews(0)
	restore := c.sendCommand("n1", "d1", false)
	c.world.Run(timeout + time.Second)
	g.Expect(c.answers[restore].Fault.Kind).To(Equal(event.ProblemRefused))
	g.Expect(c.answers[restore].Fault.RetryAfter).To(BeNumerically(">", 0))
	c.world.Platform.Down = false
	c.world.Run(3 * time.Second)
	g.Expect(string(c.world.Platform.Objects["domains"].Value)).To(ContainSubstring(c.commands[drain].by))
	c.checkConvergence()
	g.Expect(c.violation).To(BeEmpty())
}

// TestDrainWithoutRecords guards against a drain that is accepted by a node before it has any records: its epoch would
// be too low, and other nodes would ignore it.
func TestDrainWithoutRecords(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(2)
	c.world.Run(time.Second)
	c.sendCommand("n1", "d1", true)
	c.world.Run(time.Second)
	c.sendCommand("n1", "d1", false)
	c.world.Run(time.Second)
	c.world.Platform.Down = true
	c.world.Kill("n0")
	c.updateViews(0)
	c.world.Run(time.Second) // now the other nodes no longer send messages to n0
	c.world.Start("n0")
	drain := c.sendCommand("n0", "d1", true)
	c.world.Run(time.Second)
	g.Expect(c.answers).NotTo(HaveKey(drain))
	c.updateViews(0)
	c.world.Run(time.Second)
	g.Expect(c.answers[drain].Value).To(HaveField("Epoch", uint64(3)))
	g.Expect(c.world.Stepper("n4").(stepper).State(c.world.Now, "d1")).To(Equal(domain.Drained))
}

// TestRamp guards against a ramp that never ends, or that starts anew on a node that learns of the restore late.
func TestRamp(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(2)
	c.world.Run(time.Second)
	c.sendCommand("n0", "d1", true)
	c.world.Run(time.Second)
	c.sendCommand("n1", "d1", false)
	c.world.Run(time.Second)
	state := func(n id.Node) domain.State { return c.world.Stepper(n).(stepper).State(c.world.Now, "d1") }
	g.Expect(state("n3")).To(Equal(domain.Ramping))
	c.world.Kill("n4")
	c.world.Run(25 * time.Second)
	c.world.Start("n4")
	c.updateViews(0)
	c.world.Run(time.Second)
	g.Expect(state("n4")).To(Equal(domain.Ramping))
	c.world.Run(4 * time.Second)
	g.Expect(state("n3")).To(Equal(domain.Active))
	g.Expect(state("n4")).To(Equal(domain.Active))
}

// TestCommittedDrainReplacesProvisional guards against a provisional drain that is kept although another drain was
// committed with the same epoch.
func TestCommittedDrainReplacesProvisional(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(2)
	c.world.Run(time.Second)
	c.sendCommand("n1", "d1", true)
	c.world.Run(time.Second)
	c.sendCommand("n1", "d1", false)
	c.world.Run(time.Second)
	c.world.PartitionDomain("d0")
	c.world.Platform.CutDomains.Add("d0")
	c.sendCommand("n0", "d1", true) // provisional, epoch 3
	c.sendCommand("n1", "d1", true) // committed, epoch 3
	c.world.Run(time.Second)
	c.world.Heal()
	clear(c.world.Platform.CutDomains)
	c.world.Run(3 * time.Second)
	c.checkConvergence()
	g.Expect(c.violation).To(BeEmpty())
	g.Expect(c.world.Stepper("n0").(stepper).record("d1")).To(And(HaveField("By", "operator4"), HaveField("Epoch", uint64(3))))
}

// TestMessages guards against a message that changes when it is encoded and decoded, and against a Check method that
// accepts a malformed message.
func TestMessages(t *testing.T) {
	codec := wire.New(map[uint32]event.Body{1: domain.Digest{}, 2: domain.Records{}})
	env := wire.Envelope{From: "n", Incarnation: id.NewIncarnation(rand.New(rand.NewPCG(1, 1)))}
	valid := domain.Record{Domain: "d", Epoch: 3, Drained: true, By: "x", At: 1767225600000, Change: "c", Provisional: true}
	for _, body := range []event.Body{
		domain.Digest{Hash: 1 << 63, Ready: true}, domain.Records{List: []domain.Record{valid, {Domain: "e", Epoch: 1, Change: "f"}}, Ready: true},
	} {
		raw, err := codec.Encode(env, body)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		got, err := codec.Decode(raw)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(got.Body).To(Equal(body))
	}
	active, unnamed, long := valid, valid, valid
	active.Drained, unnamed.Domain, long.By = false, "", strings.Repeat("x", 129)
	for _, r := range []domain.Record{active, unnamed, long} {
		NewWithT(t).Expect(domain.Records{List: []domain.Record{r}}.Check()).NotTo(Succeed())
	}
}

// BenchmarkState measures the lookup that routing makes for each candidate server.
func BenchmarkState(b *testing.B) {
	c := newCluster(2)
	c.world.Run(time.Second)
	c.sendCommand("n0", "d1", true)
	c.world.Run(time.Second)
	s := c.world.Stepper("n3").(stepper)
	b.ReportAllocs()
	for b.Loop() {
		if s.State(c.world.Now, "d1") != domain.Drained {
			b.Fatal("not drained")
		}
	}
}

// BenchmarkStep measures a comparison with a peer that has the same records, which is by far the most frequent case.
func BenchmarkStep(b *testing.B) {
	c := newCluster(2)
	c.world.Run(time.Second)
	s := c.world.Stepper("n3").(stepper)
	var list []domain.Record
	for i := range 32 {
		list = append(list, domain.Record{Domain: id.FailureDomain(fmt.Sprintf("d%02d", i)), Epoch: 1, Drained: true, Change: "c"})
	}
	out := s.Step(c.world.Now, event.Receive{From: "n1", Body: domain.Records{List: list}})
	out = append(out, s.Step(c.world.Now.Add(time.Second), event.Tick{})...)
	var digest event.Body
	for _, a := range out {
		if send, ok := a.(event.Send); ok {
			if body, ok := send.Body.(domain.Digest); ok {
				digest = body
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Step(c.world.Now, event.Receive{From: "n1", Body: digest})
	}
}

// FuzzObject guards against a value on the platform that crashes a node or makes a drain ineffective. If the value is
// malformed and there are no peers, the node knows no epochs and must refuse the drain.
func FuzzObject(f *testing.F) {
	f.Add([]byte(`{"records":[{"domain":"d","epoch":1,"drained":true,"by":"x","at":1,"change":"c"}],"updates":["u"],"wins":[]}`))
	f.Add([]byte(`{"records":[{"domain":"b"},{"domain":"a"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		w := simulation.New(1)
		w.Platform.Objects["domains"] = event.Object{Name: "domains", Version: 1, Value: raw}
		w.Add(event.Self{Node: "n0"}, func(self event.Self) simulation.Stepper { return stepper{domain.New(self)} })
		w.Inject("n0", domain.Drain{Command: event.Command{Number: 1}, Domain: "d"}, time.Millisecond)
		var answers []event.CommandResult
		w.OnExternal = func(_ *simulation.World, _ id.Node, a event.Action) {
			if a, ok := a.(event.CommandResult); ok {
				answers = append(answers, a)
			}
		}
		w.Run(timeout + time.Second)
		s := w.Stepper("n0").(stepper)
		if drained := s.State(w.Now, "d") == domain.Drained; drained != s.Ready() {
			t.Fatalf("drained %t, ready %t", drained, s.Ready())
		}
		if len(answers) != 1 || (answers[0].Fault == nil) != s.Ready() {
			t.Fatalf("answers %v", answers)
		}
	})
}
