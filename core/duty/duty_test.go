package duty_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/watchcache"
)

const leaseTime = 3 * time.Second

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	subject = duty.Subject{Duty: duty.Usage}
)

// report is the record of the owner in these tests. Nodes count differently. Next is the first window that was not reported.
type report struct {
	Window int
	Count  int
	Next   int
}

// holder is a node with an owner that reports one window after the other.
type holder struct {
	*duty.Leases
	name       id.Node
	rate       float64 // of its clock
	paused     bool    // it handles no events
	cut        bool    // it does not reach the store
	inbox      []event.Event
	era        uint64 // of the store, as its cache knows it
	accepted   int    // the last window accepted from this node
	unanswered bool   // a call is in progress
}

// arrival is a call that the service has seen.
type arrival struct {
	at    time.Duration
	node  id.Node
	token uint64
	report
}

// world holds nodes, a store with one object and a service. Time is the time since its start.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	nodes    []*holder
	later    []delayed
	object   watchcache.Object
	era      uint64 // of the store, 0 if it names none
	history  []change
	arrivals []arrival
	faults   []string
}

type delayed struct {
	at time.Duration
	do func()
}

func newWorld(seed uint64, names ...id.Node) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1))}
	for i, name := range names {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		self := event.Self{Node: name, Incarnation: id.NewIncarnation(rng), Rand: rng}
		h := &holder{Leases: duty.New(self, duty.Options{Lease: leaseTime, CallsPerSecond: 50}), name: name, rate: 0.99 + 0.01*float64(i)}
		w.nodes = append(w.nodes, h)
		w.deliver(h, watchcache.KindLoaded{Kind: duty.Kind})
	}
	return w
}

// clock returns what the node's clock shows.
func (w *world) clock(h *holder) time.Time {
	return epoch.Add(time.Duration(h.rate * float64(w.now)))
}

func (w *world) after(d time.Duration, do func()) {
	w.later = append(w.later, delayed{w.now + d, do})
}

func (w *world) upTo(most time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(most) + 1))
}

// deliver lets a node handle an event, or keeps it until the node goes on.
func (w *world) deliver(h *holder, ev event.Event) {
	if h.paused {
		h.inbox = append(h.inbox, ev)
		return
	}
	now := w.clock(h)
	out := event.Propagate(ev, event.IsInternal, func(ev event.Event) []event.Action {
		return append(h.Step(now, ev), w.own(h, now, ev)...)
	})
	w.execute(h, out)
}

func (w *world) execute(h *holder, out []event.Action) {
	for _, a := range out {
		switch a := a.(type) {
		case event.PlatformCall:
			w.write(h, a)
		case duty.Call:
			w.after(w.upTo(100*time.Millisecond), func() { w.call(h, a) })
		}
	}
}

// own is the owner's part: it repeats what is recorded until it is accepted, and then records the next window.
func (w *world) own(h *holder, now time.Time, ev event.Event) []event.Action {
	if r, ok := ev.(duty.CallResult); ok {
		h.unanswered = false
		if r.Outcome == duty.Accepted {
			h.accepted = decode(r.Detail).Window
		}
	}
	if !h.Active() || h.unanswered || w.rng.IntN(3) == 0 {
		return nil
	}
	raw, known := h.Record(subject)
	record := decode(string(raw))
	record.Next = h.nextWindow(record)
	if !known || record.Window <= h.accepted {
		return []event.Action{h.NewRecord(subject, encode(report{record.Next, int(h.name[0]), record.Next + 1}))}
	}
	c, _, ok := h.Call(now, subject, raw)
	if !ok {
		return []event.Action{h.NewRecord(subject, encode(record))}
	}
	h.unanswered = true
	return []event.Action{c}
}

func encode(r report) []byte {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return raw
}

func decode(raw string) report {
	var r report
	_ = json.Unmarshal([]byte(raw), &r) // zero if there is none
	return r
}

// write carries out a write to the store. Its answer may be lost, and it may take effect after it has timed out.
func (w *world) write(h *holder, c event.PlatformCall) {
	const timeout = 1500 * time.Millisecond
	delay, lost := w.upTo(60*time.Millisecond), w.rng.IntN(4) == 0
	if w.rng.IntN(5) == 0 {
		delay = w.upTo(4 * time.Second)
	}
	lost = lost || delay >= timeout || h.cut
	era := h.era
	if lost {
		w.after(timeout, func() { w.deliver(h, event.PlatformResult{Call: c, Code: event.CodeUnknown}) })
	}
	if h.cut {
		return
	}
	w.after(delay, func() {
		if answer := w.commit(c, era); !lost {
			w.answer(h, answer)
		}
	})
}

// commit carries out a write of a node that knows an era of the store. In another era the node learns nothing from the answer.
func (w *world) commit(c event.PlatformCall, era uint64) event.PlatformResult {
	result := event.PlatformResult{Call: c, Code: event.CodeConflict}
	if c.Version == w.object.Revision {
		result.Code = event.CodeOK
		w.object = watchcache.Object{Name: subject.String(), Revision: c.Version + 1, Spec: c.Value}
		w.history = append(w.history, change{w.now, w.object})
		for _, h := range w.nodes {
			if !h.cut {
				seen, era := w.object, w.era
				w.after(w.upTo(time.Duration(w.rng.IntN(2))*1500*time.Millisecond), func() { w.observe(h, era, seen) })
			}
		}
	}
	if era != w.era {
		return event.PlatformResult{Call: c, Code: event.CodeUnknown}
	}
	result.Objects = []event.Object{{Name: c.Name, Version: w.object.Revision, Value: w.object.Spec}}
	return result
}

// call lets a call arrive at the service unless its time is over. Calls of a paused node arrive after the pause.
func (w *world) call(h *holder, c duty.Call) {
	if h.paused {
		w.after(50*time.Millisecond, func() { w.call(h, c) })
		return
	}
	result := duty.CallResult{Subject: c.Subject, Number: c.Number, Outcome: duty.Failed}
	if w.clock(h).Before(c.Until) && w.rng.IntN(6) > 0 {
		w.after(w.upTo(150*time.Millisecond), func() { w.arrive(arrival{w.now, h.name, c.Token, decode(string(c.Body))}) })
		if w.rng.IntN(4) > 0 {
			result.Outcome, result.Detail = duty.Accepted, string(c.Body)
		}
	}
	w.after(w.upTo(time.Second), func() { w.deliver(h, result) })
}

// arrive checks the invariants at each call.
func (w *world) arrive(a arrival) {
	for i, b := range w.arrivals {
		for fault, found := range map[string]bool{
			"a window with two counts":         a.Window == b.Window && a.Count != b.Count,
			"a token from two nodes":           a.token == b.token && a.node != b.node,
			"a lower token":                    a.token < b.token,
			"a holder again after another one": a.node == b.node && returnsEarly(a, w.arrivals[i:]),
		} {
			if found {
				w.faults = append(w.faults, fmt.Sprintf("%s: %+v after %+v", fault, a, b))
			}
		}
	}
	w.arrivals = append(w.arrivals, a)
}

// returnsEarly reports whether a node acts although another one has acted less than a lease ago, since an earlier call of the
// first one that is not long past.
func returnsEarly(a arrival, since []arrival) bool {
	return a.at-since[0].at < 3*leaseTime && slices.ContainsFunc(since, func(m arrival) bool {
		return m.node != a.node && a.at-m.at < leaseTime
	})
}

// run lets time pass. Nodes handle a tick now and then.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 25 * time.Millisecond {
		due := w.later
		w.later = nil
		for _, l := range due {
			if l.at > w.now {
				w.later = append(w.later, l)
				continue
			}
			l.do()
		}
		for _, h := range w.nodes {
			if !h.paused {
				w.deliver(h, event.Tick{})
			}
		}
		w.checkHolders()
	}
}

// checkHolders checks that at most one node may act.
func (w *world) checkHolders() {
	var holders []id.Node
	for _, h := range w.nodes {
		if _, ok := h.Holds(w.clock(h), subject); ok && !h.paused {
			holders = append(holders, h.name)
		}
	}
	if len(holders) > 1 {
		w.faults = append(w.faults, fmt.Sprintf("two holders: %v at %s", holders, w.now))
	}
}

func (w *world) lead(h *holder, leads bool) {
	w.execute(h, h.SetLeading(w.clock(h), leads))
}

// disturbances is the number of kinds of disturbance. The first ones are no faults: the lead moves on.
const disturbances, harmless = 6, 2

// disturb changes the state of one node at random, by one of the first kinds of disturbance. Two nodes, or none, may lead.
func (w *world) disturb(kinds int) {
	h := w.nodes[w.rng.IntN(len(w.nodes))]
	switch w.rng.IntN(kinds) {
	case 0, 1:
		for _, other := range w.nodes {
			if !other.paused {
				w.lead(other, other == h)
			}
		}
	case 2:
		w.setFaults(h, !h.paused, h.cut)
	case 3:
		w.setFaults(h, h.paused, !h.cut)
	default:
		if !h.paused {
			w.lead(h, !h.Active())
		}
	}
}

// setFaults sets the faults of a node. It handles what it has missed after a pause or a partition.
func (w *world) setFaults(h *holder, paused, cut bool) {
	h.paused, h.cut = paused, cut
	if inbox := h.inbox; !paused {
		h.inbox = nil
		for _, ev := range inbox {
			w.deliver(h, ev)
		}
	}
	if !cut {
		w.observe(h, w.era, w.object)
	}
}

// expectRecovery asserts that no invariant was violated, and that the duty is done again after all faults have ended.
func (w *world) expectRecovery(g *WithT, seed uint64) {
	g.THelper()
	g.Expect(w.faults).To(BeEmpty(), "seed %d", seed)
	for i, h := range w.nodes {
		w.setFaults(h, false, false)
		w.lead(h, i == 0)
	}
	before := len(w.arrivals)
	w.run(20 * time.Second)
	g.Expect(w.faults).To(BeEmpty(), "seed %d", seed)
	g.Expect(len(w.arrivals)).To(BeNumerically(">", before), "seed %d", seed)
}

// TestInvariants guards against two holders at a time in any interleaving of writes, lost answers, pauses, partitions and
// changes of the lead, and against leases that nobody can take any more.
func TestInvariants(t *testing.T) {
	const worlds, steps = 400, 30
	g := NewWithT(t)
	takeovers := 0
	for seed := range uint64(worlds) {
		names := []id.Node{"a", "b", "c"}
		w := newWorld(seed, names[:2+seed%2]...)
		kinds, interval := disturbances, 3*time.Second
		if seed%3 == 0 {
			kinds, interval = harmless, time.Second
		}
		for range steps {
			w.disturb(kinds)
			w.run(w.upTo(interval))
		}
		w.expectRecovery(g, seed)
		takeovers += int(w.arrivals[len(w.arrivals)-1].token)
	}
	g.Expect(takeovers).To(BeNumerically(">", 3*worlds), "the holder hardly changed")
}
