package rollout_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/event"
	"bluebellflow/core/evidence"
	"bluebellflow/core/fleet"
	"bluebellflow/core/id"
	"bluebellflow/core/rollout"
	"bluebellflow/core/watchcache"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	pool = id.Pool("model")
	span = 30 * time.Second
)

// decoder decodes an order of the form "TARGET" and a status of the form "STATE TARGET".
type decoder struct{}

func (decoder) Rollout(spec, status []byte) (rollout.Order, rollout.Status, error) {
	if len(spec) == 0 {
		return rollout.Order{}, rollout.Status{}, errors.New("no target")
	}
	var s rollout.Status
	_, _ = fmt.Sscan(string(status), &s.State, &s.Target) // stays zero without a status
	return rollout.Order{Pool: pool, Target: id.Version(spec), Span: span}, s, nil
}

func (decoder) RolloutStatus(s rollout.Status) ([]byte, error) {
	return []byte(fmt.Sprintf("%d %s", s.State, s.Target)), nil
}

// fakeStore is the store with one order, and a pool with a server of each version.
type fakeStore struct {
	object       watchcache.Object
	unavailable  bool
	noOldServers bool // the pool has only the server of the new version
}

func (s *fakeStore) Pool(id.Pool) []*fleet.Server {
	oldServer, newServer := &fleet.Server{ID: "old"}, &fleet.Server{ID: "new"}
	oldServer.Version, newServer.Version = "v1", "v2"
	if s.noOldServers {
		return []*fleet.Server{newServer}
	}
	return []*fleet.Server{oldServer, newServer}
}

// faultModel returns the additional failure probability and the latency factor of the new version after a fraction of the
// span.
type faultModel func(fraction float64) (fail, slower float64)

// rejectModel returns the shares of the requests that the servers of the new and of the old version reject after a fraction of
// the span.
type rejectModel func(fraction float64) (byNew, byOld float64)

var good faultModel = func(float64) (float64, float64) { return 0, 1 }

// cluster simulates nodes under traffic. The first node is the leader unless a test sets another one.
type cluster struct {
	g      *WithT
	rng    *rand.Rand
	now    time.Time
	names  []id.Node
	nodes  map[id.Node]*rollout.Rollouts
	leader id.Node
	cut    map[id.Node]bool // nodes that reach neither the leader nor the store
	queue  []delivery
	store  fakeStore
	rate   float64 // requests per second
	fault  faultModel
	reject rejectModel // nil for none
	era    uint64      // of the store
	writes []change    // all writes to the store, also those that it has forgotten

	loseAnswers bool // of the store; nodes do not see the change either

	requests, newRequests, badResults int
	badAt                             time.Time // time of the fiftieth bad result
	lastNewRequest                    time.Time
}

type delivery struct {
	to id.Node
	ev event.Event
}

func newCluster(t *testing.T, seed uint64, rate float64, bad faultModel) *cluster {
	return newClusterOf(t, 4, seed, rate, bad)
}

func newClusterOf(t *testing.T, nodes int, seed uint64, rate float64, bad faultModel) *cluster {
	c := &cluster{
		g: NewWithT(t), rng: rand.New(rand.NewPCG(seed, 3)), now: epoch, leader: "a",
		nodes: map[id.Node]*rollout.Rollouts{}, cut: map[id.Node]bool{}, rate: rate, fault: bad,
	}
	for i := range nodes {
		c.names = append(c.names, id.Node(rune('a'+i)))
	}
	for _, name := range c.names {
		self := event.Self{Node: name, Incarnation: incarnation(name), Rand: c.rng}
		c.nodes[name] = rollout.New(self, decoder{}, &c.store)
		c.nodes[name].SetNodes(c.names)
		c.nodes[name].SetLeader(c.now, c.leader)
	}
	return c
}

func incarnation(name id.Node) id.Incarnation {
	return id.Incarnation(fmt.Sprintf("%032x", string(name)))
}

// order writes an order for the new version.
func (c *cluster) order() { c.write([]byte("v2"), nil) }

func (c *cluster) write(spec, status []byte) {
	c.store.object = watchcache.Object{Name: "m", Revision: c.store.object.Revision + 1, Spec: spec, Status: status}
	c.writes = append(c.writes, change{c.now, c.store.object})
	for _, name := range c.names {
		if !c.cut[name] {
			c.queue = append(c.queue, delivery{name, watchcache.ObjectChanged{Kind: rollout.Kind, Object: c.store.object}})
		}
	}
}

func (c *cluster) step(name id.Node, ev event.Event) {
	for _, a := range c.nodes[name].Step(c.now, ev) {
		switch a := a.(type) {
		case event.Send:
			c.g.Expect(a.Body.Check()).To(Succeed())
			if !c.cut[name] && !c.cut[a.To] {
				c.queue = append(c.queue, delivery{a.To, event.Receive{From: name, Incarnation: incarnation(name), Body: a.Body}})
			}
		case event.PlatformCall:
			c.queue = append(c.queue, delivery{name, c.call(a)})
		}
	}
}

// call applies a status write to the store and returns its result.
func (c *cluster) call(pc event.PlatformCall) event.PlatformResult {
	switch {
	case c.store.unavailable:
		return event.PlatformResult{Call: pc, Code: event.CodeUnavailable}
	case pc.Version != c.store.object.Revision:
		return event.PlatformResult{Call: pc, Code: event.CodeConflict}
	}
	if c.loseAnswers {
		c.store.object.Status = pc.Value
		c.store.object.Revision++
		return event.PlatformResult{Call: pc, Code: event.CodeUnknown}
	}
	c.write(c.store.object.Spec, pc.Value)
	return event.PlatformResult{Call: pc, Code: event.CodeOK}
}

const tick = 50 * time.Millisecond

// run advances the clock under traffic.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(tick) {
		for n := c.poisson(c.rate * tick.Seconds()); n > 0; n-- {
			c.request()
		}
		for _, name := range c.names {
			c.step(name, event.Tick{})
		}
		for len(c.queue) > 0 {
			d := c.queue[0]
			c.queue = c.queue[1:]
			c.step(d.to, d.ev)
		}
	}
}

func (c *cluster) poisson(mean float64) int {
	n, p := 0, c.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= c.rng.Float64()
	}
	return n
}

// request sends a request through a random node and reports its result to the node.
func (c *cluster) request() {
	name := c.names[c.rng.IntN(len(c.names))]
	r := c.nodes[name]
	v := id.Version("v1")
	if r.Choose(c.now, pool, id.Fingerprint(c.rng.Uint64()), false).Allows("v2") {
		v = "v2"
	}
	c.requests++
	fail, slower := 0.005, 1.0
	if v == "v2" {
		c.newRequests++
		c.lastNewRequest = c.now
		extraFail, factor := c.fault(c.now.Sub(epoch).Seconds() / span.Seconds())
		fail, slower = fail+extraFail, factor
	}
	if c.rejects(v) {
		if r.SimilarLoad(c.now, pool) {
			r.Observe(c.now, pool, v, evidence.Sample{Route: "r", Load: 1, Rejected: true})
		}
		if v == "v2" {
			c.countBad()
		}
		return
	}
	s := evidence.Sample{Route: "r", Load: 1, Failed: c.rng.Float64() < fail}
	s.Took = time.Duration(0.1 * slower * math.Exp(0.3*c.rng.NormFloat64()) * float64(time.Second))
	if v == "v2" && (s.Failed || slower > 1) {
		c.countBad()
	}
	r.Observe(c.now, pool, v, s)
}

func (c *cluster) countBad() {
	if c.badResults++; c.badResults == 50 {
		c.badAt = c.now
	}
}

// rejects reports whether a server of a version rejects the next request.
func (c *cluster) rejects(v id.Version) bool {
	if c.reject == nil {
		return false
	}
	byNew, byOld := c.reject(c.now.Sub(epoch).Seconds() / span.Seconds())
	if v == "v2" {
		return c.rng.Float64() < byNew
	}
	return c.rng.Float64() < byOld
}

// TestRejections guards against a bad version that rejects requests as if its servers were full, and against a good one that is
// rolled back because all servers reject some, or because its own are full while it gets nearly all requests.
func TestRejections(t *testing.T) {
	const shifted = 0.75 // of the span; a sound version gets all requests then
	for name, c := range map[string]struct {
		reject rejectModel
		want   rollout.State
	}{
		"bad, 60%":                {func(float64) (float64, float64) { return 0.6, 0 }, rollout.RolledBack},
		"bad, 30%":                {func(float64) (float64, float64) { return 0.3, 0 }, rollout.RolledBack},
		"bad, all":                {func(float64) (float64, float64) { return 1, 0 }, rollout.RolledBack},
		"bad, while both are hit": {func(float64) (float64, float64) { return 0.8, 0.2 }, rollout.RolledBack},
		"both alike":              {func(float64) (float64, float64) { return 0.3, 0.3 }, rollout.Completed},
		"few":                     {func(float64) (float64, float64) { return 0.03, 0 }, rollout.Completed},
		"full when all requests go to it": {func(fraction float64) (float64, float64) {
			return map[bool]float64{true: 0.5}[fraction > shifted], 0
		}, rollout.Completed},
	} {
		for _, rate := range []float64{14, 30, 400} {
			t.Run(fmt.Sprintf("%s, %v a second", name, rate), func(t *testing.T) {
				for seed := range uint64(10) {
					cl := newCluster(t, seed, rate, good)
					cl.reject = c.reject
					cl.order()
					cl.run(span)
					cl.g.Expect(cl.state()).To(Equal(c.want), "seed %d", seed)
					if c.want == rollout.RolledBack {
						cl.g.Expect(float64(cl.newRequests)).To(BeNumerically("<=", 0.1*float64(cl.requests)+50), "seed %d", seed)
						if !cl.badAt.IsZero() {
							cl.g.Expect(cl.lastNewRequest.Sub(cl.badAt)).To(BeNumerically("<=", 5*time.Second), "seed %d", seed)
						}
					}
				}
			})
		}
	}
}

func (c *cluster) state() rollout.State {
	var s rollout.Status
	_, _ = fmt.Sscan(string(c.store.object.Status), &s.State, &s.Target)
	return s.State
}

// TestGood guards against a good version that is rolled back or not completed in time, at several request rates.
func TestGood(t *testing.T) {
	for _, rate := range []float64{0, 2, 14, 40, 400} {
		t.Run(fmt.Sprintf("%v a second", rate), func(t *testing.T) {
			completed := 0
			const runs = 20
			for seed := range uint64(runs) {
				c := newCluster(t, seed, rate, good)
				c.order()
				c.run(span)
				if c.state() == rollout.Completed {
					completed++
				}
			}
			NewWithT(t).Expect(completed).To(BeNumerically(">=", runs-1), "completed of %d", runs)
		})
	}
}

// TestManyNodes guards against evidence that stays incomplete because each of many nodes has only a few results.
func TestManyNodes(t *testing.T) {
	c := newClusterOf(t, 40, 1, 25, good)
	c.order()
	c.run(span)
	c.g.Expect(c.state()).To(Equal(rollout.Completed))
}

// TestBad guards against a bad version that gets more than a tenth of the traffic plus fifty requests, or that still gets
// requests five seconds after its fiftieth bad result.
func TestBad(t *testing.T) {
	for name, bad := range map[string]faultModel{
		"fails":           func(float64) (float64, float64) { return 0.5, 1 },
		"slow":            func(float64) (float64, float64) { return 0, 3 },
		"fails late":      func(fraction float64) (float64, float64) { return map[bool]float64{true: 0.5}[fraction > 0.5], 1 },
		"fails after 60%": func(fraction float64) (float64, float64) { return map[bool]float64{true: 0.5}[fraction > 0.6], 1 },
	} {
		for _, rate := range []float64{14, 40, 400} {
			t.Run(fmt.Sprintf("%s, %v a second", name, rate), func(t *testing.T) {
				for seed := range uint64(10) {
					c := newCluster(t, seed, rate, bad)
					c.order()
					c.run(span)
					c.g.Expect(c.state()).To(Equal(rollout.RolledBack), "seed %d", seed)
					c.g.Expect(float64(c.newRequests)).To(BeNumerically("<=", 0.1*float64(c.requests)+50), "seed %d", seed)
					if !c.badAt.IsZero() {
						c.g.Expect(c.lastNewRequest.Sub(c.badAt)).To(BeNumerically("<=", 5*time.Second), "seed %d", seed)
					}
				}
			})
		}
	}
}

// TestLeaderLost guards against a rollout that restarts or stops when the leader fails halfway through.
func TestLeaderLost(t *testing.T) {
	c := newCluster(t, 1, 40, good)
	c.order()
	c.run(span / 2)
	c.cut["a"] = true
	c.leader = "b"
	for _, name := range c.names[1:] {
		c.nodes[name].SetLeader(c.now, "b")
		c.nodes[name].SetNodes(c.names[1:])
	}
	c.run(span / 2)
	c.g.Expect(c.state()).To(Equal(rollout.Completed))
}

// TestCutOff guards against a node that keeps serving the new version while it cannot learn that the version is bad.
func TestCutOff(t *testing.T) {
	c := newCluster(t, 1, 40, good)
	c.order()
	c.run(span / 2)
	c.cut["d"] = true
	c.run(3 * time.Second)
	for range 1000 {
		c.g.Expect(c.nodes["d"].Choose(c.now, pool, id.Fingerprint(c.rng.Uint64()), false).Allows("v2")).To(BeFalse())
	}
}

// TestStoreUnavailable guards against traffic for a bad version while its status cannot be written to the store, and
// against a status that is not written once the store is available again.
func TestStoreUnavailable(t *testing.T) {
	c := newCluster(t, 1, 40, func(float64) (float64, float64) { return 0.6, 1 })
	c.order()
	c.run(time.Second)
	c.store.unavailable = true
	c.run(span / 2)
	c.g.Expect(c.now.Sub(c.lastNewRequest)).To(BeNumerically(">", 5*time.Second))
	c.g.Expect(c.state()).To(Equal(rollout.Running))
	c.store.unavailable = false
	c.run(2 * time.Second)
	c.g.Expect(c.state()).To(Equal(rollout.RolledBack))
}

// TestOrders guards against an order that takes on the outcome of an earlier one, and against a share that stays in force
// after its order was removed.
func TestOrders(t *testing.T) {
	allowed := func(c *cluster) (oldAllowed, newAllowed bool) {
		choice := c.nodes["b"].Choose(c.now, pool, 1, false)
		return choice.Allows("v1"), choice.Allows("v2")
	}
	t.Run("rolled back", func(t *testing.T) {
		c := newCluster(t, 1, 0, good)
		c.write([]byte("v2"), []byte(fmt.Sprintf("%d v2", rollout.RolledBack)))
		c.run(time.Second)
		oldAllowed, newAllowed := allowed(c)
		c.g.Expect([]bool{oldAllowed, newAllowed}).To(Equal([]bool{true, false}))
	})
	t.Run("target that no message can name", func(t *testing.T) {
		c := newCluster(t, 1, 40, good)
		c.write([]byte(strings.Repeat("v", 300)), nil)
		c.run(time.Second)
		c.g.Expect(c.writes).To(HaveLen(1), "the order is ignored")
	})
	t.Run("route that no message can name", func(t *testing.T) {
		c := newCluster(t, 1, 0, good)
		c.order()
		c.run(time.Second)
		c.nodes["b"].Observe(c.now, pool, "v1", evidence.Sample{Route: id.Pipeline(strings.Repeat("r", 300)), Load: 1})
		c.run(time.Second)
	})
	t.Run("status of an earlier order", func(t *testing.T) {
		c := newCluster(t, 1, 40, good)
		c.write([]byte("v2"), []byte(fmt.Sprintf("%d v0", rollout.RolledBack)))
		c.run(span)
		c.g.Expect(c.state()).To(Equal(rollout.Completed))
	})
	for _, next := range []id.Version{"v1", "v3"} {
		t.Run(fmt.Sprintf("%s after a version that was rolled back", next), func(t *testing.T) {
			c := newCluster(t, 1, 40, func(float64) (float64, float64) { return 0.9, 1 })
			c.order()
			c.run(span / 2)
			c.g.Expect(c.state()).To(Equal(rollout.RolledBack))
			c.write([]byte(next), c.store.object.Status)
			c.rate = 0
			for range 20 {
				c.run(time.Second)
				for _, name := range c.names {
					for fp := range id.Fingerprint(50) {
						choice := c.nodes[name].Choose(c.now, pool, fp*0x9e3779b97f4a7c15, false)
						c.g.Expect(choice.Allows("v2")).To(BeFalse())
						other, ok := choice.Fallback()
						c.g.Expect(ok && other.Allows("v2")).To(BeFalse())
					}
					c.g.Expect(c.nodes[name].AllowsCall(c.now, pool, "v2")).To(BeFalse())
				}
			}
			c.write([]byte("v2"), nil)
			c.run(span)
			choice := c.nodes["b"].Choose(c.now, pool, 1, false)
			c.g.Expect(choice.Allows("v2")).To(BeTrue(), "it was ordered again")
		})
	}
	t.Run("unreadable", func(t *testing.T) {
		c := newCluster(t, 1, 0, good)
		c.order()
		c.run(time.Second)
		c.write(nil, nil)
		c.run(time.Second)
		oldAllowed, newAllowed := allowed(c)
		c.g.Expect([]bool{oldAllowed, newAllowed}).To(Equal([]bool{true, true}))
	})
	t.Run("removed", func(t *testing.T) {
		c := newCluster(t, 1, 0, good)
		c.order()
		c.run(time.Second)
		c.step("b", watchcache.ObjectDeleted{Kind: rollout.Kind, Name: "m"})
		oldAllowed, newAllowed := allowed(c)
		c.g.Expect([]bool{oldAllowed, newAllowed}).To(Equal([]bool{true, true}))
	})
}

// calls makes calls to stage servers, each to the new version if allowed, and returns how many the new version got.
func (c *cluster) calls(count int) (newCalls int) {
	r := c.nodes[c.leader]
	for range count {
		if r.AllowsCall(c.now, pool, "v2") {
			r.CountCall(pool, "v2")
			newCalls++
			continue
		}
		c.g.ExpectWithOffset(1, r.AllowsCall(c.now, pool, "v1")).To(BeTrue())
		r.CountCall(pool, "v1")
	}
	return newCalls
}

// TestCalls guards against a new version that gets more stage calls than its share, also right after the share has grown,
// and against a pool whose only servers are of the new version and get no calls.
func TestCalls(t *testing.T) {
	const calls, quarter = 1000, 4
	c := newCluster(t, 1, 0, good)
	c.order()
	c.run(500 * time.Millisecond)
	c.g.Expect(c.calls(calls)).To(And(BeNumerically(">", 0), BeNumerically("<=", calls/50)), "initial share")
	c.run(4 * time.Second)
	c.g.Expect(c.calls(20)).To(And(BeNumerically(">", 0), BeNumerically("<=", 20/quarter)), "just after the share has grown")
	c.g.Expect(c.calls(calls)).To(BeNumerically("<=", calls/quarter))
	c.store.noOldServers = true
	c.g.Expect(c.calls(calls)).To(Equal(calls))
}
