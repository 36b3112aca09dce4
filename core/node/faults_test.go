package node_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bluebellflow/core/id"
)

// faultTarget is what a fault affects: a node, another node that it exchanges messages with, and a backend server.
type faultTarget struct {
	node, other id.Node
	server      id.Server
}

// fault is one kind of failure and how it ends.
type fault struct {
	name  string
	begin func(s *system, p faultTarget)
	end   func(s *system, p faultTarget)

	local            bool // affects one node, so that the acting node and its peer are separate cases
	partitions       bool // some nodes cannot reach others by any path
	addsPoisonSender bool // another sender of the request that crashes servers
}

func noop(*system, faultTarget) {}

func domainOf(s *system, n id.Node) id.FailureDomain { return s.Self(n).FailureDomain }

func startNode(s *system, p faultTarget) {
	if !s.Up(p.node) {
		s.Start(p.node)
	}
}

// healNetwork ends all cuts and message losses at once, also those of another fault that should last longer.
func healNetwork(s *system, _ faultTarget) {
	s.Heal()
	s.Network.Loss, s.Network.Repeat = 0, 0
}

func platformFault(change func(s *system, p faultTarget)) fault {
	return fault{begin: change, end: func(s *system, _ faultTarget) {
		p := s.Platform
		p.Down, p.Latency, p.LostAnswerRate, p.LateEffectRate, p.WatchGapRate = false, 2*time.Millisecond, 0, 0, 0
		clear(p.CutDomains)
	}}
}

func (f fault) named(name string) fault {
	f.name = name
	return f
}

// faults are the failures that the system must tolerate. Each affects a faultTarget and ends by itself or with end.
var faults = []fault{
	{name: "node killed", local: true, begin: func(s *system, p faultTarget) { s.Kill(p.node) }, end: startNode},
	{name: "node replaced at once", local: true, begin: func(s *system, p faultTarget) {
		s.Kill(p.node)
		s.AfterFunc(time.Millisecond, func() { startNode(s, p) })
	}, end: noop},
	{name: "node frozen past its lease", local: true, begin: func(s *system, p faultTarget) { s.Freeze(p.node, 6*time.Second) }, end: noop},
	{name: "node frozen briefly", local: true, begin: func(s *system, p faultTarget) { s.Freeze(p.node, 700*time.Millisecond) }, end: noop},
	{name: "node stopped as planned", local: true, begin: func(s *system, p faultTarget) { s.stop(p.node) }, end: noop},
	{name: "link cut one way", local: true, begin: func(s *system, p faultTarget) { s.Cut(p.node, p.other) }, end: healNetwork},
	{name: "link cut both ways", begin: func(s *system, p faultTarget) {
		s.Cut(p.node, p.other)
		s.Cut(p.other, p.node)
	}, end: healNetwork},
	{name: "domain cut from domains", local: true, partitions: true, begin: func(s *system, p faultTarget) { s.PartitionDomain(domainOf(s, p.node)) }, end: healNetwork},
	{name: "messages lost and repeated", begin: func(s *system, _ faultTarget) { s.Network.Loss, s.Network.Repeat = 0.2, 0.2 }, end: healNetwork},
	platformFault(func(s *system, p faultTarget) { s.Platform.CutDomains.Add(domainOf(s, p.node)) }).named("domain cut from platform"),
	platformFault(func(s *system, _ faultTarget) { s.Platform.Down = true }).named("platform down"),
	platformFault(func(s *system, _ faultTarget) { s.Platform.Latency = 700 * time.Millisecond }).named("platform slow"),
	platformFault(func(s *system, _ faultTarget) { s.Platform.LostAnswerRate = 0.5 }).named("platform answers lost"),
	platformFault(func(s *system, _ faultTarget) { s.Platform.LateEffectRate = 0.5 }).named("platform late effects"),
	platformFault(func(s *system, _ faultTarget) { s.Platform.WatchGapRate = 1 }).named("watch gap"),
	{name: "backend server turned cold", begin: func(s *system, p faultTarget) { s.backends.Restart(p.server) }, end: noop},
	{name: "backend server leaves", begin: func(s *system, p faultTarget) { s.oracle.markLeaving(p.server) }, end: noop},
	{name: "crash on one request", addsPoisonSender: true, begin: func(s *system, _ faultTarget) { s.sendPoison() }, end: noop},
	{name: "answers lost after the work", begin: func(s *system, p faultTarget) { s.backends.Servers[p.server].LostAnswerRate = 0.5 }, end: func(s *system, p faultTarget) {
		s.backends.Servers[p.server].LostAnswerRate = 0
	}},
	{name: "late answers", begin: func(s *system, p faultTarget) { s.backends.Servers[p.server].SlowFactor = 30 }, end: func(s *system, p faultTarget) {
		s.backends.Servers[p.server].SlowFactor = 0
	}},
	{name: "two operators race", begin: func(s *system, p faultTarget) {
		s.drain(p.node, domainOf(s, p.other))
		s.restore(p.other, domainOf(s, p.other))
	}, end: noop},
}

// someServer returns a random server of the pools whose name begins with a prefix.
func someServer(s *system, rng *rand.Rand, pool string) id.Server {
	var names []id.Server
	for name := range s.backends.Servers {
		if strings.HasPrefix(string(name)[len("d0-"):], pool) {
			names = append(names, name)
		}
	}
	slices.Sort(names) // map order is random
	return names[rng.IntN(len(names))]
}

// otherNode returns a random node other than the given one.
func otherNode(s *system, rng *rand.Rand, not id.Node) id.Node {
	for {
		if n := s.Nodes()[rng.IntN(len(s.Nodes()))]; n != not {
			return n
		}
	}
}
