package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
)

// Epoch is the start of virtual time.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Stepper is the code under test: a node or a single decision package.
type Stepper interface {
	Step(now time.Time, ev event.Event) []event.Action
	Next() time.Time
}

// Build returns a stepper for a new process of a node.
type Build func(self event.Self) Stepper

// Network configures delay, loss and repetition of messages between nodes.
type Network struct {
	MinDelay, MaxDelay time.Duration
	Loss, Repeat       float64 // probability for each message
}

// World simulates nodes, the network and the platform in virtual time.
type World struct {
	Now      time.Time
	Rand     *rand.Rand
	Network  Network
	Platform *Platform
	Trace    []string // filled when Tracing is set
	Tracing  bool

	// BeforeAction is called before each action of a node and may inject a fault. The function that it returns, if not nil,
	// is called just after the action. A node that it kills performs no more actions; one that it freezes performs the
	// rest when it resumes.
	BeforeAction func(w *World, from id.Node, a event.Action) (after func())
	// OnExternal handles the actions that leave the system: dispatches, replies, command results, logs. It may call Inject
	// to answer.
	OnExternal func(w *World, from id.Node, a event.Action)
	// OnInternal is called for every internal action, for tests of single packages.
	OnInternal func(w *World, from id.Node, a event.Action)

	nodes            map[id.Node]*nodeState
	order            []id.Node
	cuts             map[[2]id.Node]bool
	partitions       id.Set[id.FailureDomain] // failure domains cut off from all others
	partitionEndedAt time.Time                // when the last partition of failure domains ended
	queue            deliveries
	seq              uint64
}

// nodeState is the state of a node and its current process.
type nodeState struct {
	self              event.Self
	build             Build
	stepper           Stepper
	up                bool
	exited            bool            // the last process ended by Exit
	exitedGenerations map[uint64]bool // generations that ended by Exit
	frozenUntil       time.Time       // no event is handled before this time
	generation        uint64          // number of processes so far; an event for an earlier one is dropped
	startedAt         time.Time
	nextTick          time.Time // time of the queued tick, zero for none
	watched           []string  // name prefixes of the objects that the process watches
	pauses            []pause   // all freezes, in order
}

// New returns a world without nodes. The seed determines all random choices.
func New(seed uint64) *World {
	w := &World{
		Now:        Epoch,
		Rand:       rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		Network:    Network{MinDelay: 200 * time.Microsecond, MaxDelay: time.Millisecond},
		nodes:      map[id.Node]*nodeState{},
		cuts:       map[[2]id.Node]bool{},
		partitions: id.NewSet[id.FailureDomain](),
	}
	w.Platform = newPlatform(w)
	return w
}

// Add adds a node and starts it.
func (w *World) Add(self event.Self, build Build) {
	w.nodes[self.Node] = &nodeState{self: self, build: build, exitedGenerations: map[uint64]bool{}}
	w.order = append(w.order, self.Node)
	w.Start(self.Node)
}

// Start starts a new process of a node, with a new incarnation and empty memory.
func (w *World) Start(name id.Node) {
	n := w.nodes[name]
	n.self.Incarnation = id.NewIncarnation(w.Rand)
	n.self.Rand = rand.New(rand.NewPCG(w.Rand.Uint64(), w.Rand.Uint64()))
	n.stepper = n.build(n.self)
	n.up, n.exited = true, false
	n.generation++
	n.startedAt = w.Now
	n.frozenUntil = time.Time{}
	n.nextTick = time.Time{}
	n.watched = nil
	w.tracef("start %s", name)
	w.Inject(name, event.Tick{}, 0)
}

// Kill ends a node's process. Its memory and its pending actions are lost.
func (w *World) Kill(name id.Node) {
	w.nodes[name].up = false
	w.tracef("kill %s", name)
}

// Up reports whether the node's process is running.
func (w *World) Up(name id.Node) bool { return w.nodes[name].up }

// Exited reports whether the node's last process ended by Exit.
func (w *World) Exited(name id.Node) bool { return w.nodes[name].exited }

// Generation returns the number of processes that a node has had so far; it identifies the current one.
func (w *World) Generation(name id.Node) uint64 { return w.nodes[name].generation }

// Self returns the identity of the node's current process.
func (w *World) Self(name id.Node) event.Self { return w.nodes[name].self }

// Stepper returns the stepper of the node's current process, so that tests can query it.
func (w *World) Stepper(name id.Node) Stepper { return w.nodes[name].stepper }

// Nodes returns all nodes in the order in which they were added.
func (w *World) Nodes() []id.Node { return w.order }

// Freeze pauses a node's process; events that arrive meanwhile are handled when it resumes. A second freeze does not
// shorten a longer one: the events postponed until the end of the first freeze would be handled after events that
// arrive later.
func (w *World) Freeze(name id.Node, d time.Duration) {
	if until := w.Now.Add(d); until.After(w.nodes[name].frozenUntil) {
		w.nodes[name].frozenUntil = until
		w.nodes[name].pauses = append(w.nodes[name].pauses, pause{w.Now, until})
	}
	w.tracef("freeze %s for %s", name, d)
}

// pause is the time during which a process is frozen.
type pause struct{ from, to time.Time }

// NextAwake returns the first time not before t at which the node's process is not frozen.
func (w *World) NextAwake(name id.Node, t time.Time) time.Time {
	for _, p := range w.nodes[name].pauses {
		if !t.Before(p.from) && t.Before(p.to) {
			t = p.to
		}
	}
	return t
}

// FrozenWithin reports whether a node's process was frozen at some time during the last span.
func (w *World) FrozenWithin(name id.Node, span time.Duration) bool {
	since := w.Now.Add(-span)
	return slices.ContainsFunc(w.nodes[name].pauses, func(p pause) bool { return !p.to.Before(since) })
}

// Connected reports whether two nodes have been running since a time and could exchange information, directly or through
// other nodes. It is conservative: it may return false for connected nodes.
func (w *World) Connected(a, b id.Node, since time.Time) bool {
	if w.partitionEndedAt.After(since) || len(w.partitions) > 0 {
		return false
	}
	for _, n := range []*nodeState{w.nodes[a], w.nodes[b]} {
		if n.startedAt.After(since) || slices.ContainsFunc(n.pauses, func(p pause) bool { return p.to.After(since) }) {
			return false
		}
	}
	return true
}

// Cut drops all messages from one node to another, in this direction only.
func (w *World) Cut(from, to id.Node) { w.cuts[[2]id.Node{from, to}] = true }

// IsCut reports whether messages from one node to another are dropped.
func (w *World) IsCut(from, to id.Node) bool { return w.cuts[[2]id.Node{from, to}] }

// PartitionDomain cuts off a failure domain from all others, in both directions.
func (w *World) PartitionDomain(d id.FailureDomain) {
	for _, a := range w.order {
		for _, b := range w.order {
			if (w.nodes[a].self.FailureDomain == d) != (w.nodes[b].self.FailureDomain == d) {
				w.Cut(a, b)
			}
		}
	}
	w.partitions.Add(d)
	w.tracef("cut %s", d)
}

// Partitioned reports whether a partition separates a node from a failure domain.
func (w *World) Partitioned(name id.Node, d id.FailureDomain) bool {
	own := w.nodes[name].self.FailureDomain
	return own != d && (w.partitions.Has(own) || w.partitions.Has(d))
}

// Heal ends all cuts between nodes.
func (w *World) Heal() {
	clear(w.cuts)
	if len(w.partitions) > 0 {
		w.partitionEndedAt = w.Now
	}
	clear(w.partitions)
	w.tracef("heal")
}

// Inject delivers an event to the current process of a node after a delay, unless the process has ended by then.
func (w *World) Inject(to id.Node, ev event.Event, after time.Duration) {
	w.push(delivery{at: w.Now.Add(after), to: to, generation: w.nodes[to].generation, ev: ev})
}

// AfterFunc calls a function after a delay in virtual time.
func (w *World) AfterFunc(after time.Duration, do func()) {
	w.push(delivery{at: w.Now.Add(after), fn: do})
}

// Run handles events until a span of virtual time has passed.
func (w *World) Run(span time.Duration) {
	end := w.Now.Add(span)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		d := heap.Pop(&w.queue).(*delivery)
		if d.at.After(w.Now) {
			w.Now = d.at
		}
		w.deliver(d)
	}
	w.Now = end
}

func (w *World) deliver(d *delivery) {
	if d.fn != nil {
		d.fn()
		return
	}
	n := w.nodes[d.to]
	if !n.up || n.generation != d.generation {
		return
	}
	if n.frozenUntil.After(w.Now) {
		d.at = n.frozenUntil
		w.push(*d)
		return
	}
	if _, ok := d.ev.(event.Tick); ok {
		n.nextTick = time.Time{}
	}
	w.performAll(d.to, n.stepper.Step(w.Now, d.ev))
	w.schedule(d.to, n)
}

// schedule queues a tick for the stepper's next timer, unless an earlier one is queued.
func (w *World) schedule(name id.Node, n *nodeState) {
	next := n.stepper.Next()
	if next.IsZero() || !n.up {
		return
	}
	if next.Before(w.Now) {
		next = w.Now
	}
	if !n.nextTick.IsZero() && !next.Before(n.nextTick) {
		return
	}
	n.nextTick = next
	w.push(delivery{at: next, to: name, generation: n.generation, ev: event.Tick{}})
}

// performAll performs actions in order until the process ends or is frozen.
func (w *World) performAll(from id.Node, actions []event.Action) {
	n := w.nodes[from]
	generation := n.generation
	for i, a := range actions {
		if !n.up || n.generation != generation {
			return
		}
		if w.BeforeAction == nil {
			w.perform(from, a)
			continue
		}
		after := w.BeforeAction(w, from, a)
		if !n.up || n.generation != generation {
			return
		}
		if n.frozenUntil.After(w.Now) {
			w.postpone(from, n, actions[i:], after)
			return
		}
		w.perform(from, a)
		if after != nil {
			after()
		}
		if n.frozenUntil.After(w.Now) {
			w.postpone(from, n, actions[i+1:], nil)
			return
		}
	}
}

// postpone performs the remaining actions when the process resumes, and calls after once the first is done.
// BeforeAction is not called for the first action.
func (w *World) postpone(from id.Node, n *nodeState, rest []event.Action, after func()) {
	generation := n.generation
	if len(rest) == 0 {
		return
	}
	w.AfterFunc(n.frozenUntil.Sub(w.Now), func() {
		if !n.up || n.generation != generation {
			return
		}
		w.perform(from, rest[0])
		if after != nil {
			after()
		}
		w.performAll(from, rest[1:])
	})
}

// perform carries out one action.
func (w *World) perform(from id.Node, a event.Action) {
	if w.Tracing {
		w.tracef("%s -> %T %+v", from, a, a)
	}
	if ev, ok := event.IsInternal(a); ok {
		if w.OnInternal != nil {
			w.OnInternal(w, from, a)
		}
		w.performAll(from, w.nodes[from].stepper.Step(w.Now, ev))
		return
	}
	switch a := a.(type) {
	case event.Send:
		w.send(from, a)
	case event.PlatformCall:
		w.Platform.call(from, a)
	case event.Exit:
		n := w.nodes[from]
		n.up, n.exited, n.exitedGenerations[n.generation] = false, true, true
	default:
		if w.OnExternal != nil {
			w.OnExternal(w, from, a)
		}
	}
}

// VersionReporter is implemented by a stepper whose messages carry its configuration revision and domain version.
type VersionReporter interface {
	Versions() (id.Revision, uint64)
}

func (w *World) send(from id.Node, a event.Send) {
	to, known := w.nodes[a.To]
	if !known || !to.up || w.cuts[[2]id.Node{from, a.To}] || w.Rand.Float64() < w.Network.Loss {
		return
	}
	n := w.nodes[from]
	ev := event.Receive{From: from, Incarnation: n.self.Incarnation, Body: a.Body}
	if v, ok := n.stepper.(VersionReporter); ok {
		ev.Revision, ev.Domains = v.Versions()
	}
	w.Inject(a.To, ev, w.delay())
	if w.Rand.Float64() < w.Network.Repeat {
		w.Inject(a.To, ev, w.delay()+w.delay())
	}
}

func (w *World) delay() time.Duration {
	spread := w.Network.MaxDelay - w.Network.MinDelay
	if spread <= 0 {
		return w.Network.MinDelay
	}
	return w.Network.MinDelay + time.Duration(w.Rand.Int64N(int64(spread)))
}

func (w *World) tracef(format string, args ...any) {
	if !w.Tracing {
		return
	}
	w.Trace = append(w.Trace, fmt.Sprintf("%9.3fs ", w.Now.Sub(Epoch).Seconds())+fmt.Sprintf(format, args...))
}

// delivery is a queued event for one process of a node, or a function call.
type delivery struct {
	at         time.Time
	seq        uint64
	to         id.Node
	generation uint64
	ev         event.Event
	fn         func()
}

func (w *World) push(d delivery) {
	w.seq++
	d.seq = w.seq
	heap.Push(&w.queue, &d)
}

// deliveries is a heap ordered by time, then by insertion, so that runs are reproducible.
type deliveries []*delivery

func (q deliveries) Len() int { return len(q) }
func (q deliveries) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q deliveries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveries) Push(x any)   { *q = append(*q, x.(*delivery)) }
func (q *deliveries) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}

// Reaches reports whether messages from one node to another are not cut.
func (w *World) Reaches(from, to id.Node) bool { return !w.cuts[[2]id.Node{from, to}] }
