package node_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bluebellflow/core/id"
)

// faultTarget is where a fault strikes: a node, another one that it exchanges messages with, and a backend server.
type faultTarget struct {
	node, other id.Node
	server      id.Server
}

// fault is one thing that goes wrong, and how it ends.
type fault struct {
	name  string
	begin func(s *system, p faultTarget)
	end   func(s *system, p faultTarget)

	local            bool // strikes one node, so that the one that acts and its peer are different cases
	partitions       bool // some nodes cannot reach some others by any path
	addsPoisonSender bool // another request crashes servers
}

func noop(*system, faultTarget) {}

func domainOf(s *system, n id.Node) id.FailureDomain { return s.Self(n).FailureDomain }

func startNode(s *system, p faultTarget) {
	if !s.Up(p.node) {
		s.Start(p.node)
	}
}

// healNetwork ends cuts and losses of all faults at once; a later fault of the same kind ends early with it.
func healNetwork(s *system, _ faultTarget) {
	s.Heal()
	s.Network.Loss, s.Network.Repeat = 0, 0
}

func platformFault(change func(s *system, p faultTarget)) fault {
	return fault{begin: change, end: func(s *system, _ faultTarget) {
		p := s.Platform
		p.Down, p.Latency, p.LoseAnswer, p.LateEffect, p.WatchGap = false, 2*time.Millisecond, 0, 0, 0
		clear(p.CutDomains)
	}}
}

func (f fault) named(name string) fault {
	f.name = name
	return f
}

// faults are the ones that users name; each acts at a place and ends by itself or with end.
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
	platformFault(func(s *system, _ faultTarget) { s.Platform.LoseAnswer = 0.5 }).named("platform answers lost"),
	platformFault(func(s *system, _ faultTarget) { s.Platform.LateEffect = 0.5 }).named("platform late effects"),
	platformFault(func(s *system, _ faultTarget) { s.Platform.WatchGap = 1 }).named("watch gap"),
	{name: "backend server turned cold", begin: func(s *system, p faultTarget) { s.backends.Restart(p.server) }, end: noop},
	{name: "backend server leaves", begin: func(s *system, p faultTarget) { s.oracle.markLeaving(p.server) }, end: noop},
	{name: "crash on one request", addsPoisonSender: true, begin: func(s *system, _ faultTarget) { s.sendPoison() }, end: noop},
	{name: "answers lost after the work", begin: func(s *system, p faultTarget) { s.backends.Servers[p.server].LostResultRate = 0.5 }, end: func(s *system, p faultTarget) {
		s.backends.Servers[p.server].LostResultRate = 0
	}},
	{name: "late answers", begin: func(s *system, p faultTarget) { s.backends.Servers[p.server].SlowFactor = 30 }, end: func(s *system, p faultTarget) {
		s.backends.Servers[p.server].SlowFactor = 0
	}},
	{name: "two operators race", begin: func(s *system, p faultTarget) {
		s.drain(p.node, domainOf(s, p.other))
		s.restore(p.other, domainOf(s, p.other))
	}, end: noop},
}

// someServer draws a server of a pool whose name begins with the prefix.
func someServer(s *system, rng *rand.Rand, pool string) id.Server {
	var names []id.Server
	for name := range s.backends.Servers {
		if strings.HasPrefix(string(name)[len("d0-"):], pool) {
			names = append(names, name)
		}
	}
	slices.Sort(names) // the order of a map is random
	return names[rng.IntN(len(names))]
}

// otherNode draws a node that is not the given one.
func otherNode(s *system, rng *rand.Rand, not id.Node) id.Node {
	for {
		if n := s.Nodes()[rng.IntN(len(s.Nodes()))]; n != not {
			return n
		}
	}
}
