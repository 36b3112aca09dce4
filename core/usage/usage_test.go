package usage_test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/proxy"
	"bluebellflow/core/usage"
	"bluebellflow/core/watchcache"
	"bluebellflow/core/wire"
)

const (
	window    = 5 * time.Second
	late      = 10 * time.Second
	tolerance = 0.05
	step      = 10 * time.Millisecond
)

// epoch is the true time at the start of a world, in the middle of a window.
var epoch = time.Date(2026, 1, 1, 0, 0, 2, 0, time.UTC)

// node is a node with its own monotonic time and clock.
type node struct {
	self    event.Self
	leases  *duty.Leases
	usage   *usage.Usage
	skew    time.Duration // of its clock
	cut     bool          // no other node reaches it
	down    bool
	paused  bool // it handles no events
	inbox   []event.Event
	leader  id.Node
	world   *world
	counted []counted
	leadsAt time.Duration // when it may take the lead
	era     uint64        // of the store, as its cache knows it
}

// counted is a request that a node has counted.
type counted struct {
	at        time.Duration
	window    int64
	workspace id.Workspace
}

type report struct {
	at     time.Duration
	counts map[id.Workspace]uint64
	by     id.Node
}

// world runs nodes with a store and a service that accept everything at once.
type world struct {
	rng      *rand.Rand
	now      time.Duration // since epoch
	nodes    []*node
	names    []id.Node
	messages []delayed
	revision uint64
	object   *watchcache.Object
	era      uint64 // of the store, 0 if it names none
	history  []change
	mayMiss  id.Set[int64] // windows that may be missing
	truth    map[int64]map[id.Workspace]uint64
	reports  map[int64]report
	faults   []string
	outage   bool // of the service
	codec    *wire.Codec
	lost     map[int64]map[id.Workspace]uint64 // counted by nodes within a second before they were killed
}

type delayed struct {
	at time.Duration
	do func()
}

func newWorld(seed uint64, count int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 3)), truth: map[int64]map[id.Workspace]uint64{}, reports: map[int64]report{}, codec: proxy.Codec(), lost: map[int64]map[id.Workspace]uint64{}, mayMiss: id.NewSet[int64]()}
	for i := range count {
		n := &node{self: event.Self{Node: id.Node(fmt.Sprintf("n%02d", i))}, world: w}
		w.names = append(w.names, n.self.Node)
		w.nodes = append(w.nodes, n)
		if i < count/3 { // most clocks are right
			n.skew = time.Duration(w.rng.Int64N(int64(12*time.Second))) - 6*time.Second
		}
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	return w
}

// start starts a new process of a node.
func (w *world) start(n *node) {
	n.self.Rand = rand.New(rand.NewPCG(w.rng.Uint64(), 1))
	n.self.Incarnation = id.NewIncarnation(n.self.Rand)
	n.down, n.leader = false, ""
	n.leases = duty.New(n.self, duty.Options{Lease: 3 * time.Second, CallsPerSecond: 50})
	opts := usage.Options{Window: window, Late: late, WallClock: func(time.Time) time.Time { return epoch.Add(w.now + n.skew) }}
	n.usage = usage.New(n.self, opts, n, n.leases, encoder{n.self.Node}, func() time.Time { return time.Time{} })
	n.usage.SetNodes(w.names)
	n.era = 0
	if w.era > 0 {
		w.show(n)
	}
	w.deliver(n, watchcache.KindLoaded{Kind: duty.Kind})
	w.tell(n)
}

// encoder adds the node that closes a window, so that reports of two nodes differ.
type encoder struct{ by id.Node }

func (e encoder) UsageReport(window int64, counts map[id.Workspace]uint64) ([]byte, error) {
	return json.Marshal(map[string]any{"window": window, "counts": counts, "by": e.by})
}

// Leader and Successor rank the nodes that this one reaches by name.
func (n *node) Leader() id.Node { return n.leader }

func (n *node) Successor(time.Time) id.Node {
	for _, o := range n.world.nodes {
		if n.reaches(o) && n.world.now >= o.leadsAt && o.self.Node != n.leader {
			return o.self.Node
		}
	}
	return ""
}

func (n *node) reaches(o *node) bool { return n == o || !o.down && !o.paused && !o.cut && !n.cut }

// clock returns the node's monotonic time, which has no relation to that of other nodes.
func (w *world) clock(n *node) time.Time {
	return time.Unix(int64(len(n.self.Node))*1000+int64(n.self.Node[2]), 0).Add(w.now)
}

func (w *world) deliver(n *node, ev event.Event) {
	if n.paused {
		n.inbox = append(n.inbox, ev)
	}
	if n.down || n.paused {
		return
	}
	now := w.clock(n)
	out := event.Propagate(ev, event.IsInternal, func(ev event.Event) []event.Action {
		return append(n.leases.Step(now, ev), n.usage.Step(now, ev)...)
	})
	w.execute(n, out)
}

func (w *world) execute(n *node, out []event.Action) {
	incarnation := n.self.Incarnation
	for _, a := range out {
		switch a := a.(type) {
		case event.Send:
			w.send(n, a)
		case event.PlatformCall:
			result := w.commit(n, a)
			w.after(5*time.Millisecond, func() {
				if n.self.Incarnation == incarnation {
					w.deliver(n, result)
				}
			})
		case duty.Call:
			w.after(5*time.Millisecond, func() { w.accept(n, a) })
		}
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.messages = append(w.messages, delayed{w.now + d, do})
}

// send delivers a message, now and then twice or after later ones.
func (w *world) send(n *node, s event.Send) {
	raw, err := w.codec.Encode(wire.Envelope{From: n.self.Node, Incarnation: n.self.Incarnation}, s.Body)
	if err != nil {
		w.faults = append(w.faults, err.Error())
		return
	}
	i := slices.IndexFunc(w.nodes, func(o *node) bool { return o.self.Node == s.To })
	if i < 0 {
		return // a fuzzed message names a sender that is not here
	}
	for range 1 + w.rng.IntN(10)/9 {
		delay := time.Duration(1+w.rng.IntN(8)) * time.Millisecond
		if w.rng.IntN(20) == 0 {
			delay = time.Duration(w.rng.IntN(1500)) * time.Millisecond
		}
		w.after(delay, func() {
			ev, err := w.codec.Decode(raw)
			if err != nil {
				w.faults = append(w.faults, err.Error())
			} else if n.reaches(w.nodes[i]) || w.nodes[i].paused {
				w.deliver(w.nodes[i], ev)
			}
		})
	}
}

func (w *world) commit(n *node, c event.PlatformCall) event.PlatformResult {
	if n.era != w.era {
		return event.PlatformResult{Call: c, Code: event.CodeUnknown}
	}
	result := event.PlatformResult{Call: c, Code: event.CodeConflict}
	if w.object != nil {
		result.Objects = []event.Object{{Version: w.object.Revision, Value: w.object.Spec}}
	}
	if (w.object == nil) != (c.Version == 0) || w.object != nil && w.object.Revision != c.Version {
		return result
	}
	w.revision++
	w.object = &watchcache.Object{Name: string(duty.Usage), Revision: w.revision, Spec: c.Value}
	w.history = append(w.history, change{w.now, w.object})
	for _, n := range w.nodes {
		w.after(300*time.Millisecond, func() { w.show(n) })
	}
	return event.PlatformResult{Call: c, Code: event.CodeOK, Objects: []event.Object{{Version: w.revision}}}
}

// accept records a report at the service.
func (w *world) accept(n *node, c duty.Call) {
	result := duty.CallResult{Subject: c.Subject, Number: c.Number, Outcome: duty.Accepted}
	if w.outage {
		result.Outcome = duty.Failed
		w.deliver(n, result)
		return
	}
	var body struct {
		Window int64
		Counts map[id.Workspace]uint64
		By     id.Node
	}
	_ = json.Unmarshal(c.Body, &body) // an empty report is found by expectReports
	if old, ok := w.reports[body.Window]; ok && fmt.Sprint(old.counts, old.by) != fmt.Sprint(body.Counts, body.By) {
		w.faults = append(w.faults, fmt.Sprintf("window %d with %v of %s and %v of %s", body.Window, old.counts, old.by, body.Counts, body.By))
	} else if !ok {
		w.reports[body.Window] = report{w.now, body.Counts, body.By}
	}
	w.deliver(n, result)
}

// tell lets a node learn who leads.
func (w *world) tell(n *node) {
	leader := id.Node("")
	for _, o := range w.nodes {
		if n.reaches(o) && w.now >= o.leadsAt {
			leader = o.self.Node
			break
		}
	}
	if !n.down && !n.paused && leader != n.leader {
		n.leader = leader
		w.execute(n, n.leases.SetLeading(w.clock(n), leader == n.self.Node))
		n.usage.LeaderChanged(w.clock(n))
	}
}

// run lets servers begin to run requests of a large and of a small workspace for some time.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += step {
		due := w.messages
		w.messages = nil
		for _, m := range due {
			if m.at > w.now {
				w.messages = append(w.messages, m)
				continue
			}
			m.do()
		}
		w.begin("large")
		if w.rng.IntN(20) == 0 {
			w.begin("small")
		}
		for _, n := range w.nodes {
			w.deliver(n, event.Tick{})
			if w.now%(700*time.Millisecond) == 0 {
				w.tell(n)
			}
		}
	}
}

// begin lets a server begin to run a request of a random node.
func (w *world) begin(workspace id.Workspace) {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if n.down || n.paused {
		return
	}
	k := (epoch.UnixNano() + int64(w.now)) / int64(window)
	add(w.truth, k, workspace)
	n.counted = append(n.counted, counted{w.now, k, workspace})
	n.usage.Count(workspace, w.clock(n))
}

func add(counts map[int64]map[id.Workspace]uint64, k int64, workspace id.Workspace) {
	if counts[k] == nil {
		counts[k] = map[id.Workspace]uint64{}
	}
	counts[k][workspace]++
}

// kill ends the process of a node. What it has counted since its last message, for about a second, is lost.
func (w *world) kill(n *node) {
	n.down = true
	w.lose(n, 1100*time.Millisecond)
}

// lose allows reports to lack what a node has counted in the last time.
func (w *world) lose(n *node, last time.Duration) {
	for _, c := range n.counted {
		if w.now-c.at < last {
			add(w.lost, c.window, c.workspace)
		}
	}
}

// expectReports asserts that every window that is due was reported in time and correctly.
func (w *world) expectReports(g *WithT) {
	g.Expect(w.faults).To(BeEmpty())
	for k, counts := range w.truth {
		end := time.Duration((k+1)*int64(window) - epoch.UnixNano())
		if end+late > w.now {
			continue
		}
		r, ok := w.reports[k]
		switch {
		case !ok && w.mayMiss.Has(k):
		case !ok || r.at > end+late:
			w.faults = append(w.faults, fmt.Sprintf("window %d: reported=%t at %s, end %s", k, ok, r.at, end))
		default:
			for name, n := range counts {
				if math.Abs(float64(r.counts[name])-float64(n)) > math.Max(1, tolerance*float64(n))+float64(w.lost[k][name]) {
					w.faults = append(w.faults, fmt.Sprintf("window %d (end %s): %s has %d instead of %d", k, end, name, r.counts[name], n))
				}
			}
		}
	}
	g.ExpectWithOffset(1, w.faults).To(BeEmpty())
	g.ExpectWithOffset(1, len(w.reports)).To(BeNumerically(">", 5))
}

// TestReports guards against reports that are missing, late, wrong or contradictory although nodes die, are cut off, start
// in the middle of a window or have wrong clocks, or the service is down for a while.
func TestReports(t *testing.T) {
	const count = 9
	first := func(w *world) *node { return w.nodes[0] }
	cases := map[string]func(w *world){
		"calm":                          func(*world) {},
		"the clock of the leader jumps": func(w *world) { first(w).skew += 40 * time.Second },
		"the leader is killed":          func(w *world) { w.kill(first(w)) },
		"the leader is killed and starts again": func(w *world) {
			w.kill(first(w))
			w.run(4 * time.Second)
			w.start(first(w))
			first(w).leadsAt = w.now + 20*time.Second
		},
		"a node is killed and starts again": func(w *world) {
			w.kill(w.nodes[5])
			w.run(1300 * time.Millisecond)
			w.start(w.nodes[5])
		},
		"the leader is cut off from the nodes": func(w *world) {
			first(w).cut = true
			w.run(4 * time.Second)
			first(w).cut = false
		},
		"the leader is cut off for long": func(w *world) {
			first(w).cut = true
			w.run(12 * time.Second)
			first(w).cut = false
			w.lose(first(w), 13100*time.Millisecond)
		},
		"the leader is frozen": func(w *world) {
			first(w).paused = true
			w.run(4 * time.Second)
			first(w).paused = false
			for _, ev := range first(w).inbox {
				w.deliver(first(w), ev)
			}
			w.lose(first(w), 5100*time.Millisecond)
		},
		"the leader stops": func(w *world) {
			w.deliver(first(w), event.Stop{})
			w.run(500 * time.Millisecond)
			w.kill(first(w))
		},
		"a workspace has a long name": func(w *world) {
			for _, n := range w.nodes {
				n.usage.Count(id.Workspace(strings.Repeat("x", 300)), w.clock(n))
			}
		},
		"the service is down": func(w *world) {
			w.outage = true
			w.run(4 * time.Second)
			w.outage = false
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6) {
				w := newWorld(seed, count)
				w.run(18*time.Second + time.Duration(seed)*900*time.Millisecond)
				disturb(w)
				w.run(40 * time.Second)
				w.expectReports(NewWithT(t))
			}
		})
	}
}
