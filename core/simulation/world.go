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

// Epoch is where virtual time starts.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Stepper is a node, or a single decision package, under proof.
type Stepper interface {
	Step(now time.Time, ev event.Event) []event.Action
	Next() time.Time
}

// Build makes a node's stepper for a new incarnation.
type Build func(self event.Self) Stepper

// Network says what happens to messages between nodes.
type Network struct {
	MinDelay, MaxDelay time.Duration
	Loss, Repeat       float64 // probability for each message
}

// World holds nodes, the network and the platform, and moves virtual time forward.
type World struct {
	Now      time.Time
	Rand     *rand.Rand
	Network  Network
	Platform *Platform
	Trace    []string // filled when Tracing is set
	Tracing  bool

	// BeforeAction sees each action of a node just before it is carried out, and may inject a fault there. What it returns, if not
	// nil, is called just after the action. A node that it kills carries out nothing more; one that it freezes carries
	// out the rest when it wakes.
	BeforeAction func(w *World, from id.Node, a event.Action) (after func())
	// OnExternal handles actions that leave a node for the outside: dispatches, replies, answers, logs.
	// It may call Inject to answer.
	OnExternal func(w *World, from id.Node, a event.Action)
	// OnInternal sees every internal action, for oracles and for proofs of single packages.
	OnInternal func(w *World, from id.Node, a event.Action)

	nodes            map[id.Node]*nodeState
	order            []id.Node
	cuts             map[[2]id.Node]bool
	partitions       id.Set[id.FailureDomain] // domains separated from all others
	partitionEndedAt time.Time                // when the last separation of domains ended
	queue            deliveries
	seq              uint64
}

type nodeState struct {
	self              event.Self
	build             Build
	stepper           Stepper
	up                bool
	exited            bool            // ended by its own Exit
	exitedGenerations map[uint64]bool // lives that ended so
	frozenUntil       time.Time       // no event is handled before this time
	generation        uint64          // incarnation count, to drop answers meant for an earlier process
	startedAt         time.Time
	nextTick          time.Time // time of the tick that is queued, zero for none
	watched           []string
	pauses            []pause // all freezes, in order
}

// New returns an empty world whose every draw comes from the seed.
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

// Add starts a node.
func (w *World) Add(self event.Self, build Build) {
	w.nodes[self.Node] = &nodeState{self: self, build: build, exitedGenerations: map[uint64]bool{}}
	w.order = append(w.order, self.Node)
	w.Start(self.Node)
}

// Start starts a stopped node as a new incarnation with empty memory.
func (w *World) Start(name id.Node) {
	h := w.nodes[name]
	h.self.Incarnation = id.NewIncarnation(w.Rand)
	h.self.Rand = rand.New(rand.NewPCG(w.Rand.Uint64(), w.Rand.Uint64()))
	h.stepper = h.build(h.self)
	h.up, h.exited = true, false
	h.generation++
	h.startedAt = w.Now
	h.frozenUntil = time.Time{}
	h.nextTick = time.Time{}
	h.watched = nil
	w.tracef("start %s", name)
	w.Inject(name, event.Tick{}, 0)
}

// Kill ends a node's process; its memory is gone and nothing that it had queued leaves it.
func (w *World) Kill(name id.Node) {
	w.nodes[name].up = false
	w.tracef("kill %s", name)
}

// Up reports whether the node's process runs.
func (w *World) Up(name id.Node) bool { return w.nodes[name].up }

// Exited reports whether the node's last process ended by its own Exit.
func (w *World) Exited(name id.Node) bool { return w.nodes[name].exited }

// Generation counts the processes that a node has had.
func (w *World) Generation(name id.Node) uint64 { return w.nodes[name].generation }

// Self returns the identity of the node's present process.
func (w *World) Self(name id.Node) event.Self { return w.nodes[name].self }

// Stepper returns the node's present process, for queries by an oracle.
func (w *World) Stepper(name id.Node) Stepper { return w.nodes[name].stepper }

// Nodes returns all nodes in the order in which they were added.
func (w *World) Nodes() []id.Node { return w.order }

// Freeze pauses a node's process; events that arrive meanwhile are handled when it wakes. A second freeze never ends a
// longer one early, because the events that were put off until then would arrive after later ones.
func (w *World) Freeze(name id.Node, d time.Duration) {
	if until := w.Now.Add(d); until.After(w.nodes[name].frozenUntil) {
		w.nodes[name].frozenUntil = until
		w.nodes[name].pauses = append(w.nodes[name].pauses, pause{w.Now, until})
	}
	w.tracef("freeze %s for %s", name, d)
}

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

// Connected reports whether two nodes have run and could hear of each other, directly or over others, since a time.
// It is meant for oracles and errs on the side of false.
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

// Cut drops messages from one node to another, in this direction only.
func (w *World) Cut(from, to id.Node) { w.cuts[[2]id.Node{from, to}] = true }

// IsCut reports whether messages from one node to another are dropped.
func (w *World) IsCut(from, to id.Node) bool { return w.cuts[[2]id.Node{from, to}] }

// PartitionDomain separates a failure domain from all others, both ways.
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

// Partitioned reports whether a node cannot reach a failure domain.
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

// Inject hands an event to a node after a delay; a process that ends before gets nothing.
func (w *World) Inject(to id.Node, ev event.Event, after time.Duration) {
	w.push(delivery{at: w.Now.Add(after), to: to, generation: w.nodes[to].generation, ev: ev})
}

// AfterFunc runs a function at a virtual time from now, for faults and for stand-ins.
func (w *World) AfterFunc(after time.Duration, do func()) {
	w.push(delivery{at: w.Now.Add(after), fn: do})
}

// Run handles events until the given span of virtual time has passed.
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
	h := w.nodes[d.to]
	if !h.up || h.generation != d.generation {
		return
	}
	if h.frozenUntil.After(w.Now) {
		d.at = h.frozenUntil
		w.push(*d)
		return
	}
	if _, ok := d.ev.(event.Tick); ok {
		h.nextTick = time.Time{}
	}
	w.performAll(d.to, h.stepper.Step(w.Now, d.ev))
	w.schedule(d.to, h)
}

// schedule queues a tick for the stepper's next timer, unless an earlier one is queued.
func (w *World) schedule(name id.Node, h *nodeState) {
	next := h.stepper.Next()
	if next.IsZero() || !h.up {
		return
	}
	if next.Before(w.Now) {
		next = w.Now
	}
	if !h.nextTick.IsZero() && !next.Before(h.nextTick) {
		return
	}
	h.nextTick = next
	w.push(delivery{at: next, to: name, generation: h.generation, ev: event.Tick{}})
}

// performAll carries out actions in order, until the process that wants them ends or is frozen.
func (w *World) performAll(from id.Node, actions []event.Action) {
	h := w.nodes[from]
	life := h.generation
	for i, a := range actions {
		if !h.up || h.generation != life {
			return
		}
		if w.BeforeAction == nil {
			w.perform(from, a)
			continue
		}
		after := w.BeforeAction(w, from, a)
		if !h.up || h.generation != life {
			return
		}
		if h.frozenUntil.After(w.Now) {
			w.postpone(from, h, actions[i:], after)
			return
		}
		w.perform(from, a)
		if after != nil {
			after()
		}
		if h.frozenUntil.After(w.Now) {
			w.postpone(from, h, actions[i+1:], nil)
			return
		}
	}
}

// postpone carries out the rest of a step when the process wakes, without a second look of Tap at the first action.
func (w *World) postpone(from id.Node, h *nodeState, rest []event.Action, after func()) {
	life := h.generation
	if len(rest) == 0 {
		return
	}
	w.AfterFunc(h.frozenUntil.Sub(w.Now), func() {
		if !h.up || h.generation != life {
			return
		}
		w.perform(from, rest[0])
		if after != nil {
			after()
		}
		w.performAll(from, rest[1:])
	})
}

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
		h := w.nodes[from]
		h.up, h.exited, h.exitedGenerations[h.generation] = false, true, true
	default:
		if w.OnExternal != nil {
			w.OnExternal(w, from, a)
		}
	}
}

// VersionReporter is implemented by a stepper that stamps its messages with what it knows.
type VersionReporter interface {
	Versions() (id.Revision, uint64)
}

func (w *World) send(from id.Node, a event.Send) {
	to, known := w.nodes[a.To]
	if !known || !to.up || w.cuts[[2]id.Node{from, a.To}] || w.Rand.Float64() < w.Network.Loss {
		return
	}
	h := w.nodes[from]
	ev := event.Receive{From: from, Incarnation: h.self.Incarnation, Body: a.Body}
	if v, ok := h.stepper.(VersionReporter); ok {
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

// deliveries is a heap by time; equal times keep their order, so that a run is repeatable.
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
