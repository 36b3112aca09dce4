package route_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/member"
	"bluebellflow/core/route"
	"bluebellflow/core/simulation"
)

// TestHistories guards against overloaded cold servers, and against attempts that reach leaving servers or closed domains.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"))
		node := rapid.SampledFrom(c.Nodes())
		server := rapid.SampledFrom(c.backends)
		c.Run(14 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if c.violation != nil {
					t.Fatal(c.violation)
				}
			},
			"kill": func(t *rapid.T) { c.Kill(node.Draw(t, "node")) },
			"start": func(t *rapid.T) {
				n := node.Draw(t, "node")
				c.Kill(n)
				c.Start(n)
			},
			"freeze": func(t *rapid.T) {
				c.Freeze(node.Draw(t, "node"), time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms"))*time.Millisecond)
			},
			"cut":  func(t *rapid.T) { c.Cut(node.Draw(t, "a"), node.Draw(t, "b")) },
			"part": func(*rapid.T) { c.PartitionDomain("domain-0") },
			"heal": func(*rapid.T) { c.Heal() },
			"network": func(t *rapid.T) {
				c.Network.Loss = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss")
				c.Network.Repeat = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "repeat")
			},
			"cold": func(t *rapid.T) { server.Draw(t, "server").restart() },
			"leave": func(t *rapid.T) {
				b, n := server.Draw(t, "server"), node.Draw(t, "node")
				c.Heal()
				c.Run(12 * time.Second) // freezes end, links to dead nodes are replaced
				if !c.Up(n) {
					return
				}
				if err := c.checkLeaving(b, n); err != nil {
					t.Fatal(err)
				}
			},
			"drain": func(t *rapid.T) {
				c.domainClosed = true
				c.Run(10 * time.Second)
				closedAt := c.Now
				c.Run(time.Second)
				if b := c.backends[1]; b.lastReceived.After(closedAt) {
					t.Fatalf("%s received an attempt although its domain is closed", b.name)
				}
				c.domainClosed = false
			},
			"run": func(t *rapid.T) { c.Run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
		})
	})
}

// TestLeavingNeedsMarker shows that checkLeaving fails if nodes ignore leaving markers.
func TestLeavingNeedsMarker(t *testing.T) {
	for without, opts := range map[bool][]route.Option{true: {route.WithoutLeavingMarkers()}, false: nil} {
		c := newCluster(1, opts...)
		c.Run(16 * time.Second)
		NewWithT(t).Expect(c.backends[0].lastReceived).To(BeTemporally(">", c.Now.Add(-time.Second)))
		NewWithT(t).Expect(c.checkLeaving(c.backends[0], c.Nodes()[0]) != nil).To(Equal(without))
	}
}

// TestColdNeedsPermit shows that checkLoad fails if nodes send to cold servers without permits.
func TestColdNeedsPermit(t *testing.T) {
	for baseline, violated := range map[string]bool{"nopermit": true, "": false} {
		c := newCluster(1, route.WithBaselines(baseline))
		c.Run(16 * time.Second)
		NewWithT(t).Expect(c.violation != nil).To(Equal(violated))
	}
}

// TestColdSignals guards against a server that keeps getting full load although it became slow under the same start
// identity, and against a failure domain that returns with its servers still counted as warm.
func TestColdSignals(t *testing.T) {
	for name, signal := range map[string]func(c *testCluster){
		"none": func(*testCluster) {},
		"slow": func(c *testCluster) { c.backends[0].addedMs = 2000 },
		"domain": func(c *testCluster) {
			c.Inject(c.Nodes()[1], route.DomainState{Domain: "domain-0", Open: true, Cold: true}, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(1)
			c.Run(16 * time.Second)
			cold := id.NewSet[id.Node]()
			check := func() {
				for _, n := range c.Nodes() {
					if !c.node(n).router.Warm("s0") {
						cold.Add(n)
					}
				}
			}
			check()
			g.Expect(cold).To(BeEmpty())
			signal(c)
			for range 600 {
				c.Run(10 * time.Millisecond)
				check()
			}
			if name == "none" {
				g.Expect(cold).To(BeEmpty())
				return
			}
			g.Expect(cold).To(HaveLen(len(c.Nodes())))
		})
	}
}

// newWarmRouter returns a router with warm servers, in turn from its own failure domain and from another one.
func newWarmRouter(servers int, names ...string) *route.Router {
	self := event.Self{Node: "n", FailureDomain: "domain-0", Rand: rand.New(rand.NewPCG(1, 2))}
	r := route.New(self, route.WithBaselines(append(names, "nopermit")...))
	r.Step(simulation.Epoch, pools)
	for i := range servers {
		r.Step(simulation.Epoch, member.ServerChanged{Server: member.Server{
			ID: id.Server(fmt.Sprintf("s%04d", i)), Pool: "gen", Version: id.Version(fmt.Sprintf("v%d", i%4/2)),
			FailureDomain: id.FailureDomain(fmt.Sprintf("domain-%d", i%2)), Start: "a",
		}})
	}
	return r
}

// placeMany runs count attempts one after the other and returns how often each server was chosen.
func placeMany(r *route.Router, now time.Time, count int, q route.Query, kind route.OutcomeKind) map[id.Server]int {
	counts := map[id.Server]int{}
	q.Pool = "gen"
	for i := range count {
		c, _ := r.Place(now, id.Attempt(i+1), q)
		if c.Decision == route.Chosen {
			counts[c.Server.ID]++
			r.End(now, id.Attempt(i+1), route.Outcome{Kind: kind, Took: time.Second, Start: "a"})
		}
	}
	return counts
}

// TestPreferences guards against placements that ignore a condition of the query or of a server.
func TestPreferences(t *testing.T) {
	now := simulation.Epoch.Add(time.Second)
	for name, c := range map[string]struct {
		prepare func(r *route.Router)
		query   route.Query
		want    []id.Server
	}{
		"own domain first": {want: []id.Server{"s0000", "s0002"}},
		"version":          {query: route.Query{Version: "v1"}, want: []id.Server{"s0002"}},
		"avoid":            {query: route.Query{Exclude: []id.Server{"s0000"}}, want: []id.Server{"s0002"}},
		"closed domain": {
			prepare: func(r *route.Router) { r.Step(now, route.DomainState{Domain: "domain-0"}) },
			want:    []id.Server{"s0001", "s0003"},
		},
		"leaving": {
			prepare: func(r *route.Router) {
				r.Step(now, member.ServerChanged{Server: member.Server{ID: "s0000", Pool: "gen", FailureDomain: "domain-0", Start: "a", Leaving: true}})
			},
			want: []id.Server{"s0002"},
		},
		"loaded by others": {
			prepare: func(r *route.Router) {
				r.Step(now, event.LoadReport{Server: "s0000", Start: "a", Running: 3, Limit: 8, At: now})
			},
			want: []id.Server{"s0002"},
		},
		"own domain full": {
			prepare: func(r *route.Router) {
				for _, s := range []id.Server{"s0000", "s0002"} {
					r.Step(now, event.LoadReport{Server: s, Start: "a", Running: 8, Limit: 8, At: now})
				}
			},
			want: []id.Server{"s0001", "s0003"},
		},
		"prefix": {
			prepare: func(r *route.Router) {
				r.Step(now, event.CacheUpdate{Server: "s0003", Start: "a", Seq: 1, Added: []uint64{7}, At: now})
			},
			query: route.Query{PrefixHashes: []uint64{7, 8}}, want: []id.Server{"s0003"},
		},
		"prefix of an earlier start": {
			prepare: func(r *route.Router) {
				r.Step(now, event.CacheUpdate{Server: "s0003", Start: "a", Seq: 1, Added: []uint64{7}, At: now})
				r.Step(now, member.ServerChanged{Server: member.Server{ID: "s0003", Pool: "gen", FailureDomain: "domain-1", Start: "b"}})
			},
			query: route.Query{PrefixHashes: []uint64{7}}, want: []id.Server{"s0000", "s0002"},
		},
		"alone": {
			prepare: func(r *route.Router) {
				for i := range 3 { // the two servers of the own domain and one more are in use
					r.Place(now, id.Attempt(100+i), route.Query{Pool: "gen", Exclusive: true})
				}
			},
			query: route.Query{Exclusive: true}, want: []id.Server{"s0001", "s0003"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newWarmRouter(4)
			if c.prepare != nil {
				c.prepare(r)
			}
			for s := range placeMany(r, now, 40, c.query, route.Completed) {
				NewWithT(t).Expect(c.want).To(ContainElement(s))
			}
		})
	}
}

// TestWaitingIsRetried guards against waiting work that is never placed again.
func TestWaitingIsRetried(t *testing.T) {
	g := NewWithT(t)
	r, now := newWarmRouter(1), simulation.Epoch
	for i := range 9 {
		c, _ := r.Place(now, id.Attempt(i+1), route.Query{Pool: "gen"})
		g.Expect(c.Decision == route.Wait).To(Equal(i == 8))
	}
	g.Expect(r.End(now, 1, route.Outcome{Kind: route.Completed, Start: "a"})).To(ContainElement(route.RetryPlacement{Pool: "gen"}))
	c, _ := r.Place(now, 10, route.Query{Pool: "gen"})
	g.Expect(c.Decision).To(Equal(route.Chosen))
	_, _ = r.Place(now, 11, route.Query{Pool: "gen"})
	g.Expect(r.Step(r.Next(), event.Tick{})).To(ContainElement(route.RetryPlacement{Pool: "gen"}))
	c, _ = r.Place(now, 12, route.Query{Pool: "other"})
	g.Expect(c.Decision).To(Equal(route.NoServer))
}

// TestWaitIsLoggedOnce guards against a log line for each placement of a waiting request, which are hundreds per second.
func TestWaitIsLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	r, now := newWarmRouter(1), simulation.Epoch
	for i := range 8 {
		r.Place(now, id.Attempt(i+1), route.Query{Pool: "gen"})
	}
	logged := func(q route.Query) bool {
		_, out := r.Place(now, 9, q)
		return slices.ContainsFunc(out, func(a event.Action) bool { _, ok := a.(event.Log); return ok })
	}
	g.Expect(logged(route.Query{Pool: "gen"})).To(BeTrue())
	g.Expect(logged(route.Query{Pool: "gen", LastReason: "no room"})).To(BeFalse())
	g.Expect(logged(route.Query{Pool: "gen", LastReason: "no permit"})).To(BeTrue(), "another reason")
}

// TestEjection guards against a server that fails fast and attracts work, and against ejecting a whole pool.
func TestEjection(t *testing.T) {
	eject := func(opts ...route.Option) (ejected int, returned bool) {
		self := event.Self{Node: "n", FailureDomain: "domain-0", Rand: rand.New(rand.NewPCG(1, 2))}
		r := route.New(self, append(opts, route.WithBaselines("nopermit"))...)
		for i := range 10 {
			r.Step(simulation.Epoch, member.ServerChanged{Server: member.Server{ID: id.Server(fmt.Sprint(i)), Pool: "gen", FailureDomain: "domain-0", Start: "a"}})
		}
		placeMany(r, simulation.Epoch, 400, route.Query{}, route.Errored)
		after := placeMany(r, simulation.Epoch, 400, route.Query{}, route.Cancelled)
		later := placeMany(r, simulation.Epoch.Add(time.Minute), 400, route.Query{}, route.Cancelled)
		return 10 - len(after), len(later) == 10
	}
	g := NewWithT(t)
	ejected, returned := eject()
	g.Expect(ejected).To(Equal(3))
	g.Expect(returned).To(BeTrue())
	ejected, _ = eject(route.WithoutEjectionBound())
	g.Expect(ejected).To(Equal(10), "without the bound, the whole pool is ejected")
}

// TestBaselinesByName guards against a baseline name that has no effect.
func TestBaselinesByName(t *testing.T) {
	g := NewWithT(t)
	g.Expect(placeMany(newWarmRouter(4, route.RoundRobin), simulation.Epoch, 40, route.Query{}, route.Completed)).To(
		Equal(map[id.Server]int{"s0000": 10, "s0001": 10, "s0002": 10, "s0003": 10}))
	for _, name := range []string{route.LeastLoaded, route.TwoChoices} {
		g.Expect(placeMany(newWarmRouter(4, name), simulation.Epoch, 100, route.Query{}, route.Completed)).To(HaveLen(4))
	}
	r := newWarmRouter(4, route.NoLocality)
	r.Step(simulation.Epoch, event.CacheUpdate{Server: "s0003", Start: "a", Seq: 1, Added: []uint64{7}})
	g.Expect(placeMany(r, simulation.Epoch, 10, route.Query{PrefixHashes: []uint64{7}}, route.Completed)).NotTo(HaveKey(id.Server("s0003")))
}

// BenchmarkPlace measures one placement and its end, with prefix hints, load reports and the log line.
func BenchmarkPlace(b *testing.B) {
	for _, servers := range []int{20, 100, 1900} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			r, now := newWarmRouter(servers), simulation.Epoch
			var took []time.Duration
			for i := range servers {
				name := id.Server(fmt.Sprintf("s%04d", i))
				r.Step(now, event.LoadReport{Server: name, Start: "a", Running: i % 5, Limit: 64, At: now})
				r.Step(now, event.CacheUpdate{Server: name, Start: "a", Seq: 1, Added: []uint64{uint64(i % 50)}, At: now})
			}
			prefix := make([]uint64, 4)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				for j := range prefix {
					prefix[j] = uint64((i + j) % 100)
				}
				begin := time.Now()
				if c, _ := r.Place(now, id.Attempt(i), route.Query{Pool: "gen", PrefixHashes: prefix}); c.Decision != route.Chosen {
					b.Fatal(c.Reason)
				}
				if len(took) < 100000 {
					took = append(took, time.Since(begin))
				}
				r.End(now, id.Attempt(i), route.Outcome{Kind: route.Completed, Took: time.Second, Start: "a"})
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds()), "p99-ns/place")
		})
	}
}
