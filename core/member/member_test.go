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

// TestMain sets a fixed seed, so that each run checks the same histories unless -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260101")
	m.Run()
}

// cluster simulates nodes that run only package member.
type cluster struct {
	*simulation.World
	vms         []event.VM
	bytes       int // encoded size of all messages since codec was set
	frozenUntil map[id.Node]time.Time
	codec       *wire.Codec
}

// meteredNode adds the encoded size of the messages of a node to the cluster's total.
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
	c := &cluster{World: simulation.New(seed), frozenUntil: map[id.Node]time.Time{}}
	for i := range nodes {
		c.vms = append(c.vms, event.VM{
			Name: fmt.Sprintf("entry-%03d", i), Kind: "entry", Region: "tn-south",
			FailureDomain: id.FailureDomain(fmt.Sprintf("domain-%02d", i%domains)),
			Addr:          netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7400),
		})
	}
	c.vms = append(c.vms, event.VM{Name: "s1", Kind: "backend", FailureDomain: "domain-00", Addr: c.vms[0].Addr, Pool: "gen"})
	for _, vm := range c.vms[:nodes] {
		self := event.Self{Node: id.Node(vm.Name), FailureDomain: vm.FailureDomain, Region: vm.Region, Addr: vm.Addr}
		c.Add(self, func(self event.Self) simulation.Stepper {
			return meteredNode{member.New(self, append(opts, member.WithSeeds(c.vms...))...), c, self}
		})
		c.Inject(self.Node, event.VMList{List: c.vms}, 0)
	}
	return c
}

func (c *cluster) members(name id.Node) *member.Members { return c.Stepper(name).(meteredNode).Members }

// faultActions returns the actions for rapid's T.Repeat. Only "run" advances the time.
func (c *cluster) faultActions() map[string]func(*rapid.T) {
	node := rapid.SampledFrom(c.Nodes())
	return map[string]func(*rapid.T){
		"kill": func(t *rapid.T) { c.Kill(node.Draw(t, "node")) },
		"restart": func(t *rapid.T) {
			name := node.Draw(t, "node")
			c.Kill(name)
			c.Start(name)
			c.Inject(name, event.VMList{List: c.vms}, 0)
			delete(c.frozenUntil, name)
		},
		"freeze": func(t *rapid.T) {
			name, d := node.Draw(t, "node"), time.Duration(rapid.IntRange(1, 20).Draw(t, "s"))*time.Second
			c.Freeze(name, d)
			if until := c.Now.Add(d); until.After(c.frozenUntil[name]) {
				c.frozenUntil[name] = until
			}
		},
		"cut": func(t *rapid.T) {
			a, b := node.Draw(t, "a"), node.Draw(t, "b")
			if c.Self(a).FailureDomain != c.Self(b).FailureDomain {
				c.PartitionDomain(c.Self(a).FailureDomain)
				return
			}
			c.Cut(a, b)
			if rapid.Bool().Draw(t, "both") {
				c.Cut(b, a)
			}
		},
		"heal": func(*rapid.T) { c.Heal() },
		"network": func(t *rapid.T) {
			c.Network.Loss = rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "loss")
			c.Network.Repeat = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "repeat")
		},
		"list": func(t *rapid.T) { // a VM list without one of the VMs, which may be running
			skip := rapid.IntRange(0, len(c.Nodes())-1).Draw(t, "missing")
			list := append(append([]event.VM{}, c.vms[:skip]...), c.vms[skip+1:]...)
			c.Inject(node.Draw(t, "node"), event.VMList{List: list}, 0)
		},
		"run": func(t *rapid.T) { c.Run(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond) },
	}
}

// healAndConverge ends all faults and waits for the 16 s in which views must converge.
func (c *cluster) healAndConverge() {
	c.Heal()
	c.Network.Loss, c.Network.Repeat = 0, 0
	lastFrozen := c.Now
	for _, until := range c.frozenUntil {
		if until.After(lastFrozen) {
			lastFrozen = until
		}
	}
	c.Run(lastFrozen.Sub(c.Now) + 16*time.Second)
}

// checkViews returns an error for the first node whose view differs from the set of running processes.
func (c *cluster) checkViews() error {
	for _, name := range c.Nodes() {
		if !c.Up(name) {
			continue
		}
		view := c.members(name).View()
		for _, other := range c.Nodes() {
			n, found := view.Find(other)
			if found != c.Up(other) || (found && n.Incarnation != c.Self(other).Incarnation) {
				return fmt.Errorf("%s: %s in view: %v, up: %v", name, other, found, c.Up(other))
			}
		}
	}
	return nil
}

// TestViewsConverge guards against views that lack a running node or contain a dead one long after all faults have ended.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), 7, 3)
		c.Run(3 * time.Second)
		t.Repeat(c.faultActions())
		c.healAndConverge()
		if err := c.checkViews(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestConvergenceNeedsRelays checks that checkViews detects divergence: without relays, nodes of different domains that
// send each other no heartbeats never learn of each other.
func TestConvergenceNeedsRelays(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(1, 18, 3, member.WithoutRelays())
	c.healAndConverge()
	g.Expect(c.checkViews()).To(HaveOccurred())
	c = newCluster(1, 18, 3)
	c.healAndConverge()
	g.Expect(c.checkViews()).NotTo(HaveOccurred())
}

// checkMarker returns an error if a node that has a path from the given one, which knows the marker, does not count the
// server as leaving. Nodes that were frozen within the last 6 s are left out.
func (c *cluster) checkMarker(from id.Node, start id.Start) error {
	reached := id.NewSet(from)
	for queue := []id.Node{from}; len(queue) > 0; queue = queue[1:] {
		for _, n := range c.Nodes() {
			if c.Up(n) && !reached.Has(n) && c.Now.After(c.frozenUntil[n].Add(6*time.Second)) && !c.IsCut(queue[0], n) {
				reached.Add(n)
				queue = append(queue, n)
			}
		}
	}
	for _, n := range reached.Sorted() {
		if s, ok := c.members(n).Server("s1"); ok && s.Start == start && !s.Leaving {
			return fmt.Errorf("%s does not know that %s is leaving", n, start)
		}
	}
	return nil
}

func (c *cluster) reportStart(start id.Start, leaving bool, to ...id.Node) {
	for _, n := range to {
		c.Inject(n, event.LoadReport{Server: "s1", Start: start, At: c.Now, Limit: 8, Leaving: leaving}, 0)
	}
}

// TestMarkersSpread guards against nodes that do not know that a server is leaving 3 s after a node connected to them has
// learned it.
func TestMarkersSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), 7, 3)
		c.Run(3 * time.Second)
		count := 0
		actions := c.faultActions()
		actions["leave"] = func(t *rapid.T) {
			c.Run(10 * time.Second) // dead heartbeat targets are replaced after the suspicion timeout
			from := rapid.SampledFrom(c.Nodes()).Draw(t, "from")
			if !c.Up(from) || c.frozenUntil[from].After(c.Now) {
				return
			}
			count++
			start := id.Start(fmt.Sprintf("start-%d", count))
			c.reportStart(start, false, c.Nodes()...)
			c.Run(100 * time.Millisecond)
			c.reportStart(start, true, from)
			c.Run(3 * time.Second)
			if err := c.checkMarker(from, start); err != nil {
				t.Fatal(err)
			}
		}
		t.Repeat(actions)
	})
}

// TestMarkersNeedGossip checks that checkMarker detects markers that are not forwarded.
func TestMarkersNeedGossip(t *testing.T) {
	for without, opts := range map[bool][]member.Option{true: {member.WithoutMarkers()}, false: nil} {
		c := newCluster(1, 7, 3, opts...)
		c.Run(3 * time.Second)
		c.reportStart("a", false, c.Nodes()...)
		c.Run(time.Second)
		c.reportStart("a", true, c.Nodes()[0])
		c.Run(3 * time.Second)
		NewWithT(t).Expect(c.checkMarker(c.Nodes()[0], "a") != nil).To(Equal(without))
	}
}

// TestMarkerIsPermanent guards against a late load report or VM list that withdraws the marker of a leaving start.
func TestMarkerIsPermanent(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(2, 3, 1)
	name := c.Nodes()[0]
	leaving := func() bool {
		c.Run(time.Second)
		s, _ := c.members(name).Server("s1")
		return s.Leaving
	}
	c.reportStart("a", true, name)
	g.Expect(leaving()).To(BeTrue())
	c.reportStart("a", false, name)
	c.Inject(name, event.VMList{List: c.vms}, 0)
	g.Expect(leaving()).To(BeTrue())
	c.reportStart("b", false, name)
	g.Expect(leaving()).To(BeFalse())
	c.Inject(name, member.ServerObserved{Server: "s1", Start: "a"}, 0)
	g.Expect(leaving()).To(BeFalse(), "a late response of the old start")
	c.Inject(name, member.ServerObserved{Server: "s1", Start: "b", Leaving: true}, 0)
	g.Expect(leaving()).To(BeTrue())
}

// TestLeaseEndsBeforeSuspicion guards against two nodes that act for a domain at the same time. The lease of a node whose
// messages are lost must end before the others drop it from their views, even if it still receives their messages or was
// frozen.
func TestLeaseEndsBeforeSuspicion(t *testing.T) {
	for _, fault := range []string{"unheard", "frozen", "killed peers"} {
		t.Run(fault, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(3, 3, 1)
			lease := map[id.Node]time.Time{}
			dropped := time.Time{}
			first, second, third := c.Nodes()[0], c.Nodes()[1], c.Nodes()[2]
			c.OnInternal = func(w *simulation.World, from id.Node, act event.Action) {
				switch act := act.(type) {
				case member.Lease:
					lease[from] = act.Until
				case member.ViewChanged:
					if _, ok := act.View.Find(first); !ok && from != first {
						dropped = w.Now
					}
				}
			}
			c.Run(5 * time.Second)
			g.Expect(lease[first]).To(BeTemporally(">", c.Now))
			switch fault {
			case "unheard":
				c.Cut(first, second)
				c.Cut(first, third)
			case "frozen":
				c.Freeze(first, 10*time.Second)
			case "killed peers":
				c.Kill(second)
				c.Kill(third)
			}
			c.Run(9 * time.Second)
			g.Expect(lease[first]).To(BeTemporally("<", c.Now))
			if fault != "killed peers" {
				g.Expect(dropped).NotTo(BeZero())
				g.Expect(lease[first]).To(BeTemporally("<=", dropped))
				g.Expect(lease[second]).To(BeTemporally(">", c.Now))
			}
		})
	}
}

// TestClockBehind guards against a restarted node that no view admits because its clock is behind that of its earlier
// process.
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

// TestBodiesRoundTrip guards against fields that are lost in the encoding and against invalid messages that pass Check.
func TestBodiesRoundTrip(t *testing.T) {
	g := NewWithT(t)
	inc := id.NewIncarnation(rand.New(rand.NewPCG(1, 2)))
	r := member.Record{ID: "n", Incarnation: inc, Generation: 5, FailureDomain: "d", Region: "r", Addr: "10.0.0.1:1", Leaving: true}
	markers := []member.LeavingMarker{{Server: "s", Start: "a"}}
	for _, b := range []event.Body{
		member.Heartbeat{Seq: 1, Echo: 2, Digest: 1 << 63, Marks: 3, Relays: make([]byte, 18), Self: []member.Record{r}, Recent: markers},
		member.Query{Digests: make([]byte, 8), Buckets: make([]byte, 128)},
		member.Update{Records: []member.Record{r}, Marks: markers},
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

// BenchmarkHeartbeat reports the traffic that each node sends, including envelopes.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []struct{ nodes, domains int }{{9, 3}, {36, 6}, {100, 12}, {340, 32}} {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				c := newCluster(1, size.nodes, size.domains)
				c.Run(15 * time.Second)
				if err := c.checkViews(); err != nil {
					b.Fatal(err)
				}
				c.codec, c.bytes = codec(), 0
				c.Run(10 * time.Second)
				b.ReportMetric(float64(c.bytes)/float64(size.nodes)/10, "B/node/s")
			}
		})
	}
}
