package rollout_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
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

// decoder reads an order of the form "TARGET" and a status of the form "STATE TARGET".
type decoder struct{}

func (decoder) Rollout(spec, status []byte) (rollout.Order, rollout.Status, error) {
	if len(spec) == 0 {
		return rollout.Order{}, rollout.Status{}, errors.New("no target")
	}
	var s rollout.Status
	_, _ = fmt.Sscan(string(status), &s.State, &s.Target) // no status leaves it empty
	return rollout.Order{Pool: pool, Target: id.Version(spec), Span: span}, s, nil
}

func (decoder) RolloutStatus(s rollout.Status) ([]byte, error) {
	return []byte(fmt.Sprintf("%d %s", s.State, s.Target)), nil
}

// fakeStore is the fleet's store and the servers of both versions.
type fakeStore struct {
	object       watchcache.Object
	unavailable  bool
	noOldServers bool // servers of the old version have gone
}

func (s *fakeStore) Pool(id.Pool) []*fleet.Server {
	old, fresh := &fleet.Server{ID: "old"}, &fleet.Server{ID: "new"}
	old.Version, fresh.Version = "v1", "v2"
	if s.noOldServers {
		return []*fleet.Server{fresh}
	}
	return []*fleet.Server{old, fresh}
}

// faultModel says how much likelier a result of the new version fails and how many times longer it takes, by the part of the
// span that has passed.
type faultModel func(part float64) (fail, slower float64)

var good faultModel = func(float64) (float64, float64) { return 0, 1 }

// cluster is some nodes under traffic. The first node leads unless another one is named.
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
	rate   float64
	fault  faultModel

	requests, newRequests, badResults int
	badAt                             time.Time // of the fiftieth bad answer
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
	w := &cluster{
		g: NewWithT(t), rng: rand.New(rand.NewPCG(seed, 3)), now: epoch, leader: "a",
		nodes: map[id.Node]*rollout.Rollouts{}, cut: map[id.Node]bool{}, rate: rate, fault: bad,
	}
	for i := range nodes {
		w.names = append(w.names, id.Node(rune('a'+i)))
	}
	for _, name := range w.names {
		self := event.Self{Node: name, Incarnation: incarnation(name), Rand: w.rng}
		w.nodes[name] = rollout.New(self, decoder{}, &w.store)
		w.nodes[name].SetNodes(w.names)
		w.nodes[name].SetLeader(w.now, w.leader)
	}
	return w
}

func incarnation(name id.Node) id.Incarnation {
	return id.Incarnation(fmt.Sprintf("%032x", string(name)))
}

// order asks for the new version.
func (w *cluster) order() { w.write([]byte("v2"), nil) }

func (w *cluster) write(spec, status []byte) {
	w.store.object = watchcache.Object{Name: "m", Revision: w.store.object.Revision + 1, Spec: spec, Status: status}
	for _, name := range w.names {
		if !w.cut[name] {
			w.queue = append(w.queue, delivery{name, watchcache.ObjectChanged{Kind: rollout.Kind, Object: w.store.object}})
		}
	}
}

func (w *cluster) step(name id.Node, ev event.Event) {
	for _, a := range w.nodes[name].Step(w.now, ev) {
		switch a := a.(type) {
		case event.Send:
			if !w.cut[name] && !w.cut[a.To] {
				w.queue = append(w.queue, delivery{a.To, event.Receive{From: name, Incarnation: incarnation(name), Body: a.Body}})
			}
		case event.PlatformCall:
			w.queue = append(w.queue, delivery{name, w.call(a)})
		}
	}
}

// call answers a write of the status.
func (w *cluster) call(c event.PlatformCall) event.PlatformResult {
	switch {
	case w.store.unavailable:
		return event.PlatformResult{Call: c, Code: event.CodeUnavailable}
	case c.Version != w.store.object.Revision:
		return event.PlatformResult{Call: c, Code: event.CodeConflict}
	}
	w.write(w.store.object.Spec, c.Value)
	return event.PlatformResult{Call: c, Code: event.CodeOK}
}

const tick = 50 * time.Millisecond

// run lets time pass under traffic.
func (w *cluster) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		for n := w.poisson(w.rate * tick.Seconds()); n > 0; n-- {
			w.request()
		}
		for _, name := range w.names {
			w.step(name, event.Tick{})
		}
		for len(w.queue) > 0 {
			d := w.queue[0]
			w.queue = w.queue[1:]
			w.step(d.to, d.ev)
		}
	}
}

func (w *cluster) poisson(mean float64) int {
	n, p := 0, w.rng.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= w.rng.Float64()
	}
	return n
}

// request sends a request through a node and its result back.
func (w *cluster) request() {
	name := w.names[w.rng.IntN(len(w.names))]
	r := w.nodes[name]
	v := id.Version("v1")
	if r.Choose(w.now, pool, id.Fingerprint(w.rng.Uint64()), false).Allows("v2") {
		v = "v2"
	}
	w.requests++
	fail, slower := 0.005, 1.0
	if v == "v2" {
		w.newRequests++
		w.lastNewRequest = w.now
		more, by := w.fault(w.now.Sub(epoch).Seconds() / span.Seconds())
		fail, slower = fail+more, by
	}
	s := evidence.Sample{Route: "r", Load: 1, Failed: w.rng.Float64() < fail}
	s.Took = time.Duration(0.1 * slower * math.Exp(0.3*w.rng.NormFloat64()) * float64(time.Second))
	if v == "v2" && (s.Failed || slower > 1) {
		if w.badResults++; w.badResults == 50 {
			w.badAt = w.now
		}
	}
	r.Observe(w.now, pool, v, s)
}

func (w *cluster) state() rollout.State {
	var s rollout.Status
	_, _ = fmt.Sscan(string(w.store.object.Status), &s.State, &s.Target)
	return s.State
}

// TestGood guards against a good version that is taken back, or that is not completed in time, whatever the traffic.
func TestGood(t *testing.T) {
	for _, rate := range []float64{0, 2, 14, 40, 400} {
		t.Run(fmt.Sprintf("%v a second", rate), func(t *testing.T) {
			done := 0
			const tries = 20
			for seed := range uint64(tries) {
				w := newCluster(t, seed, rate, good)
				w.order()
				w.run(span)
				if w.state() == rollout.Completed {
					done++
				}
			}
			NewWithT(t).Expect(done).To(BeNumerically(">=", tries-1), "completed of %d", tries)
		})
	}
}

// TestManyNodes guards against evidence that does not come together because each node has only a few results.
func TestManyNodes(t *testing.T) {
	w := newClusterOf(t, 40, 1, 25, good)
	w.order()
	w.run(span)
	w.g.Expect(w.state()).To(Equal(rollout.Completed))
}

// TestBad guards against a bad version that gets more than a tenth of the traffic and fifty requests, or that still gets
// requests five seconds after its fiftieth bad answer.
func TestBad(t *testing.T) {
	for name, bad := range map[string]faultModel{
		"fails":       func(float64) (float64, float64) { return 0.5, 1 },
		"slow":        func(float64) (float64, float64) { return 0, 3 },
		"fails late":  func(part float64) (float64, float64) { return map[bool]float64{true: 0.5}[part > 0.5], 1 },
		"fails at 60": func(part float64) (float64, float64) { return map[bool]float64{true: 0.5}[part > 0.6], 1 },
	} {
		for _, rate := range []float64{14, 40, 400} {
			t.Run(fmt.Sprintf("%s, %v a second", name, rate), func(t *testing.T) {
				for seed := range uint64(10) {
					w := newCluster(t, seed, rate, bad)
					w.order()
					w.run(span)
					w.g.Expect(w.state()).To(Equal(rollout.RolledBack), "seed %d", seed)
					w.g.Expect(float64(w.newRequests)).To(BeNumerically("<=", 0.1*float64(w.requests)+50), "seed %d", seed)
					if !w.badAt.IsZero() {
						w.g.Expect(w.lastNewRequest.Sub(w.badAt)).To(BeNumerically("<=", 5*time.Second), "seed %d", seed)
					}
				}
			})
		}
	}
}

// TestLeaderLost guards against a rollout that begins anew, or is forgotten, when the leader is lost in its middle.
func TestLeaderLost(t *testing.T) {
	w := newCluster(t, 1, 40, good)
	w.order()
	w.run(span / 2)
	w.cut["a"] = true
	w.leader = "b"
	for _, name := range w.names[1:] {
		w.nodes[name].SetLeader(w.now, "b")
		w.nodes[name].SetNodes(w.names[1:])
	}
	w.run(span / 2)
	w.g.Expect(w.state()).To(Equal(rollout.Completed))
}

// TestCutOff guards against a node that goes on with a version while it cannot learn that the version is bad.
func TestCutOff(t *testing.T) {
	w := newCluster(t, 1, 40, good)
	w.order()
	w.run(span / 2)
	w.cut["d"] = true
	w.run(3 * time.Second)
	for range 1000 {
		w.g.Expect(w.nodes["d"].Choose(w.now, pool, id.Fingerprint(w.rng.Uint64()), false).Allows("v2")).To(BeFalse())
	}
}

// TestStoreUnavailable guards against traffic for a bad version while the store cannot take its status, and against a status
// that is not written afterwards.
func TestStoreUnavailable(t *testing.T) {
	w := newCluster(t, 1, 40, func(float64) (float64, float64) { return 0.6, 1 })
	w.order()
	w.run(time.Second)
	w.store.unavailable = true
	w.run(span / 2)
	w.g.Expect(w.now.Sub(w.lastNewRequest)).To(BeNumerically(">", 5*time.Second))
	w.g.Expect(w.state()).To(Equal(rollout.Running))
	w.store.unavailable = false
	w.run(2 * time.Second)
	w.g.Expect(w.state()).To(Equal(rollout.RolledBack))
}

// TestOrders guards against an order that is judged by an earlier one's outcome, and against a limit that stays after its
// order was removed.
func TestOrders(t *testing.T) {
	allowed := func(w *cluster) (old, fresh bool) {
		c := w.nodes["b"].Choose(w.now, pool, 1, false)
		return c.Allows("v1"), c.Allows("v2")
	}
	t.Run("rolled back", func(t *testing.T) {
		w := newCluster(t, 1, 0, good)
		w.write([]byte("v2"), []byte(fmt.Sprintf("%d v2", rollout.RolledBack)))
		w.run(time.Second)
		old, fresh := allowed(w)
		w.g.Expect([]bool{old, fresh}).To(Equal([]bool{true, false}))
	})
	t.Run("status of an earlier order", func(t *testing.T) {
		w := newCluster(t, 1, 40, good)
		w.write([]byte("v2"), []byte(fmt.Sprintf("%d v0", rollout.RolledBack)))
		w.run(span)
		w.g.Expect(w.state()).To(Equal(rollout.Completed))
	})
	t.Run("unreadable", func(t *testing.T) {
		w := newCluster(t, 1, 0, good)
		w.order()
		w.run(time.Second)
		w.write(nil, nil)
		w.run(time.Second)
		old, fresh := allowed(w)
		w.g.Expect([]bool{old, fresh}).To(Equal([]bool{true, true}))
	})
	t.Run("removed", func(t *testing.T) {
		w := newCluster(t, 1, 0, good)
		w.order()
		w.run(time.Second)
		w.step("b", watchcache.ObjectDeleted{Kind: rollout.Kind, Name: "m"})
		old, fresh := allowed(w)
		w.g.Expect([]bool{old, fresh}).To(Equal([]bool{true, true}))
	})
}

// calls makes calls to stage servers, to the new version wherever it may get one, and returns how many of them it got.
func (w *cluster) calls(count int) (fresh int) {
	r := w.nodes[w.leader]
	for range count {
		if r.AllowsCall(w.now, pool, "v2") {
			r.CountCall(pool, "v2")
			fresh++
			continue
		}
		w.g.ExpectWithOffset(1, r.AllowsCall(w.now, pool, "v1")).To(BeTrue())
		r.CountCall(pool, "v1")
	}
	return fresh
}

// TestCalls guards against stage calls that go to a version of which too little is known, also while it has had less than a
// share that has just grown, and against a pool whose only servers are of the new version and get nothing.
func TestCalls(t *testing.T) {
	const calls, quarter = 1000, 4
	w := newCluster(t, 1, 0, good)
	w.order()
	w.run(500 * time.Millisecond)
	w.g.Expect(w.calls(calls)).To(And(BeNumerically(">", 0), BeNumerically("<=", calls/50)), "the first share")
	w.run(4 * time.Second)
	w.g.Expect(w.calls(20)).To(And(BeNumerically(">", 0), BeNumerically("<=", 20/quarter)), "just after the share has grown")
	w.g.Expect(w.calls(calls)).To(BeNumerically("<=", calls/quarter))
	w.store.noOldServers = true
	w.g.Expect(w.calls(calls)).To(Equal(calls))
}
