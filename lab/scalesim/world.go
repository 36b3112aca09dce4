package scalesim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bluebellflow/core/catalog"
	"bluebellflow/core/duty"
	"bluebellflow/core/event"
	"bluebellflow/core/id"
	"bluebellflow/core/timerqueue"
)

const (
	tick = 20 * time.Millisecond
	// delay is the time of a message, a call to the store and a call to the service.
	delay = 5 * time.Millisecond
	// callTimeout is the time after which a call to a service that is down ends.
	callTimeout = time.Second
	// lease and callRate are the settings of the duties.
	lease    = 3 * time.Second
	callRate = 50
	// nodesPerDomain is the number of nodes in a failure domain.
	nodesPerDomain = 4
	// initial, least and most are the servers in a failure domain at the start and the bounds of their number.
	initial = 47
	least   = 39
	most    = 94
)

var domains = []id.FailureDomain{"a", "b", "c"}

// epoch is the time at the start of a run.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// World is the model of a pool with its nodes.
type World struct {
	pattern   Pattern
	rng       *rand.Rand
	now       time.Duration
	nodes     []*node
	servers   []*server
	evacuated id.Set[id.FailureDomain]
	booting   map[id.FailureDomain]int
	started   int
	timers    timerqueue.Heap[int]
	actions   []func() // by the key of their timer
	objects   map[string]event.Object
	revision  uint64
	tokens    map[string]uint64
	result    Result

	StoreDown   bool    // the store and
	ServiceDown bool    // the control service do not answer
	LostReports float64 // part of the nodes' messages that are lost
}

// Run runs a pattern.
func Run(seed uint64, p Pattern) Result {
	w := &World{
		pattern: p, rng: rand.New(rand.NewPCG(seed, 1)), evacuated: id.NewSet[id.FailureDomain](), booting: map[id.FailureDomain]int{},
		objects: map[string]event.Object{}, tokens: map[string]uint64{}, result: Result{Pattern: p.Name},
	}
	for _, domain := range domains {
		for range initial {
			w.addServer(domain, false)
		}
		for i := range nodesPerDomain {
			w.addNode(id.Node(fmt.Sprintf("%s%d", domain, i)), domain)
		}
	}
	config := catalog.Config{Version: 1, Pools: []catalog.Pool{{Name: poolName, Scale: &catalog.Scale{Min: least, Max: most, Boot: startTime}}}}
	c, err := catalog.New(config)
	if err != nil {
		panic(err) // the configuration is constant
	}
	for _, n := range w.nodes {
		n.autoscaler.SetCatalog(c)
	}
	w.nodesChanged()
	for _, e := range p.Events {
		w.at(e.At, func() { e.Do(w) })
	}
	for ; w.now < p.Length; w.now += tick {
		w.step()
	}
	for _, domain := range domains {
		w.result.Final = append(w.result.Final, w.count(domain))
	}
	return w.result
}

// at does something at a time.
func (w *World) at(t time.Duration, do func()) {
	w.actions = append(w.actions, do)
	w.timers.Set(epoch.Add(t), len(w.actions)-1)
}

func (w *World) step() {
	for now := epoch.Add(w.now); w.timers.Due(now); {
		i := w.timers.Pop()
		do := w.actions[i]
		w.actions[i] = nil
		do()
	}
	w.work()
	w.arrive(tick)
	for _, n := range w.nodes {
		n.step(event.Tick{})
	}
	w.result.ServerSeconds += float64(len(w.servers)+w.allBooting()) * tick.Seconds()
	w.result.FixedSeconds += float64(initial*len(domains)) * tick.Seconds()
}

func (w *World) allBooting() int {
	n := 0
	for _, b := range w.booting {
		n += b
	}
	return n
}

// running returns the requests of a node that servers have, by failure domain.
func (w *World) running(n *node) map[id.FailureDomain]int {
	out := map[id.FailureDomain]int{}
	for _, s := range w.servers {
		for _, jobs := range [][]*job{s.running, s.queue} {
			for _, j := range jobs {
				if j.node == n {
					out[s.Domain]++
				}
			}
		}
	}
	return out
}

// put carries out a conditional write to the store.
func (w *World) put(n *node, c event.PlatformCall) {
	result := event.PlatformResult{Call: c, Code: event.CodeUnavailable}
	old := w.objects[c.Name]
	switch {
	case w.StoreDown:
	case old.Version != c.Version:
		result.Code, result.Objects = event.CodeConflict, []event.Object{old}
	default:
		w.revision++
		o := event.Object{Name: c.Name, Version: w.revision, Value: c.Value}
		w.objects[c.Name] = o
		w.result.Writes++
		result.Code, result.Objects = event.CodeOK, []event.Object{o}
		w.at(w.now+2*delay, func() {
			for _, o := range w.nodes {
				o.observe(c.Name)
			}
		})
	}
	w.at(w.now+delay, func() { n.step(result) })
}

// call carries out a call to the control service.
func (w *World) call(n *node, c duty.Call) {
	result := duty.CallResult{Subject: c.Subject, Number: c.Number, Outcome: duty.Accepted}
	took := delay
	if w.ServiceDown {
		result.Outcome, took = duty.Failed, callTimeout
	} else {
		name := c.Subject.String()
		if c.Token < w.tokens[name] {
			w.result.Faults = append(w.result.Faults, fmt.Sprintf("%s: %s has token %d after %d", w.now, name, c.Token, w.tokens[name]))
		}
		w.tokens[name] = c.Token
		w.accept(n, c.Body)
	}
	w.at(w.now+took, func() { n.step(result) })
}

// accept carries out an order.
func (w *World) accept(n *node, body []byte) {
	domain, number, _ := strings.Cut(string(body), " ")
	var desired int
	if _, err := fmt.Sscan(number, &desired); err != nil || !slices.Contains(domains, id.FailureDomain(domain)) || desired < least || desired > most {
		w.result.Faults = append(w.result.Faults, fmt.Sprintf("%s: order %q", w.now, body))
		return
	}
	w.result.Orders = append(w.result.Orders, Order{
		At: w.now, Node: n.self.Node, Domain: id.FailureDomain(domain), Desired: desired, Before: w.count(id.FailureDomain(domain)) + w.booting[id.FailureDomain(domain)],
	})
	w.scaleTo(id.FailureDomain(domain), desired)
}
