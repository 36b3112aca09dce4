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

// mentions reports whether a history names an operator; the quotes keep operator1 and operator10 apart.
func mentions(history, by string) bool { return strings.Contains(history, `"`+by+`"`) }

func seededDraw(seed uint64) draw { return rand.New(rand.NewPCG(seed, 0)).IntN }

// TestFaults guards against a drain that is not seen within its bound, an epoch that two operators win or that
// falls, and a refused command that has an effect.
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
	checked := 0
	for seed := range uint64(400) {
		f := newCluster(seed)
		if v := f.run(seededDraw(seed)); v != "" {
			t.Errorf("seed %d: %s", seed, v)
		}
		checked += f.checkedDrains
	}
	NewWithT(t).Expect(checked).To(BeNumerically(">", 1000), "the schedules leave too few nodes reachable")
}

// TestMechanisms guards against oracles that see nothing: each mechanism is left out and must be missed.
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

// TestRace guards against a conflict answer that does not name the winner.
func TestRace(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(2)
	f.w.Run(time.Second)
	one, two := f.sendCommand("n0", "d1", true), f.sendCommand("n1", "d1", true)
	f.w.Run(100 * time.Millisecond)
	winner, loser := one, two
	if f.answers[winner].Fault != nil {
		winner, loser = two, one
	}
	g.Expect(f.answers[winner].Value).To(Equal(domain.Outcome{
		Domain: "d1", State: domain.Drained, Epoch: 1, By: f.commands[winner].by, Won: true,
	}))
	g.Expect(f.answers[loser].Fault.Kind).To(Equal(event.ProblemRefused))
	g.Expect(f.answers[loser].Fault.Detail).To(Equal("conflict: " + f.commands[winner].by + " drained domain d1 first, epoch 1"))
	again := f.sendCommand("n2", "d1", true)
	f.w.Run(100 * time.Millisecond)
	g.Expect(f.answers[again].Value).To(Equal(domain.Outcome{Domain: "d1", State: domain.Drained, Epoch: 1, By: f.commands[winner].by}))
}

// TestPlatformOutage guards against a drain that needs the platform, a restore that does not, and a provisional drain that
// is never committed although the node that accepted it is gone.
func TestPlatformOutage(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(2)
	f.w.Run(time.Second)
	f.w.Platform.Down = true
	drain := f.sendCommand("n0", "d1", true)
	f.w.Run(time.Second)
	g.Expect(f.answers[drain].Value).To(HaveField("Provisional", true))
	for _, n := range f.w.Names() {
		g.Expect(f.w.Stepper(n).(stepper).State(f.w.Now, "d1")).To(Equal(domain.Drained))
	}
	f.w.Kill("n0")
	f.updateViews(0)
	restore := f.sendCommand("n1", "d1", false)
	f.w.Run(timeout + time.Second)
	g.Expect(f.answers[restore].Fault.Kind).To(Equal(event.ProblemRefused))
	g.Expect(f.answers[restore].Fault.RetryAfter).To(BeNumerically(">", 0))
	f.w.Platform.Down = false
	f.w.Run(3 * time.Second)
	g.Expect(string(f.w.Platform.Objects["domains"].Value)).To(ContainSubstring(f.commands[drain].by))
	f.checkConvergence()
	g.Expect(f.violation).To(BeEmpty())
}

// TestDrainWithoutRecords guards against a drain by a node that knows no records yet: its epoch would be too low to count.
func TestDrainWithoutRecords(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(2)
	f.w.Run(time.Second)
	f.sendCommand("n1", "d1", true)
	f.w.Run(time.Second)
	f.sendCommand("n1", "d1", false)
	f.w.Run(time.Second)
	f.w.Platform.Down = true
	f.w.Kill("n0")
	f.updateViews(0)
	f.w.Run(time.Second) // the others no longer send to it
	f.w.Start("n0")
	drain := f.sendCommand("n0", "d1", true)
	f.w.Run(time.Second)
	g.Expect(f.answers).NotTo(HaveKey(drain))
	f.updateViews(0)
	f.w.Run(time.Second)
	g.Expect(f.answers[drain].Value).To(HaveField("Epoch", uint64(3)))
	g.Expect(f.w.Stepper("n4").(stepper).State(f.w.Now, "d1")).To(Equal(domain.Drained))
}

// TestRamp guards against a ramp that never ends, or that starts again on a node that learns of it late.
func TestRamp(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(2)
	f.w.Run(time.Second)
	f.sendCommand("n0", "d1", true)
	f.w.Run(time.Second)
	f.sendCommand("n1", "d1", false)
	f.w.Run(time.Second)
	state := func(n id.Node) domain.State { return f.w.Stepper(n).(stepper).State(f.w.Now, "d1") }
	g.Expect(state("n3")).To(Equal(domain.Ramping))
	f.w.Kill("n4")
	f.w.Run(25 * time.Second)
	f.w.Start("n4")
	f.updateViews(0)
	f.w.Run(time.Second)
	g.Expect(state("n4")).To(Equal(domain.Ramping))
	f.w.Run(4 * time.Second)
	g.Expect(state("n3")).To(Equal(domain.Active))
	g.Expect(state("n4")).To(Equal(domain.Active))
}

// TestCommittedDrainReplacesProvisional guards against a restore that undoes a drain of the same epoch, made where the platform was out of reach.
func TestCommittedDrainReplacesProvisional(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(2)
	f.w.Run(time.Second)
	f.sendCommand("n1", "d1", true)
	f.w.Run(time.Second)
	f.sendCommand("n1", "d1", false)
	f.w.Run(time.Second)
	f.w.CutDomain("d0")
	f.w.Platform.Cut.Add("d0")
	f.sendCommand("n0", "d1", true) // provisional, epoch 3
	f.sendCommand("n1", "d1", true) // committed, epoch 3
	f.w.Run(time.Second)
	f.w.Heal()
	clear(f.w.Platform.Cut)
	f.w.Run(3 * time.Second)
	f.checkConvergence()
	g.Expect(f.violation).To(BeEmpty())
	g.Expect(f.w.Stepper("n0").(stepper).record("d1")).To(And(HaveField("By", "operator4"), HaveField("Epoch", uint64(3))))
}

// TestMessages guards against a body that does not survive the wire, or a check that accepts what it should not.
func TestMessages(t *testing.T) {
	codec := wire.New(map[uint32]event.Body{1: domain.Digest{}, 2: domain.Records{}})
	env := wire.Envelope{From: "n", Incarnation: id.NewIncarnation(rand.New(rand.NewPCG(1, 1)))}
	good := domain.Record{Domain: "d", Epoch: 3, Drained: true, By: "x", At: 1767225600000, Change: "c", Provisional: true}
	for _, body := range []event.Body{
		domain.Digest{Hash: 1 << 63, Ready: true}, domain.Records{List: []domain.Record{good, {Domain: "e", Epoch: 1, Change: "f"}}, Ready: true},
	} {
		raw, err := codec.Encode(env, body)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		got, err := codec.Decode(raw)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(got.Body).To(Equal(body))
	}
	active, nameless, long := good, good, good
	active.Drained, nameless.Domain, long.By = false, "", strings.Repeat("x", 129)
	for _, r := range []domain.Record{active, nameless, long} {
		NewWithT(t).Expect(domain.Records{List: []domain.Record{r}}.Check()).NotTo(Succeed())
	}
}

// BenchmarkState measures the query that routing makes for each candidate.
func BenchmarkState(b *testing.B) {
	f := newCluster(2)
	f.w.Run(time.Second)
	f.sendCommand("n0", "d1", true)
	f.w.Run(time.Second)
	s := f.w.Stepper("n3").(stepper)
	b.ReportAllocs()
	for b.Loop() {
		if s.State(f.w.Now, "d1") != domain.Drained {
			b.Fatal("not drained")
		}
	}
}

// BenchmarkStep measures a comparison with a peer that has the same records, which is what nearly all messages are.
func BenchmarkStep(b *testing.B) {
	f := newCluster(2)
	f.w.Run(time.Second)
	s := f.w.Stepper("n3").(stepper)
	var list []domain.Record
	for i := range 32 {
		list = append(list, domain.Record{Domain: id.FailureDomain(fmt.Sprintf("d%02d", i)), Epoch: 1, Drained: true, Change: "c"})
	}
	out := s.Step(f.w.Now, event.Receive{From: "n1", Body: domain.Records{List: list}})
	out = append(out, s.Step(f.w.Now.Add(time.Second), event.Tick{})...)
	var sum event.Body
	for _, a := range out {
		if send, ok := a.(event.Send); ok {
			if body, ok := send.Body.(domain.Digest); ok {
				sum = body
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Step(f.w.Now, event.Receive{From: "n1", Body: sum})
	}
}

// FuzzObject guards against a value on the platform that stops a node, or that makes a drain ineffective. With a
// value that cannot be read and without peers the node knows no epochs, and the drain has to be refused.
func FuzzObject(f *testing.F) {
	f.Add([]byte(`{"records":[{"domain":"d","epoch":1,"drained":true,"by":"x","at":1,"change":"c"}],"updates":["u"],"wins":[]}`))
	f.Add([]byte(`{"records":[{"domain":"b"},{"domain":"a"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		w := simulation.New(1)
		w.Platform.Objects["domains"] = event.Object{Name: "domains", Version: 1, Value: raw}
		w.Add(event.Self{Node: "n0"}, func(self event.Self) simulation.Stepper { return stepper{domain.New(self)} })
		w.Inject("n0", domain.Drain{Command: event.Command{Number: 1}, Domain: "d"}, time.Millisecond)
		var answers []event.CommandResult
		w.Outside = func(_ *simulation.World, _ id.Node, a event.Action) {
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
