package node_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/node"
	"bluebellflow/core/simulation"
)

var (
	matrixFull = flag.Bool("matrix.full", false, "run every cell of the fault matrix instead of the default part")
	matrixSeed = flag.Uint64("matrix.seed", 0, "run only the cell with this seed, and log its trace")
	matrixOut  = flag.String("matrix.out", "", "write the fault matrix as a table to this file")
)

// cell is one case of the matrix: a fault at a step, and a second fault at another step.
type cell struct {
	step       int  // index in allSteps
	fault      int  // index in faults
	peer       bool // affects the peer instead of the acting node
	after      bool // just after the action instead of just before it
	second     int  // index of the second fault, -1 for none
	secondStep int
	nth        int // occurrence of the step at which the fault begins, from 1
	seed       uint64
}

func (c cell) String() string {
	list := allSteps()
	where := [2][2]string{{"before", "at the peer before"}, {"after", "at the peer after"}}[btoi(c.after)][btoi(c.peer)]
	text := fmt.Sprintf("%s %s %s (occurrence %d)", faults[c.fault].name, where, list[c.step].name, c.nth)
	if c.second >= 0 {
		text += fmt.Sprintf(", %s at %s", faults[c.second].name, list[c.secondStep].name)
	}
	return text + fmt.Sprintf(", seed %d", c.seed)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// allCells returns the cells of the matrix in a fixed order. The seed of a cell is its position, from 1.
func allCells() []cell {
	var out []cell
	list := allSteps()
	seen := faultFreeCounts()
	for i := range list {
		for j, f := range faults {
			for k := range 4 {
				c := cell{step: i, fault: j, peer: k&1 == 1, after: k&2 == 2, second: -1}
				if c.peer && !f.local {
					continue
				}
				out = append(out, c)
			}
		}
	}
	for i := range list {
		for j := range faults {
			for k := j; k < len(faults); k++ {
				n := i + j + k
				out = append(out, cell{
					step: i, fault: j, peer: faults[j].local && n%2 == 1, after: n%4 >= 2,
					second: k, secondStep: (i + 7*j + 13*k) % len(list),
				})
			}
		}
	}
	for i := range out {
		out[i].seed = uint64(i + 1)
		out[i].nth = 1 + i%min(3, max(1, seen[out[i].step]))
	}
	return out
}

// faultFreeCounts returns how often each step occurs in the scenario without faults, so that no cell waits for an
// occurrence that never comes.
var faultFreeCounts = sync.OnceValue(func() map[int]int {
	s := newSystem(1)
	list, count := allSteps(), map[int]int{}
	s.BeforeAction = func(_ *simulation.World, _ id.Node, a event.Action) func() {
		for i, st := range list {
			if st.match(a) {
				count[i]++
			}
		}
		return nil
	}
	s.runScenario()
	return count
})

// defaultCells selects the cells that run by default: one variant of a third of all combinations of a step and a fault,
// such that each step and each fault occurs, and each pair of faults at one step.
func defaultCells(all []cell) []cell {
	rng := rand.New(rand.NewPCG(20260101, 1))
	groups := map[[3]int][]cell{}
	var order [][3]int
	for _, c := range all {
		key := [3]int{c.step, c.fault, -1}
		if c.second >= 0 {
			key = [3]int{-1, c.fault, c.second}
		} else if (c.step+c.fault)%3 != 0 {
			continue
		}
		if groups[key] == nil {
			order = append(order, key)
		}
		groups[key] = append(groups[key], c)
	}
	var out []cell
	for _, key := range order {
		out = append(out, groups[key][rng.IntN(len(groups[key]))])
	}
	return out
}

// trigger injects a fault once, at the nth occurrence of a step.
type trigger struct {
	step    step
	fault   fault
	peer    bool
	after   bool
	nth     int
	seen    int           // occurrences of the step so far
	firedAt time.Duration // virtual time at which the fault was injected, 0 before
}

// installTriggers watches the actions of all nodes for the steps of the triggers. No trigger fires in the last
// faultDuration before healAfter, so that each fault has ended by then.
func (s *system) installTriggers(rng *rand.Rand, triggers ...*trigger) {
	begin := s.Now
	s.BeforeAction = func(_ *simulation.World, from id.Node, a event.Action) func() {
		var later []func()
		for _, t := range triggers {
			if t.firedAt != 0 || s.Now.Sub(begin) > healAfter-faultDuration || !t.step.match(a) {
				continue
			}
			if t.seen++; t.seen < t.nth {
				continue
			}
			t.firedAt = s.Now.Sub(simulation.Epoch)
			injectFault := func() { s.inject(t, t.target(s, rng, from, a)) }
			if t.after {
				later = append(later, injectFault)
				continue
			}
			injectFault()
		}
		if len(later) == 0 {
			return nil
		}
		return func() {
			for _, injectFault := range later {
				injectFault()
			}
		}
	}
}

func (t *trigger) target(s *system, rng *rand.Rand, from id.Node, a event.Action) faultTarget {
	peer, server := peerOf(a)
	if peer == "" || peer == from {
		peer = otherNode(s, rng, from)
	}
	if server == "" {
		server = someServer(s, rng, "")
	}
	if t.peer {
		return faultTarget{node: peer, other: from, server: server}
	}
	return faultTarget{node: from, other: peer, server: server}
}

// inject begins a fault and ends it after faultDuration.
func (s *system) inject(t *trigger, p faultTarget) {
	t.fault.begin(s, p)
	s.injected = append(s.injected, t.fault)
	s.AfterFunc(faultDuration, func() { t.fault.end(s, p) })
}

// run runs the scenario with the faults of a cell.
func (c cell) run(opts ...node.Option) (*system, []*trigger) {
	s := newSystemWith(c.seed, opts...)
	s.Tracing = *matrixSeed != 0
	rng := rand.New(rand.NewPCG(c.seed, 99))
	list := allSteps()
	triggers := []*trigger{{step: list[c.step], fault: faults[c.fault], peer: c.peer, after: c.after, nth: c.nth}}
	if c.second >= 0 {
		triggers = append(triggers, &trigger{step: list[c.secondStep], fault: faults[c.second], after: !c.after, nth: 1 + int(c.seed)%2})
	}
	s.installTriggers(rng, triggers...)
	s.runScenario()
	return s, triggers
}

// check returns the violations of all guarantees.
func (s *system) check() []string {
	v := append(s.callers.Check(replyTolerance), s.oracle.check()...)
	if limit := s.maxCrashes(); s.backends.Crashes > limit {
		v = append(v, fmt.Sprintf("one request's content crashed %d servers, limit is %d", s.backends.Crashes, limit))
	}
	for name, server := range s.backends.Servers {
		if server.Overload > 0 {
			v = append(v, fmt.Sprintf("cold server %s got %d attempts more than it can handle", name, server.Overload))
		}
	}
	return v
}

// maxCrashes returns the number of servers that one request may crash: two, plus one attempt that may be in flight before
// the first crash is known. The two sides of a partition cannot exchange their counts, so that each has its own limit.
func (s *system) maxCrashes() int {
	perSide := 3
	for _, f := range s.injected {
		if f.addsPoisonSender {
			perSide++ // a second caller sends the request at the same time
		}
	}
	for _, f := range s.injected {
		if f.partitions {
			return 2 * perSide
		}
	}
	return perSide
}

// shortStride selects every fifth of the default cells with -short.
const shortStride = 5

func everyNth(cells []cell, n int) []cell {
	var out []cell
	for i := 0; i < len(cells); i += n {
		out = append(out, cells[i])
	}
	return out
}

// TestMatrix guards against guarantees that a fault at any step of a life cycle, or a combination of two faults, breaks.
func TestMatrix(t *testing.T) {
	cells := allCells()
	total := len(cells)
	switch {
	case *matrixSeed != 0:
		cells = cells[*matrixSeed-1 : *matrixSeed]
	case !*matrixFull:
		cells = defaultCells(cells)
	}
	if testing.Short() {
		// The race detector makes a cell five times as slow; CI runs all default cells without it.
		cells = everyNth(cells, shortStride)
	}
	r := newResults()
	t.Run("cells", func(t *testing.T) {
		for _, c := range cells {
			t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
				t.Parallel()
				s, triggers := c.run()
				v := s.check()
				for _, line := range s.Trace {
					t.Log(line)
				}
				r.add(c, triggers[0].firedAt != 0, v)
				if len(v) > 0 {
					t.Errorf("%s\n%s\n%v", c, strings.Join(v[:min(4, len(v))], "\n"), s.callers.CountOutcomes())
				}
			})
		}
	})
	t.Logf("%d of %d cells", len(cells), total)
	if *matrixSeed != 0 || testing.Short() {
		return
	}
	if *matrixOut != "" {
		if err := os.WriteFile(*matrixOut, []byte(r.table()), 0o644); err != nil {
			t.Error(err)
		}
	}
	for _, name := range r.unreached() {
		t.Errorf("no cell reached step %q", name)
	}
}
