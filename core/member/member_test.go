package member_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/simulation"
	"bluebellflow/core/wire"
)

// TestMain fixes the seed, so that each run checks the same histories unless -rapid.seed asks for others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260101")
	m.Run()
}

// cluster is a world of nodes that run package member alone.
type cluster struct {
	*simulation.World
	vms         []event.VM
	bytes       int
	frozenUntil map[id.Node]time.Time
	codec       *wire.Codec
}

// meteredNode counts the encoded size of all messages of a node.
type meteredNode struct {
	*member.Members
	cluster *cluster
	self    event.Self
}

func (m meteredNode) Step(now time.Time, ev event.Event) []event.Action {
	out := m.Members.Step(now, ev)
	for _, a := range out {
		if s, ok := a.(event.Send); ok && m.cluster.codec != nil {
			raw, err := m.cluster.codec.Encode(wire.Envelope{From: m.self.Node, Incarnation: m.self.Incarnation, Revision: 1000, Domains: 100}, s.Body)
			if err != nil {
				panic(err)
			}
			m.cluster.bytes += len(raw)
		}
	}
	return out
}

func newCluster(seed uint64, nodes, domains int, opts ...member.Option) *cluster {
	f := &cluster{World: simulation.New(seed), frozenUntil: map[id.Node]time.Time{}}
	for i := range nodes {
		f.vms = append(f.vms, event.VM{
			Name: fmt.Sprintf("entry-%03d", i), Kind: "entry", Region: "tn-south",
			FailureDomain: id.FailureDomain(fmt.Sprintf("domain-%02d", i%domains)),
			Addr:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400),
		})
	}
	f.vms = append(f.vms, event.VM{Name: "s1", Kind: "backend", FailureDomain: "domain-00", Addr: f.vms[0].Addr, Pool: "gen"})
	for _, vm := range f.vms[:nodes] {
		self := event.Self{Node: id.Node(vm.Name), FailureDomain: vm.FailureDomain, Region: vm.Region, Addr: vm.Addr}
		f.Add(self, func(self event.Self) simulation.Stepper {
			return meteredNode{member.New(self, append(opts, member.WithSeeds(f.vms...))...), f, self}
		})
		f.Inject(self.Node, event.VMList{List: f.vms}, 0)
	}
	return f
}

func (f *cluster) members(name id.Node) *member.Members { return f.Stepper(name).(meteredNode).Members }

// faultActions are the actions of the state machine; they leave the time to the caller.
func (f *cluster) faultActions() map[string]func(*rapid.T) {
	node := rapid.SampledFrom(f.Names())
	return map[string]func(*rapid.T){
		"kill": func(t *rapid.T) { f.Kill(node.Draw(t, "node")) },
		"restart": func(t *rapid.T) {
			name := node.Draw(t, "node")
			f.Kill(name)
			f.Start(name)
			f.Inject(name, event.VMList{List: f.vms}, 0)
			delete(f.frozenUntil, name)
		},
		"freeze": func(t *rapid.T) {
			name, d := node.Draw(t, "node"), time.Duration(rapid.IntRange(1, 20).Draw(t, "s"))*time.Second
			f.Freeze(name, d)
			if until := f.Now.Add(d); until.After(f.frozenUntil[name]) {
				f.frozenUntil[name] = until
			}
		},
		"cut": func(t *rapid.T) {
			a, b := node.Draw(t, "a"), node.Draw(t, "b")
			if f.Self(a).FailureDomain != f.Self(b).FailureDomain {
				f.CutDomain(f.Self(a).FailureDomain)
				return
			}
			f.Cut(a, b)
			if rapid.Bool().Draw(t, "both") {
				f.Cut(b, a)
			}
		},
		"heal": func(*rapid.T) { f.Heal() },
		"network": func(t *rapid.T) {
			f.Network.Loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
			f.Network.Repeat = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "repeat")
		},
		"list": func(t *rapid.T) { // a VM list that lacks a node which lives
			skip := rapid.IntRange(0, len(f.Names())-1).Draw(t, "missing")
			list := append(append([]event.VM{}, f.vms[:skip]...), f.vms[skip+1:]...)
			f.Inject(node.Draw(t, "node"), event.VMList{List: list}, 0)
		},
		"run": func(t *rapid.T) { f.Run(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond) },
	}
}

// healAndConverge ends all faults and gives the nodes the time in which views must converge.
func (f *cluster) healAndConverge() {
	f.Heal()
	f.Network.Loss, f.Network.Repeat = 0, 0
	longest := f.Now
	for _, until := range f.frozenUntil {
		if until.After(longest) {
			longest = until
		}
	}
	f.Run(longest.Sub(f.Now) + 16*time.Second)
}

// checkViews names a node whose view differs from the set of running processes.
func (f *cluster) checkViews() error {
	for _, name := range f.Names() {
		if !f.Up(name) {
			continue
		}
		view := f.members(name).View()
		for _, other := range f.Names() {
			n, found := view.Find(other)
			if found != f.Up(other) || (found && n.Incarnation != f.Self(other).Incarnation) {
				return fmt.Errorf("%s: %s in view: %v, up: %v", name, other, found, f.Up(other))
			}
		}
	}
	return nil
}

// TestViewsConverge guards against a node that stays out of, or stays in, somebody's view for ever after faults end.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCluster(rapid.Uint64().Draw(t, "seed"), 7, 3)
		f.Run(3 * time.Second)
		t.Repeat(f.faultActions())
		f.healAndConverge()
		if err := f.checkViews(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestConvergenceNeedsRelays shows that the oracle sees the failure: without relays, nodes in different domains that
// did not choose each other never meet.
func TestConvergenceNeedsRelays(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(1, 18, 3, member.WithoutRelays())
	f.healAndConverge()
	g.Expect(f.checkViews()).To(HaveOccurred())
	f = newCluster(1, 18, 3)
	f.healAndConverge()
	g.Expect(f.checkViews()).NotTo(HaveOccurred())
}

// checkMarker names a node that still takes the server for staying although a node it can hear knows the marker.
func (f *cluster) checkMarker(from id.Node, start id.Start) error {
	reached := id.NewSet(from)
	for queue := []id.Node{from}; len(queue) > 0; queue = queue[1:] {
		for _, n := range f.Names() {
			if f.Up(n) && !reached.Has(n) && f.Now.After(f.frozenUntil[n].Add(6*time.Second)) && !f.IsCut(queue[0], n) {
				reached.Add(n)
				queue = append(queue, n)
			}
		}
	}
	for _, n := range reached.Sorted() {
		if s, ok := f.members(n).Server("s1"); ok && s.Start == start && !s.Leaving {
			return fmt.Errorf("%s does not know that %s leaves", n, start)
		}
	}
	return nil
}

func (f *cluster) reportStart(start id.Start, leaving bool, to ...id.Node) {
	for _, n := range to {
		f.Inject(n, event.LoadReport{Server: "s1", Start: start, At: f.Now, Limit: 8, Leaving: leaving}, 0)
	}
}

// TestMarkersSpread guards against a node that still sends to a leaving server 3 s after a node it can hear knew.
func TestMarkersSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newCluster(rapid.Uint64().Draw(t, "seed"), 7, 3)
		f.Run(3 * time.Second)
		count := 0
		actions := f.faultActions()
		actions["leave"] = func(t *rapid.T) {
			f.Run(10 * time.Second) // links to dead nodes are replaced after the suspicion
			from := rapid.SampledFrom(f.Names()).Draw(t, "from")
			if !f.Up(from) || f.frozenUntil[from].After(f.Now) {
				return
			}
			count++
			start := id.Start(fmt.Sprintf("start-%d", count))
			f.reportStart(start, false, f.Names()...)
			f.Run(100 * time.Millisecond)
			f.reportStart(start, true, from)
			f.Run(3 * time.Second)
			if err := f.checkMarker(from, start); err != nil {
				t.Fatal(err)
			}
		}
		t.Repeat(actions)
	})
}

// TestMarkersNeedGossip shows that the oracle sees the failure when markers stay with the node that learned them.
func TestMarkersNeedGossip(t *testing.T) {
	for without, opts := range map[bool][]member.Option{true: {member.WithoutMarkers()}, false: nil} {
		f := newCluster(1, 7, 3, opts...)
		f.Run(3 * time.Second)
		f.reportStart("a", false, f.Names()...)
		f.Run(time.Second)
		f.reportStart("a", true, f.Names()[0])
		f.Run(3 * time.Second)
		NewWithT(t).Expect(f.checkMarker(f.Names()[0], "a") != nil).To(Equal(without))
	}
}

// TestMarkerIsPermanent guards against a late report or a later list that brings a leaving start back.
func TestMarkerIsPermanent(t *testing.T) {
	g := NewWithT(t)
	f := newCluster(2, 3, 1)
	name := f.Names()[0]
	leaving := func() bool {
		f.Run(time.Second)
		s, _ := f.members(name).Server("s1")
		return s.Leaving
	}
	f.reportStart("a", true, name)
	g.Expect(leaving()).To(BeTrue())
	f.reportStart("a", false, name)
	f.Inject(name, event.VMList{List: f.vms}, 0)
	g.Expect(leaving()).To(BeTrue())
	f.reportStart("b", false, name)
	g.Expect(leaving()).To(BeFalse())
	f.Inject(name, member.ServerObserved{Server: "s1", Start: "a"}, 0)
	g.Expect(leaving()).To(BeFalse(), "a late answer of the old start")
	f.Inject(name, member.ServerObserved{Server: "s1", Start: "b", Leaving: true}, 0)
	g.Expect(leaving()).To(BeTrue())
}

// TestLeaseEndsBeforeSuspicion guards against two nodes that both may act for a domain: the one that cannot be heard
// must lose its lease before the others drop it, also when it hears them and when it was frozen.
func TestLeaseEndsBeforeSuspicion(t *testing.T) {
	for _, fault := range []string{"unheard", "frozen", "killed peers"} {
		t.Run(fault, func(t *testing.T) {
			g := NewWithT(t)
			f := newCluster(3, 3, 1)
			lease := map[id.Node]time.Time{}
			dropped := time.Time{}
			a, b, c := f.Names()[0], f.Names()[1], f.Names()[2]
			f.Watch = func(w *simulation.World, from id.Node, act event.Action) {
				switch act := act.(type) {
				case member.Lease:
					lease[from] = act.Until
				case member.ViewChanged:
					if _, ok := act.View.Find(a); !ok && from != a {
						dropped = w.Now
					}
				}
			}
			f.Run(5 * time.Second)
			g.Expect(lease[a]).To(BeTemporally(">", f.Now))
			switch fault {
			case "unheard":
				f.Cut(a, b)
				f.Cut(a, c)
			case "frozen":
				f.Freeze(a, 10*time.Second)
			case "killed peers":
				f.Kill(b)
				f.Kill(c)
			}
			f.Run(9 * time.Second)
			g.Expect(lease[a]).To(BeTemporally("<", f.Now))
			if fault != "killed peers" {
				g.Expect(dropped).NotTo(BeZero())
				g.Expect(lease[a]).To(BeTemporally("<=", dropped))
				g.Expect(lease[b]).To(BeTemporally(">", f.Now))
			}
		})
	}
}

// TestClockBehind guards against a restarted node that stays out of the views because its clock is behind the one of
// its earlier process.
func TestClockBehind(t *testing.T) {
	g := NewWithT(t)
	inc := func(seed uint64) id.Incarnation { return id.NewIncarnation(rand.New(rand.NewPCG(seed, 2))) }
	self := event.Self{
		Node: "n", Incarnation: inc(1), FailureDomain: "d", Addr: netip.MustParseAddrPort("10.0.0.1:1"),
		Rand: rand.New(rand.NewPCG(1, 2)),
	}
	m := member.New(self, member.WithSeeds(event.VM{Name: "o", Kind: "entry", FailureDomain: "d", Addr: self.Addr}))
	now := simulation.Epoch
	m.Step(now, event.Tick{})
	old := member.Record{ID: "n", Incarnation: inc(3), Generation: 1 << 50, FailureDomain: "d", Addr: "10.0.0.1:1"}
	m.Step(now, event.Receive{From: "o", Incarnation: inc(4), Body: member.Update{Records: []member.Record{old}}})
	now = m.Next()
	for _, a := range m.Step(now, event.Tick{}) {
		if s, ok := a.(event.Send); ok {
			g.Expect(s.Body.(member.Heartbeat).Self[0].Generation).To(BeNumerically(">", old.Generation))
			return
		}
	}
	t.Fatal("no heartbeat")
}

// TestBodiesRoundTrip guards against a field that the wire loses and against bodies that skip their checks.
func TestBodiesRoundTrip(t *testing.T) {
	g := NewWithT(t)
	inc := id.NewIncarnation(rand.New(rand.NewPCG(1, 2)))
	r := member.Record{ID: "n", Incarnation: inc, Generation: 5, FailureDomain: "d", Region: "r", Addr: "10.0.0.1:1", Leaving: true}
	marks := []member.LeavingMarker{{Server: "s", Start: "a"}}
	for _, b := range []event.Body{
		member.Heartbeat{Seq: 1, Echo: 2, Digest: 1 << 63, Marks: 3, Relays: make([]byte, 18), Self: []member.Record{r}, Recent: marks},
		member.Query{Digests: make([]byte, 8), Buckets: make([]byte, 128)},
		member.Update{Records: []member.Record{r}, Marks: marks},
	} {
		raw, err := codec().Encode(wire.Envelope{From: "n", Incarnation: inc}, b)
		g.Expect(err).NotTo(HaveOccurred())
		got, err := codec().Decode(raw)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Body).To(Equal(b))
	}
	r.Addr = "nowhere"
	for _, b := range []event.Body{
		member.Heartbeat{Relays: make([]byte, 8)},
		member.Heartbeat{Self: []member.Record{r}},
		member.Query{Buckets: make([]byte, 8)},
		member.Update{Marks: []member.LeavingMarker{{Server: "s"}}},
	} {
		g.Expect(b.Check()).To(HaveOccurred())
	}
}

func codec() *wire.Codec {
	return wire.New(map[uint32]event.Body{1: member.Heartbeat{}, 2: member.Query{}, 3: member.Update{}})
}

// BenchmarkHeartbeat reports the traffic that one node sends, envelopes included.
func BenchmarkHeartbeat(b *testing.B) {
	for _, c := range []struct{ nodes, domains int }{{9, 3}, {36, 6}, {100, 12}, {340, 32}} {
		b.Run(fmt.Sprintf("nodes=%d", c.nodes), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				f := newCluster(1, c.nodes, c.domains)
				f.Run(15 * time.Second)
				if err := f.checkViews(); err != nil {
					b.Fatal(err)
				}
				f.codec, f.bytes = codec(), 0
				f.Run(10 * time.Second)
				b.ReportMetric(float64(f.bytes)/float64(c.nodes)/10, "B/node/s")
			}
		})
	}
}
